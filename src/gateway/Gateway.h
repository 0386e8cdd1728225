// An instance of the daemon on the users' platform: starts its duties and servers and shuts them down gracefully.
#pragma once

#include "daemon/MetricsSink.h"
#include "gateway/CallerServer.h"
#include "gateway/ControlPlane.h"
#include "gateway/GatewaySettings.h"
#include "gateway/PaceReview.h"
#include "gateway/RequestRelay.h"
#include "protocol/Digest.h"
#include "transport/Containment.h"
#include "transport/HttpServer.h"
#include "transport/Tunnel.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <filesystem>
#include <future>

namespace lychee::gateway {

inline constexpr LogChannel gatewayLog("gateway");

// Limits and intervals of one process.
struct GatewayLimits {
    // Tasks that may be queued for one duty, and that may run on it at the same time.
    static constexpr std::size_t inboxCapacity = 16384;
    // Memory of the process for each tunnel that it may open for peers; a tunnel takes a part of it.
    static constexpr std::size_t memoryPerTunnel = 262144;
    // How often a stopping instance checks whether its requests have finished.
    static constexpr Duration drainPollInterval = std::chrono::milliseconds(50);
    // How long the load balancer keeps sending new connections to an instance that is no longer ready: it checks every
    // second and needs two failed checks.
    static constexpr Duration loadBalancerDelay = std::chrono::milliseconds(2600);
    // Part of the grace period that is reserved for closing connections.
    static constexpr Duration closeTimeReserve = std::chrono::milliseconds(600);
    // Part of the remaining time in which requests that wait for a target get their last answers.
    static constexpr Duration lastAnswerReserve = std::chrono::milliseconds(300);
    // Characters of the random suffix that makes the id of a process unique across restarts.
    static constexpr std::size_t idSuffixLength = 8;
    // The part of the memory of the process that answers of targets may take. An answer is copied when it grows and
    // when it is sent, so it takes up to three times its size.
    static constexpr std::size_t answerMemoryDivisor = 8;
    // The part that frames to peers may take.
    static constexpr std::size_t frameMemoryDivisor = 16;
    // The part that bodies of requests may take. A body is copied when it is forwarded, so it takes twice its size.
    static constexpr std::size_t requestMemoryDivisor = 16;
    // The memory of machines with one processor of which only the memory is known.
    static constexpr double megabytesOfOneProcessor = 1024;
    // Longest time to receive the body of a request.
    static constexpr Duration bodyTimeout = std::chrono::seconds(30);
    // The remaining file descriptors of the process are for connections to targets and peers.
    static constexpr std::size_t maxCallerConnections = 2500;
};

// The duties run until the process ends.
template <GatewayPlatform Platform> class Gateway {
public:
    // Starts all duties and listens on all ports. `file` is the settings file, which is read again on SIGHUP. Fails
    // when a port cannot be bound.
    static absl::StatusOr<std::unique_ptr<Gateway>> start(
        std::shared_ptr<const GatewaySettings> settings, const std::filesystem::path& file)
    {
        std::unique_ptr<Gateway> gateway(new Gateway(std::move(settings), file));
        absl::Status status = gateway->startDuties();
        if (status.ok())
            status = gateway->listen();
        if (!status.ok()) {
            // The fibers of the duties wait for messages and cannot be stopped, so the object is leaked: the caller
            // ends the process with this error.
            static_cast<void>(gateway.release());
            return status;
        }
        return gateway;
    }

    // Blocks until the instance has stopped. Returns the exit code of the process, which is not 0 when requests were
    // cut off.
    int waitForStop() { return stopped_.get_future().get(); }

private:
    Gateway(std::shared_ptr<const GatewaySettings> settings, const std::filesystem::path& file)
        : settings_(std::move(settings))
        , file_(file)
        , clock_(RuntimeClock::createRunning())
        , confirmation_(clock_, {settings_->revocation.strict(), settings_->revocation.limit()})
        , self_(fmt::format("{}~{}", settings_->instance.id(), randomHex128().substr(0, GatewayLimits::idSuffixLength)))
    {
    }

    absl::Status startDuties()
    {
        struct NamedDuty {
            const char* name;
            std::unique_ptr<Duty>* duty;
        };
        for (const NamedDuty& named : {NamedDuty{"relay", &relayDuty_}, NamedDuty{"control", &controlDuty_},
                 NamedDuty{"metrics", &metricsDuty_}}) {
            absl::StatusOr<std::unique_ptr<Duty>> duty = Duty::start(named.name, clock_);
            if (!duty.ok())
                return duty.status();
            *named.duty = *std::move(duty);
        }
        relayInbox_ = Inbox::create(*relayDuty_, GatewayLimits::inboxCapacity);
        controlInbox_ = Inbox::create(*controlDuty_, GatewayLimits::inboxCapacity);
        metricsSink_ = std::make_unique<MetricsSink>(*metricsDuty_);
        context_.dataCentre = DataCentreId(settings_->instance.dataCentre());
        context_.dialer.setOptions(context_.dataCentre, std::hash<std::string>()(self_.value()));
        context_.dialer.setDetachedHandler([this](bool detached) {
            context_.http.closeRetired();
            postToControl([this, detached] { control_->setReachesTargets(!detached); });
        });
        context_.routes = routes_;
        context_.metrics = metricsSink_.get();
        context_.ensureAdapter = [this](const TargetId& target, const ModelId& model, const AdapterId& adapter,
                                     TimePoint deadline) { return ensureAdapter(target, model, adapter, deadline); };
        context_.requestGrant = [this](const fleet::ChosenTarget& target, double perSecond, Duration maxWait) {
            return requestGrant(target, perSecond, maxWait);
        };
        context_.limitChanged = [this](const TargetId& target, fleet::TargetIncarnation incarnation,
                                    std::optional<double> perSecond) {
            postToControl(
                [this, target, incarnation, perSecond] { control_->announceLimit(target, incarnation, perSecond); });
        };
        context_.turnedAway = [this](const TargetId& target, fleet::TargetIncarnation incarnation, Duration pause) {
            postToControl(
                [this, target, incarnation, pause] { control_->announceTurnedAway(target, incarnation, pause); });
        };
        context_.origins.requireListing();
        context_.recordOrigins = [this](std::vector<fleet::StreamOrigin> origins) {
            postToControl([this, origins = std::move(origins)] { control_->recordOrigins(origins); });
        };
        context_.findOrigin = [this](const ServiceId& service, const RequestId& attempt, TimePoint deadline) {
            return findOrigin(service, attempt, deadline);
        };
        context_.isConfigurationOutdated = [this] { return control_->isConfigurationOutdated(); };
        context_.configurationIsConfirmed = [this] { return confirmation_.acceptsKeys(); };
        context_.crashes.setOutputs({[this](const std::vector<fleet::CrashSuspect>& suspects) {
                                         postToControl([this, suspects] { control_->announce(suspects); });
                                     },
            [this](const std::vector<fleet::RequestTrait>& traits) {
                postToControl([this, traits] { control_->announceCleared(traits); });
            }});
        // Before this process there may have been another one of the same instance, whose retries are still in the
        // window.
        fleet::ServiceRetryBudgetOptions withoutShare;
        withoutShare.share = 0;
        context_.retryBudget.setOptions(withoutShare);
        setRetryBudget(*settings_, assumedInstances);
        setMemory(*settings_);
        context_.limits = CallerLimits(customerLimitOptions(*settings_), limitPhase(self_));
        return absl::OkStatus();
    }

    absl::Status listen()
    {
        gatewayLog.info("instance={} data_centre={} callers={} peers={}:{} store={} starting", self_,
            settings_->instance.dataCentre(), settings_->callers.endpoint().toString(), settings_->peers.address(),
            settings_->peers.port(), settings_->platform.endpoint().toString());
        // Signals must be handled before the first connection is accepted: from then on, a stop has to let requests
        // finish first.
        controlDuty_->run([this] { watchSignals(); });
        // The peers are told the port.
        if (const absl::Status tunnels = listenForTunnels(); !tunnels.ok())
            return tunnels;
        control_ = std::make_unique<ControlPlane<Platform>>(
            *controlDuty_, controlOptions(), routes_, relayCallbacks(), confirmation_);
        auto callers = HttpServer::listen(*relayDuty_, settings_->callers.endpoint(), serverOptions({}),
            [this](HttpExchange& exchange) { RelayedRequest<typename Platform::Dialect>(context_, exchange).run(); });
        if (!callers.ok())
            return callers.status();
        callers_ = *std::move(callers);
        absl::Status status;
        controlDuty_->run([&] { status = control_->start(); });
        if (!status.ok())
            return status;
        auto readiness = HttpServer::listen(*controlDuty_, settings_->readiness.endpoint(), {},
            [this](HttpExchange& exchange) { answerReadiness(exchange); });
        if (!readiness.ok())
            return readiness.status();
        readiness_ = *std::move(readiness);
        const Endpoint metricsEndpoint{settings_->peers.address(), settings_->metrics.port()};
        auto metrics = HttpServer::listen(
            *metricsDuty_, metricsEndpoint, {}, [this](HttpExchange& exchange) { answerMetrics(exchange); });
        if (!metrics.ok())
            return metrics.status();
        metrics_ = *std::move(metrics);
        listening_ = true;
        return absl::OkStatus();
    }

    // A port that was not set may be that of something else, and then this instance opens no tunnels for others.
    absl::Status listenForTunnels()
    {
        const bool isSet = settings_->peers.tunnelPort() != 0;
        if (!isSet && settings_->metrics.port() == settings_->peers.port() + 1) {
            gatewayLog.warning("no tunnels are opened for peers: the port after that for peers is the one for metrics");
            return absl::OkStatus();
        }
        const auto port
            = static_cast<std::uint16_t>(isSet ? settings_->peers.tunnelPort() : settings_->peers.port() + 1);
        auto tunnels = TunnelServer::listen(*relayDuty_, {settings_->peers.address(), port}, tunnelOptions());
        if (tunnels.ok())
            tunnels_ = *std::move(tunnels);
        else if (isSet)
            return tunnels.status();
        else
            gatewayLog.warning("no tunnels are opened for peers: {}", messageOf(tunnels.status()));
        return absl::OkStatus();
    }

    std::size_t activeTunnels() const { return tunnels_ ? tunnels_->active() : 0; }

    // The setting, or an estimate: machines with a larger processor have more memory, too.
    static double processorShare(const GatewaySettings& settings)
    {
        const double configured = settings.process.processorShare();
        const double megabytes = static_cast<double>(machineMemory()) / (1 << 20);
        return configured > 0 ? configured : megabytes / GatewayLimits::megabytesOfOneProcessor;
    }

    ControlOptions controlOptions() const
    {
        ControlOptions options;
        options.self = self_;
        options.configuredId = settings_->instance.id();
        options.peerEndpoint = {settings_->peers.address(), settings_->peers.port()};
        options.store = settings_->platform.endpoint();
        options.tunnelPort = tunnels_ ? tunnels_->port() : 0;
        options.dataCentre = settings_->instance.dataCentre();
        options.capacity = processorShare(*settings_);
        options.lease.lease = settings_->placement.lease();
        // Instances wait for different times after the lease has expired, so that they try to take it one after
        // another.
        options.lease.acquireDelay
            = std::chrono::milliseconds(std::hash<std::string>()(self_.value()) % takeDelaySpreadMs);
        options.lease.smallMachineDelay = fleet::smallMachineDelay(processorShare(*settings_));
        return options;
    }

    // Tunnels lead to listed targets only, and are opened for peers while this instance reaches targets itself.
    TunnelServerOptions tunnelOptions()
    {
        TunnelServerOptions options;
        options.maxTunnels = memoryOf(*settings_) / GatewayLimits::memoryPerTunnel;
        options.buffers = RelayLimits::targetBuffers;
        options.mayOpen = [this](const std::string& address, const Endpoint& target) {
            return !context_.dialer.isDetached() && context_.dialer.isPeer(address)
                && context_.registry.isListed(target);
        };
        options.connect = [this](const Endpoint& target, TimePoint deadline) {
            return context_.dialer.connectDirectly(target, deadline);
        };
        return options;
    }

    RelayCallbacks relayCallbacks()
    {
        RelayCallbacks port;
        port.targetUpdated = [this](const fleet::TargetRecord& record) {
            postToRelay([this, record] { context_.registry.update(record); });
        };
        port.targetRemoved = [this](const TargetId& target) {
            postToRelay([this, target] {
                if (const fleet::TargetState* state = context_.registry.find(target)) {
                    context_.http.forget(state->record.endpoint);
                    context_.dialer.forget(state->record.endpoint);
                }
                context_.registry.remove(target);
            });
        };
        port.holdingsChanged
            = [this](const TargetId& target, fleet::TargetIncarnation incarnation, const fleet::Holdings& holdings) {
                  postToRelay([this, target, incarnation, holdings] {
                      context_.registry.updateHoldings(target, incarnation, holdings);
                  });
              };
        port.peerUpdated = [this](const InstanceId& peer, std::vector<fleet::TargetWorkReport> shares,
                               std::vector<fleet::CustomerUse> uses) {
            postToRelay([this, peer, shares = std::move(shares), uses = std::move(uses)] {
                context_.registry.recordPeerWork(peer, shares, currentTime());
                context_.limits.peerReported(peer, uses);
            });
        };
        port.peerLost = [this](const InstanceId& peer) {
            postToRelay([this, peer] {
                context_.registry.recordPeerWork(peer, {}, currentTime());
                context_.limits.peerLost(peer);
            });
        };
        port.tunnelPeerUpdated = [this](const InstanceId& peer, const TunnelPeer& update) {
            postToRelay([this, peer, update] { context_.dialer.peerUpdated(peer, update); });
        };
        port.tunnelPeerLost = [this](const InstanceId& peer) {
            postToRelay([this, peer] {
                context_.dialer.peerLost(peer);
                context_.http.closeRetired();
            });
        };
        port.instancesListed
            = [this](std::size_t listed) { postToRelay([this, listed] { context_.limits.listedUpdated(listed); }); };
        port.connectivityUpdated = [this](bool placementReached, std::size_t instances) {
            if (placementReached != placementReached_ || instances != instances_)
                gatewayLog.info("placement_reached={} instances={}", placementReached, instances);
            placementReached_ = placementReached;
            instances_ = instances;
            postToRelay([this, placementReached, instances, settings = settings_] {
                context_.placementReached = placementReached;
                setRetryBudget(*settings, std::max(instances, assumedInstances));
                context_.limits.reachedUpdated(instances);
            });
        };
        port.configurationChanged = [this](const fleet::RouteTable& table) {
            applyLimits(table.limits());
            postToRelay([this] { context_.limits.configurationChanged(*routes_->read()); });
        };
        port.crashSuspectsReported = [this](const std::vector<fleet::CrashSuspect>& suspects) {
            postToRelay([this, suspects] { context_.crashes.suspectsReported(suspects); });
        };
        port.traitsCleared = [this](const std::vector<fleet::RequestTrait>& traits) {
            postToRelay([this, traits] { context_.crashes.clearingReported(traits); });
        };
        port.traitBlocked = [this](const fleet::BlockedTrait& blocked) {
            postToRelay([this, blocked] { context_.crashes.blockReported(blocked); });
        };
        port.limitReported
            = [this](const TargetId& target, fleet::TargetIncarnation incarnation, std::optional<double> perSecond) {
                  postToRelay([this, target, incarnation, perSecond] {
                      context_.registry.recordLimit(target, incarnation, perSecond, currentTime(), currentTime());
                  });
              };
        port.turnedAwayReported = [this](const TargetId& target, fleet::TargetIncarnation incarnation, Duration pause) {
            postToRelay([this, target, incarnation, pause] {
                const TimePoint now = currentTime();
                context_.registry.recordBrittle(target, incarnation, true, now);
                context_.registry.recordDeclined(target, incarnation, now + pause, std::nullopt);
            });
        };
        port.versionsChanged
            = [this](const ServiceId& service, const std::set<SoftwareVersion>& versions, bool mustRecord) {
                  postToRelay([this, service, versions, mustRecord] {
                      auto unrecorded = context_.origins.setVersions(service, versions, mustRecord, currentTime());
                      if (!unrecorded.empty())
                          context_.recordOrigins(std::move(unrecorded));
                  });
              };
        port.readCrashKnowledge = [this] {
            const auto read = callOn(*relayInbox_, [this] { return context_.crashes.knowledge(); });
            return read.ok() ? *read : CrashKnowledge();
        };
        port.readStatus = [this](MeshStatus& status) {
            const auto read = callOn(*relayInbox_, [this] { return readRelayStatus(); });
            if (read.ok())
                status = *read;
        };
        return port;
    }

    MeshStatus readRelayStatus()
    {
        MeshStatus status;
        paceReview_.log(context_.registry, currentTime());
        status.work = toMessage(context_.registry.ownWork(currentTime()));
        status.demand = toMessage(context_.demand.read(currentTime()));
        status.customerUse = toMessage(context_.limits.report());
        auto used = std::exchange(context_.recentlyUsedAdapters, {});
        for (const auto& [entry, count] : context_.adaptersInUse)
            used.insert(entry);
        for (const auto& [target, model, adapter] : used)
            status.uses.push_back({target, model, adapter});
        return status;
    }

    void postToRelay(Inbox::Task task) { post(*relayInbox_, "relay", std::move(task)); }

    void postToControl(Inbox::Task task) { post(*controlInbox_, "control", std::move(task)); }

    static void post(Inbox& inbox, std::string_view duty, Inbox::Task task)
    {
        const absl::Status status = inbox.submit(std::move(task));
        if (!status.ok())
            gatewayLog.error("inbox of duty {} rejected a task, the task is dropped: {}", duty, messageOf(status));
    }

    absl::Status ensureAdapter(
        const TargetId& target, const ModelId& model, const AdapterId& adapter, TimePoint deadline)
    {
        const auto result = callOn(*controlInbox_, [this, target, model, adapter, deadline] {
            return control_->ensureAdapter(target, model, adapter, deadline);
        });
        return result.ok() ? *result : result.status();
    }

    fleet::RequestGrant requestGrant(const fleet::ChosenTarget& target, double perSecond, Duration maxWait)
    {
        const auto result = callOn(*controlInbox_, [this, target, perSecond, maxWait] {
            return control_->requestGrant(
                target.target, target.incarnation, perSecond, maxWait, currentTime() + RelayLimits::grantTimeout);
        });
        return result.ok() ? *result : fleet::RequestGrant{false, RelayLimits::grantTimeout};
    }

    absl::StatusOr<SoftwareVersion> findOrigin(const ServiceId& service, const RequestId& attempt, TimePoint deadline)
    {
        const auto result = callOn(*controlInbox_,
            [this, service, attempt, deadline] { return control_->findOrigin(service, attempt, deadline); });
        return result.ok() ? *result : result.status();
    }

    // The fixed part of the retry budget is split equally between all instances.
    void setRetryBudget(const GatewaySettings& settings, std::size_t instances)
    {
        fleet::ServiceRetryBudgetOptions options;
        options.part = settings.retries.part();
        options.share = settings.retries.slack() / static_cast<double>(instances);
        options.window
            = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(settings.retries.windowSeconds()));
        context_.retryBudget.updateOptions(options, clock_->now());
    }

