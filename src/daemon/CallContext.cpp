#include "daemon/CallContext.h"

#include "protocol/Digest.h"
#include "protocol/HeaderNames.h"
#include "protocol/ProtocolError.h"

#include <charconv>

namespace lychee {

namespace {

// Longest patience that a request may state in its header: one day.
constexpr std::int64_t maxPatienceMs = 86'400'000;

constexpr std::chrono::seconds trialRetryAfter{1};

// Headers of a single connection, and Lychee-Run, which is set anew for the caller. They are not forwarded.
constexpr std::array<std::string_view, 5> connectionHeaders{
    "connection", "transfer-encoding", "content-length", "keep-alive", "lychee-run"};

} // namespace

void answerError(const CallContext& context, const ErrorAnswer& error)
{
    HttpResponse response = toResponse(error);
    response.headers.set(header::requestId, context.id.value());
    context.exchange.respond(response).IgnoreError();
}

absl::Status answerWith(const CallContext& context, HttpResponse response, RunOutcome run)
{
    response.headers = contentHeaders(response.headers);
    response.headers.set(header::requestId, context.id.value());
    response.headers.set(header::run, runOutcomeText(run));
    return context.exchange.respond(response);
}

absl::StatusOr<TimePoint> patienceDeadline(const CallContext& context, const CallerClass& callerClass)
{
    std::chrono::milliseconds patience = callerClass.patience;
    if (const auto text = context.exchange.request().headers.find(header::patience)) {
        std::int64_t requested = 0;
        const auto result = std::from_chars(text->data(), text->data() + text->size(), requested);
        const bool isNumber = result.ec == std::errc() && result.ptr == text->data() + text->size();
        if (!isNumber || requested < 1 || requested > maxPatienceMs)
            return makeError(ProtocolError::Malformed,
                fmt::format("{} must be a whole number of milliseconds from 1 to {}", header::patience, maxPatienceMs));
        patience = std::min(patience, std::chrono::milliseconds(requested));
    }
    return context.arrival + patience;
}

BodyHash crashingBodyHash(const CallContext& context)
{
    const HttpRequest& request = context.exchange.request();
    // Each part is preceded by its length, so that two different requests can never give the same text to hash.
    return BodyHash(sha256Hex(fmt::format("{} {}\n{} {}\n{}", context.team.value().size(), context.team,
        request.target.size(), request.target, request.body)));
}

ErrorAnswer crashRefusal(BodyAdmission admission, bool mayHaveRun)
{
    const RunOutcome run = mayHaveRun ? RunOutcome::Unknown : RunOutcome::No;
    if (admission == BodyAdmission::Quarantined)
        return {422, "crashing_request", "targets crashed twice while running this request, so it is quarantined", run,
            std::nullopt};
    return {503, "suspected_request",
        "a target crashed while running this request, and no target was free to run it in isolation", run,
        trialRetryAfter};
}

HttpHeaders contentHeaders(const HttpHeaders& headers)
{
    HttpHeaders kept = headers;
    for (const std::string_view name : connectionHeaders)
        kept.remove(name);
    return kept;
}

} // namespace lychee
