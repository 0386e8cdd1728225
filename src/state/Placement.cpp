#include "state/Placement.h"

#include "state/PlacementScores.h"
#include "state/PlacementState.h"

#include <cmath>

namespace lychee {

namespace {

constexpr int firstBalanceRounds = 30;
constexpr int stepBalanceRounds = 6;
// Bounds the duration of a pass: steps in total, and steps that search all targets for room by unloading.
constexpr int maxSteps = 1024;
constexpr int maxRoomSearches = 48;
constexpr int maxTrials = 160;
constexpr std::size_t trialsPerModel = 6;
constexpr int trialBalanceRounds = 6;

// A target for a new copy, with the copies to be unloaded before it fits.
struct Site {
    TargetIndex target;
    double score = 0;
    std::vector<std::size_t> unloads;
};

struct Candidate {
    std::size_t copy = 0;
    double value = 0;
    Bytes bytes;
};

// One placement pass.
class Planner {
public:
    Planner(const Catalogue& catalogue, PlacementState map, LoadAllowance allowance, const PlacementOptions& options)
        : catalogue_(catalogue)
        , map_(std::move(map))
        , allowance_(allowance)
        , options_(options)
        , values_(catalogue, map_, options)
    {
    }

    std::vector<PlannedOrder> run()
    {
        map_.balance(firstBalanceRounds);
        repeatLostOrders();
        if (allowance_.unloads)
            unloadUndeclared();
        if (allowance_.models > 0) {
            values_.update();
            loadCopies(0, PlacementReason::Missing);
            // Before second copies, so that these don't take the memory that was freed for a busy model.
            relieve();
            loadCopies(1, PlacementReason::SecondCopy);
        }
        if (allowance_.adapters > 0) {
            loadAdapters(PlacementReason::Missing);
            loadAdapters(PlacementReason::SecondCopy);
        }
        return std::move(orders_);
    }

private:
    // A lost order may never have reached its target. Its memory stays counted, so without a repetition the copy would
    // be awaited for ever. A repeated load keeps the allowance that its first order took.
    void repeatLostOrders()
    {
        for (std::uint32_t t = 0; t < map_.targetCount(); ++t) {
            const PlacementTarget& target = map_.target(TargetIndex(t));
            if (!target.live || !target.owned)
                continue;
            for (const PlacementCopy& copy : target.copies) {
                const bool unloads = copy.state == ArtifactState::Unloading && allowance_.unloads;
                const bool loads = copy.state == ArtifactState::Loading && copy.declared && copy.current;
                if (copy.orderLost && (unloads || loads))
                    orders_.push_back({TargetIndex(t), unloads ? OrderKind::Unload : OrderKind::Load, copy.artifact,
                        copy.bytes, PlacementReason::LostOrder});
            }
        }
    }

    void unloadUndeclared()
    {
        for (std::uint32_t t = 0; t < map_.targetCount(); ++t) {
            const TargetIndex target(t);
            for (std::size_t i = 0; i < map_.target(target).copies.size(); ++i) {
                const PlacementCopy& copy = map_.target(target).copies[i];
                if ((!copy.declared || !copy.current) && map_.removable(target, copy))
                    unload(target, i, PlacementReason::Undeclared);
            }
        }
    }

    // Loads models that have `copies` copies, the most wanted first.
    void loadCopies(std::size_t copies, PlacementReason reason)
    {
        std::vector<RouteIndex> models;
        for (std::uint32_t m = 0; m < catalogue_.modelCount(); ++m) {
            if (map_.holders(RouteIndex(m)).size() == copies)
                models.emplace_back(m);
        }
        const bool bySize = values_.tight() && reason == PlacementReason::Missing;
        std::stable_sort(models.begin(), models.end(), [&](RouteIndex left, RouteIndex right) {
            return bySize ? catalogue_.bytes(left).value() > catalogue_.bytes(right).value()
                          : map_.demand(left) > map_.demand(right);
        });
        for (const RouteIndex model : models) {
            if (exhausted(allowance_.models))
                return;
            const auto site = findSite(model, reason);
            if (site && (reason == PlacementReason::Missing || worthSecondCopy(*site, model)))
                take(*site, model, reason, allowance_.models);
        }
    }

