// Sends the orders of the placement owner to the engines. Keeps what each engine holds after how many orders, and sends
// one order at a time to an engine, each on the condition that the engine has accepted no other order in between.
#pragma once

#include "fleet/LoadRateLimiter.h"
#include "fleet/PlacementPlan.h"
#include "gateway/EngineOrder.h"
#include "gateway/EngineState.h"
#include "gateway/OrderLimits.h"
#include "gateway/RelayLimits.h"
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
        states_.clear();
        places_.clear();
        ++term_;
        loadLimiter_.emplace(loadsPerSecond_, currentTime());
        for (const fleet::TargetRecord& record : engines)
            update(record);
    }

    // Ends the term: discards the state of all engines and fails the requests that wait for adapters.
    void endTerm()
    {
        ++term_;
        for (auto& [id, state] : states_)
            state->failRequests("this instance no longer owns placement");
        states_.clear();
    }

    void update(const fleet::TargetRecord& record)
    {
        std::shared_ptr<State>& state = states_[record.id];
        if (!state || state->record.incarnation != record.incarnation) {
            if (state) {
                state->failRequests("the engine has restarted");
                settleUnansweredLoad(*state);
                placesOf(*state).removeTarget(record.id);
            }
            state = std::make_shared<State>();
            state->record = record;
            placesOf(*state);
            return;
        }
        // The entry may be older than the last report. A newer one leads to a new report.
        fleet::TargetRecord known = std::move(state->record);
        state->record = record;
        state->record.holdings = std::move(known.holdings);
        state->record.weightsInMemory = std::move(known.weightsInMemory);
        state->record.weightsOnDisk = std::move(known.weightsOnDisk);
        if (record.holdings.sequence > state->record.holdings.sequence)
            state->synced = false;
    }

    void remove(const TargetId& target)
    {
        const auto found = states_.find(target);
        if (found == states_.end())
            return;
        found->second->failRequests("the engine was removed from the list of targets");
        settleUnansweredLoad(*found->second);
        placesOf(*found->second).removeTarget(target);
        states_.erase(found);
    }

    // The engines of one service as the planner needs them.
    std::vector<fleet::PlannedEngine> engines(const ServiceId& service) const
    {
        std::vector<fleet::PlannedEngine> planned;
        for (const auto& [id, state] : states_) {
            if (state->record.service != service)
                continue;
            fleet::PlannedEngine engine{id, state->record.dataCentre, !state->record.draining, isOrderable(*state), {},
                state->arriving, {}, state->record.weightsInMemory, state->record.weightsOnDisk, {}};
            if (state->leaving)
                engine.leaving.insert(*state->leaving);
            for (const ModelStep& step : state->steps) {
                if (step.kind == EngineOrderKind::Load)
                    engine.arriving = step.model;
                else
                    engine.leaving.insert(step.model);
            }
            engine.models = occupiedModels(*state);
            for (const auto& [model, time] : state->loadedAt) {
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
        for (const auto& [id, state] : states_)
            records.push_back(state->record);
        return records;
    }

    // Sends the orders of a plan, independently for each engine. Orders to engines that can take none now are dropped.
    void sendOrders(const std::vector<fleet::ModelOrder>& orders)
    {
        for (const fleet::ModelOrder& order : orders) {
            const auto found = states_.find(order.target);
            if (found == states_.end() || !isOrderable(*found->second))
                continue;
            found->second->steps = stepsOf(order);
            found->second->nextStepAt = currentTime();
            found->second->stepLimit = currentTime() + OrderLimits::stepTimeout;
            startProcessing(found->second);
        }
    }

    // Reads the reports of engines whose state is unknown or changing.
    void pollReports()
    {
        for (const auto& [id, state] : states_) {
            const bool isAwaited = isChanging(*state) || !state->synced || hasAdapterInTransit(*state);
            if ((isAwaited && currentTime() >= state->nextReportAt) || yieldIsDue(*state))
                startProcessing(state);
        }
    }

    void recordUse(const TargetId& target, const ModelId& model, const AdapterId& adapter)
    {
        if (const auto found = states_.find(target); found != states_.end())
            placesOf(*found->second).recordUse(target, {model, adapter}, currentTime());
    }

    // Sets how often instances report the adapters that they use.
    void setUseReportInterval(Duration interval)
    {
        useWindow_ = std::max(OrderLimits::adapterUseWindow, interval + OrderLimits::maxUseReportDelay);
        for (auto& [service, places] : places_)
            places.setUseWindow(useWindow_);
    }

    // Returns once the engine holds the adapter. Suspends the calling fiber. Fails with TransportError::TimedOut at the
    // deadline, with RingFull when the queue of the engine is full or it has no place for the adapter, and with Stopped
    // when the engine cannot be ordered to load it.
    absl::Status ensureAdapter(
        const TargetId& target, const ModelId& model, const AdapterId& adapter, TimePoint deadline)
    {
        const auto found = states_.find(target);
        if (found == states_.end())
            return makeError(TransportError::Stopped, "the placement owner does not know the engine");
        const std::shared_ptr<State> state = found->second;
        if (holds(*state, model, adapter)) {
            placesOf(*state).recordUse(target, {model, adapter}, currentTime());
            return absl::OkStatus();
        }
        placesOf(*state).recordRequest(target, {model, adapter}, currentTime());
        if (state->synced && executesOrder(*state))
            return makeError(TransportError::RingFull, "the engine is executing another order");
        if (state->pendingAdapters.size() >= OrderLimits::maxPendingAdapters)
            return makeError(TransportError::RingFull, "the queue of adapters to load on the engine is full");
        for (const std::shared_ptr<Request>& request : state->pendingAdapters) {
            if (request->model == model && request->adapter == adapter)
                return AdapterRequest::await(request, deadline);
        }
        auto request = std::make_shared<Request>();
        request->model = model;
        request->adapter = adapter;
        request->deadline = deadline;
        request->createdAt = currentTime();
        state->pendingAdapters.push_back(request);
        startProcessing(state);
        return AdapterRequest::await(request, deadline);
    }

    // Sets the configuration in force.
    void setRoutes(std::shared_ptr<const fleet::RouteTable> routes)
    {
        routes_ = std::move(routes);
        const double rate = routes_ ? lowestLoadRate() : 0;
        if (rate == loadsPerSecond_)
            return;
        loadsPerSecond_ = rate;
        if (loadLimiter_)
            loadLimiter_->setRate(rate, currentTime());
    }

    // The rate of loads from the weight store that the configuration in force allows.
    double storeLoadRate() const { return loadsPerSecond_; }

    // Number of further loads from the weight store that may be planned: those that may start now, less the planned
    // ones that are ready to start.
    int availableStoreLoads()
    {
        if (!loadLimiter_)
            return 0;
        const auto ready = std::count_if(
            states_.begin(), states_.end(), [](const auto& entry) { return isReadyForStoreLoad(*entry.second); });
        return std::max(0, loadLimiter_->available(currentTime()) - static_cast<int>(ready));
    }

private:
    using Request = AdapterRequest;
    using State = EngineState;

    fleet::AdapterPlaces& placesOf(const State& state)
    {
        const auto [found, inserted] = places_.try_emplace(state.record.service, currentTime());
        if (inserted)
            found->second.setUseWindow(useWindow_);
        return found->second;
    }

    // Whether the engine refuses all orders because it executes one. While an adapter in use is unloaded, that is until
    // the requests that use it have ended; reports do not show it as busy.
    static bool executesOrder(const State& state)
    {
        return isChanging(state) || !state.drainingAdapters.empty() || currentTime() < state.unknownOrderUntil;
    }

    // Whether only a later report shows that an adapter has been loaded or unloaded.
    static bool hasAdapterInTransit(const State& state)
    {
        return !state.drainingAdapters.empty() || !state.record.holdings.arriving.empty();
    }

    // The adapters that have left the holdings and still occupy places.
    static std::vector<fleet::AdapterName> leavingAdapters(const State& state)
    {
        std::vector<fleet::AdapterName> names;
        for (const auto& entry : state.drainingAdapters)
            names.push_back(entry.first);
        if (state.yielding)
            names.push_back(state.yielding->name);
        return names;
    }

    // The models in the memory of the engine, with all adapters that occupy places, those on their way included.
    static std::vector<fleet::HeldModel> occupiedModels(const State& state)
    {
        std::vector<fleet::HeldModel> models = state.record.holdings.models;
        std::vector<fleet::AdapterName> further = leavingAdapters(state);
        further.insert(further.end(), state.record.holdings.arriving.begin(), state.record.holdings.arriving.end());
        for (const auto& [model, adapter] : further) {
            for (fleet::HeldModel& held : models) {
                if (held.model == model)
                    held.adapters.insert(adapter);
            }
        }
        return models;
    }

    bool isHeldElsewhere(const State& state, const fleet::AdapterName& name) const
    {
        return std::any_of(states_.begin(), states_.end(), [&](const auto& entry) {
            const State& other = *entry.second;
            const fleet::HeldModel* held = other.record.holdings.find(name.first);
            return &other != &state && other.record.service == state.record.service && !other.record.draining && held
                && held->adapters.contains(name.second);
        });
    }

    static bool holds(const State& state, const ModelId& model, const AdapterId& adapter)
    {
        const fleet::HeldModel* held = state.record.holdings.find(model);
        return state.synced && held && held->adapters.contains(adapter);
    }

    bool isOrderable(const State& state) const
    {
        return state.synced && !state.earlierOrderActive && state.steps.empty() && !state.arriving && !state.leaving
            && !state.record.draining && !executesOrder(state) && currentTime() >= state.pausedUntil;
    }

    const fleet::Engine* engineOf(const State& state) const
    {
        const fleet::Service* service = routes_ ? routes_->service(state.record.service) : nullptr;
        return service && service->engine ? &*service->engine : nullptr;
    }

    // Free memory of the engine. If it still executes an order of an earlier owner, the model is unknown, so the
    // largest one is assumed.
    static double freeMegabytes(const fleet::Engine& engine, const State& state)
    {
        fleet::PlannedEngine planned;
        planned.models = occupiedModels(state);
        planned.arriving = state.arriving;
        double largest = 0;
        for (const fleet::Model& model : engine.models)
            largest = std::max(largest, model.weightMegabytes);
        return fleet::freeMegabytes(engine, planned) - (state.earlierOrderActive ? largest : 0);
    }

    // The rate of loads that the weight store allows. All targets share the store, so the lowest rate that a service
    // gives holds for all of them.
    double lowestLoadRate() const
    {
        double lowest = 0;
        for (const fleet::Service& service : routes_->services()) {
            const double rate = service.engine ? service.engine->loadsPerSecond : 0;
            if (rate > 0 && (lowest == 0 || rate < lowest))
                lowest = rate;
        }
        return lowest;
    }

    static bool isFromStore(const State& state, const ModelId& model)
    {
        return !state.record.weightsInMemory.contains(model) && !state.record.weightsOnDisk.contains(model);
    }

    // Whether the next step of the engine is a load from the weight store that only the limit of the store delays.
    static bool isReadyForStoreLoad(const State& state)
    {
        return !state.steps.empty() && state.steps.front().kind == EngineOrderKind::Load && !state.leaving
            && !state.unansweredLoad && isFromStore(state, state.steps.front().model);
    }

    // Reserves the start of a load from the weight store, right before its order is sent. Returns false when the limit
    // of the store allows none now.
    bool reserveStoreLoad(State& state)
    {
        if (!loadLimiter_ || loadLimiter_->available(currentTime()) < 1)
            return false;
        loadLimiter_->order(currentTime());
        state.unansweredLoad = state.record.holdings.sequence;
        return true;
    }

    // Returns the reservation of a load that the engine has refused.
    void cancelStoreLoad(State& state)
    {
        if (state.unansweredLoad && loadLimiter_)
            loadLimiter_->cancel(currentTime());
        state.unansweredLoad.reset();
    }

    // Keeps the reservation of a load from the weight store as used: the load has started or no longer can.
    void settleUnansweredLoad(State& state)
    {
        if (state.unansweredLoad && loadLimiter_)
            loadLimiter_->confirm(currentTime());
        state.unansweredLoad.reset();
    }

    static bool isChanging(const State& state) { return state.arriving || state.leaving || state.earlierOrderActive; }

    void startProcessing(const std::shared_ptr<State>& state)
    {
        if (state->fiberRunning)
            return;
        state->fiberRunning = true;
        duty_.spawn([this, state, term = term_] { processEngine(state, term); });
    }

    // Whether `state` is still the state of its engine, and the term in which the caller started has not ended.
    bool isCurrent(const std::shared_ptr<State>& state, std::uint64_t term) const
    {
        const auto found = states_.find(state->record.id);
        return term == term_ && found != states_.end() && found->second == state;
    }

    // Reads reports of one engine and sends its pending orders, one call at a time, until nothing is left to do.
    void processEngine(const std::shared_ptr<State>& state, std::uint64_t term)
    {
        while (isCurrent(state, term)) {
            if (!handlers_.authority().granted) {
                state->failRequests("this instance may not send orders under its placement lease now");
                break;
            }
            if (!state->synced
                || (isChanging(*state) && currentTime() >= state->nextReportAt && state->pendingAdapters.empty())
                || (hasAdapterInTransit(*state) && currentTime() >= state->nextReportAt)) {
                if (!readReport(state, term))
                    break;
                continue;
            }
            endPlaceWaits(*state);
            if (state->placeFreed && !executesOrder(*state)) {
                state->placeFreed = false;
                fillFreedPlace(state, term);
                continue;
            }
            if (yieldIsDue(*state)) {
                unloadYieldingAdapter(state, term);
                continue;
            }
            const bool stepMayBeSent = state->drainingAdapters.empty() && currentTime() >= state->unknownOrderUntil;
            if (!state->steps.empty() && stepMayBeSent && currentTime() >= state->nextStepAt) {
                sendStep(state, term);
                continue;
            }
            if (state->pendingAdapters.empty()) {
                if (state->steps.empty() && state->placeRequests.empty())
                    break;
                Duration pause = OrderLimits::adapterPollInterval;
                if (!state->steps.empty() && stepMayBeSent)
                    pause = std::min<Duration>(pause, state->nextStepAt - currentTime());
                sleepFor(pause);
                continue;
            }
            processRequest(state, takeLongestWaiting(*state), term);
        }
        state->fiberRunning = false;
    }

    std::shared_ptr<Request> takeLongestWaiting(State& state)
    {
        const fleet::AdapterPlaces& places = placesOf(state);
        const TimePoint now = currentTime();
        const auto longest = std::max_element(
            state.pendingAdapters.begin(), state.pendingAdapters.end(), [&](const auto& left, const auto& right) {
                return places.waited(left->name(), now) < places.waited(right->name(), now);
            });
        std::shared_ptr<Request> request = *longest;
        state.pendingAdapters.erase(longest);
        return request;
    }

    void processRequest(
        const std::shared_ptr<State>& state, const std::shared_ptr<Request>& request, std::uint64_t term)
    {
        request->queued = currentTime() - request->createdAt;
        absl::Status status = loadAdapter(state, *request, term);
        if (!status.ok() && isCurrent(state, term) && waitsForPlace(*state, *request)) {
            state->placeRequests.push_back(request);
            return;
        }
        finishRequest(*state, *request, std::move(status));
    }

    // Whether the callers of a request have probably stopped waiting for it.
    static bool hasGone(const Request& request)
    {
        return request.waitingFibers.empty() || currentTime() - request.createdAt > RelayLimits::adapterLoadTimeout;
    }

    static void finishRequest(const State& state, Request& request, absl::Status status)
    {
        if (currentTime() - request.createdAt >= OrderLimits::loggedWait)
            orderLog.info("target={} adapter={}/{} queued_ms={} total_ms={} gone={} result=\"{}\"", state.record.id,
                request.model, request.adapter, milliseconds(request.queued),
                milliseconds(currentTime() - request.createdAt), hasGone(request),
                status.ok() ? "held" : messageOf(status));
        request.finish(std::move(status));
    }

    static std::int64_t milliseconds(Duration duration)
    {
        return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    }

    // Whether the request gets the place of the adapter that yields, and its callers may still wait for it.
    bool waitsForPlace(const State& state, const Request& request)
    {
        const TimePoint limit = placeWaitLimit(request);
        return state.yielding && !executesOrder(state) && currentTime() < limit
            && placesOf(state).idleFrom(state.record.id, state.yielding->name) < limit
            && nextForFreedPlace(state) == request.name();
    }

    // Whether the adapter that yields can be unloaded now.
    bool yieldIsDue(const State& state)
    {
        if (!state.yielding || !state.synced || executesOrder(state) || currentTime() < state.yielding->nextTryAt)
            return false;
        return currentTime() > placesOf(state).idleFrom(state.record.id, state.yielding->name)
            || currentTime() >= state.yielding->unloadBy;
    }

    void unloadYieldingAdapter(const std::shared_ptr<State>& state, std::uint64_t term)
    {
        const fleet::AdapterName name = state->yielding->name;
        state->yielding->nextTryAt = currentTime() + OrderLimits::reportInterval;
        const absl::Status status = unloadAdapter(state, name, term);
        if (!isCurrent(state, term))
            return;
        if (status.ok() || state->drainingAdapters.contains(name))
            state->yielding.reset();
        state->placeFreed = state->placeFreed || status.ok();
    }

    static TimePoint placeWaitLimit(const Request& request)
    {
        return std::min(request.deadline, request.createdAt + OrderLimits::maxPlaceWait);
    }

    // Refuses the requests that have waited for a place for too long.
    void endPlaceWaits(State& state)
    {
        std::erase_if(state.placeRequests, [&](const std::shared_ptr<Request>& request) {
            if (currentTime() < placeWaitLimit(*request))
                return false;
            finishRequest(state, *request,
                makeError(TransportError::RingFull, "the adapter that yields its place is still used by requests"));
            return true;
        });
    }

    // The adapter that gets the next free place of the engine: the one that has waited longest of those that no engine
    // holds, or that no engine has served for long although one holds them.
    std::optional<fleet::AdapterName> nextForFreedPlace(const State& state)
    {
        return placesOf(state).longestWaiting(
            state.record.id,
            [&](const fleet::AdapterName& name) {
                return state.record.holdings.find(name.first) && !holds(state, name.first, name.second)
                    && !isLeaving(state, name)
                    && (placesOf(state).waited(name, currentTime()) >= fleet::AdapterPlaces::maxWaitWhenHeld
                        || !isHeldElsewhere(state, name));
            },
            currentTime());
    }

    static bool isLeaving(const State& state, const fleet::AdapterName& name)
    {
        return state.drainingAdapters.contains(name) || (state.yielding && state.yielding->name == name);
    }

    // Loads the adapter that has waited longest into a place that an adapter in use has left, even if the requests for
    // it have gone: their callers come again.
    void fillFreedPlace(const std::shared_ptr<State>& state, std::uint64_t term)
    {
        const auto next = nextForFreedPlace(*state);
        if (!next)
            return;
        Request request;
        std::tie(request.model, request.adapter) = *next;
        request.createdAt = currentTime();
        request.deadline = currentTime() + OrderLimits::answerTimeout;
        const Duration waited = placesOf(*state).waited(*next, currentTime());
        const absl::Status status = loadAdapter(state, request, term);
        if (!isCurrent(state, term))
            return;
        bool gone = true;
        for (auto* requests : {&state->placeRequests, &state->pendingAdapters}) {
            std::erase_if(*requests, [&](const std::shared_ptr<Request>& waiting) {
                if (!status.ok() || waiting->name() != *next)
                    return false;
                gone = gone && hasGone(*waiting);
                finishRequest(*state, *waiting, status);
                return true;
            });
        }
        orderLog.info("target={} adapter={}/{} freed_place=true waited_ms={} gone={} result=\"{}\"", state->record.id,
            next->first, next->second, milliseconds(waited), gone, status.ok() ? "held" : messageOf(status));
    }

    // Reads the engine's report. Returns false when it could not be read or the engine has restarted.
    bool readReport(const std::shared_ptr<State>& state, std::uint64_t term)
    {
        // A report that is read too soon after an order shows the state before the order.
        if (currentTime() < state->nextReportAt)
            sleepFor(state->nextReportAt - currentTime());
        state->nextReportAt = currentTime() + OrderLimits::reportInterval;
        const auto report = channel_.report(state->record, currentTime() + OrderLimits::reportTimeout);
        if (!isCurrent(state, term))
            return false;
        if (!report.ok()) {
            state->pausedUntil = currentTime() + OrderLimits::failurePause;
            state->failRequests("the report of the engine could not be read");
            return false;
        }
        return applyReport(*state, *report);
    }

    // Returns false when the report is of a later start of the engine.
    bool applyReport(State& state, const fleet::EngineReport& report)
    {
        if (report.incarnation != state.record.incarnation && report.incarnation != fleet::TargetIncarnation()) {
            // The state is unknown until the list of targets shows the restart.
            state.synced = false;
            state.failRequests("the engine has restarted");
            return false;
        }
        if (state.unansweredLoad && report.holdings.sequence > *state.unansweredLoad)
            settleUnansweredLoad(state);
        // The report is older than the last order.
        if (report.holdings.sequence < state.record.holdings.sequence
            && currentTime() - state.acceptedAt < OrderLimits::maxReportAge)
            return true;
        const auto loading = std::move(state.record.holdings.loading);
        state.record.holdings = report.holdings;
        if (report.holdings.busy)
            state.record.holdings.loading = loading;
        // A model counts as held in a report until its last request has ended.
        if (report.holdings.busy && state.leaving)
            dropModel(state, *state.leaving);
        updateLeavingAdapters(state);
        state.record.weightsInMemory = report.weightsInMemory;
        state.record.weightsOnDisk = report.weightsOnDisk;
        state.synced = true;
        state.earlierOrderActive = report.holdings.busy && !state.arriving && !state.leaving;
        if (!report.holdings.busy) {
            if (state.arriving || state.leaving) {
                orderLog.info("target={} sequence={} model={} {}", state.record.id, report.holdings.sequence,
                    state.arriving ? *state.arriving : *state.leaving, state.arriving ? "loaded" : "unloaded");
            }
            if (state.arriving)
                state.loadedAt[*state.arriving] = currentTime();
            state.arriving.reset();
            state.leaving.reset();
        }
        handlers_.holdingsChanged(state.record);
        return true;
    }

    // An adapter counts as held in a report until the last request that uses it has ended.
    static void updateLeavingAdapters(State& state)
    {
        if (state.yielding && !dropAdapter(state, state.yielding->name) && state.leaving != state.yielding->name.first)
            state.yielding.reset();
        std::erase_if(state.drainingAdapters, [&](const auto& entry) {
            const auto& [name, draining] = entry;
            const bool listed = dropAdapter(state, name) || state.leaving == name.first;
            // The engine does not count an unload that another owner has ordered before.
            const bool isOld = state.record.holdings.sequence < draining.sequence
                && currentTime() - draining.since < OrderLimits::maxReportAge;
            if (listed || isOld)
                return false;
            orderLog.info("target={} adapter={}/{} unloaded drained_ms={}", state.record.id, name.first, name.second,
                milliseconds(currentTime() - draining.since));
            state.placeFreed = true;
            return true;
        });
    }

    // Returns whether the engine held the adapter.
    static bool dropAdapter(State& state, const fleet::AdapterName& name)
    {
        bool dropped = false;
        for (fleet::HeldModel& held : state.record.holdings.models)
            dropped = (held.model == name.first && held.adapters.erase(name.second) > 0) || dropped;
        return dropped;
    }

    static void dropModel(State& state, const ModelId& model)
    {
        std::erase_if(state.record.holdings.models, [&](const fleet::HeldModel& held) { return held.model == model; });
    }

    OrderAnswer send(const std::shared_ptr<State>& state, EngineOrderKind kind, const ModelId& model,
        std::optional<AdapterId> adapter)
    {
        const OrderAuthority authority = handlers_.authority();
        if (!authority.granted)
            return OrderAnswer::NotSent;
        const EngineOrder order{
            kind, model, std::move(adapter), state->record.holdings.sequence, authority.holder, authority.fence};
        const OrderAnswer answer = channel_.send(state->record, order, currentTime() + OrderLimits::answerTimeout);
        orderLog.info("target={} order={} model={}{}{} expected={} fence={} answer=\"{}\"", state->record.id,
            kind == EngineOrderKind::Load ? "load" : "unload", model, order.adapter ? "/" : "",
            order.adapter ? order.adapter->value() : std::string(), order.expected, order.fence, nameOf(answer));
        return answer;
    }

    // Updates the state after an answer. Returns false when the engine's report has to be read again.
    bool applyAnswer(State& state, EngineOrderKind kind, OrderAnswer answer)
    {
        if (answer == OrderAnswer::Accepted || answer == OrderAnswer::Done) {
            // A load of what the engine already holds is answered with Done and does not count as an accepted order. An
            // unload counts with both answers, because it may complete at once.
            if (answer == OrderAnswer::Accepted || kind == EngineOrderKind::Unload) {
                state.record.holdings.sequence = state.record.holdings.sequence.next();
                state.acceptedAt = currentTime();
                settleUnansweredLoad(state);
            }
            return true;
        }
        state.synced = false;
        state.nextReportAt = currentTime() + OrderLimits::reportInterval;
        if (answer != OrderAnswer::Conflict)
            state.pausedUntil = currentTime() + OrderLimits::failurePause;
        return false;
    }

    static std::deque<ModelStep> stepsOf(const fleet::ModelOrder& order)
    {
        if (order.kind == fleet::ModelOrderKind::Load)
            return {{EngineOrderKind::Load, order.model, order.loadTime}};
        std::deque<ModelStep> steps{{EngineOrderKind::Unload, order.model, Duration(0)}};
        for (const ModelId& model : order.furtherUnloads)
            steps.push_back({EngineOrderKind::Unload, model, Duration(0)});
        if (order.roomFor)
            steps.push_back({EngineOrderKind::Load, *order.roomFor, order.loadTime});
        return steps;
    }

    // Sends the first step. An engine executes one order at a time, so a step after an unload is refused until the last
    // request of the unloaded model ends, and is then tried again. If the engine accepts a load, the unload before it
    // is complete and the memory is free.
    void sendStep(const std::shared_ptr<State>& state, std::uint64_t term)
    {
        const ModelStep step = state->steps.front();
        const bool load = step.kind == EngineOrderKind::Load;
        // Adapters may have been loaded since the plan was made.
        if (currentTime() >= state->stepLimit || (load && !fits(*state, step.model)))
            return state->steps.clear();
        // An earlier load without an answer has a reservation, and the engine accepts only one of two orders that
        // expect the same sequence.
        const bool reserves = load && isFromStore(*state, step.model) && !state->unansweredLoad;
        if (reserves && !reserveStoreLoad(*state)) {
            state->nextStepAt = currentTime() + OrderLimits::stepRetryInterval;
            return;
        }
        const OrderAnswer answer = send(state, step.kind, step.model, std::nullopt);
        if (!isCurrent(state, term))
            return;
        if (reserves && answer != OrderAnswer::Accepted && answer != OrderAnswer::Unanswered)
            cancelStoreLoad(*state);
        if (answer == OrderAnswer::Conflict && state->leaving) {
            state->nextStepAt = currentTime() + OrderLimits::stepRetryInterval;
            return;
        }
        if (!applyAnswer(*state, step.kind, answer))
            return state->steps.clear();
        state->steps.pop_front();
        state->nextStepAt = currentTime() + OrderLimits::firstStepRetry;
        state->nextReportAt = currentTime() + OrderLimits::reportInterval;
        state->leaving.reset();
        if (load) {
            recordLoadStarted(*state, step.model, step.loadTime);
        } else {
            // From now on, new requests for the model are not sent to this engine.
            dropModel(*state, step.model);
            state->leaving = step.model;
            if (state->yielding && state->yielding->name.first == step.model)
                state->yielding.reset();
        }
        handlers_.holdingsChanged(state->record);
    }

    // Whether the engine has enough free memory for the model.
    bool fits(const State& state, const ModelId& model) const
    {
        const fleet::Engine* engine = engineOf(state);
        const fleet::Model* declared = engine ? engine->find(model) : nullptr;
        return declared && freeMegabytes(*engine, state) >= declared->weightMegabytes;
    }

    static void recordLoadStarted(State& state, const ModelId& model, Duration loadTime)
    {
        state.arriving = model;
        state.record.holdings.loading.emplace(model, currentTime() + loadTime + OrderLimits::loadMargin);
    }

    // Loads an adapter. Tries a second time when the engine was not in the expected state, because an earlier order
    // without an answer has taken effect since: no other caller would load the adapter for the waiting requests.
    absl::Status loadAdapter(const std::shared_ptr<State>& state, const Request& request, std::uint64_t term)
    {
        absl::Status status = tryLoadAdapter(state, request, term);
        const fleet::OrderSequence expected = state->record.holdings.sequence;
        const bool stale = !state->synced && currentTime() >= state->pausedUntil;
        if (status.ok() || !stale || !isCurrent(state, term) || !readReport(state, term) || !state->synced)
            return status;
        if (state->record.holdings.sequence == expected) {
            state->unknownOrderUntil = currentTime() + OrderLimits::unknownOrderPause;
            return status;
        }
        return tryLoadAdapter(state, request, term);
    }

    absl::Status tryLoadAdapter(const std::shared_ptr<State>& state, const Request& request, std::uint64_t term)
    {
        if (holds(*state, request.model, request.adapter))
            return absl::OkStatus();
        if (currentTime() >= request.deadline)
            return makeError(TransportError::TimedOut, "the deadline passed before the adapter could be ordered");
        fleet::Holdings& holdings = state->record.holdings;
        if (isLeaving(*state, request.name()))
            return makeError(TransportError::RingFull, "the adapter yields its place to another");
        if (executesOrder(*state))
            return makeError(TransportError::RingFull, "the engine is executing another order");
        if (!holdings.find(request.model))
            return makeError(TransportError::Stopped, "the engine does not hold the model of the adapter");
        if (holdings.arriving.size() >= OrderLimits::maxArrivingAdapters)
            return makeError(TransportError::RingFull, "too many adapters are being loaded on the engine");
        // An adapter that yields may be smaller than the wanted one, and the configuration may change during an order.
        while (true) {
            const fleet::Engine* engine = engineOf(*state);
            const fleet::Model* declared = engine ? engine->find(request.model) : nullptr;
            if (!declared)
                return makeError(TransportError::Stopped, "the service of the engine does not declare the model");
            if (hasRoomForAdapter(*engine, *declared, *state))
                break;
            absl::Status room = makeRoom(state, request.name(), *declared, term);
            if (!room.ok())
                return room;
        }
        const OrderAnswer answer = send(state, EngineOrderKind::Load, request.model, request.adapter);
        if (!isCurrent(state, term))
            return makeError(TransportError::Stopped, "this instance no longer owns placement");
        if (!applyAnswer(*state, EngineOrderKind::Load, answer))
            return makeError(TransportError::Stopped, nameOf(answer));
        if (answer == OrderAnswer::Accepted)
            sleepFor(OrderLimits::adapterLoadTime);
        if (!isCurrent(state, term))
            return makeError(TransportError::Stopped, "this instance no longer owns placement");
        for (fleet::HeldModel& held : state->record.holdings.models) {
            if (held.model == request.model)
                held.adapters.insert(request.adapter);
        }
        holdings.arriving.erase(request.name());
        placesOf(*state).recordLoad(state->record.id, request.name(), hasGone(request), currentTime());
        handlers_.holdingsChanged(state->record);
        return absl::OkStatus();
    }

    // Whether the engine has a free place and enough free memory for an adapter of the model.
    static bool hasRoomForAdapter(const fleet::Engine& engine, const fleet::Model& model, const State& state)
    {
        const std::size_t occupied = state.record.holdings.adapterCount() + leavingAdapters(state).size();
        return occupied < static_cast<std::size_t>(std::max(engine.adapterSlots, 0))
            && freeMegabytes(engine, state) >= model.adapterMegabytes;
    }

    // Has an adapter yield its place to `wanted`. Fails with TransportError::RingFull when none yields, or when
    // requests still use the one that does.
    absl::Status makeRoom(const std::shared_ptr<State>& state, const fleet::AdapterName& wanted,
        const fleet::Model& declared, std::uint64_t term)
    {
        std::vector<fleet::AdapterName> resident;
        for (const fleet::HeldModel& held : state->record.holdings.models) {
            for (const AdapterId& adapter : held.adapters)
                resident.emplace_back(held.model, adapter);
        }
        fleet::AdapterPlaces& places = placesOf(*state);
        const auto yield = places.yieldFor(
            state->record.id, wanted, resident,
            [&](const fleet::AdapterName& name) { return isHeldElsewhere(*state, name); }, currentTime());
        const bool isTurn = yield && yield->reason == fleet::YieldReason::Turn;
        if (!yield || (isTurn && (state->yielding || !declares(declared, wanted.second))))
            return makeError(TransportError::RingFull,
                "no adapter can be unloaded to make room: none is loaded, or all were used recently");
        orderLog.info("target={} adapter={}/{} yields_to={}/{} reason={} waited_ms={}", state->record.id,
            yield->adapter.first, yield->adapter.second, wanted.first, wanted.second, nameOf(yield->reason),
            milliseconds(places.waited(wanted, currentTime())));
        if (!isTurn)
            return unloadAdapter(state, yield->adapter, term);
        // From now on, new requests for the adapter are not sent to this engine.
        state->yielding = YieldingAdapter{yield->adapter, currentTime() + OrderLimits::maxYieldTime, currentTime()};
        dropAdapter(*state, yield->adapter);
        places.recordTurn(state->record.id, wanted, currentTime());
        handlers_.holdingsChanged(state->record);
        return makeError(TransportError::RingFull, "the adapter that yields its place is still used by requests");
    }

    // Fails with TransportError::RingFull when requests still use the adapter.
    absl::Status unloadAdapter(const std::shared_ptr<State>& state, const fleet::AdapterName& name, std::uint64_t term)
    {
        const OrderAnswer answer = send(state, EngineOrderKind::Unload, name.first, name.second);
        if (!isCurrent(state, term))
            return makeError(TransportError::Stopped, "this instance no longer owns placement");
        if (!applyAnswer(*state, EngineOrderKind::Unload, answer))
            return makeError(TransportError::Stopped, nameOf(answer));
        dropAdapter(*state, name);
        placesOf(*state).recordUnload(state->record.id, name);
        if (answer == OrderAnswer::Accepted) {
            state->drainingAdapters[name] = {state->record.holdings.sequence, currentTime()};
            state->nextReportAt = currentTime() + OrderLimits::reportInterval;
        }
        handlers_.holdingsChanged(state->record);
        if (answer == OrderAnswer::Done)
            return absl::OkStatus();
        return makeError(
            TransportError::RingFull, "the adapter that was unloaded to make room is still used by requests");
    }

    // Whether the configuration has the adapter. Callers may ask for any name.
    static bool declares(const fleet::Model& model, const AdapterId& adapter)
    {
        for (int number = 1; number <= model.adapters; ++number) {
            if (adapter.value() == fmt::format("a{}", number))
                return true;
        }
        return false;
    }

    Duty& duty_;
    Handlers handlers_;
    Channel channel_;
    std::shared_ptr<const fleet::RouteTable> routes_;
    std::map<TargetId, std::shared_ptr<State>> states_;
    std::map<ServiceId, fleet::AdapterPlaces> places_;
    Duration useWindow_ = OrderLimits::adapterUseWindow;
    double loadsPerSecond_ = 0;
    // Counts a load from the weight store when its order is sent, since a planned load may have to wait for unloads.
    std::optional<fleet::LoadRateLimiter> loadLimiter_;
    // Incremented by beginTerm() and endTerm(), so that fibers of an earlier term stop.
    std::uint64_t term_ = 0;
};

} // namespace lychee::gateway
