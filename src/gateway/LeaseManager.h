// Acquires, renews and releases the placement lease, which is one row in a table of the platform.
#pragma once

#include "fleet/PlacementLease.h"
#include "gateway/RowStore.h"
#include "transport/Duty.h"
#include "transport/Log.h"

namespace lychee::gateway {

inline constexpr LogChannel leaseLog("lease");

// The text of the row: the fencing number, a space, and the holder, which is empty after a release.
std::string encodeLease(const fleet::LeaseRow& row);

// Nothing when the text is not a lease.
std::optional<fleet::LeaseRow> decodeLease(std::string_view text);

template <RowStore Store> class LeaseManager {
public:
    LeaseManager(Store& store, InstanceId self, fleet::PlacementLeaseOptions options)
        : store_(store)
        , lease_(std::move(self), options)
    {
    }

    // Runs in a fiber until the duty stops. `changed` is called when the holder has changed.
    void run(const std::function<void()>& changed)
    {
        while (!Duty::current()->isStopping()) {
            const InstanceId before = lease_.holder();
            step();
            if (lease_.holder() != before) {
                leaseLog.info("holder={} fence={} row={}", lease_.holder(), lease_.fence(), lease_.expectedVersion());
                changed();
            }
            sleepFor(stepInterval);
        }
    }

    // Releases the lease. Suspends the fiber until the released row is written or the attempts are used up.
    void release()
    {
        lease_.release();
        for (int i = 0; i < releaseAttempts && !lease_.isReleased(); ++i)
            step();
    }

    bool maySendOrders() const { return lease_.maySendOrders(leaseTime()); }

    // Whether this instance is the holder and its last confirmed renewal is recent.
    bool isRenewing() const { return lease_.isRenewing(leaseTime()); }

    fleet::PlacementLease& lease() { return lease_; }

    const fleet::PlacementLease& lease() const { return lease_; }

    // A clock that includes time during which the machine was suspended, because others may take the lease then.
    static TimePoint leaseTime() { return Duty::current()->clock()->nowWithSuspension(); }

private:
    static constexpr const char* table = "placement";
    static constexpr const char* key = "owner";
    static constexpr Duration stepInterval = std::chrono::milliseconds(100);
    // Shorter than PlacementLeaseOptions::orderWindow, so that an unanswered renewal can be repeated within it.
    static constexpr Duration answerTimeout = std::chrono::milliseconds(400);
    static constexpr int releaseAttempts = 3;

    void step()
    {
        switch (lease_.next(leaseTime())) {
        case fleet::LeaseStep::Wait:
            return;
        case fleet::LeaseStep::Read:
            return read();
        case fleet::LeaseStep::Write:
            return write();
        }
    }

    void read()
    {
        const absl::StatusOr<RowPage> page = store_.list(table, currentTime() + answerTimeout);
        const TimePoint now = leaseTime();
        if (!page.ok())
            return lease_.failed(now);
        for (const StoredRow& row : page->rows) {
            if (row.key == key)
                return observe(row, now);
        }
        lease_.observed(std::nullopt, RowVersion(), eraOf(page->version).value(), now);
    }

    void observe(const StoredRow& row, TimePoint now)
    {
        std::optional<fleet::LeaseRow> decoded = decodeLease(row.value);
        if (!decoded) {
            leaseLog.error("row={} cannot be decoded as a placement lease; treated as released", row.version);
            decoded.emplace();
        }
        lease_.observed(decoded, row.version, eraOf(row.version).value(), now);
    }

    void write()
    {
        const TimePoint sentAt = leaseTime();
        const RowWrite write = store_.write(
            table, key, lease_.expectedVersion(), encodeLease(lease_.row()), currentTime() + answerTimeout);
        const TimePoint now = leaseTime();
        switch (write.outcome) {
        case RowWrite::Outcome::Written:
            return lease_.written(write.version, sentAt, now);
        case RowWrite::Outcome::Conflict:
            if (write.current)
                return observe(*write.current, now);
            // The row is gone; a read tells why.
            return lease_.failed(now);
        case RowWrite::Outcome::NotDone:
        case RowWrite::Outcome::Unknown:
            leaseLog.warning("write of the placement lease not confirmed: {}", write.detail);
            return lease_.failed(now);
        }
    }

    Store& store_;
    fleet::PlacementLease lease_;
};

} // namespace lychee::gateway
