#include "gateway/RequestRelay.h"

#include "platform/Headers.h"
#include "tests/support/TestHttpClient.h"

#include <gtest/gtest.h>

#include <thread>

namespace lychee::gateway {
namespace {

using namespace std::chrono_literals;

const ServiceId engineService("hall");
const ServiceId plainService("desk");

// A target whose answers are defined by the test.
struct ScriptedTarget {
    std::unique_ptr<HttpServer> server;
    std::vector<HttpRequest> requests;
    std::atomic<int> cancelled{0};
};

// A relay, its caller and scripted targets in one process.
class RelayTest : public testing::Test {
protected:
    using Script = std::function<void(ScriptedTarget&, HttpExchange&)>;

    ~RelayTest() override
    {
        callers_.reset();
        for (auto& target : targets_)
            target->server.reset();
        std::this_thread::sleep_for(50ms);
    }

    void addTarget(const ServiceId& service, const Script& script)
    {
        targets_.push_back(std::make_unique<ScriptedTarget>());
        ScriptedTarget& target = *targets_.back();
        target.server
            = HttpServer::listen(*targetDuty_, {"127.0.0.1", 0}, {}, [&target, script](HttpExchange& exchange) {
                  target.requests.push_back(exchange.request());
                  script(target, exchange);
              }).value();
        fleet::TargetRecord record;
        record.id = TargetId(fmt::format("t{}", targets_.size() - 1));
        record.service = service;
        record.endpoint = {"127.0.0.1", target.server->port()};
        record.incarnation = fleet::TargetIncarnation(1);
        record.slots = 8;
        record.holdings.models.push_back({ModelId("m"), 1, {}});
        relayDuty_->run([&] { context_.registry.update(record); });
    }

    void start()
    {
        std::vector<fleet::Route> routes(3);
        routes[0] = {fleet::RouteId("stream"), "a", "/stream/", fleet::RequestKind::Streaming, 3s, 300ms, 100ms, 0,
            {{engineService, 1}}, 2, true};
        routes[1] = {fleet::RouteId("safe"), "a", "/safe/", fleet::RequestKind::Idempotent, 2s, 300ms, 1s, 0,
            {{plainService, 1}}, 2, false};
        routes[2] = {fleet::RouteId("unsafe"), "a", "/unsafe/", fleet::RequestKind::NonIdempotent, 1s, 300ms, 1s, 0,
            {{plainService, 1}}, 2, false};
        std::vector<fleet::Service> services(2);
        services[0].id = engineService;
        services[0].engine.emplace();
        services[0].engine->cacheTokens = 1000000;
        services[0].engine->models.push_back({ModelId("m"), 1, 1, 3, 5s, 1s, 1s});
        services[1].id = plainService;
        context_.routes = std::make_shared<Published<fleet::RouteTable>>(
            fleet::RouteTable::create(ConfigurationVersion(1), routes, services, {}));
        context_.retryBudget.setOptions({0.2, 50, 10s});
        callers_ = HttpServer::listen(*relayDuty_, {"127.0.0.1", 0}, {}, [this](HttpExchange& exchange) {
            RelayedRequest<platform::CallerDialect>(context_, exchange).run();
        }).value();
    }

    test::TestHttpClient client() { return {{"127.0.0.1", callers_->port()}, 5000ms}; }

    static HttpRequest request(const std::string& path)
    {
        return {"POST", path,
            {{"Host", "a"}, {"X-Attempt-Id", "id-1"}, {"X-Model", "m"}, {"X-Token-Count", "100,40"},
                {"X-Deadline-Ms", "3000"}},
            "the body"};
    }

    static HttpHeaders sealedHeaders(const HttpRequest& request)
    {
        return {{"X-Attempt-Id", std::string(request.headers.find("X-Attempt-Id").value_or(""))},
            {"X-Response-Seal", "seal"}};
    }

    static void answerWhole(ScriptedTarget&, HttpExchange& exchange)
    {
        exchange.respond({200, sealedHeaders(exchange.request()), "answer to " + exchange.request().body})
            .IgnoreError();
    }

    // Streams the events after Last-Event-Id up to `count`. Aborts the stream before event `breakBefore` if that is not
    // 0; `cutInsideEvent` makes it send a part of that event first.
    static Script events(int count, int breakBefore = 0, bool cutInsideEvent = false)
    {
        return [=](ScriptedTarget& target, HttpExchange& exchange) {
            const int after = std::stoi(std::string(exchange.request().headers.find("Last-Event-Id").value_or("0")));
            exchange.beginStream(200, sealedHeaders(exchange.request())).IgnoreError();
            for (int id = after + 1; id <= count; ++id) {
                if (id == breakBefore) {
                    if (cutInsideEvent)
                        exchange.write(fmt::format("id: {}\nda", id)).IgnoreError();
                    sleepFor(10ms);
                    exchange.abort();
                    return;
                }
                sleepFor(5ms);
                if (!exchange.write(fmt::format("id: {}\ndata: e{}\n\n", id, id)).ok() || exchange.isPeerGone()) {
                    ++target.cancelled;
                    return;
                }
            }
            exchange.endStream().IgnoreError();
        };
    }

    static std::string expectedEvents(int count)
    {
        std::string text;
        for (int id = 1; id <= count; ++id)
            text += fmt::format("id: {}\ndata: e{}\n\n", id, id);
        return text;
    }

    std::size_t receivedRequests() const
    {
        std::size_t count = 0;
        for (const auto& target : targets_)
            count += target->requests.size();
        return count;
    }

    std::shared_ptr<RuntimeClock> clock_ = RuntimeClock::createRunning();
    std::unique_ptr<Duty> relayDuty_ = Duty::start("relay", clock_).value();
    std::unique_ptr<Duty> targetDuty_ = Duty::start("targets", clock_).value();
    RelayContext context_;
    std::vector<std::unique_ptr<ScriptedTarget>> targets_;
    std::unique_ptr<HttpServer> callers_;
};

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

} // namespace
} // namespace lychee::gateway
