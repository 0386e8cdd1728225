// What one instance currently knows about the targets: the list of targets, the models they hold, their load and their
// health.
#pragma once

#include "fleet/CallerRequest.h"
#include "fleet/PrefillQueue.h"
#include "fleet/SlotShare.h"
#include "fleet/TargetPace.h"
#include "fleet/TargetRecord.h"

#include <map>
#include <span>
#include <unordered_map>

namespace lychee::fleet {

// Work that one instance, or all instances together, have in progress on one target.
struct TargetWork {
    // Requests that were sent and whose answers are not complete.
    std::uint32_t running = 0;
    // Prompt tokens of the requests that have had no first event yet, without those that are probably cached.
    PrefillQueue prefill;
    // Tokens that the running requests may occupy in the engine's memory.
    double heldTokens = 0;
};

// The requests that a target had in progress and in its queue some time ago, according to itself.
struct AgedLoad {
    std::uint32_t requests = 0;
    Duration age{0};

    bool operator==(const AgedLoad&) const = default;
};

// The work of one instance on one target, as instances report it to each other.
struct TargetWorkReport {
    TargetId target;
    TargetWork work;
    // Set only for targets that report their pace.
    std::optional<PaceNews> pace;
    // Set only for targets of services with fewer slots than instances.
    std::optional<AgedLoad> load;
};

// The load of a target as the target itself reports it with an answer.
struct ReportedLoad {
    std::uint32_t running = 0;
    std::uint32_t waiting = 0;
    // How long work takes on the machine relative to the usual time, if the target says so.
    std::optional<double> pace;
};

// How many requests a target takes from all instances together.
struct RequestLimit {
    double perSecond = 0;
    // When this instance learnt that the target limits its requests.
    TimePoint knownSince;
};

// The present pace of a target that reports one, and where it comes from.
struct PaceState {
    TargetId target;
    double pace = 1;
    PaceSource source = PaceSource::None;
    // Time since the newest report.
    Duration age{0};
};

// How one send to a target ended.
enum class SendOutcome {
    // A complete answer arrived, or a stream ended.
    Answered,
    // The target did not run the request because it was full.
    Full,
    // The target did not run the request for another reason, for example because it does not hold the model.
    Declined,
    // No connection could be opened.
    Unreachable,
    // The answer broke off, was malformed, or reported a failure of the target.
    Failed,
    // The target did not answer before the timeout.
    NoAnswer,
    // The caller disconnected or the instance gave up; this says nothing about the target's health.
    Abandoned,
};

// Identifies one send while it is in progress.
using SendId = StrongNumber<struct SendIdTag>;

// The state of one target, from which chooseTarget() estimates its cost.
class TargetState {
public:
    TargetRecord record;
    TargetWork own;
    std::unordered_map<InstanceId, std::pair<TargetWork, TimePoint>> peers;
    // Requests of other instances according to the last load that the target reported.
    double reportedOthers = 0;
    std::optional<TimePoint> reportedAt;
    // Running and waiting requests according to the newest report of the target to this instance, and to any.
    std::optional<std::pair<std::uint32_t, TimePoint>> ownReport;
    std::optional<std::pair<std::uint32_t, TimePoint>> newestReport;
    TargetPace pace;
    // Whether the holdings come from the placement owner, which take precedence over a list entry of the same sequence.
    bool holdingsFromOwner = false;
    // Share of recent sends that failed, 0 to 1.
    double failureShare = 0;
    TimePoint failureShareAt;
    // Number of failures since the last answer.
    int consecutiveFailures = 0;
    // Ejected after failures until this time: not used unless all other targets are ejected too.
    TimePoint ejectedUntil;
    // The target reported that it is full and is avoided until this time.
    TimePoint fullUntil;
    // An adapter could not be loaded on the target, which is not asked for another one until this time while others
    // can.
    TimePoint adaptersRefusedUntil;
    // The target has said in an answer that it is about to leave; its list entry may say so later.
    bool leaving = false;
    // The target has declined a request and wants no further one until this time.
    TimePoint declinesUntil;
    // Set while the target limits its requests.
    std::optional<RequestLimit> limit;
    // Until this time the target counts as one that fails when it has to turn away many requests.
    TimePoint brittleUntil;
    // When it last turned a request away while brittle, and how long no request was sent to it after that.
    TimePoint turnedAwayAt;
    Duration turnAwayPause{0};
    // When each prompt part was last sent to this target, by the hash from promptPartHashes().
    std::unordered_map<std::uint64_t, TimePoint> promptParts;

    // Returns the work of all instances. Reports of peers are weighted less as they age, because requests run for about
    // `runTime`, and reports that are too old are left out. The number of running requests follows a recent report of
    // the target itself, which includes the requests of all instances.
    TargetWork totalWork(TimePoint now, Duration runTime) const;

