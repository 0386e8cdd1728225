// Plays the traffic of many instances before shared engines through the choice of a target, without a network.
#pragma once

#include "fleet/TargetChoice.h"

#include <queue>
#include <random>

namespace lychee::fleet {

struct RoutingScenario {
    std::size_t instances = 80;
    std::size_t engines = 24;
    std::size_t models = 8;
    // Copies of each model; the engines hold them in turn.
    std::size_t copies = 6;
    // Requests a second, over all instances and models.
    double requestsPerSecond = 80;
    // Shared prompts of each model.
    std::size_t prompts = 38;
    // Time for a prompt token of each model, relative to the sheets; the models take them in turn.
    std::vector<double> modelPaces{1};
    // The same for the engines.
    std::vector<double> enginePaces{1};
    // How often an instance tells its peers its work.
    Duration statusInterval = std::chrono::seconds(1);
    Duration length = std::chrono::seconds(60);
    // Requests before this time only fill the caches.
    Duration warmUp = std::chrono::seconds(20);
    std::uint64_t seed = 1;
};

// What the callers got.
struct RoutingOutcome {
    std::size_t asked = 0;
    std::size_t refused = 0;
    std::vector<double> firstEventMilliseconds;
    double promptTokens = 0;
    double readTokens = 0;

    double shareWithin(double milliseconds) const
    {
        const auto count = std::count_if(firstEventMilliseconds.begin(), firstEventMilliseconds.end(),
            [&](double time) { return time <= milliseconds; });
        return asked == 0 ? 0 : static_cast<double>(count) / static_cast<double>(asked);
    }
};

class RoutingSimulation {
public:
    explicit RoutingSimulation(RoutingScenario scenario)
        : scenario_(std::move(scenario))
        , random_(scenario_.seed)
        , boards_(scenario_.instances)
        , engines_(scenario_.engines)
    {
        service_.id = ServiceId("hall");
        service_.engine.emplace();
        service_.engine->slots = 48;
        service_.engine->cacheTokens = cacheTokens;
        for (std::size_t model = 0; model < scenario_.models; ++model)
            service_.engine->models.push_back({modelOf(model), 65000, 12, 0, std::chrono::seconds(5)});
        std::vector<TargetRecord> records(scenario_.engines);
        for (std::size_t i = 0; i < records.size(); ++i) {
            records[i].id = TargetId(fmt::format("engine-{}", i));
            records[i].service = service_.id;
            records[i].dataCentre = DataCentreId("a");
            records[i].endpoint = {"10.0.0.1", static_cast<std::uint16_t>(1000 + i)};
            records[i].birth = TargetBirth(1);
            records[i].slots = service_.engine->slots;
        }
        for (std::size_t i = 0; i < scenario_.models * scenario_.copies; ++i)
            records[i % records.size()].holdings.models.push_back({modelOf(i / scenario_.copies), 1, {}});
        for (TargetBoard& board : boards_) {
            for (const TargetRecord& record : records)
                board.update(record);
        }
    }

    RoutingOutcome run()
    {
        std::exponential_distribution<double> gap(scenario_.requestsPerSecond);
        schedule(seconds(gap(random_)), [this] { arrive(); });
        std::uniform_real_distribution<double> phase(0, 1);
        for (std::size_t i = 0; i < boards_.size(); ++i)
            schedule(seconds(phase(random_) * asSeconds(scenario_.statusInterval)), [this, i] { tellPeers(i); });
        while (!events_.empty() && events_.top().at < TimePoint(scenario_.length)) {
            const Event event = events_.top();
            events_.pop();
            now_ = event.at;
            event.action();
        }
        return std::move(outcome_);
    }

private:
    static constexpr double cacheTokens = 167040;
    static constexpr double tokensPerMillisecond = 38.7;
    // From the engine to the caller: a step of the batch and the ways between.
    static constexpr double overheadMilliseconds = 10;

    struct Event {
        TimePoint at;
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator<(const Event& other) const { return std::tie(other.at, other.order) < std::tie(at, order); }
    };

    // Reads prompts one after another and keeps the parts that were used last.
    struct SimulatedEngine {
        TimePoint freeAt;
        std::map<std::uint64_t, std::pair<TimePoint, double>> cache;
        double cached = 0;
    };

    static Duration seconds(double value)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
    }

    static double asSeconds(Duration time) { return std::chrono::duration<double>(time).count(); }

    static ModelId modelOf(std::size_t index) { return ModelId(fmt::format("m{}", index)); }

    void schedule(Duration after, std::function<void()> action)
    {
        events_.push({now_ + after, ++order_, std::move(action)});
    }

    void tellPeers(std::size_t teller)
    {
        const std::vector<WorkShare> work = boards_[teller].ownWork();
        for (std::size_t i = 0; i < boards_.size(); ++i) {
            if (i != teller)
                boards_[i].recordPeerWork(InstanceId(fmt::format("i{}", teller)), work, now_);
        }
        schedule(scenario_.statusInterval, [this, teller] { tellPeers(teller); });
    }

    GenerationNeed drawNeed()
    {
        // The first model has the largest part of the demand.
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
        std::exponential_distribution<double> gap(scenario_.requestsPerSecond);
        schedule(seconds(gap(random_)), [this] { arrive(); });
        const std::size_t instance = random_() % boards_.size();
        const auto need = std::make_shared<GenerationNeed>(drawNeed());
        const bool counted = now_ >= TimePoint(scenario_.warmUp);
        outcome_.asked += counted ? 1 : 0;
        const ChoiceInput input{
            service_, need.get(), DataCentreId("a"), now_, std::chrono::seconds(6), std::chrono::seconds(1), {}};
        const TargetDecision decision = chooseTarget(boards_[instance], input);
        const auto* chosen = std::get_if<ChosenTarget>(&decision);
        if (!chosen) {
            outcome_.refused += counted ? 1 : 0;
            return;
        }
        const SendId send = boards_[instance].beginSend(chosen->target, need.get(), now_);
        const Duration wait = read(chosen->target, *need, counted);
        if (counted)
            outcome_.firstEventMilliseconds.push_back(asSeconds(wait) * 1000);
        schedule(wait, [this, instance, send] { boards_[instance].prefillDone(send); });
        const double decode = 0.6;
        schedule(wait + seconds(decode),
            [this, instance, send] { boards_[instance].endSend(send, SendOutcome::Answered, now_); });
    }

    // Returns the time to the first event.
    Duration read(const TargetId& target, const GenerationNeed& need, bool counted)
    {
        const std::size_t index = std::stoul(target.value().substr(target.value().find('-') + 1));
        SimulatedEngine& engine = engines_[index];
        const double tokens = uncached(engine, need);
        if (counted) {
            outcome_.promptTokens += static_cast<double>(need.promptTokens.value());
            outcome_.readTokens += tokens;
        }
        const std::size_t model = std::stoul(need.model.value().substr(1));
        const double pace = scenario_.modelPaces[model % scenario_.modelPaces.size()]
            * scenario_.enginePaces[index % scenario_.enginePaces.size()];
        engine.freeAt = std::max(engine.freeAt, now_) + seconds(tokens * pace / tokensPerMillisecond / 1000);
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
    std::mt19937_64 random_;
    Service service_;
    std::vector<TargetBoard> boards_;
    std::vector<SimulatedEngine> engines_;
    std::priority_queue<Event> events_;
    std::uint64_t order_ = 0;
    TimePoint now_;
    RoutingOutcome outcome_;
};

} // namespace lychee::fleet
