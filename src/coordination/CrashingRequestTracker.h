// Identifies request bodies that crash targets and limits each to two crashes.
//
// Every body that was running on a target when it crashed gets a strike. A body with one strike runs only as a trial:
// on one target at a time across all instances, and never on a target that runs a trial of another body. So a second
// crash can be attributed to the body that caused it rather than to bodies of the same batch. A body with two strikes
// is refused.
//
// One instance, the trial coordinator, grants all trials: the highest-ranked existing instance by rendezvous hash.
// Every instance computes it independently, and all notices are flooded, so a new coordinator knows the running trials.
// For a short time after a membership change no trial is granted, and the driver refuses bodies with a strike instead
// of running them.
//
// The driver floods every notice in CrashReaction::flood, in order and before it acts on the rest of the reaction,
// passes every notice it receives to merge(), and reports the runs of all bodies by started() and ended().
// Runs of a body that started before its first strike arrived are not limited in this way; CrashReaction::stop lists
// them so that the driver can cancel them.
#pragma once

#include "protocol/Ids.h"
#include "transport/RuntimeClock.h"

#include <chrono>
#include <deque>
#include <map>
#include <optional>
#include <set>
#include <tuple>
#include <variant>
#include <vector>

namespace lychee {

// One crash of one target. Instances that observe the same crash build the same id.
struct CrashId {
    TargetId target;
    // The incarnation of the target that crashed; empty for targets that do not report one.
    EngineIncarnation incarnation;

    auto operator<=>(const CrashId& other) const
    {
        return std::tie(target, incarnation) <=> std::tie(other.target, other.incarnation);
    }

    bool operator==(const CrashId&) const = default;
};

// Identifies a trial that an instance requested.
struct TrialId {
    InstanceId requester;
    std::uint64_t sequence = 0;

    auto operator<=>(const TrialId& other) const
    {
        return std::tie(requester, sequence) <=> std::tie(other.requester, other.sequence);
    }

    bool operator==(const TrialId&) const = default;
};

// `body` was running on a target when it crashed. The age, rather than a time, is sent because instances have no common
// clock; it makes the strike expire at about the same time everywhere.
struct CrashStrike {
    BodyHash body;
    CrashId crash;
    std::chrono::milliseconds age{0};
};

// `body` completed, so it did not cause these crashes.
struct StrikesCleared {
    BodyHash body;
    std::vector<CrashId> crashes;
};

// Asks the trial coordinator for a trial on one of `candidates`, which are in order of preference.
struct TrialRequested {
    BodyHash body;
    TrialId trial;
    std::vector<TargetId> candidates;
};

// The requester may run the body on the target once.
struct TrialGranted {
    BodyHash body;
    TrialId trial;
    TargetId target;
};

// The trial is over, or its request is withdrawn. If the target crashed, the strike is part of this notice, so that no
// instance processes the end before the strike.
struct TrialEnded {
    TrialId trial;
    std::optional<CrashStrike> strike;
};

// The notices that instances flood to each other.
using CrashNotice = std::variant<CrashStrike, StrikesCleared, TrialRequested, TrialGranted, TrialEnded>;

// A run of a body on a target by this instance.
struct BodyRun {
    BodyHash body;
    TargetId target;
    // Set if the run is a trial.
    std::optional<TrialId> trial;

    auto operator<=>(const BodyRun& other) const
    {
        return std::tie(body, target, trial) <=> std::tie(other.body, other.target, other.trial);
    }

    bool operator==(const BodyRun&) const = default;
};

// What the driver has to do after a call.
struct CrashReaction {
    // Notices to flood to all instances.
    std::vector<CrashNotice> flood;
    // Trials of this instance that may start now.
    std::vector<BodyRun> granted;
    // Runs of this instance to cancel, because their body got a strike elsewhere. Only idempotent calls are cancelled.
    std::vector<BodyRun> stop;
};

enum class BodyAdmission {
    // Run it without restriction.
    Free,
    // Request a trial. If it is not granted before the caller's deadline or within trialStartLimit, withdraw the
    // request and refuse with 503, `Lychee-Run: no` and Retry-After.
    Trial,
    // Refuse with status 422.
    Quarantined,
};

struct CrashSettings {
    InstanceId instance;
    // How long after its latest strike a body is remembered, and refused if it has two strikes.
    std::chrono::milliseconds quarantine{std::chrono::minutes(10)};
    // Time since the last membership change after which the coordinator grants trials. It exceeds the time that a
    // change needs to reach all instances, so that two instances do not grant at the same time.
    std::chrono::milliseconds membershipSettleTime{std::chrono::seconds(5)};
    // Number of bodies to remember. Beyond it, the body whose latest strike is oldest is evicted.
    std::size_t maxBodies = 10'000;
};

// A grant that arrives later than this after its request is not used but ended at once. Otherwise a requester that was
// paused could start a trial that the other instances consider over.
inline constexpr std::chrono::seconds trialStartLimit{2};

// The state of one instance. Not thread-safe.
//
// The strikes of a body and the crashes it was cleared of are sets that only grow until they expire, and a cleared
// crash stays cleared. So merging notices is idempotent and independent of their order.
class CrashingRequestTracker {
public:
    static CrashingRequestTracker create(CrashSettings settings);

