// Simulates, without a network, how many instances choose between the few targets of a plain service.
#pragma once

#include "tests/unit/SimulatedInstances.h"

#include <deque>

namespace lychee::fleet {

struct PlainRoutingScenario {
    std::size_t instances = 80;
    std::size_t targets = 4;
    // Slots and queue length of each target; a request that finds both full is rejected.
    std::size_t slots = 6;
    std::size_t queue = 24;
    Duration work = std::chrono::milliseconds(60);
    double requestsPerSecond = 200;
    // Interval at which an instance reports its work to its peers.
    Duration statusInterval = std::chrono::seconds(1);
    Duration length = std::chrono::seconds(60);
    SimulatedPace pace;
    // Whether answers carry the load of the target.
    bool reportsLoad = false;
    std::uint64_t seed = 1;
};

struct PlainRoutingOutcome {
    std::size_t requests = 0;
    // Number of sends that a full target rejected.
    std::size_t rejected = 0;
    // Requests that were refused without being sent.
    std::size_t refused = 0;
    std::vector<double> answeredMilliseconds;

    double shareWithin(double milliseconds) const
    {
        return fleet::shareWithin(answeredMilliseconds, requests, milliseconds);
    }
};

class PlainRoutingSimulation : private SimulatedInstances {
public:
    explicit PlainRoutingSimulation(const PlainRoutingScenario& scenario)
        : SimulatedInstances(scenario.instances, scenario.statusInterval, scenario.seed)
        , scenario_(scenario)
        , targets_(scenario.targets)
    {
        service_.id = ServiceId("desk");
        for (std::size_t i = 0; i < targets_.size(); ++i)
            list(createRecord(fmt::format("t{}", i), service_.id, scenario_.slots));
    }

    PlainRoutingOutcome run()
    {
        scheduleArrival();
        for (std::size_t i = 0; i < registries_.size(); ++i)
            schedule(scenario_.statusInterval * static_cast<int>(i) / static_cast<int>(registries_.size()),
                [this, i] { reportToPeers(i); });
        runUntil(TimePoint(scenario_.length));
        return std::move(outcome_);
    }

private:
    // Latency from an instance to a target or back, including the time to connect.
    static constexpr Duration oneWayLatency = std::chrono::milliseconds(2);
    static constexpr Duration pollInterval = std::chrono::milliseconds(10);
    static constexpr std::size_t maxSends = 5;

    struct Request {
        std::size_t instance = 0;
        std::string id;
        TimePoint arrivedAt;
        std::vector<TargetId> tried;
        Duration waited{0};
        SendId send;
    };

    struct SimulatedTarget {
        std::size_t running = 0;
        std::deque<std::shared_ptr<Request>> waiting;
    };

    void scheduleArrival()
    {
        schedule(drawGap(scenario_.requestsPerSecond), [this] {
            scheduleArrival();
            auto request = std::make_shared<Request>();
            request->instance = random_() % registries_.size();
            request->id = fmt::format("request-{}", ++outcome_.requests);
            request->arrivedAt = now_;
            send(request);
        });
    }

    void send(const std::shared_ptr<Request>& request)
    {
        TargetRegistry& registry = registries_[request->instance];
        ChoiceInput input{service_, nullptr, DataCentreId("a"), now_, std::chrono::seconds(2)};
        input.latencyObjective = std::chrono::milliseconds(300);
        input.excluded = request->tried;
        input.spreadKey = request->id;
        input.waited = request->waited;
        const TargetDecision decision = chooseTarget(registry, input);
        if (std::holds_alternative<AwaitedSlot>(decision)) {
            request->waited += pollInterval;
            return schedule(pollInterval, [this, request] { send(request); });
        }
        const auto* chosen = std::get_if<ChosenTarget>(&decision);
        if (!chosen || request->tried.size() == maxSends) {
            outcome_.refused += request->tried.empty() ? 1 : 0;
            return;
        }
        request->send = registry.beginSend(chosen->target, nullptr, now_, chosen->predicted);
        request->tried.push_back(chosen->target);
        const std::size_t index = std::stoul(chosen->target.value().substr(1));
        schedule(oneWayLatency, [this, request, index] { arriveAt(index, request); });
    }

    void arriveAt(std::size_t index, const std::shared_ptr<Request>& request)
    {
        SimulatedTarget& target = targets_[index];
        if (target.running < scenario_.slots)
            return begin(index, request);
        if (target.waiting.size() < scenario_.queue) {
            target.waiting.push_back(request);
            return;
        }
        ++outcome_.rejected;
        schedule(oneWayLatency, [this, request, index, load = loadOf(index)] {
            recordLoad(*request, index, load);
            registries_[request->instance].endSend(request->send, SendOutcome::Full, now_);
            send(request);
        });
    }

    void begin(std::size_t index, const std::shared_ptr<Request>& request)
    {
        ++targets_[index].running;
        std::lognormal_distribution<double> spread(0, 0.5);
        const auto work = std::chrono::duration_cast<Duration>(scenario_.work * spread(random_));
        schedule(scenario_.pace.endOf(index, now_, work) - now_, [this, index, request] { finish(index, request); });
    }

    void finish(std::size_t index, const std::shared_ptr<Request>& request)
    {
        SimulatedTarget& target = targets_[index];
        --target.running;
        schedule(oneWayLatency, [this, request, index, load = loadOf(index)] {
            recordLoad(*request, index, load);
            registries_[request->instance].endSend(request->send, SendOutcome::Answered, now_);
            outcome_.answeredMilliseconds.push_back(
                std::chrono::duration<double, std::milli>(now_ - request->arrivedAt).count());
        });
        if (target.waiting.empty())
            return;
        const std::shared_ptr<Request> next = target.waiting.front();
        target.waiting.pop_front();
        begin(index, next);
    }

    ReportedLoad loadOf(std::size_t index) const
    {
        const SimulatedTarget& target = targets_[index];
        return {static_cast<std::uint32_t>(target.running), static_cast<std::uint32_t>(target.waiting.size()),
            scenario_.pace.reported(index, now_)};
    }

    void recordLoad(const Request& request, std::size_t index, const ReportedLoad& load)
    {
        if (scenario_.reportsLoad)
            registries_[request.instance].recordLoad(TargetId(fmt::format("t{}", index)), load, now_);
    }

    PlainRoutingScenario scenario_;
    std::vector<SimulatedTarget> targets_;
    PlainRoutingOutcome outcome_;
};

} // namespace lychee::fleet
