// Plans which models each engine holds. Demand moves between models within seconds, and there are fewer engines than
// all models would need at their peak demand together.
#pragma once

#include "fleet/DemandMeter.h"
#include "fleet/RouteTable.h"
#include "fleet/TargetRecord.h"
#include "fleet/UnservedModels.h"

#include <optional>
#include <set>
#include <span>
#include <vector>

namespace lychee::fleet {

// State of one engine, as input of the planner.
struct PlannedEngine {
    TargetId id;
    DataCentreId dataCentre;
    // Whether the engine accepts new requests; false while it is draining or not answering.
    bool available = true;
    // Whether an order can be sent: no load or unload of a model is in progress.
    bool acceptsOrders = true;
    std::vector<HeldModel> models;
    // The model that is being loaded or will be after the unloads, and the models that are being unloaded or will be.
    std::optional<ModelId> arriving;
    std::set<ModelId> leaving;
    std::set<ModelId> weightsInMemory;
    std::set<ModelId> weightsOnDisk;
    // Models that were loaded only recently and must not be unloaded yet.
    std::set<ModelId> fresh;
};

enum class ModelOrderKind {
    Load,
    Unload,
};

enum class PlanReason {
    // No engine holds the model.
    Missing,
    // The engines that hold the model are too busy.
    Demand,
    // Frees memory for another model.
    Room,
};

std::string_view nameOf(PlanReason reason);

struct ModelOrder {
    TargetId target;
    ModelOrderKind kind = ModelOrderKind::Load;
    ModelId model;
    PlanReason reason = PlanReason::Missing;
    // Whether the weights are loaded from the weight store, whose load rate is limited.
    bool fromStore = true;
    // Expected duration of the load.
    Duration loadTime{0};
    // For an unload: further models that are unloaded after it, and the model that is loaded into the freed memory as
    // soon as they all are.
    std::vector<ModelId> furtherUnloads;
    std::optional<ModelId> roomFor;

    bool operator==(const ModelOrder&) const = default;
};

// Free memory of an engine in megabytes; a model that is being loaded counts as held.
double freeMegabytes(const Engine& engine, const PlannedEngine& planned);

// Takes engines that limit their requests for unavailable, so that models which only they hold get copies elsewhere.
// Has no effect when they are more than a quarter of all: the others could not hold their models.
void leaveOutLimited(std::span<PlannedEngine> engines, const std::set<TargetId>& limited);

// Returns the orders to send now, the most urgent first and at most one for each engine. At most `storeLoads` of them
// are loads from the weight store. The last copy of a declared model is unloaded only for a model in `unserved`: one
// that is not asked for yields at once, and one that keeps its engine busy for at most half of the time when the model
// has waited for UnservedModels::maxWait.
std::vector<ModelOrder> planModels(const Engine& engine, std::span<const PlannedEngine> engines,
    std::span<const ModelDemand> demand, int storeLoads, const UnservedTimes& unserved = {});

} // namespace lychee::fleet
