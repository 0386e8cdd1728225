// Plans the placement of models and sends the orders for it while this instance owns placement.
#pragma once

#include "gateway/OrderDispatcher.h"

namespace lychee::gateway {

inline constexpr LogChannel placementLog("placement");

// The reason with which instances that may not send orders answer calls for adapters. Instances recognize it in the
// answers of others.
inline constexpr std::string_view notOwnerReason = "this instance does not own placement";

template <EngineChannel Channel> class PlacementOwner {
public:
    using Handlers = typename OrderDispatcher<Channel>::Handlers;

    PlacementOwner(Duty& duty, Handlers handlers)
        : dispatcher_(duty, std::move(handlers))
    {
    }

    // Takes over or gives up placement when `owns` changes, and plans while it is set. Called several times a second.
    void tick(bool owns, const std::shared_ptr<const fleet::RouteTable>& table,
        const std::map<TargetId, fleet::TargetRecord>& targets, const std::vector<fleet::ModelDemand>& demand)
    {
        if (owns != owns_) {
            owns_ = owns;
            placementLog.info("owner={} engines={}", owns, targets.size());
            if (owns)
                begin(table, targets);
            else
                dispatcher_.endTerm();
        }
        if (!owns_ || !table)
            return;
        table_ = table;
        dispatcher_.setRoutes(table);
        if (!planPace_)
            planPace_.emplace(dispatcher_.storeLoadRate(), currentTime());
        planPace_->setRate(dispatcher_.storeLoadRate(), currentTime());
        dispatcher_.pollReports();
        for (const fleet::Service& service : table->services()) {
            if (service.engine)
                plan(service, demand);
        }
    }

    // Records whether a target limits its requests. Also while this instance does not own placement.
    void recordLimit(const TargetId& target, fleet::TargetIncarnation incarnation, bool isLimited)
    {
        if (isLimited)
            limited_[target] = incarnation;
        else
            limited_.erase(target);
    }

    void updateTarget(const fleet::TargetRecord& record)
    {
        if (const auto found = limited_.find(record.id); found != limited_.end() && found->second != record.incarnation)
            limited_.erase(found);
        if (owns_ && isEngine(record))
            dispatcher_.update(record);
    }

    void removeTarget(const TargetId& target)
    {
        limited_.erase(target);
        if (owns_)
            dispatcher_.remove(target);
    }

    bool owns() const { return owns_; }

    OrderDispatcher<Channel>& dispatcher() { return dispatcher_; }

    // Returns once the target holds the adapter. Suspends the calling fiber. Fails with TransportError::Stopped when
    // this instance does not own placement, and with the errors of the dispatcher.
    absl::Status ensureAdapter(
        const TargetId& target, const ModelId& model, const AdapterId& adapter, TimePoint deadline)
    {
        if (!owns_)
            return makeError(TransportError::Stopped, notOwnerReason);
        return dispatcher_.ensureAdapter(target, model, adapter, deadline);
    }

private:
    bool isEngine(const fleet::TargetRecord& record) const
    {
        const fleet::Service* service = table_ ? table_->service(record.service) : nullptr;
        return service && service->engine;
    }

    void begin(
        const std::shared_ptr<const fleet::RouteTable>& table, const std::map<TargetId, fleet::TargetRecord>& targets)
    {
        table_ = table;
        planPace_.reset();
        unserved_.clear();
        std::vector<fleet::TargetRecord> engines;
        for (const auto& [id, record] : targets) {
            if (isEngine(record))
                engines.push_back(record);
        }
        dispatcher_.beginTerm(engines);
    }

    void plan(const fleet::Service& service, const std::vector<fleet::ModelDemand>& demand)
    {
        const TimePoint now = currentTime();
        const int storeLoads = std::min(planPace_->available(now), dispatcher_.availableStoreLoads());
        std::vector<fleet::PlannedEngine> engines = dispatcher_.engines(service.id);
        std::set<TargetId> limited;
        for (const auto& [target, incarnation] : limited_)
            limited.insert(target);
        fleet::leaveOutLimited(engines, limited);
        logDemand(engines, demand, now);
        const std::vector<fleet::ModelOrder> orders = fleet::planModels(
            *service.engine, engines, demand, storeLoads, unservedTimes(service, engines, demand, now));
        for (const fleet::ModelOrder& order : orders) {
            placementLog.info("target={} plan={} model={} reason={} room_for={} store={}", order.target,
                order.kind == fleet::ModelOrderKind::Load ? "load" : "unload", order.model, nameOf(order.reason),
                order.roomFor.value_or(ModelId("-")), order.fromStore);
            if (order.fromStore)
                planPace_->take(now);
        }
        dispatcher_.sendOrders(orders);
    }

    fleet::UnservedTimes unservedTimes(const fleet::Service& service, const std::vector<fleet::PlannedEngine>& engines,
        const std::vector<fleet::ModelDemand>& demand, TimePoint now)
    {
        std::set<ModelId> held;
        for (const fleet::PlannedEngine& engine : engines) {
            if (!engine.available)
                continue;
            for (const fleet::HeldModel& model : engine.models) {
                if (!engine.leaving.contains(model.model))
                    held.insert(model.model);
            }
        }
        std::vector<fleet::ModelDemand> ofService;
        std::copy_if(demand.begin(), demand.end(), std::back_inserter(ofService),
            [&](const fleet::ModelDemand& entry) { return service.engine->find(entry.model) != nullptr; });
        return unserved_[service.id].update(ofService, held, now);
    }

    // Logs one line a second for each model in demand, so that the reason for a plan can be found later.
    void logDemand(
        const std::vector<fleet::PlannedEngine>& engines, const std::vector<fleet::ModelDemand>& demand, TimePoint now)
    {
        if (now < nextDemandLog_)
            return;
        nextDemandLog_ = now + demandLogInterval;
        std::map<ModelId, double> work;
        for (const fleet::ModelDemand& entry : demand)
            work[entry.model] += entry.work;
        for (const auto& entry : work) {
            const ModelId& model = entry.first;
            std::size_t holders = 0;
            std::size_t arriving = 0;
            for (const fleet::PlannedEngine& engine : engines) {
                holders += std::any_of(engine.models.begin(), engine.models.end(),
                    [&](const fleet::HeldModel& held) { return held.model == model; });
                arriving += engine.arriving == model ? 1 : 0;
            }
            placementLog.info("model={} work={:.3f} holders={} arriving={}", model, entry.second, holders, arriving);
        }
    }

    static constexpr Duration demandLogInterval = std::chrono::seconds(1);

    bool owns_ = false;
    TimePoint nextDemandLog_;
    std::shared_ptr<const fleet::RouteTable> table_;
    // Limits the rate of planned loads, so that the unloads for them do not run ahead of the loads. The dispatcher
    // limits when the loads start.
    std::optional<fleet::LoadRateLimiter> planPace_;
    std::map<ServiceId, fleet::UnservedModels> unserved_;
    std::map<TargetId, fleet::TargetIncarnation> limited_;
    OrderDispatcher<Channel> dispatcher_;
};

} // namespace lychee::gateway