    // A second copy is always worth free memory, but not every unload.
    bool worthSecondCopy(const Site& site, RouteIndex model)
    {
        if (site.unloads.empty())
            return true;
        const double before = trial(nullptr, model);
        return values_.secondCopyValue() + before - trial(&site, model) > costOf(site);
    }

    // Adds copies of the models whose targets are too busy, as long as the relief is worth the moves.
    void relieve()
    {
        std::vector<bool> blocked(catalogue_.modelCount());
        while (!exhausted(allowance_.models) && trials_ < maxTrials) {
            const auto worst = worstModel(blocked);
            if (!worst)
                return;
            const auto site = findReliefSite(*worst);
            if (!site) {
                blocked[worst->value()] = true;
                continue;
            }
            take(*site, *worst, PlacementReason::Demand, allowance_.models);
        }
    }

    // The model with the most work on targets that are too busy.
    std::optional<RouteIndex> worstModel(const std::vector<bool>& blocked) const
    {
        std::optional<RouteIndex> worst;
        double worstExcess = values_.moveCost() + PlacementScores::negligibleLoad;
        for (std::uint32_t m = 0; m < catalogue_.modelCount(); ++m) {
            const double excess = blocked[m] ? 0 : values_.excessOf(RouteIndex(m));
            if (excess > worstExcess) {
                worst = RouteIndex(m);
                worstExcess = excess;
            }
        }
        return worst;
    }

    // Tries the most promising targets for a further copy and returns the one with the largest relief, if any is
    // worth its moves.
    std::optional<Site> findReliefSite(RouteIndex model)
    {
        std::vector<Site> sites = reliefSites(model);
        if (sites.empty())
            return std::nullopt;
        const double before = trial(nullptr, model);
        std::optional<Site> best;
        for (Site& site : sites) {
            const double worth = before - trial(&site, model) - costOf(site);
            if (worth > 0 && (!best || worth > best->score)) {
                site.score = worth;
                best = std::move(site);
            }
        }
        return best;
    }

    // What the moves of a step cost, and the second copies that it removes.
    double costOf(const Site& site) const
    {
        double cost = values_.moveCost();
        for (const std::size_t copy : site.unloads)
            cost += values_.moveCost() + values_.secondCopyLoss(map_.target(site.target).copies[copy]);
        return cost;
    }

    std::vector<Site> reliefSites(RouteIndex model) const
    {
        std::vector<Site> sites;
        for (std::uint32_t t = 0; t < map_.targetCount(); ++t) {
            std::optional<Site> site;
            for (const bool unloading : {false, true}) {
                if (!unloading || allowance_.unloads)
                    considerSite(site, TargetIndex(t), model, PlacementReason::Demand, 1, unloading, true);
            }
            if (site)
                sites.push_back(std::move(*site));
        }
        std::stable_sort(
            sites.begin(), sites.end(), [](const Site& left, const Site& right) { return left.score > right.score; });
        sites.resize(std::min(sites.size(), trialsPerModel));
        return sites;
    }

    // The overload of all targets after a copy is added at `site`, or without a change.
    double trial(const Site* site, RouteIndex model)
    {
        ++trials_;
        map_.saveFlows();
        if (site) {
            for (const std::size_t copy : site->unloads)
                map_.removeFlow(site->target, map_.target(site->target).copies[copy]);
            map_.addFlow(site->target, model);
        }
        map_.balance(trialBalanceRounds);
        double overload = 0;
        for (std::uint32_t t = 0; t < map_.targetCount(); ++t)
            overload += values_.overloadOf(map_.target(TargetIndex(t)).use);
        map_.restoreFlows();
        return overload;
    }

    void loadAdapters(PlacementReason reason)
    {
        for (std::size_t i = catalogue_.modelCount(); i < catalogue_.artifactCount(); ++i) {
            if (exhausted(allowance_.adapters))
                return;
            const RouteIndex adapter(static_cast<std::uint32_t>(i));
            const std::size_t copies = map_.holders(adapter).size();
            if (copies >= (reason == PlacementReason::Missing ? 1 : wantedAdapterCopies(adapter)))
                continue;
            if (const auto site = findAdapterSite(adapter, reason))
                take(*site, adapter, reason, allowance_.adapters);
        }
    }

