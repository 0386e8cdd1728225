// Plays demand that moves between models against the planner, without a network. Work is a fluid: the holders of a
// model share its work as evenly as their other models permit, and what exceeds an engine's capacity is lost.
#pragma once

#include "fleet/LoadRateLimiter.h"
#include "fleet/PlacementPlan.h"

#include <cmath>
#include <random>

namespace lychee::fleet {

struct PlacementScenario {
    std::size_t engines = 18;
    double engineMegabytes = 83000;
    double storeLoadsPerSecond = 2.6;
    // Models of two sizes: every third one is small.
    std::size_t models = 26;
    double largeMegabytes = 34300;
    double smallMegabytes = 16100;
    Duration storeLoad = std::chrono::milliseconds(2000);
    Duration diskLoad = std::chrono::milliseconds(510);
    // The first `candidates` models take most of the work: `hotShares` of it at a time, and others after each shift.
    std::size_t candidates = 10;
    std::vector<double> hotShares{0.45, 0.2, 0.15, 0.12};
    Duration shiftInterval = std::chrono::seconds(8);
    // Work of all models, as a fraction of what all engines can do.
    double utilization = 0.6;
    // Time in which all copies that are needed after a shift can be loaded: some eight at the rate of the store, the
    // last of which takes as long as a load.
    Duration settleTime = std::chrono::milliseconds(5500);
    // Time before the first request, in which nothing is known of the demand.
    Duration lead = std::chrono::seconds(8);
    Duration length = std::chrono::seconds(60);
    std::uint64_t seed = 1;
};

struct PlacementOutcome {
    double work = 0;
    // Work that exceeded an engine's capacity or had no engine.
    double lost = 0;
    std::size_t loads = 0;
    std::size_t storeLoads = 0;
    // The same two when the last shift is at least `settleTime` ago.
    double settledWork = 0;
    double settledLost = 0;
    // The longest time for which a model with work had no engine.
    Duration longestWithoutCopy{0};
};

class PlacementSimulation {
public:
    explicit PlacementSimulation(const PlacementScenario& scenario)
        : scenario_(scenario)
        , random_(scenario.seed)
        , allowance_(scenario.storeLoadsPerSecond, TimePoint())
        , withoutCopy_(scenario.models)
    {
        engine_.weightMegabytes = scenario.engineMegabytes;
        engine_.loadsPerSecond = scenario.storeLoadsPerSecond;
        for (std::size_t m = 0; m < scenario.models; ++m) {
            const bool small = m % 3 == 0;
            engine_.models.push_back({modelOf(m), small ? scenario.smallMegabytes : scenario.largeMegabytes, 14, 0,
                scenario.storeLoad, scenario.diskLoad, scenario.diskLoad});
        }
        engines_.resize(scenario.engines);
        for (std::size_t i = 0; i < engines_.size(); ++i) {
            engines_[i].planned.id = TargetId(fmt::format("t{:03}", i));
            engines_[i].planned.dataCentre = DataCentreId(fmt::format("dc{}", i % 4));
        }
        shift();
        placeInitially();
    }

    PlacementOutcome run()
    {
        shiftedAt_ = TimePoint(scenario_.lead);
        for (; now_ < TimePoint(scenario_.lead + scenario_.length); now_ += tick) {
            if (now_ >= shiftedAt_ + scenario_.shiftInterval) {
                shift();
                shiftedAt_ = now_;
            }
            finishOrders();
            const bool started = now_ >= TimePoint(scenario_.lead);
            if (started)
                serve();
            measureDemand(started);
            plan();
        }
        return outcome_;
    }

private:
    static constexpr Duration tick = std::chrono::milliseconds(200);
    // Time until the owner knows that an order is complete.
    static constexpr Duration reportDelay = std::chrono::milliseconds(300);
    // Time in which the requests that run on a model end after it is to be unloaded.
    static constexpr Duration drainTime = std::chrono::milliseconds(1500);
    static constexpr Duration freshTime = std::chrono::seconds(5);
    // Share of an engine above which a copy counts as in use.
    static constexpr double usedShare = 0.02;
    // Time constants of the measured demand, as of the meter.
    static constexpr double fastSeconds = 1.2;
    static constexpr double slowSeconds = 3;

