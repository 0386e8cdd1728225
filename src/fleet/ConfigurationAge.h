// Tracks how old an instance's knowledge of the configuration is, which decides whether it may still accept the keys of
// customers. All times include time for which the machine was suspended.
#pragma once

#include "protocol/Ids.h"
#include "transport/RuntimeClock.h"

#include <atomic>
#include <map>
#include <optional>
#include <span>

namespace lychee::fleet {

struct RevocationOptions {
    // Whether keys are refused while the knowledge of the configuration is too old.
    bool isStrict = false;
    // No request may run that was sent later than this after the acknowledgement of a configuration without its key.
    Duration limit = std::chrono::seconds(5);
};

// What a peer states about its knowledge of the configuration in response to a query.
struct ConfigurationStatement {
    // Duration::max() where nothing has confirmed the knowledge of the peer yet.
    Duration age = Duration::max();
    // Version of the row of the configuration that the peer has.
    RowVersion row;
};

class ConfigurationAge {
public:
    // Subtracted from the limit, because a new connection to a target may take RelayLimits::connectTimeout between the
    // check and the sending.
    static constexpr Duration margin = std::chrono::milliseconds(250);

    explicit ConfigurationAge(RevocationOptions options)
        : options_(options)
    {
    }

    // Whether keys may be accepted. Thread-safe. Callers must ask before they read the configuration in force: the one
    // that they read before may be older than the answer.
    bool acceptsKeys(TimePoint now) const;

    // Nothing until the first confirmation. Thread-safe.
    std::optional<Duration> age(TimePoint now) const;

    // Records that the store has answered a read that was sent at `sentAt`, and that all its rows are in force here.
    void readAnswered(TimePoint sentAt);

    // Longest time for which the store may hold the next read of an instance that receives no forwarded changes. A read
    // confirms only as of when it was sent, so the age reaches twice this time. Zero when the knowledge is so old that
    // others may soon need this instance, or it may soon refuse keys.
    Duration maxReadWait(TimePoint now) const;

    // Whether the knowledge is older than responses of peers keep it, so that this instance has to read the store
    // itself although changes are forwarded to it.
    bool needsOwnRead(TimePoint now) const;

    // Whether a peer has to be queried now.
    bool isQueryDue(TimePoint now) const;

    // Whether the last query of `peer` had no useful response, so that another peer should be queried.
    bool isUnhelpful(const InstanceId& peer) const { return peer == lastPeer_ && !lastQueryHelped_; }

    // Records a query and returns its number, which the response has to repeat.
    std::uint64_t querySent(const InstanceId& peer, TimePoint now);

    // Records a response. `ownRow` is the version of the row of the configuration that this instance has. Responses to
    // unknown queries, or of other peers than the one queried, are ignored.
    void peerAnswered(
        const InstanceId& peer, std::uint64_t call, const ConfigurationStatement& statement, RowVersion ownRow);

    const RevocationOptions& options() const { return options_; }

private:
    struct Query {
        InstanceId peer;
        TimePoint sentAt;
    };

    static constexpr Duration::rep never = std::numeric_limits<Duration::rep>::min();

    // The intervals are fractions of the limit. With a limit of 5 s: reads are held for 1 s, so an instance that reads
    // knows the configuration as of at most 2 s ago. An instance that queries it once a second has an age of at most
    // 3 s. When the responses fail, it reads the store itself from 3.5 s on; ending its long read takes up to 0.6 s.
    // An owner that has just lost the store then still has 0.65 s to query it before it refuses keys.
    Duration readWait() const { return options_.limit / 5; }
    Duration maxReaderAge() const { return options_.limit / 2; }
    Duration maxForwardedAge() const { return options_.limit * 7 / 10; }
    Duration queryInterval() const { return options_.limit / 5; }
    Duration responseTimeout() const { return options_.limit / 16; }

    void confirm(TimePoint asOf);

    RevocationOptions options_;
    // Time since the start of the clock as of which the configuration is confirmed. The only member that other threads
    // read.
    std::atomic<Duration::rep> confirmedAsOf_{never};
    std::optional<TimePoint> lastReadAt_;
    std::optional<TimePoint> lastQueryAt_;
    InstanceId lastPeer_;
    std::uint64_t lastCall_ = 0;
    bool lastQueryHelped_ = true;
    // Queries of the last `limit` without a response, by number.
    std::map<std::uint64_t, Query> queries_;
};

} // namespace lychee::fleet