    static fleet::SharedRateLimitOptions customerLimitOptions(const GatewaySettings& settings)
    {
        fleet::SharedRateLimitOptions options;
        if (const auto seconds = settings.limits.windowSeconds())
            options.window = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(*seconds));
        options.overshoot = settings.limits.overshoot().value_or(0);
        options.slack = settings.limits.slack().value_or(0);
        return options;
    }

    // A number in [0, 1) that differs between processes.
    static double limitPhase(const InstanceId& instance)
    {
        constexpr std::size_t steps = 4096;
        return static_cast<double>(std::hash<InstanceId>()(instance) % steps) / steps;
    }

    static std::size_t memoryOf(const GatewaySettings& settings)
    {
        constexpr std::size_t megabyte = std::size_t{1} << 20;
        const std::size_t configured = settings.process.memoryMegabytes() * megabyte;
        return configured > 0 ? configured : machineMemory();
    }

    void setMemory(const GatewaySettings& settings)
    {
        const std::size_t memory = memoryOf(settings);
        context_.answerMemory.setCapacity(memory / GatewayLimits::answerMemoryDivisor);
        context_.requestMemory->setCapacity(memory / GatewayLimits::requestMemoryDivisor);
        controlDuty_->spawn([memory] { SharedFrame::setMemory(memory / GatewayLimits::frameMemoryDivisor); });
    }

    HttpServerOptions serverOptions(const fleet::CallerLimits& limits) const
    {
        HttpServerOptions options;
        boundSlowCallers(options, context_);
        options.maxHeaderBytes = limits.headerBytes;
        options.maxBodyBytes = limits.bodyBytes;
        options.idleTimeout = limits.idleTimeout;
        options.headerTimeout = limits.headerTimeout;
        options.readTimeout = GatewayLimits::bodyTimeout;
        options.maxConnections = GatewayLimits::maxCallerConnections;
        options.faultResponse
            = [](HttpFault fault) { return Platform::Dialect::localResponse(gateway::faultResponse(fault)); };
        return options;
    }

    void applyLimits(const fleet::CallerLimits& limits) { callers_->setLimits(serverOptions(limits)); }

    void answerReadiness(HttpExchange& exchange)
    {
        const bool ready = control_->isReady() && !stopping_.load();
        exchange.respond({ready ? 200 : 503, {}, ready ? "ready\n" : "not ready\n"}).IgnoreError();
    }

    void answerMetrics(HttpExchange& exchange)
    {
        std::vector<Gauge> gauges{{"requests_in_flight", static_cast<double>(callers_->activeExchanges())},
            {"instances", static_cast<double>(instances_)}, {"tunnels", static_cast<double>(activeTunnels())},
            {"log_lines_dropped", static_cast<double>(droppedLogLines())},
            {"exceptions_contained", static_cast<double>(containedExceptions())}};
        if (const std::optional<Duration> age = confirmation_.age())
            gauges.push_back({"configuration_age_seconds", std::chrono::duration<double>(*age).count()});
        const auto paces
            = callOn(*relayInbox_, [this] { return PaceReview::gauges(context_.registry, currentTime()); });
        if (paces.ok())
            gauges.insert(gauges.end(), paces->begin(), paces->end());
        HttpResponse response;
        response.headers.set("Content-Type", "text/plain; version=0.0.4");
        response.body = metricsSink_->prometheusText(gauges);
        exchange.respond(response).IgnoreError();
    }

    void watchSignals()
    {
        signals_ = std::make_unique<boost::asio::signal_set>(controlDuty_->io(), SIGTERM, SIGINT, SIGHUP);
        awaitSignal();
    }

    void awaitSignal()
    {
        signals_->async_wait([this](const boost::system::error_code& error, int signal) {
            if (error)
                return;
            if (signal == SIGHUP)
                controlDuty_->spawn([this] { reload(); });
            else if (!stopping_.exchange(true))
                controlDuty_->spawn([this] { stop(); });
            awaitSignal();
        });
    }

    void reload()
    {
        const LoadedSettings<GatewaySettings> loaded = GatewaySettings::load(file_);
        if (!loaded.ok()) {
            for (const std::string& error : loaded.errors)
                gatewayLog.error("settings not reloaded, the previous ones stay in force: {}", error);
            return;
        }
        gatewayLog.info("instance={} settings reloaded", self_);
        settings_ = loaded.settings;
        postToRelay([this, settings = settings_] {
            setRetryBudget(*settings, std::max(instances_.load(), assumedInstances));
            setMemory(*settings);
            context_.limits.setOptions(customerLimitOptions(*settings));
        });
    }

    // Reports not ready, lets the requests in progress finish within the grace period and makes waitForStop() return.
    void stop()
    {
        const TimePoint began = currentTime();
        while (!listening_.load())
            sleepFor(GatewayLimits::drainPollInterval);
        const auto grace
            = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(settings_->stop.graceSeconds()));
        const TimePoint limit = began + grace - GatewayLimits::closeTimeReserve;
        gatewayLog.info("instance={} stopping in_flight={}", self_, callers_->activeExchanges());
        callers_->closeAfterAnswers();
        if (tunnels_)
            tunnels_->declineAll();
        const TimePoint lastAnswersAt = limit - GatewayLimits::lastAnswerReserve;
        postToRelay([this, lastAnswersAt] { context_.stopsAt = lastAnswersAt; });
        control_->leave();
        sleepFor(std::min<Duration>(GatewayLimits::loadBalancerDelay, limit - began));
        callers_->stopAccepting();
        // Waits at least once: the server stops on another duty, and a request may just have begun to arrive.
        do {
            sleepFor(GatewayLimits::drainPollInterval);
            if (currentTime() >= lastAnswersAt)
                postToRelay([this] { context_.endWaits(); });
        } while (currentTime() < limit && callers_->activeExchanges() + activeTunnels() > 0);
        const std::size_t left = callers_->activeExchanges();
        gatewayLog.info("instance={} stopped cut_off={}", self_, left);
        // Lets the answers that were just written be sent before the process ends.
        sleepFor(GatewayLimits::drainPollInterval);
        stopped_.set_value(left == 0 ? 0 : exitCodeCutOff);
    }

    // The retry budget is split between at least this many instances, because the peers are not known at the start.
    static constexpr std::size_t assumedInstances = 6;
    static constexpr std::uint64_t takeDelaySpreadMs = 300;
    // Exit code when requests were cut off.
    static constexpr int exitCodeCutOff = 3;

    std::shared_ptr<const GatewaySettings> settings_;
    std::filesystem::path file_;
    std::shared_ptr<RuntimeClock> clock_;
    ConfigurationConfirmation confirmation_;
    InstanceId self_;
    std::shared_ptr<Published<fleet::RouteTable>> routes_ = std::make_shared<Published<fleet::RouteTable>>(nullptr);
    std::unique_ptr<Duty> relayDuty_;
    std::unique_ptr<Duty> controlDuty_;
    std::unique_ptr<Duty> metricsDuty_;
    std::shared_ptr<Inbox> relayInbox_;
    std::shared_ptr<Inbox> controlInbox_;
    std::unique_ptr<MetricsSink> metricsSink_;
    RelayContext context_;
    PaceReview paceReview_;
    std::unique_ptr<ControlPlane<Platform>> control_;
    std::unique_ptr<TunnelServer> tunnels_;
    std::unique_ptr<HttpServer> callers_;
    std::unique_ptr<HttpServer> readiness_;
    std::unique_ptr<HttpServer> metrics_;
    // All servers are listening.
    std::atomic<bool> listening_{false};
    std::unique_ptr<boost::asio::signal_set> signals_;
    bool placementReached_ = false;
    std::atomic<std::size_t> instances_{0};
    std::atomic<bool> stopping_{false};
    std::promise<int> stopped_;
};

} // namespace lychee::gateway
