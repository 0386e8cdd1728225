// Performs the actions of a ClaimStateMachine: table reads and writes, the call to the target, and the reply.
#pragma once

#include "coordination/ClaimStateMachine.h"
#include "daemon/PlatformGateway.h"
#include "transport/Duty.h"

namespace lychee {

// The outcome of the call to the target.
using ClaimCallOutcome = std::variant<TargetAnswered, TargetNotRun, TargetOutcomeUnknown>;

// Functions that the handler of the call provides.
struct ClaimCallbacks {
    // Sends the call and returns its outcome, possibly after the caller's deadline. Sets `sent` before a byte of the
    // call can reach a target.
    std::function<ClaimCallOutcome(const std::shared_ptr<bool>& sent)> callTarget;
    // Called when the work that continues after the reply has ended.
    std::function<void()> finished;
};

// Runs one state machine in its own fiber, which continues after the reply.
class ClaimDriver : public std::enable_shared_from_this<ClaimDriver> {
public:
    static std::shared_ptr<ClaimDriver> create(
        ClaimRequest request, PlatformGateway& platform, ClaimCallbacks callbacks);

    // Starts the state machine on the calling fiber's duty, and suspends the caller until the reply is known.
    Reply awaitReply();

private:
    ClaimDriver(ClaimRequest request, PlatformGateway& platform, ClaimCallbacks callbacks);

    void run();
    std::optional<ClaimEvent> perform(const ClaimAction& action);
    std::optional<ClaimEvent> write(
        const std::string& key, RowVersion check, const ClaimRow& row, std::chrono::milliseconds delay);
    std::optional<ClaimEvent> read(const ReadClaim& action);
    std::optional<ClaimEvent> awaitTarget();
    void startCall();
    TimePoint writeDeadline() const;
    bool isPastDeadline() const;
    bool sleepBefore(std::chrono::milliseconds delay) const;
    static ClaimTime time();

    ClaimStateMachine stateMachine_;
    PlatformGateway& platform_;
    ClaimCallbacks callbacks_;
    TimePoint deadline_;
    std::optional<Reply> reply_;
    FiberEvent replied_;
    std::shared_ptr<bool> sent_ = std::make_shared<bool>(false);
    bool callStarted_ = false;
    std::optional<ClaimCallOutcome> callOutcome_;
    FiberEvent callEnded_;
    bool deadlinePassed_ = false;
};

// Decodes the claim in a row of the table; nothing if the row is absent. Fails when the value is not a claim.
absl::StatusOr<std::optional<VersionedClaim>> parseClaim(const Row& row);

} // namespace lychee
