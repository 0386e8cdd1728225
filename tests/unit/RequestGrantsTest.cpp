#include "fleet/RequestGrants.h"

#include "tests/unit/SeededRandom.h"

#include <fmt/format.h>

#include <gtest/gtest.h>

#include <set>
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
    constexpr std::chrono::duration<double> window(4);
    for (const double perSecond : {0.1, 1.0, 2.0, 30.0}) {
        SeededRandom random(20261206);
        std::vector<InstanceId> live;
        for (std::size_t i = 0; i < instanceCount; ++i)
            live.emplace_back(fmt::format("i{}", i));
        std::map<InstanceId, RequestGrants> grants;
        std::multiset<TimePoint> sentAt;
        std::size_t granted = 0;
        TimePoint now(1s);
        // 50 requests a second on average.
        for (int request = 0; request < 3000; ++request) {
            now += std::chrono::milliseconds(random.between(0, 40));
            if (request % 500 == 499)
                std::erase(live, InstanceId(granterOf(target, live)));
            const Duration maxWait = std::chrono::milliseconds(random.between(0, 400));
            const RequestGrant grant
                = grants[granterOf(target, live)].take(target, incarnation, perSecond, maxWait, now);
            EXPECT_LE(grant.isGranted ? grant.wait : Duration(0), maxWait);
            if (!grant.isGranted)
                continue;
            ++granted;
            sentAt.insert(now + grant.wait);
        }
        std::ptrdiff_t most = 0;
        for (auto first = sentAt.begin(); first != sentAt.end(); ++first) {
            const auto end = sentAt.upper_bound(*first + std::chrono::duration_cast<Duration>(window));
            most = std::max(most, std::distance(first, end));
        }
        EXPECT_LE(static_cast<double>(most), 1.5 * perSecond * window.count() + 5) << perSecond;
        EXPECT_GE(
            static_cast<double>(granted), 0.9 * perSecond * std::chrono::duration<double>(now - TimePoint(1s)).count())
            << perSecond;
    }
}

// Guards against a target that is never asked again, and so cannot state that its limit has ended.
TEST(RequestGrants, ATargetThatTakesNothingIsStillAskedNowAndThen)
{
    RequestGrants grants;
    EXPECT_TRUE(grants.take(target, incarnation, 0, 0ms, TimePoint(0s)).isGranted);
    const RequestGrant refused = grants.take(target, incarnation, 0, 0ms, TimePoint(0s));
    EXPECT_FALSE(refused.isGranted);
    EXPECT_LE(refused.wait, 4s);
    EXPECT_TRUE(grants.take(target, incarnation, 0, 0ms, TimePoint(0s) + refused.wait).isGranted);
}

// Guards against a target that was restarted and has to wait for the limit of its former process.
TEST(RequestGrants, ARestartedTargetHasALimitOfItsOwn)
{
    RequestGrants grants;
    EXPECT_TRUE(grants.take(target, incarnation, 1, 0ms, TimePoint(0s)).isGranted);
    EXPECT_FALSE(grants.take(target, incarnation, 1, 0ms, TimePoint(0s)).isGranted);
    EXPECT_TRUE(grants.take(target, incarnation.next(), 1, 0ms, TimePoint(0s)).isGranted);
}

// Guards against requests that are refused although the target takes the next one before their objective, and against
// two that wait for the same one.
TEST(RequestGrants, RequestsWaitForDifferentTimes)
{
    RequestGrants grants;
    EXPECT_EQ(grants.take(target, incarnation, 4, 400ms, TimePoint(0s)), (RequestGrant{true, 0ms}));
    EXPECT_EQ(grants.take(target, incarnation, 4, 400ms, TimePoint(0s)), (RequestGrant{true, 250ms}));
    EXPECT_EQ(grants.take(target, incarnation, 4, 400ms, TimePoint(0s)), (RequestGrant{false, 100ms}));
    EXPECT_EQ(grants.take(target, incarnation, 4, 400ms, TimePoint(100ms)), (RequestGrant{true, 400ms}));
}

} // namespace
} // namespace lychee::fleet
