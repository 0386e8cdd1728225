// Finds out whether a target is still the process that it was, after a connection to it has ended.
#pragma once

#include "fleet/TargetChoice.h"
#include "gateway/RelayDialect.h"
#include "gateway/RelayLimits.h"
#include "transport/TransportError.h"

namespace lychee::gateway {

// What a target has shown since a connection to it ended.
enum class TargetLife {
    // The process that was addressed has answered.
    Alive,
    // Nothing listens at its address, or another process answers there.
    Ended,
    // Neither is shown. That something accepts connections or answers at the address proves nothing.
    Unknown,
};

std::string_view nameOf(TargetLife life);

// What the identity that a process states shows of the target.
TargetLife lifeOf(const TargetIdentity& identity, const fleet::ChosenTarget& target);

struct TargetProbe {
    // A request of the dialect for the identity of the target.
    HttpRequest request;
    fleet::ChosenTarget target;
    // When the probe is given up, and when a call of it that is not answered.
    TimePoint deadline = TimePoint::max();
    Duration answerTimeout = std::chrono::hours(24);
    // Calls, each of which follows one whose connection was closed without an answer.
    int maxCalls = 6;
    // An answer that comes through a peer shows nothing of the direct way to the target.
    bool directOnly = false;
    // Ends the probe early; may be null.
    std::shared_ptr<HttpCancellation> cancellation;
};

// Asks the process at the target's endpoint who it is. Suspends the fiber.
template <RelayDialect Dialect> TargetLife probeTarget(ConnectionOpener& opener, TargetProbe probe)
{
    // A call that is given up says nothing of the connections that carry requests, so it shares none with them.
    HttpClient http(opener);
    HttpCallLimits limits;
    limits.headerTimeout = probe.answerTimeout;
    limits.connectTimeout = RelayLimits::connectTimeout;
    limits.deadline = probe.deadline;
    limits.maxBodyBytes = RelayLimits::maxIdentityBytes;
    limits.cancellation = probe.cancellation;
    // On a used connection, a late second answer to an earlier request would be taken for the identity.
    limits.freshConnection = true;
    // A process that ends closes its sockets one after another, so it may still accept a connection for a moment. A
    // sound target resets connections beyond the number that it takes. Both are asked again, after growing pauses.
    Duration pause = std::chrono::milliseconds(20);
    for (int calls = 0; calls < probe.maxCalls; ++calls) {
        if (calls > 0) {
            sleepFor(std::min<Duration>(pause, probe.deadline - currentTime()));
            pause *= 2;
        }
        const HttpOutcome<HttpResponse> outcome = http.call(probe.target.endpoint, probe.request, limits);
        if (outcome.status.ok()) {
            if (probe.directOnly && !outcome.isDirect)
                return TargetLife::Unknown;
            return lifeOf(Dialect::readIdentity(outcome.answer), probe.target);
        }
        const auto error = errorOf<TransportError>(outcome.status);
        if (error == TransportError::ConnectFailed)
            return TargetLife::Ended;
        if (error != TransportError::ConnectionClosed)
            return TargetLife::Unknown;
    }
    return TargetLife::Unknown;
}

} // namespace lychee::gateway
