#include "fleet/AdapterPlaces.h"

#include "SeededRandom.h"

#include <gtest/gtest.h>

namespace lychee::fleet {
namespace {

using namespace std::chrono_literals;

AdapterName named(int number) { return {ModelId("m0"), AdapterId(fmt::format("a{}", number))}; }

bool nowhere(const AdapterName&) { return false; }

class AdapterPlacesTest : public testing::Test {
protected:
    // Fills the places of the engine with adapters 0 to `count` - 1, loaded 100 ms after one another.
    void load(int count)
    {
        for (int i = 0; i < count; ++i) {
            places_.recordLoad(target_, named(i), false, now_);
            resident_.push_back(named(i));
            now_ += 100ms;
        }
    }

    void useAll()
    {
        for (const AdapterName& adapter : resident_)
            places_.recordUse(target_, adapter, now_);
    }

    std::optional<AdapterYield> yieldFor(
        const AdapterName& wanted, absl::FunctionRef<bool(const AdapterName&)> heldElsewhere = nowhere) const
    {
        return places_.yieldFor(target_, wanted, resident_, heldElsewhere, now_);
    }

    // Asks for the adapter until it has waited for this time, while all others are in use.
    void askFor(const AdapterName& wanted, Duration duration)
    {
        const TimePoint end = now_ + duration;
        places_.recordRequest(target_, wanted, now_);
        while (now_ < end) {
            now_ += 100ms;
            useAll();
            places_.recordRequest(target_, wanted, now_);
        }
    }

