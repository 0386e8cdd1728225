#include "DispatcherFixture.h"

namespace lychee::gateway {
namespace {

class OrderDispatcherTest : public DispatcherFixture {
protected:
    static fleet::PlannedEngine engineNamed(const OrderDispatcher<FakeChannel>& dispatcher, const std::string& id)
    {
        const auto engines = dispatcher.engines(ServiceId("hall"));
        return *std::find_if(
            engines.begin(), engines.end(), [&](const auto& engine) { return engine.id == TargetId(id); });
    }

    static fleet::Holdings holdingsOf(const OrderDispatcher<FakeChannel>& dispatcher, const std::string& id)
    {
        const auto records = dispatcher.records();
        return std::find_if(records.begin(), records.end(), [&](const auto& record) {
            return record.id == TargetId(id);
        })->holdings;
    }

    // Largest number of loads that began within `window`.
    static std::size_t mostLoadStartsWithin(Duration window)
    {
        const std::vector<TimePoint>& starts = FakeEngines::instance().loadStarts;
        std::size_t most = 0;
        for (const TimePoint begin : starts) {
            most = std::max(most,
                static_cast<std::size_t>(std::count_if(starts.begin(), starts.end(),
                    [&](TimePoint start) { return start >= begin && start < begin + window; })));
        }
        return most;
    }

    // Orders each engine but the first to replace m3 with m2 from the weight store.
    void replaceModelOnAllButFirst(OrderDispatcher<FakeChannel>& dispatcher) const
    {
        std::vector<fleet::ModelOrder> orders;
        for (std::size_t i = 1; i < records_.size(); ++i)
            orders.push_back({records_[i].id, fleet::ModelOrderKind::Unload, ModelId("m3"), fleet::PlanReason::Room,
                true, 20ms, {}, ModelId("m2")});
        dispatcher.sendOrders(orders);
    }

