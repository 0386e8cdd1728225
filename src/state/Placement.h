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
    // False while unloads cannot be recorded; a load is then planned only where it fits without an unload.
    bool unloads = true;
};

// The constants of placement; the unit of values and costs is the load that keeps one target fully busy. `hysteresis`
// is a switch for the ablation benchmark.
struct PlacementOptions {
    bool hysteresis = true;
    // Targets are planned to be busy for at most this fraction of their time.
    double maxUtilization = 0.8;
    // Value of a second copy, which keeps the model reachable when a target is lost: the value for
    // Configuration::moveWeight 0, and what a weight of 1 adds.
    double secondCopyValue = 0.05;
    double secondCopyValueWeight = 0.3;
    // Overload that a move, that is a load or unload, must remove to be worthwhile: the value for moveWeight 0, and
    // what a weight of 1 adds.
    double moveCost = 0.01;
    double moveCostWeight = 0.1;
    // An adapter gets one copy for each such fraction of a target that its requests keep busy.
    double loadPerAdapterCopy = 0.25;
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
    // The targets that hold the artifact are too busy.
    Demand,
    // Makes room for another artifact.
    Room,
    // The artifact or its version is no longer declared.
    Undeclared,
    // The response to an earlier order was lost; the order is sent again.
    LostOrder,
};

// An order that is to be sent to a target.
struct PlannedOrder {
    TargetIndex target;
    OrderKind kind = OrderKind::Load;
    ArtifactId artifact;
    Bytes bytes;
    PlacementReason reason = PlacementReason::Missing;

    bool operator==(const PlannedOrder&) const = default;
};

// Plans the orders that are to be sent now, to targets that this instance owns, in order of urgency. The plan is
// deterministic: instances with the same input plan the same steps, and each returns the orders for the targets that it
// owns. `demand` is the load of each model and adapter by route index, as the number of targets that it keeps busy; the
// load of an adapter is included in that of its model. The last copy of an artifact is never unloaded. Of several
// copies, every instance keeps the one with the lowest hash, so that owners that act at the same time don't remove all
// of them. A load is planned only if it fits into memory beside everything that the target holds, including copies that
// are being unloaded.
std::vector<PlannedOrder> planPlacement(const Catalogue& catalogue, const ResidencySnapshot& residency,
    std::span<const double> demand, LoadAllowance allowance, const PlacementOptions& options = {});

} // namespace lychee
