// One instance on the users' platform: its duties, their parts, and its graceful stop.
#pragma once

#include "daemon/MetricsSink.h"
#include "gateway/ControlPlane.h"
#include "gateway/GatewaySettings.h"
#include "gateway/RequestRelay.h"
#include "protocol/Digest.h"
#include "transport/HttpServer.h"

#include <boost/asio/signal_set.hpp>

#include <csignal>
#include <filesystem>
#include <future>

namespace lychee::gateway {

inline constexpr LogChannel gatewayLog("gateway");

// Limits of one process.
struct GatewayLimits {
    // Tasks that may wait, and run at the same time, on one duty.
    static constexpr std::size_t inbox = 16384;
    // How often a stopping instance looks whether its work has ended.
    static constexpr Duration drainCheck = std::chrono::milliseconds(50);
    // The balancer asks every second and needs two misses; until then it sends new connections.
    static constexpr Duration balancerLag = std::chrono::milliseconds(2600);
    // Part of the grace time that is kept for closing connections.
    static constexpr Duration closingTime = std::chrono::milliseconds(600);
    // Length of the random suffix that makes the id of a process unique over restarts.
    static constexpr std::size_t idSuffix = 8;
    // Longest time for the body of a request.
    static constexpr Duration bodyTime = std::chrono::seconds(30);
    // Sockets of callers; the rest of the descriptors is for targets and peers.
    static constexpr std::size_t callerConnections = 2500;
};

// The duties live as long as the process.
template <GatewayPlatform Platform> class Gateway {
public:
    // Starts all duties and listens on all ports. Fails when a port cannot be bound.
    static absl::StatusOr<std::unique_ptr<Gateway>> start(
        std::shared_ptr<const GatewaySettings> settings, const std::filesystem::path& file)
    {
        std::unique_ptr<Gateway> gateway(new Gateway(std::move(settings), file));
        absl::Status status = gateway->startDuties();
        if (status.ok())
            status = gateway->listen();
        if (!status.ok()) {
            // Fibers of the duties wait for messages and cannot be ended; the process ends with the error instead.
            static_cast<void>(gateway.release());
            return status;
        }
        return gateway;
    }

    // Blocks until the instance has stopped. Returns the exit code of the process.
    int waitForStop() { return stopped_.get_future().get(); }

private:
    Gateway(std::shared_ptr<const GatewaySettings> settings, const std::filesystem::path& file)
        : settings_(std::move(settings))
        , file_(file)
        , clock_(RuntimeClock::createRunning())
        , self_(fmt::format("{}~{}", settings_->instance.id(), randomHex128().substr(0, GatewayLimits::idSuffix)))
    {
    }

    absl::Status startDuties()
    {
        struct Named {
            const char* name;
            std::unique_ptr<Duty>* duty;
        };
        for (const Named& named :
            {Named{"relay", &relayDuty_}, Named{"control", &controlDuty_}, Named{"metrics", &metricsDuty_}}) {
            absl::StatusOr<std::unique_ptr<Duty>> duty = Duty::start(named.name, clock_);
            if (!duty.ok())
                return duty.status();
            *named.duty = *std::move(duty);
        }
        relayInbox_ = Inbox::create(*relayDuty_, GatewayLimits::inbox);
        controlInbox_ = Inbox::create(*controlDuty_, GatewayLimits::inbox);
        metricsSink_ = std::make_unique<MetricsSink>(*metricsDuty_);
        parts_.dataCentre = DataCentreId(settings_->instance.dataCentre());
        parts_.routes = routes_;
        parts_.metrics = metricsSink_.get();
        parts_.ensureAdapter = [this](const TargetId& target, const ModelId& model, const AdapterId& adapter,
                                   TimePoint deadline) { return ensureAdapter(target, model, adapter, deadline); };
        setBudget(*settings_, assumedInstances);
        return absl::OkStatus();
    }

    absl::Status listen()
    {
        gatewayLog.info("instance={} data_centre={} callers={} peers={}:{} store={} starting", self_,
            settings_->instance.dataCentre(), settings_->callers.endpoint().toString(), settings_->peers.address(),
            settings_->peers.port(), settings_->platform.endpoint().toString());
        // From here on a signal that stops the instance finds requests that have to be answered first.
        controlDuty_->run([this] { watchSignals(); });
        control_ = std::make_unique<ControlPlane<Platform>>(*controlDuty_, controlOptions(), routes_, relayCallbacks());
        auto callers = HttpServer::listen(*relayDuty_, settings_->callers.endpoint(), serverOptions({}),
            [this](HttpExchange& exchange) { RelayedRequest<typename Platform::Dialect>(parts_, exchange).run(); });
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

    ControlOptions controlOptions() const
    {
        ControlOptions options{self_, settings_->instance.id(), {settings_->peers.address(), settings_->peers.port()},
            settings_->platform.endpoint(), {}};
        options.lease.lease = settings_->placement.lease();
        // Instances that see the lease end at the same time take it one after another.
        options.lease.acquireDelay
            = std::chrono::milliseconds(std::hash<std::string>()(self_.value()) % acquireDelaySpread);
        return options;
    }

    RelayCallbacks relayCallbacks()
    {
        RelayCallbacks port;
        port.targetUpdated = [this](const fleet::TargetRecord& record) {
            postToRelay([this, record] { parts_.registry.update(record); });
        };
        port.targetRemoved = [this](const TargetId& target) {
            postToRelay([this, target] {
                if (const fleet::TargetState* state = parts_.registry.find(target))
                    parts_.http.forget(state->record.endpoint);
                parts_.registry.remove(target);
            });
        };
        port.holdingsChanged
            = [this](const TargetId& target, fleet::TargetIncarnation incarnation, const fleet::Holdings& holdings) {
                  postToRelay([this, target, incarnation, holdings] {
                      parts_.registry.updateHoldings(target, incarnation, holdings);
                  });
              };
        port.peerWorkUpdated = [this](const InstanceId& peer, std::vector<fleet::TargetWorkReport> shares) {
            postToRelay([this, peer, shares = std::move(shares)] {
                parts_.registry.recordPeerWork(peer, shares, currentTime());
            });
        };
        port.connectivityUpdated = [this](bool placementReached, std::size_t instances) {
            if (placementReached != placementReached_ || instances != instances_)
                gatewayLog.info("placement_reached={} instances={}", placementReached, instances);
            placementReached_ = placementReached;
            instances_ = instances;
            postToRelay([this, placementReached, instances, settings = settings_] {
                parts_.placementReached = placementReached;
                setBudget(*settings, std::max(instances, assumedInstances));
            });
        };
        port.configurationChanged = [this](const fleet::RouteTable& table) { applyLimits(table.limits()); };
        port.readStatus = [this](MeshStatus& status) {
            const auto read = callOn(*relayInbox_, [this] { return readRelay(); });
            if (read.ok())
                status = *read;
        };
        return port;
    }

    MeshStatus readRelay()
    {
        MeshStatus status;
        status.work = toMessage(parts_.registry.ownWork());
        status.demand = toMessage(parts_.demand.read(currentTime()));
        auto used = std::exchange(parts_.recentlyUsedAdapters, {});
        for (const auto& [entry, count] : parts_.adaptersInUse)
            used.insert(entry);
        for (const auto& [target, model, adapter] : used)
            status.uses.push_back({target, model, adapter});
        return status;
    }

    void postToRelay(Inbox::Task task)
    {
        const absl::Status status = relayInbox_->submit(std::move(task));
        if (!status.ok())
            gatewayLog.error("a message to duty relay is dropped: {}", messageOf(status));
    }

    absl::Status ensureAdapter(
        const TargetId& target, const ModelId& model, const AdapterId& adapter, TimePoint deadline)
    {
        const auto result = callOn(*controlInbox_, [this, target, model, adapter, deadline] {
            return control_->ensureAdapter(target, model, adapter, deadline);
        });
        return result.ok() ? *result : result.status();
    }

    // The budget is shared by all instances, each of which takes an equal part.
    void setBudget(const GatewaySettings& settings, std::size_t instances)
    {
        fleet::ServiceRetryBudgetOptions options;
        options.part = settings.retries.part();
        options.share = settings.retries.slack() / static_cast<double>(instances);
        options.window
            = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(settings.retries.windowSeconds()));
        parts_.resends.setOptions(options);
    }

    static HttpServerOptions serverOptions(const fleet::CallerLimits& limits)
    {
        HttpServerOptions options;
        options.maxHeaderBytes = limits.headerBytes;
        options.maxBodyBytes = limits.bodyBytes;
        options.idleTimeout = limits.idleTimeout;
        options.headerTimeout = limits.headerTimeout;
        options.readTimeout = GatewayLimits::bodyTime;
        options.maxConnections = GatewayLimits::callerConnections;
        options.faultResponse = [](HttpFault fault) { return Platform::Dialect::ownAnswer(faultAnswer(fault)); };
        return options;
    }

    static OwnAnswer faultAnswer(HttpFault fault)
    {
        switch (fault) {
        case HttpFault::HeaderTooLarge:
            return {431, "the header is too large", std::nullopt};
        case HttpFault::BodyTooLarge:
            return {413, "the body is too large", std::nullopt};
        case HttpFault::TimedOut:
            return {408, "the request did not arrive in time", std::nullopt};
        case HttpFault::Malformed:
            return {400, "the request is malformed", std::nullopt};
        }
        return {400, "the request is malformed", std::nullopt};
    }

    void applyLimits(const fleet::CallerLimits& limits) { callers_->setLimits(serverOptions(limits)); }

    void answerReadiness(HttpExchange& exchange)
    {
        const bool ready = control_->isReady() && !stopping_.load();
        exchange.respond({ready ? 200 : 503, {}, ready ? "ready\n" : "not ready\n"}).IgnoreError();
    }

    void answerMetrics(HttpExchange& exchange)
    {
        const std::vector<Gauge> gauges{{"requests_in_flight", static_cast<double>(callers_->activeExchanges())},
            {"instances", static_cast<double>(instances_)},
            {"log_lines_dropped", static_cast<double>(droppedLogLines())}};
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
                gatewayLog.error("reload refused, the settings stay as they are: {}", error);
            return;
        }
        gatewayLog.info("instance={} settings reloaded", self_);
        settings_ = loaded.settings;
        postToRelay(
            [this, settings = settings_] { setBudget(*settings, std::max(instances_.load(), assumedInstances)); });
    }

