// What one instance knows of the targets at this moment: the list, what they hold, their load and their health.
#pragma once

#include "fleet/CallerRequest.h"
#include "fleet/TargetRecord.h"

#include <map>
#include <span>
#include <unordered_map>

namespace lychee::fleet {

// Work of one instance, or of all, on one target.
struct TargetWork {
    // Requests that were sent and not answered to the end.
    std::uint32_t running = 0;
    // Prompt tokens of requests without a first event, less what is probably cached.
    double prefillTokens = 0;
    // Tokens that the running requests may hold in the engine's memory.
    double heldTokens = 0;
};

// The work of another instance on one target.
struct TargetWorkReport {
    TargetId target;
    TargetWork work;
};

// How one send to a target ended.
enum class SendOutcome {
    // A whole answer arrived, or a stream ended.
    Answered,
    // The target said that it did not run the request because it is full.
    Full,
    // The target said that it did not run the request for another reason, for example a model that it does not hold.
    Declined,
    // No connection could be opened.
    Unreachable,
    // The answer broke off, was no answer, or reported a failure of the target.
    Failed,
    // The target did not answer in the time that it was given.
    NoAnswer,
    // The caller left or the instance gave up; says nothing about the target.
    Abandoned,
};

// Identifies one send while it runs.
using SendId = StrongNumber<struct SendIdTag>;

// The state of one target as the choice of a target reads it.
class TargetState {
public:
    TargetRecord record;
    TargetWork own;
    std::unordered_map<InstanceId, std::pair<TargetWork, TimePoint>> peers;
    // The holdings were told by the placement owner, who knows them better than an entry of the same sequence.
    bool holdingsTold = false;
    // Share of recent sends that failed, 0 to 1.
    double failureShare = 0;
    TimePoint failureShareAt;
    // Failures since the last answer.
    int consecutiveFailures = 0;
    // Not used before this time, unless all others are out too.
    TimePoint ejectedUntil;
    // Answered that it is full; used last until this time.
    TimePoint fullUntil;
    // When a prompt part was last sent here, by its hash with all parts before it.
    std::unordered_map<std::uint64_t, TimePoint> promptParts;

    // Work of all instances. What peers told counts for less as it ages: requests run for about `runTime`, and shares
    // that are too old are left out.
    TargetWork totalWork(TimePoint now, Duration runTime) const;

    // The failure share, decayed to `now`.
    double decayedFailureShare(TimePoint now) const;
};

// Not thread-safe; owned by the duty that relays requests.
class TargetRegistry {
public:
    // Adds or updates one target. One that stays keeps its load and health, unless it has restarted.
    void update(const TargetRecord& record);

    void remove(const TargetId& id);

    // Takes what an engine holds from a fresher source than its entry in the list. Older knowledge is ignored.
    void updateHoldings(const TargetId& id, TargetIncarnation incarnation, const Holdings& holdings);

    // Records the work of another instance.
    void recordPeerWork(const InstanceId& peer, std::span<const TargetWorkReport> shares, TimePoint now);

    // The work of this instance, for its peers.
    std::vector<TargetWorkReport> ownWork() const;

    // Records that a request is sent to a target.
    SendId beginSend(const TargetId& target, const GenerationNeed* need, TimePoint now);

    // The first event or the answer has arrived, so the prompt has been read.
    void prefillDone(SendId send);

    void endSend(SendId send, SendOutcome outcome, TimePoint now);

    // Whether a data centre seems to be cut off: several of its targets could not be reached lately, and none was.
    bool isCutOff(const DataCentreId& dataCentre, TimePoint now) const;

    // A target has said that it does not hold the model, or the adapter, although its last entry says so.
    void recordMissing(const TargetId& id, const GenerationNeed& need);

    // Null when the target is not listed.
    const TargetState* find(const TargetId& id) const;

    // The targets of a service, in no particular order.
    std::span<TargetState* const> ofService(const ServiceId& service) const;

    std::size_t size() const { return targets_.size(); }

private:
    struct Send {
        TargetId target;
        TargetIncarnation incarnation;
        double prefillTokens = 0;
        double heldTokens = 0;
    };

    // Targets of a data centre that could not be reached since one of them last was.
    struct Reach {
        std::map<TargetId, TimePoint> unreached;
    };

    void rebuildServices();
    void recordReach(const TargetState& state, SendOutcome outcome, TimePoint now);
    void recordHealth(TargetState& state, SendOutcome outcome, TimePoint now);

    std::unordered_map<TargetId, std::unique_ptr<TargetState>> targets_;
    std::unordered_map<ServiceId, std::vector<TargetState*>> byService_;
    std::map<DataCentreId, Reach> reach_;
    std::unordered_map<SendId, Send> sends_;
    SendId nextSend_{1};
};

// Hash of each part of a prompt together with the model, the adapter and all parts before it. An engine reuses a
// cached part only if all of these are equal.
std::vector<std::uint64_t> promptPartHashes(const GenerationNeed& need);

// Tokens of the prompt that a target probably has to read: those of parts that were not sent there lately.
double uncachedTokens(
    const TargetState& state, const GenerationNeed& need, std::span<const std::uint64_t> partHashes, TimePoint now);

} // namespace lychee::fleet
