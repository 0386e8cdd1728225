#include "fleet/TargetChoice.h"

#include "coordination/RendezvousHash.h"

#include <cmath>

namespace lychee::fleet {

namespace {

// Prompt tokens that an engine reads in a millisecond, from the deployments' sheets (38.7).
constexpr double prefillTokensPerMillisecond = 38.7;

// Part of the shared prompt that is expected in the cache of the target that all instances prefer for it. Below 1,
// because the first request after a move or an eviction reads it anew.
constexpr double preferredCacheShare = 0.8;

// Cost of leaving the data centre, in milliseconds: the way there and back and the price of the bytes.
constexpr double crossingMilliseconds = 6;

// Decoding slows down by about this much for each request in the batch, in milliseconds for each request.
constexpr double batchMilliseconds = 1.5;

// Time to load an adapter into a free place, and the additional cost where another one has to make way, which its
// next request pays for. From the sheets: 5 to 9.7 ms beside the way to the owner of placement.
constexpr double adapterLoadMilliseconds = 15;
constexpr double adapterEvictionMilliseconds = 60;

// Cost of a send that fails: what the caller loses while it is repeated, in milliseconds.
constexpr double failureMilliseconds = 1500;

// Added for targets that should be used only when no other can: larger than any wait that a caller accepts.
constexpr double lastResortMilliseconds = 60000;

// Added for a target that said a moment ago that it is full.
constexpr double fullMilliseconds = 400;

// A waiting request holds its place in the batch for about this long, in milliseconds.
constexpr double slotMilliseconds = 600;

// Time in which the running requests of an engine give back its whole memory, in milliseconds.
constexpr double fullMemoryMilliseconds = 4000;

// Memory is planned to be used up to this part; above it engines preempt requests.
constexpr double memoryUse = 0.95;

// A request is admitted when its first event is expected within this part of the time left. The rest is for the
// other events and for errors of the estimate.
constexpr double admittedPart = 0.8;

// Time after which a service without targets may have some again: targets restart within a few seconds.
constexpr Duration noTargetsRetry = std::chrono::seconds(2);

// Time in which the placement owner orders a load: a report of demand, a plan and the way to the engine.
constexpr Duration orderWait = std::chrono::milliseconds(900);

// Each output token of a request waits for the prompt pieces that its engine reads meanwhile: a request with this many
// output tokens is held up by all of the prompts that are waiting.
constexpr double outputTokensHeldUp = 150;
constexpr double longestHoldUp = 2;

// How long a stream and a plain request run, by which the work that peers told fades. The sheets have streams of 0.3 to
// 2 s and plain requests of 15 to 60 ms, of which several wait on a busy target.
constexpr Duration streamTime = std::chrono::seconds(2);
constexpr Duration plainTime = std::chrono::milliseconds(150);

// Targets between which requests for the same adapter or shared prompt choose. Two are nearly as good as all when the
// work of the others is known at once, and far better when it is known a second late; a third costs cached prompts.
constexpr std::size_t targetsInGroup = 2;

// Further targets are looked at when those of the group would answer later than this many latency objectives. Leaving
// the group reads the shared prompt anew, which makes an overload worse.
constexpr int objectivesBeforeWidening = 2;

// Shortest time after which a refused caller is told to return.
constexpr Duration shortestRetryAfter = std::chrono::milliseconds(200);

struct Candidate {
    const TargetState* state = nullptr;
    // Estimated time to the first event.
    double milliseconds = 0;
    // The estimate and everything else that speaks against the target.
    double cost = 0;
    bool adapterMissing = false;
};

class Choice {
public:
    Choice(const TargetRegistry& registry, const ChoiceInput& input)
        : registry_(registry)
        , input_(input)
        , targets_(registry.ofService(input.service.id))
    {
        if (input.need)
            partHashes_ = promptPartHashes(*input.need);
    }

