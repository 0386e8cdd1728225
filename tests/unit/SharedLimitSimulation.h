// Instances that share the limit of one customer, with callers, reports that arrive late, and partitions. No network.
#pragma once

#include "SeededRandom.h"
#include "fleet/SharedRateLimit.h"

#include <cmath>
#include <deque>
#include <map>

namespace lychee::fleet {

class SharedLimitSimulation {
public:
    struct Use {
        double seconds = 0;
        double cost = 0;
    };

    inline static const CustomerId customer{"customer"};
    static constexpr double step = 0.01;

    SharedLimitSimulation(
        std::uint64_t seed, std::size_t instances, const CustomerLimit& limit, const SharedRateLimitOptions& options)
        : limit_(limit)
        , options_(options)
        , random_(seed)
    {
        instances_.resize(instances);
        for (std::size_t i = 0; i < instances; ++i)
            start(i);
        runFor(2, [](std::size_t) { return 0.0; });
    }

    // Seconds between two reports of an instance, and until a report arrives.
    double reportInterval = 1;
    double reportDelay = 0.05;
    // Tokens of a request.
    std::function<double()> cost = [] { return 9200.0; };
    // Whether messages between two instances arrive.
    std::function<bool(std::size_t, std::size_t)> isConnected = [](std::size_t, std::size_t) { return true; };

    // Plays the time with callers that ask for `demand(instance)` tokens per second of each instance.
    template <typename Demand> void runFor(double seconds, const Demand& demand)
    {
        for (const double end = seconds_ + seconds; seconds_ < end; seconds_ += step) {
            deliver();
            for (std::size_t i = 0; i < instances_.size(); ++i) {
                if (!instances_[i].limit)
                    continue;
                for (std::int64_t left = arrivals(demand(i)); left > 0; --left)
                    request(i);
                if (seconds_ >= instances_[i].reportAt)
                    report(i);
            }
        }
    }

    void setLimit(const CustomerLimit& limit)
    {
        limit_ = limit;
        for (Instance& instance : instances_) {
            if (instance.limit)
                instance.limit->setCustomers(directory(), now());
        }
    }

    void kill(std::size_t index)
    {
        const InstanceId id = instances_[index].id;
        instances_[index].limit.reset();
        for (Instance& instance : instances_) {
            if (instance.limit)
                instance.limit->forgetPeer(id, now());
        }
    }

    // Starts the process of an instance; its predecessor may have been killed before.
    void start(std::size_t index)
    {
        Instance& instance = instances_[index];
        instance.id = InstanceId(fmt::format("i{}~{}", index, ++starts_));
        instance.limit.emplace(uniform());
        instance.limit->setOptions(options_);
        instance.limit->setCustomers(directory(), now());
        instance.limit->setInstances(instances_.size(), instances_.size(), now());
        instance.reportAt = seconds_ + uniform() * reportInterval;
    }

    // Adds an instance to the table of instances.
    void add()
    {
        instances_.emplace_back();
        for (Instance& instance : instances_) {
            if (instance.limit)
                instance.limit->setInstances(instances_.size(), instances_.size(), now());
        }
        start(instances_.size() - 1);
    }

    double seconds() const { return seconds_; }

    TimePoint now() const
    {
        return TimePoint(std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds_)));
    }

    SharedRateLimit& limiter(std::size_t index) { return *instances_[index].limit; }

    int requests() const { return requests_; }

    int refused() const { return refused_; }

    // Requests that one bucket with all knowledge would have admitted.
    int refusedBelowLimit() const { return refusedBelowLimit_; }

    // Forgets the counts of requests, to count only what follows.
    void resetCounts() { requests_ = refused_ = refusedBelowLimit_ = 0; }

    // Tokens that were admitted from the time `since` on.
    double usedSince(double since) const
    {
        double sum = 0;
        for (const Use& use : uses_)
            sum += use.seconds >= since ? use.cost : 0;
        return sum;
    }

    // The largest use in a window that begins at `since` or later.
    double largestWindow(double since = 0) const
    {
        const double window = std::chrono::duration<double>(options_.window).count();
        double sum = 0;
        double largest = 0;
        std::size_t first = 0;
        for (const Use& use : uses_) {
            if (use.seconds < since) {
                ++first;
                continue;
            }
            sum += use.cost;
            while (uses_[first].seconds < use.seconds - window)
                sum -= uses_[first++].cost;
            largest = std::max(largest, sum);
        }
        return largest;
    }

    // The bound of the use in a window.
    double bound() const
    {
        const double window = std::chrono::duration<double>(options_.window).count();
        return (limit_.perSecond * window + limit_.burst) * (1 + options_.overshoot) + options_.slack;
    }

private:
    struct Instance {
        InstanceId id;
        std::optional<SharedRateLimit> limit;
        double reportAt = 0;
    };

    struct Message {
        double arrivesAt = 0;
        std::size_t sender = 0;
        InstanceId id;
        std::vector<CustomerUse> uses;
    };

    CustomerDirectory directory() const
    {
        Customer entry;
        entry.id = customer;
        entry.limit = limit_;
        return CustomerDirectory({entry});
    }

    // A number of requests in one step with a Poisson distribution.
    std::int64_t arrivals(double demand)
    {
        if (demand <= 0)
            return 0;
        const double mean = demand * step / meanCost();
        double left = std::exp(-mean);
        std::int64_t count = 0;
        for (double draw = uniform(); draw > left; draw *= uniform())
            ++count;
        return count;
    }

    double uniform() { return (static_cast<double>(random_.between(0, (1LL << 40) - 1)) + 0.5) / (1LL << 40); }

    double meanCost()
    {
        if (meanCost_ == 0) {
            constexpr int samples = 1000;
            for (int i = 0; i < samples; ++i)
                meanCost_ += cost() / samples;
        }
        return meanCost_;
    }

    void request(std::size_t index)
    {
        const double tokens = cost();
        ++requests_;
        ideal_ = std::min(ideal_ + limit_.perSecond * (seconds_ - idealAt_), limit_.burst);
        idealAt_ = seconds_;
        if (instances_[index].limit->admit(customer, tokens, now()).admitted) {
            uses_.push_back({seconds_, tokens});
            ideal_ -= tokens;
        } else {
            ++refused_;
            refusedBelowLimit_ += ideal_ >= tokens ? 1 : 0;
        }
    }

    void report(std::size_t index)
    {
        Instance& instance = instances_[index];
        instance.reportAt += reportInterval;
        messages_.push_back({seconds_ + reportDelay, index, instance.id, instance.limit->report(now())});
    }

    void deliver()
    {
        for (; !messages_.empty() && messages_.front().arrivesAt <= seconds_; messages_.pop_front()) {
            const Message& message = messages_.front();
            for (std::size_t i = 0; i < instances_.size(); ++i) {
                if (i != message.sender && instances_[i].limit && instances_[message.sender].id == message.id
                    && instances_[message.sender].limit && isConnected(message.sender, i))
                    instances_[i].limit->recordPeer(message.id, message.uses, now());
            }
        }
    }

    CustomerLimit limit_;
    SharedRateLimitOptions options_;
    SeededRandom random_;
    std::vector<Instance> instances_;
    std::deque<Message> messages_;
    std::vector<Use> uses_;
    double seconds_ = 0;
    double meanCost_ = 0;
    int starts_ = 0;
    int requests_ = 0;
    int refused_ = 0;
    int refusedBelowLimit_ = 0;
    // The level of one bucket with all knowledge.
    double ideal_ = 0;
    double idealAt_ = 0;
};

} // namespace lychee::fleet