    // Sets the existing instances, this one included. Instances that are suspected but not yet dead, or leaving but
    // still finishing requests, count as existing, so that in a network partition only the side with the coordinator
    // grants trials. A trial whose requester no longer exists counts as a crash, since nobody can report its outcome.
    CrashReaction setInstances(const std::set<InstanceId>& instances, TimePoint now);

    BodyAdmission admit(const BodyHash& body, TimePoint now) const;

    // Requests a trial. `candidates` are the targets that could run the body, in order of preference.
    std::pair<TrialId, CrashReaction> requestTrial(
        const BodyHash& body, const std::vector<TargetId>& candidates, TimePoint now);

    // Repeats a request. Needed because notices can be lost and a target may have become free since.
    CrashReaction repeatRequest(const TrialId& trial, TimePoint now);

    // Withdraws a request that has not been granted.
    CrashReaction withdraw(const TrialId& trial, TimePoint now);

    // Records that a body was sent to a target.
    void started(const BodyRun& run);

    // Records that a run ended without a crash; `completed` if the whole answer arrived.
    CrashReaction ended(const BodyRun& run, bool completed, TimePoint now);

    // Records that a target crashed: every body that this instance was running there gets a strike. The driver may
    // retry them once the notices have been flooded.
    CrashReaction targetCrashed(const CrashId& crash, TimePoint now);

    // Applies a notice from another instance.
    CrashReaction merge(const CrashNotice& notice, TimePoint now);

    // The strikes, cleared crashes and running trials, as notices for an instance that has just joined.
    std::vector<CrashNotice> snapshot(TimePoint now) const;

    std::size_t bodyCount() const { return suspects_.size(); }

private:
    struct Suspect {
        std::set<CrashId> strikes;
        std::set<CrashId> cleared;
        TimePoint latestStrike;
    };

    struct Trial {
        BodyHash body;
        TargetId target;
        TimePoint since;
    };

    struct Request {
        TrialRequested notice;
        TimePoint since;
    };

    explicit CrashingRequestTracker(CrashSettings settings);

    // Each applies one notice and adds the resulting actions to `reaction`.
    void apply(const CrashStrike& strike, TimePoint now, CrashReaction& reaction);
    void apply(const StrikesCleared& cleared, TimePoint now, CrashReaction& reaction);
    void apply(const TrialRequested& request, TimePoint now, CrashReaction& reaction);
    void apply(const TrialGranted& grant, TimePoint now, CrashReaction& reaction);
    void apply(const TrialEnded& ended, TimePoint now, CrashReaction& reaction);

    // Applies a notice of this instance and floods it.
    template <typename Notice> void announce(const Notice& notice, TimePoint now, CrashReaction& reaction);

    // The crashes that `body` may have caused: its strikes without the cleared ones.
    std::vector<CrashId> suspectedCrashes(const BodyHash& body, TimePoint now) const;
    std::optional<TargetId> freeTarget(const TrialRequested& request) const;
    bool isActiveCoordinator(TimePoint now) const;
    bool hasEnded(const TrialId& trial) const;
    Suspect& suspect(const BodyHash& body, TimePoint latestStrike, TimePoint now);
    void evictIfFull(TimePoint now);

    CrashSettings settings_;
    std::set<InstanceId> instances_;
    InstanceId coordinator_;
    TimePoint membershipChangedAt_;
    std::map<BodyHash, Suspect> suspects_;
    std::map<TrialId, Trial> trials_;
    // Trials that ended, oldest first, so that a grant or request which arrives late has no effect.
    std::deque<TrialId> endedTrials_;
    std::map<TrialId, Request> requests_;
    std::multiset<BodyRun> runs_;
    std::uint64_t nextSequence_ = 1;
};

} // namespace lychee