    std::size_t wantedAdapterCopies(RouteIndex adapter) const
    {
        const auto byDemand = static_cast<std::size_t>(std::ceil(map_.demand(adapter) / options_.adapterCopyLoad));
        const std::size_t models = map_.residentCopies(catalogue_.modelOf(adapter));
        return std::min(models, std::max<std::size_t>(2, byDemand));
    }

    bool exhausted(std::uint32_t allowance) const { return allowance == 0 || steps_ >= maxSteps; }

    std::optional<Site> findSite(RouteIndex model, PlacementReason reason)
    {
        std::optional<Site> best;
        const double excess = values_.excessOf(model);
        // A first copy is loaded even where there is no room for its adapters.
        for (const bool adapterRoom : {true, false}) {
            for (const bool unloading : {false, true}) {
                if (best || (unloading && (!allowance_.unloads || ++roomSearches_ > maxRoomSearches)))
                    break;
                for (std::uint32_t t = 0; t < map_.targetCount(); ++t)
                    considerSite(best, TargetIndex(t), model, reason, excess, unloading, adapterRoom);
            }
            if (reason != PlacementReason::Missing)
                break;
        }
        return best;
    }

    void considerSite(std::optional<Site>& best, TargetIndex index, RouteIndex model, PlacementReason reason,
        double excess, bool unloading, bool adapterRoom) const
    {
        const PlacementTarget& target = map_.target(index);
        if (!target.live || map_.holds(index, model))
            return;
        const Bytes needed = adapterRoom ? values_.neededBytes(target, model) : catalogue_.bytes(model);
        const bool fits = fitsLater(target, needed);
        if (fits == unloading)
            return;
        Site site{index, 0, {}};
        double cost = 0;
        if (unloading) {
            const auto unloads = chooseUnloads(index, needed, model);
            if (!unloads)
                return;
            for (const Candidate& candidate : *unloads) {
                site.unloads.push_back(candidate.copy);
                cost += candidate.value;
            }
        }
        const double moves = 1 + static_cast<double>(site.unloads.size());
        const double room = values_.roomFor(index);
        double gain = std::min(excess, room);
        if (reason == PlacementReason::SecondCopy)
            gain += values_.secondCopyValue();
        site.score = gain - cost - moves * values_.moveCost();
        if (reason == PlacementReason::SecondCopy && unloading && site.score <= 0)
            return;
        if (values_.tight() && reason == PlacementReason::Missing && target.capacity.value() > 0)
            site.score += static_cast<double>(target.used.value()) / static_cast<double>(target.capacity.value());
        // Preferences among targets of equal gain.
        site.score += values_.preference(index, model) * (reason == PlacementReason::Demand ? site.score > 0 : 1);
        if (!best || site.score > best->score)
            best = std::move(site);
    }

    // Whether the bytes fit once the unloads in progress are done.
    static bool fitsLater(const PlacementTarget& target, Bytes needed)
    {
        return (target.used + needed).value() <= (target.capacity + target.freeing).value();
    }

    // The least valuable copies that make room for `needed`, adapters of unloaded models included.
    std::optional<std::vector<Candidate>> chooseUnloads(TargetIndex index, Bytes needed, RouteIndex wanted) const
    {
        const PlacementTarget& target = map_.target(index);
        std::vector<Candidate> candidates;
        for (std::size_t i = 0; i < target.copies.size(); ++i) {
            const PlacementCopy& copy = target.copies[i];
            const bool small = copy.declared && !catalogue_.isModel(copy.route);
            if (small && catalogue_.isModel(wanted))
                continue;
            // The model of a wanted adapter stays.
            if (copy.declared && copy.route == catalogue_.modelOf(wanted))
                continue;
            if (map_.removable(index, copy))
                candidates.push_back({i, values_.valueOf(index, copy), copy.bytes});
        }
        std::stable_sort(candidates.begin(), candidates.end(),
            [](const Candidate& left, const Candidate& right) { return left.value < right.value; });
        std::vector<Candidate> chosen;
        Bytes missing = target.used + needed - target.capacity - target.freeing;
        for (const Candidate& candidate : candidates) {
            chosen.push_back(candidate);
            if (candidate.bytes.value() >= missing.value())
                return chosen;
            missing -= candidate.bytes;
        }
        return std::nullopt;
    }

