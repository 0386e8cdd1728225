// Drives CrashingRequestTracker: reports attempts to it, tells crashes from broken connections, and exchanges its
// notices.
#pragma once

#include "coordination/CrashingRequestTracker.h"
#include "daemon/Dispatcher.h"
#include "daemon/TargetGateway.h"
#include "protocol/PeerMessages.h"

namespace lychee {

struct CrashingRequestGuardOptions {
    InstanceId instance;
    std::chrono::milliseconds quarantine{std::chrono::minutes(10)};
};

// What the guard hands to the peers duty. Messages are taken in the order of the calls.
struct CrashingRequestGuardOutputs {
    // Returns, after suspending the calling fiber, once the messages were handed to the connections to the peers.
    std::function<void(std::vector<PeerMessage>)> flood;
    std::function<void(const InstanceId&, std::vector<PeerMessage>)> sendTo;
};

// How an attempt ended, as seen by its caller.
enum class AttemptOutcome {
    // The whole answer arrived.
    Completed,
    // The connection ended without a whole answer; the target may have crashed.
    ConnectionLost,
    // Anything else: not sent, refused, silent or cancelled.
    Incomplete,
};

// One attempt that the guard knows of.
struct TrackedAttempt {
    BodyRun run;
    Endpoint endpoint;
    // The run of the target at the start of the attempt; empty for plain services.
    EngineIncarnation incarnation;
    TimePoint startedAt;
    // Ends the attempt early. Empty when that has no effect on the target.
    std::function<void()> cancel;
};

// What a probe showed about a target whose connection ended.
enum class ProbeResult {
    Refused,
    // It answers as another run than before.
    Restarted,
    // It is the same run, or it is silent: no crash.
    NoCrash,
};

// Runs on the callers duty; all calls come from fibers of it.
class CrashingRequestGuard {
public:
    CrashingRequestGuard(CrashingRequestGuardOptions options, Dispatcher& dispatcher, TargetGateway& targets,
        CrashingRequestGuardOutputs outputs);

    void setMembers(const std::vector<MemberRecord>& members);

    // Takes in a notice of a peer.
    void handle(const InstanceId& from, const CrashNoticeMessage& message);

    // Tells a peer that has just connected what is known.
    void peerConnected(const InstanceId& peer);

    BodyAdmission admit(const BodyHash& body) const { return suspicion_.admit(body, currentTime()); }

    // Waits for the grant of a trial on one of `candidates`, at most until `deadline` or for trialStartLimit. The trial
    // must be passed to started() or releaseTrial().
    std::optional<BodyRun> awaitTrial(
        const BodyHash& body, const std::vector<TargetId>& candidates, TimePoint deadline);

    // Ends a trial that was granted and not started.
    void releaseTrial(const BodyRun& run);

    // Must be called right before the attempt is sent, without suspending in between.
    std::shared_ptr<TrackedAttempt> started(
        const BodyRun& run, const Endpoint& endpoint, std::function<void()> cancel = nullptr);

    // Returns once a retry may be sent: the strikes of a crash were handed to the peers.
    void ended(const std::shared_ptr<TrackedAttempt>& watched, AttemptOutcome end);

private:
    struct Waiter {
        std::optional<BodyRun> granted;
        FiberEvent answered;
    };

    // When a crash became known, and whether the runs of this instance got their strikes for it.
    struct KnownCrash {
        TimePoint since;
        bool handled = false;
    };

    void react(const CrashReaction& reaction);
    void learn(const CrashStrike& strike);
    void remember(const CrashId& crash, bool handled);
    bool isUnhandled(const CrashId& crash, TimePoint startedAt) const;
    ProbeResult probe(const TrackedAttempt& watched);
    ProbeResult probeEngine(const TrackedAttempt& watched);
    ProbeResult probeService(const TrackedAttempt& watched);

    Dispatcher& dispatcher_;
    TargetGateway& targets_;
    CrashingRequestGuardOutputs outputs_;
    CrashingRequestTracker suspicion_;
    std::map<TrialId, std::shared_ptr<Waiter>> waiters_;
    std::vector<std::shared_ptr<TrackedAttempt>> runs_;
    std::map<CrashId, KnownCrash> crashes_;
};

} // namespace lychee
