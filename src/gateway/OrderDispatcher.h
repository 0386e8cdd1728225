// Sends the orders of the placement owner: keeps for each engine what it holds after how many orders, and sends one
// order after another on the condition that none has come between.
#pragma once

#include "fleet/LoadRateLimiter.h"
#include "fleet/PlacementPlan.h"
#include "gateway/EngineOrder.h"
#include "gateway/EngineState.h"
#include "gateway/OrderLimits.h"
#include "transport/Duty.h"
#include "transport/FiberEvent.h"
#include "transport/Log.h"
#include "transport/TransportError.h"

#include <map>

namespace lychee::gateway {

inline constexpr LogChannel orderLog("orders");

// Whether this instance may send an order now, and as whom.
struct OrderAuthority {
    bool granted = false;
    InstanceId holder;
    FencingNumber fence;
};

// Runs on the control duty.
template <EngineChannel Channel> class OrderDispatcher {
public:
    struct Handlers {
        std::function<OrderAuthority()> authority;
        // What an engine holds has changed.
        std::function<void(const fleet::TargetRecord&)> changed;
    };

    OrderDispatcher(Duty& duty, Handlers handlers)
        : duty_(duty)
        , handlers_(std::move(handlers))
    {
    }

    // Takes the list of engines; their state is read anew before the first order.
    void begin(const std::vector<fleet::TargetRecord>& engines)
    {
        slots_.clear();
        ++term_;
        for (const fleet::TargetRecord& record : engines)
            update(record);
    }

    // Forgets everything; requests that wait fail.
    void end()
    {
        ++term_;
        for (auto& [id, slot] : slots_)
            slot->failAll("this instance no longer owns placement");
        slots_.clear();
    }

    void update(const fleet::TargetRecord& record)
    {
        std::shared_ptr<Slot>& slot = slots_[record.id];
        if (!slot || slot->record.incarnation != record.incarnation) {
            if (slot)
                slot->failAll("the engine has restarted");
            slot = std::make_shared<Slot>();
            slot->record = record;
            return;
        }
        fleet::Holdings known = std::move(slot->record.holdings);
        slot->record = record;
        slot->record.holdings = std::move(known);
        if (record.holdings.sequence > slot->record.holdings.sequence)
            slot->synced = false;
    }

    void remove(const TargetId& target)
    {
        const auto found = slots_.find(target);
        if (found == slots_.end())
            return;
        found->second->failAll("the engine is gone");
        slots_.erase(found);
    }

    // What the planner needs, for the engines of one service.
    std::vector<fleet::PlannedEngine> engines(const ServiceId& service) const
    {
        std::vector<fleet::PlannedEngine> planned;
        for (const auto& [id, slot] : slots_) {
            if (slot->record.service != service)
                continue;
            fleet::PlannedEngine engine{id, slot->record.dataCentre, !slot->record.draining, isOrderable(*slot), {},
                slot->arriving, slot->leaving, slot->record.weightsInMemory, slot->record.weightsOnDisk};
            engine.models = slot->record.holdings.models;
            for (const auto& [model, time] : slot->loadedAt) {
                if (currentTime() - time < OrderLimits::freshCopy)
                    engine.fresh.insert(model);
            }
            planned.push_back(std::move(engine));
        }
        return planned;
    }

    std::vector<fleet::TargetRecord> records() const
    {
        std::vector<fleet::TargetRecord> records;
        for (const auto& [id, slot] : slots_)
            records.push_back(slot->record);
        return records;
    }

    // Sends the orders of a plan, each engine by itself.
    void carryOut(const std::vector<fleet::ModelOrder>& orders)
    {
        for (const fleet::ModelOrder& order : orders) {
            const auto found = slots_.find(order.target);
            if (found == slots_.end() || !isOrderable(*found->second))
                continue;
            found->second->planned = order;
            start(found->second);
        }
    }

    // Reads the reports of engines whose state is unknown or in motion.
    void followUp()
    {
        for (const auto& [id, slot] : slots_) {
            if ((isMoving(*slot) || !slot->synced) && !slot->running && currentTime() >= slot->nextReport)
                start(slot);
        }
    }

    void recordUse(const TargetId& target, const ModelId& model, const AdapterId& adapter)
    {
        if (const auto found = slots_.find(target); found != slots_.end())
            found->second->lastUse[{model, adapter}] = currentTime();
    }

    // Returns once the adapter is held. Suspends the calling fiber.
    absl::Status ensureAdapter(
        const TargetId& target, const ModelId& model, const AdapterId& adapter, TimePoint deadline)
    {
        const auto found = slots_.find(target);
        if (found == slots_.end())
            return makeError(TransportError::Stopped, "this instance does not own the engine");
        const std::shared_ptr<Slot> slot = found->second;
        slot->lastUse[{model, adapter}] = currentTime();
        if (holds(*slot, model, adapter))
            return absl::OkStatus();
        if (slot->wishes.size() >= OrderLimits::waiting)
            return makeError(TransportError::RingFull, "too many adapters wait for the engine");
        for (const std::shared_ptr<Wish>& wish : slot->wishes) {
            if (wish->model == model && wish->adapter == adapter)
                return AdapterRequest::await(wish, deadline);
        }
        auto wish = std::make_shared<Wish>();
        wish->model = model;
        wish->adapter = adapter;
        wish->deadline = deadline;
        slot->wishes.push_back(wish);
        start(slot);
        return AdapterRequest::await(wish, deadline);
    }

    // The configuration in force.
    void setRoutes(std::shared_ptr<const fleet::RouteTable> routes) { routes_ = std::move(routes); }

private:
    using Wish = AdapterRequest;
    using Slot = EngineState;

    static bool holds(const Slot& slot, const ModelId& model, const AdapterId& adapter)
    {
        const fleet::HeldModel* held = slot.record.holdings.find(model);
        return slot.synced && held && held->adapters.contains(adapter);
    }

    bool isOrderable(const Slot& slot) const
    {
        return slot.synced && !slot.unsettled && !slot.ordering && !slot.planned && !slot.arriving && !slot.leaving
            && !slot.record.draining && currentTime() >= slot.pausedUntil;
    }

    const fleet::Engine* engineOf(const Slot& slot) const
    {
        const fleet::Service* service = routes_ ? routes_->service(slot.record.service) : nullptr;
        return service && service->engine ? &*service->engine : nullptr;
    }

    // Memory that the engine has left. What arrives by an order of an earlier owner is not known; it may be the
    // largest model.
    static double freeMegabytes(const fleet::Engine& engine, const Slot& slot)
    {
        fleet::PlannedEngine planned;
        planned.models = slot.record.holdings.models;
        planned.arriving = slot.arriving;
        double largest = 0;
        for (const fleet::Model& model : engine.models)
            largest = std::max(largest, model.weightMegabytes);
        return fleet::freeMegabytes(engine, planned) - (slot.unsettled ? largest : 0);
    }

    static bool isMoving(const Slot& slot) { return slot.arriving || slot.leaving || slot.unsettled; }

    void start(const std::shared_ptr<Slot>& slot)
    {
        if (slot->running)
            return;
        slot->running = true;
        duty_.spawn([this, slot, term = term_] { work(slot, term); });
    }

    // Whether the slot still stands for the engine, and this instance may order.
    bool isCurrent(const std::shared_ptr<Slot>& slot, std::uint64_t term) const
    {
        const auto found = slots_.find(slot->record.id);
        return term == term_ && found != slots_.end() && found->second == slot;
    }

    // Does all that there is to do for one engine, one call after another.
    void work(const std::shared_ptr<Slot>& slot, std::uint64_t term)
    {
        while (isCurrent(slot, term)) {
            if (!handlers_.authority().granted) {
                slot->failAll("this instance may not send orders now");
                break;
            }
            if (!slot->synced || (isMoving(*slot) && currentTime() >= slot->nextReport && slot->wishes.empty())) {
                if (!sync(slot, term))
                    break;
                continue;
            }
            if (slot->planned) {
                slot->ordering = true;
                orderModel(slot, term);
                slot->ordering = false;
                continue;
            }
            if (slot->wishes.empty())
                break;
            const std::shared_ptr<Wish> wish = slot->wishes.front();
            slot->wishes.pop_front();
            absl::Status status = grant(slot, *wish, term);
            wish->finish(std::move(status));
        }
        slot->running = false;
    }

    // Reads what the engine holds. Returns false when it could not be read.
    bool sync(const std::shared_ptr<Slot>& slot, std::uint64_t term)
    {
        // A report that is too fresh after an order shows the state before it.
        if (currentTime() < slot->nextReport)
            sleepFor(slot->nextReport - currentTime());
        slot->nextReport = currentTime() + OrderLimits::reportInterval;
        const auto report = channel_.report(slot->record, currentTime() + OrderLimits::report);
        if (!isCurrent(slot, term))
            return false;
        if (!report.ok()) {
            slot->pausedUntil = currentTime() + OrderLimits::failurePause;
            slot->failAll("the engine does not answer");
            return false;
        }
        adopt(*slot, *report);
        return slot->synced;
    }

    void adopt(Slot& slot, const fleet::EngineReport& report)
    {
        if (report.incarnation != slot.record.incarnation && report.incarnation != fleet::TargetIncarnation()) {
            // The list will show the restart; until then nothing is known.
            slot.synced = false;
            slot.failAll("the engine has restarted");
            return;
        }
        // A report from before the last order says nothing about the state after it.
        if (report.holdings.sequence < slot.record.holdings.sequence && slot.synced)
            return;
        const auto loading = std::move(slot.record.holdings.loading);
        slot.record.holdings = report.holdings;
        if (report.holdings.busy)
            slot.record.holdings.loading = loading;
        slot.record.weightsInMemory = report.weightsInMemory;
        slot.record.weightsOnDisk = report.weightsOnDisk;
        slot.synced = true;
        slot.unsettled = report.holdings.busy && !slot.arriving && !slot.leaving;
        if (!report.holdings.busy) {
            if (slot.arriving || slot.leaving) {
                orderLog.info("target={} sequence={} model={} {}", slot.record.id, report.holdings.sequence,
                    slot.arriving ? *slot.arriving : *slot.leaving, slot.arriving ? "loaded" : "unloaded");
            }
            if (slot.arriving)
                slot.loadedAt[*slot.arriving] = currentTime();
            slot.arriving.reset();
            slot.leaving.reset();
        }
        handlers_.changed(slot.record);
    }

    OrderAnswer send(
        const std::shared_ptr<Slot>& slot, EngineOrderKind kind, const ModelId& model, std::optional<AdapterId> adapter)
    {
        const OrderAuthority authority = handlers_.authority();
        if (!authority.granted)
            return OrderAnswer::NotSent;
        const EngineOrder order{
            kind, model, std::move(adapter), slot->record.holdings.sequence, authority.holder, authority.fence};
        const OrderAnswer answer = channel_.send(slot->record, order, currentTime() + OrderLimits::answer);
        orderLog.info("target={} order={} model={}{}{} expected={} fence={} answer=\"{}\"", slot->record.id,
            kind == EngineOrderKind::Load ? "load" : "unload", model, order.adapter ? "/" : "",
            order.adapter ? order.adapter->value() : std::string(), order.expected, order.fence, nameOf(answer));
        return answer;
    }

    // Takes note of an answer; false when the state has to be read anew.
    static bool advance(Slot& slot, EngineOrderKind kind, OrderAnswer answer)
    {
        if (answer == OrderAnswer::Accepted || answer == OrderAnswer::Done) {
            // An engine that holds already what it is to load accepts no order; it does carry out an unload at once.
            if (answer == OrderAnswer::Accepted || kind == EngineOrderKind::Unload)
                slot.record.holdings.sequence = slot.record.holdings.sequence.next();
            return true;
        }
        slot.synced = false;
        slot.nextReport = currentTime() + OrderLimits::reportInterval;
        if (answer != OrderAnswer::Conflict)
            slot.pausedUntil = currentTime() + OrderLimits::failurePause;
        return false;
    }

    void orderModel(const std::shared_ptr<Slot>& slot, std::uint64_t term)
    {
        const fleet::ModelOrder order = *slot->planned;
        slot->planned.reset();
        const bool load = order.kind == fleet::ModelOrderKind::Load;
        // Adapters may have come since the plan was made.
        if (load && !fits(*slot, order.model))
            return;
        const EngineOrderKind kind = load ? EngineOrderKind::Load : EngineOrderKind::Unload;
        const OrderAnswer answer = send(slot, kind, order.model, std::nullopt);
        if (!isCurrent(slot, term))
            return;
        if (!advance(*slot, kind, answer))
            return;
        slot->nextReport = currentTime() + OrderLimits::reportInterval;
        if (load) {
            beginLoad(*slot, order.model, order.loadTime);
        } else {
            // New requests for the model are turned away from now on.
            std::erase_if(
                slot->record.holdings.models, [&](const fleet::HeldModel& held) { return held.model == order.model; });
            slot->leaving = order.model;
        }
        handlers_.changed(slot->record);
        if (order.roomFor)
            loadAfterUnload(slot, order, term);
    }

    // Whether a model fits beside what the engine holds now.
    bool fits(const Slot& slot, const ModelId& model) const
    {
        const fleet::Engine* engine = engineOf(slot);
        const fleet::Model* declared = engine ? engine->find(model) : nullptr;
        return declared && freeMegabytes(*engine, slot) >= declared->weightMegabytes;
    }

    static void beginLoad(Slot& slot, const ModelId& model, Duration loadTime)
    {
        slot.arriving = model;
        slot.record.holdings.loading.emplace(model, currentTime() + loadTime + OrderLimits::loadMargin);
    }

    // Orders a load until the engine takes it. An engine carries out one order at a time, so one that takes the load
    // has completed the unload before it, and its memory is free.
    void loadAfterUnload(const std::shared_ptr<Slot>& slot, const fleet::ModelOrder& unload, std::uint64_t term)
    {
        for (const Duration pause : OrderLimits::unloadPauses) {
            sleepFor(pause);
            if (!isCurrent(slot, term) || !fits(*slot, *unload.roomFor))
                return;
            const OrderAnswer answer = send(slot, EngineOrderKind::Load, *unload.roomFor, std::nullopt);
            if (!isCurrent(slot, term))
                return;
            if (answer == OrderAnswer::Conflict)
                continue;
            if (!advance(*slot, EngineOrderKind::Load, answer))
                return;
            slot->leaving.reset();
            slot->nextReport = currentTime() + OrderLimits::reportInterval;
            beginLoad(*slot, *unload.roomFor, unload.loadTime);
            handlers_.changed(slot->record);
            return;
        }
        // Requests still run on the model that makes way; the planner decides anew once it is gone.
    }

    // Loads an adapter. Tries once more when the engine was not in the state that was expected, because an order that
    // was given up has taken effect since; nobody else would load the adapter for the requests that wait for it.
    absl::Status grant(const std::shared_ptr<Slot>& slot, const Wish& wish, std::uint64_t term)
    {
        absl::Status status = tryGrant(slot, wish, term);
        const bool stale = !slot->synced && currentTime() >= slot->pausedUntil;
        if (!status.ok() && stale && isCurrent(slot, term) && sync(slot, term))
            status = tryGrant(slot, wish, term);
        return status;
    }

    absl::Status tryGrant(const std::shared_ptr<Slot>& slot, const Wish& wish, std::uint64_t term)
    {
        if (holds(*slot, wish.model, wish.adapter))
            return absl::OkStatus();
        if (currentTime() >= wish.deadline)
            return makeError(TransportError::TimedOut, "the request has waited too long for the adapter");
        fleet::Holdings& holdings = slot->record.holdings;
        if (!holdings.find(wish.model))
            return makeError(TransportError::Stopped, "the engine does not hold the model");
        if (holdings.arriving.size() >= OrderLimits::adaptersArriving)
            return makeError(TransportError::RingFull, "too many adapters are on their way to the engine");
        const fleet::Engine* engine = engineOf(*slot);
        const fleet::Model* declared = engine ? engine->find(wish.model) : nullptr;
        if (!declared)
            return makeError(TransportError::Stopped, "the model is not declared");
        const bool placeFree = holdings.adapterCount() < static_cast<std::size_t>(std::max(engine->adapterSlots, 0));
        if (!placeFree || freeMegabytes(*engine, *slot) < declared->adapterMegabytes) {
            absl::Status room = makeRoom(slot, term);
            if (!room.ok())
                return room;
        }
        const OrderAnswer answer = send(slot, EngineOrderKind::Load, wish.model, wish.adapter);
        if (!isCurrent(slot, term))
            return makeError(TransportError::Stopped, "this instance no longer owns placement");
        if (!advance(*slot, EngineOrderKind::Load, answer))
            return makeError(TransportError::Stopped, nameOf(answer));
        if (answer == OrderAnswer::Accepted)
            sleepFor(OrderLimits::adapterLoad);
        if (!isCurrent(slot, term))
            return makeError(TransportError::Stopped, "this instance no longer owns placement");
        for (fleet::HeldModel& held : slot->record.holdings.models) {
            if (held.model == wish.model)
                held.adapters.insert(wish.adapter);
        }
        handlers_.changed(slot->record);
        return absl::OkStatus();
    }

    // Unloads the adapter that was not used for the longest time.
    absl::Status makeRoom(const std::shared_ptr<Slot>& slot, std::uint64_t term)
    {
        std::optional<std::pair<ModelId, AdapterId>> oldest;
        TimePoint oldestUse = TimePoint::max();
        for (const fleet::HeldModel& held : slot->record.holdings.models) {
            for (const AdapterId& adapter : held.adapters) {
                const auto used = slot->lastUse.find({held.model, adapter});
                const TimePoint use = used == slot->lastUse.end() ? TimePoint() : used->second;
                if (use < oldestUse && (use == TimePoint() || currentTime() - use > OrderLimits::adapterInUse)) {
                    oldest = {held.model, adapter};
                    oldestUse = use;
                }
            }
        }
        if (!oldest)
            return makeError(TransportError::RingFull, "no adapter can make way");
        const OrderAnswer answer = send(slot, EngineOrderKind::Unload, oldest->first, oldest->second);
        if (!isCurrent(slot, term))
            return makeError(TransportError::Stopped, "this instance no longer owns placement");
        if (!advance(*slot, EngineOrderKind::Unload, answer))
            return makeError(TransportError::Stopped, nameOf(answer));
        for (fleet::HeldModel& held : slot->record.holdings.models) {
            if (held.model == oldest->first)
                held.adapters.erase(oldest->second);
        }
        handlers_.changed(slot->record);
        if (answer == OrderAnswer::Done)
            return absl::OkStatus();
        // Requests still use it; its place is free when a report says so.
        slot->synced = false;
        return makeError(TransportError::RingFull, "the adapter that makes way is still in use");
    }

    Duty& duty_;
    Handlers handlers_;
    Channel channel_;
    std::shared_ptr<const fleet::RouteTable> routes_;
    std::map<TargetId, std::shared_ptr<Slot>> slots_;
    // Counts begin() and end(), so that fibers of an earlier time end.
    std::uint64_t term_ = 0;
};

} // namespace lychee::gateway
