// How the relay speaks with callers and targets. A dialect translates headers and decides nothing.
#pragma once

#include "fleet/CallerRequest.h"
#include "transport/HttpMessage.h"

#include <concepts>

namespace lychee::gateway {

// What the gateway adds to a request for one target.
struct TargetSend {
    TargetId target;
    // Time left until the answer has to be there.
    Duration remaining{0};
    // 0 is the most urgent, 9 the least.
    int urgency = 0;
    // Continues a stream after this event.
    std::optional<std::uint64_t> resumeAfter;
};

// What a target's answer says beside its body.
struct TargetAnswer {
    // Carries the proof that it comes from a target that handled the request, with a body as the target made it.
    bool genuine = false;
    // The target states that it has not run the request.
    bool notRun = false;
    // The target is not the one that was addressed, or does not hold what the request needs.
    bool misdirected = false;
};

// An answer that the gateway gives itself.
struct OwnAnswer {
    int status = 503;
    std::string reason;
    // When the caller may come back.
    std::optional<Duration> retryAfter;
};

template <typename Dialect>
concept RelayDialect = requires(const HttpRequest& request, const HttpHeaders& headers, const TargetSend& send,
    const RequestId& attempt, const OwnAnswer& own)
{
    {
        Dialect::readRequest(request)
        } -> std::same_as<fleet::CallerRequest>;
    {
        Dialect::targetRequest(request, send)
        } -> std::same_as<HttpRequest>;
    {
        Dialect::readAnswer(int{}, headers)
        } -> std::same_as<TargetAnswer>;
    {
        Dialect::belongs(headers, attempt)
        } -> std::same_as<bool>;
    {
        Dialect::callerHeaders(headers)
        } -> std::same_as<HttpHeaders>;
    {
        Dialect::ownAnswer(own)
        } -> std::same_as<HttpResponse>;
};

} // namespace lychee::gateway