    // Leaves the rotation, finishes what is under way and ends the process.
    void stop()
    {
        const TimePoint began = currentTime();
        while (!listening_.load())
            sleepFor(GatewayLimits::drainCheck);
        const auto grace
            = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(settings_->stop.graceSeconds()));
        const TimePoint limit = began + grace - GatewayLimits::closingTime;
        gatewayLog.info("instance={} stopping in_flight={}", self_, callers_->activeExchanges());
        callers_->closeAfterAnswers();
        control_->leave();
        sleepFor(std::min<Duration>(GatewayLimits::balancerLag, limit - began));
        callers_->stopAccepting();
        while (currentTime() < limit && callers_->activeExchanges() > 0)
            sleepFor(GatewayLimits::drainCheck);
        const std::size_t left = callers_->activeExchanges();
        gatewayLog.info("instance={} stopped cut_off={}", self_, left);
        // Answers that were just written leave before the process does.
        sleepFor(GatewayLimits::drainCheck);
        stopped_.set_value(left == 0 ? 0 : exitCutOff);
    }

    // The retry budget is shared by at least this many before the peers are known.
    static constexpr std::size_t assumedInstances = 6;
    static constexpr std::uint64_t acquireDelaySpread = 300;
    static constexpr int exitCutOff = 3;

    std::shared_ptr<const GatewaySettings> settings_;
    std::filesystem::path file_;
    std::shared_ptr<RuntimeClock> clock_;
    InstanceId self_;
    std::shared_ptr<Published<fleet::RouteTable>> routes_ = std::make_shared<Published<fleet::RouteTable>>(nullptr);
    std::unique_ptr<Duty> relayDuty_;
    std::unique_ptr<Duty> controlDuty_;
    std::unique_ptr<Duty> metricsDuty_;
    std::shared_ptr<Inbox> relayInbox_;
    std::shared_ptr<Inbox> controlInbox_;
    std::unique_ptr<MetricsSink> metricsSink_;
    RelayContext parts_;
    std::unique_ptr<ControlPlane<Platform>> control_;
    std::unique_ptr<HttpServer> callers_;
    std::unique_ptr<HttpServer> readiness_;
    std::unique_ptr<HttpServer> metrics_;
    // All parts exist.
    std::atomic<bool> listening_{false};
    std::unique_ptr<boost::asio::signal_set> signals_;
    bool placementReached_ = false;
    std::atomic<std::size_t> instances_{0};
    std::atomic<bool> stopping_{false};
    std::promise<int> stopped_;
};

} // namespace lychee::gateway
