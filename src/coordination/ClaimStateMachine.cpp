#include "coordination/ClaimStateMachine.h"

namespace lychee {

namespace {

using namespace std::chrono_literals;

// Delays between attempts of the same read or write.
constexpr std::chrono::milliseconds firstRetryDelay = 20ms;
constexpr std::chrono::milliseconds maxRetryDelay = 2000ms;

// Sent to callers as Retry-After.
constexpr std::chrono::seconds retryAfter = 1s;

constexpr int statusConflict = 409;
constexpr int statusUnprocessable = 422;
constexpr int statusInternalError = 500;
constexpr int statusBadGateway = 502;
constexpr int statusUnavailable = 503;
constexpr int statusGatewayTimeout = 504;

Reply errorReply(RunOutcome run, int status, std::string code, std::string message)
{
    return {.run = run, .status = status, .code = std::move(code), .message = std::move(message)};
}

Reply unavailableReply(std::string message)
{
    Reply reply = errorReply(RunOutcome::No, statusUnavailable, "claim_unavailable", std::move(message));
    reply.retryAfter = retryAfter;
    return reply;
}

bool isSuccess(int status) { return status >= 200 && status < 300; }

} // namespace

ClaimStateMachine ClaimStateMachine::create(ClaimRequest request) { return ClaimStateMachine(std::move(request)); }

ClaimStateMachine::ClaimStateMachine(ClaimRequest request)
    : request_(std::move(request))
    , rowKey_(claimRowKey(request_.team, request_.key))
    , delay_(firstRetryDelay)
{
    row_.bodyHash = request_.bodyHash;
    row_.nonce = request_.nonce;
    row_.ownerInstance = request_.instance;
}

ClaimAction ClaimStateMachine::start(ClaimTime time)
{
    row_.createdMs = time.wallMs;
    return insert(RowVersion(0), time);
}

ClaimAction ClaimStateMachine::on(const ClaimEvent& event, ClaimTime time)
{
    if (std::holds_alternative<DeadlineReached>(event))
        return onDeadline();
    switch (phase_) {
    case Phase::Inserting:
        return onInserting(event, time);
    case Phase::ReadingBack:
        return onReadingBack(event, time);
    case Phase::Calling:
        return onCalling(event);
    case Phase::Storing:
        return onStoring(event);
    case Phase::Releasing:
        return onReleasing(event);
    case Phase::Replying:
        return std::holds_alternative<Replied>(event) ? onReplied() : NoChange{};
    case Phase::Created:
        return NoChange{};
    case Phase::Finished:
        return Finished{};
    }
    return NoChange{};
}

ClaimAction ClaimStateMachine::onDeadline()
{
    if (replied_)
        return NoChange{};
    switch (phase_) {
    case Phase::Inserting:
        // The driver drops the insert in progress, which may still take effect.
        insertUnresolved_ = true;
        return giveUp();
    case Phase::ReadingBack:
        return giveUp();
    case Phase::Calling:
        // Later attempts with this key need the outcome of the call, so the machine continues to wait for it.
        return reply(errorReply(RunOutcome::Unknown, statusGatewayTimeout, "outcome_unknown",
                         "the call was sent, but the target did not answer before the caller's deadline"),
            Phase::Calling);
    case Phase::Storing:
        return replyAnswer(Phase::Storing);
    case Phase::Releasing:
        return reply(unavailableReply("the call was not run"), Phase::Releasing);
    case Phase::Created:
    case Phase::Replying:
    case Phase::Finished:
        return NoChange{};
    }
    return NoChange{};
}

ClaimAction ClaimStateMachine::onInserting(const ClaimEvent& event, ClaimTime time)
{
    if (const auto* committed = std::get_if<Committed>(&event))
        return hold(committed->version, time);
    if (const auto* conflict = std::get_if<Conflict>(&event)) {
        // The row has a version above the checked one, so no earlier insert can take effect any more.
        insertUnresolved_ = false;
        return decide(conflict->row, time);
    }
    if (std::holds_alternative<AnswerLost>(event)) {
        insertUnresolved_ = true;
        return readBack(0ms);
    }
    if (std::holds_alternative<Unreachable>(event))
        return insertUnresolved_ ? readBack(nextDelay()) : giveUp();
    if (std::holds_alternative<ClaimRowUnreadable>(event))
        return reply(errorReply(RunOutcome::Unknown, statusInternalError, "claim_unreadable",
                         "the stored record of this idempotency key cannot be decoded"),
            Phase::Finished);
    return NoChange{};
}

ClaimAction ClaimStateMachine::onReadingBack(const ClaimEvent& event, ClaimTime time)
{
    if (const auto* read = std::get_if<ClaimRowRead>(&event)) {
        const RowVersion version = read->row ? read->row->version : RowVersion(0);
        insertUnresolved_ = version == check_;
        return decide(read->row, time);
    }
    if (std::holds_alternative<AnswerLost>(event) || std::holds_alternative<Unreachable>(event)) {
        // The target was not called, so refusing before the deadline is safe; the release continues after the reply.
        const bool exhausted = time.now >= request_.deadline || delay_ == maxRetryDelay;
        return exhausted ? giveUp() : readBack(nextDelay());
    }
    if (std::holds_alternative<ClaimRowUnreadable>(event))
        return reply(errorReply(RunOutcome::Unknown, statusInternalError, "claim_unreadable",
                         "the stored record of this idempotency key cannot be decoded"),
            Phase::Finished);
    return NoChange{};
}

ClaimAction ClaimStateMachine::onCalling(const ClaimEvent& event)
{
    if (const auto* answered = std::get_if<TargetAnswered>(&event)) {
        // Kept completely for the reply; store() leaves it out of the row if it is too large.
        row_.answer = answered->response;
        return store();
    }
    if (std::holds_alternative<TargetNotRun>(event))
        return release();
    if (!std::holds_alternative<TargetOutcomeUnknown>(event))
        return NoChange{};
    // The row stays `running`: nothing is known that would let a later attempt run or replay the call.
    if (replied_)
        return finish();
    return reply(errorReply(RunOutcome::Unknown, statusBadGateway, "outcome_unknown",
                     "the connection to the target failed after the call was sent"),
        Phase::Finished);
}

ClaimAction ClaimStateMachine::onStoring(const ClaimEvent& event)
{
    if (std::holds_alternative<Committed>(event))
        return replied_ ? finish() : replyAnswer(Phase::Finished);
    if (const auto* conflict = std::get_if<Conflict>(&event)) {
        if (isOurs(conflict->row, ClaimState::Running)) {
            check_ = conflict->row->version;
            return store();
        }
        // An earlier attempt of this write took effect.
        return replied_ ? finish() : replyAnswer(Phase::Finished);
    }
    if (std::holds_alternative<AnswerLost>(event) || std::holds_alternative<Unreachable>(event))
        return replied_ ? store() : replyAnswer(Phase::Storing);
    if (std::holds_alternative<ClaimRowUnreadable>(event))
        return replied_ ? finish() : replyAnswer(Phase::Finished);
    return NoChange{};
}

ClaimAction ClaimStateMachine::onReleasing(const ClaimEvent& event)
{
    if (std::holds_alternative<AnswerLost>(event) || std::holds_alternative<Unreachable>(event))
        return replied_ ? release() : reply(unavailableReply("the call was not run"), Phase::Releasing);
    if (const auto* conflict = std::get_if<Conflict>(&event)) {
        // The insert took effect after giveUp() and before this write.
        if (isOurs(conflict->row, ClaimState::Running)) {
            check_ = conflict->row->version;
            return release();
        }
    } else if (!std::holds_alternative<Committed>(event) && !std::holds_alternative<ClaimRowUnreadable>(event)) {
        return NoChange{};
    }
    return replied_ ? finish() : reply(unavailableReply("the call was not run"), Phase::Finished);
}

ClaimAction ClaimStateMachine::onReplied()
{
    phase_ = afterReply_;
    switch (phase_) {
    case Phase::Calling:
        return AwaitTarget{};
    case Phase::Storing:
        return store();
    case Phase::Releasing:
        return release();
    default:
        return finish();
    }
}

// Decides on the row as it was found after a failed or unanswered insert.
ClaimAction ClaimStateMachine::decide(const std::optional<VersionedClaim>& found, ClaimTime time)
{
    if (!found)
        return insert(RowVersion(0), time);
    if (found->row.bodyHash != request_.bodyHash) {
        // Also applies to a released row: a key stays bound to its first body, so that the answer does not depend on
        // timing.
        return reply(errorReply(RunOutcome::No, statusUnprocessable, "idempotency_key_reused",
                         "the idempotency key was already used with a different method, path or body"),
            Phase::Finished);
    }
    switch (found->row.state) {
    case ClaimState::Running:
        return decideRunning(*found, time);
    case ClaimState::Done:
        return replay(found->row);
    case ClaimState::Released:
        return insert(found->version, time);
    }
    return giveUp();
}

ClaimAction ClaimStateMachine::decideRunning(const VersionedClaim& found, ClaimTime time)
{
    if (found.row.nonce == request_.nonce)
        return hold(found.version, time);
    if (time.wallMs - found.row.createdMs > request_.unknownAfter.count()) {
        return reply(errorReply(RunOutcome::Unknown, statusGatewayTimeout, "outcome_unknown",
                         "an earlier attempt with this idempotency key was not completed"),
            Phase::Finished);
    }
    // Not reported as `no`: the caller could then send the same call under another key while this one is running.
    Reply busy = errorReply(RunOutcome::Unknown, statusConflict, "in_progress",
        "an earlier attempt with this idempotency key is still running");
    busy.retryAfter = retryAfter;
    return reply(std::move(busy), Phase::Finished);
}

ClaimAction ClaimStateMachine::replay(const ClaimRow& row)
{
    if (row.answerStored) {
        Reply stored;
        stored.run = RunOutcome::Yes;
        stored.answer = row.answer;
        return reply(std::move(stored), Phase::Finished);
    }
    // A success status without the body would look like the complete answer, so it is replaced by a conflict. Storing
    // large bodies as objects would add a second write, which can fail too, to every such call. An error status is
    // sufficient without its body.
    const int status = isSuccess(row.answer.status) ? statusConflict : row.answer.status;
    return reply(errorReply(RunOutcome::Yes, status, "answer_not_stored",
                     fmt::format("the call ran and was answered with status {}; the answer was too large to store",
                         row.answer.status)),
        Phase::Finished);
}

ClaimAction ClaimStateMachine::insert(RowVersion check, ClaimTime time)
{
    if (time.now >= request_.deadline)
        return giveUp();
    phase_ = Phase::Inserting;
    check_ = check;
    return InsertClaim{rowKey_, check, row_};
}

ClaimAction ClaimStateMachine::readBack(std::chrono::milliseconds delay)
{
    phase_ = Phase::ReadingBack;
    return ReadClaim{rowKey_, delay};
}

ClaimAction ClaimStateMachine::hold(RowVersion version, ClaimTime time)
{
    check_ = version;
    insertUnresolved_ = false;
    delay_ = firstRetryDelay;
    // A holder that was paused past its deadline must not start the call, because its caller no longer waits.
    if (time.now >= request_.deadline)
        return release();
    phase_ = Phase::Calling;
    return CallTarget{request_.key};
}

ClaimAction ClaimStateMachine::store()
{
    phase_ = Phase::Storing;
    ClaimRow row = row_;
    row.finish(row_.answer);
    return StoreAnswer{rowKey_, check_, std::move(row), replied_ ? nextDelay() : 0ms};
}

ClaimAction ClaimStateMachine::release()
{
    phase_ = Phase::Releasing;
    ClaimRow row = row_;
    row.state = ClaimState::Released;
    return ReleaseClaim{rowKey_, check_, std::move(row), replied_ ? nextDelay() : 0ms};
}

// Ends the attempt before the target was called.
ClaimAction ClaimStateMachine::giveUp()
{
    return reply(unavailableReply("the claim could not be recorded, so the call was not run"),
        insertUnresolved_ ? Phase::Releasing : Phase::Finished);
}

ClaimAction ClaimStateMachine::replyAnswer(Phase afterReply)
{
    Reply answer;
    answer.run = RunOutcome::Yes;
    answer.answer = row_.answer;
    return reply(std::move(answer), afterReply);
}

ClaimAction ClaimStateMachine::reply(Reply reply, Phase afterReply)
{
    phase_ = Phase::Replying;
    afterReply_ = afterReply;
    replied_ = true;
    return reply;
}

ClaimAction ClaimStateMachine::finish()
{
    phase_ = Phase::Finished;
    return Finished{};
}

bool ClaimStateMachine::isOurs(const std::optional<VersionedClaim>& found, ClaimState state) const
{
    return found && found->row.nonce == request_.nonce && found->row.state == state;
}

std::chrono::milliseconds ClaimStateMachine::nextDelay()
{
    const std::chrono::milliseconds delay = delay_;
    delay_ = std::min(delay_ * 2, maxRetryDelay);
    return delay;
}

} // namespace lychee
