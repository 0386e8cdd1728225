// Requests at an instance that is about to end.
#include "tests/gateway/RelayFixture.h"

namespace lychee::gateway {
namespace {

class StoppingInstanceTest : public RelayFixture {
protected:
    void stopAfter(Duration time)
    {
        relayDuty_->run([&] { context_.stopsAt = currentTime() + time; });
    }

    // Ends the waits after the time, as a stopping instance does at its end.
    void endWaitsAfter(std::chrono::milliseconds time)
    {
        std::this_thread::sleep_for(time);
        relayDuty_->run([&] { context_.endWaits(); });
    }

    void addSlowTarget(const ServiceId& service)
    {
        addTarget(service, [](ScriptedTarget& target, HttpExchange& exchange) {
            sleepFor(900ms);
            answerWhole(target, exchange);
        });
    }

    static bool comesBackElsewhere(const HttpResponse& answer)
    {
        return answer.status == 503 && answer.headers.find("Retry-After").has_value();
    }
};

// Guards against requests that may not be repeated and are begun so late that the end of the process cuts them.
TEST_F(StoppingInstanceTest, ALateRequestIsRefusedAsNotRun)
{
    addSlowTarget(plainService);
    addTarget(engineService, events(5));
    start();
    stopAfter(500ms);
    for (const char* path : {"/unsafe/x", "/once/x", "/stream/x"}) {
        const auto begin = std::chrono::steady_clock::now();
        const auto answer = client().send(request(path));
        ASSERT_TRUE(answer.ok()) << answer.status();
        EXPECT_TRUE(comesBackElsewhere(*answer)) << path << answer->status;
        EXPECT_LT(std::chrono::steady_clock::now() - begin, 100ms) << path;
    }
    EXPECT_EQ(receivedRequests(), 0u);
}

// Guards against refusals of requests that there is time for.
TEST_F(StoppingInstanceTest, ARequestWithTimeLeftIsServed)
{
    addTarget(plainService, answerWhole);
    addTarget(engineService, events(5));
    start();
    stopAfter(10s);
    EXPECT_EQ(client().send(request("/unsafe/x"))->status, 200);
    EXPECT_EQ(client().send(request("/stream/x"))->body, expectedEvents(5));
}

// Guards against a request that is cut without an answer when the process ends.
TEST_F(StoppingInstanceTest, ARequestInProgressGetsALastAnswer)
{
    addSlowTarget(plainService);
    start();
    for (const char* path : {"/unsafe/x", "/safe/x"}) {
        absl::StatusOr<HttpResponse> answer;
        const auto begin = std::chrono::steady_clock::now();
        std::jthread caller([&] { answer = client().send(request(path)); });
        endWaitsAfter(100ms);
        caller.join();
        ASSERT_TRUE(answer.ok()) << answer.status();
        EXPECT_EQ(answer->status, 502) << path;
        EXPECT_LT(std::chrono::steady_clock::now() - begin, 500ms) << path;
    }
}

// Guards against a stream that ends as complete, or not at all, when the process ends.
TEST_F(StoppingInstanceTest, AStreamInProgressIsAborted)
{
    addTarget(engineService, events(1000));
    start();
    const auto stream = client().open(request("/stream/x"));
    ASSERT_TRUE(stream.ok()) << stream.status();
    endWaitsAfter(100ms);
    EXPECT_FALSE((*stream)->readBody().ok());
    EXPECT_EQ(receivedRequests(), 1u);
}

// Guards against a refusal that claims that a request has not run although its first send may have.
TEST_F(StoppingInstanceTest, ARequestThatMayHaveRunIsNotRefused)
{
    for (int i = 0; i < 2; ++i) {
        addTarget(plainService, [](ScriptedTarget&, HttpExchange& exchange) {
            sleepFor(200ms);
            exchange.abort();
        });
    }
    start();
    absl::StatusOr<HttpResponse> answer;
    std::jthread caller([&] { answer = client().send(request("/safe/x")); });
    std::this_thread::sleep_for(100ms);
    stopAfter(0ms);
    caller.join();
    ASSERT_TRUE(answer.ok()) << answer.status();
    EXPECT_EQ(answer->status, 502);
    EXPECT_EQ(receivedRequests(), 1u);
}

// Guards against a request that pauses before its next send until the process has ended.
TEST_F(StoppingInstanceTest, ARequestThatWaitsForATargetGetsALastAnswer)
{
    for (int i = 0; i < 2; ++i) {
        addTarget(plainService, [this](ScriptedTarget&, HttpExchange& exchange) {
            if (receivedRequests() == 1) {
                sleepFor(2500ms);
                return;
            }
            relayDuty_->run([&] {
                for (const char* target : {"t0", "t1"})
                    context_.registry.remove(TargetId(target));
            });
            exchange.respond({503, {{"X-Not-Executed", "1"}}, ""}).IgnoreError();
        });
    }
    start();
    // The third pause would last from 1.8 s to the deadline at 2 s.
    stopAfter(1900ms);
    const auto answer = client().send(request("/safe/x"));
    ASSERT_TRUE(answer.ok()) << answer.status();
    EXPECT_EQ(answer->status, 502);
    EXPECT_EQ(receivedRequests(), 2u);
}

} // namespace
} // namespace lychee::gateway
