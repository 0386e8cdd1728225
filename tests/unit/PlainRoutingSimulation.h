// Plays the traffic of many instances before the few targets of a plain service through the choice of a target, without
// a network.
#pragma once

#include "fleet/TargetChoice.h"

#include <deque>
#include <queue>
#include <random>

namespace lychee::fleet {

struct PlainRoutingScenario {
    std::size_t instances = 80;
    std::size_t targets = 4;
    // Of each target; a request that finds both full is turned away.
    std::size_t slots = 6;
    std::size_t queue = 24;
    Duration work = std::chrono::milliseconds(60);
    double requestsPerSecond = 200;
    // How often an instance tells its peers its work.
    Duration statusInterval = std::chrono::seconds(1);
    Duration length = std::chrono::seconds(60);
    std::uint64_t seed = 1;
};

struct PlainRoutingOutcome {
    std::size_t asked = 0;
    // Answers of targets that were full.
    std::size_t turnedAway = 0;
    std::vector<double> answeredMilliseconds;

    double shareWithin(double milliseconds) const
    {
        const auto count = std::count_if(answeredMilliseconds.begin(), answeredMilliseconds.end(),
            [&](double time) { return time <= milliseconds; });
        return asked == 0 ? 0 : static_cast<double>(count) / static_cast<double>(asked);
    }
};

class PlainRoutingSimulation {
public:
    explicit PlainRoutingSimulation(PlainRoutingScenario scenario)
        : scenario_(std::move(scenario))
        , random_(scenario_.seed)
        , boards_(scenario_.instances)
        , targets_(scenario_.targets)
    {
        service_.id = ServiceId("desk");
        for (std::size_t i = 0; i < targets_.size(); ++i) {
            TargetRecord record;
            record.id = TargetId(fmt::format("t{}", i));
            record.service = service_.id;
            record.dataCentre = DataCentreId("a");
            record.endpoint = {"10.0.0.1", static_cast<std::uint16_t>(1000 + i)};
            record.birth = TargetBirth(1);
            record.slots = static_cast<int>(scenario_.slots);
            for (TargetBoard& board : boards_)
                board.update(record);
        }
    }

    PlainRoutingOutcome run()
    {
        arriveLater();
        for (std::size_t i = 0; i < boards_.size(); ++i)
            schedule(scenario_.statusInterval * static_cast<int>(i) / static_cast<int>(boards_.size()),
                [this, i] { tellPeers(i); });
        while (!events_.empty() && events_.top().at < TimePoint(scenario_.length)) {
            const Event event = events_.top();
            events_.pop();
            now_ = event.at;
            event.action();
        }
        return std::move(outcome_);
    }

private:
    // One way between an instance and a target, and a connection.
    static constexpr Duration way = std::chrono::milliseconds(2);
    static constexpr std::size_t mostSends = 5;

    struct Event {
        TimePoint at;
        std::uint64_t order = 0;
        std::function<void()> action;

        bool operator<(const Event& other) const { return std::tie(other.at, other.order) < std::tie(at, order); }
    };

    struct Request {
        std::size_t instance = 0;
        std::string id;
        TimePoint arrivedAt;
        std::vector<TargetId> tried;
        SendId send;
    };

    struct SimulatedTarget {
        std::size_t running = 0;
        std::deque<std::shared_ptr<Request>> waiting;
    };

    void schedule(Duration after, std::function<void()> action)
    {
        events_.push({now_ + after, ++order_, std::move(action)});
    }

    void arriveLater()
    {
        std::exponential_distribution<double> gap(scenario_.requestsPerSecond);
        const auto after = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(gap(random_)));
        schedule(after, [this] {
            arriveLater();
            auto request = std::make_shared<Request>();
            request->instance = random_() % boards_.size();
            request->id = fmt::format("request-{}", ++outcome_.asked);
            request->arrivedAt = now_;
            send(request);
        });
    }

    void tellPeers(std::size_t teller)
    {
        const std::vector<WorkShare> work = boards_[teller].ownWork();
        for (std::size_t i = 0; i < boards_.size(); ++i) {
            if (i != teller)
                boards_[i].recordPeerWork(InstanceId(fmt::format("i{}", teller)), work, now_);
        }
        schedule(scenario_.statusInterval, [this, teller] { tellPeers(teller); });
    }

    void send(const std::shared_ptr<Request>& request)
    {
        TargetBoard& board = boards_[request->instance];
        ChoiceInput input{service_, nullptr, DataCentreId("a"), now_, std::chrono::seconds(2)};
        input.latencyObjective = std::chrono::milliseconds(300);
        input.excluded = request->tried;
        input.spreadKey = request->id;
        const TargetDecision decision = chooseTarget(board, input);
        const auto* chosen = std::get_if<ChosenTarget>(&decision);
        if (!chosen || request->tried.size() == mostSends)
            return;
        request->send = board.beginSend(chosen->target, nullptr, now_);
        request->tried.push_back(chosen->target);
        const std::size_t index = std::stoul(chosen->target.value().substr(1));
        schedule(way, [this, request, index] { arriveAt(index, request); });
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
        ++outcome_.turnedAway;
        schedule(way, [this, request] {
            boards_[request->instance].endSend(request->send, SendOutcome::Full, now_);
            send(request);
        });
    }

    void begin(std::size_t index, const std::shared_ptr<Request>& request)
    {
        ++targets_[index].running;
        std::lognormal_distribution<double> spread(0, 0.5);
        const auto work = std::chrono::duration_cast<Duration>(scenario_.work * spread(random_));
        schedule(work, [this, index, request] { finish(index, request); });
    }

    void finish(std::size_t index, const std::shared_ptr<Request>& request)
    {
        SimulatedTarget& target = targets_[index];
        --target.running;
        schedule(way, [this, request] {
            boards_[request->instance].endSend(request->send, SendOutcome::Answered, now_);
            outcome_.answeredMilliseconds.push_back(
                std::chrono::duration<double, std::milli>(now_ - request->arrivedAt).count());
        });
        if (target.waiting.empty())
            return;
        const std::shared_ptr<Request> next = target.waiting.front();
        target.waiting.pop_front();
        begin(index, next);
    }

    PlainRoutingScenario scenario_;
    std::mt19937_64 random_;
    Service service_;
    std::vector<TargetBoard> boards_;
    std::vector<SimulatedTarget> targets_;
    std::priority_queue<Event> events_;
    std::uint64_t order_ = 0;
    TimePoint now_;
    PlainRoutingOutcome outcome_;
};

} // namespace lychee::fleet
