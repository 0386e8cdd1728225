#include "state/PlacementScores.h"

namespace lychee {

namespace {

// Even if all targets are busy, those that exceed the mean utilization by this factor count as too busy.
constexpr double aboveMeanFactor = 1.05;
// Memory counts as tight if one copy of every artifact needs more than this fraction of it.
constexpr double tightMemoryFraction = 0.75;
// Penalty, in fully busy targets, for a copy in a data centre that already has one of the model.
constexpr double sameDataCentreCost = 0.15;

} // namespace

PlacementScores::PlacementScores(
    const Catalogue& catalogue, const PlacementState& state, const PlacementOptions& options)
    : catalogue_(catalogue)
    , state_(state)
    , options_(options)
{
    const double weight = catalogue.configuration().moveWeight;
    if (options_.hysteresis) {
        moveCost_ = options_.moveCost + options_.moveCostWeight * weight;
        secondCopyValue_ = options_.secondCopyValue + options_.secondCopyValueWeight * weight;
    }
    adapterBytes_.resize(catalogue.modelCount());
    for (std::size_t i = catalogue.modelCount(); i < catalogue.artifactCount(); ++i) {
        const RouteIndex adapter(static_cast<std::uint32_t>(i));
        adapterBytes_[catalogue.modelOf(adapter).value()] += catalogue.bytes(adapter);
    }
    Bytes models;
    Bytes memory;
    for (std::uint32_t m = 0; m < catalogue.modelCount(); ++m)
        models += catalogue.bytes(RouteIndex(m)) + adapterBytes_[m];
    for (std::uint32_t t = 0; t < state_.targetCount(); ++t)
        memory += state_.target(TargetIndex(t)).live ? state_.target(TargetIndex(t)).capacity : Bytes(0);
    tight_ = static_cast<double>(models.value()) > tightMemoryFraction * static_cast<double>(memory.value());
}

double PlacementScores::absorbableLoad(TargetIndex target) const
{
    return std::max(0.0, busyThreshold_ - state_.target(target).utilization + movableLoad_[target.value()]);
}

double PlacementScores::overloadOf(double utilization) const
{
    const double margin = 1 - options_.maxUtilization;
    if (utilization <= options_.maxUtilization)
        return 0;
    if (utilization <= 1)
        return (utilization - options_.maxUtilization) * (utilization - options_.maxUtilization) / (2 * margin);
    return margin / 2 + utilization - 1;
}

double PlacementScores::secondCopyLoss(const PlacementCopy& copy) const
{
    const bool model = copy.declared && copy.current && catalogue_.isModel(copy.route);
    return model && state_.holders(copy.route).size() == 2 ? secondCopyValue_ : 0;
}

void PlacementScores::update()
{
    double total = 0;
    std::size_t live = 0;
    for (std::uint32_t t = 0; t < state_.targetCount(); ++t) {
        const PlacementTarget& target = state_.target(TargetIndex(t));
        total += target.utilization;
        live += target.live ? 1 : 0;
    }
    busyThreshold_ = std::max(
        options_.maxUtilization, aboveMeanFactor * total / static_cast<double>(std::max<std::size_t>(1, live)));
    movableLoad_.assign(state_.targetCount(), 0);
    for (std::uint32_t m = 0; m < catalogue_.modelCount(); ++m) {
        const auto& holders = state_.holders(RouteIndex(m));
        double spare = 0;
        for (const PlacementHolder& holder : holders)
            spare += spareLoad(holder.target);
        for (const PlacementHolder& holder : holders)
            movableLoad_[holder.target.value()] += std::min(holder.flow, spare - spareLoad(holder.target));
    }
}

double PlacementScores::spareLoad(TargetIndex target) const
{
    return std::max(0.0, busyThreshold_ - state_.target(target).utilization);
}

double PlacementScores::excessOf(RouteIndex model) const
{
    double excess = 0;
    for (const PlacementHolder& holder : state_.holders(model)) {
        const double utilization = state_.target(holder.target).utilization;
        if (utilization > busyThreshold_)
            excess += holder.flow * (utilization - busyThreshold_) / utilization;
    }
    return excess;
}

double PlacementScores::valueOf(TargetIndex target, const PlacementCopy& copy) const
{
    if (!copy.declared || !copy.current || !catalogue_.isModel(copy.route))
        return 0;
    const auto& holders = state_.holders(copy.route);
    double flow = 0;
    double spare = 0;
    for (const PlacementHolder& holder : holders) {
        if (holder.target == target)
            flow = holder.flow;
        else
            spare += spareLoad(holder.target);
    }
    return std::max(0.0, flow - spare) + (holders.size() == 2 ? secondCopyValue_ : 0);
}

double PlacementScores::preference(TargetIndex index, RouteIndex model) const
{
    const auto& holders = state_.holders(model);
    const bool sameDataCentre = std::any_of(holders.begin(), holders.end(), [&](const PlacementHolder& holder) {
        return catalogue_.dataCentreOf(holder.target) == catalogue_.dataCentreOf(index);
    });
    const double hash = static_cast<double>(mixHashes(catalogue_.routeHash(model), catalogue_.targetHash(index)) >> 11U)
        / static_cast<double>(1ULL << 53U);
    return (sameDataCentre ? 0 : sameDataCentreCost) + 0.1 * std::max(0.0, 1 - state_.target(index).utilization)
        + negligibleLoad * hash;
}

Bytes PlacementScores::neededBytes(const PlacementTarget& target, RouteIndex model) const
{
    Bytes adapters = adapterBytes_[model.value()];
    Bytes present;
    for (const PlacementCopy& copy : target.copies) {
        if (!copy.declared || !copy.current)
            continue;
        if (catalogue_.isModel(copy.route))
            adapters += adapterBytes_[copy.route.value()];
        else
            present += copy.bytes;
    }
    return catalogue_.bytes(model) + (adapters.value() > present.value() ? adapters - present : Bytes(0));
}

} // namespace lychee