    // Whether the target takes part in the service, though it may decline requests at the moment.
    bool isInService() const { return !record.draining && !leaving; }

    // Whether requests may be sent to the target.
    bool acceptsRequests(TimePoint now) const { return isInService() && declinesUntil <= now; }

    bool isBrittle(TimePoint now) const { return now < brittleUntil; }

    // Returns the failure share, decayed to `now`.
    double decayedFailureShare(TimePoint now) const;
};

// Not thread-safe; owned by the duty that relays requests.
class TargetRegistry {
public:
    // Adds or updates one target. A known target keeps its load and health unless it has restarted.
    void update(const TargetRecord& record);

    void remove(const TargetId& id);

    // Replaces the holdings of an engine by those from a more recent source than its list entry. Holdings with an older
    // sequence are ignored.
    void updateHoldings(const TargetId& id, TargetIncarnation incarnation, const Holdings& holdings);

    // Records the work that another instance has reported, in place of its previous report, and its news of paces.
    void recordPeerWork(const InstanceId& peer, std::span<const TargetWorkReport> reports, TimePoint now);

    // Records the load that a target reported with an answer to this instance.
    void recordLoad(const TargetId& id, const ReportedLoad& load, TimePoint now);

    // Records that a target has said that it is about to leave. `incarnation` is the known run of the target; an answer
    // that arrives at `heardAt` may come from a later run, whose list entry has not arrived yet.
    void recordLeaving(const TargetId& id, TargetIncarnation incarnation, std::optional<EpochTime> heardAt);

    // Whether this incarnation of a target is about to leave or no longer listed, so that its end is no crash.
    bool isLeaving(const TargetId& id, TargetIncarnation incarnation) const;

    // Whether a target is listed under another start than this one.
    bool wasReplaced(const TargetId& id, TargetIncarnation incarnation) const;

    // Records that a target has declined a request and wants no further one for a time. `heardAt` as above.
    void recordDeclined(
        const TargetId& id, TargetIncarnation incarnation, TimePoint until, std::optional<EpochTime> heardAt);

    // Records how many requests per second a target takes according to its answer to a request that was sent at
    // `sentAt`, or nothing when it states no limit. Returns whether this differs from what was known.
    bool recordLimit(const TargetId& id, TargetIncarnation incarnation, std::optional<double> perSecond,
        TimePoint sentAt, TimePoint now);

    // Records whether a target said in an answer that it fails when it has to turn away many requests.
    void recordBrittle(const TargetId& id, TargetIncarnation incarnation, bool isBrittle, TimePoint now);

    // Records that a brittle target has turned a request away. Returns for how long it gets none from any instance; the
    // time grows while it goes on turning requests away.
    Duration recordTurnedAway(const TargetId& id, TargetIncarnation incarnation, TimePoint now);

    // Returns the work of this instance and what it knows of paces at first hand, as a report for its peers.
    std::vector<TargetWorkReport> ownWork(TimePoint now) const;

    // Records that a request is sent to a target. `predicted` is the time to the first event that was expected when the
    // target was chosen; `fetchesCache` is whether the target gets the shared parts of the prompt from another engine.
    SendId beginSend(const TargetId& target, const GenerationNeed* need, TimePoint now,
        Duration predicted = Duration(0), Urgency urgency = UrgencyPolicy::standard, bool fetchesCache = false);

    // Records that the first event or the answer has arrived, so the prefill of the prompt is complete.
    void prefillDone(SendId send, TimePoint now);

    // Records the end of a send and its outcome for the target's health. Has no effect on a send that has already
    // ended.
    void endSend(SendId send, SendOutcome outcome, TimePoint now);

    // Returns the share of a plain service that has fewer slots than instances; null for other services.
    const SlotShare* slotShare(const ServiceId& service) const;

    // Returns the mean pace that is expected of a target over a time that begins at `now`; 1 when it is not listed.
    double paceOver(const TargetId& target, Duration time, TimePoint now) const;

    // Returns the targets that have reported a pace, those that differ most from 1 first, at most `limit` of them.
    std::vector<PaceState> paces(TimePoint now, std::size_t limit) const;

    // Returns the listed targets that limit their requests, with the requests per second that they take.
    std::map<TargetId, double> limits() const;

    // Returns the fraction of their requests that is admitted, for plain services with fewer slots than instances.
    std::map<ServiceId, double> admittedFractions(TimePoint now) const;

    // How long a request of this service occupies a slot on average, from its first event to its end.
    Duration slotOccupancy(const ServiceId& service) const;

    // Whether a data centre seems to be cut off: several of its targets were recently unreachable, and none was reached
    // since.
    bool isCutOff(const DataCentreId& dataCentre, TimePoint now) const;