    TargetDecision run()
    {
        if (input_.need && input_.service.engine
            && static_cast<double>(input_.need->promptTokens.value()) > input_.service.engine->cacheTokens)
            return NoTarget{NoTargetReason::TooLarge, shortestRetryAfter};
        const std::optional<Candidate> best = findBest();
        const Duration admitted(
            static_cast<Duration::rep>(static_cast<double>(input_.remaining.count()) * admittedPart));
        if (!best)
            return noCandidate(admitted);
        const Duration predicted = toDuration(best->milliseconds);
        if (predicted > admitted)
            return NoTarget{NoTargetReason::TooBusy, std::max(predicted - admitted, shortestRetryAfter)};
        const TargetRecord& record = best->state->record;
        return ChosenTarget{record.id, record.endpoint, record.incarnation, predicted, best->adapterMissing};
    }

private:
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
        return !state.record.draining && holdsModel(state)
            && std::find(input_.excluded.begin(), input_.excluded.end(), state.record.id) == input_.excluded.end();
    }

    // What the requests have in common that go to the same targets: an adapter, which costs a load and a place on each
    // of them, or else the shared prompt, or the session.
    std::string affinityKey() const
    {
        if (input_.need && input_.need->adapter)
            return fmt::format("{}/{}", input_.need->model, *input_.need->adapter);
        if (partHashes_.empty())
            return std::string(input_.spreadKey);
        return fmt::format("{:x}", partHashes_[partHashes_.size() > 1 ? partHashes_.size() - 2 : 0]);
    }

