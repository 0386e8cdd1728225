// Estimates the queue of each target: its last load report, corrected by the requests that this instance sent and
// finished since the report was made.
#pragma once

#include "state/Catalogue.h"

#include <array>
#include <deque>

namespace lychee {

// The load that a target reported; it describes the time `measuredAt`, not the time at which the report arrived.
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
    // Applies a report; one that is older than the last is ignored.
    void report(const LoadReport& report);

    // Records that a request was sent; `priority` is that of its class, 0 to 9.
    void sent(TimePoint now, int priority = 0);

    // Records the end of a request that was sent with this priority; `service` is its time on the target without the
    // wait, absent if the request did not complete.
    void finished(TimePoint now, std::optional<Duration> service, int priority = 0);

    // Excludes the target for a short time after a failed connection or attempt; a report made after the failure ends
    // the exclusion.
    void failed(TimePoint now);

    bool usable(TimePoint now) const { return now >= excludedUntil_; }

    // Estimated number of requests on the target, running and queued: those of the report, plus `senderFactor` times
    // the requests that this instance sent since then less those that ended. With a factor of 0 only the report counts.
    double occupancy(double senderFactor = 1) const;

    // Estimated time until a request that is sent now gets a slot. Only queued requests that are at least as urgent
    // count; their fraction is estimated from this instance's requests in flight.
    Duration predictedWait(double senderFactor = 1, int priority = 0) const;

    std::uint32_t slots() const { return last_.slots; }
    double tokensPerSecond() const { return last_.tokensPerSecond; }
    // This instance's requests in flight.
    std::uint32_t inFlight() const { return inFlight_; }
    // Fraction of this instance's requests in flight that are at least this urgent; 1 if there are none.
    double urgentFraction(int priority) const;
    TimePoint reportedAt() const { return last_.measuredAt; }

private:
    static constexpr std::size_t priorityCount = 10;

    // A change of the number of this instance's requests on the target.
    struct Change {
        TimePoint at;
        int delta = 0;
    };

    void addChange(TimePoint now, int delta);

    LoadReport last_;
    bool reported_ = false;
    // Requests sent and finished by this instance after last_.measuredAt, in order of time.
    std::deque<Change> changes_;
    int changeSum_ = 0;
    std::uint32_t inFlight_ = 0;
    std::array<std::uint32_t, priorityCount> byPriority_{};
    // Zero until the first observation.
    double meanServiceSeconds_ = 0;
    TimePoint excludedUntil_ = TimePoint::min();
};

// The loads of all targets of a catalogue. Not thread-safe; used on one thread.
class LoadTable {
public:
    explicit LoadTable(const Catalogue& catalogue);

    // Applies a changed configuration; the loads of targets that remain are kept.
    void adopt(const Catalogue& previous, const Catalogue& next);

    TargetLoad& of(TargetIndex target) { return targets_[target.value()]; }
    const TargetLoad& of(TargetIndex target) const { return targets_[target.value()]; }

    // Sets the number of instances that send to the same targets. What all of them send between two reports is
    // estimated from the requests of this instance. Multiplying by the square root of the number of instances gives the
    // estimate no more noise than the true total has.
    void setSenderCount(std::size_t count);
    double senderFactor() const { return senderFactor_; }

    // Moving average of the time on a target, without the wait, of the requests for a model, adapter or service. Zero
    // until the first observation, so that no request is refused before a time is known.
    Duration expectedServiceTime(RouteIndex route) const { return routeService_[route.value()]; }
    void recordServiceTime(RouteIndex route, Duration service);

private:
    std::vector<TargetLoad> targets_;
    std::vector<Duration> routeService_;
    double senderFactor_ = 1;
};

} // namespace lychee
