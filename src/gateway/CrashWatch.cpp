#include "gateway/CrashWatch.h"

#include "transport/Log.h"
#include "transport/SocketOperation.h"

namespace lychee::gateway {

namespace {

constexpr LogChannel logChannel("crash");

// Targets answer a connection attempt within a few milliseconds; one that does not answer at all may only be cut off.
constexpr Duration probeTimeout = std::chrono::milliseconds(150);

// A process that ends closes its sockets one after another, so it may still accept a connection for a moment.
constexpr int maxProbes = 2;
constexpr Duration probeInterval = std::chrono::milliseconds(20);

// A process that has crashed refuses connections. One that has lost a single connection accepts the next.
bool refusesConnections(const Endpoint& endpoint)
{
    for (int probe = 0; probe < maxProbes; ++probe) {
        if (probe > 0)
            sleepFor(probeInterval);
        const auto socket = connectSocket(endpoint.address, endpoint.port, currentTime() + probeTimeout);
        if (!socket.ok())
            return errorOf<TransportError>(socket.status()) == TransportError::ConnectFailed;
    }
    return false;
}

} // namespace

void CrashWatch::connectionLost(
    const RequestId& attempt, const fleet::ChosenTarget& target, const fleet::RequestTraits& request)
{
    const fleet::TargetCrash crash{target.target, target.incarnation};
    const bool crashed = attribution_.knows(crash) || refusesConnections(target.endpoint);
    logChannel.info("request={} target={} born={} connection lost before the answer, crashed={}", attempt,
        target.target, target.incarnation, crashed);
    if (!crashed)
        return;
    const fleet::CrashSuspect suspect{crash, request};
    record(suspect, true);
    if (outputs_.suspectFound)
        outputs_.suspectFound(suspect);
}

void CrashWatch::answerBegan(const fleet::RequestTraits& request)
{
    const std::vector<fleet::RequestTrait> cleared = attribution_.recordAnswered(request);
    if (!cleared.empty() && outputs_.traitsCleared)
        outputs_.traitsCleared(cleared);
}

void CrashWatch::suspectReported(const fleet::CrashSuspect& suspect) { record(suspect, false); }

void CrashWatch::record(const fleet::CrashSuspect& suspect, bool ownObservation)
{
    for (const fleet::RequestTrait trait : attribution_.recordSuspect(suspect, ownObservation, currentTime())) {
        logChannel.warning("trait={:x} kind=\"{}\" blocked, last crash target={} born={}", trait.value(),
            trait == suspect.request.content ? "request" : "prompt part", suspect.crash.target,
            suspect.crash.incarnation);
    }
}

} // namespace lychee::gateway
