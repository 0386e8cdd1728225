#include "fleet/PlacementPlan.h"

#include <unordered_map>

namespace lychee::fleet {

namespace {

// A model wants another copy when its holders are busy for more than this part of their time. Low, because a copy
// takes seconds to load and prompts are read in bursts.
constexpr double fullUse = 0.45;

// A copy may make way when the remaining holders of its model stay below this.
constexpr double releasableUse = 0.35;

// What speaks against an engine as the place of a copy, in parts of its time: each model that has to make way, and
// each second of loading.
constexpr double evictionCost = 0.15;
constexpr double loadSecondCost = 0.04;

// Giving up one of few copies costs more than one of many: demand returns to models that had it before.
constexpr double scarceCopyCost = 0.2;

// Another copy in the same data centre is worth less than one in another: the loss of a data centre takes both.
constexpr double sameDataCentreCost = 0.05;

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
                if (engines[i].leaving != held.model)
                    holders_[held.model].push_back(i);
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

    // Work of a model is taken as spread evenly over its holders.
    void computeUse()
    {
        use_.assign(engines_.size(), 0);
        for (const auto& [model, holders] : holders_) {
            for (const std::size_t holder : holders)
                use_[holder] += workOf(model) / static_cast<double>(holders.size());
        }
    }

    double meanUse(const std::vector<std::size_t>& holders) const
    {
        double sum = 0;
        for (const std::size_t holder : holders)
            sum += use_[holder];
        return holders.empty() ? 0 : sum / static_cast<double>(holders.size());
    }

    std::vector<Wish> wishes() const
    {
        std::vector<Wish> wishes;
        for (const Model& model : engine_.models) {
            const std::vector<std::size_t>& holders = holdersOf(model.id);
            const double work = workOf(model.id);
            if (holders.empty()) {
                // A model that callers wait for goes before one that nobody asks for.
                wishes.push_back({&model, PlanReason::Missing, work > 0 ? 1000 + work : 0.001});
                continue;
            }
            const double use = meanUse(holders);
            if (work > 0 && use > fullUse)
                wishes.push_back({&model, PlanReason::Demand, (use - fullUse) * work});
        }
        std::stable_sort(wishes.begin(), wishes.end(),
            [](const Wish& left, const Wish& right) { return left.urgency > right.urgency; });
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
        // A copy on an engine that is as busy as the present holders relieves nobody.
        if (wish.reason == PlanReason::Demand && use_[best->engine] >= meanUse(holdersOf(wish.model->id)))
            return;
        issue(wish, *best);
    }

    bool canTake(std::size_t i, const Wish& wish) const
    {
        const PlannedEngine& planned = engines_[i];
        if (!planned.available || !planned.orderable || used_[i])
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

    std::optional<Place> placeOn(std::size_t i, const Model& model) const
    {
        const PlannedEngine& planned = engines_[i];
        Place place{i, {}, use_[i]};
        double room = freeMegabytes(engine_, planned);
        struct Releasable {
            double use = 0;
            std::size_t copies = 0;
            const HeldModel* held = nullptr;
        };
        std::vector<Releasable> releasable;
        for (const HeldModel& held : planned.models) {
            if (const std::optional<double> use = useAfterRelease(held.model))
                releasable.push_back({*use, holdersOf(held.model).size(), &held});
        }
        // Among idle models one with many copies gives one up.
        std::sort(releasable.begin(), releasable.end(), [](const Releasable& left, const Releasable& right) {
            return left.use != right.use ? left.use < right.use : left.copies > right.copies;
        });
        for (const auto& [use, copies, held] : releasable) {
            if (room >= model.weightMegabytes)
                break;
            room += heldMegabytes(engine_, *held);
            place.evicted.push_back(held->model);
            place.cost += evictionCost + use + scarceCopyCost / static_cast<double>(std::max<std::size_t>(copies, 1));
        }
        if (room < model.weightMegabytes)
            return std::nullopt;
        place.cost += loadSecondCost * std::chrono::duration<double>(loadTime(planned, model)).count();
        for (const std::size_t holder : holdersOf(model.id)) {
            if (engines_[holder].dataCentre == planned.dataCentre)
                place.cost += sameDataCentreCost;
        }
        return place;
    }

    // How busy the holders of a model would be without one of its copies; nothing when the copy has to stay.
    std::optional<double> useAfterRelease(const ModelId& model) const
    {
        if (!engine_.find(model))
            return 0;
        const auto& holders = holdersOf(model);
        if (holders.size() < 2)
            return std::nullopt;
        const double use
            = meanUse(holders) + workOf(model) / static_cast<double>(holders.size() * (holders.size() - 1));
        if (workOf(model) > 0 && use > releasableUse)
            return std::nullopt;
        return workOf(model) > 0 ? use : 0;
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
