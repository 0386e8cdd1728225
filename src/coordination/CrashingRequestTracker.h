// Finds the request bodies that crash targets and keeps each from crashing more than two.
//
// Every body that ran on a crashed target gets a strike. A body with one strike runs only as a trial: on one target at
// a time over all instances, and not beside another struck body. So the next crash tells the body that caused it from
// those that merely shared its batch. A body with two strikes is refused.
//
// Trials are granted by one instance, the gate: the first of the live instances by rendezvous hash. Every instance
// computes it by itself, and all notices are flooded, so a new gate knows the trials that are going on. While the
// membership has changed recently nobody grants, and the driver refuses a struck body instead of running it.
//
// The driver floods every notice in CrashReaction::flood, in order and before it acts on the rest of the reaction,
// passes every notice it receives to merge(), and reports the runs of all bodies by started() and ended().
// Copies of a body that were started before the first strike arrived are beyond this rule; CrashReaction::stop names
// them.
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

// One crash of one target. Two instances that see the same crash name it equally.
struct CrashId {
    TargetId target;
    // The run of the target that ended by the crash; empty for targets that do not report one.
    EngineIncarnation incarnation;

    auto operator<=>(const CrashId& other) const
    {
        return std::tie(target, incarnation) <=> std::tie(other.target, other.incarnation);
    }

    bool operator==(const CrashId&) const = default;
};

// A trial that an instance asked for.
struct TrialId {
    InstanceId requester;
    std::uint64_t sequence = 0;

    auto operator<=>(const TrialId& other) const
    {
        return std::tie(requester, sequence) <=> std::tie(other.requester, other.sequence);
    }

    bool operator==(const TrialId&) const = default;
};

// `body` was running on a target when it crashed. Ages let instances agree on expiry without a common clock.
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

// Asks the gate for a trial on one of the targets, in order of preference.
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

// The trial is over, or its request is withdrawn. If the target crashed, the strike is in the same notice, so that no
// instance learns of the end before it learns of the strike.
struct TrialEnded {
    TrialId trial;
    std::optional<CrashStrike> strike;
};

// What instances flood to each other.
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

// What the driver does after a call.
struct CrashReaction {
    // Notices to flood to all instances.
    std::vector<CrashNotice> flood;
    // Trials of this instance that may start now.
    std::vector<BodyRun> granted;
    // Runs of this instance to cancel, because their body got a strike elsewhere. Only idempotent calls are cancelled.
    std::vector<BodyRun> stop;
};

enum class BodyAdmission {
    // Run it as usual.
    Free,
    // Ask for a trial; without a grant within the caller's patience or trialStartLimit, withdraw it and refuse with
    // 503, `Lychee-Run: no` and Retry-After.
    Trial,
    // Refuse with 422.
    Quarantined,
};

struct CrashSettings {
    InstanceId instance;
    // Time after its latest strike for which a body is remembered, and refused if it has two.
    std::chrono::milliseconds quarantine{std::chrono::minutes(10)};
    // Time without a change of the membership after which the gate grants. It exceeds the time in which a change
    // reaches all instances.
    std::chrono::milliseconds settle{std::chrono::seconds(5)};
    // Bodies that are remembered; beyond that the one whose latest strike is oldest is forgotten.
    std::size_t maxBodies = 10'000;
};

// A grant that arrives later than this after its request is given back, so that a requester which was paused does not
// start a trial that the others believe to be over.
inline constexpr std::chrono::seconds trialStartLimit{2};

// The state of one instance. Not thread-safe.
//
// Strikes and clearings are sets of crash ids that only grow until they expire, and a cleared crash stays cleared. So
// merging is idempotent and does not depend on the order of arrival.
class CrashingRequestTracker {
public:
    static CrashingRequestTracker create(CrashSettings settings);

    // Tells which instances exist, this one included. Instances that are suspected but still listed, or leaving but
    // still finishing requests, count as existing: in a partition only the side with the gate grants. A trial of an
    // instance that is gone counts as a crash, since nobody is left to report its outcome.
    CrashReaction setInstances(const std::set<InstanceId>& instances, TimePoint now);

    BodyAdmission admit(const BodyHash& body, TimePoint now) const;

    // Asks for a trial. `candidates` are the targets that could run the body, in order of preference.
    std::pair<TrialId, CrashReaction> requestTrial(
        const BodyHash& body, const std::vector<TargetId>& candidates, TimePoint now);

    // Repeats a request, since notices can be lost and a target may have become free.
    CrashReaction repeatRequest(const TrialId& trial, TimePoint now);

    // Ends the wait for a grant.
    CrashReaction withdraw(const TrialId& trial, TimePoint now);

    // A body was sent to a target.
    void started(const BodyRun& run);

    // The run ended without a crash; `completed` if the whole answer arrived.
    CrashReaction ended(const BodyRun& run, bool completed, TimePoint now);

    // The target crashed; every body that this instance was running there gets a strike. A retry may be tried after
    // the notices have been flooded.
    CrashReaction targetCrashed(const CrashId& crash, TimePoint now);

    // Takes in a notice of another instance.
    CrashReaction merge(const CrashNotice& notice, TimePoint now);

    // Strikes for an instance that has just joined.
    std::vector<CrashNotice> snapshot(TimePoint now) const;

    std::size_t bodyCount() const { return suspects_.size(); }

private:
    struct Suspect {
        std::set<CrashId> strikes;
        std::set<CrashId> cleared;
        TimePoint latest;
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

    // Each adds what it causes to `reaction`.
    void apply(const CrashStrike& strike, TimePoint now, CrashReaction& reaction);
    void apply(const StrikesCleared& cleared, TimePoint now, CrashReaction& reaction);
    void apply(const TrialRequested& request, TimePoint now, CrashReaction& reaction);
    void apply(const TrialGranted& grant, TimePoint now, CrashReaction& reaction);
    void apply(const TrialEnded& ended, TimePoint now, CrashReaction& reaction);

    // Applies a notice of this instance and floods it.
    template <typename Notice> void announce(const Notice& notice, TimePoint now, CrashReaction& reaction);

    // The crashes that `body` is suspected of now.
    std::vector<CrashId> suspectedCrashes(const BodyHash& body, TimePoint now) const;
    std::optional<TargetId> freeTarget(const TrialRequested& request) const;
    bool mayGrant(TimePoint now) const;
    bool hasEnded(const TrialId& trial) const;
    Suspect& suspect(const BodyHash& body, TimePoint latest, TimePoint now);
    void makeRoom(TimePoint now);

    CrashSettings settings_;
    std::set<InstanceId> instances_;
    InstanceId gate_;
    TimePoint membershipChanged_;
    std::map<BodyHash, Suspect> suspects_;
    std::map<TrialId, Trial> trials_;
    // Trials that ended, so that a grant or request which arrives late has no effect; in order of arrival.
    std::deque<TrialId> endedTrials_;
    std::map<TrialId, Request> requests_;
    std::multiset<BodyRun> runs_;
    std::uint64_t nextSequence_ = 1;
};

} // namespace lychee
