// Follows one table of the platform: reads the whole table once, then only its changes.
#pragma once

#include "coordination/CoordinationError.h"
#include "gateway/RowReplica.h"
#include "gateway/StoreAvailability.h"
#include "transport/Duty.h"
#include "transport/Log.h"

namespace lychee::gateway {

inline constexpr LogChannel watchLog("watch");

struct TableWatchOptions {
    std::string table;
    // How long the platform may hold a read until a change occurs.
    Duration wait{0};
    // Pause after each answer, which limits how often a constantly changing table is read.
    Duration pause{0};
    // The same while another instance forwards the changes.
    Duration forwardedWait{0};
    Duration forwardedPause{0};
};

template <RowStore Store> class TableWatch {
public:
    using Handler = std::function<void(const std::vector<StoredRow>&)>;

    // `receivesForwardedChanges` returns whether another instance forwards the changes. `handler` is called with rows
    // that changed.
    TableWatch(Store& store, StoreAvailability& availability, TableWatchOptions options,
        std::function<bool()> receivesForwardedChanges, Handler handler)
        : store_(store)
        , availability_(availability)
        , options_(std::move(options))
        , receivesForwardedChanges_(std::move(receivesForwardedChanges))
        , handler_(std::move(handler))
    {
    }

    // Runs in a fiber until the duty stops.
    void run()
    {
        while (!Duty::current()->isStopping()) {
            const bool first = replica_.version() == RowVersion() || historyLost_;
            const Duration wait = mayReadRarely() ? options_.forwardedWait : shortWait();
            const RowVersion since = replica_.version();
            const TimePoint begin = currentTime();
            const TimePoint sentAt = Duty::current()->clock()->nowWithSuspension();
            const auto cancellation = std::make_shared<HttpCancellation>();
            if (!first && wait > options_.wait)
                cancelWhenItMustBeShort(cancellation);
            absl::StatusOr<RowPage> page = first
                ? store_.list(options_.table, begin + answerTimeout)
                : store_.changes(options_.table, since, wait, deadlineOf(begin, wait), cancellation);
            if (!page.ok()) {
                if (!cancellation->isRequested())
                    handleFailure(page.status(), begin);
                continue;
            }
            availability_.succeeded(currentTime());
            noteEra(eraOf(page->version));
            // A row that a peer has sent already does not count as changed, but the receivers may not have it.
            const bool knowsNewerRows = !replica_.changedSince(since).empty();
            const std::vector<StoredRow> changed = first ? replica_.replace(*page) : replica_.applyChanges(*page);
            historyLost_ = false;
            complete_ = true;
            answeredAt_ = currentTime();
            if (!changed.empty())
                handler_(changed);
            if (readAnswered && !page->isPartial && !mayLackLostWrites())
                readAnswered(sentAt);
            if (forwardChanges)
                forwardChanges(since, knowsNewerRows ? replica_.changedSince(since) : changed);
            pause();
        }
    }

    // Applies rows that a peer has read after the version `since`. The replica is complete up to page.version only if
    // it was complete up to `since`.
    void applyFromPeer(RowVersion since, RowPage page)
    {
        noteEra(eraOf(page.version));
        if (since > replica_.version())
            page.version = replica_.version();
        else
            complete_ = true;
        const std::vector<StoredRow> changed = replica_.applyChanges(page);
        if (!changed.empty())
            handler_(changed);
    }

    // When the platform last answered a read of this table.
    TimePoint answeredAt() const { return answeredAt_; }

    // Called after each answer of the platform with all rows that changed after the version `since`, to forward them to
    // peers. May be empty.
    std::function<void(RowVersion since, const std::vector<StoredRow>&)> forwardChanges;

    // Called after each answer of the platform, when its rows have been handled, with the time at which the read was
    // sent. The time includes suspension of the machine. May be empty.
    std::function<void(TimePoint sentAt)> readAnswered;

    // Called when the store was restored from a copy, which may lack rows that this instance has written. May be empty.
    std::function<void()> storeRestored;

    // Limits how long the platform may hold a read while no changes are forwarded. May be empty.
    std::function<Duration()> maxWait;

    const RowReplica& replica() const { return replica_; }

    // Whether the whole table has been received once.
    bool isComplete() const { return complete_; }

private:
    // Time in which the operator writes again what a restored store has lost. Until then, an answer does not show that
    // nothing newer was acknowledged.
    static constexpr Duration rewriteTime = std::chrono::seconds(1);

    // Time limit for an answer, in addition to the wait that was asked for. The store usually answers within 4 ms, a
    // slow one in 50 times as long.
    static constexpr Duration answerTimeout = std::chrono::milliseconds(900);

    // Shortest time from a failed call to the next one.
    static constexpr Duration failurePause = std::chrono::milliseconds(200);

    // A store whose last call failed is read at the short intervals, even by an instance that receives forwarded
    // changes: while the store counts as unavailable, a removed target is treated as one whose entry expired in the
    // outage.
    bool mayReadRarely() const { return receivesForwardedChanges_() && !availability_.isFailing(); }

    // A read that confirms nothing is not repeated at once, however much a confirmation is needed.
    Duration shortWait() const
    {
        if (mayLackLostWrites())
            return std::min<Duration>(options_.wait, std::chrono::ceil<std::chrono::milliseconds>(lostWritesTime()));
        return maxWait ? std::min(options_.wait, maxWait()) : options_.wait;
    }

    // A read that is held for less than usual may take as long as any other, so that a store that does not answer gets
    // no more calls.
    TimePoint deadlineOf(TimePoint begin, Duration wait) const
    {
        return begin + std::max(wait, options_.wait) + answerTimeout;
    }

    // Compares the era of an answer with the one that was known. A process that has just started cannot tell how long
    // ago the store was restored, if ever; for what its own reads confirm, the first answer counts as the moment of it.
    void noteEra(StoreEra era)
    {
        const std::optional<StoreEra> before = std::exchange(era_, std::max(era, era_.value_or(era)));
        if (era <= before.value_or(StoreEra()))
            return;
        restoredAt_ = currentTime();
        if (!before)
            return;
        watchLog.warning("table={} version={} store_era={} known_era={} store restored from a copy", options_.table,
            replica_.version(), era, *before);
        availability_.restored(*restoredAt_);
        if (storeRestored)
            storeRestored();
    }

    bool mayLackLostWrites() const { return lostWritesTime() > Duration(0); }

    // For how long the table may yet lack what a restoration has lost.
    Duration lostWritesTime() const
    {
        return restoredAt_ ? std::max(*restoredAt_ + rewriteTime - currentTime(), Duration(0)) : Duration(0);
    }

    // Ends early when the other instance stops forwarding changes, or a call fails.
    void pause()
    {
        const TimePoint begin = currentTime();
        while (currentTime() - begin < (mayReadRarely() ? options_.forwardedPause : options_.pause))
            sleepFor(std::min(options_.pause, pauseStep));
    }

    static constexpr Duration pauseStep = std::chrono::milliseconds(100);

    // Ends a long read when the other instance stops forwarding changes, or a call fails. The connection of a read that
    // is held open may have gone silent, and the read would hide every change until its time limit.
    void cancelWhenItMustBeShort(const std::shared_ptr<HttpCancellation>& cancellation)
    {
        Duty::current()->spawn([this, read = std::weak_ptr(cancellation)] {
            for (int reviews = 0; reviews < reviewsToEnd;) {
                sleepFor(reviewInterval);
                if (read.expired())
                    return;
                reviews = mayReadRarely() ? 0 : reviews + 1;
            }
            watchLog.info("table={} version={} long read ended", options_.table, replica_.version());
            if (const auto running = read.lock())
                running->cancel();
        });
    }

    static constexpr Duration reviewInterval = std::chrono::milliseconds(200);

    // A heartbeat that is a little late ends no read, which would cost two calls.
    static constexpr int reviewsToEnd = 2;

    void handleFailure(const absl::Status& status, TimePoint begin)
    {
        if (errorOf<CoordinationError>(status) == CoordinationError::VersionStale) {
            watchLog.info("table={} version={} change history no longer available, reading the whole table",
                options_.table, replica_.version());
            historyLost_ = true;
            return;
        }
        availability_.failed(currentTime(), messageOf(status));
        sleepFor(begin + failurePause - currentTime());
    }

    Store& store_;
    StoreAvailability& availability_;
    TableWatchOptions options_;
    std::function<bool()> receivesForwardedChanges_;
    Handler handler_;
    TimePoint answeredAt_;
    RowReplica replica_;
    bool historyLost_ = false;
    bool complete_ = false;
    // The highest era of the store that was seen.
    std::optional<StoreEra> era_;
    std::optional<TimePoint> restoredAt_;
};

} // namespace lychee::gateway