    const TargetId target_{"t0"};
    TimePoint now_{10s};
    AdapterPlaces places_{now_};
    std::vector<AdapterName> resident_;
};

TEST_F(AdapterPlacesTest, TheLeastRecentlyUsedIdleAdapterYields)
{
    load(3);
    now_ += AdapterPlaces::useWindow;
    places_.recordUse(target_, named(0), now_);
    const auto yield = yieldFor(named(9));
    ASSERT_TRUE(yield);
    EXPECT_EQ(yield->adapter, named(1));
    EXPECT_EQ(yield->reason, YieldReason::Idle);
}

// Guards against a new placement owner that takes adapters in use for idle before it has learnt of their uses.
TEST_F(AdapterPlacesTest, AdaptersWithUnknownUsesAreNotIdleAtFirst)
{
    resident_ = {named(0), named(1)};
    now_ += AdapterPlaces::useWindow - 100ms;
    EXPECT_FALSE(yieldFor(named(9)));
    places_.recordUse(target_, named(0), now_);
    now_ += 200ms;
    const auto yield = yieldFor(named(9));
    ASSERT_TRUE(yield);
    EXPECT_EQ(yield->adapter, named(1));
}

// Guards against an adapter that is never loaded because all places are in constant use.
TEST_F(AdapterPlacesTest, AnAdapterInUseYieldsToOneThatHasWaited)
{
    load(3);
    askFor(named(9), AdapterPlaces::maxWait - 100ms);
    EXPECT_FALSE(yieldFor(named(9)));
    askFor(named(9), AdapterPlaces::minHoldTime);
    const auto yield = yieldFor(named(9));
    ASSERT_TRUE(yield);
    EXPECT_EQ(yield->adapter, named(0)) << "it has held its place longest";
    EXPECT_EQ(yield->reason, YieldReason::Turn);
}

// Guards against a wait that begins anew with each request, which a rare adapter would never reach the end of.
TEST_F(AdapterPlacesTest, TheWaitBeginsWithTheFirstRequestThatWasNotServed)
{
    load(1);
    places_.recordRequest(target_, named(9), now_);
    now_ += 9s;
    useAll();
    places_.recordRequest(target_, named(9), now_);
    EXPECT_EQ(places_.waited(named(9), now_), 9s);
    EXPECT_TRUE(yieldFor(named(9)));
    places_.recordUse(TargetId("t1"), named(9), now_);
    EXPECT_EQ(places_.waited(named(9), now_), 0s);
    EXPECT_FALSE(yieldFor(named(9)));
}

// Guards against adapters in use that lose their places for one that is served on another engine.
TEST_F(AdapterPlacesTest, NoneInUseYieldsToAnAdapterThatAnotherEngineHolds)
{
    load(3);
    const auto heldElsewhere = [](const AdapterName& adapter) { return adapter == named(9) || adapter == named(2); };
    askFor(named(9), 3500ms);
    EXPECT_FALSE(yieldFor(named(9), heldElsewhere));
    askFor(named(9), 1s);
    const auto yield = yieldFor(named(9), heldElsewhere);
    ASSERT_TRUE(yield) << "no engine serves it";
    EXPECT_EQ(yield->adapter, named(2)) << "another engine holds it as well";
}

// Guards against frequent adapters that lose more of their time than the rare ones need.
TEST_F(AdapterPlacesTest, TurnsOnOneEngineAreLimited)
{
    load(3);
    askFor(named(9), AdapterPlaces::minHoldTime);
    places_.recordTurn(target_, named(9), now_);
    places_.recordUnload(target_, named(0));
    std::erase(resident_, named(0));
    askFor(named(8), AdapterPlaces::minTurnInterval - 100ms);
    EXPECT_FALSE(yieldFor(named(8)));
    askFor(named(8), 100ms);
    EXPECT_TRUE(yieldFor(named(8)));
}

// Guards against one rare adapter that takes the places of adapters in use on all engines that it is asked for on.
TEST_F(AdapterPlacesTest, OneAdapterInUseAtATimeYieldsToAnotherOne)
{
    const TargetId second("t1");
    load(3);
    for (const AdapterName& adapter : resident_)
        places_.recordLoad(second, adapter, false, now_);
    askFor(named(9), AdapterPlaces::minHoldTime + 300ms);
    const auto yieldOnSecond = [&] {
        for (const AdapterName& adapter : resident_)
            places_.recordUse(second, adapter, now_);
        return places_.yieldFor(second, named(9), resident_, nowhere, now_);
    };
    EXPECT_TRUE(yieldOnSecond());
    places_.recordTurn(target_, named(9), now_);
    EXPECT_FALSE(yieldOnSecond());
    askFor(named(9), AdapterPlaces::turnTime);
    EXPECT_TRUE(yieldOnSecond());
}

// Guards against an adapter that is unloaded before the caller that waited for it has come again.
TEST_F(AdapterPlacesTest, AnAdapterThatAwaitsARetryKeepsItsPlace)
{
    places_.recordLoad(target_, named(0), true, now_);
    resident_.push_back(named(0));
    now_ += AdapterPlaces::useWindow + 100ms;
    EXPECT_FALSE(yieldFor(named(9)));
    places_.recordUse(target_, named(0), now_);
    now_ += AdapterPlaces::useWindow + 100ms;
    EXPECT_TRUE(yieldFor(named(9)));
}

TEST_F(AdapterPlacesTest, AFreePlaceGoesToTheAdapterThatHasWaitedLongest)
{
    const auto any = [](const AdapterName&) { return true; };
    EXPECT_FALSE(places_.longestWaiting(target_, any, now_));
    places_.recordRequest(target_, named(7), now_);
    now_ += 1s;
    places_.recordRequest(target_, named(8), now_);
    places_.recordRequest(TargetId("t1"), named(6), now_);
    EXPECT_EQ(places_.longestWaiting(target_, any, now_), named(7));
    EXPECT_EQ(places_.longestWaiting(
                  target_, [](const AdapterName& adapter) { return adapter != named(7); }, now_),
        named(8));
    now_ += AdapterPlaces::recentRequest - 900ms;
    EXPECT_EQ(places_.longestWaiting(target_, any, now_), named(8)) << "the caller of the other does not retry";
    now_ += AdapterPlaces::requestAge;
    EXPECT_FALSE(places_.longestWaiting(target_, any, now_)) << "their callers have gone";
}

// One engine with five places for five adapters in constant use and several rare ones. An adapter that yields while it
// is in use occupies its place for a second more.
class AdapterDay {
public:
    AdapterDay(int rare, Duration rareInterval, std::uint64_t seed)
        : random_(seed)
        , rareInterval_(rareInterval)
    {
        for (int i = 0; i < frequent + rare; ++i)
            nextRequest_.push_back(begin + random_.between(0, i < frequent ? 100 : rareInterval / 1ms) * 1ms);
        firstUnserved_.resize(nextRequest_.size());
        served_.resize(nextRequest_.size());
        asked_.resize(nextRequest_.size());
        longestWait_.resize(nextRequest_.size());
    }

