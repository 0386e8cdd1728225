#include "state/Placement.h"

#include "state/ModelAssignment.h"
#include "state/PlacementScores.h"
#include "state/PlacementState.h"

#include <cmath>

namespace lychee {

namespace {

constexpr int initialBalanceRounds = 30;
constexpr int stepBalanceRounds = 6;
// Bounds on the duration of a pass: its steps, its searches over all targets for unloads that make room, and its trials
// of a copy.
constexpr int maxSteps = 1024;
constexpr int maxRoomSearches = 48;
constexpr int maxTrials = 160;
constexpr std::size_t trialsPerModel = 6;
constexpr int trialBalanceRounds = 6;

// A target for a new copy, and the copies that must be unloaded to make room for it.
struct Site {
    TargetIndex target;
    double score = 0;
    std::vector<std::size_t> unloads;
};

// A copy that may be unloaded to make room.
struct Candidate {
    std::size_t copy = 0;
    double value = 0;
    Bytes bytes;
};

// One placement pass.
class Planner {
public:
    Planner(const Catalogue& catalogue, PlacementState state, LoadAllowance allowance, const PlacementOptions& options)
        : catalogue_(catalogue)
        , state_(std::move(state))
        , allowance_(allowance)
        , options_(options)
        , scores_(catalogue, state_, options)
    {
    }

