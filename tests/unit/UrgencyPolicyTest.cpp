#include "fleet/RouteTable.h"

#include <gtest/gtest.h>

namespace lychee::fleet {
namespace {

using namespace std::chrono_literals;

const ServiceId hall("hall");

Route routeWith(std::string_view name, int priority, Duration objective, const ServiceId& service = hall)
{
    Route route;
    route.id = RouteId(std::string(name));
    route.priority = priority;
    route.latencyObjective = objective;
    route.services = {{service, 1}};
    return route;
}

// Guards against short urgent requests that wait behind the prompts of requests that can wait.
TEST(UrgencyPolicy, FollowsPrioritiesWhereObjectivesDo)
{
    const std::vector<Route> routes{routeWith("draft", 0, 500ms), routeWith("tag", 1, 800ms), routeWith("pass", 2, 8s),
        routeWith("plain", 2, 300ms, ServiceId("desk"))};
    const UrgencyPolicy policy(routes, {});
    EXPECT_EQ(policy.urgencyOf(routes[0], hall, nullptr), Urgency(0));
    EXPECT_EQ(policy.urgencyOf(routes[1], hall, nullptr), Urgency(1));
    EXPECT_EQ(policy.urgencyOf(routes[2], hall, nullptr), Urgency(2));
    EXPECT_EQ(policy.urgencyOf(routes[3], ServiceId("desk"), nullptr), std::nullopt);
}

// Guards against requests that can wait for seconds and pass those that cannot because their priority says so.
TEST(UrgencyPolicy, StaysEqualWhereObjectivesContradictPriorities)
{
    const std::vector<Route> routes{routeWith("reply", 0, 2s), routeWith("check", 1, 1s)};
    const UrgencyPolicy policy(routes, {});
    EXPECT_FALSE(policy.isActive());
    EXPECT_EQ(policy.urgencyOf(routes[0], hall, nullptr), std::nullopt);
    EXPECT_EQ(policy.urgencyOf(routes[1], hall, nullptr), std::nullopt);
}

// Guards against the priority of a customer that does not go before the priority of the route.
TEST(UrgencyPolicy, PriorityOfTheCustomerGoesFirst)
{
    Customer first{CustomerId("first"), {}, 0};
    Customer second{CustomerId("second"), {}, 3};
    const Customer none{CustomerId("none")};
    const std::vector<Route> routes{routeWith("draft", 0, 500ms), routeWith("tag", 1, 800ms)};
    const UrgencyPolicy policy(routes, CustomerDirectory({first, second, none}));
    EXPECT_LT(policy.urgencyOf(routes[1], hall, &first), policy.urgencyOf(routes[0], hall, &second));
    EXPECT_LT(policy.urgencyOf(routes[0], hall, &second), policy.urgencyOf(routes[1], hall, &second));
    EXPECT_LT(policy.urgencyOf(routes[0], hall, &none), policy.urgencyOf(routes[1], hall, &none));
}

} // namespace
} // namespace lychee::fleet
