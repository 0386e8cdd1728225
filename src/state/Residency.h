// The artifacts that the targets hold in memory, as known to the owners of the targets; the input of routing and
// placement.
#pragma once

#include "protocol/Ids.h"
#include "protocol/Units.h"

#include <vector>

namespace lychee {

enum class ArtifactState {
    // Ready to serve.
    Resident,
    // The outcome of a load order is not known yet; the memory counts as used.
    Loading,
    // The outcome of an unload order is not known yet; the memory counts as used and the artifact gets no requests.
    Unloading,
};

struct HeldArtifact {
    ArtifactId artifact;
    Bytes bytes;
    ArtifactState state = ArtifactState::Resident;
    // The owner has no order in progress that could end the state Loading or Unloading: the response to its order was
    // lost, or a previous owner sent the order. The order must be sent again.
    bool orderLost = false;

    bool operator==(const HeldArtifact&) const = default;
};

struct TargetResidency {
    TargetId target;
    // False when the target is known to be down; what it held doesn't count.
    bool live = true;
    // Whether this instance owns the target and may send it orders.
    bool owned = false;
    // Usable memory; zero stands for the configured memory.
    Bytes capacity;
    std::vector<HeldArtifact> held;

    bool operator==(const TargetResidency&) const = default;
};

// Immutable once published. Targets that are absent count as live and hold nothing.
struct ResidencySnapshot {
    std::vector<TargetResidency> targets;
};

} // namespace lychee