    struct SimulatedEngine {
        PlannedEngine planned;
        std::map<ModelId, TimePoint> loadedAt;
        std::map<ModelId, double> flow;
        // The models that remain to be unloaded and the one to be loaded after them.
        std::vector<ModelId> unloads;
        std::optional<ModelId> load;
        // When the order in progress ends.
        TimePoint doneAt;
        double utilization = 0;
    };

    static ModelId modelOf(std::size_t index) { return ModelId(fmt::format("m{:03}", index)); }

    // Draws which models take most of the work.
    void shift()
    {
        std::vector<std::size_t> order(scenario_.candidates);
        for (std::size_t i = 0; i < order.size(); ++i)
            order[i] = i;
        std::shuffle(order.begin(), order.end(), random_);
        double hot = 0;
        for (const double share : scenario_.hotShares)
            hot += share;
        const double total = scenario_.utilization * static_cast<double>(scenario_.engines);
        work_.assign(scenario_.models, (1 - hot) * total / static_cast<double>(scenario_.models));
        for (std::size_t i = 0; i < scenario_.hotShares.size(); ++i)
            work_[order[i]] += scenario_.hotShares[i] * total;
    }

    // One copy of each model, and further copies of the busiest ones where there is room, two models on an engine.
    void placeInitially()
    {
        std::vector<std::size_t> byWork(scenario_.models);
        for (std::size_t i = 0; i < byWork.size(); ++i)
            byWork[i] = i;
        std::stable_sort(byWork.begin(), byWork.end(),
            [&](std::size_t left, std::size_t right) { return work_[left] > work_[right]; });
        std::size_t next = 0;
        for (std::size_t place = 0; place < 2 * engines_.size(); ++place) {
            const std::size_t model = place < scenario_.models ? byWork[place] : byWork[next++ % 4];
            PlannedEngine& planned = engines_[place % engines_.size()].planned;
            const bool held = std::any_of(planned.models.begin(), planned.models.end(),
                [&](const HeldModel& entry) { return entry.model == modelOf(model); });
            if (!held && freeMegabytes(engine_, planned) >= engine_.models[model].weightMegabytes)
                planned.models.push_back({modelOf(model), 1, {}});
        }
    }

    std::vector<SimulatedEngine*> readyHolders(const ModelId& model)
    {
        std::vector<SimulatedEngine*> holders;
        for (SimulatedEngine& engine : engines_) {
            if (std::any_of(engine.planned.models.begin(), engine.planned.models.end(),
                    [&](const HeldModel& held) { return held.model == model; }))
                holders.push_back(&engine);
        }
        return holders;
    }

    // Shares out the work of this tick and counts what is lost.
    void serve()
    {
        constexpr int rounds = 40;
        for (SimulatedEngine& engine : engines_)
            engine.flow.clear();
        std::vector<std::vector<SimulatedEngine*>> holders;
        double work = 0;
        double lost = 0;
        const double seconds = std::chrono::duration<double>(tick).count();
        for (std::size_t m = 0; m < work_.size(); ++m) {
            holders.push_back(readyHolders(modelOf(m)));
            for (SimulatedEngine* engine : holders.back())
                engine->flow[modelOf(m)] = work_[m] / static_cast<double>(holders.back().size());
            withoutCopy_[m] = holders.back().empty() ? withoutCopy_[m] + tick : Duration(0);
            outcome_.longestWithoutCopy = std::max(outcome_.longestWithoutCopy, withoutCopy_[m]);
            work += work_[m] * seconds;
            if (holders.back().empty())
                lost += work_[m] * seconds;
        }
        for (int round = 0; round < rounds; ++round) {
            updateUtilization();
            for (std::size_t m = 0; m < work_.size(); ++m) {
                double sum = 0;
                for (SimulatedEngine* engine : holders[m])
                    sum += engine->flow[modelOf(m)] /= std::sqrt(0.05 + engine->utilization);
                for (SimulatedEngine* engine : holders[m])
                    engine->flow[modelOf(m)] *= work_[m] / sum;
            }
        }
        updateUtilization();
        for (const SimulatedEngine& engine : engines_)
            lost += std::max(0.0, engine.utilization - 1) * seconds;
        outcome_.work += work;
        outcome_.lost += lost;
        if (now_ >= shiftedAt_ + scenario_.settleTime) {
            outcome_.settledWork += work;
            outcome_.settledLost += lost;
        }
    }

