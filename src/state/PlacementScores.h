// What copies and moves are worth in a placement pass, in targets' worth of work.
#pragma once

#include "state/PlacementState.h"

namespace lychee {

// Reads the working state of a pass; update() must follow each change of the flows.
class PlacementScores {
public:
    // Load that makes no difference; breaks ties.
    static constexpr double negligibleLoad = 1e-6;

    // `map` must outlive the object.
    PlacementScores(const Catalogue& catalogue, const PlacementState& map, const PlacementOptions& options);

    // Derives from the expected use of targets how much of their work could move to other copies.
    void update();

    // What a move must relieve to be worthwhile.
    double moveCost() const { return moveCost_; }
    double secondCopyValue() const { return secondCopyValue_; }
    // Whether memory hardly holds one copy of everything, so that first copies must be packed closely.
    bool tight() const { return tight_; }

    // The part of a model's work that its targets cannot do.
    double excessOf(RouteIndex model) const;

    // Work that a target can take over, if other copies take what they can of its own.
    double roomFor(TargetIndex target) const;

    // What is lost when a copy is unloaded.
    double valueOf(TargetIndex target, const PlacementCopy& copy) const;

    // The value of the second copy, if the model has just two.
    double secondCopyLoss(const PlacementCopy& copy) const;

    // Work that is lost or late on a target of this use: a little when it is nearly full, all that exceeds it beyond.
    double overloadOf(double use) const;

    // A small bonus for idle targets in other data centres than the model's copies.
    double preference(TargetIndex target, RouteIndex model) const;

    // The bytes of a model, and of the adapters that will follow it and the models that are already there.
    Bytes neededBytes(const PlacementTarget& target, RouteIndex model) const;

private:
    double roomOn(TargetIndex target) const;

    const Catalogue& catalogue_;
    const PlacementState& map_;
    PlacementOptions options_;
    double moveCost_ = 0;
    double secondCopyValue_ = 0;
    // By model: the bytes of all its adapters.
    std::vector<Bytes> adapterBytes_;
    bool tight_ = false;
    // A target is not planned to be busier than this.
    double full_ = 1;
    // By target: work that other copies could take over.
    std::vector<double> movable_;
};

} // namespace lychee
