#include "daemon/Dispatcher.h"

#include "transport/Duty.h"

namespace lychee {

namespace {

// Consecutive unanswered polls after which a target counts as down and its resident artifacts are ignored.
constexpr unsigned maxMissedPolls = 3;

bool hasSameTargets(const Catalogue& left, const Catalogue& right)
{
    const std::vector<Target>& targets = left.configuration().targets;
    const std::vector<Target>& others = right.configuration().targets;
    return std::equal(targets.begin(), targets.end(), others.begin(), others.end(),
        [](const Target& target, const Target& other) { return target.id == other.id; });
}

// Compares the weight of moves too, because the demand estimate depends on it.
bool hasSameArtifacts(const Catalogue& left, const Catalogue& right)
{
    if (left.artifactCount() != right.artifactCount() || left.modelCount() != right.modelCount()
        || left.configuration().moveWeight != right.configuration().moveWeight)
        return false;
    for (std::uint32_t i = 0; i < left.artifactCount(); ++i) {
        if (left.artifactId(RouteIndex(i)) != right.artifactId(RouteIndex(i)))
            return false;
    }
    return true;
}

double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

} // namespace

Dispatcher::Dispatcher(InstanceId instance, DataCentreId dataCentre)
    : instance_(std::move(instance))
    , dataCentre_(std::move(dataCentre))
{
    adopt(std::make_shared<const Configuration>());
}

void Dispatcher::adopt(const std::shared_ptr<const Configuration>& configuration)
{
    std::shared_ptr<const Catalogue> next = Catalogue::create(configuration);
    if (!catalogue_) {
        loads_ = std::make_unique<LoadTable>(*next);
        loads_->setSenderCount(senderCount_);
        admission_ = std::make_unique<Admission>(*configuration);
    } else {
        loads_->adopt(*catalogue_, *next);
        admission_->adopt(*configuration);
    }
    // State that is indexed by position is discarded only when the positions of targets or artifacts change.
    if (!affinity_ || !hasSameTargets(*catalogue_, *next))
        affinity_ = std::make_unique<PrefixAffinity>(next->targetCount());
    if (!demand_ || !hasSameArtifacts(*catalogue_, *next))
        demand_ = std::make_unique<DemandTracker>(next->artifactCount(), configuration->moveWeight);
    catalogue_ = std::move(next);
    std::erase_if(observed_, [&](const auto& entry) { return !catalogue_->target(entry.first).has_value(); });
    rebuildIndex();
}

void Dispatcher::observe(const TargetObservation& observation)
{
    const std::optional<TargetIndex> index = catalogue_->target(observation.target);
    if (!index.has_value())
        return;
    Observed& observed = observed_[observation.target];
    if (!observation.report.has_value()) {
        if (++observed.missedPolls == maxMissedPolls) {
            observed.live = false;
            rebuildIndex();
        }
        return;
    }
    const EngineReport& report = *observation.report;
    observed.missedPolls = 0;
    LoadReport load;
    load.measuredAt = observation.requestedAt - report.age;
    load.running = report.running;
    load.queued = report.queued;
    load.slots = std::max(report.slots, 1U);
    load.tokensPerSecond = report.tokensPerSecond;
    loads_->of(*index).report(load);
    if (observed.incarnation != report.incarnation)
        affinity_->forget(*index);
    const bool changed = !observed.live || observed.resident != report.resident;
    observed.live = true;
    observed.incarnation = report.incarnation;
    if (!changed)
        return;
    observed.resident = report.resident;
    rebuildIndex();
}

void Dispatcher::setSenderCount(std::size_t count)
{
    senderCount_ = count;
    loads_->setSenderCount(count);
}

void Dispatcher::rebuildIndex()
{
    ResidencySnapshot residency;
    for (const auto& [id, observed] : observed_) {
        TargetResidency target;
        target.target = id;
        target.live = observed.live;
        for (const ArtifactSize& resident : observed.resident)
            target.held.push_back({resident.artifact, resident.bytes, ArtifactState::Resident});
        residency.targets.push_back(std::move(target));
    }
    index_ = RoutingIndex::create(catalogue_, residency, instance_, dataCentre_);
}

std::optional<TargetChoice> Dispatcher::choose(RouteIndex route, const std::vector<TargetId>& excluded,
    const std::vector<PromptPrefix>& prefixes, std::uint32_t promptTokens, int priority)
{
    std::vector<TargetIndex> excludedIndices;
    for (const TargetId& id : excluded) {
        if (const std::optional<TargetIndex> index = catalogue_->target(id))
            excludedIndices.push_back(*index);
    }
    RouteRequest request;
    request.route = route;
    request.excluded = excludedIndices;
    request.prefixes = prefixes;
    request.promptTokens = promptTokens;
    request.priority = priority;
    const std::optional<RouteDecision> decision
        = lychee::route(*index_, *loads_, *affinity_, request, currentTime(), random_());
    if (!decision.has_value())
        return std::nullopt;
    const Target& target = catalogue_->configuration().targets[decision->target.value()];
    TargetChoice choice;
    choice.target = target.id;
    choice.endpoint = target.endpoint;
    choice.predictedWait = decision->predictedWait;
    choice.expectedServiceTime = loads_->expectedServiceTime(route);
    if (target.kind == TargetKind::Engine) {
        choice.mustLoad = decision->adapterMissing;
        choice.artifact = choice.mustLoad ? catalogue_->artifactId(route) : loadedArtifact(target.id, route);
    }
    return choice;
}

std::vector<TargetChoice> Dispatcher::chooseAll(RouteIndex route, const std::vector<TargetId>& avoided,
    const std::vector<PromptPrefix>& prefixes, std::uint32_t promptTokens, int priority, std::size_t limit)
{
    std::vector<TargetChoice> choices;
    std::vector<TargetId> excluded = avoided;
    while (choices.size() < limit) {
        std::optional<TargetChoice> choice = choose(route, excluded, prefixes, promptTokens, priority);
        if (choice.has_value()) {
            excluded.push_back(choice->target);
            choices.push_back(*std::move(choice));
            continue;
        }
        // The targets to avoid come last, once each.
        std::vector<TargetId> chosen;
        chosen.reserve(choices.size());
        for (const TargetChoice& earlier : choices)
            chosen.push_back(earlier.target);
        if (excluded == chosen)
            break;
        excluded = std::move(chosen);
    }
    return choices;
}

EngineIncarnation Dispatcher::incarnation(const TargetId& target) const
{
    const auto observed = observed_.find(target);
    return observed == observed_.end() ? EngineIncarnation() : observed->second.incarnation;
}

void Dispatcher::targetCrashed(const TargetId& target, const EngineIncarnation& incarnation)
{
    const auto observed = observed_.find(target);
    if (observed == observed_.end() || observed->second.incarnation != incarnation || !observed->second.live)
        return;
    observed->second.live = false;
    rebuildIndex();
}

ArtifactId Dispatcher::loadedArtifact(const TargetId& target, RouteIndex route) const
{
    const auto observed = observed_.find(target);
    if (observed != observed_.end()) {
        for (const ArtifactSize& resident : observed->second.resident) {
            const std::optional<ResolvedArtifact> meaning = catalogue_->artifact(resident.artifact);
            if (meaning.has_value() && meaning->route == route && !meaning->current)
                return resident.artifact;
        }
        for (const ArtifactSize& resident : observed->second.resident) {
            if (resident.artifact == catalogue_->artifactId(route))
                return resident.artifact;
        }
    }
    return catalogue_->artifactId(route);
}

bool Dispatcher::isResident(RouteIndex route) const
{
    const Candidates candidates = index_->candidates(route);
    return !candidates.adapterMissing && !(candidates.local.empty() && candidates.remote.empty());
}

void Dispatcher::recordArrival(const TeamId& team, RouteIndex route)
{
    retryBudget_.request(team, currentTime());
    if (route.value() >= catalogue_->artifactCount())
        return;
    // A request occupies one slot, so its load is its service time divided by the number of slots of a target.
    const Candidates candidates = index_->candidates(route);
    std::uint32_t slots = 1;
    if (!candidates.local.empty())
        slots = loads_->of(candidates.local.front()).slots();
    else if (!candidates.remote.empty())
        slots = loads_->of(candidates.remote.front()).slots();
    demand_->record(route, seconds(loads_->expectedServiceTime(route)) / std::max(slots, 1U));
}

void Dispatcher::attemptStarted(const TargetId& target, const std::vector<PromptPrefix>& prefixes, int priority)
{
    const std::optional<TargetIndex> index = catalogue_->target(target);
    if (!index.has_value())
        return;
    loads_->of(*index).sent(currentTime(), priority);
    for (const PromptPrefix& prefix : prefixes)
        affinity_->sent(*index, prefix.hash, currentTime());
}

void Dispatcher::attemptEnded(const TargetId& target, RouteIndex route, std::optional<Duration> service, int priority)
{
    const std::optional<TargetIndex> index = catalogue_->target(target);
    if (!index.has_value())
        return;
    loads_->of(*index).finished(currentTime(), service, priority);
    if (service.has_value() && route.value() < catalogue_->routeCount())
        loads_->recordServiceTime(route, *service);
}

void Dispatcher::attemptFailed(const TargetId& target)
{
    if (const std::optional<TargetIndex> index = catalogue_->target(target))
        loads_->of(*index).failed(currentTime());
}

std::shared_ptr<const DemandSnapshot> Dispatcher::demand()
{
    demand_->advance(currentTime());
    auto snapshot = std::make_shared<DemandSnapshot>();
    snapshot->version = catalogue_->configuration().version;
    snapshot->loads = demand_->loads();
    return snapshot;
}

} // namespace lychee