    void updateUtilization()
    {
        for (SimulatedEngine& engine : engines_) {
            engine.utilization = 0;
            for (const auto& [model, flow] : engine.flow)
                engine.utilization += flow;
        }
    }

    void measureDemand(bool started)
    {
        fast_.resize(work_.size());
        slow_.resize(work_.size());
        const double seconds = std::chrono::duration<double>(tick).count();
        demand_.clear();
        for (std::size_t m = 0; m < work_.size(); ++m) {
            const double work = started ? work_[m] : 0;
            fast_[m] += (work - fast_[m]) * (1 - std::exp(-seconds / fastSeconds));
            slow_[m] += (work - slow_[m]) * (1 - std::exp(-seconds / slowSeconds));
            demand_.push_back({modelOf(m), std::max(fast_[m], slow_[m])});
        }
    }

    void plan()
    {
        std::vector<PlannedEngine> planned;
        for (SimulatedEngine& engine : engines_) {
            engine.planned.acceptsOrders = !engine.load && engine.unloads.empty();
            engine.planned.arriving = engine.load;
            engine.planned.leaving = {engine.unloads.begin(), engine.unloads.end()};
            engine.planned.fresh.clear();
            for (const auto& [model, time] : engine.loadedAt) {
                if (now_ - time < freshTime)
                    engine.planned.fresh.insert(model);
            }
            planned.push_back(engine.planned);
        }
        for (const ModelOrder& order : planModels(engine_, planned, demand_, allowance_.available(now_))) {
            if (order.fromStore) {
                allowance_.take(now_);
                ++outcome_.storeLoads;
            }
            start(order);
        }
    }

    void start(const ModelOrder& order)
    {
        SimulatedEngine& engine = *std::find_if(engines_.begin(), engines_.end(),
            [&](const SimulatedEngine& entry) { return entry.planned.id == order.target; });
        if (order.kind == ModelOrderKind::Load) {
            engine.load = order.model;
        } else {
            engine.unloads = {order.model};
            engine.unloads.insert(engine.unloads.end(), order.furtherUnloads.begin(), order.furtherUnloads.end());
            engine.load = order.roomFor;
        }
        startNext(engine);
    }

    void startNext(SimulatedEngine& engine)
    {
        if (!engine.unloads.empty()) {
            const ModelId& model = engine.unloads.front();
            const bool used = engine.flow.contains(model) && engine.flow.at(model) > usedShare;
            std::erase_if(engine.planned.models, [&](const HeldModel& held) { return held.model == model; });
            engine.doneAt = now_ + (used ? drainTime : tick);
            return;
        }
        if (!engine.load)
            return;
        const bool onDisk = engine.planned.weightsOnDisk.contains(*engine.load);
        engine.doneAt = now_ + (onDisk ? scenario_.diskLoad : scenario_.storeLoad) + reportDelay;
        ++outcome_.loads;
    }

    void finishOrders()
    {
        for (SimulatedEngine& engine : engines_) {
            if (now_ < engine.doneAt || (engine.unloads.empty() && !engine.load))
                continue;
            if (!engine.unloads.empty()) {
                engine.unloads.erase(engine.unloads.begin());
                startNext(engine);
                continue;
            }
            engine.planned.models.push_back({*engine.load, 1, {}});
            engine.planned.weightsOnDisk.insert(*engine.load);
            engine.loadedAt[*engine.load] = now_;
            engine.load.reset();
        }
    }

    PlacementScenario scenario_;
    std::mt19937_64 random_;
    LoadRateLimiter allowance_;
    Engine engine_;
    std::vector<SimulatedEngine> engines_;
    std::vector<double> work_;
    std::vector<double> fast_;
    std::vector<double> slow_;
    std::vector<ModelDemand> demand_;
    std::vector<Duration> withoutCopy_;
    TimePoint now_;
    TimePoint shiftedAt_;
    PlacementOutcome outcome_;
};

} // namespace lychee::fleet
