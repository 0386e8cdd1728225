// Requests that crash the targets which run them.
#include "tests/gateway/RelayFixture.h"
#include "tests/support/GatewayDeployment.h"

namespace lychee::gateway {
namespace {

class CrashingPromptTest : public RelayFixture {
protected:
    static constexpr const char* crashingPart = ",7:";

    // Adds a target that ends when it receives a prompt with the crashing part, and streams events otherwise.
    void addFragileTarget()
    {
        const std::size_t number = targets_.size();
        addTarget(engineService, [this, number](ScriptedTarget& target, HttpExchange& exchange) {
            const auto prefix = exchange.request().headers.find("X-Prompt-Prefix").value_or("");
            if (prefix.find(crashingPart) == std::string_view::npos)
                return events(5)(target, exchange);
            ++crashes_;
            targets_[number]->server->close();
            sleepFor(100ms);
        });
    }

    HttpResponse send(int number, const std::string& prefix)
    {
        HttpRequest sent = request("/stream/x");
        sent.headers.set("X-Attempt-Id", fmt::format("id-{}", number));
        sent.headers.set("X-Prompt-Prefix", prefix);
        sent.body = fmt::format("body {}", number);
        const auto answer = client().send(sent);
        return answer.ok() ? *answer : HttpResponse{0, {}, std::string(answer.status().message())};
    }

    std::atomic<int> crashes_{0};
};

// Guards against targets that crash one after another on different requests with the same prompt part, and against
// sound requests that are refused with them.
TEST_F(CrashingPromptTest, RequestsWithAPartThatCrashesTargetsAreRefused)
{
    for (int i = 0; i < 8; ++i)
        addFragileTarget();
    start();
    constexpr int rounds = 6;
    for (int i = 1; i <= rounds; ++i) {
        const HttpResponse tainted = send(i, fmt::format("1:10{}20,{:x}:5", crashingPart, 100 + i));
        EXPECT_EQ(tainted.status, i <= 2 ? 502 : 503) << i;
        EXPECT_EQ(tainted.headers.find("Retry-After").has_value(), i > 2) << i;
        const HttpResponse sound = send(50 + i, fmt::format("1:10,8:20,{:x}:5", 200 + i));
        EXPECT_EQ(sound.status, 200) << i;
        EXPECT_EQ(sound.body, expectedEvents(5)) << i;
    }
    EXPECT_EQ(crashes_, 3);
}

// Guards against a lost connection to a running target that counts as a crash.
TEST_F(CrashingPromptTest, LostConnectionsToRunningTargetsBlockNothing)
{
    for (int i = 0; i < 2; ++i)
        addTarget(engineService, [](ScriptedTarget&, HttpExchange& exchange) { exchange.abort(); });
    start();
    for (int i = 1; i <= 5; ++i)
        EXPECT_EQ(send(i, "1:10,7:20,64:5").status, 502) << i;
    EXPECT_EQ(receivedRequests(), 10u);
}

} // namespace
} // namespace lychee::gateway

namespace lychee::test {
namespace {

using namespace std::chrono_literals;

int statusOfCrashing(GatewayDeployment& deployment, std::size_t instance, const std::string& attempt)
{
    HttpRequest request = GatewayDeployment::request("/stream/x", attempt);
    request.body = "poison";
    const auto answer = TestHttpClient(deployment.callersOf(instance), 10s).send(request);
    return answer.ok() ? answer->status : 0;
}

// Guards against a request that crashes targets through each instance anew, or through one that has just started.
TEST(CrashNotices, ARequestThatCrashedTargetsIsRefusedByAllInstances)
{
    GatewayDeployment deployment(LYCHEE_BUILD_DIR);
    const auto armEngines = [&] {
        for (const char* id : {"e0", "e1"})
            deployment.worker(id).postFault(
                {{"path", "/stream"}, {"kind", "crash_on_body"}, {"body", "poison"}, {"count", -1}});
    };
    armEngines();
    for (std::size_t instance = 0; instance < 2; ++instance) {
        EXPECT_TRUE(eventually([&] {
            return deployment.instance(instance).process->logText().find("instances=2") != std::string::npos;
        })) << instance;
    }
    EXPECT_EQ(statusOfCrashing(deployment, 0, "first"), 502);
    for (const char* id : {"e0", "e1"}) {
        EXPECT_TRUE(eventually([&] { return !deployment.worker(id).process().isRunning(); })) << id;
        deployment.worker(id).restart();
    }
    armEngines();
    EXPECT_TRUE(eventually([&] { return deployment.send(1, "/stream/x", "sound").status == 200; }));
    EXPECT_EQ(statusOfCrashing(deployment, 1, "second"), 503) << deployment.instance(0).process->logText();
    deployment.instance(1).process->kill();
    deployment.launchInstance(1);
    EXPECT_TRUE(eventually([&] { return deployment.send(1, "/stream/x", "sound-again").status == 200; }));
    std::this_thread::sleep_for(1s);
    EXPECT_EQ(statusOfCrashing(deployment, 1, "third"), 503);
    for (const char* id : {"e0", "e1"})
        EXPECT_TRUE(deployment.worker(id).process().isRunning()) << id;
}

} // namespace
} // namespace lychee::test
