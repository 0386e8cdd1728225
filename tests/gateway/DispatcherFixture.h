// Simulated engines that carry out the orders of a dispatcher, and a fixture that runs the dispatcher with them.
#pragma once

#include "gateway/OrderDispatcher.h"

#include <gtest/gtest.h>

#include <array>

namespace lychee::gateway {

using namespace std::chrono_literals;

// The simulated engines. A singleton, because the dispatcher constructs its own channel.
struct FakeEngines {
    struct State {
        fleet::Holdings holdings;
        // The engine loads `busyWith` until this time and then holds it.
        TimePoint busyUntil;
        ModelId busyWith;
        // The engine waits for the last request of this model until `unloadedAt` and holds it until then.
        ModelId unloading;
        TimePoint unloadedAt;
        std::set<ModelId> weightsOnDisk;
        // Until when requests use adapters.
        std::map<AdapterId, TimePoint> adapterUses;
        // Adapters that are unloaded and still in use until the given time. They are listed and occupy their places
        // until then, and the engine accepts no other order.
        std::map<AdapterId, TimePoint> drainingAdapters;
        // What the engine held at earlier times, for reports that are not up to date.
        std::vector<std::pair<TimePoint, fleet::Holdings>> history;
        std::size_t adapterPlaces = 2;
        std::size_t modelPlaces = 2;
        bool overcommitted = false;
    };

    std::map<TargetId, State> engines;
    std::vector<std::string> orders;
    // The outcomes of these orders, except for those that have no effect.
    std::vector<OrderAnswer> answers;
    // When the engines began to load models.
    std::vector<TimePoint> loadStarts;
    // Number of further orders that take effect without an answer.
    int unanswered = 0;
    // Whether an order without an answer takes effect at once; otherwise it does not for as long as the test lasts.
    bool takesEffect = true;
    Duration answerTime = 2ms;
    // Time from an order to unload a model to the end of its last request.
    Duration unloadTime{0};
    // Age of what a report shows.
    Duration reportAge{0};

    static FakeEngines& instance()
    {
        static FakeEngines engines;
        return engines;
    }

    void settle(State& state)
    {
        if (!state.unloading.empty() && currentTime() >= state.unloadedAt) {
            std::erase_if(state.holdings.models, [&](const auto& held) { return held.model == state.unloading; });
            state.unloading = {};
        }
        std::erase_if(state.drainingAdapters, [&](const auto& entry) {
            if (currentTime() < entry.second)
                return false;
            for (fleet::HeldModel& held : state.holdings.models)
                held.adapters.erase(entry.first);
            return true;
        });
        if (state.busyWith.empty() || currentTime() < state.busyUntil)
            return;
        state.holdings.models.push_back({state.busyWith, 1, {}});
        state.busyWith = {};
    }

    // What the report of an engine shows now.
    fleet::Holdings reported(State& state) const
    {
        state.history.emplace_back(currentTime(), state.holdings);
        fleet::Holdings shown = state.history.front().second;
        for (const auto& [time, holdings] : state.history) {
            if (time <= currentTime() - reportAge)
                shown = holdings;
        }
        return shown;
    }
};

class FakeChannel {
public:
    OrderAnswer send(const fleet::TargetRecord& target, const EngineOrder& order, TimePoint)
    {
        FakeEngines& fake = FakeEngines::instance();
        FakeEngines::State& state = fake.engines[target.id];
        sleepFor(fake.answerTime);
        fake.settle(state);
        fake.orders.push_back(fmt::format("{} {}{}", order.kind == EngineOrderKind::Load ? "load" : "unload",
            order.model, order.adapter ? "/" + order.adapter->value() : std::string()));
        if (fake.unanswered > 0 && !fake.takesEffect) {
            --fake.unanswered;
            return OrderAnswer::Unanswered;
        }
        state.history.emplace_back(currentTime(), state.holdings);
        const OrderAnswer answer = carryOut(state, order);
        fake.answers.push_back(answer);
        state.history.emplace_back(currentTime(), state.holdings);
        if (fake.unanswered > 0) {
            --fake.unanswered;
            return OrderAnswer::Unanswered;
        }
        return answer;
    }

