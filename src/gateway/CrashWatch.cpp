#include "gateway/CrashWatch.h"

#include "transport/Log.h"

#include <absl/cleanup/cleanup.h>

namespace lychee::gateway {

namespace {

constexpr LogChannel logChannel("crash");

} // namespace

fleet::CrashSuspect CrashWatch::suspectOf(
    const RequestId& attempt, const fleet::ChosenTarget& target, const LostRun& run)
{
    fleet::CrashSuspect suspect{
        {target.target, target.incarnation}, run.request, run.begun, currentTime() - run.sentAt};
    logChannel.info("request={} target={} born={} begun={} ran_ms={} connection lost before the end of the answer",
        attempt, target.target, target.incarnation, run.begun,
        std::chrono::duration_cast<std::chrono::milliseconds>(suspect.ran).count());
    return suspect;
}

void CrashWatch::connectionLost(const RequestId& attempt, const fleet::ChosenTarget& target, const LostRun& run,
    const std::function<TargetLife()>& probe)
{
    const fleet::CrashSuspect suspect = suspectOf(attempt, target, run);
    if (attribution_.knows(suspect.crash))
        return recordOwn({suspect});
    const auto running = probes_.find(suspect.crash);
    if (running != probes_.end()) {
        FiberEvent done;
        running->second.suspects.push_back(suspect);
        running->second.waiters.push_back(&done);
        done.wait();
        return;
    }
    probes_[suspect.crash].suspects.push_back(suspect);
    TargetLife life = TargetLife::Unknown;
    // Also after an exception, because the other requests wait without a limit.
    const absl::Cleanup finish = [&] {
        const Probe finished = std::move(probes_.extract(suspect.crash).mapped());
        logChannel.info("target={} born={} lost_requests={} life={}", suspect.crash.target, suspect.crash.incarnation,
            finished.suspects.size(), nameOf(life));
        if (life == TargetLife::Ended)
            recordOwn(finished.suspects);
        for (FiberEvent* waiter : finished.waiters)
            waiter->notify();
    };
    life = probe();
}

void CrashWatch::targetCrashed(const RequestId& attempt, const fleet::ChosenTarget& target, const LostRun& run)
{
    recordOwn({suspectOf(attempt, target, run)});
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
