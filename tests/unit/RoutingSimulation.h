// Simulates, without a network, how many instances choose between shared engines.
#pragma once

#include "tests/unit/SimulatedInstances.h"

namespace lychee::fleet {

struct RoutingScenario {
    std::size_t instances = 80;
    std::size_t engines = 24;
    std::size_t models = 8;
    // Copies of each model, assigned to the engines in turn.
    std::size_t copies = 6;
    // Requests a second, over all instances and models.
    double requestsPerSecond = 80;
    // Shared prompts of each model.
    std::size_t prompts = 38;
    // Prefill time per token relative to the data sheets, assigned to the engines in turn.
    std::vector<double> enginePaces{1};
    // Paces that change with time, in addition.
    SimulatedPace pace;
    // Interval at which an instance reports its work to its peers.
    Duration statusInterval = std::chrono::seconds(1);
    Duration length = std::chrono::seconds(60);
    // Requests before this time fill the caches and are not counted.
    Duration warmUp = std::chrono::seconds(20);
    std::uint64_t seed = 1;
};

// Results as seen by the callers.
struct RoutingOutcome {
    std::size_t requests = 0;
    std::size_t refused = 0;
    std::vector<double> firstEventMilliseconds;
    double promptTokens = 0;
    double prefilledTokens = 0;

    double shareWithin(double milliseconds) const
    {
        return fleet::shareWithin(firstEventMilliseconds, requests, milliseconds);
    }
};

class RoutingSimulation : private SimulatedInstances {
public:
    explicit RoutingSimulation(const RoutingScenario& scenario)
        : SimulatedInstances(scenario.instances, scenario.statusInterval, scenario.seed)
        , scenario_(scenario)
        , engines_(scenario.engines)
    {
        service_.id = ServiceId("hall");
        service_.engine.emplace();
        service_.engine->slots = engineSlots;
        service_.engine->cacheTokens = cacheTokens;
        for (std::size_t model = 0; model < scenario_.models; ++model)
            service_.engine->models.push_back({modelOf(model), 65000, 12, 0, std::chrono::seconds(5)});
        std::vector<TargetRecord> records;
        records.reserve(engines_.size());
        for (std::size_t i = 0; i < engines_.size(); ++i)
            records.push_back(createRecord(fmt::format("engine-{}", i), service_.id, engineSlots));
        for (std::size_t i = 0; i < scenario_.models * scenario_.copies; ++i)
            records[i % records.size()].holdings.models.push_back({modelOf(i / scenario_.copies), 1, {}});
        for (const TargetRecord& record : records)
            list(record);
    }

    RoutingOutcome run()
    {
        schedule(drawGap(scenario_.requestsPerSecond), [this] { arrive(); });
        std::uniform_real_distribution<double> phase(0, 1);
        for (std::size_t i = 0; i < registries_.size(); ++i)
            schedule(seconds(phase(random_) * asSeconds(scenario_.statusInterval)), [this, i] { reportToPeers(i); });
        runUntil(TimePoint(scenario_.length));
        return std::move(outcome_);
    }

private:
    static constexpr int engineSlots = 48;
    static constexpr double cacheTokens = 167040;
    static constexpr double tokensPerMillisecond = 38.7;
    // Time between the end of prefill and the first event at the caller: one decoding step and the network latency.
    static constexpr double overheadMilliseconds = 10;

    // Prefills prompts one after another and caches the most recently used prompt parts.
    struct SimulatedEngine {
        TimePoint freeAt;
        std::uint32_t running = 0;
        std::map<std::uint64_t, std::pair<TimePoint, double>> cache;
        double cached = 0;
    };

    static double asSeconds(Duration time) { return std::chrono::duration<double>(time).count(); }

    static ModelId modelOf(std::size_t index) { return ModelId(fmt::format("m{}", index)); }

