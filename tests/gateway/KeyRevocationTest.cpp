// Strict revocation of keys while the store, the peers or the instance itself fail.
#include "tests/support/GatewayDeployment.h"

#include <gtest/gtest.h>

#include <thread>

namespace lychee::test {
namespace {

using namespace std::chrono_literals;

constexpr auto limit = 3s;

class KeyRevocationTest : public testing::Test {
protected:
    void SetUp() override
    {
        writeKeys(2, {"kept", "removed"});
        for (const std::size_t instance : {0, 1}) {
            // The configuration before had no customers and asked for no key.
            std::map<int, int> statuses;
            const auto isRefused = [&] {
                const int status = statusOf(instance, "unknown");
                ++statuses[status];
                return status == 401;
            };
            ASSERT_TRUE(eventually(isRefused)) << "instance " << instance << " gave" << textOf(statuses) << logs();
            ASSERT_EQ(statusOf(instance, "removed"), 200);
        }
    }

    void writeKeys(int version, const std::vector<std::string>& keys)
    {
        deployment_.setCustomers({{{"name", "north"}, {"apiKeys", keys}}});
        deployment_.writeConfiguration(version, {"/safe/", "/open/"});
    }

    // The status of the answer to a request with this key.
    int statusOf(std::size_t instance, const std::string& key, const std::string& target = "/safe/x")
    {
        HttpRequest request = GatewayDeployment::request(target, fmt::format("{}-{}", key, ++attempts_));
        request.headers.set("X-Credential", key);
        const auto answer = TestHttpClient(deployment_.callersOf(instance), 10s).send(request);
        return answer.ok() ? answer->status : 0;
    }

    // How often each status was given.
    static std::string textOf(const std::map<int, int>& statuses)
    {
        std::string text;
        for (const auto& [status, count] : statuses)
            text += fmt::format(" {} ({} times)", status, count);
        return text;
    }

    std::string logs()
    {
        std::string text;
        for (std::size_t i = 0; i < deployment_.instanceCount(); ++i)
            text += fmt::format("\nlog of instance {}:\n{}", i, deployment_.instance(i).process->logText());
        return text;
    }

    bool hasLogged(std::size_t instance, std::string_view text)
    {
        return deployment_.instance(instance).process->logText().find(text) != std::string::npos;
    }

    GatewayDeployment deployment_{LYCHEE_BUILD_DIR, {.proxies = true, .revocationLimit = limit}};
    std::atomic<int> attempts_ = 0;
};

// Guards against keys that are accepted, or refused for good, while nobody knows whether they were removed, and against
// instances that do not recover.
TEST_F(KeyRevocationTest, KeysAreRefusedWhileNoInstanceReachesTheStore)
{
    deployment_.store().process().freeze();
    EXPECT_EQ(statusOf(0, "kept"), 200);
    std::this_thread::sleep_for(limit);
    for (const std::size_t instance : {0, 1}) {
        EXPECT_EQ(statusOf(instance, "kept"), 503);
        EXPECT_EQ(statusOf(instance, "unknown"), 503);
        EXPECT_EQ(statusOf(instance, "kept", "/open/x"), 200);
        EXPECT_TRUE(eventually([&] { return hasLogged(instance, "state=unconfirmed"); }));
    }
    deployment_.store().process().resume();
    for (const std::size_t instance : {0, 1})
        EXPECT_TRUE(eventually([&] { return statusOf(instance, "kept") == 200; }, 2s));
}

// Guards against requests that are refused although a peer reads the store, and against a removed key that is accepted
// by an instance that only peers inform.
TEST_F(KeyRevocationTest, AnInstanceWithoutTheStoreIsConfirmedByItsPeer)
{
    deployment_.instance(1).storeProxy->setFault(LinkFault::Silence);
    // The peer may have to become the one that reads first.
    std::this_thread::sleep_for(limit);
    ASSERT_TRUE(eventually([&] { return statusOf(1, "kept") == 200; }, 2s));
    for (const auto end = std::chrono::steady_clock::now() + limit; std::chrono::steady_clock::now() < end;) {
        EXPECT_EQ(statusOf(1, "kept"), 200);
        std::this_thread::sleep_for(50ms);
    }
    writeKeys(3, {"kept"});
    std::this_thread::sleep_for(limit);
    for (const std::size_t instance : {0, 1}) {
        EXPECT_EQ(statusOf(instance, "removed"), 401);
        EXPECT_EQ(statusOf(instance, "kept"), 200);
    }
}

// Guards against a removed key that an instance accepts when it resumes after it was frozen.
TEST_F(KeyRevocationTest, AFrozenInstanceAcceptsNoRemovedKey)
{
    ChildProcess& frozen = *deployment_.instance(1).process;
    frozen.freeze();
    writeKeys(3, {"kept"});
    std::this_thread::sleep_for(limit);
    int status = 0;
    std::thread caller([&] { status = statusOf(1, "removed"); });
    std::this_thread::sleep_for(100ms);
    frozen.resume();
    caller.join();
    EXPECT_TRUE(status == 503 || status == 401) << status;
    EXPECT_TRUE(eventually([&] { return statusOf(1, "kept") == 200; }, 2s));
    EXPECT_EQ(statusOf(1, "removed"), 401);
}

} // namespace
} // namespace lychee::test
