// Tracks the instances of the system: merges the records that instances send about themselves and each other.
#pragma once

#include "protocol/PeerMessages.h"
#include "transport/RuntimeClock.h"

#include <map>
#include <optional>
#include <vector>

namespace lychee {

struct MembershipOptions {
    // Time that a suspected instance has to refute the suspicion before it counts as dead.
    Duration suspicionTimeout = std::chrono::seconds(3);
    // How long the record of a dead instance is kept, so that a delayed message does not make it live again.
    Duration tombstoneRetention = std::chrono::minutes(10);
    // Number of neighbours in the own data centre, and in all other data centres together.
    std::size_t degree = 6;
    std::size_t remoteDegree = 2;
};

// The membership as one instance knows it. Does no I/O; time is a parameter.
class Membership {
public:
    Membership(MemberRecord self, MembershipOptions options);

    // The record of this instance.
    const MemberRecord& self() const { return self_; }

    // Marks this instance as leaving in its own record.
    void leave();

    // Merges a record from a peer. Returns whether anything changed and has to be forwarded. A record that claims a
    // worse state of this instance is refuted: the own record gets a higher refutation number than that record.
    bool merge(const MemberRecord& record, TimePoint now);

    // Marks a live or leaving instance as suspected, because a new connection to it failed. Returns whether it changed.
    bool suspect(const InstanceId& id, TimePoint now);

    // Marks instances dead whose suspicion was not refuted in time, and removes old records of dead instances. Returns
    // the records that changed.
    std::vector<MemberRecord> advance(TimePoint now);

    // The records of all instances that are not dead, this one included, sorted by id.
    std::vector<MemberRecord> members() const;

    // All records, dead instances included, sorted by id; sent to a new peer.
    std::vector<MemberRecord> allRecords() const;

    std::optional<MemberRecord> find(const InstanceId& id) const;

    // The members to which this instance keeps connections: the successors and predecessors on a ring ordered by the
    // hash of the ids, in its own data centre and, separately, in all others.
    std::vector<MemberRecord> neighbours() const;

private:
    struct Entry {
        MemberRecord record;
        TimePoint changedAt;
    };

    std::vector<MemberRecord> ringNeighbours(bool local, std::size_t count) const;

    MemberRecord self_;
    MembershipOptions options_;
    std::map<InstanceId, Entry> entries_;
};

// The live instances among `members`, ranked for `key` by rendezvous hash, highest first.
std::vector<InstanceId> rankMembers(const std::vector<MemberRecord>& members, std::string_view key);

} // namespace lychee
