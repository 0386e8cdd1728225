#include "daemon/OwnershipDriver.h"

#include "protocol/JsonText.h"
#include "transport/Log.h"

namespace lychee {

namespace {

constexpr LogChannel logChannel("ownership");

// Limit of one read or write of a row.
constexpr Duration tableTimeout = std::chrono::seconds(5);

} // namespace

absl::StatusOr<std::optional<VersionedRow>> parseTargetRow(const Row& row)
{
    if (row.version == RowVersion())
        return std::nullopt;
    absl::StatusOr<TargetRow> decoded = decodeTargetRow(writeJson(row.value));
    if (!decoded.ok())
        return decoded.status();
    return VersionedRow{row.version, *std::move(decoded)};
}

std::shared_ptr<OwnershipDriver> OwnershipDriver::create(Target target, OwnershipOptions options,
    PlatformGateway& platform, TargetControl& control, OwnershipCallbacks callbacks)
{
    return std::shared_ptr<OwnershipDriver>(
        new OwnershipDriver(std::move(target), std::move(options), platform, control, std::move(callbacks)));
}

OwnershipDriver::OwnershipDriver(Target target, OwnershipOptions options, PlatformGateway& platform,
    TargetControl& control, OwnershipCallbacks callbacks)
    : target_(std::move(target))
    , stateMachine_(std::move(options))
    , platform_(platform)
    , control_(control)
    , callbacks_(std::move(callbacks))
{
}

void OwnershipDriver::process(const OwnershipEvent& event)
{
    const bool owned = stateMachine_.isOwner();
    const std::vector<OwnershipAction> actions = stateMachine_.on(event);
    if (stateMachine_.isOwner() != owned)
        logChannel.info("{} target {}.", owned ? "Gave up" : "Took over", target_.id);
    for (const OwnershipAction& action : actions)
        std::visit([this](const auto& concrete) { perform(concrete); }, action);
}

void OwnershipDriver::runInFiber(std::function<void()> body)
{
    ++pending_;
    Duty::current()->spawn([self = shared_from_this(), body = std::move(body)] {
        body();
        --self->pending_;
    });
}

RowKey OwnershipDriver::rowKey() const { return {std::string(targetsTable), target_.id.value()}; }

void OwnershipDriver::perform(const ReadRow&)
{
    runInFiber([this] {
        const absl::StatusOr<Row> row = platform_.read(rowKey(), currentTime() + tableTimeout);
        if (!row.ok()) {
            handle(RowReadFailed{});
            return;
        }
        const absl::StatusOr<std::optional<VersionedRow>> decoded = parseTargetRow(*row);
        if (decoded.ok()) {
            handle(RowRead{*decoded});
            return;
        }
        logChannel.error("The row of target {} is malformed: {}.", target_.id, messageOf(decoded.status()));
        handle(RowReadFailed{});
    });
}

void OwnershipDriver::perform(const CompareAndSetRow& action)
{
    runInFiber([this, action] {
        const nlohmann::json value = nlohmann::json::parse(encodeTargetRow(action.row), nullptr, false);
        const TableWrite write = platform_.transact(
            TableTransaction::compareAndSet(rowKey(), action.expected, value), currentTime() + tableTimeout);
        const Nonce& nonce = action.row.nonce;
        switch (write.outcome) {
        case WriteOutcome::Committed:
            handle(WriteCommitted{nonce, write.result.versions.empty() ? RowVersion() : write.result.versions.front()});
            return;
        case WriteOutcome::Unknown:
            handle(WriteAnswerLost{nonce});
            return;
        case WriteOutcome::NotSent:
            handle(WriteUnreachable{nonce});
            return;
        case WriteOutcome::Conflict:
            break;
        }
        const absl::StatusOr<std::optional<VersionedRow>> found
            = parseTargetRow(write.result.conflicts.empty() ? Row{} : write.result.conflicts.front().row);
        if (found.ok())
            handle(WriteConflict{nonce, *found});
        else
            handle(WriteAnswerLost{nonce});
    });
}

void OwnershipDriver::perform(const SendOrder& action)
{
    runInFiber([this, action] {
        logChannel.info("Sending order {}: {} on {}{}.", action.order.id, operationName(action.order.operation),
            target_.id, action.order.artifact.empty() ? std::string() : fmt::format(" of {}", action.order.artifact));
        const OrderResult result = control_.send(target_, action.order, action.incarnation);
        switch (result.delivery) {
        case OrderDelivery::Answered:
            if (result.answer.state == OrderState::Applied)
                callbacks_.orderApplied(target_.id, action.order);
            else
                logChannel.warning("The engine refused order {}: {}.", action.order.id, result.answer.reason);
            handle(OrderAnswered{result.answer});
            return;
        case OrderDelivery::OutcomeUnknown:
            logChannel.warning(
                "The outcome of order {} is unknown: it was sent, and no valid answer arrived.", action.order.id);
            handle(OrderOutcomeUnknown{action.order.id});
            return;
        case OrderDelivery::NotSent:
            handle(OrderNotSent{action.order.id});
            return;
        }
    });
}

void OwnershipDriver::perform(const RequestReport&)
{
    runInFiber([this] {
        const std::optional<TimedReport> timed = control_.report(target_);
        if (timed.has_value())
            handle(ReportReceived{timed->report, timed->requestedAt});
    });
}

// Nothing to do: instances learn what is resident from the reports of the engines.
void OwnershipDriver::perform(const PublishResidency&) { }

void OwnershipDriver::perform(const ReleaseGrant& action)
{
    callbacks_.releaseGrant(action.newOwner, target_.id, action.release);
}

} // namespace lychee