    std::vector<PlannedOrder> run()
    {
        state_.balance(initialBalanceRounds);
        repeatLostOrders();
        if (allowance_.unloads)
            unloadUndeclared();
        if (allowance_.models > 0) {
            scores_.update();
            loadCopies(0, PlacementReason::Missing);
            if (allowance_.unloads && !isExhausted(allowance_.models) && isAnyWithoutPlace()) {
                repack();
                return std::move(orders_);
            }
            // Comes before second copies, so that they don't take the memory that was freed for a busy model.
            relieveBusyTargets();
            loadCopies(1, PlacementReason::SecondCopy);
        }
        if (allowance_.adapters > 0) {
            loadAdapters(PlacementReason::Missing);
            loadAdapters(PlacementReason::SecondCopy);
        }
        return std::move(orders_);
    }

private:
    // Repeats orders whose response was lost, as they may never have reached their target. The memory of the copy stays
    // counted, so without a repetition the pass would wait for the copy forever. A repeated load needs no further
    // allowance, because its first order took one.
    void repeatLostOrders()
    {
        for (std::uint32_t t = 0; t < state_.targetCount(); ++t) {
            const PlacementTarget& target = state_.target(TargetIndex(t));
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
        for (std::uint32_t t = 0; t < state_.targetCount(); ++t) {
            const TargetIndex target(t);
            for (std::size_t i = 0; i < state_.target(target).copies.size(); ++i) {
                const PlacementCopy& copy = state_.target(target).copies[i];
                if ((!copy.declared || !copy.current) && state_.isRemovable(target, copy))
                    unload(target, i, PlacementReason::Undeclared);
            }
        }
    }

    // Loads another copy of each model that has `copies` copies, the models with the highest demand first. When
    // memory is tight, first copies are loaded largest first, so that they are packed closely.
    void loadCopies(std::size_t copies, PlacementReason reason)
    {
        std::vector<RouteIndex> models;
        for (std::uint32_t m = 0; m < catalogue_.modelCount(); ++m) {
            if (state_.holders(RouteIndex(m)).size() == copies)
                models.emplace_back(m);
        }
        const bool largestFirst = scores_.tight() && reason == PlacementReason::Missing;
        std::stable_sort(models.begin(), models.end(), [&](RouteIndex left, RouteIndex right) {
            return largestFirst ? catalogue_.bytes(left).value() > catalogue_.bytes(right).value()
                                : state_.demand(left) > state_.demand(right);
        });
        for (const RouteIndex model : models) {
            if (isExhausted(allowance_.models))
                return;
            const auto site = findSite(model, reason);
            if (site && (reason == PlacementReason::Missing || worthSecondCopy(*site, model)))
                applyStep(*site, model, reason, allowance_.models);
        }
    }

    // Whether a model is still resident nowhere after this pass has looked for a place for it, or an adapter is,
    // although its model is resident and nothing can be unloaded for the adapter there.
    bool isAnyWithoutPlace() const
    {
        for (std::uint32_t i = 0; i < catalogue_.artifactCount(); ++i) {
            const RouteIndex route(i);
            if (!state_.holders(route).empty())
                continue;
            if (catalogue_.isModel(route)
                || (state_.residentCopies(catalogue_.modelOf(route)) > 0
                    && !findAdapterSite(route, PlacementReason::Missing)))
                return true;
        }
        return false;
    }

    // Moves models between the targets of this instance towards an assignment in which all fit. A model is loaded at
    // its new place before its old copy is unloaded, so several passes are needed. Other loads wait meanwhile, as they
    // would take the memory that becomes free.
    void repack()
    {
        const std::optional<ModelAssignment> assignment = assignModels(catalogue_, state_);
        if (!assignment)
            return;
        for (std::uint32_t m = 0; m < catalogue_.modelCount(); ++m) {
            const RouteIndex model(m);
            const auto& place = (*assignment)[m];
            if (!place || isExhausted(allowance_.models))
                continue;
            if (!state_.holds(*place, model))
                loadAssigned(*assignment, *place, model);
            else if (state_.serves(*place, model))
                loadAssignedAdapters(*place, model);
        }
    }

    void loadAssigned(const ModelAssignment& assignment, TargetIndex place, RouteIndex model)
    {
        const Bytes needed = scores_.neededBytes(state_.target(place), model);
        Site site{place, 0, {}};
        Bytes freed;
        for (std::size_t i = 0; i < state_.target(place).copies.size(); ++i) {
            if (fitsLater(state_.target(place), needed.value() > freed.value() ? needed - freed : Bytes(0)))
                break;
            const PlacementCopy& copy = state_.target(place).copies[i];
            if (!isSpareIn(assignment, place, copy))
                continue;
            site.unloads.push_back(i);
            freed += copy.bytes;
        }
        if (!site.unloads.empty() || fitsLater(state_.target(place), needed))
            applyStep(site, model, PlacementReason::Missing, allowance_.models);
    }

    void loadAssignedAdapters(TargetIndex place, RouteIndex model)
    {
        for (const RouteIndex adapter : catalogue_.adaptersOf(model)) {
            if (!state_.holds(place, adapter) && fitsLater(state_.target(place), catalogue_.bytes(adapter))
                && !isExhausted(allowance_.adapters))
                applyStep({place, 0, {}}, adapter, PlacementReason::Missing, allowance_.adapters);
        }
    }

    // Whether a copy of a model is not needed where it is: every instance may remove it, or its model is served, with
    // all its adapters, at its place in the assignment. That place is a target of this instance, so no other owner can
    // unload the copy there at the same time.
    bool isSpareIn(const ModelAssignment& assignment, TargetIndex target, const PlacementCopy& copy) const
    {
        if (copy.state != ArtifactState::Resident || (copy.declared && !catalogue_.isModel(copy.route)))
            return false;
        if (!copy.declared || !copy.current)
            return state_.isRemovable(target, copy);
        const auto& place = assignment[copy.route.value()];
        if (!place)
            return state_.isRemovable(target, copy);
        const auto& adapters = catalogue_.adaptersOf(copy.route);
        return *place != target && state_.serves(*place, copy.route)
            && std::all_of(
                adapters.begin(), adapters.end(), [&](RouteIndex adapter) { return state_.serves(*place, adapter); });
    }

    // A second copy is always loaded into free memory, but not always worth the unloads that make room for it.
    bool worthSecondCopy(const Site& site, RouteIndex model)
    {
        if (site.unloads.empty())
            return true;
        const double before = overloadWith(nullptr, model);
        return scores_.secondCopyValue() + before - overloadWith(&site, model) > costOf(site);
    }

    // Adds copies of the models whose targets are too busy, as long as the overload that this removes exceeds the cost
    // of the moves.
    void relieveBusyTargets()
    {
        std::vector<bool> blocked(catalogue_.modelCount());
        while (!isExhausted(allowance_.models) && trials_ < maxTrials) {
            const auto worst = mostOverloadedModel(blocked);
            if (!worst)
                return;
            const auto site = findReliefSite(*worst);
            if (!site) {
                blocked[worst->value()] = true;
                continue;
            }
            applyStep(*site, *worst, PlacementReason::Demand, allowance_.models);
        }
    }

    // The model with the most work on targets that are too busy.
    std::optional<RouteIndex> mostOverloadedModel(const std::vector<bool>& blocked) const
    {
        std::optional<RouteIndex> worst;
        double worstExcess = scores_.moveCost() + PlacementScores::negligibleLoad;
        for (std::uint32_t m = 0; m < catalogue_.modelCount(); ++m) {
            const double excess = blocked[m] ? 0 : scores_.excessOf(RouteIndex(m));
            if (excess > worstExcess) {
                worst = RouteIndex(m);
                worstExcess = excess;
            }
        }
        return worst;
    }

    // Tries the most promising targets for another copy. Returns the one that removes the most overload, net of the
    // cost of the moves; nothing if none is worth its moves.
    std::optional<Site> findReliefSite(RouteIndex model)
    {
        std::vector<Site> sites = reliefSites(model);
        if (sites.empty())
            return std::nullopt;
        const double before = overloadWith(nullptr, model);
        std::optional<Site> best;
        for (Site& site : sites) {
            const double benefit = before - overloadWith(&site, model) - costOf(site);
            if (benefit > 0 && (!best || benefit > best->score)) {
                site.score = benefit;
                best = std::move(site);
            }
        }
        return best;
    }

    // The cost of the moves of a step and of the second copies that it removes.
    double costOf(const Site& site) const
    {
        double cost = scores_.moveCost();
        for (const std::size_t copy : site.unloads)
            cost += scores_.moveCost() + scores_.secondCopyLoss(state_.target(site.target).copies[copy]);
        return cost;
    }

    std::vector<Site> reliefSites(RouteIndex model) const
    {
        std::vector<Site> sites;
        for (std::uint32_t t = 0; t < state_.targetCount(); ++t) {
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

    // The total overload of all targets if a copy is added at `site`; the present overload if `site` is null.
    double overloadWith(const Site* site, RouteIndex model)
    {
        ++trials_;
        state_.saveFlows();
        if (site) {
            for (const std::size_t copy : site->unloads)
                state_.removeFlow(site->target, state_.target(site->target).copies[copy]);
            state_.addFlow(site->target, model);
        }
        state_.balance(trialBalanceRounds);
        double overload = 0;
        for (std::uint32_t t = 0; t < state_.targetCount(); ++t)
            overload += scores_.overloadOf(state_.target(TargetIndex(t)).utilization);
        state_.restoreFlows();
        return overload;
    }

    void loadAdapters(PlacementReason reason)
    {
        for (std::size_t i = catalogue_.modelCount(); i < catalogue_.artifactCount(); ++i) {
            if (isExhausted(allowance_.adapters))
                return;
            const RouteIndex adapter(static_cast<std::uint32_t>(i));
            const std::size_t copies = state_.holders(adapter).size();
            if (copies >= (reason == PlacementReason::Missing ? 1 : wantedAdapterCopies(adapter)))
                continue;
            if (const auto site = findAdapterSite(adapter, reason))
                applyStep(*site, adapter, reason, allowance_.adapters);
        }
    }

    std::size_t wantedAdapterCopies(RouteIndex adapter) const
    {
        const auto byDemand = static_cast<std::size_t>(std::ceil(state_.demand(adapter) / options_.loadPerAdapterCopy));
        const std::size_t models = state_.residentCopies(catalogue_.modelOf(adapter));
        return std::min(models, std::max<std::size_t>(2, byDemand));
    }

    bool isExhausted(std::uint32_t allowance) const { return allowance == 0 || steps_ >= maxSteps; }

    std::optional<Site> findSite(RouteIndex model, PlacementReason reason)
    {
        std::optional<Site> best;
        const double excess = scores_.excessOf(model);
        // A first copy is loaded even if no target has room for its adapters.
        for (const bool adapterRoom : {true, false}) {
            for (const bool unloading : {false, true}) {
                if (best || (unloading && (!allowance_.unloads || ++roomSearches_ > maxRoomSearches)))
                    break;
                for (std::uint32_t t = 0; t < state_.targetCount(); ++t)
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
        const PlacementTarget& target = state_.target(index);
        if (!target.live || state_.holds(index, model))
            return;
        const Bytes needed = adapterRoom ? scores_.neededBytes(target, model) : catalogue_.bytes(model);
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
        const double absorbable = scores_.absorbableLoad(index);
        double gain = std::min(excess, absorbable);
        if (reason == PlacementReason::SecondCopy)
            gain += scores_.secondCopyValue();
        site.score = gain - cost - moves * scores_.moveCost();
        if (reason == PlacementReason::SecondCopy && unloading && site.score <= 0)
            return;
        if (scores_.tight() && reason == PlacementReason::Missing && target.capacity.value() > 0)
            site.score += static_cast<double>(target.used.value()) / static_cast<double>(target.capacity.value());
        // Ranks targets of equal gain.
        site.score += scores_.preference(index, model) * (reason == PlacementReason::Demand ? site.score > 0 : 1);
        if (!best || site.score > best->score)
            best = std::move(site);
    }

    // Whether the bytes fit once the unloads in progress have finished.
    static bool fitsLater(const PlacementTarget& target, Bytes needed)
    {
        return (target.used + needed).value() <= (target.capacity + target.freeing).value();
    }

    // The least valuable copies whose unloading makes room for `needed`; nothing if they are not enough. The
    // adapters that are unloaded with a model are not counted.
    std::optional<std::vector<Candidate>> chooseUnloads(TargetIndex index, Bytes needed, RouteIndex wanted) const
    {
        const PlacementTarget& target = state_.target(index);
        std::vector<Candidate> candidates;
        for (std::size_t i = 0; i < target.copies.size(); ++i) {
            const PlacementCopy& copy = target.copies[i];
            const bool isAdapter = copy.declared && !catalogue_.isModel(copy.route);
            if (isAdapter && catalogue_.isModel(wanted))
                continue;
            // An adapter needs its model on the same target.
            if (copy.declared && copy.route == catalogue_.modelOf(wanted))
                continue;
            if (state_.isRemovable(index, copy))
                candidates.push_back({i, scores_.valueOf(index, copy), copy.bytes});
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
        for (const PlacementHolder& holder : state_.holders(catalogue_.modelOf(adapter))) {
            const PlacementTarget& target = state_.target(holder.target);
            if (!holder.resident || state_.holds(holder.target, adapter))
                continue;
            Site site{holder.target, scores_.preference(holder.target, adapter), {}};
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

    // Adds the orders of a step that can be sent now, and updates the state of the pass.
    void applyStep(const Site& site, RouteIndex route, PlacementReason reason, std::uint32_t& allowance)
    {
        ++steps_;
        const bool owned = state_.target(site.target).owned;
        for (const std::size_t copy : site.unloads)
            unloadWithAdapters(site.target, copy);
        const PlacementTarget& target = state_.target(site.target);
        const Bytes bytes = catalogue_.bytes(route);
        if (owned && (target.used + bytes).value() <= target.capacity.value())
            orders_.push_back({site.target, OrderKind::Load, catalogue_.artifactId(route), bytes, reason});
        if (owned)
            --allowance;
        state_.addCopy(site.target, route);
        if (catalogue_.isModel(route)) {
            state_.balance(stepBalanceRounds);
            scores_.update();
        }
    }

    void unloadWithAdapters(TargetIndex target, std::size_t position)
    {
        const PlacementCopy copy = state_.target(target).copies[position];
        if (copy.state == ArtifactState::Unloading)
            return;
        if (copy.declared && copy.current && catalogue_.isModel(copy.route)) {
            for (std::size_t i = 0; i < state_.target(target).copies.size(); ++i) {
                const PlacementCopy& other = state_.target(target).copies[i];
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
        const PlacementCopy& copy = state_.target(target).copies[position];
        if (state_.target(target).owned)
            orders_.push_back({target, OrderKind::Unload, copy.artifact, copy.bytes, reason});
        state_.startUnload(target, position);
    }

    const Catalogue& catalogue_;
    PlacementState state_;
    LoadAllowance allowance_;
    PlacementOptions options_;
    PlacementScores scores_;
    int steps_ = 0;
    int roomSearches_ = 0;
    int trials_ = 0;
    std::vector<PlannedOrder> orders_;
};

} // namespace

std::vector<PlannedOrder> planPlacement(const Catalogue& catalogue, const ResidencySnapshot& residency,
    std::span<const double> demand, LoadAllowance allowance, const PlacementOptions& options)
{
    PlacementState state(catalogue, residency, demand);
    return Planner(catalogue, std::move(state), allowance, options).run();
}

} // namespace lychee
