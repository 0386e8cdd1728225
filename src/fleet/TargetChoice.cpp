#include "fleet/TargetChoice.h"

#include "coordination/RendezvousHash.h"

#include <cmath>

namespace lychee::fleet {

namespace {

// Prompt tokens that an engine prefills in a millisecond, according to the deployments' data sheets.
constexpr double prefillTokensPerMillisecond = 38.7;

// Time to begin a transfer between engines, in milliseconds.
constexpr double cacheFetchSetupMilliseconds = 5;

// Longest piece of a prompt that an engine prefills between two decoding steps, according to the data sheets.
constexpr double prefillChunkTokens = 4096;

// Cost of sending to another data centre, in milliseconds: the round trip and the price of the traffic.
constexpr double crossDataCentreMilliseconds = 6;

// Time by which each running request in the batch slows down decoding, in milliseconds.
constexpr double batchSlowdownMilliseconds = 1.5;

// Time to load an adapter into a free slot, and the additional cost when another adapter has to be evicted, which is
// the time that the next request for that one loses. The data sheets say 5 to 9.7 ms for a load, to which the way to
// the placement owner is added.
constexpr double adapterLoadMilliseconds = 15;
constexpr double adapterEvictionMilliseconds = 60;

// Added for a target on which an adapter could not be loaded a moment ago: larger than any wait that a caller accepts.
constexpr double adapterRefusedPenaltyMilliseconds = 30000;

// Time after which a place for an adapter is probably free, from the end of the requests that use the adapter in it.
constexpr Duration adapterPlaceFreed = std::chrono::milliseconds(400);

// Cost of a send that fails, in milliseconds: the time that the caller loses until the request is sent again.
constexpr double failurePenaltyMilliseconds = 1500;

// Added for targets that are used only when no other target can be: larger than any wait that a caller accepts.
constexpr double lastResortPenaltyMilliseconds = 60000;

// Added for a target that has just reported that it is full.
constexpr double fullPenaltyMilliseconds = 400;

// Added for a target that limits its requests: those that it takes are left to requests that no other target can serve.
constexpr double limitedPenaltyMilliseconds = 400;

// How long a plain request occupies its slot on average, in milliseconds.
constexpr double slotOccupancyMilliseconds = 600;

// Time in which the running requests of an engine release its whole memory, in milliseconds.
constexpr double memoryReleaseMilliseconds = 4000;

// Fraction of the memory that is filled with requests; above it engines preempt requests.
constexpr double usableMemoryFraction = 0.95;

// A request is admitted when its first event is expected within this fraction of its limit. The rest is kept for errors
// of the estimate.
constexpr double admittedFraction = 0.8;

// Time after which a service without targets probably has one again: targets restart within a few seconds.
constexpr Duration noTargetsRetry = std::chrono::seconds(2);

// Time within which a software version that has just appeared may begin streams.
constexpr Duration versionListedRetry = std::chrono::milliseconds(500);

// Time within which the placement owner orders a load: a demand report, a planning pass and the way to the engine.
constexpr Duration loadOrderDelay = std::chrono::milliseconds(900);

// Engines prefill prompts in chunks between decoding steps, so each output token waits for the chunk before it. A
// request with this many output tokens is delayed by the prefill of all queued prompts. The delay grows with the number
// of output tokens up to the given multiple.
constexpr double outputTokensOfFullDelay = 150;
constexpr double maxPrefillDelayFactor = 2;

// Run times of a stream and of a plain request, by which the work reported by peers decays. The data sheets say 0.3 to
// 2 s for streams and 15 to 60 ms for plain requests, of which several queue on a busy target.
constexpr Duration streamRunTime = std::chrono::seconds(2);
constexpr Duration plainRunTime = std::chrono::milliseconds(150);

// Number of targets between which requests for the same adapter or shared prompt choose. Two are nearly as good as all
// targets when the work of the other instances is known at once, and far better when it is known a second late. A third
// target would reduce the hits in the prompt cache.
constexpr std::size_t targetsInGroup = 2;

// Targets outside the group are considered when none of the group can take the request, or when they would cost more
// than this many latency objectives. A target outside the group has to prefill the shared prompt again, which makes an
// overload worse.
constexpr int objectivesBeforeWidening = 2;

// The same where a target outside the group fetches the shared prompt in a few milliseconds.
constexpr double objectivesBeforeWideningWithFetch = 0.4;

// Shortest time after which a refused caller is told to retry.
constexpr Duration minRetryAfter = std::chrono::milliseconds(200);

// A plain request that exceeds the share of its instance is held for this part of its objective.
constexpr int partsOfObjectiveHeld = 8;

struct Candidate {
    const TargetState* state = nullptr;
    // Estimated time to the first event.
    double milliseconds = 0;
    // The same for the least urgency, with which late requests are sent.
    double lateMilliseconds = 0;
    // The estimate plus all penalties of the target.
    double cost = 0;
    bool adapterMissing = false;
    // The engine from which the shared parts of the prompt are fetched.
    std::optional<Endpoint> cacheSource;
    // The adapter is missing, and none could be loaded on the target a moment ago.
    bool adapterRefused = false;
};

class Choice {
public:
    Choice(const TargetRegistry& registry, const ChoiceInput& input)
        : registry_(registry)
        , input_(input)
        , targets_(registry.ofService(input.service.id))
    {
        if (input.versions) {
            for (TargetState* state : targets_) {
                if (input.versions->contains(state->record.softwareVersion))
                    ofVersions_.push_back(state);
            }
            targets_ = ofVersions_;
        }
        if (input.need)
            partHashes_ = promptPartHashes(*input.need);
        occupancyMilliseconds_
            = std::chrono::duration<double, std::milli>(registry.slotOccupancy(input.service.id)).count();
    }

