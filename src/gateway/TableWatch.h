// Follows one table of the platform: reads it once and then its changes.
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
    // How long the platform may wait for a change before it answers.
    Duration wait{0};
    // Pause after each answer, so that a table that changes all the time is not read all the time.
    Duration pause{0};
    // The same while another instance passes the changes on.
    Duration fedWait{0};
    Duration fedPause{0};
};

template <RowStore Store> class TableWatch {
public:
    using Handler = std::function<void(const std::vector<StoredRow>&)>;

    // `receivesForwardedChanges` tells whether another instance passes the changes on.
    TableWatch(Store& store, StoreAvailability& reach, TableWatchOptions options,
        std::function<bool()> receivesForwardedChanges, Handler handler)
        : store_(store)
        , reach_(reach)
        , options_(std::move(options))
        , isFed_(std::move(receivesForwardedChanges))
        , handler_(std::move(handler))
    {
    }

    // Runs in a fiber until the duty stops.
    void run()
    {
        while (!Duty::current()->isStopping()) {
            const bool first = replica_.version() == RowVersion() || historyLost_;
            const Duration wait = mayRest() ? options_.fedWait : options_.wait;
            const RowVersion since = replica_.version();
            absl::StatusOr<RowPage> page = first
                ? store_.list(options_.table, currentTime() + answerLimit)
                : store_.changes(options_.table, since, wait, currentTime() + wait + answerLimit);
            if (!page.ok()) {
                handleFailure(page.status());
                continue;
            }
            reach_.succeeded(currentTime());
            const std::vector<StoredRow> changed = first ? replica_.replace(*page) : replica_.applyChanges(*page);
            historyLost_ = false;
            complete_ = true;
            answeredAt_ = currentTime();
            if (!changed.empty())
                handler_(changed);
            if (passOn)
                passOn(first ? RowVersion() : since, changed);
            pause();
        }
    }

    // Takes in the rows that a peer has read after the version `since`. The table is known up to page.version only if
    // nothing is missing between.
    void takeFromPeer(RowVersion since, RowPage page)
    {
        if (since > replica_.version())
            page.version = replica_.version();
        else
            complete_ = true;
        const std::vector<StoredRow> changed = replica_.applyChanges(page);
        if (!changed.empty())
            handler_(changed);
    }

    // When the platform last answered.
    TimePoint answeredAt() const { return answeredAt_; }

    // Called with what the platform has answered, for peers; may be empty.
    std::function<void(RowVersion since, const std::vector<StoredRow>&)> passOn;

    const RowReplica& replica() const { return replica_; }

    // Whether the whole table has been read once.
    bool isComplete() const { return complete_; }

private:
    // Longest wait for an answer beyond the time that the platform was asked to wait. The store answers within 4 ms;
    // slow ones take 50 times as long.
    static constexpr Duration answerLimit = std::chrono::milliseconds(900);

    // Pause after a failed call.
    static constexpr Duration failurePause = std::chrono::milliseconds(200);

    // A store whose last call failed is asked often, also by a fed instance: while it counts as away, a removed target
    // is taken for one whose entry lapsed in the outage.
    bool mayRest() const { return isFed_() && !reach_.isFailing(); }

    // Ends early when the other instance stops passing the changes on, or a call fails.
    void pause()
    {
        const TimePoint begin = currentTime();
        while (currentTime() - begin < (mayRest() ? options_.fedPause : options_.pause))
            sleepFor(std::min(options_.pause, pauseStep));
    }

    static constexpr Duration pauseStep = std::chrono::milliseconds(100);

    void handleFailure(const absl::Status& status)
    {
        if (errorOf<CoordinationError>(status) == CoordinationError::VersionStale) {
            watchLog.info("table={} version={} history lost, reading anew", options_.table, replica_.version());
            historyLost_ = true;
            return;
        }
        reach_.failed(currentTime(), messageOf(status));
        sleepFor(failurePause);
    }

    Store& store_;
    StoreAvailability& reach_;
    TableWatchOptions options_;
    std::function<bool()> isFed_;
    Handler handler_;
    TimePoint answeredAt_;
    RowReplica replica_;
    bool historyLost_ = false;
    bool complete_ = false;
};

} // namespace lychee::gateway
