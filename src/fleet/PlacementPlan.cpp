#include "fleet/PlacementPlan.h"

#include <limits>
#include <unordered_map>

namespace lychee::fleet {

namespace {

// Engine utilization up to which no further copy is loaded: requests hardly queue up to about half utilization.
constexpr double lowUtilization = 0.2;

// Smallest improvement for which a copy is added, in squared utilization. Smaller ones are mostly random variation of
// the measured demand.
constexpr double minImprovement = 0.03;

// Cost of adding a copy in squared utilization: a fixed cost, and one for each second of loading, during which the
// copy serves no requests.
constexpr double copyCost = 0.01;
constexpr double loadCostPerSecond = 0.004;

// Unloading a copy in use rejects the requests that wait for it and takes until the running ones have ended. It costs
// this much for each unit of utilization by that copy, and a copy with more than the maximum utilization is not
// unloaded.
constexpr double unloadCost = 0.3;
constexpr double maxUnloadedUtilization = 0.5;

// A copy with at most this utilization is idle. Such a copy may be unloaded even if it was loaded only recently.
constexpr double idleUtilization = 0.02;

// Unloading one of few copies costs more than one of many, because demand returns to models that had it before.
constexpr double scarceCopyCost = 0.02;

// A further copy in the same data centre is worth less than one in another, because losing the data centre loses both.
constexpr double sameDataCentreCost = 0.01;

// Unloading the last copy of a model costs more than unloading one of several in any use.
constexpr double lastCopyCost = 10;

// Maximum number of copy requests that one planning pass handles; the next pass follows within a second. Missing models
// take at most half of them while others need further copies, because some may have no room for a long time.
constexpr std::size_t maxRequestsInPass = 12;
constexpr std::size_t maxMissingInPass = maxRequestsInPass / 2;

// Last copies in use are unloaded only while fewer than one in this many engines change their models.
constexpr std::size_t enginesForEachTurn = 4;

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
        int storeLoads, const UnservedTimes& unserved)
        : engine_(engine)
        , engines_(engines)
        , storeLoads_(storeLoads)
        , unserved_(unserved)
        , hasOrder_(engines.size())
    {
        for (const ModelDemand& entry : demand)
            work_[entry.model] += entry.work;
        for (std::size_t i = 0; i < engines.size(); ++i) {
            if (!engines[i].available)
                continue;
            ++availableEngines_;
            changingEngines_ += engines[i].arriving || !engines[i].leaving.empty() ? 1 : 0;
            for (const HeldModel& held : engines[i].models) {
                if (engines[i].leaving.contains(held.model))
                    continue;
                holders_[held.model].push_back(i);
                ++readyCounts_[held.model];
            }
            if (engines[i].arriving)
                holders_[*engines[i].arriving].push_back(i);
        }
        computeUtilization();
    }

    std::vector<ModelOrder> run()
    {
        for (const CopyRequest& request : copyRequests())
            serve(request);
        return std::move(orders_);
    }

private:
    // Which last copies of other models may be unloaded for a copy.
    enum class LastCopies {
        None,
        // Those of models that are not asked for.
        Idle,
        All,
    };

    struct CopyRequest {
        const Model* model = nullptr;
        PlanReason reason = PlanReason::Missing;
        double urgency = 0;
    };

    // An engine for a new copy, with the models to unload first.
    struct CopyPlacement {
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
        const auto found = readyCounts_.find(model);
        return found == readyCounts_.end() ? 0 : found->second;
    }

    // Assumes that the work of a model is spread evenly over the engines that hold it.
    void computeUtilization()
    {
        utilization_.assign(engines_.size(), 0);
        for (const auto& [model, holders] : holders_) {
            for (const std::size_t holder : holders)
                utilization_[holder] += workOf(model) / static_cast<double>(holders.size());
        }
    }

    double lowestUtilization(const std::vector<std::size_t>& holders) const
    {
        double least = std::numeric_limits<double>::max();
        for (const std::size_t holder : holders)
            least = std::min(least, utilization_[holder]);
        return least;
    }

    std::optional<Duration> unservedTime(const ModelId& model) const
    {
        const auto found = unserved_.find(model);
        return found == unserved_.end() ? std::nullopt : std::optional(found->second);
    }