    TargetDecision run()
    {
        if (input_.need && input_.service.engine
            && static_cast<double>(input_.need->promptTokens.value()) > input_.service.engine->cacheTokens)
            return NoTarget{NoTargetReason::TooLarge, minRetryAfter};
        if (const auto held = holdForSlot())
            return *held;
        const std::optional<Candidate> best = findBest();
        const Duration admitted = admittedWait();
        if (!best)
            return decideWithoutCandidate();
        const Duration predicted = toDuration(best->milliseconds);
        if (predicted > admitted && isWorthALateAnswer(*best))
            return chosen(*best, toDuration(best->lateMilliseconds), true);
        if (predicted > admitted)
            return NoTarget{NoTargetReason::TooBusy, std::max(predicted - admitted, minRetryAfter)};
        return chosen(*best, predicted, false);
    }

private:
    static ChosenTarget chosen(const Candidate& best, Duration predicted, bool late)
    {
        const TargetRecord& record = best.state->record;
        return {record.id, record.endpoint, record.incarnation, record.softwareVersion, predicted, best.adapterMissing,
            late, best.cacheSource};
    }

    bool isWorthALateAnswer(const Candidate& best) const
    {
        return input_.need
            && toDuration(best.lateMilliseconds) <= fraction(std::min(input_.remaining, input_.lateObjective));
    }

    // Returns what to do with a request that exceeds the instance's share of a plain service.
    std::optional<TargetDecision> holdForSlot() const
    {
        const SlotShare* share = input_.need || !input_.sharesSlots ? nullptr : registry_.slotShare(input_.service.id);
        if (!share || share->admits(drawOf(input_.spreadKey), input_.now))
            return std::nullopt;
        if (input_.waited < input_.latencyObjective / partsOfObjectiveHeld)
            return AwaitedSlot{};
        return NoTarget{NoTargetReason::TooBusy, share->retryAfter(input_.now)};
    }

