#include "state/RetryBudget.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <random>

namespace lychee {
namespace {

TimePoint at(double seconds) { return TimePoint(Duration(static_cast<Duration::rep>(seconds * 1e9))); }

// Guards against retry storms: for any sequence of requests and retries, the retries stay within a tenth of the
// requests plus the minimum rate and its initial balance.
RC_GTEST_PROP(Retries, StayWithinTheBudget, (std::uint64_t seed))
{
    std::mt19937_64 random(seed);
    RetryBudget budget;
    const TeamId team("t");
    double now = 0;
    double requests = 0;
    double retries = 0;
    for (int i = 0; i < 3000; ++i) {
        now += static_cast<double>(random() % 100) / 1000;
        if (random() % 3 == 0) {
            budget.request(team, at(now));
            ++requests;
        } else if (budget.takeRetry(team, at(now))) {
            ++retries;
        }
        RC_ASSERT(retries <= 0.1 * requests + 0.2 * now + 2 + 1e-6);
    }
}

// Guards against a budget from which teams with few or with many requests never get a retry.
TEST(Retries, AreAllowedWithinTheBudget)
{
    RetryBudget budget;
    const TeamId team("t");
    EXPECT_TRUE(budget.takeRetry(team, at(0)));
    EXPECT_TRUE(budget.takeRetry(team, at(0)));
    EXPECT_FALSE(budget.takeRetry(team, at(0)));
    EXPECT_TRUE(budget.takeRetry(TeamId("other"), at(0)));
    for (int i = 0; i < 20; ++i)
        budget.request(team, at(0));
    EXPECT_TRUE(budget.takeRetry(team, at(0)));
    EXPECT_TRUE(budget.takeRetry(team, at(0)));
    EXPECT_FALSE(budget.takeRetry(team, at(0)));
    EXPECT_TRUE(budget.takeRetry(team, at(5.1)));
}

} // namespace
} // namespace lychee
