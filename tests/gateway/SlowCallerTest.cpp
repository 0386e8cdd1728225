// A thousand callers that read or send slowly: the memory of the instance stays bounded, others are served as before,
// and the slow ones are cut off after the stated time.
#include "tests/gateway/RelayFixture.h"
#include "tests/support/SlowCallers.h"

namespace lychee::gateway {
namespace {

constexpr std::size_t slowCallers = 1000;
// More than sockets hold.
constexpr std::size_t answerBytes = 400000;
constexpr std::size_t requestBytes = 200000;
constexpr int otherRequests = 20;

// What GatewayLimits gives to answers and requests on a machine of 112 MB.
constexpr std::size_t answerMemory = std::size_t{112} * 1024 * 1024 / 8;
constexpr std::size_t requestMemory = std::size_t{112} * 1024 * 1024 / 16;

// Everything that a slow caller and its target may leave in sockets and buffers.
constexpr std::size_t bytesOfOneStream = 262144;

class SlowCallerTest : public RelayFixture {
protected:
    SlowCallerTest()
    {
        slots_ = static_cast<int>(2 * slowCallers);
        // What targets write is then about what the relay and its sockets hold.
        targetBuffers_ = RelayLimits::callerBuffers;
        context_.answerMemory.setCapacity(answerMemory);
        context_.requestMemory->setCapacity(requestMemory);
    }

    Endpoint callers() const { return {"127.0.0.1", callers_->port()}; }

    static std::string text(const std::string& path, std::string_view body)
    {
        return fmt::format("POST {} HTTP/1.1\r\nHost: a\r\nX-Attempt-Id: slow\r\nX-Model: m\r\nX-Token-Count: 1,1\r\n"
                           "Content-Length: {}\r\n\r\n{}",
            path, body.size(), body);
    }

    template <typename Condition> static bool eventually(Duration limit, const Condition& condition)
    {
        const auto end = std::chrono::steady_clock::now() + limit;
        while (!condition()) {
            if (std::chrono::steady_clock::now() > end)
                return false;
            std::this_thread::sleep_for(20ms);
        }
        return true;
    }

    std::size_t answerMemoryUsed()
    {
        std::size_t used = 0;
        relayDuty_->run([&] { used = context_.answerMemory.used(); });
        return used;
    }

    std::size_t requestMemoryUsed()
    {
        std::size_t used = 0;
        relayDuty_->run([&] { used = context_.requestMemory->used(); });
        return used;
    }
};

// Guards against slow readers of whole answers that fill the memory for answers, so that the answers to others are
// lost after their requests have run.
TEST_F(SlowCallerTest, UnreadAnswersHarmNoOtherRequest)
{
    std::atomic<std::size_t> answered{0};
    addTarget(plainService, [&](ScriptedTarget&, HttpExchange& exchange) {
        exchange.respond({200, sealedHeaders(exchange.request()), std::string(answerBytes, 'a')}).IgnoreError();
        ++answered;
    });
    start();
    const test::SlowCallers slow(callers(), slowCallers, text("/safe/x", "body"));
    ASSERT_TRUE(eventually(30s, [&] { return answered >= slowCallers; }));
    std::this_thread::sleep_for(RelayLimits::deliveryTime + 200ms);
    int served = 0;
    for (int i = 0; i < otherRequests; ++i) {
        const auto answer = client().send(request("/safe/x"));
        served += answer.ok() && answer->status == 200 && answer->body.size() == answerBytes ? 1 : 0;
        EXPECT_LE(answerMemoryUsed(), answerMemory);
    }
    EXPECT_EQ(served, otherRequests);
    // Those whose answers found no memory were told so and keep their connections.
    EXPECT_TRUE(eventually(RelayLimits::slowReaderTimeout + 1s, [&] { return answerMemoryUsed() == 0; }));
    EXPECT_GE(slow.closed(), answerMemory / answerBytes / 3);
}

// Guards against streams that are read from targets although their callers do not read them, and against streams that
// are held for such callers without end.
TEST_F(SlowCallerTest, UnreadStreamsAreNotReadFromTargetsAndAreCutOff)
{
    std::atomic<std::size_t> written{0};
    std::atomic<std::size_t> begun{0};
    addTarget(engineService, [&](ScriptedTarget& target, HttpExchange& exchange) {
        if (exchange.request().body != "slow")
            return events(otherRequests)(target, exchange);
        exchange.beginStream(200, sealedHeaders(exchange.request())).IgnoreError();
        ++begun;
        const std::string event = "data: " + std::string(8000, 'a') + "\n\n";
        while (exchange.write(event).ok())
            written += event.size();
        ++target.cancelled;
    });
    start();
    const test::SlowCallers slow(callers(), slowCallers, text("/stream/x", "slow"));
    ASSERT_TRUE(eventually(20s, [&] { return begun >= slowCallers; }));
    const auto stream = client().open(request("/stream/x"));
    ASSERT_TRUE(stream.ok());
    const auto body = (*stream)->readBody();
    ASSERT_TRUE(body.ok());
    EXPECT_EQ(*body, expectedEvents(otherRequests));
    EXPECT_TRUE(eventually(RelayLimits::slowReaderTimeout + 3s, [&] { return slow.closed() == slowCallers; }));
    EXPECT_TRUE(eventually(3s, [&] { return targets_[0]->cancelled >= static_cast<int>(slowCallers); }));
    EXPECT_LE(written, slowCallers * bytesOfOneStream);
    // The answer does not end as complete.
    EXPECT_EQ(slow.received(0).find("\r\n0\r\n\r\n"), std::string::npos);
}

// Guards against bodies that arrive slowly and take all the memory of the machine together.
TEST_F(SlowCallerTest, RequestsThatArriveSlowlyShareABound)
{
    addTarget(plainService, answerWhole);
    start();
    const std::string whole = text("/safe/x", std::string(2 * requestBytes, 'b'));
    const test::SlowCallers slow(callers(), slowCallers, std::string_view(whole).substr(0, requestBytes));
    std::size_t used = 0;
    for (int i = 0; i < otherRequests; ++i) {
        const auto answer = client().send(request("/safe/x"));
        EXPECT_TRUE(answer.ok() && answer->status == 200);
        used = std::max(used, requestMemoryUsed());
    }
    EXPECT_GT(used, requestMemory / 2);
    EXPECT_LE(used, requestMemory);
    // Those that had to give up are told that they have not run.
    EXPECT_TRUE(eventually(5s, [&] { return slow.received(0).starts_with("HTTP/1.1 503"); }));
    EXPECT_EQ(receivedRequests(), static_cast<std::size_t>(otherRequests));
}

} // namespace
} // namespace lychee::gateway
