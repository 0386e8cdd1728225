#include "daemon/TargetGateway.h"

#include "transport/SocketOperation.h"

namespace lychee {

namespace {

// Events that may wait for the caller's duty. While the ring is full, nothing is read from the target.
constexpr std::size_t eventCapacity = 64;

using EventRing = Ring<AttemptEvent>;

bool deliver(EventRing& events, AttemptEvent event) { return events.pushBefore(event, TimePoint::max()).ok(); }

// The connection of a target that is killed ends as regularly as that of one that has finished, also when a proxy is in
// between, so without a length or chunks the end does not show that the body is whole.
AttemptEvent endOf(const HttpStream& stream)
{
    if (stream.isDelimited())
        return AttemptEnd{};
    return AttemptFailure{
        makeError(TransportError::ConnectionClosed, "the answer has neither a length nor chunks and may be cut"), true};
}

void runAttempt(HttpClient& client, const Endpoint& endpoint, const HttpRequest& request, const HttpCallLimits& limits,
    EventRing& events)
{
    HttpOutcome<std::unique_ptr<HttpStream>> opened = client.open(endpoint, request, limits);
    if (!opened.status.ok()) {
        deliver(events, AttemptFailure{opened.status, opened.sent});
        return;
    }
    HttpStream& stream = *opened.answer;
    if (!deliver(events, AttemptHead{stream.status(), stream.headers()}))
        return;
    while (true) {
        absl::StatusOr<std::optional<std::string>> chunk = stream.read();
        if (!chunk.ok()) {
            deliver(events, AttemptFailure{chunk.status(), true});
            return;
        }
        if (!chunk->has_value()) {
            deliver(events, endOf(stream));
            return;
        }
        if (!deliver(events, AttemptBodyChunk{**std::move(chunk)}))
            return;
    }
}

} // namespace

Attempt::~Attempt() { events_->close(); }

AttemptEvent Attempt::next()
{
    std::optional<AttemptEvent> event = events_->pop();
    if (!event.has_value())
        return AttemptFailure{makeError(TransportError::Stopped, "attempt was cancelled"), true};
    return *std::move(event);
}

TargetGateway::TargetGateway(std::shared_ptr<Inbox> inbox)
    : inbox_(std::move(inbox))
{
}

absl::StatusOr<std::unique_ptr<Attempt>> TargetGateway::start(
    const Endpoint& endpoint, HttpRequest request, const HttpCallLimits& limits)
{
    std::shared_ptr<EventRing> events = EventRing::create(*Duty::current(), eventCapacity);
    const absl::Status status
        = inbox_->submit([client = client_, endpoint, request = std::move(request), limits, events] {
              runAttempt(*client, endpoint, request, limits, *events);
          });
    if (!status.ok())
        return status;
    return std::make_unique<Attempt>(std::move(events));
}

absl::Status TargetGateway::connect(const Endpoint& endpoint, Duration timeout)
{
    const absl::StatusOr<absl::Status> status = callOn(
        *inbox_, [=] { return connectSocket(endpoint.address, endpoint.port, currentTime() + timeout).status(); });
    return status.ok() ? *status : status.status();
}

HttpOutcome<HttpResponse> TargetGateway::call(
    const Endpoint& endpoint, HttpRequest request, const HttpCallLimits& limits)
{
    const absl::StatusOr<std::unique_ptr<Attempt>> attempt = start(endpoint, std::move(request), limits);
    if (!attempt.ok())
        return {attempt.status(), false, {}};
    HttpOutcome<HttpResponse> outcome{absl::OkStatus(), true, {}};
    while (true) {
        AttemptEvent event = (*attempt)->next();
        if (auto* head = std::get_if<AttemptHead>(&event)) {
            outcome.answer.status = head->status;
            outcome.answer.headers = std::move(head->headers);
        } else if (auto* chunk = std::get_if<AttemptBodyChunk>(&event)) {
            outcome.answer.body += chunk->bytes;
        } else if (auto* failure = std::get_if<AttemptFailure>(&event)) {
            outcome.status = failure->status;
            outcome.sent = failure->sent;
            return outcome;
        } else {
            return outcome;
        }
    }
}

} // namespace lychee
