// Translation between the HTTP headers of a platform and the types of the relay. A dialect takes no decisions.
#pragma once

#include "fleet/RouteTable.h"
#include "fleet/TargetRegistry.h"
#include "fleet/UrgencyPolicy.h"
#include "transport/HttpClient.h"

#include <concepts>

namespace lychee::gateway {

// Values that the gateway sets in the headers of a request that it forwards to a target.
struct ForwardParameters {
    TargetId target;
    // Time left until the deadline of the request.
    Duration remaining{0};
    fleet::Urgency urgency = fleet::UrgencyPolicy::standard;
    // Id of the last event that the caller has received, when a stream is resumed.
    std::optional<std::uint64_t> resumeAfter;
    // The engine from which the target fetches cached parts of the prompt.
    std::optional<Endpoint> cacheSource;
    // The customer that sent the request; empty when it needs none.
    fleet::CustomerId customer;
};

// What the status and the headers of a target's answer say about it.
struct TargetAnswer {
    // The answer carries the proof that a target handled the request, and its body is as the target sent it.
    bool genuine = false;
    // The target states that it has not run the request, so that it may be sent again.
    bool notRun = false;
    // The target is not the one that was addressed, or does not hold the model or adapter of the request.
    bool misdirected = false;
    // The target is about to leave and should get no further requests.
    bool leaving = false;
    // The target has declined the request and wants no further one for this time.
    std::optional<Duration> declinesFor;
    // The requests per second that the target takes from all instances together, if it limits them.
    std::optional<double> requestsPerSecond;
    // The target fails when it has to turn away many requests in a short time.
    bool brittle = false;
    // The answer can continue a stream of events.
    bool eventStream = false;
    // The load that the target reports, if it does.
    std::optional<fleet::ReportedLoad> load;
};

// What the answer to a request for the identity of a target says about who gave it.
struct TargetIdentity {
    // The answer has a sign that only the addressed target gives.
    bool isStated = false;
    // The process is not the target that was addressed.
    bool misdirected = false;
    // Absent where the answer does not state them.
    std::optional<TargetId> target;
    std::optional<fleet::TargetIncarnation> incarnation;
};

// An answer that the gateway generates itself instead of forwarding one from a target.
struct LocalResponse {
    int status = 503;
    std::string reason;
    // Time after which the caller may send the request again.
    std::optional<Duration> retryAfter;
};

template <typename Dialect>
concept RelayDialect = requires(const HttpRequest& request, const HttpHeaders& headers,
    const ForwardParameters& parameters, const RequestId& attempt, const LocalResponse& response, ConnectionUse use,
    const fleet::Service& service, const TargetId& target, const HttpResponse& answer)
{
    {
        Dialect::readRequest(request)
        } -> std::same_as<fleet::CallerRequest>;
    {
        Dialect::targetRequest(request, parameters)
        } -> std::same_as<HttpRequest>;
    {
        Dialect::readAnswer(int{}, headers)
        } -> std::same_as<TargetAnswer>;
    {
        Dialect::belongs(headers, attempt, use)
        } -> std::same_as<bool>;
    {
        Dialect::identityRequest(service, target)
        } -> std::same_as<HttpRequest>;
    {
        Dialect::readIdentity(answer)
        } -> std::same_as<TargetIdentity>;
    {
        Dialect::callerHeaders(headers)
        } -> std::same_as<HttpHeaders>;
    {
        Dialect::localResponse(response)
        } -> std::same_as<HttpResponse>;
};

} // namespace lychee::gateway
