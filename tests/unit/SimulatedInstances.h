// Instances in simulated time that report their work to each other, for tests of the choice of a target under load.
#pragma once

#include "fleet/TargetChoice.h"

#include <queue>
#include <random>

namespace lychee::fleet {

// Fraction of all requests, including those without an answer, that were answered within a time.
inline double shareWithin(const std::vector<double>& answeredMilliseconds, std::size_t requests, double milliseconds)
{
    const auto count = std::count_if(
        answeredMilliseconds.begin(), answeredMilliseconds.end(), [&](double time) { return time <= milliseconds; });
    return requests == 0 ? 0 : static_cast<double>(count) / static_cast<double>(requests);
}

// Targets on machines that are shared with other work: a share of them is slower, and which ones changes all the time.
struct SimulatedPace {
    double slowShare = 0;
    double slowPace = 2.5;
    Duration interval = std::chrono::milliseconds(600);
    // Whether targets report their pace with their answers.
    bool isReported = false;
    // Targets with an index below this number always have the slow pace and report that they have none.
    std::size_t misreporting = 0;

    double at(std::size_t target, TimePoint now) const
    {
        if (target < misreporting)
            return slowPace;
        std::mt19937_64 random((now.time_since_epoch() / interval) * 1000 + static_cast<std::int64_t>(target));
        random.discard(2);
        return std::uniform_real_distribution<double>()(random) < slowShare ? slowPace : 1;
    }

    std::optional<double> reported(std::size_t target, TimePoint now) const
    {
        if (!isReported)
            return std::nullopt;
        return target < misreporting ? 1 : at(target, now);
    }

    // Returns when work that takes a time at pace 1 ends.
    TimePoint endOf(std::size_t target, TimePoint start, Duration work) const
    {
        while (true) {
            const double pace = at(target, start);
            const Duration untilChange = interval - start.time_since_epoch() % interval;
            const auto needed = std::chrono::duration_cast<Duration>(work * pace);
            if (needed <= untilChange)
                return start + needed;
            work -= std::chrono::duration_cast<Duration>(untilChange / pace);
            start += untilChange;
        }
    }
};

class SimulatedInstances {
protected:
    SimulatedInstances(std::size_t instances, Duration statusInterval, std::uint64_t seed)
        : random_(seed)
        , registries_(instances)
        , statusInterval_(statusInterval)
    {
    }

    static Duration seconds(double value)
    {
        return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
    }

    static TargetRecord createRecord(const std::string& id, const ServiceId& service, std::size_t slots)
    {
        TargetRecord record;
        record.id = TargetId(id);
        record.service = service;
        record.dataCentre = DataCentreId("a");
        record.endpoint = {"10.0.0.1", 1000};
        record.incarnation = TargetIncarnation(1);
        record.slots = static_cast<int>(slots);
        return record;
    }

    void list(const TargetRecord& record)
    {
        for (TargetRegistry& registry : registries_)
            registry.update(record);
    }

    void schedule(Duration after, std::function<void()> action)
    {
        events_.push({now_ + after, ++order_, std::move(action)});
    }

    // Time until the next request of a Poisson process.
    Duration drawGap(double requestsPerSecond)
    {
        std::exponential_distribution<double> gap(requestsPerSecond);
        return seconds(gap(random_));
    }

    void reportToPeers(std::size_t reporter)
    {
        const std::vector<TargetWorkReport> work = registries_[reporter].ownWork(now_);
        for (std::size_t i = 0; i < registries_.size(); ++i) {
            if (i != reporter)
                registries_[i].recordPeerWork(InstanceId(fmt::format("i{}", reporter)), work, now_);
        }
        schedule(statusInterval_, [this, reporter] { reportToPeers(reporter); });
    }

    void runUntil(TimePoint end)
    {
        while (!events_.empty() && events_.top().at < end) {
            const Event event = events_.top();
            events_.pop();
            now_ = event.at;
            event.action();
        }
    }

    std::mt19937_64 random_;
    std::vector<TargetRegistry> registries_;
    Service service_;
    TimePoint now_;

private:
    struct Event {
        TimePoint at;
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator<(const Event& other) const { return std::tie(other.at, other.order) < std::tie(at, order); }
    };

    Duration statusInterval_;
    std::priority_queue<Event> events_;
    std::uint64_t order_ = 0;
};

} // namespace lychee::fleet
