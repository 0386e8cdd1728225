#include "fleet/ServiceRetryBudget.h"

#include <gtest/gtest.h>

#include <algorithm>
#include <deque>
#include <random>

namespace lychee::fleet {
namespace {

TimePoint at(double seconds) { return TimePoint(Duration(static_cast<Duration::rep>(seconds * 1e9))); }

// Number of requests in the window that ends at `end`, or in the one that ended half a window or a whole window
// earlier, whichever is largest. The users' rule for retries counts requests this way, because a failure comes after
// its request.
double requestsFor(const std::deque<double>& requests, double end, double window)
{
    double most = 0;
    for (const double offset : {0.0, window / 2, window}) {
        const auto count = std::count_if(requests.begin(), requests.end(),
            [&](double time) { return time > end - offset - window && time <= end - offset; });
        most = std::max(most, static_cast<double>(count));
    }
    return most;
}

// Guards against a retry storm: in every window the retries of all instances together stay within the shared limit.
TEST(ServiceRetryBudget, AllInstancesTogetherKeepTheAllowanceInEveryWindow)
{
    constexpr double slack = 52;
    constexpr double part = 0.2;
    constexpr double window = 10;
    constexpr std::size_t instances = 6;
    const ServiceId service("s");
    for (std::uint32_t seed = 0; seed < 20; ++seed) {
        std::mt19937 random(seed);
        std::vector<ServiceRetryBudget> budgets(instances);
        for (ServiceRetryBudget& budget : budgets)
            budget.setOptions({part, slack / instances, std::chrono::seconds(10)});
        std::deque<double> requests;
        std::deque<double> retries;
        for (double now = 0; now < 40; now += 0.01) {
            ServiceRetryBudget& budget = budgets[random() % instances];
            // Load comes in waves, and every available retry is used.
            if (random() % (static_cast<int>(now / 8) % 2 == 0 ? 2 : 20) == 0) {
                budget.request(service, at(now));
                requests.push_back(now);
            }
            while (budget.isAvailable(service, at(now))) {
                budget.take(service, at(now));
                retries.push_back(now);
            }
            while (!requests.empty() && requests.front() <= now - 2 * window)
                requests.pop_front();
            while (!retries.empty() && retries.front() <= now - window)
                retries.pop_front();
            ASSERT_LE(static_cast<double>(retries.size()), part * requestsFor(requests, now, window) + slack + 1e-6)
                << "seed " << seed << " at " << now;
        }
    }
}

// Guards against a budget that is too small to retry all streams of a target that crashes although few retries were
// made before: the retries allowed by the requests of the last seconds can all be used at once.
TEST(ServiceRetryBudget, AllowsABurstAfterAQuietTime)
{
    ServiceRetryBudget budget;
    budget.setOptions({0.2, 5, std::chrono::seconds(10)});
    const ServiceId service("s");
    for (double now = 0; now < 9; now += 0.1)
        budget.request(service, at(now));
    int retries = 0;
    for (; budget.isAvailable(service, at(9)); ++retries)
        budget.take(service, at(9));
    EXPECT_GE(retries, 20);
    EXPECT_FALSE(budget.isAvailable(service, at(15)));
    EXPECT_TRUE(budget.isAvailable(ServiceId("other"), at(15)));
    EXPECT_TRUE(budget.isAvailable(service, at(40)));
}

} // namespace
} // namespace lychee::fleet
