#include "fleet/PlacementLease.h"

#include <algorithm>

namespace lychee::fleet {

namespace {

// Instances with at least this part of a processor take the lease without delay.
constexpr double largeProcessorShare = 0.5;

// The delay without any processor. Instances read the row twice a second, and one with 0.12 of a processor has to stay
// more than one read behind the large ones. A successor may not send orders until an order window and a lease have
// passed, so this delays no order.
constexpr std::chrono::duration<double> maxSmallMachineDelay = std::chrono::milliseconds(1300);

// Fencing numbers of one era of the store. Fences that were given out in the lost end of an era are unknown in the next
// one, which begins above them.
constexpr std::uint64_t fencesOfEra = std::uint64_t{1} << 20;

} // namespace

Duration smallMachineDelay(double processorShare)
{
    const double missing = std::max(0.0, 1 - processorShare / largeProcessorShare);
    return std::chrono::duration_cast<Duration>(missing * maxSmallMachineDelay);
}

LeaseStep PlacementLease::next(TimePoint now) const
{
    if (!rowKnown_) {
        const bool retryTooSoon = lastCallFailed_ && now - lastCallAt_ < options_.urgentReadInterval;
        return retryTooSoon ? LeaseStep::Wait : LeaseStep::Read;
    }
    const Duration sinceLastCall = now - lastCallAt_;
    if (isHolder()) {
        if (givesUp())
            return LeaseStep::Write;
        return sinceLastCall >= options_.renewInterval ? LeaseStep::Write : LeaseStep::Wait;
    }
    if (releasing_)
        return LeaseStep::Wait;
    const bool heard = heardFromHolderRecently(now);
    if (!heard && isCandidate_ && mayAcquire())
        return LeaseStep::Write;
    const Duration interval = heard ? options_.idleReadInterval : options_.urgentReadInterval;
    return sinceLastCall >= interval ? LeaseStep::Read : LeaseStep::Wait;
}

bool PlacementLease::heardFromHolderRecently(TimePoint now) const
{
    return holderHeardAt_ != TimePoint() && now - holderHeardAt_ < options_.orderWindow;
}

// Uses only the times of completed reads, so that no compare-and-set is sent whose condition failed long ago.
bool PlacementLease::mayAcquire() const
{
    const Duration unchanged = versionConfirmedAt_ - versionSeenAt_;
    // The first holder may send orders at once, so a small machine leaves only the time of one read to larger ones.
    if (!row_)
        return options_.smallMachineDelay == Duration(0) || unchanged > Duration(0);
    if (row_->holder.empty())
        return unchanged >= acquireDelay();
    return unchanged >= options_.orderWindow + options_.renewInterval + acquireDelay();
}

LeaseRow PlacementLease::row() const
{
    if (givesUp() && isHolder())
        return {InstanceId(), fence()};
    if (isHolder())
        return {self_, fence()};
    return {self_, nextFence()};
}

FencingNumber PlacementLease::nextFence() const
{
    return std::max(fence(), FencingNumber(era_.value_or(0) * fencesOfEra)).next();
}

std::optional<LeaseRow> PlacementLease::withoutVoidLease(std::optional<LeaseRow> row) const
{
    const std::uint64_t lastEarlierFence = era_.value_or(0) * fencesOfEra;
    if (row && row->holder == self_ && row->fence.value() <= lastEarlierFence)
        row->holder = InstanceId();
    return row;
}

void PlacementLease::observed(
    const std::optional<LeaseRow>& row, RowVersion version, std::uint64_t era, TimePoint answeredAt)
{
    lastCallAt_ = answeredAt;
    lastCallFailed_ = false;
    if (era_ && era > *era_) {
        era_ = era;
        wasRestored_ = true;
        rowKnown_ = true;
        row_ = withoutVoidLease(row);
        rowVersion_ = version;
        versionSeenAt_ = answeredAt;
        versionConfirmedAt_ = answeredAt;
        ordersUntil_ = {};
        return;
    }
    era_ = std::max(era, era_.value_or(era));
    // The answer is outdated: a newer version of the row is already known.
    if (rowKnown_ && version < rowVersion_ && row)
        return;
    const bool wasHolder = isHolder();
    if (version != rowVersion_ || versionSeenAt_ == TimePoint())
        versionSeenAt_ = answeredAt;
    versionConfirmedAt_ = answeredAt;
    rowKnown_ = true;
    row_ = withoutVoidLease(row);
    rowVersion_ = version;
    if (!wasHolder && isHolder()) {
        // A write of this instance took effect although its answer was lost. The next renewal opens the order window.
        ordersFrom_ = answeredAt + options_.orderWindow + options_.lease;
        ordersUntil_ = {};
    }
}

void PlacementLease::written(RowVersion version, TimePoint sentAt, TimePoint answeredAt)
{
    const LeaseRow written = row();
    const bool renewed = isHolder();
    if (!renewed) {
        // If the row has never existed, no other instance can have sent orders.
        const bool first = !row_ && !wasRestored_;
        ordersFrom_ = first ? answeredAt : versionSeenAt_ + options_.orderWindow + options_.lease;
    }
    rowKnown_ = true;
    lastCallFailed_ = false;
    row_ = written;
    rowVersion_ = version;
    versionSeenAt_ = answeredAt;
    lastCallAt_ = sentAt;
    ordersUntil_ = sentAt + options_.orderWindow;
}

void PlacementLease::failed(TimePoint now)
{
    lastCallAt_ = now;
    lastCallFailed_ = true;
    // A write without an answer may have changed the row, so the row has to be read before the next compare-and-set.
    rowKnown_ = false;
}

bool PlacementLease::maySendOrders(TimePoint now) const
{
    return isHolder() && !givesUp() && now >= ordersFrom_ && now < ordersUntil_;
}

} // namespace lychee::fleet
