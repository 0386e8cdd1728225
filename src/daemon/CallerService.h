// The HTTP interface for callers: authenticates and routes requests, and starts their handlers.
#pragma once

#include "daemon/CallContext.h"
#include "daemon/CallDependencies.h"

#include <atomic>

namespace lychee {

// Must be used on the callers duty only.
class CallerService {
public:
    // `ready` is true while this instance accepts new work; /readyz reports it. `gauges` returns the values that
    // /metrics shows in addition to the collected samples.
    CallerService(CallDependencies& dependencies, std::shared_ptr<std::atomic<bool>> ready,
        std::function<std::vector<Gauge>()> gauges);

    // Answers one request, or starts the handler that answers it.
    void handle(HttpExchange& exchange);

    // Replaces the configuration, and with it the team tokens, for all later requests.
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
    std::uint64_t requestCount_ = 0;
};

// The error response to a request that is malformed, too large or too slow.
HttpResponse faultResponse(HttpFault fault);

// The token of the header "Authorization: Bearer TOKEN"; nothing when the header is missing, has another scheme or is
// longer than 512 bytes.
std::optional<std::string_view> bearerToken(const HttpRequest& request);

// The state of a claim as JSON for callers and operators; nothing when there is no claim for the key. A claim that is
// still running `unknownAfter` after its creation is reported as unknown. Fails when the platform cannot be read.
absl::StatusOr<std::optional<nlohmann::json>> describeClaim(
    PlatformGateway& platform, const TeamId& team, const IdempotencyKey& key, std::chrono::milliseconds unknownAfter);

} // namespace lychee