    // Models that need a further copy, the most urgent first.
    std::vector<CopyRequest> copyRequests() const
    {
        std::vector<CopyRequest> missing;
        std::vector<CopyRequest> busy;
        for (const Model& model : engine_.models) {
            const std::vector<std::size_t>& holders = holdersOf(model.id);
            const double work = workOf(model.id);
            if (holders.empty()) {
                // A model that is in demand comes before one that is not, and the one that has waited longest first.
                const auto waited = std::chrono::duration<double>(unservedTime(model.id).value_or(Duration(0)));
                missing.push_back({&model, PlanReason::Missing, work > 0 ? 1000 + work + waited.count() : 0});
                continue;
            }
            if (work > 0 && lowestUtilization(holders) > lowUtilization)
                busy.push_back({&model, PlanReason::Demand, square(work) / static_cast<double>(holders.size())});
        }
        sortByUrgency(missing);
        sortByUrgency(busy);
        const std::size_t busyInPass = std::min(busy.size(), maxRequestsInPass - maxMissingInPass);
        missing.resize(std::min(missing.size(), maxRequestsInPass - busyInPass));
        missing.insert(missing.end(), busy.begin(), busy.end());
        missing.resize(std::min(missing.size(), maxRequestsInPass));
        sortByUrgency(missing);
        return missing;
    }

    static void sortByUrgency(std::vector<CopyRequest>& requests)
    {
        std::stable_sort(requests.begin(), requests.end(),
            [](const CopyRequest& left, const CopyRequest& right) { return left.urgency > right.urgency; });
    }

    LastCopies unloadableLastCopies(const ModelId& model) const
    {
        const std::optional<Duration> waited = unservedTime(model);
        if (!waited || workOf(model) <= 0 || !holdersOf(model).empty())
            return LastCopies::None;
        const std::size_t turns = std::max<std::size_t>(availableEngines_ / enginesForEachTurn, 1);
        return *waited >= UnservedModels::maxWait && changingEngines_ < turns ? LastCopies::All : LastCopies::Idle;
    }

    void serve(const CopyRequest& request)
    {
        std::optional<CopyPlacement> best;
        const LastCopies lastCopies = unloadableLastCopies(request.model->id);
        for (std::size_t i = 0; i < engines_.size(); ++i) {
            if (!canHost(i, request))
                continue;
            std::optional<CopyPlacement> placement = placeCopyOn(i, *request.model, lastCopies);
            if (placement && (!best || placement->cost < best->cost))
                best = std::move(placement);
        }
        if (!best)
            return;
        if (request.reason == PlanReason::Demand && best->cost > -minImprovement)
            return;
        issueOrder(request, *best);
    }

