// Observes crashes of targets on behalf of the relayed requests, and refuses requests that would crash more of them.
#pragma once

#include "fleet/CrashAttribution.h"
#include "gateway/TargetProbe.h"
#include "transport/Duty.h"
#include "transport/FiberEvent.h"

#include <functional>

namespace lychee::gateway {

// Functions that tell the peers what this instance has observed. They do not suspend the fiber.
struct CrashWatchOutputs {
    // The suspects of one crash.
    std::function<void(const std::vector<fleet::CrashSuspect>&)> suspectsFound;
    std::function<void(const std::vector<fleet::RequestTrait>&)> traitsCleared;
};

// What an instance that joins has to know.
struct CrashKnowledge {
    std::vector<fleet::CrashSuspect> suspects;
    std::vector<fleet::BlockedTrait> blocked;
};

// A run of a request whose answer did not end.
struct LostRun {
    fleet::RequestTraits request;
    TimePoint sentAt;
    // The target had begun to answer.
    bool begun = false;
};

// Accessed on the relay duty only.
class CrashWatch {
public:
    void setOutputs(CrashWatchOutputs outputs) { outputs_ = std::move(outputs); }

    // Whether nothing is suspected or blocked, so that the traits of requests need not be computed.
    bool isQuiet() { return attribution_.isEmpty(currentTime()); }

    fleet::CrashAdmission admit(const fleet::RequestTraits& request)
    {
        return attribution_.admit(request, currentTime());
    }

    bool isBlocked(const fleet::RequestTraits& request) const { return attribution_.isBlocked(request, currentTime()); }

    Duration blockedFor(const fleet::RequestTraits& request) const
    {
        return attribution_.blockedFor(request, currentTime());
    }

    // Records that the connection to a target was lost before the end of its answer. Finds out by `probe`, which
    // suspends the fiber, whether the target has crashed.
    void connectionLost(const RequestId& attempt, const fleet::ChosenTarget& target, const LostRun& run,
        const std::function<TargetLife()>& probe);

    // Records that a target has crashed while it was working on a request.
    void targetCrashed(const RequestId& attempt, const fleet::ChosenTarget& target, const LostRun& run);

    // Records that a target answered the request from its beginning to its end.
    void answerCompleted(const fleet::RequestTraits& request);

    // Applies what a peer has observed.
    void suspectsReported(std::span<const fleet::CrashSuspect> suspects);
    void clearingReported(std::span<const fleet::RequestTrait> traits) { attribution_.clear(traits); }
    void blockReported(const fleet::BlockedTrait& blocked) { attribution_.block(blocked, currentTime()); }

    CrashKnowledge knowledge()
    {
        return {attribution_.suspects(currentTime()), attribution_.blockedTraits(currentTime())};
    }

private:
    // Requests that were lost on the same target wait for one probe of it.
    struct Probe {
        std::vector<fleet::CrashSuspect> suspects;
        // Of the requests that wait for the result.
        std::vector<FiberEvent*> waiters;
    };

    static fleet::CrashSuspect suspectOf(
        const RequestId& attempt, const fleet::ChosenTarget& target, const LostRun& run);
    void recordOwn(const std::vector<fleet::CrashSuspect>& suspects);
    void record(std::span<const fleet::CrashSuspect> suspects, bool ownObservation);

    fleet::CrashAttribution attribution_;
    std::map<fleet::TargetCrash, Probe> probes_;
    CrashWatchOutputs outputs_;
};

} // namespace lychee::gateway