    void run(Duration length)
    {
        for (TimePoint now = begin; now < begin + length; now += 10ms) {
            if (draining_ && now >= *draining_) {
                draining_.reset();
                const auto next = places_.longestWaiting(
                    target_, [&](const AdapterName& name) { return !holds(name); }, now);
                if (next)
                    load(*next, true, now);
            }
            for (std::size_t i = 0; i < nextRequest_.size(); ++i) {
                if (now < nextRequest_[i])
                    continue;
                request(static_cast<int>(i), now);
                const Duration interval = static_cast<int>(i) < frequent ? 100ms : rareInterval_;
                nextRequest_[i] = now + random_.between(interval / 2ms, interval * 3 / 2ms) * 1ms;
            }
        }
    }

    double servedShare(std::size_t first, std::size_t last) const
    {
        int served = 0;
        int asked = 0;
        for (std::size_t i = first; i < last; ++i) {
            served += served_[i];
            asked += asked_[i];
        }
        return static_cast<double>(served) / asked;
    }

    Duration longestWait(std::size_t index) const { return longestWait_[index]; }
    std::size_t adapters() const { return nextRequest_.size(); }

    static constexpr int frequent = 5;

private:
    bool holds(const AdapterName& name) const
    {
        return std::find(resident_.begin(), resident_.end(), name) != resident_.end();
    }

    void load(const AdapterName& name, bool awaitsRetry, TimePoint now)
    {
        resident_.push_back(name);
        places_.recordLoad(target_, name, awaitsRetry, now);
    }

    void request(int index, TimePoint now)
    {
        const auto i = static_cast<std::size_t>(index);
        const AdapterName name = named(index);
        ++asked_[i];
        if (!firstUnserved_[i])
            firstUnserved_[i] = now;
        if (!holds(name)) {
            places_.recordRequest(target_, name, now);
            if (!makeRoom(name, now))
                return;
            load(name, false, now);
        }
        places_.recordUse(target_, name, now);
        ++served_[i];
        longestWait_[i] = std::max(longestWait_[i], Duration(now - *firstUnserved_[i]));
        firstUnserved_[i].reset();
    }

    bool makeRoom(const AdapterName& name, TimePoint now)
    {
        if (resident_.size() + (draining_ ? 1 : 0) < frequent)
            return true;
        const auto yield = places_.yieldFor(target_, name, resident_, nowhere, now);
        if (!yield || (yield->reason == YieldReason::Turn && draining_))
            return false;
        std::erase(resident_, yield->adapter);
        places_.recordUnload(target_, yield->adapter);
        if (yield->reason == YieldReason::Idle)
            return true;
        places_.recordTurn(target_, name, now);
        draining_ = now + 1s;
        return false;
    }

    static constexpr TimePoint begin{10s};

    SeededRandom random_;
    Duration rareInterval_;
    const TargetId target_{"t0"};
    AdapterPlaces places_{begin};
    std::vector<AdapterName> resident_;
    std::optional<TimePoint> draining_;
    std::vector<TimePoint> nextRequest_;
    std::vector<std::optional<TimePoint>> firstUnserved_;
    std::vector<int> served_;
    std::vector<int> asked_;
    std::vector<Duration> longestWait_;
};

// Guards against adapters that are asked for every second or so and are not served, and against rare ones that are
// served at the price of the frequent ones.
TEST(AdapterPlacesDay, ServesRareAdaptersWithinABoundAndFrequentOnesMostOfTheTime)
{
    for (std::uint64_t seed = 1; seed <= 20; ++seed) {
        AdapterDay day(3, 1s, seed);
        day.run(60s);
        for (std::size_t i = AdapterDay::frequent; i < day.adapters(); ++i) {
            EXPECT_LE(day.longestWait(i), 10s) << "seed " << seed << ", adapter " << i;
            EXPECT_GT(day.longestWait(i), 0s) << "seed " << seed << ", adapter " << i;
        }
        EXPECT_GE(day.servedShare(0, AdapterDay::frequent), 0.7) << "seed " << seed;
    }
}

// Guards against frequent adapters that lose their places although there is one for each adapter.
TEST(AdapterPlacesDay, FrequentAdaptersAloneKeepTheirPlaces)
{
    AdapterDay day(0, 1s, 1);
    day.run(60s);
    EXPECT_EQ(day.servedShare(0, AdapterDay::frequent), 1);
}

} // namespace
} // namespace lychee::fleet
