#include "DispatcherFixture.h"

namespace lychee::gateway {
namespace {

class AdapterTurnTest : public DispatcherFixture {
protected:
    static FakeEngines::State& engine() { return FakeEngines::instance().engines[TargetId("t0")]; }

    // Five places, all held by a1 to a5, whose requests take `requestTime` from now on.
    void fillPlaces(OrderDispatcher<FakeChannel>& dispatcher, Duration requestTime)
    {
        requestTime_ = requestTime;
        for (const std::string adapter : {"a1", "a2", "a3", "a4", "a5"})
            ASSERT_TRUE(ensure(dispatcher, adapter).ok());
    }

    // Sends requests to the loaded ones of a1 to a5, and does what the placement owner does between requests.
    void useFrequentAdapters(OrderDispatcher<FakeChannel>& dispatcher, Duration duration) const
    {
        const TimePoint end = currentTime() + duration;
        while (currentTime() < end) {
            for (const char* adapter : {"a1", "a2", "a3", "a4", "a5"}) {
                TimePoint& used = engine().adapterUses[AdapterId(adapter)];
                if (isHeld(dispatcher, adapter))
                    used = currentTime() + requestTime_;
                if (used > currentTime())
                    dispatcher.recordUse(TargetId("t0"), ModelId("m0"), AdapterId(adapter));
            }
            dispatcher.pollReports();
            sleepFor(std::min<Duration>(100ms, end - currentTime()));
        }
    }

    static bool isHeld(const OrderDispatcher<FakeChannel>& dispatcher, const std::string& adapter)
    {
        const auto records = dispatcher.records();
        const fleet::HeldModel* held = records.front().holdings.find(ModelId("m0"));
        return held && held->adapters.contains(AdapterId(adapter));
    }

    // Asks for a6 every second as long as it is not held. Returns how long it took until it was held.
    Duration askUntilHeld(OrderDispatcher<FakeChannel>& dispatcher, Duration limit) const
    {
        const TimePoint begin = currentTime();
        bool held = false;
        while (!held && currentTime() - begin < limit) {
            Duty::current()->spawn([&] { held = ensure(dispatcher, "a6", 400ms).ok() || held; });
            useFrequentAdapters(dispatcher, 1s);
        }
        return currentTime() - begin;
    }

    static std::size_t countOrders(std::string_view prefix)
    {
        const auto& orders = FakeEngines::instance().orders;
        return static_cast<std::size_t>(std::count_if(
            orders.begin(), orders.end(), [&](const std::string& order) { return order.starts_with(prefix); }));
    }

    static std::size_t conflicts()
    {
        const auto& answers = FakeEngines::instance().answers;
        return static_cast<std::size_t>(std::count(answers.begin(), answers.end(), OrderAnswer::Conflict));
    }

    void setUpPlaces()
    {
        adapterSlots_ = 5;
        engine().adapterPlaces = 5;
    }

