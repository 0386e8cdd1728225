// The state of one engine at the placement owner.
#pragma once

#include "fleet/PlacementPlan.h"
#include "fleet/TargetRecord.h"
#include "transport/FiberEvent.h"

#include <absl/status/status.h>

#include <deque>
#include <map>
#include <memory>

namespace lychee::gateway {

// A request that waits for an adapter.
struct AdapterRequest {
    ModelId model;
    AdapterId adapter;
    TimePoint deadline;
    bool done = false;
    absl::Status status;
    std::vector<FiberEvent*> waiting;

    // Tells the fibers that wait.
    void finish(absl::Status result);

    // Suspends the calling fiber until the wish is finished; fails with TransportError::TimedOut at the deadline. The
    // wish is passed by value because its engine may give it up meanwhile.
    static absl::Status await(std::shared_ptr<AdapterRequest> wish, TimePoint deadline);
};

// What the placement owner knows of one engine, and what it has to do there.
struct EngineState {
    fleet::TargetRecord record;
    // The holdings are those after `holdings.sequence` orders.
    bool synced = false;
    bool running = false;
    // A model order is under way.
    bool ordering = false;
    std::map<ModelId, TimePoint> loadedAt;
    std::optional<fleet::ModelOrder> planned;
    std::optional<ModelId> arriving;
    std::optional<ModelId> leaving;
    // An order of an earlier owner is being carried out, so the holdings are not those after `sequence` orders yet.
    bool unsettled = false;
    std::deque<std::shared_ptr<AdapterRequest>> wishes;
    std::map<std::pair<ModelId, AdapterId>, TimePoint> lastUse;
    TimePoint nextReport;
    TimePoint pausedUntil;

    // Fails all wishes with TransportError::Stopped and drops the planned order.
    void failAll(std::string_view reason);
};

} // namespace lychee::gateway