    // The targets in the order in which requests like this one prefer them, equal for all instances.
    std::vector<const TargetState*> rankedTargets(const std::string& key) const
    {
        std::vector<std::pair<std::uint64_t, const TargetState*>> weighted;
        for (const TargetState* state : targets_) {
            if (!state->record.draining && holdsModel(*state))
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

    // The best target of the first group that has one in time, or of all.
    std::optional<Candidate> bestOf(std::span<const TargetState* const> targets, std::size_t groupSize) const
    {
        const double limit
            = std::chrono::duration<double, std::milli>(input_.latencyObjective).count() * objectivesBeforeWidening;
        std::optional<Candidate> best;
        std::size_t inGroup = 0;
        for (const TargetState* state : targets) {
            if (inGroup == groupSize) {
                if (best->cost < limit)
                    break;
                inGroup = 0;
            }
            if (!isEligible(*state))
                continue;
            const Candidate candidate = evaluate(*state);
            if (candidate.adapterMissing && !input_.placementReached)
                continue;
            ++inGroup;
            if (!best || candidate.cost < best->cost)
                best = candidate;
        }
        return best;
    }

    double promptTokensToRead(const TargetState& state) const
    {
        const GenerationNeed& need = *input_.need;
        const double tokens = uncachedTokens(state, need, partHashes_, input_.now);
        if (&state != preferred_)
            return tokens;
        const double own = static_cast<double>(need.parts.back().tokens.value());
        const double total = static_cast<double>(need.promptTokens.value());
        return std::min(tokens, total - preferredCacheShare * std::max(total - own, 0.0));
    }

    Candidate evaluate(const TargetState& state) const
    {
        Candidate candidate{&state, 0, 0, false};
        const TargetWork work = state.totalWork(input_.now, input_.need ? streamTime : plainTime);
        const double slots = std::max(state.record.slots, 1);
        const double excess = std::max(0.0, static_cast<double>(work.running) + 1 - slots);
        candidate.milliseconds = excess / slots * slotMilliseconds;
        double against = static_cast<double>(work.running) / slots;
        if (input_.need) {
            const double queued = work.prefillTokens / prefillTokensPerMillisecond;
            candidate.milliseconds += queued;
            candidate.milliseconds += promptTokensToRead(state) / prefillTokensPerMillisecond;
            candidate.milliseconds += memoryWait(work);
            against = static_cast<double>(work.running) * batchMilliseconds;
            against += queued * holdUp();
            evaluateAdapter(state, candidate, against);
        } else {
            against *= slotMilliseconds;
        }
        if (state.record.dataCentre != input_.local)
            against += crossingMilliseconds;
        against += state.decayedFailureShare(input_.now) * failureMilliseconds;
        if (state.fullUntil > input_.now)
            against += fullMilliseconds;
        if (state.ejectedUntil > input_.now || registry_.isCutOff(state.record.dataCentre, input_.now))
            against += lastResortMilliseconds;
        candidate.cost = candidate.milliseconds + against;
        return candidate;
    }

    double holdUp() const
    {
        const TokenCount output
            = std::min(input_.need->outputHint.value_or(input_.need->maxOutputTokens), input_.need->maxOutputTokens);
        return std::min(longestHoldUp, static_cast<double>(output.value()) / outputTokensHeldUp);
    }

    double memoryWait(const TargetWork& work) const
    {
        const double room = input_.service.engine->cacheTokens * memoryUse;
        const double wanted = work.heldTokens + static_cast<double>(input_.need->promptTokens.value());
        if (wanted <= room)
            return 0;
        return slotMilliseconds + (wanted - room) / room * fullMemoryMilliseconds;
    }

    void evaluateAdapter(const TargetState& state, Candidate& candidate, double& against) const
    {
        if (!input_.need->adapter)
            return;
        const HeldModel* held = state.record.holdings.find(input_.need->model);
        if (held && held->adapters.contains(*input_.need->adapter))
            return;
        candidate.adapterMissing = true;
        candidate.milliseconds += adapterLoadMilliseconds;
        const auto places = static_cast<std::size_t>(std::max(input_.service.engine->adapterSlots, 0));
        if (state.record.holdings.adapterCount() >= places)
            against += adapterEvictionMilliseconds;
    }

    TargetDecision noCandidate(Duration admitted) const
    {
        bool anyTarget = false;
        bool anyHolder = false;
        for (const TargetState* state : targets_) {
            if (state->record.draining)
                continue;
            anyTarget = true;
            anyHolder = anyHolder || holdsModel(*state);
        }
        if (!anyTarget)
            return NoTarget{NoTargetReason::NoTargets, noTargetsRetry};
        if (!anyHolder)
            return modelMissing(admitted);
        if (!input_.placementReached && input_.need && input_.need->adapter)
            return NoTarget{NoTargetReason::AdapterNotHeld, std::chrono::seconds(1)};
        return NoTarget{NoTargetReason::TooBusy, shortestRetryAfter};
    }

    // A request waits for a model that is being loaded if it can still be in time; the caller could not come back
    // later and be served sooner. One that nobody loads yet waits for the owner's next plan.
    TargetDecision modelMissing(Duration admitted) const
    {
        const fleet::Model* model = input_.service.engine ? input_.service.engine->find(input_.need->model) : nullptr;
        if (!model)
            return NoTarget{NoTargetReason::ModelNotHeld, noTargetsRetry};
        std::optional<TimePoint> ready;
        for (const TargetState* state : targets_) {
            const auto& loading = state->record.holdings.loading;
            if (loading && loading->first == input_.need->model && !state->record.draining)
                ready = std::min(ready.value_or(TimePoint::max()), loading->second);
        }
        const bool hoped = input_.placementReached && input_.waited < orderWait;
        if (!ready && !hoped)
            return NoTarget{NoTargetReason::ModelNotHeld, model->storeLoad};
        const TimePoint expected = std::max(ready.value_or(input_.now + model->storeLoad), input_.now);
        const double tokens = static_cast<double>(input_.need->promptTokens.value());
        if (expected - input_.now + toDuration(tokens / prefillTokensPerMillisecond) > admitted)
            return NoTarget{NoTargetReason::ModelNotHeld, expected - input_.now + shortestRetryAfter};
        return AwaitedModel{expected};
    }

    const TargetRegistry& registry_;
    const ChoiceInput& input_;
    std::span<TargetState* const> targets_;
    std::vector<std::uint64_t> partHashes_;
    // Where the shared prompt is probably cached; null for requests without one.
    const TargetState* preferred_ = nullptr;
};

} // namespace

std::string_view nameOf(NoTargetReason reason)
{
    switch (reason) {
    case NoTargetReason::NoTargets:
        return "no targets";
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
