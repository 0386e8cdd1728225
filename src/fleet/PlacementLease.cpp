#include "fleet/PlacementLease.h"

namespace lychee::fleet {

LeaseStep PlacementLease::next(TimePoint now) const
{
    if (!known_) {
        const bool pause = stepFailed_ && now - lastStepAt_ < options_.urgentReadInterval;
        return pause ? LeaseStep::Wait : LeaseStep::Read;
    }
    const Duration sinceStep = now - lastStepAt_;
    if (isHolder()) {
        if (releasing_)
            return LeaseStep::Write;
        return sinceStep >= options_.renewInterval ? LeaseStep::Write : LeaseStep::Wait;
    }
    if (releasing_)
        return LeaseStep::Wait;
    const bool hears = hearsFromHolder(now);
    if (!hears && mayTake())
        return LeaseStep::Write;
    const Duration interval = hears ? options_.idleReadInterval : options_.urgentReadInterval;
    return sinceStep >= interval ? LeaseStep::Read : LeaseStep::Wait;
}

bool PlacementLease::hearsFromHolder(TimePoint now) const
{
    return heardAt_ != TimePoint() && now - heardAt_ < options_.orderWindow;
}

// Judged by what a read has confirmed, so that no write is made whose condition has long failed.
bool PlacementLease::mayTake() const
{
    if (!holder_)
        return true;
    const Duration unchanged = confirmedAt_ - seenAt_;
    if (holder_->holder.empty())
        return unchanged >= options_.acquireDelay;
    return unchanged >= options_.orderWindow + options_.renewInterval + options_.acquireDelay;
}

LeaseRow PlacementLease::row() const
{
    if (releasing_)
        return {InstanceId(), fence()};
    if (isHolder())
        return {self_, fence()};
    return {self_, fence().next()};
}

void PlacementLease::observed(const std::optional<LeaseRow>& row, RowVersion version, TimePoint answeredAt)
{
    lastStepAt_ = answeredAt;
    stepFailed_ = false;
    // An answer that was overtaken by a newer one shows the past.
    if (known_ && version < version_ && row)
        return;
    const bool wasHolder = isHolder();
    if (version != version_ || seenAt_ == TimePoint())
        seenAt_ = answeredAt;
    confirmedAt_ = answeredAt;
    known_ = true;
    holder_ = row;
    version_ = version;
    if (!wasHolder && isHolder()) {
        // A write of this instance whose answer was lost has taken effect. Renewing it starts the act window.
        actFrom_ = answeredAt + options_.orderWindow + options_.lease;
        actUntil_ = {};
    }
}

void PlacementLease::written(RowVersion version, TimePoint sentAt, TimePoint answeredAt)
{
    const LeaseRow written = row();
    const bool renewed = isHolder();
    if (!renewed) {
        // Only where the row never existed has nobody sent orders before.
        const bool first = !holder_;
        actFrom_ = first ? answeredAt : seenAt_ + options_.orderWindow + options_.lease;
    }
    known_ = true;
    stepFailed_ = false;
    holder_ = written;
    version_ = version;
    seenAt_ = answeredAt;
    lastStepAt_ = sentAt;
    actUntil_ = sentAt + options_.orderWindow;
}

void PlacementLease::failed(TimePoint now)
{
    lastStepAt_ = now;
    stepFailed_ = true;
    // A write without an answer may have changed the row; it has to be read before the next condition.
    known_ = false;
}

bool PlacementLease::maySendOrders(TimePoint now) const
{
    return isHolder() && !releasing_ && now >= actFrom_ && now < actUntil_;
}

} // namespace lychee::fleet
