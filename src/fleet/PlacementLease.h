// Decides which instance sends orders to targets. One row of the platform's table names the holder; it changes only
// by compare-and-set. Targets may not check who gives orders, so a holder acts only shortly after a confirmed renewal,
// and a successor waits until the last order of its predecessor is one lease old.
#pragma once

#include "protocol/Ids.h"
#include "transport/HttpMessage.h"
#include "transport/RuntimeClock.h"

#include <optional>

namespace lychee::fleet {

// The content of the row.
struct LeaseRow {
    // Empty after a release.
    InstanceId holder;
    FencingNumber fence;

    bool operator==(const LeaseRow&) const = default;
};

struct PlacementLeaseOptions {
    // Orders of two holders to one target are at least this far apart.
    Duration lease = std::chrono::seconds(3);
    // The holder sends orders for this long after it sent a renewal that was confirmed. Short, because a successor
    // has to wait for it as well.
    Duration orderWindow = std::chrono::milliseconds(1200);
    // The holder renews this often, so that one lost renewal does not stop it.
    Duration renewInterval = std::chrono::milliseconds(500);
    // How often others read the row while they hear from the holder, and while they do not.
    Duration idleReadInterval = std::chrono::seconds(60);
    Duration urgentReadInterval = std::chrono::milliseconds(500);
    // Additional wait of this instance before it takes the row, so that not all write at once.
    Duration acquireDelay{0};
};

enum class LeaseStep {
    Wait,
    Read,
    // Write row() on the condition that the row still has expectedVersion().
    Write,
};

// A state machine without I/O. All times are on a clock that counts suspension of the machine.
class PlacementLease {
public:
    PlacementLease(InstanceId self, PlacementLeaseOptions options)
        : self_(std::move(self))
        , options_(options)
    {
    }

    // What to do now.
    LeaseStep next(TimePoint now) const;

    // The row to write after LeaseStep::Write.
    LeaseRow row() const;

    RowVersion expectedVersion() const { return version_; }

    // A read or a rejected write has shown the row. Absent rows have version zero. `answeredAt` is the time of the
    // answer.
    void observed(const std::optional<LeaseRow>& row, RowVersion version, TimePoint answeredAt);

    // The write that was sent at `sentAt` is confirmed.
    void written(RowVersion version, TimePoint sentAt, TimePoint answeredAt);

    // A read or write got no answer. A write may still take effect.
    void failed(TimePoint now);

    // The holder has said, through a peer connection, that it may act. Not called for a holder that cannot renew.
    void heardFromHolder(TimePoint now) { heardAt_ = now; }

    // The connection to the holder has broken, which is a sign that its process has ended.
    void holderDisconnected() { heardAt_ = {}; }

    // Whether this instance is the holder and may send an order now.
    bool maySendOrders(TimePoint now) const;

    // Whether this instance is the holder and its last confirmed renewal is recent.
    bool isRenewing(TimePoint now) const { return isHolder() && !releasing_ && now < actUntil_; }

    bool isHolder() const { return holder_ && holder_->holder == self_; }

    // The holder as far as known; empty when there is none.
    InstanceId holder() const { return holder_ ? holder_->holder : InstanceId(); }

    FencingNumber fence() const { return holder_ ? holder_->fence : FencingNumber(); }

    // Stops acting at once; the next step writes a row without a holder.
    void release() { releasing_ = true; }

    // Whether a released row is in the table, or this instance was not the holder.
    bool isReleased() const { return !isHolder(); }

private:
    bool mayTake() const;
    bool hearsFromHolder(TimePoint now) const;

    InstanceId self_;
    PlacementLeaseOptions options_;
    bool known_ = false;
    std::optional<LeaseRow> holder_;
    RowVersion version_;
    // When this version was first seen, and when it was last found unchanged.
    TimePoint seenAt_;
    TimePoint confirmedAt_;
    TimePoint lastStepAt_;
    TimePoint heardAt_;
    TimePoint actFrom_;
    TimePoint actUntil_;
    bool stepFailed_ = false;
    bool releasing_ = false;
};

} // namespace lychee::fleet
