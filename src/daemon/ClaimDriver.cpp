#include "daemon/ClaimDriver.h"

#include "transport/FiberEvent.h"
#include "transport/Log.h"

namespace lychee {

namespace {

constexpr LogChannel logChannel("claim");

// Limit of one write or read after the reply, when no caller is waiting.
constexpr Duration backgroundTimeout = std::chrono::seconds(5);

RowKey rowKey(const std::string& key) { return {std::string(claimsTable), key}; }

} // namespace

absl::StatusOr<std::optional<VersionedClaim>> parseClaim(const Row& row)
{
    if (row.version == RowVersion())
        return std::nullopt;
    absl::StatusOr<ClaimRow> claim = ClaimRow::fromJson(row.value);
    if (!claim.ok())
        return claim.status();
    return VersionedClaim{row.version, *std::move(claim)};
}

std::shared_ptr<ClaimDriver> ClaimDriver::create(
    ClaimRequest request, PlatformGateway& platform, ClaimCallbacks callbacks)
{
    return std::shared_ptr<ClaimDriver>(new ClaimDriver(std::move(request), platform, std::move(callbacks)));
}

ClaimDriver::ClaimDriver(ClaimRequest request, PlatformGateway& platform, ClaimCallbacks callbacks)
    : stateMachine_(ClaimStateMachine::create(request))
    , platform_(platform)
    , callbacks_(std::move(callbacks))
    , deadline_(request.deadline)
{
}

Reply ClaimDriver::awaitReply()
{
    Duty::current()->spawn([self = shared_from_this()] { self->run(); });
    replied_.wait();
    return *reply_;
}

ClaimTime ClaimDriver::time() { return {currentTime(), wallClockMilliseconds()}; }

bool ClaimDriver::isPastDeadline() const
{
    return !reply_.has_value() && !deadlinePassed_ && currentTime() >= deadline_;
}

TimePoint ClaimDriver::writeDeadline() const
{
    const TimePoint background = currentTime() + backgroundTimeout;
    return reply_.has_value() || deadlinePassed_ ? background : std::min(deadline_, background);
}

void ClaimDriver::run()
{
    ClaimAction action = stateMachine_.start(time());
    while (!stateMachine_.finished() && !Duty::current()->isStopping()) {
        std::optional<ClaimEvent> event = perform(action);
        // Once the deadline has passed, the state machine is told so in place of the result of the action, unless that
        // result is the outcome of the call to the target.
        const bool isCall = std::holds_alternative<CallTarget>(action) || std::holds_alternative<AwaitTarget>(action);
        if (isPastDeadline() && !(isCall && event.has_value())) {
            deadlinePassed_ = true;
            event = DeadlineReached{};
        }
        if (!event.has_value())
            continue;
        ClaimAction next = stateMachine_.on(*event, time());
        if (!std::holds_alternative<NoChange>(next))
            action = std::move(next);
    }
    callbacks_.finished();
}

std::optional<ClaimEvent> ClaimDriver::perform(const ClaimAction& action)
{
    if (const auto* insert = std::get_if<InsertClaim>(&action))
        return write(insert->key, insert->check, insert->row, std::chrono::milliseconds(0));
    if (const auto* store = std::get_if<StoreAnswer>(&action))
        return write(store->key, store->check, store->row, store->delay);
    if (const auto* release = std::get_if<ReleaseClaim>(&action))
        return write(release->key, release->check, release->row, release->delay);
    if (const auto* readAction = std::get_if<ReadClaim>(&action))
        return read(*readAction);
    if (std::holds_alternative<CallTarget>(action)) {
        // The same action is performed again after a wait that ended without an event.
        if (!callStarted_)
            startCall();
        return awaitTarget();
    }
    if (std::holds_alternative<AwaitTarget>(action))
        return awaitTarget();
    if (const auto* reply = std::get_if<Reply>(&action)) {
        reply_ = *reply;
        replied_.notify();
        return Replied{};
    }
    return std::nullopt;
}

// Sleeps for `delay`, or until the caller's deadline if that is earlier. Returns false when the deadline has passed.
bool ClaimDriver::sleepBefore(std::chrono::milliseconds delay) const
{
    if (delay.count() == 0)
        return true;
    const TimePoint until = currentTime() + delay;
    const bool untilDeadline = !reply_.has_value() && !deadlinePassed_;
    sleepFor((untilDeadline ? std::min(until, deadline_) : until) - currentTime());
    return !isPastDeadline();
}

std::optional<ClaimEvent> ClaimDriver::write(
    const std::string& key, RowVersion check, const ClaimRow& row, std::chrono::milliseconds delay)
{
    if (!sleepBefore(delay))
        return std::nullopt;
    const TableWrite write
        = platform_.transact(TableTransaction::compareAndSet(rowKey(key), check, row.toJson()), writeDeadline());
    switch (write.outcome) {
    case WriteOutcome::Committed:
        return Committed{write.result.versions.empty() ? RowVersion() : write.result.versions.front()};
    case WriteOutcome::Unknown:
        return AnswerLost{};
    case WriteOutcome::NotSent:
        return Unreachable{};
    case WriteOutcome::Conflict:
        break;
    }
    if (write.result.conflicts.empty())
        return AnswerLost{};
    const absl::StatusOr<std::optional<VersionedClaim>> found = parseClaim(write.result.conflicts.front().row);
    if (!found.ok())
        return ClaimRowUnreadable{};
    return Conflict{*found};
}

std::optional<ClaimEvent> ClaimDriver::read(const ReadClaim& action)
{
    if (!sleepBefore(action.delay))
        return std::nullopt;
    const absl::StatusOr<Row> row = platform_.read(rowKey(action.key), writeDeadline());
    if (!row.ok())
        return AnswerLost{};
    const absl::StatusOr<std::optional<VersionedClaim>> found = parseClaim(*row);
    if (!found.ok()) {
        logChannel.error(
            "Row {} of table {} does not hold a valid claim: {}.", action.key, claimsTable, messageOf(found.status()));
        return ClaimRowUnreadable{};
    }
    return ClaimRowRead{*found};
}

void ClaimDriver::startCall()
{
    callStarted_ = true;
    Duty::current()->spawn([self = shared_from_this()] {
        self->callOutcome_ = self->callbacks_.callTarget(self->sent_);
        self->callEnded_.notify();
    });
}

std::optional<ClaimEvent> ClaimDriver::awaitTarget()
{
    const bool untilDeadline = !reply_.has_value() && !deadlinePassed_;
    while (!callOutcome_.has_value()) {
        if (!untilDeadline) {
            callEnded_.wait();
            continue;
        }
        // The handler itself ends a call that was not sent by the deadline, so the wait is cut short only for a call
        // that was sent.
        if (!callEnded_.waitUntil(Duty::current()->timers(), deadline_)) {
            if (*sent_)
                return std::nullopt;
            callEnded_.wait();
        }
    }
    return std::visit([](const auto& outcome) -> ClaimEvent { return outcome; }, *callOutcome_);
}

} // namespace lychee
