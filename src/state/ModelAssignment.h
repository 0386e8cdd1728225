// Searches for an assignment of one copy of each model to a target, for the case that a model is resident nowhere and
// no unload of a spare copy makes room for it.
#pragma once

#include "state/PlacementState.h"

namespace lychee {

// By model: the target that is to hold it together with its adapters. Empty for models that need no place, because a
// target of another owner holds them.
using ModelAssignment = std::vector<std::optional<TargetIndex>>;

// Returns an assignment to the live targets that this instance owns in which everything fits into memory, with as few
// large models as possible away from their present targets; nothing if the bounded search finds none. Deterministic,
// and an assignment that has been carried out in part is found again.
std::optional<ModelAssignment> assignModels(const Catalogue& catalogue, const PlacementState& state);

} // namespace lychee