    GenerationNeed drawNeed()
    {
        // The first model has the largest share of the demand.
        std::vector<double> weights(scenario_.models);
        for (std::size_t i = 0; i < weights.size(); ++i)
            weights[i] = 1 / std::pow(static_cast<double>(i) + 1, 0.3);
        const std::size_t model = std::discrete_distribution<std::size_t>(weights.begin(), weights.end())(random_);
        const std::uint64_t prompt = random_() % scenario_.prompts;
        std::exponential_distribution<double> own(1 / 2890.0);
        GenerationNeed need;
        need.model = modelOf(model);
        const auto ownTokens = static_cast<std::uint64_t>(50 + std::min(own(random_), 39000.0));
        need.parts = {{model * 1000 + prompt % 3, TokenCount(2520)}, {model * 1000 + 100 + prompt, TokenCount(3780)},
            {random_(), TokenCount(ownTokens)}};
        need.promptTokens = TokenCount(6300 + ownTokens);
        need.maxOutputTokens = TokenCount(52);
        return need;
    }

    void arrive()
    {
        schedule(drawGap(scenario_.requestsPerSecond), [this] { arrive(); });
        const std::size_t instance = random_() % registries_.size();
        const auto need = std::make_shared<GenerationNeed>(drawNeed());
        const bool counted = now_ >= TimePoint(scenario_.warmUp);
        outcome_.requests += counted ? 1 : 0;
        const ChoiceInput input{
            service_, need.get(), DataCentreId("a"), now_, std::chrono::seconds(6), std::chrono::seconds(1), {}};
        const TargetDecision decision = chooseTarget(registries_[instance], input);
        const auto* chosen = std::get_if<ChosenTarget>(&decision);
        if (!chosen) {
            outcome_.refused += counted ? 1 : 0;
            return;
        }
        const SendId send = registries_[instance].beginSend(chosen->target, need.get(), now_, chosen->predicted);
        const std::size_t index = std::stoul(chosen->target.value().substr(chosen->target.value().find('-') + 1));
        const Duration wait = read(index, *need, counted);
        ++engines_[index].running;
        if (counted)
            outcome_.firstEventMilliseconds.push_back(asSeconds(wait) * 1000);
        schedule(wait, [this, instance, send, index, target = chosen->target] {
            if (const auto pace = scenario_.pace.reported(index, now_))
                registries_[instance].recordLoad(target, {engines_[index].running, 0, pace}, now_);
            registries_[instance].prefillDone(send, now_);
        });
        const Duration decode = seconds(0.6);
        schedule(scenario_.pace.endOf(index, now_ + wait, decode) - now_, [this, instance, send, index] {
            --engines_[index].running;
            registries_[instance].endSend(send, SendOutcome::Answered, now_);
        });
    }

    // Returns the time to the first event.
    Duration read(std::size_t index, const GenerationNeed& need, bool counted)
    {
        SimulatedEngine& engine = engines_[index];
        const double tokens = uncached(engine, need);
        if (counted) {
            outcome_.promptTokens += static_cast<double>(need.promptTokens.value());
            outcome_.prefilledTokens += tokens;
        }
        const double pace = scenario_.enginePaces[index % scenario_.enginePaces.size()];
        engine.freeAt = scenario_.pace.endOf(
            index, std::max(engine.freeAt, now_), seconds(tokens * pace / tokensPerMillisecond / 1000));
        return engine.freeAt - now_ + seconds(overheadMilliseconds / 1000);
    }

    double uncached(SimulatedEngine& engine, const GenerationNeed& need)
    {
        double tokens = static_cast<double>(need.promptTokens.value());
        bool whole = true;
        const std::vector<std::uint64_t> hashes = promptPartHashes(need);
        for (std::size_t i = 0; i < hashes.size(); ++i) {
            const double part = static_cast<double>(need.parts[i].tokens.value());
            const auto [entry, added] = engine.cache.try_emplace(hashes[i], now_, part);
            whole = whole && !added;
            if (whole)
                tokens -= part;
            engine.cached += added ? part : 0;
            entry->second.first = now_;
        }
        while (engine.cached > cacheTokens) {
            const auto oldest = std::min_element(engine.cache.begin(), engine.cache.end(),
                [](const auto& left, const auto& right) { return left.second.first < right.second.first; });
            engine.cached -= oldest->second.second;
            engine.cache.erase(oldest);
        }
        return tokens;
    }

    RoutingScenario scenario_;
    std::vector<SimulatedEngine> engines_;
    RoutingOutcome outcome_;
};

} // namespace lychee::fleet