    // Polls the reports for this time, or until `count` loads have begun.
    static void pollFor(OrderDispatcher<FakeChannel>& dispatcher, Duration duration, std::size_t count = SIZE_MAX)
    {
        const TimePoint end = currentTime() + duration;
        while (currentTime() < end && FakeEngines::instance().loadStarts.size() < count) {
            dispatcher.pollReports();
            sleepFor(50ms);
        }
    }
};

// Guards against a crash of the owner: requests wait for an adapter while its entry is removed from the queue.
TEST_F(OrderDispatcherTest, SeveralRequestsWaitForOneAdapter)
{
    run([&](OrderDispatcher<FakeChannel>& dispatcher) {
        FakeEngines::instance().answerTime = 20ms;
        int held = 0;
        int ended = 0;
        for (int i = 0; i < 8; ++i) {
            Duty::current()->spawn([&] {
                held += ensure(dispatcher, "a1").ok() ? 1 : 0;
                ++ended;
            });
            sleepFor(3ms);
        }
        while (ended < 8)
            sleepFor(5ms);
        EXPECT_EQ(held, 8);
    });
    EXPECT_EQ(FakeEngines::instance().orders, std::vector<std::string>{"load m0/a1"});
}

// Guards against a model that is loaded beside adapters whose memory is not counted, because a report shows them on
// their way.
TEST_F(OrderDispatcherTest, CountsTheMemoryOfAdaptersOnTheirWay)
{
    adapterMegabytes_[0] = 30;
    FakeEngines::instance().engines[TargetId("t0")].holdings.arriving = {{ModelId("m0"), AdapterId("a1")}};
    run([&](OrderDispatcher<FakeChannel>& dispatcher) {
        dispatcher.sendOrders({{TargetId("t0"), fleet::ModelOrderKind::Load, ModelId("m1"), fleet::PlanReason::Demand,
            true, 20ms, {}, {}}});
        sleepFor(100ms);
    });
    EXPECT_TRUE(FakeEngines::instance().orders.empty());
}

// Guards against an adapter that is loaded into too little memory, because the one unloaded for it is smaller.
TEST_F(OrderDispatcherTest, UnloadsAsManyAdaptersAsALargerOneNeeds)
{
    adapterSlots_ = 4;
    adapterMegabytes_ = {10, 20, 1, 1, 1};
    FakeEngines::instance().engines[TargetId("t0")].holdings.models.push_back({ModelId("m1"), 1, {}});
    run([&](OrderDispatcher<FakeChannel>& dispatcher) {
        ASSERT_TRUE(ensure(dispatcher, "a1").ok());
        ASSERT_TRUE(ensure(dispatcher, "a2").ok());
        sleepFor(OrderLimits::adapterUseWindow + 50ms);
        EXPECT_TRUE(
            dispatcher.ensureAdapter(TargetId("t0"), ModelId("m1"), AdapterId("a3"), currentTime() + 400ms).ok());
    });
    EXPECT_EQ(FakeEngines::instance().orders,
        (std::vector<std::string>{"load m0/a1", "load m0/a2", "unload m0/a1", "unload m0/a2", "load m1/a3"}));
}

// Guards against refusing requests because an order that arrived late has changed the state of the engine, although a
// second attempt would load their adapter.
TEST_F(OrderDispatcherTest, LoadsAnAdapterAfterALateOrder)
{
    run([&](OrderDispatcher<FakeChannel>& dispatcher) {
        ASSERT_TRUE(ensure(dispatcher, "a1").ok());
        FakeEngines::State& state = FakeEngines::instance().engines[TargetId("t0")];
        state.holdings.sequence = state.holdings.sequence.next();
        EXPECT_TRUE(ensure(dispatcher, "a2").ok());
        // Meant to show that an engine in an unexpected state at each attempt is given up. The request fails earlier
        // than that: both places hold recently used adapters, so no order is sent and `unanswered` stays 1.
        FakeEngines::instance().unanswered = 1;
        EXPECT_FALSE(ensure(dispatcher, "a3").ok());
    });
    const std::vector<std::string> expected{"load m0/a1", "load m0/a2", "load m0/a2"};
    EXPECT_TRUE(std::equal(expected.begin(), expected.end(), FakeEngines::instance().orders.begin()));
    EXPECT_FALSE(overcommitted());
}

// Guards against loading more adapters than an engine has places for, and against unloading an adapter in use.
TEST_F(OrderDispatcherTest, UnloadsTheLeastRecentlyUsedAdapter)
{
    run([&](OrderDispatcher<FakeChannel>& dispatcher) {
        ASSERT_TRUE(ensure(dispatcher, "a1").ok());
        ASSERT_TRUE(ensure(dispatcher, "a2").ok());
        EXPECT_FALSE(ensure(dispatcher, "a3").ok()) << "both adapters were used a moment ago";
        sleepFor(OrderLimits::adapterUseWindow + 20ms);
        dispatcher.recordUse(TargetId("t0"), ModelId("m0"), AdapterId("a1"));
        EXPECT_TRUE(ensure(dispatcher, "a3").ok());
        EXPECT_TRUE(ensure(dispatcher, "a1").ok());
    });
    const std::vector<std::string> expected{"load m0/a1", "load m0/a2", "unload m0/a2", "load m0/a3"};
    EXPECT_EQ(FakeEngines::instance().orders, expected);
    EXPECT_FALSE(overcommitted());
}

// Guards against loads that exceed the memory after a change of owner: the report of a busy engine does not show the
// model that the earlier owner ordered.
TEST_F(OrderDispatcherTest, SendsNothingWhileAnOrderOfAnEarlierOwnerIsInProgress)
{
    FakeEngines::State& state = FakeEngines::instance().engines[TargetId("t0")];
    state.holdings.sequence = fleet::OrderSequence(3);
    state.busyWith = ModelId("m4");
    state.busyUntil = TimePoint(600ms);
    run([&](OrderDispatcher<FakeChannel>& dispatcher) {
        const fleet::ModelOrder load{
            TargetId("t0"), fleet::ModelOrderKind::Load, ModelId("m2"), fleet::PlanReason::Missing, true, 20ms, {}};
        EXPECT_FALSE(dispatcher.engines(ServiceId("hall"))[0].acceptsOrders);
        dispatcher.sendOrders({load});
        sleepFor(300ms);
        EXPECT_TRUE(FakeEngines::instance().orders.empty());
        while (!dispatcher.engines(ServiceId("hall"))[0].acceptsOrders) {
            dispatcher.pollReports();
            sleepFor(50ms);
        }
        EXPECT_EQ(dispatcher.engines(ServiceId("hall"))[0].models.size(), 2u);
        // The order no longer fits: m4 now occupies the memory.
        dispatcher.sendOrders({load});
        sleepFor(100ms);
    });
    EXPECT_TRUE(FakeEngines::instance().orders.empty());
    EXPECT_FALSE(overcommitted());
}

// Guards against a delay of half a second between an unload and the load that it makes room for, while callers wait.
TEST_F(OrderDispatcherTest, LoadsRightAfterTheUnloadThatMakesRoom)
{
    addEngine("t1", {"m1", "m3"});
    run([&](OrderDispatcher<FakeChannel>& dispatcher) {
        dispatcher.sendOrders({{TargetId("t1"), fleet::ModelOrderKind::Unload, ModelId("m3"), fleet::PlanReason::Room,
            true, 20ms, {}, ModelId("m2")}});
        sleepFor(200ms);
        const std::vector<std::string> expected{"unload m3", "load m2"};
        EXPECT_EQ(FakeEngines::instance().orders, expected);
    });
    EXPECT_FALSE(FakeEngines::instance().engines[TargetId("t1")].overcommitted);
}

// Guards against a planned load that is dropped while the model before it is still in use, against requests that are
// sent to that model because the engine's report still lists it, and against a planner that relies on a copy which is
// to be unloaded later.
TEST_F(OrderDispatcherTest, CompletesAPlanAfterUnloadsThatTakeTime)
{
    addEngine("t1", {"m1", "m3"});
    FakeEngines::instance().unloadTime = 900ms;
    run([&](OrderDispatcher<FakeChannel>& dispatcher) {
        dispatcher.sendOrders({{TargetId("t1"), fleet::ModelOrderKind::Unload, ModelId("m3"), fleet::PlanReason::Room,
            true, 20ms, {ModelId("m1")}, ModelId("m2")}});
        sleepFor(700ms);
        const fleet::PlannedEngine planned = engineNamed(dispatcher, "t1");
        EXPECT_FALSE(planned.acceptsOrders);
        EXPECT_EQ(planned.leaving, (std::set<ModelId>{ModelId("m1"), ModelId("m3")}));
        EXPECT_EQ(planned.arriving, ModelId("m2"));
        EXPECT_EQ(holdingsOf(dispatcher, "t1").find(ModelId("m3")), nullptr);
        for (int i = 0; i < 9; ++i) {
            sleepFor(200ms);
            dispatcher.pollReports();
        }
        EXPECT_NE(holdingsOf(dispatcher, "t1").find(ModelId("m2")), nullptr);
        EXPECT_EQ(holdingsOf(dispatcher, "t1").find(ModelId("m1")), nullptr);
    });
    EXPECT_FALSE(FakeEngines::instance().engines[TargetId("t1")].overcommitted);
}

// Guards against more loads in a window than the weight store allows, when loads that were planned one by one wait for
// unloads that end together; and against loads that are then never sent.
TEST_F(OrderDispatcherTest, StartsLoadsAtTheRateOfTheStoreAfterUnloadsThatEndTogether)
{
    constexpr std::size_t replaced = 8;
    for (std::size_t i = 1; i <= replaced; ++i)
        addEngine(fmt::format("t{}", i), {"m1", "m3"});
    FakeEngines::instance().unloadTime = 400ms;
    loadsPerSecond_ = 4;
    run([&](OrderDispatcher<FakeChannel>& dispatcher) {
        replaceModelOnAllButFirst(dispatcher);
        pollFor(dispatcher, 800ms);
        EXPECT_EQ(dispatcher.availableStoreLoads(), 0);
        pollFor(dispatcher, 10s, replaced);
        EXPECT_EQ(FakeEngines::instance().loadStarts.size(), replaced);
    });
    // The limit of the deployments: a tenth above the rate, plus three loads.
    EXPECT_LE(static_cast<double>(mostLoadStartsWithin(500ms)), loadsPerSecond_ * 0.5 * 1.1 + 3);
}

// Guards against a new placement owner that starts loads which the previous owner's have left no room for.
TEST_F(OrderDispatcherTest, StartsNoLoadFromTheStoreRightAfterATermBegins)
{
    addEngine("t1", {"m1"});
    loadsPerSecond_ = 2;
    run([&](OrderDispatcher<FakeChannel>& dispatcher) {
        pollFor(dispatcher, 600ms);
        EXPECT_GE(dispatcher.availableStoreLoads(), 1);
        dispatcher.endTerm();
        const TimePoint begin = currentTime();
        dispatcher.beginTerm(records_);
        pollFor(dispatcher, 100ms);
        dispatcher.sendOrders({{TargetId("t1"), fleet::ModelOrderKind::Load, ModelId("m2"), fleet::PlanReason::Missing,
            true, 20ms, {}, {}}});
        pollFor(dispatcher, 5s, 1);
        ASSERT_EQ(FakeEngines::instance().loadStarts.size(), 1u);
        EXPECT_GE(FakeEngines::instance().loadStarts.front() - begin, 490ms);
    });
}

// Guards against a load that uses up the limit of the store twice because its answer was lost, and against one that is
// no longer counted although it may still begin.
TEST_F(OrderDispatcherTest, CountsALoadWithALostAnswerOnce)
{
    addEngine("t1", {"m1"});
    loadsPerSecond_ = 2;
    run([&](OrderDispatcher<FakeChannel>& dispatcher) {
        pollFor(dispatcher, 1600ms);
        ASSERT_EQ(dispatcher.availableStoreLoads(), 2);
        FakeEngines::instance().unanswered = 1;
        FakeEngines::instance().takesEffect = false;
        const std::vector<fleet::ModelOrder> orders{{TargetId("t1"), fleet::ModelOrderKind::Load, ModelId("m2"),
            fleet::PlanReason::Missing, true, 20ms, {}, {}}};
        dispatcher.sendOrders(orders);
        pollFor(dispatcher, 1600ms);
        // Without the lost order, two loads could start by now.
        EXPECT_EQ(dispatcher.availableStoreLoads(), 1);
        FakeEngines::instance().takesEffect = true;
        dispatcher.sendOrders(orders);
        pollFor(dispatcher, 5s, 1);
        EXPECT_EQ(FakeEngines::instance().loadStarts.size(), 1u);
        EXPECT_GE(dispatcher.availableStoreLoads(), 1);
        pollFor(dispatcher, 1600ms);
        EXPECT_EQ(dispatcher.availableStoreLoads(), 2);
    });
}

// Guards against orders that an engine refuses because it executes one order at a time, and against requests that wait
// for it although another engine may hold their adapter.
TEST_F(OrderDispatcherTest, RefusesAdaptersAtOnceWhileAModelIsUnloaded)
{
    addEngine("t1", {"m0", "m3"});
    FakeEngines::instance().unloadTime = 900ms;
    run([&](OrderDispatcher<FakeChannel>& dispatcher) {
        dispatcher.sendOrders({{TargetId("t1"), fleet::ModelOrderKind::Unload, ModelId("m3"), fleet::PlanReason::Room,
            true, 20ms, {}, ModelId("m2")}});
        sleepFor(100ms);
        const TimePoint begin = currentTime();
        const auto load = [&] {
            return dispatcher.ensureAdapter(TargetId("t1"), ModelId("m0"), AdapterId("a1"), currentTime() + 400ms);
        };
        EXPECT_EQ(errorOf<TransportError>(load()), TransportError::RingFull);
        EXPECT_LT(currentTime() - begin, 100ms);
        pollFor(dispatcher, 1600ms);
        EXPECT_TRUE(load().ok());
    });
    const auto& orders = FakeEngines::instance().orders;
    EXPECT_EQ(std::count(orders.begin(), orders.end(), "load m0/a1"), 1);
}

// Guards against orders that are based on an outdated state: after a lost answer, the report is read before the next
// order.
TEST_F(OrderDispatcherTest, ReadsTheReportAfterALostAnswer)
{
    run([&](OrderDispatcher<FakeChannel>& dispatcher) {
        FakeEngines::instance().unanswered = 1;
        EXPECT_FALSE(ensure(dispatcher, "a1").ok());
        sleepFor(OrderLimits::reportInterval * 2);
        EXPECT_TRUE(ensure(dispatcher, "a1", 2s).ok());
    });
    EXPECT_EQ(FakeEngines::instance().orders, std::vector<std::string>{"load m0/a1"});
}

// Guards against a load from the weight store that is taken for one from disk, and so escapes the limit of the store,
// because an entry of the platform's table that is older than the last report still lists the weights.
TEST_F(OrderDispatcherTest, KeepsTheReportedCachedWeightsWhenAnOlderEntryArrives)
{
    addEngine("t1", {"m1"});
    FakeEngines::instance().engines[TargetId("t1")].weightsOnDisk = {ModelId("m1")};
    run([&](OrderDispatcher<FakeChannel>& dispatcher) {
        ASSERT_EQ(engineNamed(dispatcher, "t1").weightsOnDisk, std::set<ModelId>{ModelId("m1")});
        fleet::TargetRecord entry = records_.back();
        entry.weightsInMemory = {ModelId("m2")};
        entry.weightsOnDisk = {ModelId("m2")};
        dispatcher.update(entry);
        EXPECT_EQ(engineNamed(dispatcher, "t1").weightsOnDisk, std::set<ModelId>{ModelId("m1")});
        EXPECT_TRUE(engineNamed(dispatcher, "t1").weightsInMemory.empty());
    });
}

// Guards against orders of an instance that may no longer hold the lease.
TEST_F(OrderDispatcherTest, SendsNothingWithoutAuthority)
{
    run([&](OrderDispatcher<FakeChannel>& dispatcher) {
        granted_ = false;
        EXPECT_FALSE(ensure(dispatcher, "a1").ok());
        dispatcher.sendOrders({{TargetId("t0"), fleet::ModelOrderKind::Load, ModelId("m2"), fleet::PlanReason::Missing,
            true, 20ms, {}, {}}});
        sleepFor(50ms);
    });
    EXPECT_TRUE(FakeEngines::instance().orders.empty());
}

} // namespace
} // namespace lychee::gateway
