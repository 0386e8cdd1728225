// Runs the daemon of the users' platform against stand-ins for its store and its workers.
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

// Guards against any failure of the basic functions: streams, plain requests, at-most-once delivery, configuration
// changes and metrics.
TEST_F(GatewayProcessTest, ServesStreamsAndPlainRequests)
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

// Guards against a requested model or adapter that is never loaded, and against loads beyond the memory of an engine.
TEST_F(GatewayProcessTest, LoadsRequestedModelsAndAdapters)
{
    EXPECT_TRUE(eventually([&] { return deployment_.send(0, "/stream/x", "rare", "m2").status == 200; }));
    EXPECT_TRUE(eventually([&] { return deployment_.send(1, "/stream/x", "adapted", "m0/a2").status == 200; }));
    EXPECT_EQ(deployment_.overcommits(), 0u);
}

// Guards against a stream that ends when its worker fails although another worker could resume it.
TEST_F(GatewayProcessTest, StreamSurvivesTheLossOfItsWorker)
{
    for (const char* id : {"e0", "e1"})
        deployment_.worker(id).postFault(
            {{"path", "/stream"}, {"kind", "drop_answer"}, {"count", 1}, {"after_events", 5}});
    const HttpResponse stream = deployment_.send(0, "/stream/x", "broken-once");
    // Only two attempts are allowed. Both workers abort the stream once, so it must end incomplete.
    EXPECT_NE(stream.body, GatewayDeployment::expectedEvents());
    EXPECT_TRUE(eventually(
        [&] { return deployment_.send(0, "/stream/x", "whole").body == GatewayDeployment::expectedEvents(); }));
    deployment_.worker("e0").postFault(
        {{"path", "/stream"}, {"kind", "drop_answer"}, {"count", 1}, {"after_events", 5}});
    for (int i = 0; i < 4; ++i)
        EXPECT_EQ(
            deployment_.send(0, "/stream/x", fmt::format("resumed-{}", i)).body, GatewayDeployment::expectedEvents());
}

// Guards against a planned stop that cuts off a stream, reports ready for too long or does not end, and against a
// deployment in which no other instance takes over placement.
TEST_F(GatewayProcessTest, StopsGracefullyWhileOthersServe)
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

// Guards against an instance that accepts connections before it handles SIGTERM: a stop in between would kill it and
// cut off the requests that it has just accepted.
TEST_F(GatewayProcessTest, StopsGracefullyRightAfterItStartsListening)
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

// Guards against an instance that cannot serve its known routes and targets while the store does not answer.
TEST_F(GatewayProcessTest, ServesWithoutTheStore)
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

