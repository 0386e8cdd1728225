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

} // namespace

CrashWatch::CrashWatch()
    : connect_([](const Endpoint& endpoint) {
        return connectSocket(endpoint.address, endpoint.port, currentTime() + probeTimeout).status();
    })
{
}

// A process that has crashed refuses connections. One that has lost a single connection accepts the next.
bool CrashWatch::refusesConnections(const Endpoint& endpoint) const
{
    for (int probe = 0; probe < maxProbes; ++probe) {
        if (probe > 0)
            sleepFor(probeInterval);
        const absl::Status status = connect_(endpoint);
        if (!status.ok())
            return errorOf<TransportError>(status) == TransportError::ConnectFailed;
    }
    return false;
}

bool CrashWatch::connectionLost(const RequestId& attempt, const fleet::ChosenTarget& target, const LostRun& run)
{
    const fleet::CrashSuspect suspect{
        {target.target, target.incarnation}, run.request, run.begun, currentTime() - run.sentAt};
    logChannel.info("request={} target={} born={} begun={} ran_ms={} connection lost before the end of the answer",
        attempt, target.target, target.incarnation, run.begun,
        std::chrono::duration_cast<std::chrono::milliseconds>(suspect.ran).count());
    if (attribution_.knows(suspect.crash)) {
        recordOwn({suspect});
        return true;
    }
    const auto running = probes_.find(suspect.crash);
    if (running == probes_.end())
        return probe(target, suspect);
    FiberEvent done;
    running->second.suspects.push_back(suspect);
    running->second.waiters.push_back(&done);
    const std::shared_ptr<bool> crashed = running->second.crashed;
    done.wait();
    return *crashed;
}

bool CrashWatch::probe(const fleet::ChosenTarget& target, const fleet::CrashSuspect& suspect)
{
    probes_[suspect.crash].suspects.push_back(suspect);
    const bool crashed = refusesConnections(target.endpoint);
    const Probe probe = std::move(probes_.extract(suspect.crash).mapped());
    logChannel.info("target={} born={} lost_requests={} crashed={}", target.target, target.incarnation,
        probe.suspects.size(), crashed);
    if (crashed)
        recordOwn(probe.suspects);
    *probe.crashed = crashed;
    for (FiberEvent* waiter : probe.waiters)
        waiter->notify();
    return crashed;
}

void CrashWatch::recordOwn(const std::vector<fleet::CrashSuspect>& suspects)
{
    record(suspects, true);
    if (outputs_.suspectsFound)
        outputs_.suspectsFound(suspects);
}

void CrashWatch::answerCompleted(const fleet::RequestTraits& request)
{
    const std::vector<fleet::RequestTrait> cleared = attribution_.recordAnswered(request);
    if (!cleared.empty() && outputs_.traitsCleared)
        outputs_.traitsCleared(cleared);
}

void CrashWatch::suspectsReported(std::span<const fleet::CrashSuspect> suspects) { record(suspects, false); }

void CrashWatch::record(std::span<const fleet::CrashSuspect> suspects, bool ownObservation)
{
    for (const fleet::RequestTrait trait : attribution_.recordSuspects(suspects, ownObservation, currentTime())) {
        const bool isContent = std::any_of(suspects.begin(), suspects.end(),
            [&](const fleet::CrashSuspect& suspect) { return suspect.request.content == trait; });
        logChannel.warning("trait={:x} kind=\"{}\" blocked, last crash target={} born={}", trait.value(),
            isContent ? "request" : "prompt part", suspects.front().crash.target, suspects.front().crash.incarnation);
    }
}

} // namespace lychee::gateway