    // A number in [0, 1) that is evenly distributed over requests.
    static double drawOf(std::string_view key)
    {
        // Those bits that a double holds exactly, so that the result stays below 1.
        constexpr int mantissaBits = 53;
        constexpr int unusedBits = 64 - mantissaBits;
        return std::ldexp(static_cast<double>(rendezvousWeight(key, "slot") >> unusedBits), -mantissaBits);
    }

    // The longest time to the first event with which a request is admitted. A generation that would start later than
    // its objective is refused, although its caller would wait longer: if those are queued, all that follow are late
    // too.
    Duration admittedWait() const
    {
        const Duration limit = input_.need ? std::min(input_.remaining, input_.latencyObjective) : input_.remaining;
        return fraction(limit);
    }

    static Duration fraction(Duration limit)
    {
        return Duration(static_cast<Duration::rep>(static_cast<double>(limit.count()) * admittedFraction));
    }

    static Duration toDuration(double milliseconds)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double, std::milli>(milliseconds));
    }

    bool holdsModel(const TargetState& state) const
    {
        return !input_.need || input_.need->model.empty() || state.record.holdings.find(input_.need->model);
    }

    bool isEligible(const TargetState& state) const
    {
        return state.acceptsRequests(input_.now) && holdsModel(state) && !mayTurnAway(state)
            && std::find(input_.excluded.begin(), input_.excluded.end(), state.record.id) == input_.excluded.end();
    }

    // Whether a target that fails when it turns away many requests has no place that is known to be free. It is not
    // counted on to queue any.
    bool mayTurnAway(const TargetState& state) const
    {
        if (!state.isBrittle(input_.now))
            return false;
        const TargetWork work = state.totalWork(input_.now, input_.need ? streamRunTime : plainRunTime);
        return static_cast<int>(work.running) >= std::max(state.record.slots, 1);
    }

    // The key of requests that should go to the same targets: the adapter, which costs a load and a slot on each target
    // that has it, or else the shared prompt, or the session.
    std::string affinityKey() const
    {
        if (input_.need && input_.need->adapter)
            return fmt::format("{}/{}", input_.need->model, *input_.need->adapter);
        if (partHashes_.empty())
            return std::string(input_.spreadKey);
        return fmt::format("{:x}", partHashes_[partHashes_.size() > 1 ? partHashes_.size() - 2 : 0]);
    }

    // Returns the targets in the order of preference for this affinity key, which is the same on all instances.
    std::vector<const TargetState*> rankedTargets(const std::string& key) const
    {
        std::vector<std::pair<std::uint64_t, const TargetState*>> weighted;
        for (const TargetState* state : targets_) {
            if (state->isInService() && holdsModel(*state))
                weighted.emplace_back(rendezvousWeight(state->record.id.value(), key), state);
        }
        std::stable_sort(weighted.begin(), weighted.end(),
            [](const auto& left, const auto& right) { return left.first > right.first; });
        std::vector<const TargetState*> ranked;
        ranked.reserve(weighted.size());
        for (const auto& [weight, state] : weighted)
            ranked.push_back(state);
        return ranked;
    }

    std::optional<Candidate> findBest()
    {
        const std::string key = affinityKey();
        if (key.empty())
            return bestOf(targets_, targets_.size());
        const std::vector<const TargetState*> ranked = rankedTargets(key);
        if (!ranked.empty() && partHashes_.size() > 1)
            preferred_ = ranked.front();
        return bestOf(ranked, targetsInGroup);
    }

