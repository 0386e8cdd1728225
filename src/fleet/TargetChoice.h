// Chooses the target of one send, or gives the reason why none can take it. Many instances share the targets, and each
// knows its own work at once but that of the others only with a delay, so all of them would choose the same target that
// was idle at the last report. Requests for the same adapter or shared prompt therefore choose between two targets,
// which all instances determine by the same hash without communication, and consider further targets only when both
// would be late.
#pragma once

#include "fleet/RouteTable.h"
#include "fleet/TargetRegistry.h"

#include <set>
#include <variant>

namespace lychee::fleet {

// The input of a choice besides the registry.
struct ChoiceInput {
    const Service& service;
    // Null for requests to plain services.
    const GenerationNeed* need = nullptr;
    DataCentreId local;
    TimePoint now;
    // Time left until the answer is due.
    Duration remaining{0};
    // Latency objective of the route; a later answer is worth less.
    Duration latencyObjective = std::chrono::seconds(1);
    // Targets that were already tried for this request.
    std::span<const TargetId> excluded;
    // Whether the placement owner can be reached, so that missing models and adapters can be loaded.
    bool placementReached = true;
    // How long the request has waited for a model that is not being loaded yet, or for a slot.
    Duration waited{0};
    // A key that differs between requests, by which requests without an adapter or prompt parts are spread over the
    // targets. May be empty.
    std::string_view spreadKey;
    // The urgency with which engines prefill the prompt.
    Urgency urgency = UrgencyPolicy::standard;
    // A generation that cannot begin within its objective is still worth an answer when it begins within this time.
    // Zero where such a request is refused.
    Duration lateObjective{0};
    // Whether engines fetch the shared parts of a prompt from each other.
    bool fetchesCache = false;
    // Whether requests of a plain service that has fewer slots than instances are held or refused by the share of this
    // instance.
    bool sharesSlots = true;
    // The software versions whose targets may get the request; null for all.
    const std::set<SoftwareVersion>* versions = nullptr;
};

struct ChosenTarget {
    TargetId target;
    Endpoint endpoint;
    TargetIncarnation incarnation;
    SoftwareVersion softwareVersion;
    // Estimated time to the first event.
    Duration predicted{0};
    // Whether the adapter has to be loaded before the request is sent.
    bool adapterMissing = false;
    // The first event is expected after the latency objective. The request is sent with the least urgency, so that it
    // delays none that can be in time.
    bool late = false;
    // The engine from which the target fetches the shared parts of the prompt, in less time than it prefills them.
    std::optional<Endpoint> cacheSource;
};

// The slots of a plain service are in use. The request is held for a short time.
struct AwaitedSlot { };

// No target holds the model yet, but one is expected to hold it soon enough for the request.
struct AwaitedModel {
    TimePoint expectedAt;
};

enum class NoTargetReason {
    // The service has no target that accepts requests.
    NoTargets,
    // The service has targets, but none of a software version that may get the request.
    VersionNotServed,
    // No target holds the model.
    ModelNotHeld,
    // The model is held, but the adapter is not and cannot be loaded now.
    AdapterNotHeld,
    // Every target is expected to take longer than the caller waits.
    TooBusy,
    // The prompt does not fit into the memory of an engine.
    TooLarge,
};

// The reason why no target was chosen, and after which time a retry will probably succeed.
struct NoTarget {
    NoTargetReason reason = NoTargetReason::NoTargets;
    Duration retryAfter{0};
};

std::string_view nameOf(NoTargetReason reason);

using TargetDecision = std::variant<ChosenTarget, AwaitedModel, AwaitedSlot, NoTarget>;

TargetDecision chooseTarget(const TargetRegistry& registry, const ChoiceInput& input);

} // namespace lychee::fleet
