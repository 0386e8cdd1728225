// Plans which model and adapter is resident on which target.
#pragma once

#include "state/Catalogue.h"
#include "state/Residency.h"

#include <span>

namespace lychee {

// How many loads may start now, on the targets that this instance owns.
struct LoadAllowance {
    std::uint32_t models = 0;
    std::uint32_t adapters = 0;
    // False while unloads cannot be recorded: then loads go only where they fit without an unload.
    bool unloads = true;
};

// The constants of placement; the switch exists for the ablation benchmark.
struct PlacementOptions {
    bool hysteresis = true;
    // A target is planned to be busy for at most this part of its time.
    double fullUse = 0.8;
    // Value of a second copy, in targets' worth of work: it keeps the model reachable when a target is lost.
    // For a weight of moves of 0, and the addition for a weight of 1.
    double secondCopyValue = 0.05;
    double secondCopyValueWeight = 0.3;
    // Work that a move must relieve to be worthwhile, for a weight of moves of 0, and the addition for a weight of 1.
    double moveCost = 0.01;
    double moveCostWeight = 0.1;
    // An adapter gets a copy for each such part of a target that its requests keep busy.
    double adapterCopyLoad = 0.25;
};

enum class OrderKind {
    Load,
    Unload,
};

enum class PlacementReason {
    // The artifact is resident nowhere.
    Missing,
    // The loss of one target would make the artifact unreachable.
    SecondCopy,
    // The targets that hold it are too busy.
    Demand,
    // Makes room for another artifact.
    Room,
    // The artifact or its version is no longer declared.
    Undeclared,
    // The answer to an earlier order was lost.
    LostOrder,
};

// One wanted order to a target.
struct PlannedOrder {
    TargetIndex target;
    OrderKind kind = OrderKind::Load;
    ArtifactId artifact;
    Bytes bytes;
    PlacementReason reason = PlacementReason::Missing;

    bool operator==(const PlannedOrder&) const = default;
};

// Plans the orders that are to be sent now, to owned targets only, in order of urgency. The plan is deterministic:
// instances with the same view compute the same one, of which each takes the part for its own targets. `demand` is
// the load of each model and adapter by route index, in targets' worth of work; that of an adapter is included in that
// of its model. An unload is never planned for the last copy. Of several copies, the one with the lowest hash is kept
// by every instance, so that owners that act at the same time don't remove all of them. A load is planned only if
// it fits beside all that the target holds, unloads included.
std::vector<PlannedOrder> planPlacement(const Catalogue& catalogue, const ResidencySnapshot& residency,
    std::span<const double> demand, LoadAllowance allowance, const PlacementOptions& options = {});

} // namespace lychee