    std::optional<Site> findAdapterSite(RouteIndex adapter, PlacementReason reason) const
    {
        std::optional<Site> best;
        for (const PlacementHolder& holder : map_.holders(catalogue_.modelOf(adapter))) {
            const PlacementTarget& target = map_.target(holder.target);
            if (!holder.resident || map_.holds(holder.target, adapter))
                continue;
            Site site{holder.target, values_.preference(holder.target, adapter), {}};
            const Bytes needed = catalogue_.bytes(adapter);
            if (!fitsLater(target, needed)) {
                if (reason != PlacementReason::Missing || !allowance_.unloads)
                    continue;
                const auto unloads = chooseUnloads(holder.target, needed, adapter);
                if (!unloads)
                    continue;
                site.score -= 1;
                for (const Candidate& candidate : *unloads) {
                    site.unloads.push_back(candidate.copy);
                    site.score -= candidate.value;
                }
            }
            if (!best || site.score > best->score)
                best = std::move(site);
        }
        return best;
    }

    // Adds the orders of a step, as far as they can be sent now, and brings the map up to date.
    void take(const Site& site, RouteIndex route, PlacementReason reason, std::uint32_t& allowance)
    {
        ++steps_;
        const bool owned = map_.target(site.target).owned;
        for (const std::size_t copy : site.unloads)
            unloadWithAdapters(site.target, copy);
        const PlacementTarget& target = map_.target(site.target);
        const Bytes bytes = catalogue_.bytes(route);
        if (owned && (target.used + bytes).value() <= target.capacity.value())
            orders_.push_back({site.target, OrderKind::Load, catalogue_.artifactId(route), bytes, reason});
        if (owned)
            --allowance;
        map_.addCopy(site.target, route);
        if (catalogue_.isModel(route)) {
            map_.balance(stepBalanceRounds);
            values_.update();
        }
    }

    void unloadWithAdapters(TargetIndex target, std::size_t position)
    {
        const PlacementCopy copy = map_.target(target).copies[position];
        if (copy.state == ArtifactState::Unloading)
            return;
        if (copy.declared && copy.current && catalogue_.isModel(copy.route)) {
            for (std::size_t i = 0; i < map_.target(target).copies.size(); ++i) {
                const PlacementCopy& other = map_.target(target).copies[i];
                const bool adapter = other.declared && other.current && other.state == ArtifactState::Resident
                    && other.route != copy.route && catalogue_.modelOf(other.route) == copy.route;
                if (adapter)
                    unload(target, i, PlacementReason::Room);
            }
        }
        unload(target, position, PlacementReason::Room);
    }

    void unload(TargetIndex target, std::size_t position, PlacementReason reason)
    {
        const PlacementCopy& copy = map_.target(target).copies[position];
        if (map_.target(target).owned)
            orders_.push_back({target, OrderKind::Unload, copy.artifact, copy.bytes, reason});
        map_.startUnload(target, position);
    }

    const Catalogue& catalogue_;
    PlacementState map_;
    LoadAllowance allowance_;
    PlacementOptions options_;
    PlacementScores values_;
    int steps_ = 0;
    int roomSearches_ = 0;
    int trials_ = 0;
    std::vector<PlannedOrder> orders_;
};

} // namespace

std::vector<PlannedOrder> planPlacement(const Catalogue& catalogue, const ResidencySnapshot& residency,
    std::span<const double> demand, LoadAllowance allowance, const PlacementOptions& options)
{
    PlacementState map(catalogue, residency, demand);
    return Planner(catalogue, std::move(map), allowance, options).run();
}

} // namespace lychee
