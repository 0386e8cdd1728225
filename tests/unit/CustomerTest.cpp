#include "fleet/CallerAuthorization.h"

#include <gtest/gtest.h>

namespace lychee::fleet {
namespace {

std::shared_ptr<const RouteTable> tableWith(std::vector<Customer> customers)
{
    std::vector<Route> routes(2);
    routes[0].id = RouteId("closed");
    routes[0].host = "a";
    routes[0].prefix = "/closed/";
    routes[1].id = RouteId("open");
    routes[1].host = "a";
    routes[1].prefix = "/open/";
    routes[1].acceptsAnonymous = true;
    return RouteTable::create(
        ConfigurationVersion(1), std::move(routes), {}, {}, CustomerDirectory(std::move(customers)));
}

AuthorizationOutcome outcomeOf(
    const RouteTable& table, std::string_view path, const CallerCredential& credential, bool isConfirmed = true)
{
    return authorize(table, *table.match("a", path), credential, isConfirmed).outcome;
}

const std::vector<Customer> twoCustomers{{CustomerId("north"), {"key-1", "key-2"}}, {CustomerId("south"), {"key-3"}}};

// Guards against a request that is taken for another customer's, or runs without a key.
TEST(CallerAuthorization, KeysNameTheirHolder)
{
    const auto table = tableWith(twoCustomers);
    const Route& route = *table->match("a", "/closed/");
    EXPECT_EQ(authorize(*table, route, {1, "key-2"}, true).customer->id, CustomerId("north"));
    EXPECT_EQ(authorize(*table, route, {1, "key-3"}, true).customer->id, CustomerId("south"));
    for (const CallerCredential& refused : std::initializer_list<CallerCredential>{{0, ""}, {1, ""}, {1, "key-4"},
             {1, "key-1 "}, {2, "key-1"}, {1, std::string(CustomerDirectory::maxKeyBytes + 1, 'k')}})
        EXPECT_EQ(outcomeOf(*table, "/closed/", refused), AuthorizationOutcome::Rejected) << refused.key;
    EXPECT_EQ(outcomeOf(*table, "/open/", {1, "key-4"}), AuthorizationOutcome::Anonymous);
}

// Guards against deployments without customers that refuse requests.
TEST(CallerAuthorization, WithoutCustomersNoKeyIsNeeded)
{
    EXPECT_EQ(outcomeOf(*tableWith({}), "/closed/", {}, false), AuthorizationOutcome::Anonymous);
}

// Guards against a key that is refused for good although a newer configuration may hold it, and against one that is
// accepted although a newer configuration may have taken it away.
TEST(CallerAuthorization, UnconfirmedConfigurationAcceptsAndRejectsNoKey)
{
    const auto table = tableWith(twoCustomers);
    EXPECT_EQ(outcomeOf(*table, "/closed/", {1, "key-1"}, false), AuthorizationOutcome::Unconfirmed);
    EXPECT_EQ(outcomeOf(*table, "/closed/", {1, "key-4"}, false), AuthorizationOutcome::Unconfirmed);
    EXPECT_EQ(outcomeOf(*table, "/open/", {}, false), AuthorizationOutcome::Anonymous);
}

// Guards against keys that stay in memory where a log line or a report could show them.
TEST(CustomerDirectory, KeepsNoKeys)
{
    const CustomerDirectory directory(twoCustomers);
    for (const Customer& customer : directory.customers())
        EXPECT_TRUE(customer.keys.empty());
}

// Guards against a limit that counts other tokens than the request declares.
TEST(CustomerLimit, CountsDeclaredTokens)
{
    CustomerLimit limit{1000, 1000, LimitUnit::Tokens, 200};
    EXPECT_EQ(costOf(limit, TokenCount(1540)), 1540);
    EXPECT_EQ(costOf(limit, std::nullopt), 200);
    limit.unit = LimitUnit::Requests;
    EXPECT_EQ(costOf(limit, TokenCount(1540)), 1);
}

} // namespace
} // namespace lychee::fleet
