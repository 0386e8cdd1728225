#include "fleet/PlacementPlan.h"

#include <limits>
#include <unordered_map>

namespace lychee::fleet {

namespace {

// Uses below this are no reason to move anything: waits are short up to about half use.
constexpr double idleUse = 0.2;

// Least relief of a move, in squares of use; below it the measured demand is mostly chance.
constexpr double leastRelief = 0.03;

// Cost of a move in squares of use, and for each second of loading, in which the copy helps nobody.
constexpr double moveCost = 0.01;
constexpr double loadSecondCost = 0.004;

// Unloading a copy in use turns away the requests that wait for it and takes as long as those that run, so it costs
// this much for each part of the engine's time that they use, and a copy that is used more than a little stays.
constexpr double drainCost = 1;
constexpr double leastDrainedUse = 0.12;

// Giving up one of few copies costs more than one of many: demand returns to models that had it before.
constexpr double scarceCopyCost = 0.02;

// Another copy in the same data centre is worth less than one in another: the loss of a data centre takes both.
constexpr double sameDataCentreCost = 0.01;

// Wishes that are looked at in one pass; the next pass follows within a second.
constexpr std::size_t wishesInPass = 12;

double square(double value) { return value * value; }

// Memory of a model and its adapters. The size of a model that is no longer declared is unknown; it counts as the
// whole memory, so that nothing is loaded beside it.
double heldMegabytes(const Engine& engine, const HeldModel& held)
{
    const Model* model = engine.find(held.model);
    if (!model)
        return engine.weightMegabytes;
    return model->weightMegabytes + model->adapterMegabytes * static_cast<double>(held.adapters.size());
}

class Planner {
public:
    Planner(const Engine& engine, std::span<const PlannedEngine> engines, std::span<const ModelDemand> demand,
        int storeLoads)
        : engine_(engine)
        , engines_(engines)
        , storeLoads_(storeLoads)
        , used_(engines.size())
    {
        for (const ModelDemand& entry : demand)
            work_[entry.model] += entry.work;
        for (std::size_t i = 0; i < engines.size(); ++i) {
            if (!engines[i].available)
                continue;
            for (const HeldModel& held : engines[i].models) {
                if (engines[i].leaving == held.model)
                    continue;
                holders_[held.model].push_back(i);
                ++ready_[held.model];
            }
            if (engines[i].arriving)
                holders_[*engines[i].arriving].push_back(i);
        }
        computeUse();
    }

    std::vector<ModelOrder> run()
    {
        for (const Wish& wish : wishes())
            grant(wish);
        return std::move(orders_);
    }

private:
    struct Wish {
        const Model* model = nullptr;
        PlanReason reason = PlanReason::Missing;
        double urgency = 0;
    };

    // A place for a copy, with the models that have to make way.
    struct Place {
        std::size_t engine = 0;
        std::vector<ModelId> evicted;
        double cost = 0;
    };

    double workOf(const ModelId& model) const
    {
        const auto found = work_.find(model);
        return found == work_.end() ? 0 : found->second;
    }

    const std::vector<std::size_t>& holdersOf(const ModelId& model) const
    {
        static const std::vector<std::size_t> none;
        const auto found = holders_.find(model);
        return found == holders_.end() ? none : found->second;
    }

    int readyCopies(const ModelId& model) const
    {
        const auto found = ready_.find(model);
        return found == ready_.end() ? 0 : found->second;
    }

    // Work of a model is taken as spread evenly over its holders.
    void computeUse()
    {
        use_.assign(engines_.size(), 0);
        for (const auto& [model, holders] : holders_) {
            for (const std::size_t holder : holders)
                use_[holder] += workOf(model) / static_cast<double>(holders.size());
        }
    }

    double leastUse(const std::vector<std::size_t>& holders) const
    {
        double least = std::numeric_limits<double>::max();
        for (const std::size_t holder : holders)
            least = std::min(least, use_[holder]);
        return least;
    }

