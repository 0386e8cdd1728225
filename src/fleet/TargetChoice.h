// Chooses the target of one send, or says why none can take it. Answers the load of many instances before shared
// targets: each sees its own work at once and that of the others a little late, so that all would turn to the same
// target that was idle a moment ago. Requests for the same adapter or shared prompt therefore choose between two
// targets on which all instances agree without talk, and look at further ones only when both would be late.
#pragma once

#include "fleet/RouteTable.h"
#include "fleet/TargetRegistry.h"

#include <variant>

namespace lychee::fleet {

// What a choice depends on beside the registry.
struct ChoiceInput {
    const Service& service;
    // Null for requests that generate nothing.
    const GenerationNeed* need = nullptr;
    DataCentreId local;
    TimePoint now;
    // Time until the answer has to be there.
    Duration remaining{0};
    // Time within which the answer has its full value.
    Duration latencyObjective = std::chrono::seconds(1);
    // Targets that were tried for this request.
    std::span<const TargetId> excluded;
    // Whether the placement owner is reached, so that missing models and adapters are loaded.
    bool placementReached = true;
    // How long the request has waited for a model that nobody loads yet.
    Duration waited{0};
    // Differs between requests; spreads those that have nothing in common over the targets. May be empty.
    std::string_view spreadKey;
};

struct ChosenTarget {
    TargetId target;
    Endpoint endpoint;
    TargetIncarnation incarnation;
    // Estimated time to the first event.
    Duration predicted{0};
    // The adapter has to be loaded before the request is sent.
    bool adapterMissing = false;
};

// No target holds the model yet; one will soon enough for the request.
struct AwaitedModel {
    TimePoint expectedAt;
};

enum class NoTargetReason {
    // The service has no target that takes work.
    NoTargets,
    // No target holds the model.
    ModelNotHeld,
    // The model is held, the adapter is not, and it cannot be loaded now.
    AdapterNotHeld,
    // Every target would need longer than the caller waits.
    TooBusy,
    // Larger than the memory of an engine.
    TooLarge,
};

// Why nothing was chosen, and when there is probably room.
struct NoTarget {
    NoTargetReason reason = NoTargetReason::NoTargets;
    Duration retryAfter{0};
};

std::string_view nameOf(NoTargetReason reason);

using TargetDecision = std::variant<ChosenTarget, AwaitedModel, NoTarget>;

TargetDecision chooseTarget(const TargetRegistry& registry, const ChoiceInput& input);

} // namespace lychee::fleet
