// Sends requests to targets from the targets duty, and passes the answers to the caller's duty in chunks.
#pragma once

#include "transport/HttpClient.h"
#include "transport/Inbox.h"

#include <variant>

namespace lychee {

// The status and headers of an answer.
struct AttemptHead {
    int status = 0;
    HttpHeaders headers;
};

// A chunk of the body.
struct AttemptBodyChunk {
    std::string bytes;
};

// The body is complete, as its length or its last chunk shows.
struct AttemptEnd { };

// The attempt ended before its answer was complete.
struct AttemptFailure {
    absl::Status status;
    // Whether a byte of the request may have reached the target.
    bool sent = false;
};

using AttemptEvent = std::variant<AttemptHead, AttemptBodyChunk, AttemptEnd, AttemptFailure>;

// One attempt, as seen by the fiber that started it. Destroying it cancels the attempt by closing its connection.
class Attempt {
public:
    explicit Attempt(std::shared_ptr<Ring<AttemptEvent>> events)
        : events_(std::move(events))
    {
    }

    ~Attempt();

    Attempt(const Attempt&) = delete;
    Attempt& operator=(const Attempt&) = delete;

    // Suspends until the next event. The last one is AttemptEnd or AttemptFailure, which arrives by the deadline of the
    // attempt's limits.
    AttemptEvent next();

    // Cancels the attempt: after the events that were already received, next() returns AttemptFailure with
    // TransportError::Stopped.
    void cancel() { events_->close(); }

private:
    std::shared_ptr<Ring<AttemptEvent>> events_;
};

// Starts attempts. An attempt has exclusive use of its connection until its answer is complete.
class TargetGateway {
public:
    // `inbox` belongs to the targets duty.
    explicit TargetGateway(std::shared_ptr<Inbox> inbox);

    // Starts an attempt from a fiber of any duty. Fails, without sending anything, when the targets duty is overloaded.
    absl::StatusOr<std::unique_ptr<Attempt>> start(
        const Endpoint& endpoint, HttpRequest request, const HttpCallLimits& limits);

    // Sends a request and returns the complete answer. When it fails after the header of the answer, the outcome has
    // the header.
    HttpOutcome<HttpResponse> call(const Endpoint& endpoint, HttpRequest request, const HttpCallLimits& limits);

    // Opens a connection and closes it without sending anything. Fails with TransportError::ConnectFailed when the
    // target refuses it, or with TransportError::TimedOut.
    absl::Status connect(const Endpoint& endpoint, Duration timeout);

private:
    std::shared_ptr<Inbox> inbox_;
    std::shared_ptr<HttpClient> client_ = std::make_shared<HttpClient>();
};

} // namespace lychee
