// Lease that decides which instance sends orders to targets. One row of the platform's table names the holder; it is
// written only by compare-and-set. Targets may not check who sends an order, so a holder sends orders only for a short
// time after a confirmed renewal, and its successor waits until the last order that the previous holder can have sent
// is one lease old.
//
// When the platform's store is restored from a copy, the row may be one that had been replaced, and the last holder may
// be another instance than the row names. All instances then treat the row as if its holder had just sent an order, and
// number their fences above all that were given out before.
#pragma once

#include "protocol/Ids.h"
#include "transport/HttpMessage.h"
#include "transport/RuntimeClock.h"

#include <optional>

namespace lychee::fleet {

// The content of the lease row.
struct LeaseRow {
    // Empty after the holder has released the lease.
    InstanceId holder;
    FencingNumber fence;

    bool operator==(const LeaseRow&) const = default;
};

struct PlacementLeaseOptions {
    // Minimum time between orders of two different holders to the same target.
    Duration lease = std::chrono::seconds(3);
    // The holder may send orders for this long after sending a renewal that was confirmed. Short, because a successor
    // has to wait for this time in addition to the lease.
    Duration orderWindow = std::chrono::milliseconds(1200);
    // Interval at which the holder renews: short enough that one lost renewal does not stop it from sending orders.
    Duration renewInterval = std::chrono::milliseconds(500);
    // How often other instances read the row while they receive messages from the holder, and while they do not.
    Duration idleReadInterval = std::chrono::seconds(60);
    Duration urgentReadInterval = std::chrono::milliseconds(500);
    // Additional time that this instance waits before it acquires the lease, so that instances do not all write at
    // once.
    Duration acquireDelay{0};
    // Additional time that this instance leaves to others whose machines are larger.
    Duration smallMachineDelay{0};
};

// The time that an instance with this part of a processor leaves to larger ones. The owner answers the calls of all
// instances and announces each change to all of them.
Duration smallMachineDelay(double processorShare);

enum class LeaseStep {
    Wait,
    Read,
    // Write row() with a compare-and-set on expectedVersion().
    Write,
};

// A state machine without I/O. All times are on a clock that keeps running while the machine is suspended.
class PlacementLease {
public:
    PlacementLease(InstanceId self, PlacementLeaseOptions options)
        : self_(std::move(self))
        , options_(options)
    {
    }

    // The step that is due now.
    LeaseStep next(TimePoint now) const;

    // The row to write after LeaseStep::Write.
    LeaseRow row() const;

    RowVersion expectedVersion() const { return rowVersion_; }

    // Records the row that a read or a rejected write has returned. An absent row has version zero. `era` counts how
    // often the store has been restored, and `answeredAt` is when the answer arrived.
    void observed(const std::optional<LeaseRow>& row, RowVersion version, std::uint64_t era, TimePoint answeredAt);

    // Records that the write sent at `sentAt` was confirmed at `answeredAt`.
    void written(RowVersion version, TimePoint sentAt, TimePoint answeredAt);

    // Records that a read or write got no answer. A write may still take effect.
    void failed(TimePoint now);

    // Records that the holder has reported over a peer connection whether it is renewing the lease. If it is not, the
    // row is read at once: the wait for its last order begins with the first read of the version that it left.
    void heardFromHolder(TimePoint now, bool isRenewing) { holderHeardAt_ = isRenewing ? now : TimePoint(); }

    // Records that the connection to the holder has broken; its process has probably ended.
    void holderDisconnected() { holderHeardAt_ = {}; }

    // Whether this instance is the holder and may send an order now.
    bool maySendOrders(TimePoint now) const;

    // Whether this instance is the holder and its last confirmed renewal is recent enough for it to send orders.
    bool isRenewing(TimePoint now) const { return isHolder() && !givesUp() && now < ordersUntil_; }

    bool isHolder() const { return row_ && row_->holder == self_; }

    // The last known holder; empty when there is none.
    InstanceId holder() const { return row_ ? row_->holder : InstanceId(); }

    FencingNumber fence() const { return row_ ? row_->fence : FencingNumber(); }

    // Stops sending orders at once; the next step writes a row without a holder.
    void release() { releasing_ = true; }

    // Sets whether this instance may hold the lease. One that may not releases it, and takes it no more.
    void setCandidate(bool isCandidate) { isCandidate_ = isCandidate; }

    // Whether the released row is in the table, or this instance was not the holder.
    bool isReleased() const { return !isHolder(); }

private:
    bool givesUp() const { return releasing_ || !isCandidate_; }
    bool mayAcquire() const;
    FencingNumber nextFence() const;
    // The row as it counts here: a lease of this instance from before the store was restored is void, because another
    // one may have taken it in the time that the store has lost.
    std::optional<LeaseRow> withoutVoidLease(std::optional<LeaseRow> row) const;
    Duration acquireDelay() const { return options_.acquireDelay + options_.smallMachineDelay; }
    bool heardFromHolderRecently(TimePoint now) const;

    InstanceId self_;
    PlacementLeaseOptions options_;
    bool rowKnown_ = false;
    std::optional<LeaseRow> row_;
    RowVersion rowVersion_;
    // The highest era of the store that was observed.
    std::optional<std::uint64_t> era_;
    // The store was restored since this process has known it, so an absent row may have existed.
    bool wasRestored_ = false;
    // When this version of the row was first read, and when it was last found unchanged.
    TimePoint versionSeenAt_;
    TimePoint versionConfirmedAt_;
    TimePoint lastCallAt_;
    TimePoint holderHeardAt_;
    TimePoint ordersFrom_;
    TimePoint ordersUntil_;
    bool lastCallFailed_ = false;
    bool releasing_ = false;
    bool isCandidate_ = true;
};

} // namespace lychee::fleet
