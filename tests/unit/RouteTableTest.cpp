#include "fleet/RouteTable.h"

#include <gtest/gtest.h>

namespace lychee::fleet {
namespace {

Route route(std::string id, std::string host, std::string prefix)
{
    Route result;
    result.id = RouteId(std::move(id));
    result.host = std::move(host);
    result.prefix = std::move(prefix);
    return result;
}

std::string matched(const RouteTable& table, std::string_view host, std::string_view path)
{
    const Route* found = table.match(host, path);
    return found ? found->id.value() : "none";
}

// Guards against a request that is matched to the wrong route and so goes to the wrong service.
TEST(RouteTable, TakesTheLongestPrefixOfTheHost)
{
    const auto table = RouteTable::create(ConfigurationVersion(1),
        {route("root", "a.example", "/"), route("shop", "a.example", "/shop/"), route("deep", "a.example", "/shop/x/"),
            route("other", "b.example", "/shop/")},
        {}, {});
    EXPECT_EQ(matched(*table, "a.example", "/shop/x/1"), "deep");
    EXPECT_EQ(matched(*table, "a.example", "/shop/xy"), "shop");
    EXPECT_EQ(matched(*table, "a.example", "/shop"), "root");
    EXPECT_EQ(matched(*table, "A.Example:8080", "/shop/x/"), "deep");
    EXPECT_EQ(matched(*table, "b.example", "/"), "none");
    EXPECT_EQ(matched(*table, "c.example", "/shop/"), "none");
    EXPECT_EQ(matched(*table, "", ""), "none");
}

// Guards against a distribution that differs from the weights, or that leaves requests without a service.
TEST(RouteTable, SplitsRequestsByWeight)
{
    Route split = route("split", "a", "/");
    split.services = {{ServiceId("one"), 90}, {ServiceId("two"), 10}};
    int second = 0;
    constexpr int draws = 1000;
    for (int i = 0; i < draws; ++i) {
        const ServiceId* picked = pickService(split, static_cast<double>(i) / draws);
        ASSERT_NE(picked, nullptr);
        second += picked->value() == "two" ? 1 : 0;
    }
    EXPECT_EQ(second, draws / 10);
    EXPECT_EQ(pickService(route("none", "a", "/"), 0.5), nullptr);
}

} // namespace
} // namespace lychee::fleet