    Duration requestTime_{0};
};

// Guards against an adapter that is asked for every second and never loaded, because all places are in constant use.
TEST_F(AdapterTurnTest, LoadsAnAdapterThatIsAskedForWhileAllPlacesAreInUse)
{
    setUpPlaces();
    run([&](OrderDispatcher<FakeChannel>& dispatcher) {
        fillPlaces(dispatcher, 600ms);
        EXPECT_LT(askUntilHeld(dispatcher, 10s), 6s);
        EXPECT_TRUE(isHeld(dispatcher, "a6"));
    });
    ASSERT_EQ(countOrders("unload"), 1u) << "one adapter in use yields, the others keep their places";
    EXPECT_EQ(FakeEngines::instance().answers[5], OrderAnswer::Done) << "no request uses it any more";
    EXPECT_FALSE(overcommitted());
}

// Guards against a place that becomes free and is given to nobody, because the request that waited for it has gone.
TEST_F(AdapterTurnTest, LoadsTheAdapterAfterItsRequestHasGone)
{
    setUpPlaces();
    run([&](OrderDispatcher<FakeChannel>& dispatcher) {
        fillPlaces(dispatcher, 900ms);
        useFrequentAdapters(dispatcher, 1s);
        EXPECT_FALSE(ensure(dispatcher, "a6", 400ms).ok());
        useFrequentAdapters(dispatcher, 2s);
        EXPECT_FALSE(ensure(dispatcher, "a6", 400ms).ok());
        EXPECT_FALSE(isHeld(dispatcher, "a6"));
        useFrequentAdapters(dispatcher, 1800ms);
        EXPECT_TRUE(isHeld(dispatcher, "a6"));
    });
    EXPECT_FALSE(overcommitted());
}

// Guards against a request that is refused although the place that it waits for becomes free before its deadline.
TEST_F(AdapterTurnTest, ARequestWaitsForThePlaceOfAnAdapterThatYields)
{
    setUpPlaces();
    run([&](OrderDispatcher<FakeChannel>& dispatcher) {
        fillPlaces(dispatcher, 20ms);
        useFrequentAdapters(dispatcher, 1s);
        EXPECT_FALSE(ensure(dispatcher, "a6", 400ms).ok());
        useFrequentAdapters(dispatcher, 2s);
        EXPECT_FALSE(ensure(dispatcher, "a6", 400ms).ok());
        useFrequentAdapters(dispatcher, 250ms);
        const auto duty = Duty::current();
        bool held = false;
        duty->spawn([&] { held = ensure(dispatcher, "a6", 400ms).ok(); });
        useFrequentAdapters(dispatcher, 300ms);
        EXPECT_TRUE(held);
    });
    EXPECT_EQ(conflicts(), 0u);
    EXPECT_FALSE(overcommitted());
}

// Guards against an adapter that is never announced, and a place that counts as occupied from then on, because a report
// showed the adapter on its way.
TEST_F(AdapterTurnTest, ReadsTheReportAgainWhileAnAdapterIsOnItsWay)
{
    engine().holdings.arriving = {{ModelId("m0"), AdapterId("a1")}};
    run([&](OrderDispatcher<FakeChannel>& dispatcher) {
        engine().holdings.arriving.clear();
        engine().holdings.models.front().adapters = {AdapterId("a1")};
        for (int i = 0; i < 4; ++i) {
            dispatcher.pollReports();
            sleepFor(100ms);
        }
        EXPECT_TRUE(isHeld(dispatcher, "a1"));
        EXPECT_TRUE(ensure(dispatcher, "a2", 400ms).ok());
    });
    EXPECT_EQ(FakeEngines::instance().orders, std::vector<std::string>{"load m0/a2"});
}

// Guards against orders that an engine refuses, because it unloads an adapter that requests still use, or because a
// report from before the last order was taken for its state.
TEST_F(AdapterTurnTest, SendsNoOrdersWhileAnAdapterInUseIsUnloaded)
{
    FakeEngines::instance().reportAge = 200ms;
    run([&](OrderDispatcher<FakeChannel>& dispatcher) {
        ASSERT_TRUE(ensure(dispatcher, "a1").ok());
        ASSERT_TRUE(ensure(dispatcher, "a2").ok());
        // A request that is not reported in time.
        engine().adapterUses[AdapterId("a1")] = currentTime() + 1500ms;
        sleepFor(OrderLimits::adapterUseWindow + 20ms);
        EXPECT_FALSE(ensure(dispatcher, "a3", 400ms).ok());
        for (int i = 0; i < 4; ++i) {
            EXPECT_FALSE(ensure(dispatcher, "a4", 400ms).ok());
            dispatcher.pollReports();
            sleepFor(150ms);
        }
        EXPECT_EQ(FakeEngines::instance().orders.size(), 3u);
        for (int i = 0; i < 10; ++i) {
            dispatcher.pollReports();
            sleepFor(150ms);
        }
        EXPECT_TRUE(isHeld(dispatcher, "a4")) << "it was asked for last, the caller of a3 has not come again";
        EXPECT_TRUE(ensure(dispatcher, "a4", 400ms).ok());
    });
    EXPECT_EQ(conflicts(), 0u);
    EXPECT_FALSE(overcommitted());
}

// Guards against a new placement owner that unloads adapters in use before it has learnt of their uses.
TEST_F(AdapterTurnTest, KeepsAdaptersInUseWhenATermBegins)
{
    adapterSlots_ = 1;
    engine().holdings.models.front().adapters = {AdapterId("a1")};
    engine().adapterUses[AdapterId("a1")] = TimePoint(10s);
    run([&](OrderDispatcher<FakeChannel>& dispatcher) {
        EXPECT_FALSE(ensure(dispatcher, "a2", 300ms).ok());
        EXPECT_TRUE(isHeld(dispatcher, "a1"));
    });
    EXPECT_TRUE(FakeEngines::instance().orders.empty());
}

// Guards against a new placement owner that counts an unload which its predecessor had ordered, and ignores all reports
// from then on because they seem older than that order.
TEST_F(AdapterTurnTest, UnloadsAnAdapterThatAnEarlierOwnerHasOrderedUnloaded)
{
    adapterSlots_ = 1;
    engine().adapterPlaces = 1;
    engine().holdings.models.front().adapters = {AdapterId("a1")};
    engine().drainingAdapters[AdapterId("a1")] = TimePoint(800ms);
    run([&](OrderDispatcher<FakeChannel>& dispatcher) {
        sleepFor(OrderLimits::adapterUseWindow + 20ms);
        EXPECT_FALSE(ensure(dispatcher, "a2", 400ms).ok());
        for (int i = 0; i < 16; ++i) {
            dispatcher.pollReports();
            sleepFor(100ms);
        }
        EXPECT_TRUE(ensure(dispatcher, "a2", 400ms).ok());
    });
    EXPECT_FALSE(overcommitted());
}

// Guards against an order and a report for each request while the engine executes an order of an earlier owner, which
// reports do not show.
TEST_F(AdapterTurnTest, PausesAfterAConflictWithAnUnknownOrder)
{
    engine().holdings.models.front().adapters = {AdapterId("a1")};
    engine().drainingAdapters[AdapterId("a1")] = TimePoint(10s);
    run([&](OrderDispatcher<FakeChannel>& dispatcher) {
        EXPECT_FALSE(ensure(dispatcher, "a2", 400ms).ok());
        const TimePoint begin = currentTime();
        for (int i = 0; i < 5; ++i)
            EXPECT_FALSE(ensure(dispatcher, "a2", 400ms).ok());
        EXPECT_LT(currentTime() - begin, 200ms);
    });
    EXPECT_EQ(conflicts(), 1u);
}

// Guards against adapters in use that are unloaded for one that another engine serves.
TEST_F(AdapterTurnTest, KeepsAdaptersInUseWhenAnotherEngineHoldsTheWantedOne)
{
    setUpPlaces();
    addEngine("t1", {"m0"});
    FakeEngines::instance().engines[TargetId("t1")].adapterPlaces = 5;
    run([&](OrderDispatcher<FakeChannel>& dispatcher) {
        ASSERT_TRUE(
            dispatcher.ensureAdapter(TargetId("t1"), ModelId("m0"), AdapterId("a6"), currentTime() + 400ms).ok());
        fillPlaces(dispatcher, 100ms);
        for (int i = 0; i < 4; ++i) {
            EXPECT_FALSE(ensure(dispatcher, "a6", 400ms).ok());
            dispatcher.recordUse(TargetId("t1"), ModelId("m0"), AdapterId("a6"));
            useFrequentAdapters(dispatcher, 900ms);
        }
    });
    EXPECT_EQ(countOrders("unload"), 0u);
}

// Guards against a place in use that is left for an adapter and then not kept for it, because another engine holds the
// adapter without serving it.
TEST_F(AdapterTurnTest, KeepsAFreedPlaceForAnAdapterThatIsHeldElsewhereAndNotServed)
{
    setUpPlaces();
    addEngine("t1", {"m0"});
    FakeEngines::instance().engines[TargetId("t1")].holdings.models.front().adapters = {AdapterId("a6")};
    run([&](OrderDispatcher<FakeChannel>& dispatcher) {
        fillPlaces(dispatcher, 900ms);
        for (int i = 0; i < 5; ++i) {
            EXPECT_FALSE(ensure(dispatcher, "a6", 400ms).ok());
            useFrequentAdapters(dispatcher, 900ms);
        }
        EXPECT_FALSE(ensure(dispatcher, "a6", 400ms).ok());
        useFrequentAdapters(dispatcher, 2500ms);
        EXPECT_TRUE(isHeld(dispatcher, "a6"));
    });
    EXPECT_FALSE(overcommitted());
}

// Guards against an order for an adapter that has left with its model, which the engine refuses.
TEST_F(AdapterTurnTest, UnloadsNoAdapterOfAModelThatHasLeft)
{
    setUpPlaces();
    run([&](OrderDispatcher<FakeChannel>& dispatcher) {
        fillPlaces(dispatcher, 400ms);
        useFrequentAdapters(dispatcher, 1s);
        EXPECT_FALSE(ensure(dispatcher, "a6", 400ms).ok());
        useFrequentAdapters(dispatcher, 2s);
        EXPECT_FALSE(ensure(dispatcher, "a6", 400ms).ok());
        FakeEngines::instance().unloadTime = 400ms;
        dispatcher.sendOrders({{TargetId("t0"), fleet::ModelOrderKind::Unload, ModelId("m0"), fleet::PlanReason::Room,
            true, 20ms, {}, {}}});
        for (int i = 0; i < 15; ++i) {
            dispatcher.pollReports();
            sleepFor(100ms);
        }
    });
    EXPECT_EQ(FakeEngines::instance().orders.back(), "unload m0");
}

// Guards against unloads for adapters that callers ask for and that do not exist.
TEST_F(AdapterTurnTest, KeepsAdaptersInUseWhenTheWantedOneIsNotDeclared)
{
    setUpPlaces();
    run([&](OrderDispatcher<FakeChannel>& dispatcher) {
        fillPlaces(dispatcher, 100ms);
        for (int i = 0; i < 4; ++i) {
            EXPECT_FALSE(ensure(dispatcher, "a77", 400ms).ok());
            useFrequentAdapters(dispatcher, 900ms);
        }
    });
    EXPECT_EQ(countOrders("unload"), 0u);
}

} // namespace
} // namespace lychee::gateway
