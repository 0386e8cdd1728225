#include "coordination/TargetLedger.h"

namespace lychee {

namespace {

bool contains(const std::vector<ArtifactSize>& items, const ArtifactId& artifact)
{
    return std::any_of(items.begin(), items.end(), [&](const ArtifactSize& item) { return item.artifact == artifact; });
}

void insertItem(std::vector<ArtifactSize>& items, const ArtifactSize& added)
{
    for (ArtifactSize& item : items) {
        if (item.artifact == added.artifact) {
            item.bytes = std::max(item.bytes, added.bytes);
            return;
        }
    }
    items.push_back(added);
}

void eraseItem(std::vector<ArtifactSize>& items, const ArtifactId& artifact)
{
    std::erase_if(items, [&](const ArtifactSize& item) { return item.artifact == artifact; });
}

// Removes the order with this id from `orders` and returns it, unless it is a fence order.
std::optional<EngineOrder> takeOrder(std::vector<EngineOrder>& orders, const OrderId& id)
{
    const auto found
        = std::find_if(orders.begin(), orders.end(), [&](const EngineOrder& order) { return order.id == id; });
    if (found == orders.end() || found->operation == OrderOperation::Fence)
        return std::nullopt;
    EngineOrder order = *found;
    orders.erase(found);
    return order;
}

// Removes unloads of an artifact that has been or may be loaded since: a late answer to them must not free its memory.
void eraseUnloads(std::vector<EngineOrder>& orders, const ArtifactId& artifact)
{
    std::erase_if(orders, [&](const EngineOrder& order) {
        return order.operation == OrderOperation::Unload && order.artifact == artifact;
    });
}

void appendOrder(std::vector<EngineOrder>& orders, EngineOrder added)
{
    eraseUnloads(orders, added.artifact);
    orders.push_back(std::move(added));
}

void raiseToAtLeast(std::map<ArtifactId, Bytes>& sizes, const ArtifactId& artifact, Bytes bytes)
{
    Bytes& size = sizes[artifact];
    size = std::max(size, bytes);
}

Bytes totalBytes(const std::map<ArtifactId, Bytes>& sizes)
{
    Bytes total;
    for (const auto& [artifact, bytes] : sizes)
        total += bytes;
    return total;
}

} // namespace

TargetLedger::TargetLedger(TargetRow row)
    : row_(std::move(row))
{
}

TargetLedger TargetLedger::createFromReport(const EngineReport& report, Bytes memoryLimit)
{
    TargetRow row;
    row.capacity = std::min(report.capacity, memoryLimit);
    row.incarnation = report.incarnation;
    for (const ArtifactSize& item : report.resident)
        row.addResident(item);
    return TargetLedger(std::move(row));
}

Bytes TargetLedger::counted() const { return countWith({}); }

bool TargetLedger::mayRecordLoad(const ArtifactSize& item) const
{
    return row_.orders.size() < maxRecordedOrders && countWith(item) <= row_.capacity;
}

bool TargetLedger::mayLoadInGrant(const ArtifactSize& item, Bytes committed) const
{
    return grant_.orders.size() < maxRecordedOrders && grantUse(item) <= std::min(committed, row_.grant);
}

bool TargetLedger::isInGrant(const ArtifactId& artifact) const
{
    return contains(grant_.resident, artifact)
        || std::any_of(grant_.orders.begin(), grant_.orders.end(),
            [&](const EngineOrder& order) { return order.artifact == artifact; });
}

bool TargetLedger::isResident(const ArtifactId& artifact) const
{
    return row_.isResident(artifact) || contains(grant_.resident, artifact)
        || (reported_ && contains(reported_->resident, artifact));
}

std::vector<ArtifactSize> TargetLedger::knownResident() const
{
    std::map<ArtifactId, Bytes> sizes;
    for (const ArtifactSize& item : row_.resident)
        raiseToAtLeast(sizes, item.artifact, item.bytes);
    for (const ArtifactSize& item : grant_.resident)
        raiseToAtLeast(sizes, item.artifact, item.bytes);
    if (reported_) {
        for (const ArtifactSize& item : reported_->resident)
            raiseToAtLeast(sizes, item.artifact, item.bytes);
    }
    std::vector<ArtifactSize> items;
    items.reserve(sizes.size());
    for (const auto& [artifact, bytes] : sizes)
        items.push_back({artifact, bytes});
    return items;
}

bool TargetLedger::isReportedMissing(const ArtifactId& artifact, TimePoint since) const
{
    return reported_ && reported_->requestedAt > since && !contains(reported_->resident, artifact);
}

void TargetLedger::record(EngineOrder order) { appendOrder(row_.orders, std::move(order)); }

void TargetLedger::recordInGrant(EngineOrder order) { appendOrder(grant_.orders, std::move(order)); }

void TargetLedger::removeUnsent(const OrderId& id)
{
    takeOrder(row_.orders, id);
    takeOrder(grant_.orders, id);
}

bool TargetLedger::applyAnswer(const OrderAnswer& answer)
{
    // Both calls are needed: after releaseOwnership() an order is listed in the row and in the grant.
    const bool inRow = resolveInRow(answer.id, answer.state);
    const bool inGrant = resolveInGrant(answer.id, answer.state);
    return inRow || inGrant;
}

void TargetLedger::applyReport(const EngineReport& report, TimePoint requestedAt)
{
    for (const OrderId& id : report.appliedOrders)
        applyAnswer({id, OrderState::Applied, {}});
    if (!reported_ || requestedAt > reported_->requestedAt)
        reported_ = Reported{requestedAt, report.resident};
}

void TargetLedger::applyRestart(const EngineReport& report, TimePoint requestedAt, Bytes memoryLimit)
{
    const bool ownGrant = row_.grantFence == row_.fence;
    row_.incarnation = report.incarnation;
    row_.capacity = std::min(report.capacity, memoryLimit);
    row_.orders.clear();
    row_.resident.clear();
    for (const ArtifactSize& item : report.resident)
        row_.addResident(item);
    grant_ = {};
    reported_ = Reported{requestedAt, report.resident};
    const Bytes grant = ownGrant ? row_.grant : Bytes{};
    row_.grant = {};
    row_.grantFence = row_.fence;
    growGrant(grant);
}

bool TargetLedger::isFencing() const
{
    return std::any_of(row_.orders.begin(), row_.orders.end(), [&](const EngineOrder& order) {
        return order.operation == OrderOperation::Fence && order.fence == row_.fence;
    });
}

void TargetLedger::takeOver(const InstanceId& owner)
{
    row_.owner = owner;
    row_.fence = row_.fence.next();
}

void TargetLedger::startFence(const OrderId& id, bool raiseFence)
{
    if (raiseFence) {
        const bool ownGrant = row_.grantFence == row_.fence;
        row_.fence = row_.fence.next();
        if (ownGrant)
            row_.grantFence = row_.fence;
    }
    std::erase_if(row_.orders, [](const EngineOrder& order) { return order.operation == OrderOperation::Fence; });
    EngineOrder order;
    order.id = id;
    order.fence = row_.fence;
    order.operation = OrderOperation::Fence;
    row_.orders.push_back(std::move(order));
}

void TargetLedger::applyFencedReport(const EngineReport& report, TimePoint requestedAt)
{
    if (row_.isGrantInherited())
        row_.grant = {};
    if (row_.grant == Bytes{})
        row_.grantFence = row_.fence;
    const TargetLedger before = *this;
    row_.orders.clear();
    row_.resident.clear();
    grant_ = {};
    for (const ArtifactSize& item : report.resident) {
        if (before.isInGrant(item.artifact) && !before.row_.isResident(item.artifact))
            insertItem(grant_.resident, item);
        else
            row_.addResident(item);
    }
    reported_ = Reported{requestedAt, report.resident};
}

void TargetLedger::growGrant(Bytes wanted)
{
    if (row_.isGrantInherited() || row_.grant >= wanted)
        return;
    const Bytes used = counted();
    if (used >= row_.capacity)
        return;
    row_.grant += std::min(wanted - row_.grant, row_.capacity - used);
    row_.grantFence = row_.fence;
}

bool TargetLedger::acceptGrant(const GrantRelease& release)
{
    if (!row_.isGrantInherited() || release.grantFence != row_.grantFence || release.incarnation != row_.incarnation)
        return false;
    addGrantContents(release.contents);
    return true;
}

void TargetLedger::releaseOwnership()
{
    if (!row_.isGrantInherited())
        addGrantContents(grant_);
    row_.owner = InstanceId();
}

void TargetLedger::addGrantContents(const GrantContents& contents)
{
    for (const ArtifactSize& item : contents.resident)
        row_.addResident(item);
    for (const EngineOrder& order : contents.orders) {
        if (order.operation == OrderOperation::Load)
            row_.orders.push_back(order);
    }
    row_.grant = {};
    row_.grantFence = row_.fence;
}

bool TargetLedger::resolveInRow(const OrderId& id, OrderState state)
{
    const std::optional<EngineOrder> order = takeOrder(row_.orders, id);
    if (!order)
        return false;
    if (state == OrderState::Refused)
        return true;
    if (order->operation == OrderOperation::Load) {
        eraseUnloads(row_.orders, order->artifact);
        row_.addResident({order->artifact, order->bytes});
    }
    if (order->operation == OrderOperation::Unload) {
        row_.removeResident(order->artifact);
        forgetReported(order->artifact);
    }
    return true;
}

bool TargetLedger::resolveInGrant(const OrderId& id, OrderState state)
{
    const std::optional<EngineOrder> order = takeOrder(grant_.orders, id);
    if (!order)
        return false;
    if (state == OrderState::Refused)
        return true;
    if (order->operation == OrderOperation::Load) {
        eraseUnloads(grant_.orders, order->artifact);
        insertItem(grant_.resident, {order->artifact, order->bytes});
    }
    if (order->operation == OrderOperation::Unload) {
        eraseItem(grant_.resident, order->artifact);
        forgetReported(order->artifact);
    }
    return true;
}

void TargetLedger::forgetReported(const ArtifactId& artifact)
{
    // The unload is newer than the report. If the artifact is loaded again, that load is counted separately.
    if (reported_)
        eraseItem(reported_->resident, artifact);
}

Bytes TargetLedger::countWith(const ArtifactSize& added) const
{
    std::map<ArtifactId, Bytes> sizes;
    for (const ArtifactSize& item : row_.resident)
        raiseToAtLeast(sizes, item.artifact, item.bytes);
    for (const EngineOrder& order : row_.orders) {
        if (order.operation == OrderOperation::Load)
            raiseToAtLeast(sizes, order.artifact, order.bytes);
    }
    if (reported_) {
        for (const ArtifactSize& item : reported_->resident) {
            // Artifacts that the owner loaded within its grant are already counted by the grant.
            if (!isInGrant(item.artifact))
                raiseToAtLeast(sizes, item.artifact, item.bytes);
        }
    }
    if (!added.artifact.empty())
        raiseToAtLeast(sizes, added.artifact, added.bytes);
    return totalBytes(sizes) + row_.grant;
}

Bytes TargetLedger::grantUse(const ArtifactSize& added) const
{
    std::map<ArtifactId, Bytes> sizes;
    for (const ArtifactSize& item : grant_.resident)
        raiseToAtLeast(sizes, item.artifact, item.bytes);
    for (const EngineOrder& order : grant_.orders) {
        if (order.operation == OrderOperation::Load)
            raiseToAtLeast(sizes, order.artifact, order.bytes);
    }
    raiseToAtLeast(sizes, added.artifact, added.bytes);
    return totalBytes(sizes);
}

} // namespace lychee
