#include "state/Router.h"

namespace lychee {

namespace {

// Evaluates candidate targets of one request and keeps the best.
class CandidateSelection {
public:
    CandidateSelection(const RoutingIndex& index, const LoadTable& loads, const PrefixAffinity& affinity,
        const RouteRequest& request, TimePoint now)
        : options_(index.options())
        , loads_(loads)
        , request_(request)
        , now_(now)
        , senderFactor_(index.options().lagCorrection ? loads.senderFactor() : 0)
    {
        if (options_.affinity && !request.prefixes.empty())
            findHolders(affinity);
    }

    // Evaluates two usable targets of `list`, chosen at random, and those that probably hold the prefix.
    void consider(std::span<const TargetIndex> list, std::uint64_t random, bool local)
    {
        const std::size_t first = pick(list, static_cast<std::uint32_t>(random), list.size());
        if (first == list.size())
            return;
        evaluate(list[first], local);
        const std::size_t second = pick(list, static_cast<std::uint32_t>(random >> 32U), first);
        if (second != list.size())
            evaluate(list[second], local);
        for (std::size_t i = 0; i < holderCount_; ++i) {
            if (std::find(list.begin(), list.end(), holders_[i].target) != list.end() && usable(holders_[i].target))
                evaluate(holders_[i].target, local);
        }
    }

    const std::optional<RouteDecision>& best() const { return best_; }

private:
    void findHolders(const PrefixAffinity& affinity)
    {
        for (const PromptPrefix& prefix : request_.prefixes) {
            holderCount_ = affinity.holders(prefix.hash, now_, holders_);
            cachedTokens_ = prefix.tokens;
            if (holderCount_ > 0)
                return;
        }
    }

    bool usable(TargetIndex target) const
    {
        const auto& excluded = request_.excluded;
        return loads_.of(target).usable(now_) && std::find(excluded.begin(), excluded.end(), target) == excluded.end();
    }

    // Position of a usable target other than `skip`, searched from a random start; the list's size if there is none.
    std::size_t pick(std::span<const TargetIndex> list, std::uint32_t random, std::size_t skip) const
    {
        if (list.empty())
            return list.size();
        const std::size_t start = (static_cast<std::uint64_t>(random) * list.size()) >> 32U;
        for (std::size_t i = 0; i < list.size(); ++i) {
            const std::size_t position = (start + i) % list.size();
            if (position != skip && usable(list[position]))
                return position;
        }
        return list.size();
    }

    Duration prefill(TargetIndex target) const
    {
        double tokens = request_.promptTokens;
        for (std::size_t i = 0; i < holderCount_; ++i) {
            if (holders_[i].target == target)
                tokens -= holders_[i].confidence * std::min(cachedTokens_, request_.promptTokens);
        }
        return Duration(static_cast<Duration::rep>(tokens * static_cast<double>(options_.prefillPerToken.count())));
    }

    void evaluate(TargetIndex target, bool local)
    {
        const Duration wait = loads_.of(target).predictedWait(senderFactor_, request_.priority);
        const Duration firstToken = wait + prefill(target) + (local ? Duration(0) : options_.crossDataCentreCost);
        const double occupancy = loads_.of(target).occupancy(senderFactor_) / loads_.of(target).slots();
        // All targets with free slots have a predicted wait of zero; the one with the lower occupancy decodes faster.
        if (best_ && std::tie(best_->predictedFirstToken, bestOccupancy_) <= std::tie(firstToken, occupancy))
            return;
        best_ = RouteDecision{target, wait, firstToken, local, false, false};
        bestOccupancy_ = occupancy;
    }

    const RouterOptions& options_;
    const LoadTable& loads_;
    const RouteRequest& request_;
    TimePoint now_;
    double senderFactor_;
    std::array<PrefixAffinity::Holder, PrefixAffinity::holdersPerPrefix> holders_;
    std::size_t holderCount_ = 0;
    std::uint32_t cachedTokens_ = 0;
    std::optional<RouteDecision> best_;
    double bestOccupancy_ = 0;
};

} // namespace

// Collects which targets hold which artifact, then writes the candidate list of each route.
struct RoutingIndex::Builder {
    const Catalogue& catalogue;
    std::uint64_t instanceHash;
    std::optional<DataCentreIndex> local;
    RoutingIndex& index;
    // By route: targets that hold the declared artifact, and targets that hold an earlier version.
    std::vector<std::vector<TargetIndex>> holders;
    std::vector<std::vector<TargetIndex>> earlierHolders;
    std::vector<std::pair<std::uint64_t, std::uint32_t>> ranked;

    void collect(const ResidencySnapshot& residency)
    {
        holders.resize(catalogue.routeCount());
        earlierHolders.resize(catalogue.artifactCount());
        std::vector<bool> down(catalogue.targetCount());
        for (const TargetResidency& entry : residency.targets) {
            const auto target = catalogue.target(entry.target);
            if (!target)
                continue;
            down[target->value()] = !entry.live;
            if (entry.live)
                collectHeld(entry, *target);
        }
        for (std::uint32_t i = 0; i < catalogue.targetCount(); ++i) {
            const Target& target = catalogue.configuration().targets[i];
            const auto service = catalogue.service(target.service);
            if (target.kind == TargetKind::Service && service && !down[i])
                holders[service->value()].emplace_back(i);
        }
    }

