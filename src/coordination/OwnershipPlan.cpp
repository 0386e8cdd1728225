// The part of OwnershipStateMachine that plans orders and tracks their outcomes.
#include "coordination/OwnershipStateMachine.h"

namespace lychee {

void OwnershipStateMachine::planTableWrite()
{
    if (pending_)
        return;
    if (shouldHandOver()) {
        if (!hasOutstandingOrders())
            ledger_->releaseOwnership();
    } else if (!planFence()) {
        planUnloads();
        const bool memoryShort = planLoads();
        if (!memoryShort)
            ledger_->growGrant(options_.grant);
    }
    if (ledger_->row() != committed_->row)
        startWrite();
}

bool OwnershipStateMachine::planFence()
{
    const bool fencing = ledger_->isFencing();
    if (!options_.honoursFencing || !hasLostOrderDue(fencing))
        return fencing;
    const OrderId id(options_.generateUniqueId());
    // A repeated fence order keeps its fencing number, because no other order was sent with it.
    ledger_->startFence(id, !fencing);
    unsent_.push_back(id);
    return true;
}

void OwnershipStateMachine::planUnloads()
{
    for (const ArtifactId& artifact : wanted_.unloads) {
        if (ledger_->row().orders.size() >= maxRecordedOrders)
            return;
        if (!ledger_->isResident(artifact) || ledger_->isInGrant(artifact) || isWantedLoad(artifact))
            continue;
        if (mayOrder(artifact))
            recordAndQueue(OrderOperation::Unload, {artifact, {}});
    }
}

bool OwnershipStateMachine::planLoads()
{
    bool memoryShort = false;
    for (const ArtifactSize& item : wanted_.loads) {
        if (isServing(item.artifact) || ledger_->isInGrant(item.artifact) || !mayOrder(item.artifact))
            continue;
        if (ledger_->mayRecordLoad(item))
            recordAndQueue(OrderOperation::Load, item);
        else
            memoryShort = true;
    }
    return memoryShort;
}

void OwnershipStateMachine::planGrantUnloads()
{
    for (const ArtifactId& artifact : wanted_.unloads) {
        if (ledger_->isResident(artifact) && ledger_->isInGrant(artifact) && !isWantedLoad(artifact)
            && mayOrder(artifact))
            sendInGrant(OrderOperation::Unload, {artifact, {}});
    }
}

void OwnershipStateMachine::planGrantLoads()
{
    for (const ArtifactSize& item : wanted_.loads) {
        if (isServing(item.artifact) || !belongsInGrant(item.artifact) || !mayOrder(item.artifact))
            continue;
        if (ledger_->mayLoadInGrant(item, committed_->row.grant))
            sendInGrant(OrderOperation::Load, item);
    }
}

void OwnershipStateMachine::publishIfChanged()
{
    PublishResidency current{ledger_->row().fence, ledger_->knownResident()};
    std::erase_if(current.resident, [this](const ArtifactSize& item) { return !isServing(item.artifact); });
    if (published_ && published_->fence == current.fence && published_->resident == current.resident)
        return;
    published_ = current;
    actions_.emplace_back(std::move(current));
}

void OwnershipStateMachine::send(const EngineOrder& order)
{
    sent_[order.id] = SentOrder{order.artifact, order.operation, now_};
    actions_.emplace_back(SendOrder{order, ledger_->row().incarnation});
}

void OwnershipStateMachine::recordAndQueue(OrderOperation operation, const ArtifactSize& item)
{
    const EngineOrder order = makeOrder(operation, item);
    ledger_->record(order);
    unsent_.push_back(order.id);
}

void OwnershipStateMachine::sendInGrant(OrderOperation operation, const ArtifactSize& item)
{
    const EngineOrder order = makeOrder(operation, item);
    ledger_->recordInGrant(order);
    send(order);
}

void OwnershipStateMachine::markLost(const OrderId& id)
{
    const auto sent = sent_.find(id);
    if (sent == sent_.end() || sent->second.lost)
        return;
    sent->second.lost = true;
    sent->second.lostAt = now_;
    notBefore_[sent->second.artifact] = now_ + options_.retryDelay;
}

void OwnershipStateMachine::expireOrders()
{
    for (const auto& [id, order] : sent_) {
        if (!order.lost && order.sentAt + options_.orderTimeout <= now_)
            markLost(id);
    }
}

void OwnershipStateMachine::forgetResolvedOrders()
{
    std::erase_if(sent_, [this](const auto& entry) {
        const auto hasId = [&](const EngineOrder& order) { return order.id == entry.first; };
        return std::ranges::none_of(ledger_->row().orders, hasId)
            && std::ranges::none_of(ledger_->grantContents().orders, hasId);
    });
}

bool OwnershipStateMachine::isOutstanding(const ArtifactId& artifact) const
{
    return std::ranges::any_of(
        sent_, [&](const auto& entry) { return entry.second.artifact == artifact && !entry.second.lost; });
}

bool OwnershipStateMachine::hasOutstandingOrders() const
{
    return std::ranges::any_of(sent_, [](const auto& entry) { return !entry.second.lost; });
}

bool OwnershipStateMachine::hasLostOrderDue(bool fenceOnly) const
{
    return std::ranges::any_of(sent_, [this, fenceOnly](const auto& entry) {
        return (!fenceOnly || entry.second.operation == OrderOperation::Fence) && entry.second.lost
            && entry.second.lostAt + options_.retryDelay <= now_;
    });
}

bool OwnershipStateMachine::mayOrder(const ArtifactId& artifact) const
{
    const auto waiting = notBefore_.find(artifact);
    return !isOutstanding(artifact) && (waiting == notBefore_.end() || waiting->second <= now_);
}

bool OwnershipStateMachine::isServing(const ArtifactId& artifact) const
{
    const auto loaded = loadedAt_.find(artifact);
    const TimePoint since = loaded == loadedAt_.end() ? ownedSince_ : loaded->second;
    // Reports lag behind, so one requested right after the load may not list the artifact yet.
    return ledger_->isResident(artifact) && !ledger_->isReportedMissing(artifact, since + options_.retryDelay);
}

bool OwnershipStateMachine::shouldHandOver() const
{
    return !desired_.desired.empty() && desired_.desired != options_.self;
}

bool OwnershipStateMachine::isGrantUsable() const
{
    const TargetRow& committed = committed_->row;
    const TargetRow& row = ledger_->row();
    return !shouldHandOver() && !ledger_->isFencing() && row.owner == options_.self && committed.fence == row.fence
        && committed.grantFence == committed.fence && committed.incarnation == row.incarnation;
}

bool OwnershipStateMachine::belongsInGrant(const ArtifactId& artifact) const
{
    if (ledger_->isInGrant(artifact))
        return true;
    if (ledger_->row().isResident(artifact))
        return false;
    if (!platformReachable_) {
        // An order that is not yet recorded in the table does not count: sendRecorded() drops it later.
        return std::ranges::none_of(ledger_->row().orders, [&](const EngineOrder& order) {
            return order.artifact == artifact && std::ranges::find(unsent_, order.id) == unsent_.end();
        });
    }
    return isAdapter(artifact) && !ledger_->row().hasUnresolvedLoad(artifact);
}

bool OwnershipStateMachine::isWantedLoad(const ArtifactId& artifact) const
{
    return std::ranges::any_of(wanted_.loads, [&](const ArtifactSize& item) { return item.artifact == artifact; });
}

EngineOrder OwnershipStateMachine::makeOrder(OrderOperation operation, const ArtifactSize& item) const
{
    EngineOrder order;
    order.id = OrderId(options_.generateUniqueId());
    order.fence = ledger_->row().fence;
    order.operation = operation;
    order.artifact = item.artifact;
    order.bytes = item.bytes;
    return order;
}

} // namespace lychee
