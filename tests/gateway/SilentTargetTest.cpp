// Targets that pause, trickle or never stop sending.
#include "tests/gateway/RelayFixture.h"

namespace lychee::gateway {
namespace {

class SilentTargetTest : public RelayFixture {
protected:
    // Streams `count` events and pauses before the third.
    static Script pausedEvents(int count, Duration pause)
    {
        return [=](ScriptedTarget&, HttpExchange& exchange) {
            exchange.beginStream(200, sealedHeaders(exchange.request())).IgnoreError();
            for (int id = 1; id <= count; ++id) {
                if (id == 3)
                    sleepFor(pause);
                if (!exchange.write(fmt::format("id: {}\ndata: e{}\n\n", id, id)).ok())
                    return;
            }
            exchange.endStream().IgnoreError();
        };
    }

    // Declines all requests but the first, which is answered by a stream that pauses.
    Script pausedThenFull(Duration pause)
    {
        return [this, pause](ScriptedTarget& target, HttpExchange& exchange) {
            if (receivedRequests() == 1)
                pausedEvents(5, pause)(target, exchange);
            else
                exchange.respond({503, {{"X-Not-Executed", "1"}}, ""}).IgnoreError();
        };
    }

    void expectWhole(int events, std::size_t requests, const std::string& path = "/stream/x")
    {
        const auto stream = client().open(request(path));
        ASSERT_TRUE(stream.ok()) << stream.status();
        const auto body = (*stream)->readBody();
        ASSERT_TRUE(body.ok()) << body.status();
        EXPECT_EQ(*body, expectedEvents(events));
        EXPECT_EQ(receivedRequests(), requests);
    }
};

// Guards against a slow but sound stream that is cut because the retry budget, which was available when the request was
// sent, is used up when the target pauses.
TEST_F(SilentTargetTest, SlowStreamIsNotCutWhenItCannotBeSentAgain)
{
    for (int i = 0; i < 2; ++i)
        addTarget(engineService, pausedEvents(5, 1500ms));
    start();
    std::thread spend([&] {
        std::this_thread::sleep_for(300ms);
        relayDuty_->run([&] { context_.retryBudget.setOptions({0, 0, 10s}); });
    });
    expectWhole(5, 1);
    spend.join();
}

// Guards against a slow but sound stream that is given up although no other target could take it over.
TEST_F(SilentTargetTest, SlowStreamIsNotCutWhenNoOtherTargetIsThere)
{
    addTarget(engineService, pausedEvents(5, 1500ms));
    start();
    expectWhole(5, 1);
}

// Guards against an answer that is given up for silence, and reported as an unknown outcome, although the request
// cannot be sent again.
TEST_F(SilentTargetTest, SlowAnswerIsAwaitedWhenItCannotBeSentAgain)
{
    addTarget(plainService, [](ScriptedTarget& target, HttpExchange& exchange) {
        sleepFor(1200ms);
        answerWhole(target, exchange);
    });
    start();
    const auto answer = client().send(request("/safe/x"));
    ASSERT_TRUE(answer.ok()) << answer.status();
    EXPECT_EQ(answer->status, 200);
}

// Guards against a stream that waits for a silent target although another one could go on with it.
TEST_F(SilentTargetTest, SilentStreamIsResumedOnAnotherTarget)
{
    const auto script = [this](ScriptedTarget& target, HttpExchange& exchange) {
        const bool first = receivedRequests() == 1;
        if (first)
            pausedEvents(5, 2500ms)(target, exchange);
        else
            events(5)(target, exchange);
    };
    addTarget(engineService, script);
    addTarget(engineService, script);
    start();
    const auto begin = std::chrono::steady_clock::now();
    expectWhole(5, 2);
    EXPECT_LT(std::chrono::steady_clock::now() - begin, 2000ms);
}

// Guards against a sound stream that is given up during a pause of its target and lost because the other target is
// full.
TEST_F(SilentTargetTest, PausedStreamIsNotGivenUpForATargetThatDeclinesIt)
{
    for (int i = 0; i < 2; ++i)
        addTarget(engineService, pausedThenFull(1800ms));
    start();
    relayDuty_->run([&] { context_.retryBudget.setOptions({0, 1.5, 10s}); });
    expectWhole(5, 1, "/long-gap/x");
}

// Guards against an interrupted stream that is aborted while its caller still waits and a target is about to return.
TEST_F(SilentTargetTest, InterruptedStreamIsContinuedWhenATargetReturns)
{
    fleet::TargetRecord record;
    addTarget(engineService, [&](ScriptedTarget& target, HttpExchange& exchange) {
        const bool first = receivedRequests() == 1;
        if (first)
            relayDuty_->run([&] { context_.registry.remove(record.id); });
        events(5, first ? 3 : 0)(target, exchange);
    });
    record = recordOf(0);
    start();
    std::thread restart([&] {
        while (receivedRequests() == 0)
            std::this_thread::sleep_for(5ms);
        std::this_thread::sleep_for(2500ms);
        relayDuty_->run([&] { context_.registry.update(record); });
    });
    const auto begin = std::chrono::steady_clock::now();
    expectWhole(5, 2, "/long-gap/x");
    EXPECT_GT(std::chrono::steady_clock::now() - begin, 2400ms);
    restart.join();
}

// Guards against an interrupted stream that is aborted because targets were full for a moment.
TEST_F(SilentTargetTest, InterruptedStreamIsContinuedAfterManyRefusals)
{
    addTarget(engineService, [this](ScriptedTarget& target, HttpExchange& exchange) {
        const std::size_t received = receivedRequests();
        if (received == 1 || received > 8)
            events(5, received == 1 ? 3 : 0)(target, exchange);
        else
            exchange.respond({503, {{"X-Not-Executed", "1"}}, ""}).IgnoreError();
    });
    start();
    expectWhole(5, 9, "/long-gap/x");
}

// Guards against a sound target that is given up before its first event for one that declines.
TEST_F(SilentTargetTest, PauseBeforeTheFirstEventIsAwaited)
{
    for (int i = 0; i < 2; ++i) {
        addTarget(engineService, [this](ScriptedTarget& target, HttpExchange& exchange) {
            if (receivedRequests() > 1) {
                exchange.respond({503, {{"X-Not-Executed", "1"}}, ""}).IgnoreError();
                return;
            }
            sleepFor(1400ms);
            events(5)(target, exchange);
        });
    }
    start();
    expectWhole(5, 1, "/long-gap/x");
}

// Guards against a silent target that is given up with the last retry that the budget allows, so that nothing is left
// when the next target declines.
TEST_F(SilentTargetTest, SilentTargetIsNotGivenUpWithTheLastRetry)
{
    for (int i = 0; i < 2; ++i)
        addTarget(engineService, pausedThenFull(1800ms));
    start();
    relayDuty_->run([&] { context_.retryBudget.setOptions({0, 1.5, 10s}); });
    expectWhole(5, 1);
}

// Guards against an interrupted stream that is aborted because the other target would start later than the objective
// for the first event, although its caller still waits.
TEST_F(SilentTargetTest, InterruptedStreamIsContinuedOnABusyTarget)
{
    for (int i = 0; i < 2; ++i) {
        addTarget(engineService, [this](ScriptedTarget& target, HttpExchange& exchange) {
            events(5, receivedRequests() == 1 ? 3 : 0)(target, exchange);
        });
    }
    start();
    fleet::GenerationNeed queued;
    queued.model = ModelId("m");
    queued.promptTokens = TokenCount(60000);
    relayDuty_->spawn([&, queued] {
        sleepFor(8ms);
        for (const char* target : {"t0", "t1"})
            context_.registry.beginSend(TargetId(target), &queued, currentTime());
    });
    const auto begin = std::chrono::steady_clock::now();
    expectWhole(5, 2, "/long-gap/x");
    EXPECT_LT(std::chrono::steady_clock::now() - begin, 2s);
}

// Guards against an interrupted stream that is held beyond its deadline by the pause between two attempts.
TEST_F(SilentTargetTest, InterruptedStreamEndsAtItsDeadline)
{
    addTarget(engineService, [this](ScriptedTarget& target, HttpExchange& exchange) {
        events(5, receivedRequests() == 1 ? 3 : 1)(target, exchange);
    });
    start();
    HttpRequest sent = request("/long-gap/x");
    sent.headers.set("X-Deadline-Ms", "900");
    relayDuty_->spawn([&] {
        sleepFor(12ms);
        context_.registry.remove(TargetId("t0"));
    });
    const auto begin = std::chrono::steady_clock::now();
    const auto stream = client().open(sent);
    ASSERT_TRUE(stream.ok()) << stream.status();
    EXPECT_FALSE((*stream)->readBody().ok());
    EXPECT_LT(std::chrono::steady_clock::now() - begin, 1100ms);
}

// Guards against a request that waits for a target until the process ends and gets no answer.
TEST_F(SilentTargetTest, RequestWithoutATargetIsAnsweredBeforeAStop)
{
    addTarget(engineService, events(5));
    start();
    relayDuty_->run([&] { context_.stopsAt = currentTime(); });
    const auto answer = client().send(request("/stream/x"));
    ASSERT_TRUE(answer.ok()) << answer.status();
    EXPECT_EQ(answer->status, 503);
}

// Guards against an interrupted stream that is aborted before its deadline while its caller still waits.
TEST_F(SilentTargetTest, InterruptedStreamIsContinuedForAsLongAsItsCallerWaits)
{
    fleet::TargetRecord record;
    addTarget(engineService, [&](ScriptedTarget& target, HttpExchange& exchange) {
        const bool first = receivedRequests() == 1;
        if (first)
            relayDuty_->run([&] { context_.registry.remove(record.id); });
        events(5, first ? 3 : 0)(target, exchange);
    });
    record = recordOf(0);
    start();
    std::thread restart([&] {
        while (receivedRequests() == 0)
            std::this_thread::sleep_for(5ms);
        // Longer than the gap of 2 s that most callers of this route accept.
        std::this_thread::sleep_for(2050ms);
        relayDuty_->run([&] { context_.registry.update(record); });
    });
    expectWhole(5, 2);
    restart.join();
}

// Guards against a request that was given up for silence and ends with 502 because the next target is full for a
// moment.
TEST_F(SilentTargetTest, GivenUpRequestIsSentAgainUntilItsDeadline)
{
    for (int i = 0; i < 2; ++i) {
        addTarget(plainService, [this](ScriptedTarget& target, HttpExchange& exchange) {
            const std::size_t received = receivedRequests();
            if (received == 1)
                sleepFor(2500ms);
            else if (received == 2)
                exchange.respond({503, {{"X-Not-Executed", "1"}}, ""}).IgnoreError();
            else
                answerWhole(target, exchange);
        });
    }
    start();
    const auto answer = client().send(request("/safe/x"));
    ASSERT_TRUE(answer.ok()) << answer.status();
    EXPECT_EQ(answer->status, 200);
    EXPECT_EQ(receivedRequests(), 3u);
}

// The same for a stream before its first event.
TEST_F(SilentTargetTest, GivenUpStreamIsSentAgainUntilItsDeadline)
{
    for (int i = 0; i < 2; ++i) {
        addTarget(engineService, [this](ScriptedTarget& target, HttpExchange& exchange) {
            const std::size_t received = receivedRequests();
            if (received == 1)
                sleepFor(4000ms);
            else if (received == 2)
                exchange.respond({503, {{"X-Not-Executed", "1"}}, ""}).IgnoreError();
            else
                events(5)(target, exchange);
        });
    }
    start();
    expectWhole(5, 3, "/long-gap/x");
}

// Guards against a request that waits for a target beyond its deadline after it was given up for silence.
TEST_F(SilentTargetTest, GivenUpRequestEndsAtItsDeadline)
{
    for (int i = 0; i < 2; ++i) {
        addTarget(plainService, [this](ScriptedTarget&, HttpExchange& exchange) {
            if (receivedRequests() == 1)
                sleepFor(2500ms);
            else
                exchange.respond({503, {{"X-Not-Executed", "1"}}, ""}).IgnoreError();
        });
    }
    start();
    const auto begin = std::chrono::steady_clock::now();
    const auto answer = client().send(request("/safe/x"));
    ASSERT_TRUE(answer.ok()) << answer.status();
    EXPECT_EQ(answer->status, 504);
    EXPECT_GE(std::chrono::steady_clock::now() - begin, 1950ms);
    EXPECT_LT(std::chrono::steady_clock::now() - begin, 2300ms);
}

// Guards against the answer of a sound target that is given up during a short pause and lost because the other target
// fails.
TEST_F(SilentTargetTest, PauseBeforeAPlainAnswerIsAwaited)
{
    for (int i = 0; i < 2; ++i) {
        addTarget(plainService, [this](ScriptedTarget& target, HttpExchange& exchange) {
            if (receivedRequests() > 1)
                return exchange.abort();
            sleepFor(1200ms);
            answerWhole(target, exchange);
        });
    }
    start();
    const auto answer = client().send(request("/safe/x"));
    ASSERT_TRUE(answer.ok()) << answer.status();
    EXPECT_EQ(answer->status, 200);
    EXPECT_EQ(receivedRequests(), 1u);
}

// Guards against a plain request that waits for a silent target until its deadline although another one could answer.
TEST_F(SilentTargetTest, SilentPlainTargetIsGivenUpBeforeTheDeadline)
{
    for (int i = 0; i < 2; ++i) {
        addTarget(plainService, [this](ScriptedTarget& target, HttpExchange& exchange) {
            if (receivedRequests() == 1)
                sleepFor(2500ms);
            else
                answerWhole(target, exchange);
        });
    }
    start();
    const auto begin = std::chrono::steady_clock::now();
    const auto answer = client().send(request("/safe/x"));
    ASSERT_TRUE(answer.ok()) << answer.status();
    EXPECT_EQ(answer->status, 200);
    EXPECT_LT(std::chrono::steady_clock::now() - begin, 1800ms);
}

// Guards against a stalled stream that is not resumed on another target because its target sends a byte now and then.
TEST_F(SilentTargetTest, TrickledEventIsResumedOnAnotherTarget)
{
    const auto script = [this](ScriptedTarget& target, HttpExchange& exchange) {
        if (receivedRequests() != 1)
            return events(5)(target, exchange);
        exchange.beginStream(200, sealedHeaders(exchange.request())).IgnoreError();
        exchange.write(expectedEvents(2) + "id: 3\ndata: ").IgnoreError();
        while (exchange.write("e").ok() && !exchange.isPeerGone())
            sleepFor(50ms);
    };
    addTarget(engineService, script);
    addTarget(engineService, script);
    start();
    expectWhole(5, 2);
}

} // namespace
} // namespace lychee::gateway
