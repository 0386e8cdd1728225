#include "tests/gateway/RelayFixture.h"
#include "tests/support/RawConnection.h"

namespace lychee::gateway {
namespace {

class RelayTest : public RelayFixture { };

// Guards against a request or answer that the relay changes, and against a deadline for the target that is later than
// the one of the route.
TEST_F(RelayTest, PassesRequestAndAnswerUnchanged)
{
    addTarget(plainService, answerWhole);
    start();
    const auto answer = client().send(request("/unsafe/x?q=1"));
    ASSERT_TRUE(answer.ok()) << answer.status();
    EXPECT_EQ(answer->status, 200);
    EXPECT_EQ(answer->body, "answer to the body");
    EXPECT_EQ(answer->headers.find("X-Response-Seal"), "seal");
    ASSERT_EQ(receivedRequests(), 1u);
    const HttpRequest& sent = targets_[0]->requests[0];
    EXPECT_EQ(sent.target, "/unsafe/x?q=1");
    EXPECT_EQ(sent.headers.find("X-Target-Instance"), "t0");
    EXPECT_LE(std::stoi(std::string(*sent.headers.find("X-Deadline-Ms"))), 1000);
}

// Guards against a caller that is told that its route does not exist by an instance that knows that it has an old
// configuration.
TEST_F(RelayTest, AnUnknownRouteIsNotDeniedWhileTheConfigurationIsOutdated)
{
    std::atomic<bool> outdated{true};
    context_.isConfigurationOutdated = [&] { return outdated.load(); };
    addTarget(plainService, answerWhole);
    start();
    const auto early = client().send(request("/added/x"));
    ASSERT_TRUE(early.ok()) << early.status();
    EXPECT_EQ(early->status, 503);
    EXPECT_TRUE(early->headers.find("Retry-After").has_value());
    outdated = false;
    EXPECT_EQ(client().send(request("/added/x"))->status, 404);
}

// Guards against a request that reaches a target although its caller left before it was read, as callers of a busy
// instance do: an idle connection to the target takes it before the end of the caller's connection is noticed.
TEST_F(RelayTest, ARequestOfACallerThatLeftBeforeItWasReadIsNotSent)
{
    addTarget(plainService, answerWhole);
    start();
    ASSERT_EQ(client().send(request("/safe/x"))->status, 200);
    for (const char* path : {"/safe/late", "/unsafe/late"}) {
        relayDuty_->run([&] {
            test::RawConnection connection({"127.0.0.1", callers_->port()});
            connection.write(fmt::format("POST {} HTTP/1.1\r\nHost: a\r\nX-Attempt-Id: left\r\n"
                                         "X-Deadline-Ms: 5000\r\nContent-Length: 4\r\n\r\nbody",
                path));
            connection.finishSending();
            std::this_thread::sleep_for(20ms);
        });
        std::this_thread::sleep_for(100ms);
    }
    targetDuty_->run([&] { EXPECT_EQ(receivedRequests(), 1u); });
}

// Guards against a non-idempotent request that is sent twice, and against one that is reported as not run after it was
// sent. Both targets close the connection without an answer.
TEST_F(RelayTest, NonIdempotentRequestIsSentOnlyOnce)
{
    for (int i = 0; i < 2; ++i)
        addTarget(plainService, [](ScriptedTarget&, HttpExchange& exchange) { exchange.abort(); });
    start();
    const auto answer = client().send(request("/unsafe/x"));
    ASSERT_TRUE(answer.ok()) << answer.status();
    EXPECT_EQ(answer->status, 502);
    EXPECT_EQ(receivedRequests(), 1u);
}

// Guards against a non-idempotent request that fails although the target states that it has not run it.
TEST_F(RelayTest, NonIdempotentRequestIsSentAgainIfItHasNotRun)
{
    for (int i = 0; i < 2; ++i)
        addTarget(plainService, [](ScriptedTarget& target, HttpExchange& exchange) {
            // The first target that receives the request is full.
            static int received = 0;
            if (++received == 1)
                exchange.respond({503, {{"X-Not-Executed", "1"}}, ""}).IgnoreError();
            else
                answerWhole(target, exchange);
        });
    start();
    const auto answer = client().send(request("/unsafe/x"));
    ASSERT_TRUE(answer.ok()) << answer.status();
    EXPECT_EQ(answer->status, 200);
    EXPECT_EQ(receivedRequests(), 2u);
}

// Guards against a refusal without a Retry-After header, and against waiting for the deadline when all targets are
// full.
TEST_F(RelayTest, RefusesAtOnceWhenAllTargetsAreFull)
{
    addTarget(plainService, [](ScriptedTarget&, HttpExchange& exchange) {
        exchange.respond({503, {{"X-Not-Executed", "1"}}, ""}).IgnoreError();
    });
    start();
    const auto begin = std::chrono::steady_clock::now();
    const auto answer = client().send(request("/unsafe/x"));
    ASSERT_TRUE(answer.ok()) << answer.status();
    EXPECT_EQ(answer->status, 503);
    EXPECT_TRUE(answer->headers.find("Retry-After").has_value());
    EXPECT_LT(std::chrono::steady_clock::now() - begin, 500ms);
}

// Guards against a target that says that it fails when it turns away many requests, and gets more of them from this
// instance or its peers; and against callers who wait for it.
TEST_F(RelayTest, ABrittleTargetThatTurnsARequestAwayGetsNoneForATime)
{
    addTarget(plainService, [](ScriptedTarget&, HttpExchange& exchange) {
        exchange.respond({503, {{"X-Not-Executed", "1"}, {"Server-Brittle", "3"}}, ""}).IgnoreError();
    });
    Duration announced{0};
    context_.turnedAway = [&](const TargetId&, fleet::TargetIncarnation, Duration pause) { announced = pause; };
    start();
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < 20; ++i) {
        const auto answer = client().send(request("/safe/x"));
        EXPECT_EQ(answer->status, 503);
        EXPECT_TRUE(answer->headers.find("Retry-After").has_value());
    }
    EXPECT_LT(std::chrono::steady_clock::now() - begin, 900ms);
    EXPECT_EQ(receivedRequests(), 1u);
    EXPECT_GE(announced, 900ms);
}

// Guards against an idempotent request that fails with its first target although another target could answer.
TEST_F(RelayTest, IdempotentRequestGoesToASecondTarget)
{
    for (int i = 0; i < 2; ++i)
        addTarget(plainService, [](ScriptedTarget& target, HttpExchange& exchange) {
            static int received = 0;
            if (++received == 1)
                exchange.abort();
            else
                answerWhole(target, exchange);
        });
    start();
    const auto answer = client().send(request("/safe/x"));
    ASSERT_TRUE(answer.ok()) << answer.status();
    EXPECT_EQ(answer->status, 200);
}

// Guards against an answer without the target's seal, which may be corrupt, that reaches the caller as a success.
TEST_F(RelayTest, AnswerWithoutSealIsAnError)
{
    addTarget(plainService, [](ScriptedTarget&, HttpExchange& exchange) {
        exchange.respond({200, {}, "spoiled"}).IgnoreError();
    });
    start();
    const auto answer = client().send(request("/unsafe/x"));
    ASSERT_TRUE(answer.ok()) << answer.status();
    EXPECT_EQ(answer->status, 502);
}

// Guards against a stream that loses, repeats or merges events when its target aborts it between two events or inside
// one.
TEST_F(RelayTest, InterruptedStreamResumesOnAnotherTarget)
{
    for (const bool cutInsideEvent : {false, true}) {
        targets_.clear();
        context_.registry = {};
        for (int i = 0; i < 2; ++i) {
            const auto received = std::make_shared<int>(0);
            addTarget(engineService, [=, this](ScriptedTarget& target, HttpExchange& exchange) {
                const bool first = receivedRequests() == 1;
                events(12, first ? 7 : 0, cutInsideEvent)(target, exchange);
            });
        }
        start();
        const auto stream = client().open(request("/stream/x"));
        ASSERT_TRUE(stream.ok()) << stream.status();
        const auto body = (*stream)->readBody();
        ASSERT_TRUE(body.ok()) << body.status();
        EXPECT_EQ(*body, expectedEvents(12));
        EXPECT_EQ(receivedRequests(), 2u);
        callers_.reset();
    }
}

// Guards against an interrupted stream that cannot be resumed on another target and still ends as if it were complete.
TEST_F(RelayTest, StreamThatCannotBeResumedIsAborted)
{
    addTarget(engineService, events(12, 7));
    start();
    const auto stream = client().open(request("/stream/x"));
    ASSERT_TRUE(stream.ok()) << stream.status();
    EXPECT_FALSE((*stream)->readBody().ok());
}

// Guards against targets that keep processing requests of callers that have disconnected.
TEST_F(RelayTest, TargetStopsWhenTheCallerDisconnects)
{
    addTarget(engineService, events(1000));
    start();
    {
        const auto stream = client().open(request("/stream/x"));
        ASSERT_TRUE(stream.ok()) << stream.status();
        ASSERT_TRUE((*stream)->next().ok());
    }
    const auto limit = std::chrono::steady_clock::now() + 500ms;
    while (targets_[0]->cancelled == 0 && std::chrono::steady_clock::now() < limit)
        std::this_thread::sleep_for(10ms);
    EXPECT_EQ(targets_[0]->cancelled, 1);
}

// Guards against a request that takes longer than the timeout of its route.
TEST_F(RelayTest, EndsAtTheTimeoutOfTheRoute)
{
    addTarget(plainService, [](ScriptedTarget&, HttpExchange& exchange) {
        sleepFor(1500ms);
        exchange.abort();
    });
    start();
    const auto begin = std::chrono::steady_clock::now();
    const auto answer = client().send(request("/unsafe/x"));
    const auto elapsed = std::chrono::steady_clock::now() - begin;
    ASSERT_TRUE(answer.ok()) << answer.status();
    EXPECT_EQ(answer->status, 504);
    EXPECT_GE(elapsed, 950ms);
    EXPECT_LT(elapsed, 1400ms);
}

// Guards against a faulty target that sends the answer to an earlier request again on the same connection.
TEST_F(RelayTest, SkipsTheAnswerToAnotherRequest)
{
    addTarget(plainService, [](ScriptedTarget& target, HttpExchange& exchange) {
        if (target.requests.size() == 2) {
            HttpHeaders other{{"X-Attempt-Id", "id-0"}, {"X-Response-Seal", "seal"}};
            exchange.respond({200, other, "answer to another"}).IgnoreError();
        }
        answerWhole(target, exchange);
    });
    start();
    test::TestHttpClient caller = client();
    for (int i = 1; i <= 3; ++i) {
        HttpRequest next = request("/safe/x");
        next.headers.set("X-Attempt-Id", fmt::format("id-{}", i));
        next.body = fmt::format("body {}", i);
        const auto answer = caller.send(next);
        ASSERT_TRUE(answer.ok()) << answer.status();
        EXPECT_EQ(answer->status, 200);
        EXPECT_EQ(answer->body, fmt::format("answer to body {}", i));
    }
}

// Guards against a request that is refused because the target has just unloaded the adapter that it needs.
TEST_F(RelayTest, AsksForAnAdapterThatTheTargetNoLongerHolds)
{
    const auto loaded = std::make_shared<bool>(false);
    addTarget(engineService, [=](ScriptedTarget& target, HttpExchange& exchange) {
        if (*loaded)
            events(3)(target, exchange);
        else
            exchange.respond({421, {{"X-Not-Executed", "1"}}, ""}).IgnoreError();
    });
    start();
    context_.placementReached = true;
    context_.ensureAdapter = [=](const TargetId&, const ModelId&, const AdapterId&, TimePoint) {
        *loaded = true;
        return absl::OkStatus();
    };
    fleet::Holdings holdings;
    holdings.models.push_back({ModelId("m"), 1, {AdapterId("a1")}});
    relayDuty_->run([&] { context_.registry.updateHoldings(TargetId("t0"), fleet::TargetIncarnation(1), holdings); });
    HttpRequest adapted = request("/stream/x");
    adapted.headers.set("X-Model", "m/a1");
    const auto stream = client().open(adapted);
    ASSERT_TRUE(stream.ok()) << stream.status();
    EXPECT_EQ((*stream)->status(), 200);
    EXPECT_EQ((*stream)->readBody().value(), expectedEvents(3));
}

// Guards against one slow engine that ends the loading of adapters on all others.
TEST_F(RelayTest, LateAnswerForOneEngineDoesNotSpeakForTheOthers)
{
    addTarget(engineService, events(3));
    addTarget(engineService, events(3));
    start();
    context_.placementReached = true;
    auto asked = std::make_shared<std::vector<TargetId>>();
    context_.ensureAdapter = [=](const TargetId& target, const ModelId&, const AdapterId&, TimePoint) {
        asked->push_back(target);
        return target == asked->front() ? makeError(TransportError::TimedOut, "late") : absl::OkStatus();
    };
    HttpRequest adapted = request("/stream/x");
    adapted.headers.set("X-Model", "m/a1");
    EXPECT_EQ(client().send(adapted)->status, 200);
    EXPECT_EQ(asked->size(), 2u);
    adapted.headers.set("X-Attempt-Id", "id-2");
    EXPECT_EQ(client().send(adapted)->status, 200) << "the next request is refused";
    EXPECT_TRUE(context_.placementReached);
}

// Guards against a call to the placement owner for each request until the owner announces the loaded adapter.
TEST_F(RelayTest, AdapterIsKnownAsSoonAsTheOwnerHasLoadedIt)
{
    addTarget(engineService, events(3));
    start();
    context_.placementReached = true;
    auto asked = std::make_shared<std::atomic<int>>(0);
    context_.ensureAdapter = [=](const TargetId&, const ModelId&, const AdapterId&, TimePoint) {
        ++*asked;
        return absl::OkStatus();
    };
    HttpRequest adapted = request("/stream/x");
    adapted.headers.set("X-Model", "m/a1");
    EXPECT_EQ(client().send(adapted)->status, 200);
    adapted.headers.set("X-Attempt-Id", "id-2");
    EXPECT_EQ(client().send(adapted)->status, 200);
    EXPECT_EQ(asked->load(), 1);
}

// Guards against a request that asks for its adapter on every engine of a large deployment, all of which refuse.
TEST_F(RelayTest, RequestAsksForItsAdapterOnAFewTargetsOnly)
{
    for (int i = 0; i < RelayLimits::maxAdapterRefusals + 2; ++i)
        addTarget(engineService, events(3));
    start();
    context_.placementReached = true;
    auto asked = std::make_shared<std::set<TargetId>>();
    context_.ensureAdapter = [=](const TargetId& target, const ModelId&, const AdapterId&, TimePoint) {
        EXPECT_TRUE(asked->insert(target).second) << target << " is asked again";
        return makeError(TransportError::Stopped, "all places are in use");
    };
    HttpRequest adapted = request("/stream/x");
    adapted.headers.set("X-Model", "m/a1");
    const auto refused = client().send(adapted);
    EXPECT_EQ(refused->status, 503);
    EXPECT_TRUE(refused->headers.find("Retry-After").has_value());
    EXPECT_EQ(asked->size(), static_cast<std::size_t>(RelayLimits::maxAdapterRefusals));
}

// Guards against a request that waits for an owner that does not answer again with each further target.
TEST_F(RelayTest, SilentOwnerIsAskedOnceForARequest)
{
    addTarget(engineService, events(3));
    addTarget(engineService, events(3));
    start();
    context_.placementReached = true;
    auto asked = std::make_shared<std::atomic<int>>(0);
    context_.ensureAdapter = [=](const TargetId&, const ModelId&, const AdapterId&, TimePoint) {
        ++*asked;
        return makeError(TransportError::ConnectionClosed, "silent");
    };
    HttpRequest adapted = request("/stream/x");
    adapted.headers.set("X-Model", "m/a1");
    EXPECT_EQ(client().send(adapted)->status, 503);
    EXPECT_EQ(asked->load(), 1);
}

// Guards against requests without a route or an attempt id that are forwarded, and against 404 while the instance has
// no configuration yet.
TEST_F(RelayTest, DistinguishesUnknownRouteFromMissingConfiguration)
{
    addTarget(plainService, answerWhole);
    start();
    EXPECT_EQ(client().send(request("/elsewhere/x"))->status, 404);
    HttpRequest without = request("/safe/x");
    without.headers.remove("X-Attempt-Id");
    EXPECT_EQ(client().send(without)->status, 400);
    context_.routes->publish(nullptr);
    const auto answer = client().send(request("/safe/x"));
    EXPECT_EQ(answer->status, 503);
    EXPECT_TRUE(answer->headers.find("Retry-After").has_value());
    EXPECT_EQ(receivedRequests(), 0u);
}

// Guards against requests to a target after it has said in an answer that it is about to leave.
TEST_F(RelayTest, TargetThatLeavesGetsNoFurtherRequests)
{
    for (int i = 0; i < 2; ++i) {
        addTarget(plainService, [](ScriptedTarget&, HttpExchange& exchange) {
            HttpHeaders headers = sealedHeaders(exchange.request());
            headers.set("Server-Leaving", "1");
            exchange.respond({200, headers, "last answer"}).IgnoreError();
        });
    }
    start();
    for (int i = 0; i < 2; ++i)
        EXPECT_EQ(client().send(request("/unsafe/x"))->status, 200);
    EXPECT_EQ(client().send(request("/unsafe/x"))->status, 503);
    for (const auto& target : targets_)
        EXPECT_EQ(target->requests.size(), 1u);
}

// Guards against requests to a target within the time for which it has asked to get none.
TEST_F(RelayTest, TargetThatDeclinesForATimeGetsNoRequestsMeanwhile)
{
    addTarget(plainService, [](ScriptedTarget& target, HttpExchange& exchange) {
        if (target.requests.size() > 1)
            return answerWhole(target, exchange);
        HttpHeaders headers{{"X-Not-Executed", "1"}, {"Retry-After", "0.8"}};
        exchange.respond({503, headers, ""}).IgnoreError();
    });
    start();
    for (int i = 0; i < 5; ++i)
        EXPECT_EQ(client().send(request("/unsafe/x"))->status, 503);
    EXPECT_EQ(receivedRequests(), 1u);
    std::this_thread::sleep_for(900ms);
    EXPECT_EQ(client().send(request("/unsafe/x"))->status, 200);
}

// Guards against requests to a target that limits them without a grant, and against a limit that never ends.
TEST_F(RelayTest, LimitedTargetGetsGrantedRequestsOnly)
{
    addTarget(plainService, [](ScriptedTarget& target, HttpExchange& exchange) {
        HttpHeaders headers = sealedHeaders(exchange.request());
        if (target.requests.size() < 3)
            headers.set("Server-Limit", "0.5");
        exchange.respond({200, headers, "answer"}).IgnoreError();
    });
    int asked = 0;
    bool grants = false;
    context_.requestGrant = [&](const fleet::ChosenTarget&, double perSecond, Duration maxWait) {
        EXPECT_EQ(perSecond, 0.5);
        EXPECT_GT(maxWait, Duration(0));
        ++asked;
        return fleet::RequestGrant{grants, grants ? 60ms : 200ms};
    };
    start();
    EXPECT_EQ(client().send(request("/unsafe/x"))->status, 200);
    const auto refused = client().send(request("/unsafe/x"));
    EXPECT_EQ(refused->status, 503);
    EXPECT_TRUE(refused->headers.find("Retry-After"));
    EXPECT_EQ(client().send(request("/unsafe/x"))->status, 503);
    EXPECT_EQ(asked, 1);
    EXPECT_EQ(receivedRequests(), 1u);
    std::this_thread::sleep_for(250ms);
    grants = true;
    const auto begin = std::chrono::steady_clock::now();
    for (int i = 0; i < 3; ++i)
        EXPECT_EQ(client().send(request("/unsafe/x"))->status, 200);
    EXPECT_EQ(asked, 3);
    EXPECT_GE(std::chrono::steady_clock::now() - begin, 120ms) << "granted for later";
}

// Guards against giving up a target that pauses for another one that takes no more requests.
TEST_F(RelayTest, SilentTargetIsNotGivenUpForALimitedOne)
{
    addTarget(plainService, [](ScriptedTarget& target, HttpExchange& exchange) {
        sleepFor(1700ms);
        answerWhole(target, exchange);
    });
    addTarget(plainService, answerWhole);
    context_.requestGrant = [](const fleet::ChosenTarget&, double, Duration) { return fleet::RequestGrant{false, 5s}; };
    start();
    relayDuty_->run([&] {
        context_.registry.recordLimit(TargetId("t1"), fleet::TargetIncarnation(1), 1, currentTime(), currentTime());
    });
    EXPECT_EQ(client().send(request("/safe/x"))->status, 200);
    EXPECT_EQ(targets_[0]->requests.size(), 1u);
}

} // namespace
} // namespace lychee::gateway
