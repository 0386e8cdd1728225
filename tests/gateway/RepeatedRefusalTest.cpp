// Faulty targets that write an earlier answer once more on a kept connection.
#include "tests/gateway/RelayFixture.h"

namespace lychee::gateway {
namespace {

class RepeatedRefusalTest : public RelayFixture {
protected:
    static std::string attemptOf(const HttpRequest& request)
    {
        return std::string(request.headers.find("X-Attempt-Id").value_or(""));
    }

    static HttpRequest requestAs(const std::string& path, const std::string& attempt)
    {
        HttpRequest result = request(path);
        result.headers.set("X-Attempt-Id", attempt);
        return result;
    }

    // Answers the first request on a connection. Before its answers to later ones it writes `extra`, which bears no
    // attempt id.
    RawTarget::Script extraAnswerOnReuse(const std::string& extra)
    {
        return [this, extra](RawTargetConnection& connection, const HttpRequest& request) {
            ++runs_[attemptOf(request)];
            if (connection.requestCount() > 1) {
                ++repeated_;
                connection.write(extra);
                sleepFor(20ms);
            }
            connection.write(
                rawAnswer(fmt::format("200 OK\r\nX-Attempt-Id: {}\r\nX-Response-Seal: seal\r\n", attemptOf(request)),
                    "answer to " + attemptOf(request)));
        };
    }

    std::map<std::string, int> runs_;
    std::atomic<int> repeated_{0};
};

// Guards against a request that runs twice, or is reported as not run, because a repeated refusal of the same attempt
// is taken for the answer to its second send. The target no longer holds the adapter, and loads it.
TEST_F(RepeatedRefusalTest, SecondSendOfAnAttemptUsesAnotherConnection)
{
    const auto loaded = std::make_shared<bool>(false);
    addRawTarget(engineService, [this, loaded](RawTargetConnection& connection, const HttpRequest& request) {
        const std::string id = fmt::format("X-Attempt-Id: {}\r\n", attemptOf(request));
        const std::string refusal = rawAnswer("421 Misdirected Request\r\nX-Not-Executed: 1\r\n" + id, "");
        if (!*loaded) {
            connection.write(refusal);
            return;
        }
        ++runs_[attemptOf(request)];
        if (connection.requestCount() > 1) {
            connection.write(refusal);
            sleepFor(20ms);
        }
        connection.write(rawAnswer("200 OK\r\nX-Response-Seal: seal\r\n" + id, expectedEvents(3)));
    });
    start();
    context_.placementReached = true;
    context_.ensureAdapter = [=](const TargetId&, const ModelId&, const AdapterId&, TimePoint) {
        *loaded = true;
        return absl::OkStatus();
    };
    fleet::Holdings holdings;
    holdings.models.push_back({ModelId("m"), 1, {AdapterId("a1")}});
    relayDuty_->run([&] { context_.registry.updateHoldings(TargetId("raw0"), fleet::TargetIncarnation(1), holdings); });
    HttpRequest adapted = requestAs("/once/x", "id-1");
    adapted.headers.set("X-Model", "m/a1");
    const auto stream = client().open(adapted);
    ASSERT_TRUE(stream.ok()) << stream.status();
    EXPECT_EQ((*stream)->status(), 200);
    EXPECT_EQ((*stream)->readBody().value(), expectedEvents(3));
    EXPECT_EQ(runs_["id-1"], 1);
}

// Guards against a refusal without an attempt id that is taken for the answer to a request that is running: its caller
// is told that it has not run, or it runs at a second target.
TEST_F(RepeatedRefusalTest, RefusalWithoutAnIdProvesNothingOnAReusedConnection)
{
    for (const int targets : {1, 2}) {
        context_.registry = {};
        for (int i = 0; i < targets; ++i)
            addRawTarget(plainService,
                extraAnswerOnReuse(rawAnswer("503 Service Unavailable\r\nX-Not-Executed: 1\r\n", "full")));
        start();
        for (int i = 0; i < 6; ++i) {
            const std::string attempt = fmt::format("id-{}-{}", targets, i);
            const auto answer = client().send(requestAs("/unsafe/x", attempt));
            ASSERT_TRUE(answer.ok()) << answer.status();
            EXPECT_EQ(answer->status, 200);
            EXPECT_EQ(answer->body, "answer to " + attempt);
            EXPECT_EQ(runs_[attempt], 1);
        }
        callers_.reset();
    }
    EXPECT_GT(repeated_, 0);
}

// Guards against an answer without an attempt id on a reused connection that reaches another caller.
TEST_F(RepeatedRefusalTest, AnswerWithoutAnIdIsNotDeliveredOnAReusedConnection)
{
    addRawTarget(
        plainService, extraAnswerOnReuse(rawAnswer("200 OK\r\nX-Response-Seal: seal\r\n", "answer to another")));
    start();
    for (int i = 0; i < 3; ++i) {
        const std::string attempt = fmt::format("id-{}", i);
        const auto answer = client().send(requestAs("/safe/x", attempt));
        ASSERT_TRUE(answer.ok()) << answer.status();
        EXPECT_EQ(answer->body, "answer to " + attempt);
    }
    EXPECT_EQ(repeated_, 2);
}

// Guards against a status without a seal that promises the caller that a request has not run, although the target has
// not stated it.
TEST_F(RepeatedRefusalTest, UnsealedStatusIsNotForwardedAsAPromise)
{
    const std::array<int, 4> promises{408, 421, 429, 503};
    int current = 0;
    addTarget(plainService, [&](ScriptedTarget&, HttpExchange& exchange) {
        exchange.respond({current, {{"X-Attempt-Id", "id-1"}}, "no seal"}).IgnoreError();
    });
    start();
    for (const int status : promises) {
        current = status;
        const auto answer = client().send(request("/unsafe/x"));
        ASSERT_TRUE(answer.ok()) << answer.status();
        // Only 421 states by itself that the request has not run.
        EXPECT_EQ(answer->status, status == 421 ? 503 : 502) << status;
    }
}

} // namespace
} // namespace lychee::gateway
