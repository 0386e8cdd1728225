// Streams that break off and whose next target does not continue them.
#include "tests/gateway/RelayFixture.h"
#include "tests/support/RawConnection.h"

namespace lychee::gateway {
namespace {

// The answer of a target to the request for the rest of an interrupted stream.
struct NextAnswer {
    std::string name;
    HttpResponse response;
};

class InterruptedStreamTest : public RelayFixture {
protected:
    // Both targets break the stream off before event 4 when they receive it first, and give `next` afterwards.
    void startWith(const HttpResponse& next)
    {
        for (int i = 0; i < 2; ++i)
            addTarget(engineService, [this, next](ScriptedTarget& target, HttpExchange& exchange) {
                if (receivedRequests() == 1)
                    return events(6, 4)(target, exchange);
                HttpResponse response = next;
                response.headers.set("X-Attempt-Id", *exchange.request().headers.find("X-Attempt-Id"));
                exchange.respond(response).IgnoreError();
            });
        start();
        relayDuty_->run([&] { context_.retryBudget.setOptions({0, 1.5, 10s}); });
    }
};

class InterruptedStreamAnswerTest : public InterruptedStreamTest, public testing::WithParamInterface<NextAnswer> { };

// Guards against the head or text of another answer in the middle of a stream, and against a stream that ends as if it
// were complete.
TEST_P(InterruptedStreamAnswerTest, IsAbortedAfterItsLastEvent)
{
    startWith(GetParam().response);
    test::RawConnection connection({"127.0.0.1", callers_->port()});
    connection.write(
        "POST /stream/x HTTP/1.1\r\nHost: a\r\nX-Attempt-Id: id-1\r\nX-Model: m\r\n"
        "X-Token-Count: 100,40\r\nX-Deadline-Ms: 5000\r\nConnection: close\r\nContent-Length: 4\r\n\r\nbody");
    const auto received = connection.readUntilClosed();
    ASSERT_TRUE(received.has_value());
    const std::size_t body = received->find("\r\n\r\n");
    ASSERT_NE(body, std::string::npos);
    std::string text = received->substr(body + 4);
    std::string events;
    while (!text.empty()) {
        const std::size_t size = std::stoul(text, nullptr, 16);
        const std::size_t begin = text.find("\r\n") + 2;
        ASSERT_NE(size, 0u) << "the stream ends as complete: " << *received;
        ASSERT_GE(text.size(), begin + size + 2) << *received;
        events += text.substr(begin, size);
        text.erase(0, begin + size + 2);
    }
    EXPECT_EQ(events, expectedEvents(3));
    EXPECT_EQ(receivedRequests(), 2u);
}

INSTANTIATE_TEST_SUITE_P(Answers, InterruptedStreamAnswerTest,
    testing::Values(NextAnswer{"RejectedNotRun", {400, {{"X-Not-Executed", "1"}}, "no id\n\n"}},
        NextAnswer{"Rejected", {400, {{"X-Response-Seal", "seal"}}, "bad\n\n"}},
        NextAnswer{"NotFound", {404, {{"X-Response-Seal", "seal"}}, "none\n\n"}},
        NextAnswer{"Failed", {500, {{"X-Response-Seal", "seal"}}, "failed\n\n"}},
        NextAnswer{"UnsealedFailure", {500, {}, "failed\n\n"}},
        NextAnswer{"Full", {503, {{"X-Not-Executed", "1"}}, "full\n\n"}},
        NextAnswer{"Misdirected", {421, {{"X-Not-Executed", "1"}}, "other\n\n"}},
        NextAnswer{"NoContent", {204, {{"X-Response-Seal", "seal"}}, ""}},
        NextAnswer{"Text", {200, {{"X-Response-Seal", "seal"}, {"Content-Type", "text/plain"}}, "text\n\nmore"}},
        NextAnswer{"Json", {200, {{"X-Response-Seal", "seal"}, {"Content-Type", "application/json"}}, "{}\n\n"}},
        NextAnswer{"Unsealed", {200, {{"Content-Type", "text/event-stream"}}, "id: 4\ndata: e4\n\n"}}),
    [](const auto& info) { return info.param.name; });

// Guards against an interrupted stream that is aborted although a further target could continue it after one has
// rejected it without running it.
TEST_F(InterruptedStreamTest, IsContinuedAfterARejection)
{
    for (int i = 0; i < 2; ++i)
        addTarget(engineService, [this](ScriptedTarget& target, HttpExchange& exchange) {
            if (receivedRequests() == 2)
                exchange.respond({400, {{"X-Not-Executed", "1"}}, "no id"}).IgnoreError();
            else
                events(6, receivedRequests() == 1 ? 4 : 0)(target, exchange);
        });
    start();
    const auto stream = client().open(request("/stream/x"));
    ASSERT_TRUE(stream.ok()) << stream.status();
    const auto body = (*stream)->readBody();
    ASSERT_TRUE(body.ok()) << body.status();
    EXPECT_EQ(*body, expectedEvents(6));
}

} // namespace
} // namespace lychee::gateway
