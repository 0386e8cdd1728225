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

// Guards against a process that uses the fixed number again which its predecessor has just used, and against instances
// that use at once the part of an instance that is gone: together they would exceed the allowance of the window.
TEST(ServiceRetryBudget, RestartsAndDeparturesKeepTheAllowanceInEveryWindow)
{
    constexpr double slack = 52;
    constexpr double part = 0.2;
    constexpr double window = 10;
    constexpr std::size_t instances = 6;
    const ServiceId service("s");
    for (std::uint32_t seed = 0; seed < 20; ++seed) {
        std::mt19937 random(seed);
        std::vector<ServiceRetryBudget> budgets(instances);
        std::vector<bool> running(instances, true);
        const auto share = [&] {
            const auto count = static_cast<double>(std::count(running.begin(), running.end(), true));
            return ServiceRetryBudgetOptions{part, slack / count, std::chrono::seconds(10)};
        };
        for (ServiceRetryBudget& budget : budgets)
            budget.setOptions(share());
        std::deque<double> requests;
        std::deque<double> retries;
        int steps = 0;
        for (double now = 0; now < 60; now += 0.01) {
            const std::size_t instance = random() % instances;
            // Every 2 s an instance ends or, when it has ended, starts again.
            if (++steps % 200 == 0) {
                running[instance] = !running[instance] || std::count(running.begin(), running.end(), true) == 1;
                if (running[instance]) {
                    budgets[instance] = ServiceRetryBudget();
                    budgets[instance].setOptions({part, 0, std::chrono::seconds(10)});
                }
                for (std::size_t i = 0; i < instances; ++i)
                    budgets[i].updateOptions(share(), at(now));
            }
            if (!running[instance])
                continue;
            ServiceRetryBudget& budget = budgets[instance];
            if (random() % 2 == 0) {
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

// Guards against a process that never gets its share, because each change of the number of instances starts its wait
// anew.
TEST(ServiceRetryBudget, AShareIsUsableOneWindowAfterItWasSet)
{
    const ServiceId service("s");
    ServiceRetryBudget budget;
    budget.setOptions({0.2, 0, std::chrono::seconds(10)});
    budget.updateOptions({0.2, 8, std::chrono::seconds(10)}, at(0));
    for (double now = 1; now < 10; now += 1)
        budget.updateOptions({0.2, now < 5 ? 7.0 : 9.0, std::chrono::seconds(10)}, at(now));
    EXPECT_FALSE(budget.isAvailable(service, at(9.9)));
    EXPECT_TRUE(budget.isAvailable(service, at(10.1), 6));
    EXPECT_FALSE(budget.isAvailable(service, at(10.1), 7));
    EXPECT_TRUE(budget.isAvailable(service, at(15.1), 8));
}

} // namespace
} // namespace lychee::fleet
