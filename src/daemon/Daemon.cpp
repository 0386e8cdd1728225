#include "daemon/Daemon.h"

#include "daemon/ErrorAnswer.h"
#include "protocol/Digest.h"
#include "transport/Containment.h"
#include "transport/Log.h"

#include <csignal>
#include <filesystem>
#include <fstream>

namespace lychee {

namespace {

constexpr LogChannel logChannel("daemon");

// Limit of the tasks of one duty that wait or run at the same time.
constexpr std::size_t inboxCapacity = 16384;

constexpr std::size_t observationCapacity = 16384;

// How often a stopping instance checks whether its requests have ended.
constexpr Duration drainCheckInterval = std::chrono::milliseconds(20);

// Time limit of handing over owned targets after the last request has ended.
constexpr Duration handOverTimeout = std::chrono::seconds(3);

// Number of random hexadecimal digits that make the id of a process different after each restart.
constexpr std::size_t idSuffixLength = 8;

constexpr int exitCutOff = 3;

// Submits a task to a duty; logs a warning when the duty cannot take it.
void post(Inbox& inbox, Inbox::Task task)
{
    const absl::Status status = inbox.submit(std::move(task));
    if (!status.ok())
        logChannel.warning("A task for duty {} was dropped: {}.", inbox.duty().name(), messageOf(status));
}

} // namespace

absl::StatusOr<std::unique_ptr<Daemon>> Daemon::start(std::shared_ptr<const Settings> settings)
{
    std::unique_ptr<Daemon> daemon(new Daemon(std::move(settings), RuntimeClock::createRunning()));
    absl::Status status = daemon->startDuties();
    if (!status.ok())
        return status;
    daemon->createComponents();
    status = daemon->listen();
    if (!status.ok()) {
        // The daemon is leaked on purpose: the fibers of its duties wait for messages and cannot be ended. The caller
        // ends the process with the error.
        static_cast<void>(daemon.release());
        return status;
    }
    daemon->startComponents();
    return daemon;
}

Daemon::Daemon(std::shared_ptr<const Settings> settings, std::shared_ptr<RuntimeClock> clock)
    : settings_(std::move(settings))
    , clock_(std::move(clock))
    , instance_(fmt::format("{}~{}", settings_->instance.id(), randomHex128().substr(0, idSuffixLength)))
{
}

absl::Status Daemon::startDuties()
{
    struct Named {
        const char* name;
        std::unique_ptr<Duty>* duty;
    };
    for (const Named& named : {Named{"callers", &callers_}, Named{"targets", &targets_}, Named{"peers", &peers_},
             Named{"platform", &platform_}, Named{"control", &control_}, Named{"metrics", &metrics_}}) {
        absl::StatusOr<std::unique_ptr<Duty>> duty = Duty::start(named.name, clock_);
        if (!duty.ok())
            return duty.status();
        *named.duty = *std::move(duty);
    }
    callersInbox_ = Inbox::create(*callers_, inboxCapacity);
    targetsInbox_ = Inbox::create(*targets_, inboxCapacity);
    peersInbox_ = Inbox::create(*peers_, inboxCapacity);
    platformInbox_ = Inbox::create(*platform_, inboxCapacity);
    controlInbox_ = Inbox::create(*control_, inboxCapacity);
    callerObservations_ = Ring<TargetObservation>::create(*callers_, observationCapacity);
    controlObservations_ = Ring<TargetObservation>::create(*control_, observationCapacity);
    return absl::OkStatus();
}

void Daemon::createComponents()
{
    const Settings& settings = *settings_;
    const DataCentreId dataCentre(settings.instance.dataCentre());
    metricsSink_ = std::make_unique<MetricsSink>(*metrics_);
    const Endpoint platformEndpoint{settings.platform.address(), settings.platform.port()};
    platformGateway_ = std::make_unique<PlatformGateway>(platformInbox_,
        std::make_shared<PlatformClient>(*platform_, PlatformOptions{platformEndpoint, settings.platform.timeout()}));
    targetGateway_ = std::make_unique<TargetGateway>(targetsInbox_);
    targetControl_ = std::make_unique<TargetControl>(targetsInbox_);
    targetMonitor_ = std::make_unique<TargetMonitor>(*targets_, configuration_, settings.targets.report(),
        std::vector<TargetMonitor::Listener>{
            [this](const TargetObservation& observation) { observeTarget(observation); }});
    dispatcher_ = std::make_unique<Dispatcher>(instance_, dataCentre);
    crashingRequestGuard_
        = std::make_unique<CrashingRequestGuard>(CrashingRequestGuardOptions{instance_, settings.crashes.quarantine()},
            *dispatcher_, *targetGateway_, crashingRequestGuardOutputs());
    CallLimits limits;
    limits.connectTimeout = settings.targets.connectTimeout();
    limits.interByteTimeout = settings.targets.interByteTimeout();
    limits.claimUnknownAfter = settings.claims.unknownAfter();
    callDependencies_ = std::make_unique<CallDependencies>(
        CallDependencies{instance_, *callers_, *dispatcher_, *targetGateway_, *crashingRequestGuard_, *platformGateway_,
            *metricsSink_, limits, [this](const TargetId& target, const ArtifactId& artifact, TimePoint deadline) {
                return ensureLoaded(target, artifact, deadline);
            }});
    callerService_ = std::make_unique<CallerService>(*callDependencies_, ready_, [this] { return gauges(); });
    ControlOptions control;
    control.instance = instance_;
    control.listedName = InstanceId(settings.instance.id());
    control.dataCentre = dataCentre;
    control.poll = settings.platform.poll();
    control.placement.instance = instance_;
    control.placement.dataCentre = dataCentre;
    controlService_ = std::make_unique<ControlService>(
        *control_, control, *platformGateway_, *targetControl_, *metricsSink_, controlOutputs());
    OperatorOptions operators;
    operators.token = settings.operators.tokenFile().reveal();
    operators.claimUnknownAfter = settings.claims.unknownAfter();
    operators.drain = [this] { beginStop(); };
    operators.ready = ready_;
    operatorService_
        = std::make_unique<OperatorService>(control, std::move(operators), *controlService_, *platformGateway_);
}

ControlOutputs Daemon::controlOutputs()
{
    ControlOutputs outputs;
    outputs.configurationAdopted = [this](const std::shared_ptr<const Configuration>& configuration) {
        configuration_->publish(configuration);
        post(*callersInbox_, [this, configuration] { callerService_->adopt(configuration); });
    };
    outputs.flood
        = [this](const PeerMessage& message) { post(*peersInbox_, [this, message] { mesh_->flood(message); }); };
    outputs.sendTo = [this](const InstanceId& id, const PeerMessage& message) {
        post(*peersInbox_, [this, id, message] {
            const absl::Status status = mesh_->sendTo(id, message);
            if (!status.ok())
                logChannel.warning("A message to instance {} was dropped: {}.", id, messageOf(status));
        });
    };
    outputs.endpointsListed = [this](const std::vector<Endpoint>& endpoints) {
        post(*peersInbox_, [this, endpoints] { mesh_->setListedEndpoints(endpoints); });
    };
    outputs.localDemand = [this] { return localDemand(); };
    return outputs;
}

CrashingRequestGuardOutputs Daemon::crashingRequestGuardOutputs()
{
    CrashingRequestGuardOutputs outputs;
    outputs.flood = [this](const std::vector<PeerMessage>& messages) {
        const absl::StatusOr<bool> handedOver = callOn(*peersInbox_, [this, messages] {
            for (const PeerMessage& message : messages)
                mesh_->flood(message);
            return true;
        });
        if (!handedOver.ok())
            logChannel.warning("Crash notices to all peers were dropped: {}.", messageOf(handedOver.status()));
    };
    outputs.sendTo = [this](const InstanceId& id, const std::vector<PeerMessage>& messages) {
        post(*peersInbox_, [this, id, messages] {
            for (const PeerMessage& message : messages) {
                const absl::Status status = mesh_->sendTo(id, message);
                if (!status.ok())
                    logChannel.warning("A message to instance {} was dropped: {}.", id, messageOf(status));
            }
        });
    };
    return outputs;
}

std::vector<ArtifactDemand> Daemon::localDemand()
{
    const absl::StatusOr<std::vector<ArtifactDemand>> demand = callOn(*callersInbox_, [this] {
        std::vector<ArtifactDemand> items;
        const std::shared_ptr<const DemandSnapshot> snapshot = dispatcher_->demand();
        for (std::uint32_t i = 0; i < snapshot->loads.size(); ++i)
            items.push_back({dispatcher_->catalogue().artifactId(RouteIndex(i)), snapshot->loads[i]});
        return items;
    });
    return demand.ok() ? *demand : std::vector<ArtifactDemand>{};
}

absl::Status Daemon::ensureLoaded(const TargetId& target, const ArtifactId& artifact, TimePoint deadline)
{
    const absl::StatusOr<absl::Status> status
        = callOn(*controlInbox_, [=, this] { return controlService_->ensureLoaded(target, artifact, deadline); });
    return status.ok() ? *status : status.status();
}

// Runs on the targets duty. An observation that finds the ring full is lost; the next poll repeats the report.
void Daemon::observeTarget(const TargetObservation& observation)
{
    callerObservations_->push(observation).IgnoreError();
    controlObservations_->push(observation).IgnoreError();
}

void Daemon::startObservationReaders()
{
    callers_->spawn([this] {
        while (const std::optional<TargetObservation> observation = callerObservations_->pop())
            dispatcher_->observe(*observation);
    });
    control_->spawn([this] {
        while (const std::optional<TargetObservation> observation = controlObservations_->pop())
            controlService_->placement().observe(*observation);
    });
}

absl::Status Daemon::listen()
{
    const Settings& settings = *settings_;
    PeerMeshOptions peers;
    peers.listen = {settings.peers.address(), settings.peers.port()};
    peers.self.id = instance_;
    peers.self.dataCentre = DataCentreId(settings.instance.dataCentre());
    peers.self.address = settings.peers.address();
    peers.key = settings.peers.keyFile().reveal();
    peers.seeds = settings.peers.seeds();
    peers.heartbeat = settings.peers.heartbeat();
    peers.silence = settings.peers.silence();
    peers.membership.degree = settings.peers.degree();
    PeerMeshEvents events;
    events.membersChanged = [this](const std::vector<MemberRecord>& members) {
        post(*controlInbox_, [this, members] { controlService_->setMembers(members); });
        post(*callersInbox_, [this, count = members.size()] { dispatcher_->setSenderCount(count); });
        post(*callersInbox_, [this, members] { crashingRequestGuard_->setMembers(members); });
    };
    events.messageReceived = [this](const InstanceId& from, const PeerMessage& message) {
        if (const auto* notice = std::get_if<CrashNoticeMessage>(&message)) {
            post(*callersInbox_, [this, from, notice = *notice] { crashingRequestGuard_->handle(from, notice); });
            return;
        }
        post(*controlInbox_, [this, from, message] { controlService_->handle(from, message); });
    };
    events.peerConnected = [this](const InstanceId& peer) {
        post(*controlInbox_, [this, peer] { controlService_->peerConnected(peer); });
        post(*callersInbox_, [this, peer] { crashingRequestGuard_->peerConnected(peer); });
    };
    absl::StatusOr<std::unique_ptr<PeerMesh>> mesh = PeerMesh::create(*peers_, std::move(peers), std::move(events));
    if (!mesh.ok())
        return mesh.status();
    mesh_ = *std::move(mesh);

    HttpServerOptions http;
    http.maxBodyBytes = settings.callers.maxBodyBytes();
    http.maxHeaderBytes = settings.callers.maxHeaderBytes();
    http.idleTimeout = settings.callers.idleTimeout();
    http.faultResponse = faultResponse;
    absl::StatusOr<std::unique_ptr<HttpServer>> callers
        = HttpServer::listen(*callers_, {settings.callers.address(), settings.callers.port()}, http,
            [this](HttpExchange& exchange) { callerService_->handle(exchange); });
    if (!callers.ok())
        return callers.status();
    callerServer_ = *std::move(callers);
    absl::StatusOr<std::unique_ptr<HttpServer>> operators
        = HttpServer::listen(*control_, {settings.operators.address(), settings.operators.port()}, http,
            [this](HttpExchange& exchange) { operatorService_->handle(exchange); });
    if (!operators.ok())
        return operators.status();
    operatorServer_ = *std::move(operators);
    return absl::OkStatus();
}

void Daemon::startComponents()
{
    startObservationReaders();
    post(*peersInbox_, [this] { mesh_->start(); });
    post(*controlInbox_, [this] { controlService_->start(); });
    targetMonitor_->start();
    watchSignals();
    logChannel.info("Instance {} in data centre {} listens: callers {}, operators {}, peers {}.", instance_,
        settings_->instance.dataCentre(), callerServer_->port(), operatorServer_->port(), mesh_->port());
}

absl::Status Daemon::writePorts(const std::string& file) const
{
    const std::string temporary = file + ".tmp";
    {
        std::ofstream stream(temporary);
        stream << "callers=" << callerServer_->port() << "\noperators=" << operatorServer_->port()
               << "\npeers=" << mesh_->port() << "\n";
        if (!stream.good())
            return makeError(TransportError::BindFailed, fmt::format("cannot write the ports to {}", file));
    }
    std::error_code error;
    std::filesystem::rename(temporary, file, error);
    if (error)
        return makeError(
            TransportError::BindFailed, fmt::format("cannot write the ports to {}: {}", file, error.message()));
    return absl::OkStatus();
}

void Daemon::watchSignals()
{
    signals_ = std::make_unique<boost::asio::signal_set>(control_->io(), SIGTERM, SIGINT);
    auto waitForSignal = std::make_shared<std::function<void()>>();
    *waitForSignal = [this, waitForSignal] {
        signals_->async_wait([this, waitForSignal](const boost::system::error_code& error, int) {
            if (error)
                return;
            beginStop();
            (*waitForSignal)();
        });
    };
    (*waitForSignal)();
}

// Runs on the control duty. A second stop request ends every wait of stop() at once, so requests in flight are cut off.
void Daemon::beginStop()
{
    if (stopRequests_.fetch_add(1) > 0)
        return;
    ready_->store(false);
    logChannel.info("Stopping: {} requests in flight.", callerServer_->activeExchanges());
    post(*peersInbox_, [this] { mesh_->announceLeaving(); });
    controlService_->placement().leave();
    control_->spawn([this] { stop(); });
}

bool Daemon::isIdle() const
{
    return callerServer_->activeExchanges() == 0 && callDependencies_->openClaims->load() == 0;
}

void Daemon::stop()
{
    const TimePoint begun = currentTime();
    const TimePoint acceptDeadline = begun + settings_->stop.noWorkAfter();
    while (currentTime() < acceptDeadline && stopRequests_.load() < 2)
        sleepFor(drainCheckInterval);
    callerServer_->stopAccepting();
    const TimePoint drainDeadline = begun + settings_->stop.drainLimit();
    while (!isIdle() && currentTime() < drainDeadline && stopRequests_.load() < 2)
        sleepFor(drainCheckInterval);
    const std::size_t cutOffRequests = callerServer_->activeExchanges();
    const TimePoint handOverDeadline = currentTime() + handOverTimeout;
    while (
        controlService_->placement().ownedTargets() > 0 && currentTime() < handOverDeadline && stopRequests_.load() < 2)
        sleepFor(drainCheckInterval);
    if (cutOffRequests > 0)
        logChannel.warning("Stopped with {} requests cut off.", cutOffRequests);
    else
        logChannel.info("Stopped; no request was cut off.");
    stopped_.set_value(cutOffRequests > 0 ? StopOutcome::CutOff : StopOutcome::Graceful);
}

std::vector<Gauge> Daemon::gauges()
{
    const std::shared_ptr<const Configuration> configuration = configuration_->read();
    return {{"configuration_version", static_cast<double>(configuration->version.value())},
        {"requests_in_flight", static_cast<double>(callerServer_->activeExchanges())},
        {"open_claims", static_cast<double>(callDependencies_->openClaims->load())},
        {"platform_up", platformGateway_->isUp() ? 1.0 : 0.0},
        {"exceptions_contained", static_cast<double>(containedExceptions())}};
}

int Daemon::waitForStop() { return stopped_.get_future().get() == StopOutcome::Graceful ? 0 : exitCutOff; }

} // namespace lychee