    // Returns the best target of the first group that has one in time, or the best of all. If the adapter is missing on
    // the best one, targets outside the group that hold it are considered too: it would take a second place there.
    std::optional<Candidate> bestOf(std::span<const TargetState* const> targets, std::size_t groupSize) const
    {
        const double limit = std::chrono::duration<double, std::milli>(input_.latencyObjective).count()
            * (input_.fetchesCache ? objectivesBeforeWideningWithFetch : objectivesBeforeWidening);
        std::optional<Candidate> best;
        std::size_t inGroup = 0;
        bool holdersOnly = false;
        for (const TargetState* state : targets) {
            if (inGroup == groupSize) {
                const bool inTime = best->cost < limit && toDuration(best->milliseconds) <= admittedWait();
                if (inTime && !best->adapterMissing)
                    break;
                holdersOnly = inTime;
                inGroup = 0;
            }
            if (!isEligible(*state) || (holdersOnly && lacksAdapter(*state)))
                continue;
            const Candidate candidate = evaluate(*state);
            if (candidate.adapterMissing && !input_.placementReached)
                continue;
            if (!candidate.adapterRefused)
                ++inGroup;
            if (!best || candidate.cost < best->cost)
                best = candidate;
        }
        return best;
    }

    double promptTokensToPrefill(const TargetState& state) const
    {
        const GenerationNeed& need = *input_.need;
        const double tokens = uncachedTokens(state, need, partHashes_, input_.now);
        return &state == preferred_ ? std::min(tokens, tokensWithSharedPartsCached(need)) : tokens;
    }

    // Returns the time to prefill the prompt in milliseconds, with cached parts from another engine where that is
    // faster.
    double prefillTime(const TargetState& state, Candidate& candidate) const
    {
        const double tokens = promptTokensToPrefill(state);
        const double milliseconds = tokens / prefillTokensPerMillisecond;
        if (!input_.fetchesCache || !preferred_ || preferred_ == &state || !isCacheSource(*preferred_, state))
            return milliseconds;
        const double remaining = tokensWithSharedPartsCached(*input_.need);
        const auto transfer = input_.service.engine->cacheTransferTime(tokens - remaining);
        if (tokens <= remaining || !transfer)
            return milliseconds;
        const double fetched = remaining / prefillTokensPerMillisecond
            + std::chrono::duration<double, std::milli>(*transfer).count() + cacheFetchSetupMilliseconds;
        if (fetched >= milliseconds)
            return milliseconds;
        candidate.cacheSource = preferred_->record.endpoint;
        return fetched;
    }

    // Whether a transfer from this target to another will probably succeed. Cached parts are read only by targets of
    // the software version that wrote them.
    bool isCacheSource(const TargetState& state, const TargetState& receiver) const
    {
        return state.record.softwareVersion == receiver.record.softwareVersion && state.isInService()
            && state.ejectedUntil <= input_.now && !registry_.isCutOff(state.record.dataCentre, input_.now);
    }

    Candidate evaluate(const TargetState& state) const
    {
        Candidate candidate{&state};
        const TargetWork work = state.totalWork(input_.now, input_.need ? streamRunTime : plainRunTime);
        const double slots = std::max(state.record.slots, 1);
        const double excess = std::max(0.0, static_cast<double>(work.running) + 1 - slots);
        const double occupancy = input_.need ? occupancyMilliseconds_ : slotOccupancyMilliseconds;
        candidate.milliseconds = excess / slots * occupancy;
        double penalty = static_cast<double>(work.running) / slots;
        // Time that the least urgent request waits in addition.
        double behind = 0;
        if (input_.need) {
            const double queued = work.prefill.total() / prefillTokensPerMillisecond;
            const double ahead = tokensAhead(work.prefill) / prefillTokensPerMillisecond;
            candidate.milliseconds += ahead;
            behind = queued - ahead;
            candidate.milliseconds += prefillTime(state, candidate);
            candidate.milliseconds += memoryWait(work);
            penalty = static_cast<double>(work.running) * batchSlowdownMilliseconds;
            penalty += queued * prefillDelayFactor();
        } else {
            penalty *= slotOccupancyMilliseconds;
        }
        // A target without reports of its pace has exactly 1.
        const double pace = state.pace.meanOver(toDuration(candidate.milliseconds), input_.now);
        candidate.milliseconds *= pace;
        penalty *= pace;
        evaluateAdapter(state, candidate, penalty);
        candidate.lateMilliseconds = candidate.milliseconds + behind * pace;
        if (state.record.dataCentre != input_.local)
            penalty += crossDataCentreMilliseconds;
        penalty += state.decayedFailureShare(input_.now) * failurePenaltyMilliseconds;
        if (state.fullUntil > input_.now)
            penalty += fullPenaltyMilliseconds;
        if (state.limit)
            penalty += limitedPenaltyMilliseconds;
        if (state.ejectedUntil > input_.now || registry_.isCutOff(state.record.dataCentre, input_.now))
            penalty += lastResortPenaltyMilliseconds;
        candidate.cost = candidate.milliseconds + penalty;
        return candidate;
    }

