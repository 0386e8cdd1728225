#include "state/PlacementState.h"

#include <cmath>

namespace lychee {

namespace {

// Added to the utilization of targets while flows are balanced, so that the weights of idle targets stay finite.
constexpr double utilizationOffset = 0.05;

} // namespace

PlacementState::PlacementState(
    const Catalogue& catalogue, const ResidencySnapshot& residency, std::span<const double> demand)
    : catalogue_(catalogue)
    , targets_(catalogue.targetCount())
    , holders_(catalogue.artifactCount())
    , earlierCopies_(catalogue.artifactCount())
    , demand_(demand.begin(), demand.end())
{
    demand_.resize(catalogue.artifactCount());
    for (std::uint32_t i = 0; i < targets_.size(); ++i) {
        const Target& declared = catalogue.configuration().targets[i];
        targets_[i].live = declared.kind == TargetKind::Engine;
        targets_[i].capacity = declared.memory;
    }
    for (const TargetResidency& entry : residency.targets) {
        const auto index = catalogue.target(entry.target);
        if (!index)
            continue;
        PlacementTarget& target = targets_[index->value()];
        target.live = target.live && entry.live;
        target.owned = entry.owned;
        if (entry.capacity.value() > 0)
            target.capacity = entry.capacity;
        for (const HeldArtifact& held : entry.held)
            addHeld(*index, held);
    }
    for (std::uint32_t m = 0; m < catalogue.modelCount(); ++m) {
        spreadEvenly(holders_[m], demand_[m]);
        dropAdaptersWithoutModel(RouteIndex(m));
    }
}

void PlacementState::dropAdaptersWithoutModel(RouteIndex model)
{
    for (const RouteIndex adapter : catalogue_.adaptersOf(model)) {
        auto& list = holders_[adapter.value()];
        std::erase_if(list, [&](const PlacementHolder& holder) { return !isHolder(holder.target, model); });
        for (PlacementHolder& holder : list)
            holder.resident = holder.resident && serves(holder.target, model);
    }
}

bool PlacementState::isHolder(TargetIndex target, RouteIndex route) const
{
    const auto& list = holders_[route.value()];
    return std::any_of(
        list.begin(), list.end(), [&](const PlacementHolder& holder) { return holder.target == target; });
}

void PlacementState::addHeld(TargetIndex index, const HeldArtifact& held)
{
    PlacementTarget& target = targets_[index.value()];
    target.used += held.bytes;
    if (held.state == ArtifactState::Unloading)
        target.freeing += held.bytes;
    const auto resolved = catalogue_.artifact(held.artifact);
    PlacementCopy copy{
        RouteIndex(), held.artifact, held.bytes, held.state, resolved.has_value(), false, held.orderLost};
    if (resolved) {
        copy.route = resolved->route;
        copy.current = resolved->current;
        if (!copy.current && target.live && held.state == ArtifactState::Resident)
            ++earlierCopies_[copy.route.value()];
        if (copy.current && target.live && held.state != ArtifactState::Unloading)
            holders_[copy.route.value()].push_back({index, held.state == ArtifactState::Resident, 0});
    }
    target.copies.push_back(std::move(copy));
}

void PlacementState::spreadEvenly(std::vector<PlacementHolder>& holders, double demand)
{
    for (PlacementHolder& holder : holders)
        holder.flow = demand / static_cast<double>(holders.size());
}

std::uint32_t PlacementState::residentCopies(RouteIndex route) const
{
    const auto& list = holders_[route.value()];
    return static_cast<std::uint32_t>(
        std::count_if(list.begin(), list.end(), [](const PlacementHolder& holder) { return holder.resident; }));
}

bool PlacementState::holds(TargetIndex target, RouteIndex route) const
{
    const auto& copies = targets_[target.value()].copies;
    return std::any_of(copies.begin(), copies.end(),
        [&](const PlacementCopy& copy) { return copy.declared && copy.current && copy.route == route; });
}

bool PlacementState::serves(TargetIndex target, RouteIndex route) const
{
    const auto& list = holders_[route.value()];
    return std::any_of(list.begin(), list.end(),
        [&](const PlacementHolder& holder) { return holder.resident && holder.target == target; });
}

bool PlacementState::isKept(TargetIndex target, RouteIndex route) const
{
    // The hash of an adapter's model is used, so that the model and its adapters are kept on the same target and the
    // other copies of the model can be unloaded.
    const std::uint64_t seed = catalogue_.routeHash(catalogue_.modelOf(route));
    const std::uint64_t own = mixHashes(seed, catalogue_.targetHash(target));
    const auto& list = holders_[route.value()];
    return std::none_of(list.begin(), list.end(), [&](const PlacementHolder& holder) {
        return holder.resident && holder.target != target
            && mixHashes(seed, catalogue_.targetHash(holder.target)) < own;
    });
}

bool PlacementState::isRemovable(TargetIndex target, const PlacementCopy& copy) const
{
    if (copy.state != ArtifactState::Resident)
        return false;
    if (!copy.declared)
        return true;
    if (!copy.current)
        return residentCopies(copy.route) >= std::min<std::uint32_t>(2, earlierCopies_[copy.route.value()]);
    // An adapter cannot be used on a target without its model.
    if (!catalogue_.isModel(copy.route) && !isHolder(target, copy.route))
        return true;
    if (isKept(target, copy.route))
        return false;
    if (!catalogue_.isModel(copy.route))
        return true;
    // The adapters of a model are unloaded with it.
    const auto& copies = targets_[target.value()].copies;
    return std::none_of(copies.begin(), copies.end(), [&](const PlacementCopy& other) {
        return other.declared && other.current && other.route != copy.route
            && catalogue_.modelOf(other.route) == copy.route
            && (other.state == ArtifactState::Loading
                || (other.state == ArtifactState::Resident && isKept(target, other.route)));
    });
}

void PlacementState::balance(int rounds)
{
    for (int round = 0; round <= rounds; ++round) {
        for (PlacementTarget& target : targets_)
            target.utilization = 0;
        for (std::uint32_t m = 0; m < catalogue_.modelCount(); ++m) {
            for (const PlacementHolder& holder : holders_[m])
                targets_[holder.target.value()].utilization += holder.flow;
        }
        if (round == rounds)
            return;
        for (std::uint32_t m = 0; m < catalogue_.modelCount(); ++m) {
            auto& list = holders_[m];
            if (list.size() < 2 || demand_[m] <= 0)
                continue;
            double total = 0;
            for (PlacementHolder& holder : list) {
                holder.flow /= std::sqrt(targets_[holder.target.value()].utilization + utilizationOffset);
                total += holder.flow;
            }
            for (PlacementHolder& holder : list)
                holder.flow *= demand_[m] / total;
        }
    }
}

void PlacementState::addCopy(TargetIndex index, RouteIndex route)
{
    PlacementTarget& target = targets_[index.value()];
    const Bytes bytes = catalogue_.bytes(route);
    target.used += bytes;
    target.copies.push_back({route, catalogue_.artifactId(route), bytes, ArtifactState::Loading, true, true, false});
    addFlow(index, route);
}

void PlacementState::saveFlows()
{
    savedFlows_.resize(catalogue_.modelCount());
    std::copy(
        holders_.begin(), holders_.begin() + static_cast<std::ptrdiff_t>(savedFlows_.size()), savedFlows_.begin());
}

void PlacementState::restoreFlows() { std::copy(savedFlows_.begin(), savedFlows_.end(), holders_.begin()); }

void PlacementState::addFlow(TargetIndex index, RouteIndex route)
{
    auto& list = holders_[route.value()];
    list.push_back({index, false, 0});
    if (!catalogue_.isModel(route))
        return;
    // The new copy starts with an equal part of the flow; balance() then adjusts it.
    const double part = 1.0 / static_cast<double>(list.size());
    for (PlacementHolder& holder : list)
        holder.flow *= 1 - part;
    list.back().flow = demand_[route.value()] * part;
}

void PlacementState::startUnload(TargetIndex index, std::size_t position)
{
    PlacementTarget& target = targets_[index.value()];
    PlacementCopy& copy = target.copies[position];
    copy.state = ArtifactState::Unloading;
    copy.orderLost = false;
    target.freeing += copy.bytes;
    if (!copy.declared)
        return;
    if (!copy.current) {
        if (target.live)
            --earlierCopies_[copy.route.value()];
        return;
    }
    removeFlow(index, copy);
}

void PlacementState::removeFlow(TargetIndex index, const PlacementCopy& copy)
{
    if (!copy.declared || !copy.current)
        return;
    auto& list = holders_[copy.route.value()];
    std::erase_if(list, [&](const PlacementHolder& holder) { return holder.target == index; });
    if (catalogue_.isModel(copy.route))
        spreadEvenly(list, demand_[copy.route.value()]);
}

} // namespace lychee
