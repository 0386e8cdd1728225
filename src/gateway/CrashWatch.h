// Observes crashes of targets on behalf of the relayed requests, and refuses requests that would crash more of them.
#pragma once

#include "fleet/CrashAttribution.h"
#include "fleet/TargetChoice.h"
#include "transport/Duty.h"

#include <functional>

namespace lychee::gateway {

// Functions that tell the peers what this instance has observed. They do not suspend the fiber.
struct CrashWatchOutputs {
    std::function<void(const fleet::CrashSuspect&)> suspectFound;
    std::function<void(const std::vector<fleet::RequestTrait>&)> traitsCleared;
};

// What an instance that joins has to know.
struct CrashKnowledge {
    std::vector<fleet::CrashSuspect> suspects;
    std::vector<fleet::BlockedTrait> blocked;
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

    // Records that the connection to a target was lost before the target began to answer the request. Finds out whether
    // the target has crashed, which suspends the fiber.
    void connectionLost(
        const RequestId& attempt, const fleet::ChosenTarget& target, const fleet::RequestTraits& request);

    // Records that a target began to answer the request.
    void answerBegan(const fleet::RequestTraits& request);

    // Applies what a peer has observed.
    void suspectReported(const fleet::CrashSuspect& suspect);
    void clearingReported(std::span<const fleet::RequestTrait> traits) { attribution_.clear(traits); }
    void blockReported(const fleet::BlockedTrait& blocked) { attribution_.block(blocked, currentTime()); }

    CrashKnowledge knowledge()
    {
        return {attribution_.suspects(currentTime()), attribution_.blockedTraits(currentTime())};
    }

private:
    void record(const fleet::CrashSuspect& suspect, bool ownObservation);

    fleet::CrashAttribution attribution_;
    CrashWatchOutputs outputs_;
};

} // namespace lychee::gateway
