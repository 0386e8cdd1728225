// One instance: starts its duties and components, connects them, and stops them gracefully.
#pragma once

#include "coordination/PeerMesh.h"
#include "daemon/CallerService.h"
#include "daemon/ControlService.h"
#include "daemon/OperatorService.h"
#include "daemon/Settings.h"
#include "transport/HttpServer.h"

#include <boost/asio/signal_set.hpp>

#include <future>

namespace lychee {

// Creates and connects the components of one process. The duties run until the process exits.
class Daemon {
public:
    // Starts all duties and listens on all ports. Fails when a duty cannot be started or a port cannot be bound.
    static absl::StatusOr<std::unique_ptr<Daemon>> start(std::shared_ptr<const Settings> settings);

    // Writes the bound ports to a file, as one line NAME=PORT each. The file is replaced atomically.
    absl::Status writePorts(const std::string& file) const;

    // Blocks until the instance has stopped. Returns the exit code of the process.
    int waitForStop();

private:
    enum class StopOutcome {
        Graceful,
        // Requests in flight were cut off.
        CutOff,
    };

    Daemon(std::shared_ptr<const Settings> settings, std::shared_ptr<RuntimeClock> clock);

    absl::Status startDuties();
    void createComponents();
    absl::Status listen();
    void startComponents();
    void watchSignals();
    void beginStop();
    void stop();
    bool isIdle() const;
    void observeTarget(const TargetObservation& observation);
    void startObservationReaders();
    std::vector<ArtifactDemand> localDemand();
    absl::Status ensureLoaded(const TargetId& target, const ArtifactId& artifact, TimePoint deadline);
    ControlOutputs controlOutputs();
    CrashingRequestGuardOutputs crashingRequestGuardOutputs();
    std::vector<Gauge> gauges();

    std::shared_ptr<const Settings> settings_;
    std::shared_ptr<RuntimeClock> clock_;
    InstanceId instance_;
    std::shared_ptr<Published<Configuration>> configuration_ = std::make_shared<Published<Configuration>>();
    std::shared_ptr<std::atomic<bool>> ready_ = std::make_shared<std::atomic<bool>>(true);

    std::unique_ptr<Duty> callers_;
    std::unique_ptr<Duty> targets_;
    std::unique_ptr<Duty> peers_;
    std::unique_ptr<Duty> platform_;
    std::unique_ptr<Duty> control_;
    std::unique_ptr<Duty> metrics_;
    std::shared_ptr<Inbox> callersInbox_;
    std::shared_ptr<Inbox> targetsInbox_;
    std::shared_ptr<Inbox> peersInbox_;
    std::shared_ptr<Inbox> platformInbox_;
    std::shared_ptr<Inbox> controlInbox_;
    std::shared_ptr<Ring<TargetObservation>> callerObservations_;
    std::shared_ptr<Ring<TargetObservation>> controlObservations_;

    std::unique_ptr<MetricsSink> metricsSink_;
    std::unique_ptr<PlatformGateway> platformGateway_;
    std::unique_ptr<TargetGateway> targetGateway_;
    std::unique_ptr<TargetControl> targetControl_;
    std::unique_ptr<TargetMonitor> targetMonitor_;
    std::unique_ptr<Dispatcher> dispatcher_;
    std::unique_ptr<CrashingRequestGuard> crashingRequestGuard_;
    std::unique_ptr<CallDependencies> callDependencies_;
    std::unique_ptr<CallerService> callerService_;
    std::unique_ptr<ControlService> controlService_;
    std::unique_ptr<OperatorService> operatorService_;
    std::unique_ptr<PeerMesh> mesh_;
    std::unique_ptr<HttpServer> callerServer_;
    std::unique_ptr<HttpServer> operatorServer_;
    std::unique_ptr<boost::asio::signal_set> signals_;
    std::atomic<int> stopRequests_{0};
    std::promise<StopOutcome> stopped_;
};

} // namespace lychee
