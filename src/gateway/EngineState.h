// What the placement owner keeps for one engine.
#pragma once

#include "fleet/AdapterPlaces.h"
#include "fleet/PlacementPlan.h"
#include "fleet/TargetRecord.h"
#include "gateway/EngineOrder.h"
#include "transport/FiberEvent.h"

#include <absl/status/status.h>

#include <deque>
#include <map>
#include <memory>

namespace lychee::gateway {

// An adapter that requests are waiting for.
struct AdapterRequest {
    ModelId model;
    AdapterId adapter;
    TimePoint deadline;
    TimePoint createdAt;
    // Time until the dispatcher began with it.
    Duration queued{0};
    bool done = false;
    absl::Status status;
    std::vector<FiberEvent*> waitingFibers;

    fleet::AdapterName name() const { return {model, adapter}; }

    // Sets the result and wakes the waiting fibers.
    void finish(absl::Status result);

    // Suspends the calling fiber until finish() is called. Fails with TransportError::TimedOut at the deadline. Takes
    // shared ownership, because the queue of the engine may drop its reference during the wait.
    static absl::Status await(std::shared_ptr<AdapterRequest> request, TimePoint deadline);
};

// A load or unload of a model that is to be ordered.
struct ModelStep {
    EngineOrderKind kind = EngineOrderKind::Load;
    ModelId model;
    // Expected duration of a load.
    Duration loadTime{0};
};

// An adapter whose unload the engine has accepted while requests use it.
struct DrainingAdapter {
    // The sequence of the engine after that order.
    fleet::OrderSequence sequence;
    TimePoint since;
};

// An adapter in use that is to be unloaded when the requests that use it have ended. An engine accepts no other order
// while it waits for them, so the order is not sent before.
struct YieldingAdapter {
    fleet::AdapterName name;
    // When the unload is ordered even if requests still use the adapter.
    TimePoint unloadBy;
    TimePoint nextTryAt;
};

// What the placement owner knows about one engine, and the orders that it still has to send to it.
struct EngineState {
    fleet::TargetRecord record;
    // `record.holdings` is the state of the engine, without the adapters that yield or drain, after exactly
    // `holdings.sequence` accepted orders.
    bool synced = false;
    // A fiber is processing this engine.
    bool fiberRunning = false;
    std::map<ModelId, TimePoint> loadedAt;
    // The planned steps in their order, with the one that is being sent. An engine accepts the next one only when the
    // one before is complete.
    std::deque<ModelStep> steps;
    // When the next step is tried, and when it is given up.
    TimePoint nextStepAt;
    TimePoint stepLimit;
    std::optional<ModelId> arriving;
    std::optional<ModelId> leaving;
    // The sequence that the engine had when a load from the weight store was ordered whose answer is awaited or was
    // lost. The load may still begin until the engine has accepted another order after that sequence.
    std::optional<fleet::OrderSequence> unansweredLoad;
    // The engine is still executing an order of an earlier owner, so its holdings do not show the result of that order.
    bool earlierOrderActive = false;
    std::deque<std::shared_ptr<AdapterRequest>> pendingAdapters;
    // Requests that wait for the place of the adapter that yields.
    std::deque<std::shared_ptr<AdapterRequest>> placeRequests;
    // Not listed in `record.holdings`, so that no requests are sent to them, but they occupy their places.
    std::map<fleet::AdapterName, DrainingAdapter> drainingAdapters;
    std::optional<YieldingAdapter> yielding;
    // The place of an adapter that yields has become free and is kept for the adapter that has waited longest.
    bool placeFreed = false;
    // When the engine last accepted an order of this owner.
    TimePoint acceptedAt;
    TimePoint nextReportAt;
    TimePoint pausedUntil;
    // The engine executes an order that this owner does not know, probably until this time.
    TimePoint unknownOrderUntil;

    // Fails all adapter requests with TransportError::Stopped and drops the planned steps.
    void failRequests(std::string_view reason);
};

} // namespace lychee::gateway
