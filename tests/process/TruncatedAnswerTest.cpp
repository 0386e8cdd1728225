// Tests, with real processes, that an answer of a target whose end proves nothing is not passed on or stored as a whole
// one.
#include "protocol/HeaderNames.h"
#include "tests/support/Deployment.h"

#include <gtest/gtest.h>

#include <thread>

namespace lychee::test {
namespace {

using namespace std::chrono_literals;

constexpr auto requestLimit = 20000ms;
constexpr int answerTokens = 40;

class TruncatedAnswer : public testing::Test {
protected:
    static DeploymentOptions options()
    {
        DeploymentOptions options;
        options.dataCentres = 1;
        options.instancesPerDataCentre = 1;
        options.models = 1;
        options.adapters = 0;
        options.engineFlags = {"--tokens-per-second=200"};
        options.platformFlags = {"--weight-bytes-per-second=100000000000"};
        return options;
    }

    explicit TruncatedAnswer(const DeploymentOptions& options = TruncatedAnswer::options())
        : deployment_(LYCHEE_BUILD_DIR, options)
    {
    }

    void SetUp() override { deployment_.configure(); }

    TestHttpClient client() { return {deployment_.instance(0).callers, requestLimit}; }

    absl::StatusOr<HttpResponse> send(const HttpRequest& request) { return client().send(request); }

    // The next answer of `target` has no length, and its connection ends regularly in the middle of the answer.
    static void cutNextAnswer(Standin& target, const std::string& path, int afterEvents = 0)
    {
        target.postFault({{"path", path}, {"kind", "no_length"}, {"count", 1}});
        target.postFault({{"path", path}, {"kind", "drop_answer"}, {"count", 1}, {"after_events", afterEvents},
            {"regular_end", true}});
    }

    void cutNextAnswerOfEngines(int afterEvents = 0)
    {
        for (std::size_t i = 0; i < deployment_.engineCount(); ++i)
            cutNextAnswer(deployment_.engine(i), "/v1/chat", afterEvents);
    }

    void expectWholeStream(const std::string& prompt)
    {
        TestHttpClient connection = client();
        const auto opened = connection.open(Deployment::chat("model-0", prompt, answerTokens, true));
        ASSERT_TRUE(opened.ok()) << opened.status();
        ASSERT_EQ((*opened)->status(), 200);
        const auto text = readCompletion(**opened);
        ASSERT_TRUE(text.ok()) << text.status();
        EXPECT_EQ(*text, Deployment::expectedText("model-0", prompt, answerTokens));
    }

    Deployment deployment_;
};

std::string runOf(const HttpResponse& response) { return std::string(response.headers.find(header::run).value_or("")); }

// Guards against a cut answer of a call that may run once that is passed on, stored and replayed as a whole one.
TEST_F(TruncatedAnswer, OfACallThatRunsOnceIsAnUnknownOutcome)
{
    for (std::size_t i = 0; i < deployment_.serviceCount(); ++i)
        cutNextAnswer(deployment_.service(i), "/orders");
    const HttpRequest order = Deployment::order("cut-key", "two poles");
    const auto cut = send(order);
    ASSERT_TRUE(cut.ok()) << cut.status();
    EXPECT_EQ(cut->status, 502) << cut->body;
    EXPECT_EQ(runOf(*cut), "unknown");
    const auto repeated = send(order);
    ASSERT_TRUE(repeated.ok()) << repeated.status();
    EXPECT_NE(repeated->status, 200) << repeated->body;
    EXPECT_EQ(runOf(*repeated), "unknown");
    EXPECT_EQ(deployment_.executions("cut-key"), 1u);
}

// Guards against a cut answer of an idempotent call that is passed on as a whole one instead of being asked for again.
TEST_F(TruncatedAnswer, OfAnIdempotentCallIsAskedForAgain)
{
    // Only one service cuts its answer: after a failure, a target gets no requests for a while.
    Standin& service = deployment_.service(0);
    cutNextAnswer(service, "/stock");
    Deployment::await("a cut answer", [&] {
        const auto answer = send(Deployment::stock("poles"));
        EXPECT_TRUE(answer.ok()) << answer.status();
        if (answer.ok()) {
            EXPECT_EQ(answer->status, 200) << answer->body;
            const auto body = nlohmann::json::parse(answer->body, nullptr, false);
            EXPECT_TRUE(body.is_object() && body["target"] == "/stock/poles") << answer->body;
        }
        return service.stats()["faults_taken"].get<int>() > 0;
    });
}

// Guards against a cut answer of a completion that is passed on as a whole one.
TEST_F(TruncatedAnswer, OfACompletionIsAskedForAgain)
{
    cutNextAnswerOfEngines();
    const auto answer = send(Deployment::chat("model-0", "whole", answerTokens, false));
    ASSERT_TRUE(answer.ok()) << answer.status();
    EXPECT_EQ(answer->status, 200) << answer->body;
    ASSERT_TRUE(nlohmann::json::parse(answer->body, nullptr, false).is_object()) << answer->body;
    EXPECT_EQ(completionText(answer->body), Deployment::expectedText("model-0", "whole", answerTokens));
}

// Guards against a stream without length that ends as complete although its end marker is missing.
TEST_F(TruncatedAnswer, OfAStreamGoesOnAtTheNextToken)
{
    cutNextAnswerOfEngines(answerTokens / 2);
    expectWholeStream("cut between events");
}

// Guards against streams without length that are refused although their end marker shows that they are whole.
TEST_F(TruncatedAnswer, StreamWithoutLengthIsCompleteAtItsEndMarker)
{
    for (std::size_t i = 0; i < deployment_.engineCount(); ++i)
        deployment_.engine(i).postFault({{"path", "/v1/chat"}, {"kind", "no_length"}, {"count", -1}});
    expectWholeStream("without length");
}

class RefusalWithoutLength : public TruncatedAnswer {
protected:
    static constexpr auto workTime = 3000ms;

    static DeploymentOptions options()
    {
        DeploymentOptions options = TruncatedAnswer::options();
        options.services = 1;
        options.serviceFlags = {"--slots=1", fmt::format("--work-ms={}", workTime.count())};
        options.ordersPatience = 2 * workTime;
        return options;
    }

    RefusalWithoutLength()
        : TruncatedAnswer(options())
    {
    }
};

// Guards against refusals whose header proves that the call did not run, but which are taken for an unknown outcome
// because the end of their body proves nothing.
TEST_F(RefusalWithoutLength, ProvesByItsHeaderThatTheCallDidNotRun)
{
    Standin& service = deployment_.service(0);
    std::jthread busy([&] { EXPECT_TRUE(send(Deployment::order("first", "two poles")).ok()); });
    Deployment::await("the first order runs", [&] { return service.stats()["running"].get<int>() > 0; });
    service.postFault({{"path", "/orders"}, {"kind", "no_length"}, {"count", -1}});
    const auto refused = send(Deployment::order("second", "two poles"));
    ASSERT_TRUE(refused.ok()) << refused.status();
    EXPECT_EQ(refused->status, 503) << refused->body;
    EXPECT_EQ(runOf(*refused), "no");
    EXPECT_EQ(deployment_.executions("second"), 0u);
}

} // namespace
} // namespace lychee::test
