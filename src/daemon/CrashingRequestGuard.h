// Drives CrashingRequestTracker: reports attempts to it, distinguishes crashes from broken connections, and exchanges
// its notices with the peers.
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

// Functions that send messages through the peers duty, in the order of the calls.
struct CrashingRequestGuardOutputs {
    // Sends to all peers. Suspends the calling fiber until the messages were handed to the connections.
    std::function<void(std::vector<PeerMessage>)> flood;
    std::function<void(const InstanceId&, std::vector<PeerMessage>)> sendTo;
};

// How an attempt ended, as seen by the instance that sent it.
enum class AttemptOutcome {
    // The complete answer arrived.
    Completed,
    // The connection ended before the answer was complete; the target may have crashed.
    ConnectionLost,
    // Anything else: not sent, refused, timed out or cancelled.
    Incomplete,
};

// An attempt in progress.
struct TrackedAttempt {
    BodyRun run;
    Endpoint endpoint;
    // The incarnation of the engine at the start of the attempt; empty for plain services.
    EngineIncarnation incarnation;
    TimePoint startedAt;
    // Cancels the attempt. Empty when that would not stop it on the target.
    std::function<void()> cancel;
};

// What a probe showed about a target after a lost connection.
enum class ProbeResult {
    // The target refuses connections.
    Refused,
    // The target reports another incarnation than before.
    Restarted,
    // The target reports the same incarnation, or does not answer.
    NoCrash,
};

// Runs on the callers duty; must be called from its fibers.
class CrashingRequestGuard {
public:
    CrashingRequestGuard(CrashingRequestGuardOptions options, Dispatcher& dispatcher, TargetGateway& targets,
        CrashingRequestGuardOutputs outputs);

    void setMembers(const std::vector<MemberRecord>& members);

    // Handles a notice from a peer.
    void handle(const InstanceId& from, const CrashNoticeMessage& message);

    // Sends the known notices to a peer that has just connected.
    void peerConnected(const InstanceId& peer);

    BodyAdmission admit(const BodyHash& body) const { return suspicion_.admit(body, currentTime()); }

    // Waits for the grant of a trial on one of `candidates`, until `deadline` and for at most trialStartLimit. A
    // granted trial must be passed to started() or releaseTrial().
    std::optional<BodyRun> awaitTrial(
        const BodyHash& body, const std::vector<TargetId>& candidates, TimePoint deadline);

    // Ends a trial that was granted but not started.
    void releaseTrial(const BodyRun& run);

    // Registers an attempt. Must be called right before it is sent, without suspending in between.
    std::shared_ptr<TrackedAttempt> started(
        const BodyRun& run, const Endpoint& endpoint, std::function<void()> cancel = nullptr);

    // Probes the target if the connection was lost. Returns when a retry may be sent, that is, after the strikes of a
    // crash were handed to the connections to the peers.
    void ended(const std::shared_ptr<TrackedAttempt>& attempt, AttemptOutcome end);

private:
    struct Waiter {
        std::optional<BodyRun> granted;
        FiberEvent answered;
    };

    // When a crash became known, and whether the attempts of this instance got their strikes for it.
    struct KnownCrash {
        TimePoint since;
        bool handled = false;
    };

    void applyReaction(const CrashReaction& reaction);
    void handlePeerStrike(const CrashStrike& strike);
    void recordCrash(const CrashId& crash, bool handled);
    bool isUnhandled(const CrashId& crash, TimePoint startedAt) const;
    ProbeResult probe(const TrackedAttempt& attempt);
    ProbeResult probeEngine(const TrackedAttempt& attempt);
    ProbeResult probeService(const TrackedAttempt& attempt);

    Dispatcher& dispatcher_;
    TargetGateway& targets_;
    CrashingRequestGuardOutputs outputs_;
    CrashingRequestTracker suspicion_;
    std::map<TrialId, std::shared_ptr<Waiter>> waiters_;
    std::vector<std::shared_ptr<TrackedAttempt>> attempts_;
    std::map<CrashId, KnownCrash> knownCrashes_;
};

} // namespace lychee