    void collectHeld(const TargetResidency& entry, TargetIndex target)
    {
        for (const HeldArtifact& held : entry.held) {
            if (held.state != ArtifactState::Resident)
                continue;
            const auto resolved = catalogue.artifact(held.artifact);
            if (!resolved)
                continue;
            auto& lists = resolved->current ? holders : earlierHolders;
            lists[resolved->route.value()].push_back(target);
        }
    }

    // An adapter can be used only on targets where its model is resident too.
    void dropAdaptersWithoutModel()
    {
        std::vector<bool> hasModel(catalogue.targetCount());
        for (std::uint32_t m = 0; m < catalogue.modelCount(); ++m) {
            const RouteIndex model(m);
            for (const TargetIndex target : holders[m])
                hasModel[target.value()] = true;
            for (const RouteIndex adapter : catalogue.adaptersOf(model))
                std::erase_if(holders[adapter.value()], [&](TargetIndex target) { return !hasModel[target.value()]; });
            for (const TargetIndex target : holders[m])
                hasModel[target.value()] = false;
        }
    }

    void append(RouteIndex route, const std::vector<TargetIndex>& targets, bool wantLocal)
    {
        ranked.clear();
        const std::uint64_t seed = mixHashes(instanceHash, catalogue.routeHash(route));
        for (const TargetIndex target : targets) {
            if ((local && catalogue.dataCentreOf(target) == *local) == wantLocal)
                ranked.emplace_back(mixHashes(seed, catalogue.targetHash(target)), target.value());
        }
        std::size_t size = ranked.size();
        if (index.options_.subset)
            size = std::min(size, index.options_.subsetSize);
        std::partial_sort(ranked.begin(), ranked.begin() + static_cast<std::ptrdiff_t>(size), ranked.end());
        for (std::size_t i = 0; i < size; ++i)
            index.lists_.emplace_back(ranked[i].second);
    }

    void write(RouteIndex route)
    {
        Entry entry;
        entry.begin = static_cast<std::uint32_t>(index.lists_.size());
        const std::vector<TargetIndex>* targets = &holders[route.value()];
        const bool isArtifact = route.value() < catalogue.artifactCount();
        if (targets->empty() && catalogue.isAdapter(route)) {
            targets = &holders[catalogue.modelOf(route).value()];
            entry.adapterMissing = !targets->empty();
        }
        if (targets->empty() && isArtifact) {
            targets = &earlierHolders[route.value()];
            entry.earlierVersion = !targets->empty();
        }
        append(route, *targets, true);
        entry.localEnd = static_cast<std::uint32_t>(index.lists_.size());
        append(route, *targets, false);
        entry.end = static_cast<std::uint32_t>(index.lists_.size());
        index.entries_.push_back(entry);
    }
};

std::shared_ptr<const RoutingIndex> RoutingIndex::create(std::shared_ptr<const Catalogue> catalogue,
    const ResidencySnapshot& residency, const InstanceId& instance, const DataCentreId& dataCentre,
    const RouterOptions& options)
{
    std::shared_ptr<RoutingIndex> index(new RoutingIndex());
    index->catalogue_ = std::move(catalogue);
    index->options_ = options;
    Builder builder{*index->catalogue_, stableHash(instance.value()), std::nullopt, *index, {}, {}, {}};
    const auto& centres = index->catalogue_->configuration().dataCentres;
    for (std::uint32_t i = 0; i < centres.size(); ++i) {
        if (centres[i].id == dataCentre)
            builder.local = DataCentreIndex(i);
    }
    builder.collect(residency);
    builder.dropAdaptersWithoutModel();
    for (std::uint32_t i = 0; i < index->catalogue_->routeCount(); ++i)
        builder.write(RouteIndex(i));
    return index;
}

Candidates RoutingIndex::candidates(RouteIndex route) const
{
    const Entry& entry = entries_[route.value()];
    const std::span<const TargetIndex> all(lists_);
    return {all.subspan(entry.begin, entry.localEnd - entry.begin),
        all.subspan(entry.localEnd, entry.end - entry.localEnd), entry.adapterMissing, entry.earlierVersion};
}

std::optional<RouteDecision> route(const RoutingIndex& index, const LoadTable& loads, const PrefixAffinity& affinity,
    const RouteRequest& request, TimePoint now, std::uint64_t random)
{
    const Candidates candidates = index.candidates(request.route);
    CandidateSelection selection(index, loads, affinity, request, now);
    selection.consider(candidates.local, random, true);
    // Other data centres are used only if this one has no candidate that could start the request at once.
    if (!selection.best() || selection.best()->predictedWait > Duration(0))
        selection.consider(candidates.remote, mixHashes(random, 1), false);
    std::optional<RouteDecision> decision = selection.best();
    if (!decision)
        return decision;
    decision->adapterMissing = candidates.adapterMissing;
    decision->earlierVersion = candidates.earlierVersion;
    if (candidates.adapterMissing)
        decision->predictedFirstToken += index.options().adapterLoad;
    return decision;
}

} // namespace lychee
