// What the targets hold, as their owners know it: the input of routing and placement.
#pragma once

#include "protocol/Ids.h"
#include "protocol/Units.h"

#include <vector>

namespace lychee {

enum class ArtifactState {
    // Ready to serve.
    Resident,
    // A load order is unresolved; the memory counts as used.
    Loading,
    // An unload order is unresolved; the memory counts as used and no request is sent to it.
    Unloading,
};

struct HeldArtifact {
    ArtifactId artifact;
    Bytes bytes;
    ArtifactState state = ArtifactState::Resident;
    // The owner has no order under way that could end this state: the answer to its order was lost, or a previous owner
    // sent it. The order is to be repeated.
    bool orderLost = false;

    bool operator==(const HeldArtifact&) const = default;
};

struct TargetResidency {
    TargetId target;
    // False when the target is known to be down; what it held doesn't count.
    bool live = true;
    // Whether this instance owns the target and may send it orders.
    bool owned = false;
    // Memory that may be used; the configured memory if zero.
    Bytes capacity;
    std::vector<HeldArtifact> held;

    bool operator==(const TargetResidency&) const = default;
};

// Immutable once published; targets that are absent hold nothing and are taken as live.
struct ResidencySnapshot {
    std::vector<TargetResidency> targets;
};

} // namespace lychee
