// The callers' HTTP interface: routes requests, checks tokens, and starts the handlers.
#pragma once

#include "daemon/CallContext.h"
#include "daemon/CallDependencies.h"

#include <atomic>

namespace lychee {

// Runs on the callers duty.
class CallerService {
public:
    // `ready` tells whether this instance takes new work.
    CallerService(CallDependencies& dependencies, std::shared_ptr<std::atomic<bool>> ready,
        std::function<std::vector<Gauge>()> gauges);

    // Handles one request.
    void handle(HttpExchange& exchange);

    // Takes over a configuration.
    void adopt(const std::shared_ptr<const Configuration>& configuration);

private:
    std::optional<CallContext> authenticate(HttpExchange& exchange);
    void handleRequestState(const CallContext& context);
    RequestId nextRequestId();

    CallDependencies& dependencies_;
    std::shared_ptr<std::atomic<bool>> ready_;
    std::function<std::vector<Gauge>()> gauges_;
    std::unordered_map<std::string, TeamId> teamsByToken_;
    std::shared_ptr<const Configuration> configuration_;
    std::uint64_t requests_ = 0;
};

// The answer to a request that breaks the limits of HTTP.
HttpResponse faultResponse(HttpFault fault);

// Token of a header "Bearer TOKEN", or nothing.
std::optional<std::string_view> bearerToken(const HttpRequest& request);

// The state of a claim as shown to callers and operators, or nothing when there is no claim under the key.
absl::StatusOr<std::optional<nlohmann::json>> describeClaim(
    PlatformGateway& platform, const TeamId& team, const IdempotencyKey& key, std::chrono::milliseconds unknownAfter);

} // namespace lychee
