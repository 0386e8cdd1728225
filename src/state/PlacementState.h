// The working state of a placement pass: what each target holds and how busy it is expected to be.
#pragma once

#include "state/Placement.h"

namespace lychee {

// A copy of an artifact on a target, as the pass sees it.
struct PlacementCopy {
    RouteIndex route;
    ArtifactId artifact;
    Bytes bytes;
    ArtifactState state = ArtifactState::Resident;
    bool declared = true;
    // Of the declared version.
    bool current = true;
    // The order that loads or unloads the copy is to be repeated.
    bool orderLost = false;
};

struct PlacementTarget {
    bool live = true;
    bool owned = false;
    Bytes capacity;
    // Everything that is held or ordered, unloads included.
    Bytes used;
    // The part of `used` that unloads in progress will free.
    Bytes freeing;
    // Expected load, 1 if always busy.
    double use = 0;
    std::vector<PlacementCopy> copies;
};

// Where the declared version of an artifact is resident, loading or planned. An adapter counts only beside its model.
struct PlacementHolder {
    TargetIndex target;
    bool resident = false;
    // The part of the demand that is expected to go to this copy.
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
    std::uint32_t earlierCopies(RouteIndex route) const { return earlier_[route.value()]; }
    std::uint32_t residentCopies(RouteIndex route) const;

    // Whether the target holds the artifact, in any state and version.
    bool holds(TargetIndex target, RouteIndex route) const;
    // Whether the declared model is resident there.
    bool serves(TargetIndex target, RouteIndex model) const;

    // Whether a resident copy may be unloaded without making anything unreachable.
    bool removable(TargetIndex target, const PlacementCopy& copy) const;

    // Spreads the demand of each model over its copies so that the targets are evenly busy.
    void balance(int rounds);

    // Keeps the expected flows, to be restored after a trial of a change of models.
    void saveFlows();
    void restoreFlows();
    // Changes only the flows, as if the copy were added or removed.
    void addFlow(TargetIndex target, RouteIndex route);
    void removeFlow(TargetIndex target, const PlacementCopy& copy);

    // Adds a planned copy; `used` grows.
    void addCopy(TargetIndex target, RouteIndex route);
    // Turns a resident copy into one that is being unloaded.
    void startUnload(TargetIndex target, std::size_t copy);

private:
    void addHeld(TargetIndex target, const HeldArtifact& held);
    void dropAdaptersWithoutModel(RouteIndex model);
    bool isHolder(TargetIndex target, RouteIndex route) const;
    void spreadEvenly(std::vector<PlacementHolder>& holders, double demand);
    // Whether every instance keeps this copy: of the resident copies it has the lowest hash.
    bool kept(TargetIndex target, RouteIndex route) const;

    const Catalogue& catalogue_;
    std::vector<PlacementTarget> targets_;
    std::vector<std::vector<PlacementHolder>> holders_;
    // Of models; reused, as a pass makes many trials.
    std::vector<std::vector<PlacementHolder>> saved_;
    std::vector<std::uint32_t> earlier_;
    std::vector<double> demand_;
};

} // namespace lychee
