#include "daemon/CallerService.h"

#include "daemon/CompletionCall.h"
#include "daemon/ServiceCall.h"
#include "protocol/Digest.h"
#include "protocol/HeaderNames.h"

namespace lychee {

namespace {

constexpr std::string_view servicesPrefix = "/v1/services/";
constexpr std::string_view requestsPrefix = "/v1/requests/";
constexpr std::string_view bearerPrefix = "Bearer ";
constexpr std::size_t maxAuthorizationBytes = 512;

// Time limit of reading the state of a claim for a caller or an operator.
constexpr Duration claimReadTimeout = std::chrono::seconds(2);

bool isCompletionPath(std::string_view path) { return path == "/v1/chat/completions" || path == "/v1/completions"; }

} // namespace

HttpResponse faultResponse(HttpFault fault)
{
    switch (fault) {
    case HttpFault::HeaderTooLarge:
        return toResponse({431, "header_too_large", "the request header exceeds the size limit"});
    case HttpFault::BodyTooLarge:
        return toResponse({413, "body_too_large", "the request body exceeds the size limit"});
    case HttpFault::TimedOut:
        return toResponse({408, "request_timeout", "the request was not received completely within the time limit"});
    case HttpFault::OutOfMemory:
        return toResponse({503, "overloaded", "the requests in progress use up the memory for them"});
    case HttpFault::Malformed:
        break;
    }
    return toResponse({400, "malformed_request", "not a valid HTTP request"});
}

std::optional<std::string_view> bearerToken(const HttpRequest& request)
{
    const auto value = request.headers.find(header::authorization);
    if (!value.has_value() || !value->starts_with(bearerPrefix) || value->size() > maxAuthorizationBytes)
        return std::nullopt;
    return value->substr(bearerPrefix.size());
}

absl::StatusOr<std::optional<nlohmann::json>> describeClaim(
    PlatformGateway& platform, const TeamId& team, const IdempotencyKey& key, std::chrono::milliseconds unknownAfter)
{
    const RowKey rowKey{std::string(claimsTable), claimRowKey(team, key)};
    const absl::StatusOr<Row> row = platform.read(rowKey, currentTime() + claimReadTimeout);
    if (!row.ok())
        return row.status();
    const absl::StatusOr<std::optional<VersionedClaim>> claim = parseClaim(*row);
    if (!claim.ok())
        return claim.status();
    if (!claim->has_value())
        return std::nullopt;
    const ClaimRow& found = (*claim)->row;
    const bool isOverdue = wallClockMilliseconds() - found.createdMs > unknownAfter.count();
    const bool unknown = found.state == ClaimState::Running && isOverdue;
    return nlohmann::json{{"team", team}, {"key", key},
        {"state", unknown ? std::string("unknown") : std::string(claimStateName(found.state))},
        {"status", found.answer.status}, {"created_ms", found.createdMs}, {"owner", found.ownerInstance}};
}

CallerService::CallerService(CallDependencies& dependencies, std::shared_ptr<std::atomic<bool>> ready,
    std::function<std::vector<Gauge>()> gauges)
    : dependencies_(dependencies)
    , ready_(std::move(ready))
    , gauges_(std::move(gauges))
    , configuration_(std::make_shared<const Configuration>())
{
}

void CallerService::adopt(const std::shared_ptr<const Configuration>& configuration)
{
    configuration_ = configuration;
    dependencies_.dispatcher.adopt(configuration);
    teamsByToken_.clear();
    for (const Team& team : configuration->teams)
        teamsByToken_[team.tokenSha256] = team.id;
}

RequestId CallerService::nextRequestId()
{
    return RequestId(fmt::format("{}-{}", dependencies_.instance, ++requestCount_));
}

void CallerService::handle(HttpExchange& exchange)
{
    const std::string_view path = exchange.request().path();
    if (path == "/healthz") {
        exchange.respond({200, {}, "ok\n"}).IgnoreError();
        return;
    }
    if (path == "/readyz") {
        const bool ready = ready_->load() && configuration_->version != ConfigurationVersion();
        exchange.respond({ready ? 200 : 503, {}, ready ? "ready\n" : "not ready\n"}).IgnoreError();
        return;
    }
    if (path == "/metrics") {
        exchange
            .respond({200, {{header::contentType, "text/plain; version=0.0.4"}},
                dependencies_.metrics.prometheusText(gauges_())})
            .IgnoreError();
        return;
    }
    std::optional<CallContext> context = authenticate(exchange);
    if (!context.has_value())
        return;
    if (isCompletionPath(path) && exchange.request().method == "POST") {
        if (std::optional<CompletionCall> call = CompletionCall::create(dependencies_, *std::move(context)))
            call->run();
    } else if (path.starts_with(servicesPrefix)) {
        if (std::optional<ServiceCallHandler> call = ServiceCallHandler::create(dependencies_, *std::move(context)))
            call->run();
    } else if (path.starts_with(requestsPrefix) && exchange.request().method == "GET") {
        handleRequestState(*context);
    } else {
        answerError(*context, {404, "unknown_path", "no such path"});
    }
}

std::optional<CallContext> CallerService::authenticate(HttpExchange& exchange)
{
    CallContext context{exchange, nextRequestId(), TeamId(), configuration_, currentTime()};
    const std::optional<std::string_view> token = bearerToken(exchange.request());
    const auto team = token.has_value() ? teamsByToken_.find(sha256Hex(*token)) : teamsByToken_.end();
    if (team == teamsByToken_.end()) {
        answerError(
            context, {401, "unauthorized", "a valid team token is required as \"Authorization: Bearer TOKEN\""});
        return std::nullopt;
    }
    context.team = team->second;
    return context;
}

void CallerService::handleRequestState(const CallContext& context)
{
    const IdempotencyKey key(std::string(context.exchange.request().path().substr(requestsPrefix.size())));
    const absl::StatusOr<std::optional<nlohmann::json>> claim
        = describeClaim(dependencies_.platform, context.team, key, dependencies_.limits.claimUnknownAfter);
    if (!claim.ok())
        answerError(
            context, {503, "platform_unreachable", "the state of the call could not be read from the platform"});
    else if (!claim->has_value())
        answerError(context, {404, "unknown_key", "no call with this idempotency key is known"});
    else
        context.exchange.respond(jsonResponse(200, **claim)).IgnoreError();
}

} // namespace lychee
