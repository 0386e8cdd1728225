// Runs a non-idempotent call at most once: a pure state machine that records the call in a row of table `claims`.
//
// The driver performs the action returned by start() or on() and passes the resulting event to on(), until Finished:
// - One action is in progress at a time. An action with a delay is performed after that delay.
// - If the caller's deadline passes before the reply, the driver passes DeadlineReached at once, also during a delay or
//   while an action is in progress, and drops the later result of that action. The exception is CallTarget: its result
//   is still needed, and AwaitTarget requests it.
// - Reply is performed once. After the event Replied, the remaining actions are background work. The driver may drop
//   the machine then, for example when it stops: the row stays `running` and is reported as unknown.
#pragma once

#include "coordination/ClaimRow.h"
#include "protocol/Ids.h"
#include "protocol/RunOutcome.h"
#include "transport/HttpMessage.h"
#include "transport/RuntimeClock.h"

#include <chrono>
#include <optional>
#include <string>
#include <variant>

namespace lychee {

// The time of an event by both clocks: `now` for deadlines in this process, `wallMs` for the age of rows that other
// instances wrote.
struct ClaimTime {
    TimePoint now;
    // Milliseconds since the epoch.
    std::int64_t wallMs = 0;
};

// The call that needs a claim.
struct ClaimRequest {
    TeamId team;
    IdempotencyKey key;
    // Hash of method, path and content. A key that is reused with another hash is refused.
    BodyHash bodyHash;
    // Random and new for each request.
    Nonce nonce;
    InstanceId instance;
    // The caller's deadline.
    TimePoint deadline;
    // Age at which a running claim is reported as unknown. It must exceed the longest caller timeout plus the
    // difference between wall clocks; otherwise calls that are still running are reported as unknown.
    std::chrono::milliseconds unknownAfter{0};
};

// Write `row` if the version of the row `key` is `check`; version 0 stands for an absent row.
struct InsertClaim {
    std::string key;
    RowVersion check;
    ClaimRow row;
};

// Read the row `key`.
struct ReadClaim {
    std::string key;
    std::chrono::milliseconds delay{0};
};

// Send the call with the header `Idempotency-Key`. Issued at most once by a machine. The driver may try a further
// target only if every earlier one is proved not to have run the call.
struct CallTarget {
    IdempotencyKey key;
};

// Keep waiting for the outcome of the call that was sent; send nothing.
struct AwaitTarget { };

// Write the answer: `row` in state `done`, if the version is `check`.
struct StoreAnswer {
    std::string key;
    RowVersion check;
    ClaimRow row;
    std::chrono::milliseconds delay{0};
};

// Write `row` in state `released`, if the version is `check`. With version 0 this creates the row, so that a delayed
// insert fails its version check.
struct ReleaseClaim {
    std::string key;
    RowVersion check;
    ClaimRow row;
    std::chrono::milliseconds delay{0};
};

// Answer the caller, then pass Replied.
struct Reply {
    RunOutcome run = RunOutcome::Unknown;
    // The target's answer to this or an earlier attempt; sent unchanged, with Lychee-Run added. If empty, an error made
    // of the fields below is sent.
    std::optional<HttpResponse> answer;
    int status = 0;
    std::string code;
    std::string message;
    std::optional<std::chrono::seconds> retryAfter;
};

// The event changed nothing: the action in progress continues.
struct NoChange { };

// Nothing is left to do.
struct Finished { };

using ClaimAction = std::variant<InsertClaim, ReadClaim, CallTarget, AwaitTarget, StoreAnswer, ReleaseClaim, Reply,
    NoChange, Finished>;

// The write took effect; `version` is the new version of the row.
struct Committed {
    RowVersion version;
};

// The write took no effect because the version differed. Contains the row found, or nothing if absent.
struct Conflict {
    std::optional<VersionedClaim> row;
};

// A write was sent and not answered: it may have taken effect or may yet do so. Also used for a read without an answer.
struct AnswerLost { };

// The request was never sent to the table service.
struct Unreachable { };

// The row, or nothing if absent.
struct ClaimRowRead {
    std::optional<VersionedClaim> row;
};

// The row exists but ClaimRow::fromJson() rejects it.
struct ClaimRowUnreadable { };

// The target ran the call and this is its complete answer.
struct TargetAnswered {
    HttpResponse response;
};

// No byte of the call reached a target, or every target that received bytes proved that it did not run the call.
struct TargetNotRun { };

// Bytes were sent, and neither a complete answer nor a proof arrived.
struct TargetOutcomeUnknown { };

// The caller's deadline has passed. While CallTarget is in progress, pass it only if bytes were sent; if none were,
// stop the call and pass TargetNotRun.
struct DeadlineReached { };

// The reply was handed to the caller's connection, or that connection is gone.
struct Replied { };

using ClaimEvent = std::variant<Committed, Conflict, AnswerLost, Unreachable, ClaimRowRead, ClaimRowUnreadable,
    TargetAnswered, TargetNotRun, TargetOutcomeUnknown, DeadlineReached, Replied>;

// The state machine of one request. Not thread-safe.
//
// A row written by this machine is recognized by its nonce, and row versions only grow. So an insert that checks
// version V can take effect only while the version is V; after any write that raises the version, it no longer can.
class ClaimStateMachine {
public:
    static ClaimStateMachine create(ClaimRequest request);

    // The first action; call it once.
    ClaimAction start(ClaimTime time);

    // The next action after `event`. Events that do not belong to the action in progress yield NoChange.
    ClaimAction on(const ClaimEvent& event, ClaimTime time);

    // True once a Reply action has been issued.
    bool replied() const { return replied_; }

    bool finished() const { return phase_ == Phase::Finished; }

private:
    enum class Phase { Created, Inserting, ReadingBack, Calling, Storing, Releasing, Replying, Finished };

    explicit ClaimStateMachine(ClaimRequest request);

    ClaimAction onDeadline();
    ClaimAction onInserting(const ClaimEvent& event, ClaimTime time);
    ClaimAction onReadingBack(const ClaimEvent& event, ClaimTime time);
    ClaimAction onCalling(const ClaimEvent& event);
    ClaimAction onStoring(const ClaimEvent& event);
    ClaimAction onReleasing(const ClaimEvent& event);
    ClaimAction onReplied();

    ClaimAction decide(const std::optional<VersionedClaim>& found, ClaimTime time);
    ClaimAction decideRunning(const VersionedClaim& found, ClaimTime time);
    ClaimAction replay(const ClaimRow& row);
    ClaimAction insert(RowVersion check, ClaimTime time);
    ClaimAction readBack(std::chrono::milliseconds delay);
    ClaimAction hold(RowVersion version, ClaimTime time);
    ClaimAction store();
    ClaimAction release();
    ClaimAction giveUp();
    ClaimAction reply(Reply reply, Phase afterReply);
    ClaimAction replyAnswer(Phase afterReply);
    ClaimAction finish();

    bool isOurs(const std::optional<VersionedClaim>& found, ClaimState state) const;
    std::chrono::milliseconds nextDelay();

    ClaimRequest request_;
    std::string rowKey_;
    ClaimRow row_;
    Phase phase_ = Phase::Created;
    // The phase to enter after Replied.
    Phase afterReply_ = Phase::Finished;
    bool replied_ = false;
    // An insert without an answer may still take effect. It checks `check_`.
    bool insertUnresolved_ = false;
    // The version that the latest insert checked; once the claim is held, the version of the row.
    RowVersion check_;
    std::chrono::milliseconds delay_;
};

} // namespace lychee
