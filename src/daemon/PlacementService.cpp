#include "daemon/PlacementService.h"

#include "coordination/CoordinationError.h"
#include "protocol/Digest.h"

namespace lychee {

namespace {

constexpr Duration tableTimeout = std::chrono::seconds(1);

// Interval at which ensureLoaded() checks whether an artifact is resident.
constexpr Duration residentCheckInterval = std::chrono::milliseconds(10);

// Time without an answer after which a target counts as down.
constexpr Duration targetSilence = std::chrono::seconds(3);

// The grant, which the owner of a target manages without recording each order, is this fraction of the target's memory.
constexpr std::uint64_t grantDivisor = 16;

ArtifactState stateUnderOrders(const TargetRow& row, const ArtifactId& artifact)
{
    for (const EngineOrder& order : row.orders) {
        if (order.artifact == artifact && order.operation == OrderOperation::Unload)
            return ArtifactState::Unloading;
    }
    return ArtifactState::Resident;
}

} // namespace

PlacementService::PlacementService(Duty& duty, PlacementServiceOptions options, PlatformGateway& platform,
    TargetControl& control, MetricsSink& metrics, OwnershipCallbacks callbacks)
    : duty_(duty)
    , options_(std::move(options))
    , platform_(platform)
    , control_(control)
    , metrics_(metrics)
    , callbacks_(std::move(callbacks))
    , slots_(duty, {options_.instance, options_.dataCentre, options_.interval}, platform)
    , catalogue_(Catalogue::create(std::make_shared<const Configuration>()))
{
    callbacks_.orderApplied = [this](const TargetId& target, const EngineOrder& order) {
        if (order.operation == OrderOperation::Load)
            slots_.finish({target, order.artifact});
        if (order.operation == OrderOperation::Load || order.operation == OrderOperation::Unload)
            metrics_.count(Counter::Moves, TeamId(), std::string(operationName(order.operation)));
    };
}

void PlacementService::start()
{
    slots_.start();
    duty_.spawn([this] {
        while (!duty_.isStopping()) {
            runPass();
            sleepFor(options_.interval);
        }
    });
}

void PlacementService::adopt(const std::shared_ptr<const Configuration>& configuration)
{
    catalogue_ = Catalogue::create(configuration);
    slots_.adopt(*configuration);
    for (const Target& target : configuration->targets) {
        if (target.kind != TargetKind::Engine || drivers_.contains(target.id))
            continue;
        OwnershipOptions options;
        options.self = options_.instance;
        options.memory = target.memory;
        options.grant = Bytes(target.memory.value() / grantDivisor);
        options.honoursFencing = target.honoursFencing;
        options.generateUniqueId = [] { return randomHex128(); };
        drivers_[target.id] = OwnershipDriver::create(target, std::move(options), platform_, control_, callbacks_);
    }
}

void PlacementService::setMembers(const std::vector<MemberRecord>& members)
{
    members_ = members;
    slots_.setMembers(members);
}

void PlacementService::leave()
{
    leaving_ = true;
    slots_.leave();
}

void PlacementService::observe(const TargetObservation& observation)
{
    Observed& observed = observed_[observation.target];
    const bool answered = observation.report.has_value();
    if (answered) {
        observed.last = observation;
        observed.lastAnswer = observation.receivedAt;
        observed.live = true;
    } else if (observation.receivedAt - observed.lastAnswer > targetSilence) {
        observed.live = false;
    }
    const auto driver = drivers_.find(observation.target);
    if (answered && driver != drivers_.end())
        driver->second->handle(ReportReceived{*observation.report, observation.requestedAt});
}

void PlacementService::setDemand(const InstanceId& instance, std::vector<ArtifactDemand> demand)
{
    demand_[instance] = std::move(demand);
}

void PlacementService::acceptGrant(const TargetId& target, const GrantRelease& release)
{
    const auto driver = drivers_.find(target);
    if (driver != drivers_.end())
        driver->second->handle(GrantReleased{release});
}

InstanceId PlacementService::ownerOf(const TargetId& target) const
{
    const auto driver = drivers_.find(target);
    if (driver != drivers_.end() && driver->second->machine().isOwner())
        return options_.instance;
    const auto row = rows_.find(target);
    return row == rows_.end() ? InstanceId() : row->second.owner;
}

std::size_t PlacementService::ownedTargets() const
{
    return static_cast<std::size_t>(std::count_if(
        drivers_.begin(), drivers_.end(), [](const auto& entry) { return entry.second->machine().isOwner(); }));
}

void PlacementService::runPass()
{
    readTable();
    chooseOwners();
    if (!leaving_)
        placeArtifacts();
    for (const auto& [id, driver] : drivers_)
        driver->handle(TimePassed{});
}

void PlacementService::readTable()
{
    const absl::StatusOr<std::vector<NamedRow>> rows
        = platform_.list(std::string(targetsTable), "", currentTime() + tableTimeout);
    if (!rows.ok())
        return;
    for (const NamedRow& named : *rows) {
        const TargetId id(named.key.key);
        const absl::StatusOr<std::optional<VersionedRow>> row = parseTargetRow(named.row);
        if (!row.ok() || !row->has_value())
            continue;
        rows_[id] = (*row)->row;
        const auto driver = drivers_.find(id);
        if (driver != drivers_.end())
            driver->second->handle(RowRead{*row});
    }
}

bool PlacementService::isMember(const InstanceId& id) const
{
    return std::any_of(members_.begin(), members_.end(),
        [&](const MemberRecord& member) { return member.id == id && member.state != MemberState::Dead; });
}

void PlacementService::chooseOwners()
{
    for (const auto& [id, driver] : drivers_) {
        if (!catalogue_->target(id).has_value())
            continue;
        std::vector<MemberRecord> candidates = members_;
        const DataCentreId& dataCentre = driver->target().dataCentre;
        std::erase_if(candidates, [&](const MemberRecord& member) { return member.dataCentre != dataCentre; });
        std::vector<InstanceId> ranked = rankMembers(candidates, id.value());
        // The targets of a data centre without instances are owned by instances of the others.
        if (ranked.empty())
            ranked = rankMembers(members_, id.value());
        DesiredOwnerChanged desired;
        if (!ranked.empty())
            desired.desired = ranked.front();
        const InstanceId recorded = driver->machine().recordedOwner();
        if (!recorded.empty() && recorded != options_.instance && !isMember(recorded))
            desired.replaceable = recorded;
        driver->handle(desired);
    }
}

void PlacementService::placeArtifacts()
{
    LoadAllowance allowance = slots_.allowance();
    allowance.unloads = platform_.isUp();
    const std::vector<PlannedOrder> orders = planPlacement(*catalogue_, residency(), totalDemand(), allowance);
    std::map<TargetId, WantedArtifactsChanged> wanted;
    for (const PlannedOrder& order : orders) {
        const TargetId& id = catalogue_->configuration().targets[order.target.value()].id;
        WantedArtifactsChanged& change = wanted[id];
        if (order.kind == OrderKind::Load)
            addLoad(id, {order.artifact, order.bytes}, change);
        else
            change.unloads.push_back(order.artifact);
    }
    for (auto& [id, loads] : ensuredLoads_) {
        std::erase_if(loads, [](const EnsuredLoad& load) { return currentTime() >= load.until; });
        for (const EnsuredLoad& load : loads)
            addLoad(id, load.item, wanted[id]);
    }
    for (const auto& [id, driver] : drivers_) {
        if (driver->machine().isOwner())
            driver->handle(wanted[id]);
    }
    reconcileLoads(wanted);
}

// Adds a load to `change` if it may start now; otherwise, a later pass tries again.
void PlacementService::addLoad(const TargetId& target, const ArtifactSize& item, WantedArtifactsChanged& change)
{
    const auto driver = drivers_.find(target);
    if (driver == drivers_.end() || !driver->second->machine().isOwner())
        return;
    const TargetLedger* ledger = driver->second->machine().ledger();
    const bool resident = ledger && ledger->isResident(item.artifact);
    if (resident || slots_.start({target, item.artifact}))
        change.loads.push_back(item);
}

void PlacementService::reconcileLoads(const std::map<TargetId, WantedArtifactsChanged>& wanted)
{
    std::set<PacedLoad> unresolved;
    std::set<PacedLoad> listed;
    for (const auto& [id, driver] : drivers_) {
        for (const EngineOrder& order : driver->machine().unresolvedLoads())
            unresolved.insert({id, order.artifact});
        const auto change = wanted.find(id);
        if (change == wanted.end() || !driver->machine().isOwner())
            continue;
        for (const ArtifactSize& item : change->second.loads) {
            if (!driver->machine().ledger()->isResident(item.artifact))
                listed.insert({id, item.artifact});
        }
    }
    slots_.reconcile(unresolved, listed);
}

std::vector<double> PlacementService::totalDemand() const
{
    std::vector<double> total(catalogue_->artifactCount(), 0);
    for (const auto& [instance, demand] : demand_) {
        if (!isMember(instance))
            continue;
        for (const ArtifactDemand& item : demand) {
            const std::optional<ResolvedArtifact> resolved = catalogue_->artifact(item.artifact);
            if (resolved.has_value())
                total[resolved->route.value()] += item.load;
        }
    }
    return total;
}

ResidencySnapshot PlacementService::residency() const
{
    ResidencySnapshot snapshot;
    for (const Target& target : catalogue_->configuration().targets) {
        if (target.kind == TargetKind::Engine)
            snapshot.targets.push_back(residencyOf(target));
    }
    return snapshot;
}

TargetResidency PlacementService::residencyOf(const Target& target) const
{
    TargetResidency residency;
    residency.target = target.id;
    residency.capacity = target.memory;
    const auto observed = observed_.find(target.id);
    residency.live = observed != observed_.end() && observed->second.live;
    const auto driver = drivers_.find(target.id);
    const OwnershipStateMachine* machine = driver == drivers_.end() ? nullptr : &driver->second->machine();
    residency.owned = machine && machine->isOwner();
    const auto known = rows_.find(target.id);
    const TargetRow* row = known == rows_.end() ? nullptr : &known->second;
    std::vector<ArtifactSize> resident;
    if (residency.owned && machine->ledger()) {
        row = &machine->ledger()->row();
        resident = machine->ledger()->knownResident();
    } else if (observed != observed_.end() && observed->second.last.report.has_value()) {
        resident = observed->second.last.report->resident;
    }
    for (const ArtifactSize& item : resident)
        residency.held.push_back(
            {item.artifact, item.bytes, row ? stateUnderOrders(*row, item.artifact) : ArtifactState::Resident});
    if (!row)
        return residency;
    // Placement leaves the grant free for the owner of the target.
    residency.capacity = target.memory - std::min(target.memory, row->grant);
    for (const EngineOrder& order : row->orders) {
        const bool held = std::any_of(residency.held.begin(), residency.held.end(),
            [&](const HeldArtifact& item) { return item.artifact == order.artifact; });
        if (order.operation == OrderOperation::Load && !held)
            residency.held.push_back({order.artifact, order.bytes, ArtifactState::Loading});
    }
    if (residency.owned) {
        for (HeldArtifact& held : residency.held)
            held.orderLost = held.state != ArtifactState::Resident && machine->isOrderLost(held.artifact);
    }
    return residency;
}

absl::Status PlacementService::ensureLoaded(const TargetId& target, const ArtifactId& artifact, TimePoint deadline)
{
    const auto driver = drivers_.find(target);
    if (driver == drivers_.end() || !driver->second->machine().isOwner())
        return makeError(CoordinationError::NotOwner, fmt::format("target {} is not owned by this instance", target));
    const std::optional<ResolvedArtifact> resolved = catalogue_->artifact(artifact);
    if (!resolved.has_value())
        return makeError(
            CoordinationError::NotFound, fmt::format("artifact {} is not declared in the configuration", artifact));
    ensuredLoads_[target].push_back({{artifact, catalogue_->bytes(resolved->route)}, deadline});
    placeArtifacts();
    while (currentTime() < deadline) {
        const TargetLedger* ledger = driver->second->machine().ledger();
        if (ledger && ledger->isResident(artifact))
            return absl::OkStatus();
        sleepFor(residentCheckInterval);
    }
    return makeError(
        CoordinationError::MemoryExhausted, fmt::format("artifact {} was not loaded before the deadline", artifact));
}

std::vector<TargetStatus> PlacementService::status() const
{
    std::vector<TargetStatus> all;
    for (const Target& target : catalogue_->configuration().targets) {
        TargetStatus status;
        status.target = target;
        if (target.kind == TargetKind::Engine) {
            const TargetResidency residency = residencyOf(target);
            status.live = residency.live;
            status.held = residency.held;
            status.owner = ownerOf(target.id);
            for (const HeldArtifact& item : residency.held)
                status.counted += item.bytes;
            const auto observed = observed_.find(target.id);
            if (observed != observed_.end() && observed->second.last.report.has_value()) {
                status.running = observed->second.last.report->running;
                status.queued = observed->second.last.report->queued;
            }
        }
        all.push_back(std::move(status));
    }
    return all;
}

} // namespace lychee
