#include "fleet/RequestGrants.h"

#include "tests/unit/SeededRandom.h"

#include <fmt/format.h>

#include <gtest/gtest.h>

#include <deque>
#include <vector>

namespace lychee::fleet {
namespace {

using namespace std::chrono_literals;

const TargetId target("t");
const TargetIncarnation incarnation(1);

// Guards against more requests than a limited target takes, in any window, while the granting instance is replaced
// several times, and against requests that are refused although the target takes them.
TEST(RequestGrants, ManyInstancesKeepALimitWhileTheGrantingOneIsReplaced)
{
    constexpr std::size_t instanceCount = 133;
    constexpr double windowSeconds = 4;
    for (const double perSecond : {0.1, 1.0, 2.0, 30.0}) {
        SeededRandom random(20261206);
        std::vector<InstanceId> live;
        for (std::size_t i = 0; i < instanceCount; ++i)
            live.emplace_back(fmt::format("i{}", i));
        std::map<InstanceId, RequestGrants> grants;
        std::deque<TimePoint> window;
        std::size_t granted = 0;
        std::size_t most = 0;
        TimePoint now(1s);
        // 50 requests a second on average.
        for (int request = 0; request < 3000; ++request) {
            now += std::chrono::milliseconds(random.between(0, 40));
            if (request % 500 == 499)
                std::erase(live, InstanceId(granterOf(target, live)));
            if (grants[granterOf(target, live)].take(target, incarnation, perSecond, now))
                continue;
            ++granted;
            window.push_back(now);
            while (now - window.front() > std::chrono::duration<double>(windowSeconds))
                window.pop_front();
            most = std::max(most, window.size());
        }
        EXPECT_LE(static_cast<double>(most), 1.5 * perSecond * windowSeconds + 5) << perSecond;
        EXPECT_GE(
            static_cast<double>(granted), 0.9 * perSecond * std::chrono::duration<double>(now - TimePoint(1s)).count())
            << perSecond;
    }
}

// Guards against a target that is never asked again, and so cannot state that its limit has ended.
TEST(RequestGrants, ATargetThatTakesNothingIsStillAskedNowAndThen)
{
    RequestGrants grants;
    EXPECT_EQ(grants.take(target, incarnation, 0, TimePoint(0s)), std::nullopt);
    const std::optional<Duration> wait = grants.take(target, incarnation, 0, TimePoint(0s));
    ASSERT_TRUE(wait);
    EXPECT_LE(*wait, 4s);
    EXPECT_EQ(grants.take(target, incarnation, 0, TimePoint(0s) + *wait), std::nullopt);
}

// Guards against a target that was restarted and has to wait for the limit of its former process.
TEST(RequestGrants, ARestartedTargetHasALimitOfItsOwn)
{
    RequestGrants grants;
    EXPECT_EQ(grants.take(target, incarnation, 1, TimePoint(0s)), std::nullopt);
    EXPECT_TRUE(grants.take(target, incarnation, 1, TimePoint(0s)));
    EXPECT_EQ(grants.take(target, incarnation.next(), 1, TimePoint(0s)), std::nullopt);
}

} // namespace
} // namespace lychee::fleet
