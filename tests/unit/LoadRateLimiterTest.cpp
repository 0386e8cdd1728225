#include "fleet/LoadRateLimiter.h"
#include "fleet/DemandMeter.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <optional>
#include <vector>

namespace lychee::fleet {
namespace {

TimePoint at(double seconds) { return TimePoint(Duration(static_cast<Duration::rep>(seconds * 1e9))); }

// Guards against more loads in a window than the weight store allows: a tenth above its rate plus three loads.
TEST(LoadRateLimiter, StaysBelowTheCeilingInEveryWindow)
{
    for (const double rate : {0.5, 2.1, 20.0}) {
        constexpr double window = 5;
        LoadRateLimiter allowance(rate, at(0));
        std::deque<double> loads;
        for (double now = 0; now < 60; now += 0.01) {
            // Demand pauses for 7 s at a time, so that the tokens saved up meanwhile are then used at once.
            if (static_cast<int>(now / 7) % 2 == 1 || allowance.available(at(now)) == 0)
                continue;
            allowance.take(at(now));
            loads.push_back(now);
            while (loads.front() < now - window)
                loads.pop_front();
            EXPECT_LE(static_cast<double>(loads.size()), rate * window * 1.1 + 3) << rate << " at " << now;
        }
    }
}

// Guards against a new placement owner that starts with tokens which the previous owner has already used.
TEST(LoadRateLimiter, StartsEmpty) { EXPECT_EQ(LoadRateLimiter(2.1, at(100)).available(at(100)), 0); }

// Guards against more loads in a window than the weight store allows, when loads begin long after their orders because
// the answers were lost.
TEST(LoadRateLimiter, StaysBelowTheCeilingWithLoadsThatBeginLate)
{
    constexpr double rate = 2;
    constexpr double window = 5;
    constexpr double step = 0.01;
    LoadRateLimiter limiter(rate, at(0));
    std::vector<double> starts;
    std::deque<double> late;
    int ordered = 0;
    for (int i = 0; i * step < 240; ++i) {
        const double now = i * step;
        // Two orders in a row of every 20 are not answered; their loads begin 8 s later.
        while (!late.empty() && late.front() <= now) {
            late.pop_front();
            limiter.confirm(at(now));
            starts.push_back(now);
        }
        if (static_cast<int>(now / 7) % 3 == 2 || limiter.available(at(now)) == 0)
            continue;
        limiter.order(at(now));
        if (ordered++ % 20 < 2) {
            late.push_back(now + 8);
            continue;
        }
        limiter.confirm(at(now));
        starts.push_back(now);
    }
    EXPECT_GT(starts.size(), 240u);
    for (const double begin : starts) {
        const auto inWindow = std::count_if(
            starts.begin(), starts.end(), [&](double start) { return start >= begin && start < begin + window; });
        EXPECT_LE(static_cast<double>(inWindow), rate * window * 1.1 + 3) << begin;
    }
}

// Guards against refused orders that use up the limit, and against tokens above the burst when they are returned.
TEST(LoadRateLimiter, ReturnsTheTokenOfARefusedOrder)
{
    LoadRateLimiter limiter(2, at(0));
    ASSERT_EQ(limiter.available(at(10)), 2);
    for (int i = 0; i < 5; ++i) {
        limiter.order(at(10));
        EXPECT_LT(limiter.available(at(10)), 2);
        limiter.cancel(at(10));
        EXPECT_EQ(limiter.available(at(10)), 2);
    }
    limiter.order(at(10));
    limiter.cancel(at(20));
    EXPECT_EQ(limiter.available(at(20)), 2);
}

// Guards against targets out of reach, whose orders are never answered, that stop all loads.
TEST(LoadRateLimiter, GoesOnWhileManyOrdersAreUnanswered)
{
    LoadRateLimiter limiter(2, at(0));
    for (int i = 0; i < 10; ++i) {
        ASSERT_GE(limiter.available(at(10 + i)), 1) << i;
        limiter.order(at(10 + i));
    }
}

// Guards against a rate that stays at that of the configuration with which the term began, and against tokens that a
// change of the configuration creates.
TEST(LoadRateLimiter, FollowsAChangeOfTheRate)
{
    LoadRateLimiter limiter(10, at(0));
    limiter.setRate(0.5, at(0.05));
    EXPECT_EQ(limiter.available(at(0.9)), 0);
    EXPECT_EQ(limiter.available(at(1.1)), 1);
}

// Guards against more loads in a window than the weight store allows, when placement changes hands within the window.
TEST(LoadRateLimiter, StaysBelowTheCeilingWhenTheOwnerChanges)
{
    constexpr double rate = 2;
    constexpr double window = 5;
    for (double change = 10; change < 15; change += 0.25) {
        std::vector<double> starts;
        std::optional<LoadRateLimiter> limiter;
        limiter.emplace(rate, at(0));
        for (double now = 10; now < 15; now += 0.01) {
            if (now >= change && now < change + 0.01)
                limiter.emplace(rate, at(now));
            while (limiter->available(at(now)) > 0) {
                limiter->order(at(now));
                limiter->confirm(at(now));
                starts.push_back(now);
            }
        }
        EXPECT_LE(static_cast<double>(starts.size()), rate * window * 1.1 + 3) << change;
    }
}

// Guards against noticing a rise of demand too late, and against unloading copies during a short pause.
TEST(DemandMeter, SeesARiseFastAndForgetsSlowly)
{
    DemandMeter meter;
    GenerationNeed need;
    need.model = ModelId("m");
    need.promptTokens = TokenCount(9200);
    need.maxOutputTokens = TokenCount(80);
    constexpr int slots = 64;
    const double work = engineSeconds(need, slots) * 10;
    double now = 0;
    for (; now < 1.2; now += 0.1)
        meter.record(need, slots, at(now));
    ASSERT_EQ(meter.read(at(now)).size(), 1u);
    EXPECT_GT(meter.read(at(now))[0].work, 0.5 * work);
    for (; now < 20; now += 0.1)
        meter.record(need, slots, at(now));
    EXPECT_NEAR(meter.read(at(now))[0].work, work, 0.2 * work);
    EXPECT_GT(meter.read(at(now + 2))[0].work, 0.4 * work);
    EXPECT_TRUE(meter.read(at(now + 120)).empty());
}

} // namespace
} // namespace lychee::fleet