// Guards against an instance that starts while the store does not answer and refuses all requests, although its peer
// has the configuration and the targets.
TEST_F(GatewayProcessTest, StartsFromItsPeerWithoutTheStore)
{
    const auto isConnected = [&] {
        const auto metrics = TestHttpClient(deployment_.instance(1).metrics, 1000ms).send({"GET", "/metrics", {}, ""});
        return metrics.ok() && metrics->body.find("instances 2\n") != std::string::npos;
    };
    ASSERT_TRUE(eventually(isConnected));
    deployment_.store().process().freeze();
    // Long enough for the peer to have lost the store too.
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

// Guards against a process that ends, or stops following the list of workers, because of rows by another writer.
TEST_F(GatewayProcessTest, FollowsTheWorkersBesideRowsOfAnotherWriter)
{
    std::string nested;
    for (int level = 0; level < 100000; ++level)
        nested += "{\"a\":[";
    const std::string desk = R"("service":"desk","zone":"a","state":"ready")";
    const std::vector<std::string> values{"", "\xff\xfe", "[]", nested,
        "{" + desk + R"(,"address":"127.0.0.1:1","slots":4,"models":)" + nested,
        "{" + desk + R"(,"address":"127.0.0.1:1","slots":1e400})",
        "{" + desk + R"(,"address":"127.0.0.1:1","slots":-1})",
        "{" + desk + R"(,"address":"127.0.0.1:1","slots":1180591620717411303424})",
        "{" + desk + R"(,"address":"127.0.0.1:1","slots":4,"sequence":1180591620717411303424})",
        "{" + desk + R"(,"address":"127.0.0.1:1","slots":4,"born":-1e400})",
        "{" + desk + R"(,"address":"127.0.0.1:70000","slots":4})",
        "{" + desk + R"(,"address":"127.0.0.1:0","slots":4})", "{" + desk + R"(,"address":"nowhere:80","slots":4})",
        "{" + desk + R"(,"address":[],"slots":{}})"};
    for (std::size_t i = 0; i < values.size(); ++i)
        deployment_.writeWorkerRow(fmt::format("odd{}", i), values[i]);
    deployment_.writeEncodedWorkerRow("odd-text", "%%% no base64 %%%");
    deployment_.writeWorkerRow("odd&key=1 %", "{}");
    deployment_.writeWorkerRow("d0", "{}");
    // The last row is a sound one, at the address of a worker that has another id.
    deployment_.writeWorkerRow("late",
        fmt::format(
            R"({{{},"address":"{}","slots":4,"born":7}})", desk, deployment_.worker("e0").endpoint().toString()));
    for (std::size_t i = 0; i < deployment_.instanceCount(); ++i) {
        EXPECT_TRUE(eventually([&] {
            return deployment_.instance(i).process->logText().find("target=late") != std::string::npos;
        })) << deployment_.instance(i).process->logText();
        EXPECT_TRUE(eventually([&] { return deployment_.send(i, "/safe/x", "beside").status == 200; }));
        EXPECT_EQ(deployment_.send(i, "/stream/x", fmt::format("s{}", i)).body, GatewayDeployment::expectedEvents());
        // A process that starts reads the whole table, a running one only the changes.
        deployment_.instance(i).process->kill();
        deployment_.launchInstance(i);
        EXPECT_TRUE(
            eventually([&] { return GatewayDeployment::statusOf(deployment_.instance(i).readiness, "/") == 200; }));
        EXPECT_TRUE(eventually([&] { return deployment_.send(i, "/safe/x", "again").status == 200; }));
    }
}

// Guards against instances that keep an old configuration, or lose their targets, after the store was restored from a
// copy: what it writes from then on has smaller versions than what they know.
TEST_F(GatewayProcessTest, FollowsAStoreThatWasRestoredFromACopy)
{
    const auto post = [&](const std::string& target) {
        HttpRequest request;
        request.method = "POST";
        request.target = target;
        EXPECT_EQ(deployment_.store().client().send(request)->status, 200);
    };
    post("/standin/copy");
    // The heartbeats of the workers use up versions, which are given out again later.
    std::this_thread::sleep_for(2s);
    deployment_.writeConfiguration(5, {"/stream/", "/safe/", "/unsafe/", "/early/"});
    for (std::size_t instance = 0; instance < 2; ++instance)
        EXPECT_TRUE(eventually([&] { return deployment_.send(instance, "/early/x", "c").status == 200; }, 2000ms));
    post("/standin/restore");
    deployment_.writeConfiguration(5, {"/stream/", "/safe/", "/unsafe/", "/early/"});
    deployment_.writeConfiguration(7, {"/stream/", "/safe/", "/unsafe/", "/early/", "/late/"});
    for (std::size_t instance = 0; instance < 2; ++instance) {
        EXPECT_TRUE(eventually([&] { return deployment_.send(instance, "/late/x", "l").status == 200; }, 3000ms));
        EXPECT_EQ(deployment_.send(instance, "/safe/x", "s").status, 200);
        EXPECT_EQ(deployment_.send(instance, "/stream/x", "t").status, 200);
    }
    std::this_thread::sleep_for(4s);
    EXPECT_TRUE(eventually([&] { return deployment_.send(1, "/stream/x", "loaded", "m0/a1").status == 200; }, 8000ms));
}

} // namespace
} // namespace lychee::test
