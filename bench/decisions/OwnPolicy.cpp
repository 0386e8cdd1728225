#include "bench/decisions/OwnPolicy.h"

#include <cmath>

namespace lychee::bench {

namespace {

constexpr double reportSeconds = 0.5;
constexpr double placementSeconds = 1;
// Loss of a target or of contact is noticed by the heartbeats.
constexpr double silenceSeconds = 3;
// One in so many batches of cache events is lost.
constexpr std::uint64_t eventGap = 20;
constexpr LoadAllowance unlimited{10000, 10000, true};

Duration fromSeconds(double seconds) { return Duration(static_cast<Duration::rep>(seconds * 1e9)); }

double toSeconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

} // namespace

void OwnPolicy::start(Simulation& simulation)
{
    simulation_ = &simulation;
    const Catalogue& catalogue = simulation.catalogue();
    const Configuration& configuration = catalogue.configuration();
    placement_.hysteresis = switches_.hysteresis;
    demand_.emplace(catalogue.artifactCount(), configuration.moveWeight, switches_.hysteresis);
    cutDemand_.emplace(catalogue.artifactCount(), configuration.moveWeight, switches_.hysteresis);
    lostAt_.assign(simulation.targetCount(), -1);
    AdmissionOptions admission;
    admission.enabled = switches_.admission;
    admission.fair = switches_.fairness;
    RetryBudgetOptions budget;
    budget.enabled = switches_.retryBudget;
    for (std::size_t i = 0; i < simulation.deployment().instances.size(); ++i)
        instances_.push_back({nullptr, LoadTable(catalogue), PrefixAffinity(catalogue.targetCount()),
            Admission(configuration, admission), RetryBudget(budget)});
    for (Instance& instance : instances_)
        instance.loads.setSenderCount(instances_.size());
    placeInitially();
    rebuildIndexes();
}

void OwnPolicy::placeInitially()
{
    const Catalogue& catalogue = simulation_->catalogue();
    double shares = 0;
    double work = 0;
    for (const Model& model : catalogue.configuration().models)
        shares += model.share;
    for (const Traffic& traffic : simulation_->deployment().traffic)
        work += traffic.work;
    std::vector<double> demand(catalogue.artifactCount());
    const auto& targets = catalogue.configuration().targets;
    const auto engines = std::count_if(
        targets.begin(), targets.end(), [](const Target& target) { return target.kind == TargetKind::Engine; });
    for (std::uint32_t m = 0; m < catalogue.modelCount(); ++m)
        demand[m] = catalogue.configuration().models[m].share / shares * work * static_cast<double>(engines);
    for (int pass = 0; pass < 8; ++pass) {
        for (const PlannedOrder& order : planPlacement(catalogue, snapshot(false), demand, unlimited, placement_)) {
            if (order.kind == OrderKind::Load)
                simulation_->preload(order.target.value(), catalogue.artifact(order.artifact)->route.value());
        }
    }
}

ResidencySnapshot OwnPolicy::snapshot(bool cutSide) const
{
    const Catalogue& catalogue = simulation_->catalogue();
    ResidencySnapshot snapshot;
    for (std::uint32_t t = 0; t < simulation_->targetCount(); ++t) {
        const EngineModel& target = simulation_->target(t);
        const bool cut = simulation_->cutOff(catalogue.dataCentreOf(TargetIndex(t)).value())
            && simulation_->now() >= eventAt + silenceSeconds;
        const bool noticed = lostAt_[t] >= 0 && simulation_->now() >= lostAt_[t] + silenceSeconds;
        const bool partitioned = simulation_->scenario().cutDataCentre && cut != cutSide
            && simulation_->now() >= eventAt + silenceSeconds && simulation_->now() < simulation_->scenario().cutUntil;
        TargetResidency entry{
            catalogue.configuration().targets[t].id, !noticed && !partitioned, !partitioned, Bytes(0), {}};
        for (const auto& [route, copy] : target.copies)
            entry.held.push_back(
                {catalogue.artifactId(RouteIndex(route)), catalogue.bytes(RouteIndex(route)), copy.state});
        snapshot.targets.push_back(std::move(entry));
    }
    return snapshot;
}

void OwnPolicy::rebuildIndexes()
{
    residencyDirty_ = false;
    RouterOptions options;
    options.affinity = switches_.affinity;
    options.lagCorrection = switches_.lagCorrection;
    options.subset = switches_.subset;
    const auto& deployment = simulation_->deployment();
    const ResidencySnapshot main = snapshot(false);
    const ResidencySnapshot cut = snapshot(true);
    for (std::uint32_t i = 0; i < instances_.size(); ++i) {
        const std::uint32_t dataCentre = deployment.instances[i];
        instances_[i].index = RoutingIndex::create(deployment.catalogue, simulation_->cutOff(dataCentre) ? cut : main,
            InstanceId(fmt::format("instance{}", i)), deployment.catalogue->configuration().dataCentres[dataCentre].id,
            options);
    }
}

void OwnPolicy::dispatch(std::uint32_t id, bool retry)
{
    const Job& job = simulation_->job(id);
    JobState& state = simulation_->state(id);
    Instance& instance = instances_[job.instance];
    const RouteIndex route(job.route);
    const Duration service = instance.loads.expectedServiceTime(RouteIndex(job.model));
    if (!retry) {
        instance.budget.request(teamOf(job), simulation_->time());
        if (!job.service) {
            DemandTracker& demand = onCutSide(job) ? *cutDemand_ : *demand_;
            demand.record(RouteIndex(job.model), toSeconds(service) / engineSlots);
            if (job.route != job.model)
                demand.record(route, toSeconds(service) / engineSlots);
        }
    } else if (!instance.budget.takeRetry(teamOf(job), simulation_->time())) {
        simulation_->refuse(id);
        return;
    }
    const std::array<PromptPrefix, 1> prefixes{
        PromptPrefix{job.prefix, static_cast<std::uint32_t>(cachedPart * job.promptTokens)}};
    const RouteRequest request{route, state.tried, prefixes, job.promptTokens, job.priority};
    const auto decision
        = lychee::route(*instance.index, instance.loads, instance.affinity, request, simulation_->time(), random_());
    AdmissionRequest admission{teamOf(job), fromSeconds(job.deadline - simulation_->now()), std::nullopt, service};
    if (decision)
        admission.predictedWait = decision->predictedWait;
    if (!instance.admission.decide(admission, simulation_->time()).admitted) {
        simulation_->refuse(id);
        return;
    }
    const std::uint32_t target = decision->target.value();
    if (decision->adapterMissing) {
        EngineModel& engine = simulation_->target(target);
        const std::uint64_t bytes = simulation_->catalogue().bytes(route).value();
        if (!engine.copies.contains(job.route) && engine.used + bytes <= engine.capacity && engine.live)
            simulation_->load(target, job.route);
    }
    instance.loads.of(decision->target).sent(simulation_->time(), job.priority);
    instance.affinity.sent(decision->target, job.prefix, simulation_->time());
    simulation_->send(id, target, true);
}

void OwnPolicy::attemptFailed(std::uint32_t id, bool targetDown)
{
    const Job& job = simulation_->job(id);
    const std::uint32_t target = simulation_->state(id).target;
    TargetLoad& load = instances_[job.instance].loads.of(TargetIndex(target));
    if (!targetDown)
        return;
    load.failed(simulation_->time());
    if (!simulation_->target(target).live && lostAt_[target] < 0)
        lostAt_[target] = simulation_->now();
}

void OwnPolicy::ended(std::uint32_t id, std::optional<double> service)
{
    const Job& job = simulation_->job(id);
    const JobState& state = simulation_->state(id);
    Instance& instance = instances_[job.instance];
    const auto duration = service ? std::optional(fromSeconds(*service)) : std::nullopt;
    instance.loads.of(TargetIndex(state.target)).finished(simulation_->time(), duration, job.priority);
    if (duration)
        instance.loads.recordServiceTime(RouteIndex(job.model), *duration);
}

void OwnPolicy::tick()
{
    const double now = simulation_->now();
    if (now >= nextReport_) {
        nextReport_ = now + reportSeconds;
        makeReports();
    }
    deliverReports();
    if (now >= nextPlacement_) {
        nextPlacement_ = now + placementSeconds;
        place();
    }
    const bool cutChanges = simulation_->scenario().cutDataCentre && now >= eventAt;
    if (residencyDirty_ || cutChanges)
        rebuildIndexes();
}

void OwnPolicy::makeReports()
{
    for (std::uint32_t t = 0; t < simulation_->targetCount(); ++t) {
        EngineModel& target = simulation_->target(t);
        if (!target.live)
            continue;
        const LoadReport report{
            simulation_->time(), target.running, static_cast<std::uint32_t>(target.queued()), target.slots, 0};
        std::vector<PrefixEvent> events = std::exchange(target.newEvents, {});
        if (random_() % eventGap == 0)
            events.clear();
        delayed_.push_back({simulation_->now() + simulation_->scenario().reportLag, t, report, std::move(events)});
    }
}

void OwnPolicy::deliverReports()
{
    while (!delayed_.empty() && delayed_.front().at <= simulation_->now()) {
        const Delayed& delayed = delayed_.front();
        for (std::uint32_t i = 0; i < instances_.size(); ++i) {
            if (!simulation_->reachable(i, delayed.target) || !simulation_->target(delayed.target).live)
                continue;
            instances_[i].loads.of(TargetIndex(delayed.target)).report(delayed.report);
            for (const PrefixEvent& event : delayed.events)
                instances_[i].affinity.observe(
                    TargetIndex(delayed.target), {event.sequence, event.prefix, event.stored}, simulation_->time());
        }
        delayed_.pop_front();
    }
}

bool OwnPolicy::onCutSide(const Job& job) const
{
    return simulation_->cutOff(simulation_->deployment().instances[job.instance]);
}

void OwnPolicy::place()
{
    const Configuration& configuration = simulation_->catalogue().configuration();
    const StoreLimits& store = configuration.store;
    const double atOnce = store.modelLoadsAtOnce;
    startTokens_ = std::min(atOnce, startTokens_ + store.modelLoadsPerSecond * placementSeconds);
    LoadAllowance allowance;
    allowance.models
        = static_cast<std::uint32_t>(std::max(0.0, std::min(startTokens_, atOnce - simulation_->modelLoads())));
    allowance.adapters = store.adapterLoadsAtOnce - std::min(store.adapterLoadsAtOnce, simulation_->adapterLoads());
    allowance.unloads = !simulation_->platformDown();
    const auto& cut = simulation_->scenario().cutDataCentre;
    if (!cut || !simulation_->cutOff(*cut) || simulation_->now() < eventAt + silenceSeconds) {
        placeSide(false, *demand_, allowance);
        return;
    }
    // Each side has the load slots of its data centres. The cut side has no table, so it moves only within grants.
    const auto dataCentres = static_cast<std::uint32_t>(configuration.dataCentres.size());
    const LoadAllowance part{allowance.models / dataCentres, allowance.adapters / dataCentres, false};
    placeSide(true, *cutDemand_, part);
    allowance.models -= part.models;
    allowance.adapters -= part.adapters;
    placeSide(false, *demand_, allowance);
}

void OwnPolicy::placeSide(bool cutSide, DemandTracker& demand, LoadAllowance allowance)
{
    demand.advance(simulation_->time());
    const ResidencySnapshot view = snapshot(cutSide);
    for (const PlannedOrder& order :
        planPlacement(simulation_->catalogue(), view, demand.loads(), allowance, placement_))
        apply(order);
}

void OwnPolicy::apply(const PlannedOrder& order)
{
    const std::uint32_t route = simulation_->catalogue().artifact(order.artifact)->route.value();
    const std::uint32_t target = order.target.value();
    if (!simulation_->target(target).live)
        return;
    if (order.kind == OrderKind::Unload) {
        simulation_->unload(target, route);
        return;
    }
    if (simulation_->catalogue().isModel(RouteIndex(route)))
        startTokens_ -= 1;
    simulation_->load(target, route);
}

} // namespace lychee::bench