    absl::StatusOr<fleet::EngineReport> report(const fleet::TargetRecord& target, TimePoint)
    {
        FakeEngines& fake = FakeEngines::instance();
        FakeEngines::State& state = fake.engines[target.id];
        fake.settle(state);
        fleet::EngineReport report{target.incarnation, fake.reported(state), {}, state.weightsOnDisk};
        report.holdings.busy = !state.busyWith.empty() || !state.unloading.empty();
        return report;
    }

private:
    static OrderAnswer carryOut(FakeEngines::State& state, const EngineOrder& order)
    {
        // An order that the engine is executing already is not counted again.
        if (order.kind == EngineOrderKind::Unload && order.adapter && state.drainingAdapters.contains(*order.adapter))
            return OrderAnswer::Accepted;
        if (order.expected != state.holdings.sequence || !state.busyWith.empty() || !state.unloading.empty()
            || !state.drainingAdapters.empty())
            return OrderAnswer::Conflict;
        if (order.adapter)
            return carryOutAdapter(state, order);
        state.holdings.sequence = state.holdings.sequence.next();
        if (order.kind == EngineOrderKind::Unload) {
            state.unloading = order.model;
            state.unloadedAt = currentTime() + FakeEngines::instance().unloadTime;
            FakeEngines::instance().settle(state);
            return OrderAnswer::Accepted;
        }
        state.overcommitted = state.overcommitted || state.holdings.models.size() + 1 > state.modelPlaces;
        FakeEngines::instance().loadStarts.push_back(currentTime());
        state.busyWith = order.model;
        state.busyUntil = currentTime() + 20ms;
        return OrderAnswer::Accepted;
    }

    static OrderAnswer carryOutAdapter(FakeEngines::State& state, const EngineOrder& order)
    {
        for (fleet::HeldModel& held : state.holdings.models) {
            if (held.model != order.model)
                continue;
            state.holdings.sequence = state.holdings.sequence.next();
            if (order.kind == EngineOrderKind::Unload) {
                if (const TimePoint used = state.adapterUses[*order.adapter]; used > currentTime()) {
                    state.drainingAdapters[*order.adapter] = used;
                    return OrderAnswer::Accepted;
                }
                held.adapters.erase(*order.adapter);
                return OrderAnswer::Done;
            }
            held.adapters.insert(*order.adapter);
            state.overcommitted = state.overcommitted || state.holdings.adapterCount() > state.adapterPlaces;
            return OrderAnswer::Accepted;
        }
        return OrderAnswer::Misdirected;
    }
};

static_assert(EngineChannel<FakeChannel>);

// Runs a dispatcher with simulated engines, of which "t0" holds the model "m0".
class DispatcherFixture : public testing::Test {
protected:
    DispatcherFixture()
    {
        FakeEngines::instance() = {};
        addEngine("t0", {"m0"});
    }

    void addEngine(const std::string& id, const std::vector<std::string>& models)
    {
        FakeEngines::State& state = FakeEngines::instance().engines[TargetId(id)];
        fleet::TargetRecord record;
        record.id = TargetId(id);
        record.service = ServiceId("hall");
        record.incarnation = fleet::TargetIncarnation(1);
        for (const std::string& model : models)
            state.holdings.models.push_back({ModelId(model), 1, {}});
        record.holdings = state.holdings;
        records_.push_back(record);
    }

    std::shared_ptr<const fleet::RouteTable> routes() const
    {
        fleet::Service service;
        service.id = ServiceId("hall");
        service.engine.emplace();
        service.engine->weightMegabytes = 200;
        service.engine->adapterSlots = adapterSlots_;
        service.engine->loadsPerSecond = loadsPerSecond_;
        for (int i = 0; i < 5; ++i)
            service.engine->models.push_back(
                {ModelId(fmt::format("m{}", i)), 90, adapterMegabytes_[static_cast<std::size_t>(i)], 9, 5s, 1s, 400ms});
        return fleet::RouteTable::create(ConfigurationVersion(1), {}, {service}, {});
    }

    // Runs `body` in a fiber, with a dispatcher that has begun a term with the engines.
    void run(const std::function<void(OrderDispatcher<FakeChannel>&)>& body)
    {
        const std::unique_ptr<Duty> duty = Duty::start("control", RuntimeClock::createRunning()).value();
        OrderDispatcher<FakeChannel> dispatcher(*duty,
            {[this] {
                 return OrderAuthority{granted_, InstanceId("a"), FencingNumber(1)};
             },
                [this](const fleet::TargetRecord&) { ++changes_; }});
        duty->run([&] {
            dispatcher.setRoutes(routes());
            dispatcher.beginTerm(records_);
            dispatcher.pollReports();
            sleepFor(20ms);
            body(dispatcher);
            dispatcher.endTerm();
            sleepFor(50ms);
        });
    }

    static absl::Status ensure(
        OrderDispatcher<FakeChannel>& dispatcher, const std::string& adapter, Duration limit = 500ms)
    {
        return dispatcher.ensureAdapter(TargetId("t0"), ModelId("m0"), AdapterId(adapter), currentTime() + limit);
    }

    static bool overcommitted() { return FakeEngines::instance().engines[TargetId("t0")].overcommitted; }

    std::vector<fleet::TargetRecord> records_;
    // High enough that a load does not wait for the weight store.
    double loadsPerSecond_ = 200;
    int adapterSlots_ = 2;
    std::array<double, 5> adapterMegabytes_{1, 1, 1, 1, 1};
    bool granted_ = true;
    int changes_ = 0;
};

} // namespace lychee::gateway
