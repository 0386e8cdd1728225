// The real daemon on the users' platform, before stand-ins of its store and its workers.
#include "tests/support/GatewayDeployment.h"

#include <gtest/gtest.h>

#include <thread>

namespace lychee::test {
namespace {

using namespace std::chrono_literals;

class GatewayProcessTest : public testing::Test {
protected:
    GatewayDeployment deployment_{LYCHEE_BUILD_DIR};
};

// Guards against any break on the whole path: streams, plain calls, at most once, configuration and metrics.
TEST_F(GatewayProcessTest, ServesTheWholePath)
{
    for (std::size_t instance = 0; instance < 2; ++instance) {
        const HttpResponse stream = deployment_.send(instance, "/stream/x", fmt::format("s{}", instance));
        EXPECT_EQ(stream.status, 200);
        EXPECT_EQ(stream.body, GatewayDeployment::expectedEvents());
        EXPECT_EQ(deployment_.send(instance, "/unsafe/x", fmt::format("u{}", instance)).status, 200);
        EXPECT_EQ(deployment_.executions(fmt::format("u{}", instance)), 1);
        EXPECT_EQ(deployment_.send(instance, "/nowhere/x", "n").status, 404);
    }
    deployment_.worker("d0").postFault({{"path", "/unsafe"}, {"kind", "drop_answer"}, {"count", 1}});
    EXPECT_EQ(deployment_.send(0, "/unsafe/x", "lost").status, 502);
    EXPECT_EQ(deployment_.executions("lost"), 1);
    EXPECT_EQ(deployment_.send(0, "/new/x", "c").status, 404);
    deployment_.writeConfiguration(5, {"/stream/", "/safe/", "/unsafe/", "/new/"});
    for (std::size_t instance = 0; instance < 2; ++instance)
        EXPECT_TRUE(eventually([&] { return deployment_.send(instance, "/new/x", "c").status == 200; }, 2000ms));
    EXPECT_EQ(GatewayDeployment::statusOf(deployment_.instance(0).metrics, "/metrics"), 200);
}

// Guards against a model or an adapter that callers ask for and nobody loads, and against loads beyond memory.
TEST_F(GatewayProcessTest, LoadsWhatCallersAskFor)
{
    EXPECT_TRUE(eventually([&] { return deployment_.send(0, "/stream/x", "rare", "m2").status == 200; }));
    EXPECT_TRUE(eventually([&] { return deployment_.send(1, "/stream/x", "adapted", "m0/a2").status == 200; }));
    EXPECT_EQ(deployment_.overcommits(), 0u);
}

// Guards against a stream that ends with its worker although another one can go on.
TEST_F(GatewayProcessTest, StreamSurvivesTheLossOfItsWorker)
{
    for (const char* id : {"e0", "e1"})
        deployment_.worker(id).postFault(
            {{"path", "/stream"}, {"kind", "drop_answer"}, {"count", 1}, {"after_events", 5}});
    const HttpResponse stream = deployment_.send(0, "/stream/x", "broken-once");
    // Only two runs are allowed, so with both workers breaking off once the stream ends broken and never looks whole.
    EXPECT_NE(stream.body, GatewayDeployment::expectedEvents());
    EXPECT_TRUE(eventually(
        [&] { return deployment_.send(0, "/stream/x", "whole").body == GatewayDeployment::expectedEvents(); }));
    deployment_.worker("e0").postFault(
        {{"path", "/stream"}, {"kind", "drop_answer"}, {"count", 1}, {"after_events", 5}});
    for (int i = 0; i < 4; ++i)
        EXPECT_EQ(
            deployment_.send(0, "/stream/x", fmt::format("resumed-{}", i)).body, GatewayDeployment::expectedEvents());
}

// Guards against a planned stop that cuts off a stream, takes new work for long, or does not end; and against an
// instance that is lost and takes placement with it.
TEST_F(GatewayProcessTest, StopsGracefullyAndOthersGoOn)
{
    std::string body;
    std::thread caller([&] { body = deployment_.send(0, "/stream/x", "across-the-stop").body; });
    std::this_thread::sleep_for(100ms);
    deployment_.instance(0).process->terminate();
    EXPECT_TRUE(
        eventually([&] { return GatewayDeployment::statusOf(deployment_.instance(0).readiness, "/") != 200; }, 500ms));
    caller.join();
    EXPECT_EQ(body, GatewayDeployment::expectedEvents());
    const auto exit = deployment_.instance(0).process->wait(9000ms);
    ASSERT_TRUE(exit.ok());
    EXPECT_EQ(exit->code, 0);
    EXPECT_EQ(deployment_.send(1, "/unsafe/x", "after").status, 200);
    EXPECT_TRUE(eventually([&] { return deployment_.send(1, "/stream/x", "moved", "m0/a3").status == 200; }));
}

// Guards against a stop that finds an instance between its first connection and the watch for signals, and so cuts off
// what it has just taken.
TEST_F(GatewayProcessTest, StopsInOrderAsSoonAsItTakesConnections)
{
    constexpr int rounds = 5;
    for (int i = 0; i < rounds; ++i) {
        GatewayInstance& instance = deployment_.instance(0);
        instance.process->kill();
        deployment_.launchInstance(0);
        const auto isListening = [&] {
            TestHttpClient client(instance.callers, 1000ms);
            return client.sendOnly({"GET", "/", {}, ""}).ok();
        };
        while (!isListening())
            std::this_thread::sleep_for(100us);
        const auto exit = instance.process->stop(9000ms);
        ASSERT_TRUE(exit.ok());
        EXPECT_EQ(exit->code, 0) << "signal " << exit->signal;
    }
    deployment_.launchInstance(0);
}

// Guards against an instance that needs the store to serve what it knows.
TEST_F(GatewayProcessTest, ServesWhileTheStoreIsAway)
{
    deployment_.store().process().freeze();
    for (int i = 0; i < 5; ++i) {
        EXPECT_EQ(
            deployment_.send(0, "/stream/x", fmt::format("away-{}", i)).body, GatewayDeployment::expectedEvents());
        EXPECT_EQ(deployment_.send(1, "/unsafe/x", fmt::format("away-u{}", i)).status, 200);
        std::this_thread::sleep_for(300ms);
    }
    deployment_.store().process().resume();
    deployment_.writeConfiguration(9, {"/stream/", "/safe/", "/unsafe/", "/late/"});
    EXPECT_TRUE(eventually([&] { return deployment_.send(0, "/late/x", "late").status == 200; }));
}

// Guards against an instance that starts while the store is away and refuses everything, although its peer knows the
// configuration and the targets.
TEST_F(GatewayProcessTest, LearnsFromItsPeerWhileTheStoreIsAway)
{
    const auto isConnected = [&] {
        const auto metrics = TestHttpClient(deployment_.instance(1).metrics, 1000ms).send({"GET", "/metrics", {}, ""});
        return metrics.ok() && metrics->body.find("instances 2\n") != std::string::npos;
    };
    ASSERT_TRUE(eventually(isConnected));
    deployment_.store().process().freeze();
    // Until the peer has lost the store too.
    std::this_thread::sleep_for(3000ms);
    deployment_.instance(0).process->kill();
    deployment_.launchInstance(0);
    EXPECT_TRUE(eventually([&] { return GatewayDeployment::statusOf(deployment_.instance(0).readiness, "/") == 200; }))
        << deployment_.instance(0).process->logText() << "\nits peer:\n"
        << deployment_.instance(1).process->logText();
    EXPECT_EQ(deployment_.send(0, "/unsafe/x", "u").status, 200);
    EXPECT_EQ(deployment_.send(0, "/stream/x", "s").body, GatewayDeployment::expectedEvents());
    deployment_.store().process().resume();
}

} // namespace
} // namespace lychee::test
