#include "coordination/OwnershipStateMachine.h"

namespace lychee {

OwnershipStateMachine::OwnershipStateMachine(OwnershipOptions options)
    : options_(std::move(options))
{
}

std::vector<OwnershipAction> OwnershipStateMachine::on(const OwnershipEvent& event)
{
    now_ = event.now;
    std::visit([this](const auto& what) { handle(what); }, event.what);
    advance();
    return std::exchange(actions_, {});
}

InstanceId OwnershipStateMachine::recordedOwner() const { return committed_ ? committed_->row.owner : InstanceId(); }

std::vector<EngineOrder> OwnershipStateMachine::unresolvedLoads() const
{
    std::vector<EngineOrder> loads;
    if (!owned_)
        return loads;
    const auto isLoad = [](const EngineOrder& order) { return order.operation == OrderOperation::Load; };
    std::ranges::copy_if(ledger_->row().orders, std::back_inserter(loads), isLoad);
    std::ranges::copy_if(ledger_->grantContents().orders, std::back_inserter(loads), isLoad);
    return loads;
}

bool OwnershipStateMachine::isOrderLost(const ArtifactId& artifact) const
{
    if (!owned_ || isOutstanding(artifact))
        return false;
    bool recorded = false;
    for (const EngineOrder& order : ledger_->row().orders) {
        if (order.artifact != artifact || order.operation == OrderOperation::Fence)
            continue;
        if (std::ranges::find(unsent_, order.id) != unsent_.end())
            return false;
        recorded = true;
    }
    return recorded;
}

void OwnershipStateMachine::handle(const RowRead& event)
{
    platformReachable_ = true;
    knowledge_ = RowKnowledge::Known;
    if (pending_) {
        if (event.row && event.row->version > pending_->base)
            resolvePending(*event.row);
        else if (pending_->phase == WritePhase::ReadingBack)
            repeatWrite();
        return;
    }
    // Rows are never deleted, so an absent row or an older version is the result of a delayed read.
    if (event.row && (!committed_ || event.row->version > committed_->version))
        adoptForeignRow(event.row);
}

void OwnershipStateMachine::handle(const RowReadFailed&)
{
    platformReachable_ = false;
    readAt_ = now_ + options_.retryDelay;
    if (knowledge_ == RowKnowledge::Reading)
        knowledge_ = RowKnowledge::Unknown;
    if (pending_ && pending_->phase == WritePhase::ReadingBack)
        waitToRead();
}

void OwnershipStateMachine::handle(const WriteCommitted& event)
{
    if (isPending(event.nonce))
        commitPending(event.version);
}

void OwnershipStateMachine::handle(const WriteConflict& event)
{
    if (!isPending(event.nonce))
        return;
    platformReachable_ = true;
    if (!event.row)
        adoptForeignRow(std::nullopt);
    else if (event.row->version > pending_->base)
        resolvePending(*event.row);
    else
        waitToRead();
}

void OwnershipStateMachine::handle(const WriteAnswerLost& event)
{
    if (!isPending(event.nonce))
        return;
    pending_->phase = WritePhase::ReadingBack;
    actions_.emplace_back(ReadRow{});
}

void OwnershipStateMachine::handle(const WriteUnreachable& event)
{
    if (!isPending(event.nonce))
        return;
    platformReachable_ = false;
    pending_->phase = WritePhase::WaitingToWrite;
    pending_->retryAt = now_ + options_.retryDelay;
}

void OwnershipStateMachine::handle(const OrderAnswered& event)
{
    if (!ledger_)
        return;
    const OrderId& id = event.answer.id;
    const auto sent = sent_.find(id);
    const std::optional<SentOrder> order = sent == sent_.end() ? std::nullopt : std::optional(sent->second);
    const bool refused = event.answer.state == OrderState::Refused;
    if (order && order->operation == OrderOperation::Fence) {
        if (refused) {
            markLost(id);
            // Another owner has fenced this one; reading the row shows it.
            actions_.emplace_back(ReadRow{});
        } else {
            actions_.emplace_back(RequestReport{});
        }
        return;
    }
    if (!ledger_->applyAnswer(event.answer) || !order)
        return;
    // An order that the ledger still lists can only be answered by the incarnation in the ledger.
    incarnationSeenAt_ = now_;
    if (refused) {
        notBefore_[order->artifact] = now_ + options_.retryDelay;
        // A refusal may mean that another owner has fenced this one, so the row is read.
        actions_.emplace_back(ReadRow{});
    } else if (order->operation == OrderOperation::Load) {
        loadedAt_[order->artifact] = now_;
    }
}

void OwnershipStateMachine::handle(const OrderOutcomeUnknown& event)
{
    markLost(event.id);
    actions_.emplace_back(RequestReport{});
}

void OwnershipStateMachine::handle(const OrderNotSent& event)
{
    const auto sent = sent_.find(event.id);
    if (sent == sent_.end())
        return;
    notBefore_[sent->second.artifact] = now_ + options_.retryDelay;
    if (sent->second.operation == OrderOperation::Fence)
        markLost(event.id);
    else
        ledger_->removeUnsent(event.id);
}

void OwnershipStateMachine::handle(const ReportReceived& event)
{
    if (!ledger_) {
        firstReport_ = event.report;
        return;
    }
    const TargetRow& row = ledger_->row();
    if (event.report.incarnation != row.incarnation) {
        if (event.requestedAt <= incarnationSeenAt_)
            return;
        ledger_->applyRestart(event.report, event.requestedAt, options_.memory);
        notBefore_.clear();
    } else if (owned_ && ledger_->isFencing() && event.report.fence >= row.fence) {
        ledger_->applyFencedReport(event.report, event.requestedAt);
        notBefore_.clear();
    } else {
        ledger_->applyReport(event.report, event.requestedAt);
    }
    incarnationSeenAt_ = now_;
}

void OwnershipStateMachine::handle(const WantedArtifactsChanged& event) { wanted_ = event; }

void OwnershipStateMachine::handle(const DesiredOwnerChanged& event) { desired_ = event; }

void OwnershipStateMachine::handle(const GrantReleased& event)
{
    if (ledger_)
        ledger_->acceptGrant(event.release);
}

void OwnershipStateMachine::handle(const TimePassed&)
{
    std::erase_if(notBefore_, [this](const auto& entry) { return entry.second <= now_; });
}

void OwnershipStateMachine::advance()
{
    advanceRead();
    advanceWrite();
    takeOverIfWanted();
    if (!owned_)
        return;
    forgetResolvedOrders();
    expireOrders();
    if (isGrantUsable()) {
        planGrantUnloads();
        planGrantLoads();
    }
    planTableWrite();
    publishIfChanged();
}

void OwnershipStateMachine::advanceRead()
{
    if (knowledge_ != RowKnowledge::Unknown || now_ < readAt_)
        return;
    knowledge_ = RowKnowledge::Reading;
    actions_.emplace_back(ReadRow{});
}

void OwnershipStateMachine::advanceWrite()
{
    if (!pending_ || now_ < pending_->retryAt)
        return;
    if (pending_->phase == WritePhase::WaitingToWrite)
        repeatWrite();
    if (pending_->phase == WritePhase::WaitingToRead) {
        pending_->phase = WritePhase::ReadingBack;
        actions_.emplace_back(ReadRow{});
    }
}

void OwnershipStateMachine::takeOverIfWanted()
{
    if (owned_ || pending_ || knowledge_ != RowKnowledge::Known || desired_.desired != options_.self)
        return;
    if (!committed_) {
        if (!firstReport_)
            return;
        ledger_ = TargetLedger::createFromReport(*firstReport_, options_.memory);
    } else {
        const InstanceId& owner = committed_->row.owner;
        // A row owned by this instance that this machine did not write was written by an earlier machine of the same
        // process.
        if (!owner.empty() && owner != options_.self && owner != desired_.replaceable)
            return;
        ledger_.emplace(committed_->row);
    }
    firstReport_.reset();
    incarnationSeenAt_ = now_;
    ledger_->takeOver(options_.self);
    if (options_.honoursFencing) {
        const OrderId id(options_.generateUniqueId());
        ledger_->startFence(id, false);
        unsent_.push_back(id);
    }
    startWrite();
}

bool OwnershipStateMachine::isPending(const Nonce& nonce) const { return pending_ && pending_->row.nonce == nonce; }

void OwnershipStateMachine::startWrite()
{
    ledger_->setNonce(Nonce(options_.generateUniqueId()));
    pending_ = PendingWrite{committed_ ? committed_->version : RowVersion{}, ledger_->row(), WritePhase::InFlight, {}};
    repeatWrite();
}

void OwnershipStateMachine::repeatWrite()
{
    pending_->phase = WritePhase::InFlight;
    actions_.emplace_back(CompareAndSetRow{pending_->base, pending_->row});
}

void OwnershipStateMachine::waitToRead()
{
    pending_->phase = WritePhase::WaitingToRead;
    pending_->retryAt = now_ + options_.retryDelay;
}

void OwnershipStateMachine::resolvePending(const VersionedRow& row)
{
    if (row.row.nonce == pending_->row.nonce)
        commitPending(row.version);
    else
        adoptForeignRow(row);
}

void OwnershipStateMachine::commitPending(RowVersion version)
{
    platformReachable_ = true;
    committed_ = VersionedRow{version, std::move(pending_->row)};
    pending_.reset();
    if (committed_->row.owner != options_.self) {
        adoptForeignRow(committed_);
        return;
    }
    if (!owned_)
        ownedSince_ = now_;
    owned_ = true;
    sendRecorded();
}

void OwnershipStateMachine::sendRecorded()
{
    for (const OrderId& id : std::exchange(unsent_, {})) {
        // An engine restart since the write has removed the order from the ledger.
        const EngineOrder* order = ledger_->row().order(id);
        if (!order)
            continue;
        if (order->operation == OrderOperation::Load && ledger_->isInGrant(order->artifact))
            ledger_->removeUnsent(id);
        else
            send(*order);
    }
}

bool OwnershipStateMachine::isGrantHandedOver(const TargetRow& row) const
{
    // A pending write that raised the fencing number may have been committed before the other owner's write.
    return row.isGrantInherited() && !row.owner.empty()
        && (row.grantFence == committed_->row.fence || row.grantFence == ledger_->row().fence);
}

void OwnershipStateMachine::adoptForeignRow(std::optional<VersionedRow> row)
{
    if (owned_ && row && isGrantHandedOver(row->row))
        actions_.emplace_back(
            ReleaseGrant{row->row.owner, {row->row.grantFence, ledger_->row().incarnation, ledger_->grantContents()}});
    committed_ = std::move(row);
    owned_ = false;
    pending_.reset();
    ledger_.reset();
    sent_.clear();
    unsent_.clear();
    notBefore_.clear();
    loadedAt_.clear();
    published_.reset();
}

} // namespace lychee
