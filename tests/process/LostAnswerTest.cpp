#include "tests/support/Deployment.h"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

namespace lychee::test {
namespace {

using namespace std::chrono_literals;

constexpr int callers = 12;

// Guards against one lost answer of the platform that makes the instance refuse later calls: the claims of the write
// whose answer was lost are resolved by reading them, and the others need at most one more write.
TEST(NotRun, OneLostAnswerRefusesNoOtherCall)
{
    DeploymentOptions options;
    options.dataCentres = 1;
    options.instancesPerDataCentre = 1;
    options.enginesPerDataCentre = 1;
    options.models = 1;
    options.adapters = 0;
    // At the default rate, loads would take most of the test's time.
    options.platformFlags = {"--weight-bytes-per-second=100000000000"};
    Deployment deployment(LYCHEE_BUILD_DIR, options);
    deployment.configure();

    deployment.platform().postFault({{"path", "/tables/transact"}, {"kind", "drop_answer"}, {"count", 1}});
    std::atomic<int> answered{0};
    std::vector<std::thread> threads;
    threads.reserve(callers);
    for (int i = 0; i < callers; ++i) {
        threads.emplace_back([&, i] {
            TestHttpClient client(deployment.instance(0).callers, 10000ms);
            for (int call = 0; call < 4; ++call) {
                const auto answer = client.send(Deployment::order(fmt::format("key-{}-{}", i, call), "{}"));
                answered += answer.ok() && answer->status == 200;
            }
        });
    }
    for (std::thread& thread : threads)
        thread.join();
    EXPECT_EQ(answered, callers * 4);
    for (int i = 0; i < callers; ++i)
        EXPECT_EQ(deployment.executions(fmt::format("key-{}-0", i)), 1u);
}

} // namespace
} // namespace lychee::test