    // Prompt tokens that the engine prefills before those of this request. It finishes a chunk that it has begun, also
    // of a less urgent request; on average half of it is left.
    double tokensAhead(const PrefillQueue& queue) const
    {
        const double ahead = queue.aheadOf(input_.urgency);
        return ahead + std::min(queue.total() - ahead, prefillChunkTokens) / 2;
    }

    double prefillDelayFactor() const
    {
        const TokenCount output
            = std::min(input_.need->outputHint.value_or(input_.need->maxOutputTokens), input_.need->maxOutputTokens);
        return std::min(maxPrefillDelayFactor, static_cast<double>(output.value()) / outputTokensOfFullDelay);
    }

    double memoryWait(const TargetWork& work) const
    {
        const double room = input_.service.engine->cacheTokens * usableMemoryFraction;
        const double wanted = work.heldTokens + static_cast<double>(input_.need->promptTokens.value());
        if (wanted <= room)
            return 0;
        return occupancyMilliseconds_ + (wanted - room) / room * memoryReleaseMilliseconds;
    }

    bool lacksAdapter(const TargetState& state) const
    {
        if (!input_.need || !input_.need->adapter)
            return false;
        const HeldModel* held = state.record.holdings.find(input_.need->model);
        return !held || !held->adapters.contains(*input_.need->adapter);
    }

    void evaluateAdapter(const TargetState& state, Candidate& candidate, double& penalty) const
    {
        if (!lacksAdapter(state))
            return;
        candidate.adapterMissing = true;
        candidate.milliseconds += adapterLoadMilliseconds;
        const auto slots = static_cast<std::size_t>(std::max(input_.service.engine->adapterSlots, 0));
        if (state.record.holdings.adapterCount() >= slots)
            penalty += adapterEvictionMilliseconds;
        candidate.adapterRefused = state.adaptersRefusedUntil > input_.now;
        if (candidate.adapterRefused)
            penalty += adapterRefusedPenaltyMilliseconds;
    }

    TargetDecision decideWithoutCandidate() const
    {
        bool anyTarget = false;
        bool anyHolder = false;
        // A holder accepts requests but was tried, and does not hold the adapter.
        bool adapterTried = false;
        // The earliest time at which a holder that declines requests accepts them again.
        std::optional<TimePoint> accepting;
        for (const TargetState* state : targets_) {
            if (!state->isInService())
                continue;
            anyTarget = true;
            if (!holdsModel(*state))
                continue;
            anyHolder = true;
            adapterTried = adapterTried || (state->acceptsRequests(input_.now) && lacksAdapter(*state));
            accepting = std::min(accepting.value_or(TimePoint::max()), state->declinesUntil);
        }
        if (!anyTarget && input_.versions && hasTargetInService())
            return NoTarget{NoTargetReason::VersionNotServed, versionListedRetry};
        if (!anyTarget)
            return NoTarget{NoTargetReason::NoTargets, noTargetsRetry};
        if (!anyHolder)
            return decideMissingModel();
        if (!input_.placementReached && input_.need && input_.need->adapter)
            return NoTarget{NoTargetReason::AdapterNotHeld, std::chrono::seconds(1)};
        if (adapterTried) {
            // A place becomes free when the requests that use its adapter have ended; on average, half of their time is
            // over.
            const Duration used = registry_.slotOccupancy(input_.service.id) / 2;
            return NoTarget{NoTargetReason::AdapterNotHeld, used + adapterPlaceFreed};
        }
        return NoTarget{NoTargetReason::TooBusy, std::max<Duration>(*accepting - input_.now, minRetryAfter)};
    }

