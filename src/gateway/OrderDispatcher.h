// Sends the orders of the placement owner to the engines. Keeps what each engine holds after how many orders, and sends
// one order at a time to an engine, each on the condition that the engine has accepted no other order in between.
#pragma once

#include "fleet/LoadAllowance.h"
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

// Whether this instance may send an order now, and the holder and fencing number to send with it.
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
        std::function<void(const fleet::TargetRecord&)> holdingsChanged;
    };

    OrderDispatcher(Duty& duty, Handlers handlers)
        : duty_(duty)
        , handlers_(std::move(handlers))
    {
    }

    // Starts a term as placement owner with these engines. Their reports are read before the first order.
    void beginTerm(const std::vector<fleet::TargetRecord>& engines)
    {
        slots_.clear();
        ++term_;
        for (const fleet::TargetRecord& record : engines)
            update(record);
    }

    // Ends the term: discards the state of all engines and fails the requests that wait for adapters.
    void endTerm()
    {
        ++term_;
        for (auto& [id, slot] : slots_)
            slot->failRequests("this instance no longer owns placement");
        slots_.clear();
    }

    void update(const fleet::TargetRecord& record)
    {
        std::shared_ptr<Slot>& slot = slots_[record.id];
        if (!slot || slot->record.birth != record.birth) {
            if (slot)
                slot->failRequests("the engine has restarted");
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
        found->second->failRequests("the engine was removed from the list of targets");
        slots_.erase(found);
    }

    // The engines of one service as the planner needs them.
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
                if (currentTime() - time < OrderLimits::minCopyAge)
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

    // Sends the orders of a plan, independently for each engine. Orders to engines that can take none now are dropped.
    void sendOrders(const std::vector<fleet::ModelOrder>& orders)
    {
        for (const fleet::ModelOrder& order : orders) {
            const auto found = slots_.find(order.target);
            if (found == slots_.end() || !isOrderable(*found->second))
                continue;
            found->second->plannedOrder = order;
            startProcessing(found->second);
        }
    }

    // Reads the reports of engines whose state is unknown or changing.
    void pollReports()
    {
        for (const auto& [id, slot] : slots_) {
            if ((isChanging(*slot) || !slot->synced) && !slot->fiberRunning && currentTime() >= slot->nextReportAt)
                startProcessing(slot);
        }
    }

    void recordUse(const TargetId& target, const ModelId& model, const AdapterId& adapter)
    {
        if (const auto found = slots_.find(target); found != slots_.end())
            found->second->lastUse[{model, adapter}] = currentTime();
    }

    // Returns once the engine holds the adapter. Suspends the calling fiber. Fails with TransportError::TimedOut at the
    // deadline, with RingFull when the queue of the engine is full or it has no place for the adapter, and with Stopped
    // when the engine cannot be ordered to load it.
    absl::Status ensureAdapter(
        const TargetId& target, const ModelId& model, const AdapterId& adapter, TimePoint deadline)
    {
        const auto found = slots_.find(target);
        if (found == slots_.end())
            return makeError(TransportError::Stopped, "the placement owner does not know the engine");
        const std::shared_ptr<Slot> slot = found->second;
        slot->lastUse[{model, adapter}] = currentTime();
        if (holds(*slot, model, adapter))
            return absl::OkStatus();
        if (slot->wishes.size() >= OrderLimits::maxWaitingAdapters)
            return makeError(TransportError::RingFull, "the queue of adapters to load on the engine is full");
        for (const std::shared_ptr<Wish>& wish : slot->wishes) {
            if (wish->model == model && wish->adapter == adapter)
                return AdapterRequest::await(wish, deadline);
        }
        auto wish = std::make_shared<Wish>();
        wish->model = model;
        wish->adapter = adapter;
        wish->deadline = deadline;
        slot->wishes.push_back(wish);
        startProcessing(slot);
        return AdapterRequest::await(wish, deadline);
    }

    // Sets the configuration in force.
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
        return slot.synced && !slot.earlierOrderActive && !slot.orderInFlight && !slot.plannedOrder && !slot.arriving
            && !slot.leaving && !slot.record.draining && currentTime() >= slot.pausedUntil;
    }

    const fleet::Engine* engineOf(const Slot& slot) const
    {
        const fleet::Service* service = routes_ ? routes_->service(slot.record.service) : nullptr;
        return service && service->engine ? &*service->engine : nullptr;
    }

    // Free memory of the engine. If it still executes an order of an earlier owner, the model is unknown, so the
    // largest one is assumed.
    static double freeMegabytes(const fleet::Engine& engine, const Slot& slot)
    {
        fleet::PlannedEngine planned;
        planned.models = slot.record.holdings.models;
        planned.arriving = slot.arriving;
        double largest = 0;
        for (const fleet::Model& model : engine.models)
            largest = std::max(largest, model.weightMegabytes);
        return fleet::freeMegabytes(engine, planned) - (slot.earlierOrderActive ? largest : 0);
    }

    static bool isChanging(const Slot& slot) { return slot.arriving || slot.leaving || slot.earlierOrderActive; }

    void startProcessing(const std::shared_ptr<Slot>& slot)
    {
        if (slot->fiberRunning)
            return;
        slot->fiberRunning = true;
        duty_.spawn([this, slot, term = term_] { processEngine(slot, term); });
    }

    // Whether the slot still belongs to the engine, and the term in which the caller started has not ended.
    bool isCurrent(const std::shared_ptr<Slot>& slot, std::uint64_t term) const
    {
        const auto found = slots_.find(slot->record.id);
        return term == term_ && found != slots_.end() && found->second == slot;
    }

    // Reads reports of one engine and sends its pending orders, one call at a time, until nothing is left to do.
    void processEngine(const std::shared_ptr<Slot>& slot, std::uint64_t term)
    {
        while (isCurrent(slot, term)) {
            if (!handlers_.authority().granted) {
                slot->failRequests("this instance may not send orders under its placement lease now");
                break;
            }
            if (!slot->synced || (isChanging(*slot) && currentTime() >= slot->nextReportAt && slot->wishes.empty())) {
                if (!readReport(slot, term))
                    break;
                continue;
            }
            if (slot->plannedOrder) {
                slot->orderInFlight = true;
                orderModel(slot, term);
                slot->orderInFlight = false;
                continue;
            }
            if (slot->wishes.empty())
                break;
            const std::shared_ptr<Wish> wish = slot->wishes.front();
            slot->wishes.pop_front();
            absl::Status status = loadAdapter(slot, *wish, term);
            wish->finish(std::move(status));
        }
        slot->fiberRunning = false;
    }

    // Reads the engine's report. Returns false when the state of the engine is still unknown.
    bool readReport(const std::shared_ptr<Slot>& slot, std::uint64_t term)
    {
        // A report that is read too soon after an order shows the state before the order.
        if (currentTime() < slot->nextReportAt)
            sleepFor(slot->nextReportAt - currentTime());
        slot->nextReportAt = currentTime() + OrderLimits::reportInterval;
        const auto report = channel_.report(slot->record, currentTime() + OrderLimits::reportTimeout);
        if (!isCurrent(slot, term))
            return false;
        if (!report.ok()) {
            slot->pausedUntil = currentTime() + OrderLimits::failurePause;
            slot->failRequests("the report of the engine could not be read");
            return false;
        }
        applyReport(*slot, *report);
        return slot->synced;
    }

    void applyReport(Slot& slot, const fleet::EngineReport& report)
    {
        if (report.birth != slot.record.birth && report.birth != fleet::TargetBirth()) {
            // The state is unknown until the list of targets shows the restart.
            slot.synced = false;
            slot.failRequests("the engine has restarted");
            return;
        }
        // The report is older than the last order.
        if (report.holdings.sequence < slot.record.holdings.sequence && slot.synced)
            return;
        const auto loading = std::move(slot.record.holdings.loading);
        slot.record.holdings = report.holdings;
        if (report.holdings.busy)
            slot.record.holdings.loading = loading;
        slot.record.weightsInMemory = report.weightsInMemory;
        slot.record.weightsOnDisk = report.weightsOnDisk;
        slot.synced = true;
        slot.earlierOrderActive = report.holdings.busy && !slot.arriving && !slot.leaving;
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
        handlers_.holdingsChanged(slot.record);
    }

    OrderAnswer send(
        const std::shared_ptr<Slot>& slot, EngineOrderKind kind, const ModelId& model, std::optional<AdapterId> adapter)
    {
        const OrderAuthority authority = handlers_.authority();
        if (!authority.granted)
            return OrderAnswer::NotSent;
        const EngineOrder order{
            kind, model, std::move(adapter), slot->record.holdings.sequence, authority.holder, authority.fence};
        const OrderAnswer answer = channel_.send(slot->record, order, currentTime() + OrderLimits::answerTimeout);
        orderLog.info("target={} order={} model={}{}{} expected={} fence={} answer=\"{}\"", slot->record.id,
            kind == EngineOrderKind::Load ? "load" : "unload", model, order.adapter ? "/" : "",
            order.adapter ? order.adapter->value() : std::string(), order.expected, order.fence, nameOf(answer));
        return answer;
    }

    // Updates the state after an answer. Returns false when the engine's report has to be read again.
    static bool applyAnswer(Slot& slot, EngineOrderKind kind, OrderAnswer answer)
    {
        if (answer == OrderAnswer::Accepted || answer == OrderAnswer::Done) {
            // A load of what the engine already holds is answered with Done and does not count as an accepted order. An
            // unload counts with both answers, because it may complete at once.
            if (answer == OrderAnswer::Accepted || kind == EngineOrderKind::Unload)
                slot.record.holdings.sequence = slot.record.holdings.sequence.next();
            return true;
        }
        slot.synced = false;
        slot.nextReportAt = currentTime() + OrderLimits::reportInterval;
        if (answer != OrderAnswer::Conflict)
            slot.pausedUntil = currentTime() + OrderLimits::failurePause;
        return false;
    }

    void orderModel(const std::shared_ptr<Slot>& slot, std::uint64_t term)
    {
        const fleet::ModelOrder order = *slot->plannedOrder;
        slot->plannedOrder.reset();
        const bool load = order.kind == fleet::ModelOrderKind::Load;
        // Adapters may have been loaded since the plan was made.
        if (load && !fits(*slot, order.model))
            return;
        const EngineOrderKind kind = load ? EngineOrderKind::Load : EngineOrderKind::Unload;
        const OrderAnswer answer = send(slot, kind, order.model, std::nullopt);
        if (!isCurrent(slot, term))
            return;
        if (!applyAnswer(*slot, kind, answer))
            return;
        slot->nextReportAt = currentTime() + OrderLimits::reportInterval;
        if (load) {
            recordLoadStarted(*slot, order.model, order.loadTime);
        } else {
            // From now on, new requests for the model are not sent to this engine.
            std::erase_if(
                slot->record.holdings.models, [&](const fleet::HeldModel& held) { return held.model == order.model; });
            slot->leaving = order.model;
        }
        handlers_.holdingsChanged(slot->record);
        if (order.roomFor)
            loadAfterUnload(slot, order, term);
    }

    // Whether the engine has enough free memory for the model.
    bool fits(const Slot& slot, const ModelId& model) const
    {
        const fleet::Engine* engine = engineOf(slot);
        const fleet::Model* declared = engine ? engine->find(model) : nullptr;
        return declared && freeMegabytes(*engine, slot) >= declared->weightMegabytes;
    }

    static void recordLoadStarted(Slot& slot, const ModelId& model, Duration loadTime)
    {
        slot.arriving = model;
        slot.record.holdings.loading.emplace(model, currentTime() + loadTime + OrderLimits::loadMargin);
    }

    // Repeats a load order until the engine accepts it. An engine executes one order at a time, so one that accepts the
    // load has completed the unload before it, and the memory is free.
    void loadAfterUnload(const std::shared_ptr<Slot>& slot, const fleet::ModelOrder& unload, std::uint64_t term)
    {
        for (const Duration pause : OrderLimits::loadRetryDelays) {
            sleepFor(pause);
            if (!isCurrent(slot, term) || !fits(*slot, *unload.roomFor))
                return;
            const OrderAnswer answer = send(slot, EngineOrderKind::Load, *unload.roomFor, std::nullopt);
            if (!isCurrent(slot, term))
                return;
            if (answer == OrderAnswer::Conflict)
                continue;
            if (!applyAnswer(*slot, EngineOrderKind::Load, answer))
                return;
            slot->leaving.reset();
            slot->nextReportAt = currentTime() + OrderLimits::reportInterval;
            recordLoadStarted(*slot, *unload.roomFor, unload.loadTime);
            handlers_.holdingsChanged(slot->record);
            return;
        }
        // Requests are still running on the model to be unloaded. The planner plans again once the unload has
        // completed.
    }

    // Loads an adapter. Tries a second time when the engine was not in the expected state, because an earlier order
    // without an answer has taken effect since: no other caller would load the adapter for the waiting requests.
    absl::Status loadAdapter(const std::shared_ptr<Slot>& slot, const Wish& wish, std::uint64_t term)
    {
        absl::Status status = tryLoadAdapter(slot, wish, term);
        const bool stale = !slot->synced && currentTime() >= slot->pausedUntil;
        if (!status.ok() && stale && isCurrent(slot, term) && readReport(slot, term))
            status = tryLoadAdapter(slot, wish, term);
        return status;
    }

    absl::Status tryLoadAdapter(const std::shared_ptr<Slot>& slot, const Wish& wish, std::uint64_t term)
    {
        if (holds(*slot, wish.model, wish.adapter))
            return absl::OkStatus();
        if (currentTime() >= wish.deadline)
            return makeError(TransportError::TimedOut, "the deadline passed before the adapter could be ordered");
        fleet::Holdings& holdings = slot->record.holdings;
        if (!holdings.find(wish.model))
            return makeError(TransportError::Stopped, "the engine does not hold the model of the adapter");
        if (holdings.arriving.size() >= OrderLimits::maxArrivingAdapters)
            return makeError(TransportError::RingFull, "too many adapters are being loaded on the engine");
        const fleet::Engine* engine = engineOf(*slot);
        const fleet::Model* declared = engine ? engine->find(wish.model) : nullptr;
        if (!declared)
            return makeError(TransportError::Stopped, "the service of the engine does not declare the model");
        const bool placeFree = holdings.adapterCount() < static_cast<std::size_t>(std::max(engine->adapterSlots, 0));
        if (!placeFree || freeMegabytes(*engine, *slot) < declared->adapterMegabytes) {
            absl::Status room = unloadIdleAdapter(slot, term);
            if (!room.ok())
                return room;
        }
        const OrderAnswer answer = send(slot, EngineOrderKind::Load, wish.model, wish.adapter);
        if (!isCurrent(slot, term))
            return makeError(TransportError::Stopped, "this instance no longer owns placement");
        if (!applyAnswer(*slot, EngineOrderKind::Load, answer))
            return makeError(TransportError::Stopped, nameOf(answer));
        if (answer == OrderAnswer::Accepted)
            sleepFor(OrderLimits::adapterLoadTime);
        if (!isCurrent(slot, term))
            return makeError(TransportError::Stopped, "this instance no longer owns placement");
        for (fleet::HeldModel& held : slot->record.holdings.models) {
            if (held.model == wish.model)
                held.adapters.insert(wish.adapter);
        }
        handlers_.holdingsChanged(slot->record);
        return absl::OkStatus();
    }

    // Unloads the least recently used adapter, unless it may still be in use.
    absl::Status unloadIdleAdapter(const std::shared_ptr<Slot>& slot, std::uint64_t term)
    {
        std::optional<std::pair<ModelId, AdapterId>> oldest;
        TimePoint oldestUse = TimePoint::max();
        for (const fleet::HeldModel& held : slot->record.holdings.models) {
            for (const AdapterId& adapter : held.adapters) {
                const auto used = slot->lastUse.find({held.model, adapter});
                const TimePoint use = used == slot->lastUse.end() ? TimePoint() : used->second;
                if (use < oldestUse && (use == TimePoint() || currentTime() - use > OrderLimits::adapterUseWindow)) {
                    oldest = {held.model, adapter};
                    oldestUse = use;
                }
            }
        }
        if (!oldest)
            return makeError(TransportError::RingFull,
                "no adapter can be unloaded to make room: none is loaded, or all were used recently");
        const OrderAnswer answer = send(slot, EngineOrderKind::Unload, oldest->first, oldest->second);
        if (!isCurrent(slot, term))
            return makeError(TransportError::Stopped, "this instance no longer owns placement");
        if (!applyAnswer(*slot, EngineOrderKind::Unload, answer))
            return makeError(TransportError::Stopped, nameOf(answer));
        for (fleet::HeldModel& held : slot->record.holdings.models) {
            if (held.model == oldest->first)
                held.adapters.erase(oldest->second);
        }
        handlers_.holdingsChanged(slot->record);
        if (answer == OrderAnswer::Done)
            return absl::OkStatus();
        // Requests still use the adapter. A later report shows when its place is free.
        slot->synced = false;
        return makeError(
            TransportError::RingFull, "the adapter that was unloaded to make room is still used by requests");
    }

    Duty& duty_;
    Handlers handlers_;
    Channel channel_;
    std::shared_ptr<const fleet::RouteTable> routes_;
    std::map<TargetId, std::shared_ptr<Slot>> slots_;
    // Incremented by beginTerm() and endTerm(), so that fibers of an earlier term stop.
    std::uint64_t term_ = 0;
};

} // namespace lychee::gateway
