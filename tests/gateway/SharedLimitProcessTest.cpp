// Real processes that share the limit of a customer.
#include "tests/support/GatewayDeployment.h"

#include <gtest/gtest.h>

#include <thread>

namespace lychee::test {
namespace {

using namespace std::chrono_literals;

// Guards against use that is not reported to the other instances: two instances would then admit twice the limit, or
// half of it where all requests come to one of them.
TEST(SharedLimitProcessTest, TwoInstancesShareOneLimit)
{
    GatewayDeployment deployment(LYCHEE_BUILD_DIR);
    deployment.writeConfiguration(2, {"/stream/", "/safe/", "/unsafe/"},
        {{{"name", "north"}, {"apiKeys", {"key-1"}}, {"ratePerS", 20}, {"burst", 20}}});
    int sent = 0;
    const auto ask = [&](std::size_t instance) {
        HttpRequest request = GatewayDeployment::request("/safe/x", fmt::format("a{}", ++sent), "m0");
        request.headers.add("X-Credential", "key-1");
        const auto answer = TestHttpClient(deployment.instance(instance).callers, 2000ms).send(request);
        return answer.ok() ? answer->status : 0;
    };
    const auto admittedWithin = [&](std::chrono::milliseconds time, std::size_t instances) {
        int admitted = 0;
        const auto end = std::chrono::steady_clock::now() + time;
        while (std::chrono::steady_clock::now() < end) {
            for (std::size_t instance = 0; instance < instances; ++instance)
                admitted += ask(instance) == 200 ? 1 : 0;
            std::this_thread::sleep_for(10ms);
        }
        return admitted;
    };
    // Without a key the answer is 401 as soon as the configuration is in force; then the buckets fill.
    for (std::size_t instance = 0; instance < 2; ++instance)
        ASSERT_TRUE(eventually([&] { return deployment.send(instance, "/safe/x", "probe").status == 401; }));
    std::this_thread::sleep_for(3s);
    const int both = admittedWithin(4s, 2);
    EXPECT_GE(both, 60);
    EXPECT_LE(both, 120);
    const int one = admittedWithin(4s, 1);
    EXPECT_GE(one, 60);
    EXPECT_LE(one, 110);
}

} // namespace
} // namespace lychee::test
