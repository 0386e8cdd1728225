#include "state/ModelAssignment.h"

namespace lychee {

namespace {

// Bounds the time of a search; it ends after a few hundred steps unless nearly all memory is needed.
constexpr int maxSearchSteps = 20000;

class AssignmentSearch {
public:
    AssignmentSearch(const Catalogue& catalogue, const PlacementState& state)
        : catalogue_(catalogue)
        , state_(state)
        , assignment_(catalogue.modelCount())
    {
        for (std::uint32_t t = 0; t < state.targetCount(); ++t)
            free_.push_back(isUsable(TargetIndex(t)) ? state.target(TargetIndex(t)).capacity : Bytes(0));
        for (std::uint32_t m = 0; m < catalogue.modelCount(); ++m) {
            if (!isHeldByOtherOwner(RouteIndex(m)))
                models_.emplace_back(m);
        }
        std::stable_sort(models_.begin(), models_.end(),
            [&](RouteIndex left, RouteIndex right) { return unitBytes(left).value() > unitBytes(right).value(); });
    }

    std::optional<ModelAssignment> run()
    {
        if (!place(0))
            return std::nullopt;
        return std::move(assignment_);
    }

private:
    bool isUsable(TargetIndex target) const { return state_.target(target).live && state_.target(target).owned; }

    bool isHeldByOtherOwner(RouteIndex model) const
    {
        const auto& holders = state_.holders(model);
        return std::any_of(holders.begin(), holders.end(),
            [&](const PlacementHolder& holder) { return holder.resident && !state_.target(holder.target).owned; });
    }

    // The bytes of a model with all its adapters.
    Bytes unitBytes(RouteIndex model) const
    {
        Bytes bytes = catalogue_.bytes(model);
        for (const RouteIndex adapter : catalogue_.adaptersOf(model))
            bytes += catalogue_.bytes(adapter);
        return bytes;
    }

    // The targets with room for a model: those that hold it come first, then those that would be fullest.
    std::vector<TargetIndex> candidatesFor(RouteIndex model, Bytes bytes) const
    {
        std::vector<TargetIndex> candidates;
        for (std::uint32_t t = 0; t < free_.size(); ++t) {
            if (isUsable(TargetIndex(t)) && free_[t].value() >= bytes.value())
                candidates.emplace_back(t);
        }
        std::stable_sort(candidates.begin(), candidates.end(), [&](TargetIndex left, TargetIndex right) {
            const bool leftHolds = state_.holds(left, model);
            if (leftHolds != state_.holds(right, model))
                return leftHolds;
            return free_[left.value()].value() < free_[right.value()].value();
        });
        return candidates;
    }

    bool place(std::size_t position)
    {
        if (position == models_.size())
            return true;
        const RouteIndex model = models_[position];
        const Bytes bytes = unitBytes(model);
        for (const TargetIndex target : candidatesFor(model, bytes)) {
            if (++steps_ > maxSearchSteps)
                return false;
            free_[target.value()] -= bytes;
            assignment_[model.value()] = target;
            if (place(position + 1))
                return true;
            free_[target.value()] += bytes;
        }
        assignment_[model.value()].reset();
        return false;
    }

    const Catalogue& catalogue_;
    const PlacementState& state_;
    ModelAssignment assignment_;
    std::vector<Bytes> free_;
    // The largest first, because small ones fit into the gaps that are left.
    std::vector<RouteIndex> models_;
    int steps_ = 0;
};

} // namespace

std::optional<ModelAssignment> assignModels(const Catalogue& catalogue, const PlacementState& state)
{
    return AssignmentSearch(catalogue, state).run();
}

} // namespace lychee
