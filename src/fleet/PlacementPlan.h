// Plans which model each engine holds. Answers demand that moves between models within seconds, on fewer engines than
// all models need at their peak.
#pragma once

#include "fleet/DemandMeter.h"
#include "fleet/RouteTable.h"
#include "fleet/TargetRecord.h"

#include <optional>
#include <set>
#include <span>
#include <vector>

namespace lychee::fleet {

// One engine as the planner sees it.
struct PlannedEngine {
    TargetId id;
    DataCentreId dataCentre;
    // Takes new work; false for engines that are leaving or not answering.
    bool available = true;
    // No order to load or unload a model is under way.
    bool acceptsOrders = true;
    std::vector<HeldModel> models;
    // A model that is being loaded, or being unloaded.
    std::optional<ModelId> arriving;
    std::optional<ModelId> leaving;
    std::set<ModelId> weightsInMemory;
    std::set<ModelId> weightsOnDisk;
    // Models that were loaded a moment ago; they do not make way yet.
    std::set<ModelId> fresh;
};

enum class ModelOrderKind {
    Load,
    Unload,
};

enum class PlanReason {
    // The model is held nowhere.
    Missing,
    // Its holders are too busy.
    Demand,
    // Makes room.
    Room,
};

std::string_view nameOf(PlanReason reason);

struct ModelOrder {
    TargetId target;
    ModelOrderKind kind = ModelOrderKind::Load;
    ModelId model;
    PlanReason reason = PlanReason::Missing;
    // The weights come from the weight store, whose loads are limited.
    bool fromStore = true;
    // How long the load takes.
    Duration loadTime{0};
    // The model for which an unload makes room; it is loaded as soon as the unload is complete.
    std::optional<ModelId> roomFor;

    bool operator==(const ModelOrder&) const = default;
};

// Memory that an engine has left, in megabytes, with a model on its way counted.
double freeMegabytes(const Engine& engine, const PlannedEngine& planned);

// Orders to send now, at most one for each engine, the most urgent first. At most `storeLoads` of them are loads from
// the weight store. The last copy of a model is never unloaded.
std::vector<ModelOrder> planModels(
    const Engine& engine, std::span<const PlannedEngine> engines, std::span<const ModelDemand> demand, int storeLoads);

} // namespace lychee::fleet
