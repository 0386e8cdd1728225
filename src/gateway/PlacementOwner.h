// Plans and orders while this instance owns placement.
#pragma once

#include "gateway/OrderDispatcher.h"

namespace lychee::gateway {

inline constexpr LogChannel placementLog("placement");

template <EngineChannel Channel> class PlacementOwner {
public:
    using Handlers = typename OrderDispatcher<Channel>::Handlers;

    PlacementOwner(Duty& duty, Handlers handlers)
        : desk_(duty, std::move(handlers))
    {
    }

    // Follows the ownership of this instance. Call several times a second.
    void tick(bool owns, const std::shared_ptr<const fleet::RouteTable>& table,
        const std::map<TargetId, fleet::TargetRecord>& targets, const std::vector<fleet::ModelDemand>& demand)
    {
        if (owns != owns_) {
            owns_ = owns;
            placementLog.info("owner={} engines={}", owns, targets.size());
            if (owns)
                begin(table, targets);
            else
                desk_.end();
        }
        if (!owns_ || !table)
            return;
        table_ = table;
        desk_.setRoutes(table);
        desk_.followUp();
        for (const fleet::Service& service : table->services()) {
            if (service.engine)
                plan(service, demand);
        }
    }

    void listed(const fleet::TargetRecord& record)
    {
        if (owns_ && isEngine(record))
            desk_.update(record);
    }

    void gone(const TargetId& target)
    {
        if (owns_)
            desk_.remove(target);
    }

    bool owns() const { return owns_; }

    OrderDispatcher<Channel>& desk() { return desk_; }

    // Returns once the adapter is held on the target. Suspends the calling fiber.
    absl::Status ensureAdapter(
        const TargetId& target, const ModelId& model, const AdapterId& adapter, TimePoint deadline)
    {
        if (!owns_)
            return makeError(TransportError::Stopped, "this instance does not own placement");
        return desk_.ensureAdapter(target, model, adapter, deadline);
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
        loads_.reset();
        std::vector<fleet::TargetRecord> engines;
        for (const auto& [id, record] : targets) {
            if (isEngine(record))
                engines.push_back(record);
        }
        desk_.begin(engines);
    }

    void plan(const fleet::Service& service, const std::vector<fleet::ModelDemand>& demand)
    {
        const TimePoint now = currentTime();
        if (!loads_)
            loads_.emplace(service.engine->loadsPerSecond, now);
        const int storeLoads = loads_->isAvailable(now) ? 1 : 0;
        const std::vector<fleet::PlannedEngine> engines = desk_.engines(service.id);
        recordDemand(engines, demand, now);
        const std::vector<fleet::ModelOrder> orders = fleet::planModels(*service.engine, engines, demand, storeLoads);
        for (const fleet::ModelOrder& order : orders) {
            placementLog.info("target={} plan={} model={} reason={} room_for={} store={}", order.target,
                order.kind == fleet::ModelOrderKind::Load ? "load" : "unload", order.model, nameOf(order.reason),
                order.roomFor.value_or(ModelId("-")), order.fromStore);
            // Counted when it is planned, because the order may take effect whatever its answer is.
            if (order.fromStore)
                loads_->take(now);
        }
        desk_.carryOut(orders);
    }

    // One line a second for each model that is asked for, so that the reason of a plan can be found later.
    void recordDemand(
        const std::vector<fleet::PlannedEngine>& engines, const std::vector<fleet::ModelDemand>& demand, TimePoint now)
    {
        if (now < nextRecord_)
            return;
        nextRecord_ = now + recordInterval;
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

    static constexpr Duration recordInterval = std::chrono::seconds(1);

    bool owns_ = false;
    TimePoint nextRecord_;
    std::shared_ptr<const fleet::RouteTable> table_;
    std::optional<fleet::LoadRateLimiter> loads_;
    OrderDispatcher<Channel> desk_;
};

} // namespace lychee::gateway