    // Models that lack a copy, the most urgent first.
    std::vector<Wish> wishes() const
    {
        std::vector<Wish> wishes;
        for (const Model& model : engine_.models) {
            const std::vector<std::size_t>& holders = holdersOf(model.id);
            const double work = workOf(model.id);
            if (holders.empty()) {
                // A model that callers wait for goes before one that nobody asks for.
                wishes.push_back({&model, PlanReason::Missing, work > 0 ? 1000 + work : 0});
                continue;
            }
            if (work > 0 && leastUse(holders) > idleUse)
                wishes.push_back({&model, PlanReason::Demand, square(work) / static_cast<double>(holders.size())});
        }
        std::stable_sort(wishes.begin(), wishes.end(),
            [](const Wish& left, const Wish& right) { return left.urgency > right.urgency; });
        wishes.resize(std::min(wishes.size(), wishesInPass));
        return wishes;
    }

    void grant(const Wish& wish)
    {
        std::optional<Place> best;
        for (std::size_t i = 0; i < engines_.size(); ++i) {
            if (!canTake(i, wish))
                continue;
            std::optional<Place> place = placeOn(i, *wish.model);
            if (place && (!best || place->cost < best->cost))
                best = std::move(place);
        }
        if (!best)
            return;
        if (wish.reason == PlanReason::Demand && best->cost > -leastRelief)
            return;
        issue(wish, *best);
    }

    bool canTake(std::size_t i, const Wish& wish) const
    {
        const PlannedEngine& planned = engines_[i];
        if (!planned.available || !planned.acceptsOrders || used_[i])
            return false;
        const auto& holders = holdersOf(wish.model->id);
        if (std::find(holders.begin(), holders.end(), i) != holders.end())
            return false;
        return storeLoads_ > 0 || !isFromStore(planned, wish.model->id);
    }

    static bool isFromStore(const PlannedEngine& planned, const ModelId& model)
    {
        return !planned.weightsInMemory.contains(model) && !planned.weightsOnDisk.contains(model);
    }

    static Duration loadTime(const PlannedEngine& planned, const Model& model)
    {
        if (planned.weightsInMemory.contains(model.id))
            return model.memoryLoad;
        return planned.weightsOnDisk.contains(model.id) ? model.diskLoad : model.storeLoad;
    }

    // What a copy of a model on an engine changes in the sum of squared uses, with the models that make way for it.
    // Squares weigh a busy engine more than several that are half busy, as waiting does.
    std::optional<Place> placeOn(std::size_t i, const Model& model) const
    {
        const PlannedEngine& planned = engines_[i];
        Place place{i, {}, moveCost};
        double room = freeMegabytes(engine_, planned);
        double use = use_[i];
        for (const Release& release : releases(i)) {
            if (room >= model.weightMegabytes)
                break;
            room += heldMegabytes(engine_, *release.held);
            place.evicted.push_back(release.held->model);
            place.cost += release.cost;
            use = std::max(0.0, use - release.relieved);
        }
        if (room < model.weightMegabytes)
            return std::nullopt;
        place.cost += square(use) - square(use_[i]);
        place.cost += costOfCopy(model.id, use);
        place.cost += loadSecondCost * std::chrono::duration<double>(loadTime(planned, model)).count();
        for (const std::size_t holder : holdersOf(model.id)) {
            if (engines_[holder].dataCentre == planned.dataCentre)
                place.cost += sameDataCentreCost;
        }
        return place;
    }

    // Change at the present holders and at an engine of this use, when it takes an equal part of the work.
    double costOfCopy(const ModelId& model, double use) const
    {
        const auto& holders = holdersOf(model);
        const double work = workOf(model);
        const double copies = static_cast<double>(holders.size());
        const double part = work / (copies + 1);
        double cost = square(use + part) - square(use);
        for (const std::size_t holder : holders)
            cost += square(std::max(0.0, use_[holder] - (work / copies - part))) - square(use_[holder]);
        return cost;
    }