    bool hasTargetInService() const
    {
        const auto targets = registry_.ofService(input_.service.id);
        return std::any_of(
            targets.begin(), targets.end(), [](const TargetState* state) { return state->isInService(); });
    }

    // Whether the model is held, but at no software version that may get the request. The placement owner orders no
    // further copy then.
    bool isHeldAtOtherVersions() const
    {
        const auto targets = registry_.ofService(input_.service.id);
        return input_.versions && std::any_of(targets.begin(), targets.end(), [this](const TargetState* state) {
            return state->isInService() && holdsModel(*state);
        });
    }

    // A request waits for a model that is being loaded if the answer can still be in time, because a retry by the
    // caller would not be served sooner. If the model is not being loaded yet, the request waits for the placement
    // owner's next plan.
    TargetDecision decideMissingModel() const
    {
        const fleet::Model* model = input_.service.engine ? input_.service.engine->find(input_.need->model) : nullptr;
        if (!model)
            return NoTarget{NoTargetReason::ModelNotHeld, noTargetsRetry};
        std::optional<TimePoint> ready;
        for (const TargetState* state : targets_) {
            const auto& loading = state->record.holdings.loading;
            if (loading && loading->first == input_.need->model && state->acceptsRequests(input_.now))
                ready = std::min(ready.value_or(TimePoint::max()), loading->second);
        }
        const bool isHeldElsewhere = isHeldAtOtherVersions();
        const bool mayBeLoaded = input_.placementReached && input_.waited < loadOrderDelay && !isHeldElsewhere;
        // A version that has just appeared may get the request soon.
        if (!ready && !mayBeLoaded)
            return NoTarget{NoTargetReason::ModelNotHeld, isHeldElsewhere ? versionListedRetry : model->storeLoad};
        const TimePoint expected = std::max(ready.value_or(input_.now + model->storeLoad), input_.now);
        const double tokens = static_cast<double>(input_.need->promptTokens.value());
        if (expected - input_.now + toDuration(tokens / prefillTokensPerMillisecond) > fraction(input_.remaining))
            return NoTarget{NoTargetReason::ModelNotHeld, expected - input_.now + minRetryAfter};
        return AwaitedModel{expected};
    }

    const TargetRegistry& registry_;
    const ChoiceInput& input_;
    std::span<TargetState* const> targets_;
    // Those of the software versions that may get the request.
    std::vector<TargetState*> ofVersions_;
    std::vector<std::uint64_t> partHashes_;
    double occupancyMilliseconds_ = 0;
    // The target on which the shared prompt is probably cached; null for requests without one.
    const TargetState* preferred_ = nullptr;
};

} // namespace

std::string_view nameOf(NoTargetReason reason)
{
    switch (reason) {
    case NoTargetReason::NoTargets:
        return "no targets";
    case NoTargetReason::VersionNotServed:
        return "software version not served";
    case NoTargetReason::ModelNotHeld:
        return "model not held";
    case NoTargetReason::AdapterNotHeld:
        return "adapter not held";
    case NoTargetReason::TooBusy:
        return "too busy";
    case NoTargetReason::TooLarge:
        return "too large";
    }
    return "unknown";
}

TargetDecision chooseTarget(const TargetRegistry& registry, const ChoiceInput& input)
{
    return Choice(registry, input).run();
}

} // namespace lychee::fleet
