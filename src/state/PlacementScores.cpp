#include "state/PlacementScores.h"

namespace lychee {

namespace {

// Busy targets are relieved as long as they exceed the mean use by this factor, even if all are busy.
constexpr double meanExcess = 1.05;
// Memory counts as tight if one copy of everything needs more than this part of it.
constexpr double tightPart = 0.75;
// Disadvantage, in targets' worth of work, of a second copy in the data centre of the first.
constexpr double sameDataCentreCost = 0.15;

} // namespace

PlacementScores::PlacementScores(const Catalogue& catalogue, const PlacementState& map, const PlacementOptions& options)
    : catalogue_(catalogue)
    , map_(map)
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
    for (std::uint32_t t = 0; t < map_.targetCount(); ++t)
        memory += map_.target(TargetIndex(t)).live ? map_.target(TargetIndex(t)).capacity : Bytes(0);
    tight_ = static_cast<double>(models.value()) > tightPart * static_cast<double>(memory.value());
}

double PlacementScores::roomFor(TargetIndex target) const
{
    return std::max(0.0, full_ - map_.target(target).use + movable_[target.value()]);
}

double PlacementScores::overloadOf(double use) const
{
    const double margin = 1 - options_.fullUse;
    if (use <= options_.fullUse)
        return 0;
    if (use <= 1)
        return (use - options_.fullUse) * (use - options_.fullUse) / (2 * margin);
    return margin / 2 + use - 1;
}

double PlacementScores::secondCopyLoss(const PlacementCopy& copy) const
{
    const bool model = copy.declared && copy.current && catalogue_.isModel(copy.route);
    return model && map_.holders(copy.route).size() == 2 ? secondCopyValue_ : 0;
}

void PlacementScores::update()
{
    double total = 0;
    std::size_t live = 0;
    for (std::uint32_t t = 0; t < map_.targetCount(); ++t) {
        const PlacementTarget& target = map_.target(TargetIndex(t));
        total += target.use;
        live += target.live ? 1 : 0;
    }
    full_ = std::max(options_.fullUse, meanExcess * total / static_cast<double>(std::max<std::size_t>(1, live)));
    movable_.assign(map_.targetCount(), 0);
    for (std::uint32_t m = 0; m < catalogue_.modelCount(); ++m) {
        const auto& holders = map_.holders(RouteIndex(m));
        double room = 0;
        for (const PlacementHolder& holder : holders)
            room += roomOn(holder.target);
        for (const PlacementHolder& holder : holders)
            movable_[holder.target.value()] += std::min(holder.flow, room - roomOn(holder.target));
    }
}

double PlacementScores::roomOn(TargetIndex target) const { return std::max(0.0, full_ - map_.target(target).use); }

double PlacementScores::excessOf(RouteIndex model) const
{
    double excess = 0;
    for (const PlacementHolder& holder : map_.holders(model)) {
        const double use = map_.target(holder.target).use;
        if (use > full_)
            excess += holder.flow * (use - full_) / use;
    }
    return excess;
}

double PlacementScores::valueOf(TargetIndex target, const PlacementCopy& copy) const
{
    if (!copy.declared || !copy.current || !catalogue_.isModel(copy.route))
        return 0;
    const auto& holders = map_.holders(copy.route);
    double flow = 0;
    double room = 0;
    for (const PlacementHolder& holder : holders) {
        if (holder.target == target)
            flow = holder.flow;
        else
            room += roomOn(holder.target);
    }
    return std::max(0.0, flow - room) + (holders.size() == 2 ? secondCopyValue_ : 0);
}

double PlacementScores::preference(TargetIndex index, RouteIndex model) const
{
    const auto& holders = map_.holders(model);
    const bool same = std::any_of(holders.begin(), holders.end(), [&](const PlacementHolder& holder) {
        return catalogue_.dataCentreOf(holder.target) == catalogue_.dataCentreOf(index);
    });
    const double hash = static_cast<double>(mixHashes(catalogue_.routeHash(model), catalogue_.targetHash(index)) >> 11U)
        / static_cast<double>(1ULL << 53U);
    return (same ? 0 : sameDataCentreCost) + 0.1 * std::max(0.0, 1 - map_.target(index).use) + negligibleLoad * hash;
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
