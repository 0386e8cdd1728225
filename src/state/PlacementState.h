// The working state of a placement pass: which copies each target holds, and how busy it is expected to be.
#pragma once

#include "state/Placement.h"

namespace lychee {

// A copy of an artifact on a target.
struct PlacementCopy {
    RouteIndex route;
    ArtifactId artifact;
    Bytes bytes;
    ArtifactState state = ArtifactState::Resident;
    bool declared = true;
    // Whether the copy has the declared version.
    bool current = true;
    // The response to the order that loads or unloads the copy was lost, so the order is to be sent again.
    bool orderLost = false;
};

struct PlacementTarget {
    bool live = true;
    bool owned = false;
    Bytes capacity;
    // Bytes of all copies, including those that are being loaded or unloaded.
    Bytes used;
    // The part of `used` that the unloads in progress will free.
    Bytes freeing;
    // Expected load; 1 if the target is always busy.
    double utilization = 0;
    std::vector<PlacementCopy> copies;
};

// A target on which the declared version of an artifact is resident, loading or planned. An adapter counts only on
// targets that also hold its model.
struct PlacementHolder {
    TargetIndex target;
    bool resident = false;
    // The part of the artifact's demand that is expected to go to this copy.
    double flow = 0;
};

// Built from a residency snapshot, then changed by the steps of the pass.
class PlacementState {
public:
    PlacementState(const Catalogue& catalogue, const ResidencySnapshot& residency, std::span<const double> demand);

    const Catalogue& catalogue() const { return catalogue_; }
    std::size_t targetCount() const { return targets_.size(); }
    const PlacementTarget& target(TargetIndex target) const { return targets_[target.value()]; }
    const std::vector<PlacementHolder>& holders(RouteIndex route) const { return holders_[route.value()]; }
    double demand(RouteIndex route) const { return demand_[route.value()]; }
    // Resident copies of earlier versions.
    std::uint32_t earlierCopies(RouteIndex route) const { return earlierCopies_[route.value()]; }
    std::uint32_t residentCopies(RouteIndex route) const;

    // Whether the target holds the declared version of the artifact, in any state.
    bool holds(TargetIndex target, RouteIndex route) const;
    // Whether the declared version of the artifact is resident on the target, for an adapter together with its model.
    bool serves(TargetIndex target, RouteIndex route) const;

    // Whether a copy is resident and may be unloaded without making an artifact unreachable.
    bool isRemovable(TargetIndex target, const PlacementCopy& copy) const;

    // Spreads the demand of each model over its copies so that the targets are evenly busy.
    void balance(int rounds);

    // Saves and restores the flows of models, for a trial of a change.
    void saveFlows();
    void restoreFlows();
    // Changes only the flows, as if the copy were added or removed.
    void addFlow(TargetIndex target, RouteIndex route);
    void removeFlow(TargetIndex target, const PlacementCopy& copy);

    // Adds a copy that is to be loaded, and counts its memory as used.
    void addCopy(TargetIndex target, RouteIndex route);
    // Turns a resident copy into one that is being unloaded.
    void startUnload(TargetIndex target, std::size_t copy);

private:
    void addHeld(TargetIndex target, const HeldArtifact& held);
    void dropAdaptersWithoutModel(RouteIndex model);
    bool isHolder(TargetIndex target, RouteIndex route) const;
    void spreadEvenly(std::vector<PlacementHolder>& holders, double demand);
    // Whether every instance keeps this copy, because it has the lowest hash of the resident copies.
    bool isKept(TargetIndex target, RouteIndex route) const;

    const Catalogue& catalogue_;
    std::vector<PlacementTarget> targets_;
    std::vector<std::vector<PlacementHolder>> holders_;
    // What saveFlows() saved. A member, so that the many trials of a pass reuse its memory.
    std::vector<std::vector<PlacementHolder>> savedFlows_;
    std::vector<std::uint32_t> earlierCopies_;
    std::vector<double> demand_;
};

} // namespace lychee
