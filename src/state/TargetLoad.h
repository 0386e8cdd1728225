// Queue estimate of each target: its last report, corrected by our own requests since that report was made.
#pragma once

#include "state/Catalogue.h"

#include <array>
#include <deque>

namespace lychee {

// What a target said about its load; it describes the moment `measuredAt`, not the moment of its arrival.
struct LoadReport {
    TimePoint measuredAt;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    // Requests that the target runs at the same time.
    std::uint32_t slots = 1;
    double tokensPerSecond = 0;
};

// The load of one target as this instance sees it.
class TargetLoad {
public:
    // Takes a report into account; one that is older than the last is ignored.
    void report(const LoadReport& report);

    // Records that a request was sent; `priority` is that of its class, 0 to 9.
    void sent(TimePoint now, int priority = 0);

    // Records the end of a request that was sent earlier with this priority; `service` is its time on the target
    // without the wait, if it ran to its end.
    void finished(TimePoint now, std::optional<Duration> service, int priority = 0);

    // Excludes the target for a while after a failed connection or attempt; a later report includes it again.
    void failed(TimePoint now);

    bool usable(TimePoint now) const { return now >= excludedUntil_; }

    // Estimated number of requests on the target, running and queued: those of the report and the balance of our own
    // sends and ends since then, multiplied by `ownFactor`. 0 relies on the report alone.
    double occupancy(double ownFactor = 1) const;

    // Estimated time until a request that is sent now gets a slot. Only the part of the queue that is at least as
    // urgent counts, estimated from the mix of our own requests in flight.
    Duration predictedWait(double ownFactor = 1, int priority = 0) const;

    std::uint32_t slots() const { return last_.slots; }
    double tokensPerSecond() const { return last_.tokensPerSecond; }
    // Our own requests in flight.
    std::uint32_t inFlight() const { return inFlight_; }
    // Part of our own requests in flight that are at least this urgent; 1 if there are none.
    double urgentPart(int priority) const;
    TimePoint reportedAt() const { return last_.measuredAt; }

private:
    static constexpr std::size_t priorityCount = 10;

    // A change of the number of our requests on the target.
    struct Change {
        TimePoint at;
        int step = 0;
    };

    void addChange(TimePoint now, int step);

    LoadReport last_;
    bool reported_ = false;
    // Our sends and ends after last_.measuredAt, in order of time.
    std::deque<Change> changes_;
    int changeSum_ = 0;
    std::uint32_t inFlight_ = 0;
    std::array<std::uint32_t, priorityCount> byPriority_{};
    // Zero until the first observation.
    double meanServiceSeconds_ = 0;
    TimePoint excludedUntil_ = TimePoint::min();
};

// The loads of all targets of a catalogue; owned by one duty.
class LoadTable {
public:
    explicit LoadTable(const Catalogue& catalogue);

    // Takes over a changed configuration; loads of targets that remain are kept.
    void adopt(const Catalogue& previous, const Catalogue& next);

    TargetLoad& of(TargetIndex target) { return targets_[target.value()]; }
    const TargetLoad& of(TargetIndex target) const { return targets_[target.value()]; }

    // Sets the number of instances that send to the same targets. What they send between two reports is estimated
    // from our own sends; multiplying by the square root of their number keeps the noise of the estimate at that of
    // the true number of sends.
    void setSenderCount(std::size_t count);
    double ownFactor() const { return ownFactor_; }

    // Mean time on a target, without the wait, of the requests for a model, adapter or service. Zero until the first
    // observation, so that nothing is refused for want of knowledge.
    Duration expectedServiceTime(RouteIndex route) const { return service_[route.value()]; }
    void recordServiceTime(RouteIndex route, Duration service);

private:
    std::vector<TargetLoad> targets_;
    std::vector<Duration> service_;
    double ownFactor_ = 1;
};

} // namespace lychee
