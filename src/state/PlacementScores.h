// Values of copies and costs of moves (loads and unloads) in a placement pass. The unit is the load
// that keeps one target fully busy.
#pragma once

#include "state/PlacementState.h"

namespace lychee {

// Reads the working state of a pass; update() must be called after each change of the flows.
class PlacementScores {
public:
    // A load that is small enough to be ignored; also the scale of the hash in preference().
    static constexpr double negligibleLoad = 1e-6;

    // `state` must outlive the object.
    PlacementScores(const Catalogue& catalogue, const PlacementState& state, const PlacementOptions& options);

    // Computes from the expected utilization of the targets how much of their load could move to other copies.
    void update();

    // The overload that a move must remove to be worthwhile.
    double moveCost() const { return moveCost_; }
    double secondCopyValue() const { return secondCopyValue_; }
    // Whether one copy of every artifact fills most of the memory, so that first copies must be packed closely.
    bool tight() const { return tight_; }

    // The part of a model's load that exceeds what its targets are planned to serve.
    double excessOf(RouteIndex model) const;

    // Load that a target can take over if other copies take over as much as they can of its present load.
    double absorbableLoad(TargetIndex target) const;

    // The value that is lost when a copy is unloaded: the load that other copies cannot take over, and the value of a
    // second copy.
    double valueOf(TargetIndex target, const PlacementCopy& copy) const;

    // The value of a second copy if `copy` is one of exactly two copies of a model, otherwise 0.
    double secondCopyLoss(const PlacementCopy& copy) const;

    // Load that is expected to be lost or served late on a target of this utilization. It grows slowly from the planned
    // maximum on; beyond a utilization of 1, all further load is added.
    double overloadOf(double utilization) const;

    // A small bonus for targets that are idle or in a data centre without a copy of the model.
    double preference(TargetIndex target, RouteIndex model) const;

    // The bytes of a model and of the adapters, of this model and of those already on the target, that are still to be
    // loaded there.
    Bytes neededBytes(const PlacementTarget& target, RouteIndex model) const;

private:
    // Load that fits on a target up to the planned maximum.
    double spareLoad(TargetIndex target) const;

    const Catalogue& catalogue_;
    const PlacementState& state_;
    PlacementOptions options_;
    double moveCost_ = 0;
    double secondCopyValue_ = 0;
    // By model: the bytes of all its adapters.
    std::vector<Bytes> adapterBytes_;
    bool tight_ = false;
    // Targets with a higher utilization count as too busy.
    double busyThreshold_ = 1;
    // By target: load that other copies could take over.
    std::vector<double> movableLoad_;
};

} // namespace lychee
