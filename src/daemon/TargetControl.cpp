#include "daemon/TargetControl.h"

#include "transport/Log.h"

namespace lychee {

namespace {

constexpr LogChannel logChannel("orders");

constexpr Duration connectTimeout = std::chrono::seconds(1);
constexpr Duration reportTimeout = std::chrono::seconds(2);

// The engine answers a load when the artifact is resident, which can take long for a model.
constexpr Duration orderTimeout = std::chrono::seconds(80);

std::optional<TimedReport> fetchReport(HttpClient& client, const Endpoint& endpoint, bool fresh)
{
    HttpCallLimits limits;
    limits.connectTimeout = connectTimeout;
    limits.deadline = currentTime() + reportTimeout;
    limits.freshConnection = fresh;
    limits.maxBodyBytes = maxReportBytes;
    TimedReport timed;
    timed.requestedAt = currentTime();
    const HttpOutcome<HttpResponse> outcome = client.call(endpoint, {"GET", "/control/report"}, limits);
    if (!outcome.status.ok() || outcome.answer.status != 200)
        return std::nullopt;
    absl::StatusOr<EngineReport> report = decodeReport(outcome.answer.body);
    if (!report.ok()) {
        logChannel.warning("The report of {} is malformed: {}.", endpoint.toString(), messageOf(report.status()));
        return std::nullopt;
    }
    timed.report = *std::move(report);
    return timed;
}

OrderResult sendOnce(const Endpoint& endpoint, const EngineOrder& order, const EngineIncarnation& incarnation)
{
    // The client is used for this order only, so the order is sent on the connection on which the report arrived.
    HttpClient client;
    const std::optional<TimedReport> timed = fetchReport(client, endpoint, true);
    if (!timed.has_value() || timed->report.incarnation != incarnation)
        return {OrderDelivery::NotSent, {}};
    HttpCallLimits limits;
    limits.deadline = currentTime() + orderTimeout;
    limits.interByteTimeout = orderTimeout;
    limits.pooledOnly = true;
    const HttpRequest request{"POST", "/control/orders", {{"Content-Type", "application/json"}}, encodeOrder(order)};
    const HttpOutcome<HttpResponse> outcome = client.call(endpoint, request, limits);
    if (!outcome.status.ok())
        return {outcome.sent ? OrderDelivery::OutcomeUnknown : OrderDelivery::NotSent, {}};
    absl::StatusOr<OrderAnswer> answer = decodeOrderAnswer(outcome.answer.body);
    if (!answer.ok() || answer->id != order.id)
        return {OrderDelivery::OutcomeUnknown, {}};
    return {OrderDelivery::Answered, *std::move(answer)};
}

} // namespace

TargetControl::TargetControl(std::shared_ptr<Inbox> inbox)
    : inbox_(std::move(inbox))
{
}

OrderResult TargetControl::send(const Target& target, const EngineOrder& order, const EngineIncarnation& incarnation)
{
    const absl::StatusOr<OrderResult> result = callOn(
        *inbox_, [endpoint = target.endpoint, order, incarnation] { return sendOnce(endpoint, order, incarnation); });
    return result.ok() ? *result : OrderResult{};
}

std::optional<TimedReport> TargetControl::report(const Target& target)
{
    const absl::StatusOr<std::optional<TimedReport>> timed = callOn(*inbox_, [endpoint = target.endpoint] {
        HttpClient client;
        return fetchReport(client, endpoint, true);
    });
    return timed.ok() ? *timed : std::nullopt;
}

} // namespace lychee
