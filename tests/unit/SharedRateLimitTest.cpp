#include "SharedLimitSimulation.h"

#include <gtest/gtest.h>

namespace lychee::fleet {
namespace {

using namespace std::chrono_literals;

const CustomerId& customer = SharedLimitSimulation::customer;
const SharedRateLimitOptions options{8s, 0.1, 110'000};

CustomerLimit tokens(double perSecond, double burst) { return {perSecond, burst, LimitUnit::Tokens, 0}; }

TimePoint at(Duration time) { return TimePoint(time); }

SharedRateLimit limiterOf(const CustomerLimit& limit, const SharedRateLimitOptions& limiterOptions = options)
{
    Customer entry;
    entry.id = customer;
    entry.limit = limit;
    SharedRateLimit limiter;
    limiter.setOptions(limiterOptions);
    limiter.setCustomers(CustomerDirectory({entry}), at(0s));
    return limiter;
}

// Limits of a small, a medium and a large customer of a deployment of 85 instances.
const std::vector<CustomerLimit> usualLimits{tokens(29'000, 29'000), tokens(100'000, 50'000), tokens(300'000, 600'000)};

// Guards against a limit that holds for each instance instead of for all, and against one that cannot be used where
// the demand is.
TEST(SharedLimitLoad, HundredInstancesShareOneLimitWhileTheDemandMoves)
{
    for (const CustomerLimit& limit : usualLimits) {
        SharedLimitSimulation simulation(1, 100, limit, options);
        for (std::size_t group = 0; group < 10; ++group) {
            simulation.runFor(3, [&](std::size_t i) {
                return i / 10 == group ? 1.8 * limit.perSecond / 10 : 0.2 * limit.perSecond / 90;
            });
        }
        EXPECT_LE(simulation.largestWindow(), simulation.bound()) << limit.perSecond;
        EXPECT_GE(simulation.usedSince(2), 0.9 * limit.perSecond * 30) << limit.perSecond;
    }
}

// Guards against all instances spending the same tokens before they hear of each other.
TEST(SharedLimitLoad, CustomerAtSixTimesItsUsual)
{
    for (const CustomerLimit& limit : usualLimits) {
        // News every second, and news that are half a second old when they arrive.
        for (const auto& [interval, delay] : {std::pair{1.0, 0.05}, std::pair{0.5, 0.5}}) {
            for (std::uint64_t seed = 1; seed <= 3; ++seed) {
                SharedLimitSimulation simulation(seed, 85, limit, options);
                simulation.reportInterval = interval;
                simulation.reportDelay = delay;
                simulation.runFor(8, [&](std::size_t) { return 0.55 * limit.perSecond / 85; });
                const double begin = simulation.seconds();
                simulation.runFor(15, [&](std::size_t) { return 3.4 * limit.perSecond / 85; });
                EXPECT_LE(simulation.largestWindow(), simulation.bound()) << limit.perSecond << " seed " << seed;
                EXPECT_GE(simulation.usedSince(begin), 0.9 * limit.perSecond * 15) << limit.perSecond;
            }
        }
    }
}

// Guards against two sides that each use the whole limit.
TEST(SharedLimitFailure, PartitionWithAQuarterOfTheInstances)
{
    for (const CustomerLimit& limit : usualLimits) {
        SharedLimitSimulation simulation(2, 84, limit, options);
        const auto demand = [&](std::size_t) { return 3.0 * limit.perSecond / 84; };
        simulation.runFor(8, [&](std::size_t) { return 0.55 * limit.perSecond / 84; });
        simulation.isConnected = [](std::size_t a, std::size_t b) { return (a < 21) == (b < 21); };
        simulation.runFor(15, demand);
        EXPECT_NEAR(simulation.limiter(0).state(customer, simulation.now())->share, 0.25, 0.001);
        simulation.isConnected = [](std::size_t, std::size_t) { return true; };
        simulation.runFor(15, demand);
        EXPECT_LE(simulation.largestWindow(), simulation.bound()) << limit.perSecond;
        EXPECT_EQ(simulation.limiter(0).state(customer, simulation.now())->share, 1);
    }
}

// Guards against instances without any contact that together use more than the limit.
TEST(SharedLimitFailure, EveryInstanceIsAlone)
{
    for (const CustomerLimit& limit : usualLimits) {
        SharedLimitSimulation simulation(3, 85, limit, options);
        simulation.runFor(8, [&](std::size_t) { return 0.55 * limit.perSecond / 85; });
        simulation.isConnected = [](std::size_t, std::size_t) { return false; };
        simulation.runFor(30, [&](std::size_t) { return 3.4 * limit.perSecond / 85; });
        EXPECT_LE(simulation.largestWindow(), simulation.bound()) << limit.perSecond;
    }
}

// Guards against new processes that start with full buckets, or count what their peers used before as usage.
TEST(SharedLimitFailure, HerdOfRestarts)
{
    for (const CustomerLimit& limit : usualLimits) {
        SharedLimitSimulation simulation(4, 85, limit, options);
        const auto demand = [&](std::size_t) { return 2.5 * limit.perSecond / 85; };
        for (int round = 0; round < 4; ++round) {
            simulation.runFor(3, demand);
            for (std::size_t i = 0; i < 85; ++i)
                simulation.kill(i);
            simulation.runFor(0.3, demand);
            for (std::size_t i = 0; i < 85; ++i)
                simulation.start(i);
        }
        simulation.runFor(10, demand);
        EXPECT_LE(simulation.largestWindow(), simulation.bound()) << limit.perSecond;
        EXPECT_GE(simulation.usedSince(simulation.seconds() - 8), 0.8 * limit.perSecond * 8) << limit.perSecond;
    }
}

// Guards against an instance whose use is forgotten with it, or whose part is used by nobody afterwards.
TEST(SharedLimitFailure, InstancesAreKilledRestartedAndAdded)
{
    for (const CustomerLimit& limit : usualLimits) {
        SharedLimitSimulation simulation(5, 85, limit, options);
        const auto demand = [&](std::size_t) { return 2.0 * limit.perSecond / 85; };
        simulation.runFor(4, demand);
        for (std::size_t i = 0; i < 40; ++i)
            simulation.kill(i);
        simulation.runFor(6, demand);
        for (std::size_t i = 0; i < 40; ++i) {
            simulation.start(i);
            simulation.add();
            simulation.runFor(0.1, demand);
        }
        simulation.runFor(10, demand);
        EXPECT_LE(simulation.largestWindow(), simulation.bound()) << limit.perSecond;
        EXPECT_GE(simulation.usedSince(simulation.seconds() - 8), 0.9 * limit.perSecond * 8) << limit.perSecond;
    }
}

// Guards against a full bucket of the former limit that is used up after the limit was lowered.
TEST(SharedLimitFailure, LoweredLimitHoldsAfterOneWindow)
{
    for (const CustomerLimit& limit : usualLimits) {
        SharedLimitSimulation simulation(6, 85, limit, options);
        const auto demand = [&](std::size_t) { return 1.5 * limit.perSecond / 85; };
        simulation.runFor(10, demand);
        const double loweredAt = simulation.seconds();
        simulation.setLimit(tokens(limit.perSecond / 4, limit.burst / 4));
        simulation.runFor(30, demand);
        EXPECT_LE(simulation.largestWindow(loweredAt), simulation.bound()) << limit.perSecond;
    }
}

// Guards against refusals below the limit that come from estimates of demand.
TEST(SharedLimitLoad, QuietDayWithBurstsOfOneKind)
{
    for (const CustomerLimit& limit : usualLimits) {
        SharedLimitSimulation simulation(7, 85, limit, options);
        std::uint64_t turn = 0;
        // Every tenth request is small, and prompts vary.
        simulation.cost = [&turn] { return ++turn % 10 == 0 ? 884.0 : 8000.0 + static_cast<double>(turn % 7) * 400; };
        simulation.runFor(10, [&](std::size_t) { return 0.45 * limit.perSecond / 85; });
        simulation.resetCounts();
        for (int round = 0; round < 6; ++round) {
            simulation.runFor(20, [&](std::size_t) { return 0.45 * limit.perSecond / 85; });
            // A kind with a tenth of the load comes at 4.6 times its usual rate.
            simulation.runFor(10, [&](std::size_t) { return (0.405 + 0.045 * 4.6) * limit.perSecond / 85; });
        }
        EXPECT_LT(simulation.refusedBelowLimit() * 1000, simulation.requests()) << limit.perSecond;
    }
}

// Guards against a bucket for each instance: one request takes thirty times the part of one instance in a second.
TEST(SharedLimitLoad, LumpyRequestsOfASmallCustomer)
{
    SharedLimitSimulation simulation(8, 85, tokens(29'000, 58'000), options);
    simulation.runFor(10, [](std::size_t) { return 0.6 * 29'000 / 85; });
    simulation.resetCounts();
    simulation.runFor(600, [](std::size_t) { return 0.6 * 29'000 / 85; });
    EXPECT_GT(simulation.requests(), 1000);
    EXPECT_LT(simulation.refusedBelowLimit() * 1000, simulation.requests());
}

// Guards against usage that is counted twice: extrapolated and reported, or reported twice.
TEST(SharedRateLimit, LostAndRepeatedReportsDoNoHarm)
{
    const InstanceId peer("peer");
    SharedRateLimit complete = limiterOf(tokens(100, 10'000), {});
    SharedRateLimit lossy = limiterOf(tokens(100, 10'000), {});
    for (SharedRateLimit* limiter : {&complete, &lossy}) {
        limiter->setInstances(2, 2, at(0s));
        limiter->recordPeer(peer, {{customer, 5'000, 0}}, at(0s));
    }
    for (int second = 1; second <= 20; ++second) {
        const std::vector<CustomerUse> report{{customer, 5'000 + second * 20.0, 20}};
        complete.recordPeer(peer, report, at(second * 1s));
        for (int copy = 0; copy < 2 && second % 2 == 0; ++copy)
            lossy.recordPeer(peer, report, at(second * 1s));
    }
    EXPECT_NEAR(complete.state(customer, at(20s))->level, 20 * 80, 1);
    EXPECT_NEAR(lossy.state(customer, at(20s))->level, 20 * 80, 1);
}

// Guards against a process that takes what its peers used before its start for use after it.
TEST(SharedRateLimit, FirstReportIsABaseline)
{
    SharedRateLimit limiter = limiterOf(tokens(100, 1'000), {});
    EXPECT_EQ(limiter.state(customer, at(0s))->level, 0);
    limiter.setInstances(2, 2, at(0s));
    limiter.recordPeer(InstanceId("peer"), {{customer, 1e9, 0}}, at(5s));
    EXPECT_NEAR(limiter.state(customer, at(5s))->level, 250, 1);
    limiter.recordPeer(InstanceId("peer"), {{customer, 1e9 + 200, 0}}, at(6s));
    EXPECT_NEAR(limiter.state(customer, at(6s))->level, 150, 1);
}

// Guards against requests that are refused for others that have not run.
TEST(SharedRateLimit, GivenBackCostCanBeUsedAgain)
{
    SharedRateLimit limiter = limiterOf(tokens(100, 1'000));
    const TimePoint full = at(20s);
    ASSERT_TRUE(limiter.admit(customer, 800, full).admitted);
    limiter.giveBack(customer, 800, full);
    EXPECT_NEAR(limiter.state(customer, full)->level, 1'000, 1);
    EXPECT_EQ(limiter.report(full).at(0).admitted, 0);
}

// Guards against a time to wait after which there is still no room.
TEST(SharedRateLimit, ThereIsRoomAfterTheTimeToWait)
{
    SharedRateLimit limiter = limiterOf(tokens(100, 1'000), {});
    const TimePoint now = at(20s);
    ASSERT_TRUE(limiter.admit(customer, 1'000, now).admitted);
    const LimitAdmission refused = limiter.admit(customer, 1'000, now);
    ASSERT_FALSE(refused.admitted);
    EXPECT_GE(refused.retryAfter, 9s);
    EXPECT_TRUE(limiter.admit(customer, 1'000, now + refused.retryAfter).admitted);
}

// Guards against a process that was frozen and uses the whole limit before it reads what its peers used meanwhile.
TEST(SharedRateLimit, ResumedProcessUsesItsOwnPart)
{
    SharedRateLimit limiter = limiterOf(tokens(100'000, 100'000));
    limiter.setInstances(10, 10, at(0s));
    for (int i = 1; i < 10; ++i)
        limiter.recordPeer(InstanceId(fmt::format("p{}", i)), {{customer, 1, 50'000}}, at(1s));
    ASSERT_EQ(limiter.state(customer, at(1s))->share, 1);
    limiter.admit(customer, 1, at(31s));
    EXPECT_NEAR(limiter.state(customer, at(31s))->share, 0.1, 1e-9);
    EXPECT_LE(limiter.state(customer, at(31s))->level, 10'000);
}

// Guards against an estimate that is broken by what a faulty peer reports.
TEST(SharedRateLimit, ImpossibleReportsAreIgnored)
{
    SharedRateLimit limiter = limiterOf(tokens(100, 1'000));
    limiter.setInstances(2, 2, at(0s));
    const double infinite = std::numeric_limits<double>::infinity();
    for (const CustomerUse& use : {CustomerUse{customer, std::nan(""), 1}, CustomerUse{customer, -5, 1},
             CustomerUse{customer, infinite, infinite}, CustomerUse{CustomerId("unknown"), 1, 1}})
        limiter.recordPeer(InstanceId("peer"), {use}, at(1s));
    EXPECT_TRUE(limiter.admit(customer, 100, at(20s)).admitted);
    EXPECT_TRUE(limiter.admit(CustomerId("unknown"), 1e12, at(20s)).admitted);
    EXPECT_FALSE(limiter.admit(customer, 1e15, at(20s)).admitted);
}

} // namespace
} // namespace lychee::fleet
