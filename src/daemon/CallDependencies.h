// What the handlers of callers' requests depend on.
#pragma once

#include "daemon/CrashingRequestGuard.h"
#include "daemon/Dispatcher.h"
#include "daemon/MetricsSink.h"
#include "daemon/PlatformGateway.h"
#include "daemon/TargetGateway.h"

#include <atomic>

namespace lychee {

struct CallLimits {
    Duration connectTimeout = std::chrono::seconds(1);
    Duration interByteTimeout = std::chrono::seconds(20);
    // Age from which the outcome of a claim that another request holds is reported as unknown.
    std::chrono::milliseconds claimUnknownAfter{60000};
};

// Owned by the callers duty; outlives all requests.
struct CallDependencies {
    InstanceId instance;
    Duty& duty;
    Dispatcher& dispatcher;
    TargetGateway& targets;
    CrashingRequestGuard& crashes;
    PlatformGateway& platform;
    MetricsSink& metrics;
    CallLimits limits;
    // Asks the owner of a target to load an artifact, and waits until it is resident or the deadline has passed.
    std::function<absl::Status(const TargetId&, const ArtifactId&, TimePoint)> ensureLoaded;
    // Number of claims whose background work has not finished.
    std::shared_ptr<std::atomic<std::size_t>> openClaims = std::make_shared<std::atomic<std::size_t>>(0);
};

} // namespace lychee