    // A model that an engine can give up.
    struct Release {
        const HeldModel* held = nullptr;
        // Change at the other holders.
        double cost = 0;
        // Use of the engine that goes away.
        double relieved = 0;
    };

    // The models that an engine can give up, the cheapest first. The last copy of a declared model stays.
    std::vector<Release> releases(std::size_t i) const
    {
        std::vector<Release> releases;
        for (const HeldModel& held : engines_[i].models) {
            const auto& holders = holdersOf(held.model);
            const bool declared = engine_.find(held.model) != nullptr;
            if (engines_[i].leaving == held.model || engines_[i].fresh.contains(held.model)
                || (declared && readyCopies(held.model) < 2))
                continue;
            Release release{&held, 0, 0};
            if (declared) {
                const double copies = static_cast<double>(holders.size());
                release.relieved = workOf(held.model) / copies;
                if (release.relieved > leastDrainedUse)
                    continue;
                release.cost += drainCost * release.relieved;
                for (const std::size_t holder : holders) {
                    if (holder != i)
                        release.cost += square(use_[holder] + release.relieved / (copies - 1)) - square(use_[holder]);
                }
                release.cost += scarceCopyCost / (copies - 1);
            }
            releases.push_back(release);
        }
        std::sort(releases.begin(), releases.end(), [](const Release& left, const Release& right) {
            return left.cost - square(left.relieved) < right.cost - square(right.relieved);
        });
        return releases;
    }

    void issue(const Wish& wish, const Place& place)
    {
        const PlannedEngine& planned = engines_[place.engine];
        used_[place.engine] = true;
        if (!place.evicted.empty()) {
            const ModelId& evicted = place.evicted.front();
            ModelOrder order{planned.id, ModelOrderKind::Unload, evicted, PlanReason::Room, false, Duration(0), {}};
            // The load follows at once where one unload is enough.
            if (place.evicted.size() == 1) {
                order.roomFor = wish.model->id;
                order.fromStore = isFromStore(planned, wish.model->id);
                order.loadTime = loadTime(planned, *wish.model);
                if (order.fromStore)
                    --storeLoads_;
            }
            orders_.push_back(std::move(order));
            std::erase(holders_[evicted], place.engine);
            --ready_[evicted];
        } else {
            const bool fromStore = isFromStore(planned, wish.model->id);
            if (fromStore)
                --storeLoads_;
            orders_.push_back({planned.id, ModelOrderKind::Load, wish.model->id, wish.reason, fromStore,
                loadTime(planned, *wish.model), {}});
        }
        // Counted as a copy also while room is being made, so that the same wish is not granted twice.
        holders_[wish.model->id].push_back(place.engine);
        computeUse();
    }

    const Engine& engine_;
    std::span<const PlannedEngine> engines_;
    int storeLoads_;
    std::vector<bool> used_;
    std::unordered_map<ModelId, double> work_;
    std::unordered_map<ModelId, std::vector<std::size_t>> holders_;
    // Copies that serve now; those on their way may yet fail.
    std::unordered_map<ModelId, int> ready_;
    std::vector<double> use_;
    std::vector<ModelOrder> orders_;
};

} // namespace

std::string_view nameOf(PlanReason reason)
{
    switch (reason) {
    case PlanReason::Missing:
        return "missing";
    case PlanReason::Demand:
        return "demand";
    case PlanReason::Room:
        return "room";
    }
    return "unknown";
}

double freeMegabytes(const Engine& engine, const PlannedEngine& planned)
{
    double free = engine.weightMegabytes;
    for (const HeldModel& held : planned.models)
        free -= heldMegabytes(engine, held);
    if (planned.arriving) {
        if (const Model* model = engine.find(*planned.arriving))
            free -= model->weightMegabytes;
    }
    return free;
}

std::vector<ModelOrder> planModels(
    const Engine& engine, std::span<const PlannedEngine> engines, std::span<const ModelDemand> demand, int storeLoads)
{
    return Planner(engine, engines, demand, storeLoads).run();
}

} // namespace lychee::fleet