    // Records that a target has reported that it does not hold the model or the adapter, although its last list entry
    // includes it.
    void recordMissing(const TargetId& id, const GenerationNeed& need);

    // Records that the placement owner could not load an adapter on the target.
    void recordAdapterRefused(const TargetId& id, TargetIncarnation incarnation, TimePoint now);

    // Records that the placement owner has said that the target holds the adapter, which it announces a little later.
    void recordAdapterLoaded(const TargetId& id, TargetIncarnation incarnation, const GenerationNeed& need);

    // Returns null when the target is not listed.
    const TargetState* find(const TargetId& id) const;

    // Returns the targets of a service.
    std::span<TargetState* const> ofService(const ServiceId& service) const;

    // Whether a listed target has this endpoint.
    bool isListed(const Endpoint& endpoint) const;

    std::size_t size() const { return targets_.size(); }

private:
    struct Send {
        TargetId target;
        TargetIncarnation incarnation;
        Urgency urgency = UrgencyPolicy::standard;
        double prefillTokens = 0;
        double heldTokens = 0;
        bool isGeneration = false;
        std::optional<TimePoint> firstEventAt;
        TimePoint startedAt;
        // Tokens that the answer probably has; 0 when unknown.
        double outputTokens = 0;
        // The expected time to the first event or the answer at pace 1, and the reported pace for this time.
        Duration expected{0};
        double reportedPace = 1;
    };

    // The targets of a data centre that could not be reached, with the time, since one of its targets was last reached.
    struct Reachability {
        std::map<TargetId, TimePoint> unreachedAt;
    };

    // What a target has said about requests to it. Kept apart from its state, which ends with its list entry: an entry
    // may be missing for a time while the target serves.
    struct Notice {
        TargetIncarnation incarnation;
        bool leaving = false;
        TimePoint declinesUntil;
        std::optional<RequestLimit> limit;
        // When an answer last said that the target is about to leave, and that it wants no request for a time.
        std::optional<EpochTime> leavingHeardAt;
        std::optional<EpochTime> declineHeardAt;

        // What a run of the target that is listed later has said, because it had started by then.
        Notice saidBy(TargetIncarnation later) const;
    };

    void rebuildServices();
    // Returns null for an incarnation before the one that is known.
    Notice* noticeOf(const TargetId& id, TargetIncarnation incarnation);
    void applyNotice(const TargetId& id);
    void recordReachability(const TargetState& state, SendOutcome outcome, TimePoint now);
    void recordHealth(TargetState& state, SendOutcome outcome, TimePoint now);
    void recordOccupancy(const ServiceId& service, Duration occupancy);
    // Whether there are fewer slots of the service than instances that report to this one, with itself.
    bool isScarce(const ServiceId& service) const;
    void recordRequests(TargetState& state, std::uint32_t requests, TimePoint at, TimePoint now);
    void recordTimes(TargetState& state, const Send& send, TimePoint now);
    static void recordMeasured(
        ExpectationBias& bias, TargetPace& pace, Duration measured, Duration expected, double reported);

    std::unordered_map<TargetId, std::unique_ptr<TargetState>> targets_;
    std::unordered_map<ServiceId, std::vector<TargetState*>> byService_;
    std::map<DataCentreId, Reachability> reachability_;
    std::unordered_map<SendId, Send> sends_;
    // Instances that have reported their work, with the time of the last report, and when old ones were last removed.
    std::unordered_map<InstanceId, TimePoint> peers_;
    TimePoint peersPrunedAt_;
    std::unordered_map<ServiceId, SlotShare> slotShares_;
    std::map<TargetId, Notice> notices_;
    // Moving average of the time from the first event to the end of a stream, in seconds.
    std::unordered_map<ServiceId, double> occupancySeconds_;
    // Of the time to the first event or to a plain answer, and of the time from there to the end of a stream.
    std::unordered_map<ServiceId, std::pair<ExpectationBias, ExpectationBias>> biases_;
    SendId nextSend_{1};
};

// Returns a hash for each part of a prompt, over the model, the adapter, the part and all parts before it. An engine
// reuses a cached part only if all of these are equal.
std::vector<std::uint64_t> promptPartHashes(const GenerationNeed& need);

// Estimates the prompt tokens that are left to prefill where the shared parts are probably cached or fetched.
double tokensWithSharedPartsCached(const GenerationNeed& need);

// Estimates the prompt tokens that a target has to prefill: those of the parts that were not sent there recently.
double uncachedTokens(
    const TargetState& state, const GenerationNeed& need, std::span<const std::uint64_t> partHashes, TimePoint now);

} // namespace lychee::fleet