    bool canHost(std::size_t i, const CopyRequest& request) const
    {
        const PlannedEngine& planned = engines_[i];
        if (!planned.available || !planned.acceptsOrders || hasOrder_[i])
            return false;
        const auto& holders = holdersOf(request.model->id);
        if (std::find(holders.begin(), holders.end(), i) != holders.end())
            return false;
        return storeLoads_ > 0 || !isFromStore(planned, request.model->id);
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

    // Computes how a copy of a model on an engine changes the sum of squared utilizations, and which models have to be
    // unloaded for it. The squares weigh one busy engine more than several half-busy ones, as queueing times do.
    std::optional<CopyPlacement> placeCopyOn(std::size_t i, const Model& model, LastCopies lastCopies) const
    {
        const PlannedEngine& planned = engines_[i];
        CopyPlacement placement{i, {}, copyCost};
        double freeMemory = freeMegabytes(engine_, planned);
        double load = utilization_[i];
        for (const Eviction& eviction : evictions(i, lastCopies)) {
            if (freeMemory >= model.weightMegabytes)
                break;
            freeMemory += heldMegabytes(engine_, *eviction.held);
            placement.evicted.push_back(eviction.held->model);
            placement.cost += eviction.cost;
            load = std::max(0.0, load - eviction.freedUtilization);
        }
        if (freeMemory < model.weightMegabytes)
            return std::nullopt;
        placement.cost += square(load) - square(utilization_[i]);
        placement.cost += costOfCopy(model.id, load);
        placement.cost += loadCostPerSecond * std::chrono::duration<double>(loadTime(planned, model)).count();
        for (const std::size_t holder : holdersOf(model.id)) {
            if (engines_[holder].dataCentre == planned.dataCentre)
                placement.cost += sameDataCentreCost;
        }
        return placement;
    }

    // Change of the sum of squares at the present holders and at an engine of utilization `load`, when that engine
    // takes over an equal share of the work.
    double costOfCopy(const ModelId& model, double load) const
    {
        const auto& holders = holdersOf(model);
        const double work = workOf(model);
        const double copies = static_cast<double>(holders.size());
        const double share = work / (copies + 1);
        double cost = square(load + share) - square(load);
        for (const std::size_t holder : holders)
            cost
                += square(std::max(0.0, utilization_[holder] - (work / copies - share))) - square(utilization_[holder]);
        return cost;
    }

    // A model that an engine can unload.
    struct Eviction {
        const HeldModel* held = nullptr;
        // Change of the sum of squares at the other holders, plus the penalties of unloading.
        double cost = 0;
        // Utilization of the engine that ends with the unload.
        double freedUtilization = 0;
    };

    // Whether the copy on an engine is the last one of a declared model.
    bool isLastCopy(const HeldModel& held) const { return engine_.find(held.model) && readyCopies(held.model) < 2; }

    bool mayUnloadLastCopy(std::size_t i, const HeldModel& held, LastCopies lastCopies) const
    {
        if (lastCopies == LastCopies::None || engines_[i].fresh.contains(held.model))
            return false;
        return lastCopies == LastCopies::All || workOf(held.model) <= 0;
    }

    // The models that an engine can unload, the cheapest first.
    std::vector<Eviction> evictions(std::size_t i, LastCopies lastCopies) const
    {
        std::vector<Eviction> evictions;
        for (const HeldModel& held : engines_[i].models) {
            const auto& holders = holdersOf(held.model);
            const bool declared = engine_.find(held.model) != nullptr;
            if (engines_[i].leaving.contains(held.model))
                continue;
            const bool last = isLastCopy(held);
            if (last && !mayUnloadLastCopy(i, held, lastCopies))
                continue;
            Eviction eviction{&held, 0, 0};
            if (declared) {
                const double copies = static_cast<double>(holders.size());
                eviction.freedUtilization = workOf(held.model) / copies;
                const bool fresh = engines_[i].fresh.contains(held.model);
                if (eviction.freedUtilization > (fresh ? idleUtilization : maxUnloadedUtilization))
                    continue;
                eviction.cost += unloadCost * eviction.freedUtilization;
                if (last)
                    eviction.cost += lastCopyCost * (1 + eviction.freedUtilization);
                for (const std::size_t holder : holders) {
                    if (holder != i && !last)
                        eviction.cost += square(utilization_[holder] + eviction.freedUtilization / (copies - 1))
                            - square(utilization_[holder]);
                }
                eviction.cost += last ? 0 : scarceCopyCost / (copies - 1);
            }
            evictions.push_back(eviction);
        }
        std::sort(evictions.begin(), evictions.end(), [](const Eviction& left, const Eviction& right) {
            return left.cost - square(left.freedUtilization) < right.cost - square(right.freedUtilization);
        });
        return evictions;
    }

    void issueOrder(const CopyRequest& request, const CopyPlacement& placement)
    {
        const PlannedEngine& planned = engines_[placement.engine];
        hasOrder_[placement.engine] = true;
        ++changingEngines_;
        ModelOrder order{planned.id, ModelOrderKind::Load, request.model->id, request.reason,
            isFromStore(planned, request.model->id), loadTime(planned, *request.model), {}, {}};
        if (order.fromStore)
            --storeLoads_;
        if (!placement.evicted.empty()) {
            order.kind = ModelOrderKind::Unload;
            order.reason = PlanReason::Room;
            order.model = placement.evicted.front();
            order.furtherUnloads.assign(placement.evicted.begin() + 1, placement.evicted.end());
            order.roomFor = request.model->id;
        }
        orders_.push_back(std::move(order));
        for (const ModelId& evicted : placement.evicted) {
            std::erase(holders_[evicted], placement.engine);
            --readyCounts_[evicted];
        }
        // Counts as a copy also while memory is being freed, so that the same copy is not requested twice.
        holders_[request.model->id].push_back(placement.engine);
        computeUtilization();
    }

    const Engine& engine_;
    std::span<const PlannedEngine> engines_;
    int storeLoads_;
    const UnservedTimes& unserved_;
    std::size_t availableEngines_ = 0;
    // Engines that are loading or unloading a model, or will be by an order of this pass.
    std::size_t changingEngines_ = 0;
    std::vector<bool> hasOrder_;
    std::unordered_map<ModelId, double> work_;
    std::unordered_map<ModelId, std::vector<std::size_t>> holders_;
    // Number of loaded copies of each model. Copies that are still being loaded are left out, because a load can fail.
    std::unordered_map<ModelId, int> readyCounts_;
    std::vector<double> utilization_;
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

std::vector<ModelOrder> planModels(const Engine& engine, std::span<const PlannedEngine> engines,
    std::span<const ModelDemand> demand, int storeLoads, const UnservedTimes& unserved)
{
    return Planner(engine, engines, demand, storeLoads, unserved).run();
}

void leaveOutLimited(std::span<PlannedEngine> engines, const std::set<TargetId>& limited)
{
    constexpr std::size_t enginesForEachLimited = 4;
    const auto isLimited = [&](const PlannedEngine& engine) { return limited.contains(engine.id); };
    const auto count = static_cast<std::size_t>(std::count_if(engines.begin(), engines.end(), isLimited));
    if (count * enginesForEachLimited > engines.size())
        return;
    for (PlannedEngine& engine : engines)
        engine.available = engine.available && !isLimited(engine);
}

} // namespace lychee::fleet
