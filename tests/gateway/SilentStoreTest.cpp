// Connections to the store that go silent without an end, while new ones work.
#include "tests/support/GatewayDeployment.h"
#include "tests/support/TestHttpClient.h"

#include <gtest/gtest.h>

#include <thread>

namespace lychee::test {
namespace {

using namespace std::chrono_literals;

// How long after the silence, and after a change, the instances may still use the old configuration.
constexpr auto recoveryLimit = 3s;
constexpr auto changeLimit = 2s;

class SilentStoreTest : public testing::Test {
protected:
    static constexpr std::size_t instanceCount = 3;

    // Waits until one instance holds the lease and the others receive its changes.
    void SetUp() override
    {
        ASSERT_TRUE(eventually([&] { return lastLogged("holder=").size() == instanceCount; }));
        std::this_thread::sleep_for(2s);
    }

    void silenceStoreConnections()
    {
        for (std::size_t i = 0; i < instanceCount; ++i)
            deployment_.instance(i).storeProxy->silenceOpenConnections();
        silencedAt_ = std::chrono::steady_clock::now();
    }

    void addRoute()
    {
        deployment_.writeConfiguration(2, {"/stream/", "/safe/", "/unsafe/", "/added/"});
        changedAt_ = std::chrono::steady_clock::now();
    }

    // Expects that the instances know the new route when they have to.
    void expectRoute(const std::vector<std::size_t>& instances)
    {
        std::this_thread::sleep_until(std::max(silencedAt_ + recoveryLimit, changedAt_ + changeLimit));
        for (const std::size_t i : instances) {
            EXPECT_EQ(deployment_.send(i, "/added/x", fmt::format("added-{}", i)).status, 200)
                << i << deployment_.instance(i).process->logText();
        }
    }

    // The text after the last `key` in the log of each instance that has one, by instance.
    std::map<std::size_t, std::string> lastLogged(std::string_view key)
    {
        std::map<std::size_t, std::string> values;
        for (std::size_t i = 0; i < instanceCount; ++i) {
            const std::string log = deployment_.instance(i).process->logText();
            const std::size_t found = log.rfind(key);
            if (found != std::string::npos)
                values[i] = log.substr(found + key.size(), log.find_first_of(" \n", found) - found - key.size());
        }
        return values;
    }

    // The instance that holds the lease, by its own log.
    std::size_t leaseHolder()
    {
        for (const auto& [instance, holder] : lastLogged("holder=")) {
            const auto own = lastLogged("instance=");
            if (own.contains(instance) && own.at(instance) == holder)
                return instance;
        }
        return instanceCount;
    }

    GatewayDeployment deployment_{LYCHEE_BUILD_DIR, {.instances = instanceCount, .proxies = true}};
    std::chrono::steady_clock::time_point silencedAt_;
    std::chrono::steady_clock::time_point changedAt_;
};

class SilentStoreMomentTest : public SilentStoreTest, public testing::WithParamInterface<std::chrono::milliseconds> { };

// Guards against instances that keep an old configuration because the notice of the new one was on a silent connection.
TEST_P(SilentStoreMomentTest, AChangeBesideTheSilenceComesIntoForce)
{
    if (GetParam() < 0ms) {
        addRoute();
        std::this_thread::sleep_for(-GetParam());
        silenceStoreConnections();
    } else {
        silenceStoreConnections();
        std::this_thread::sleep_for(GetParam());
        addRoute();
    }
    expectRoute({0, 1, 2});
}

INSTANTIATE_TEST_SUITE_P(
    Moments, SilentStoreMomentTest, testing::Values(-2ms, 100ms, 1000ms, 2500ms), [](const auto& info) {
        return fmt::format("{}Ms{}", std::abs(info.param.count()), info.param < 0ms ? "Before" : "After");
    });

// Guards against instances that keep an old configuration because the one that begins to forward changes, or the one
// that they counted on, waits for the answer to a read on a silent connection.
TEST_F(SilentStoreTest, AChangeAfterAChangeOfTheForwarderComesIntoForce)
{
    const std::size_t holder = leaseHolder();
    ASSERT_LT(holder, instanceCount);
    silenceStoreConnections();
    std::this_thread::sleep_for(4s);
    deployment_.instance(holder).process->terminate();
    ASSERT_TRUE(eventually([&] { return !deployment_.instance(holder).process->isRunning(); }));
    std::this_thread::sleep_for(3s);
    addRoute();
    std::vector<std::size_t> others;
    for (std::size_t i = 0; i < instanceCount; ++i) {
        if (i != holder)
            others.push_back(i);
    }
    expectRoute(others);
}

// Guards against the same while the one that forwards changes is frozen.
TEST_F(SilentStoreTest, AChangeWhileTheForwarderIsFrozenComesIntoForce)
{
    const std::size_t holder = leaseHolder();
    ASSERT_LT(holder, instanceCount);
    silenceStoreConnections();
    std::this_thread::sleep_for(4s);
    deployment_.instance(holder).process->freeze();
    addRoute();
    std::vector<std::size_t> others;
    for (std::size_t i = 0; i < instanceCount; ++i) {
        if (i != holder)
            others.push_back(i);
    }
    expectRoute(others);
    deployment_.instance(holder).process->resume();
}

} // namespace
} // namespace lychee::test
