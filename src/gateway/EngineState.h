// What the placement owner keeps for one engine.
#pragma once

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
    bool done = false;
    absl::Status status;
    std::vector<FiberEvent*> waitingFibers;

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

// What the placement owner knows about one engine, and the orders that it still has to send to it.
struct EngineState {
    fleet::TargetRecord record;
    // `record.holdings` is the state of the engine after exactly `holdings.sequence` accepted orders.
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
    std::map<std::pair<ModelId, AdapterId>, TimePoint> lastUse;
    TimePoint nextReportAt;
    TimePoint pausedUntil;

    // Fails all adapter requests with TransportError::Stopped and drops the planned steps.
    void failRequests(std::string_view reason);
};

} // namespace lychee::gateway
