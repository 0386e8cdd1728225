#include "tests/support/Deployment.h"

#include <gtest/gtest.h>

#include <atomic>
#include <thread>

namespace lychee::test {
namespace {

using namespace std::chrono_literals;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr auto requestLimit = 20000ms;
constexpr int tokensPerSecond = 100;

// Settings of the deployment: `inter_byte_timeout_ms`, `silence_ms` and `timeout_ms` of the platform.
constexpr auto interByteTimeout = 2000ms;
constexpr auto peerSilence = 1000ms;
constexpr auto platformTimeout = 1000ms;

// A silent connection is detected after the timeout; the rest is allowance for opening another one and for a busy
// machine.
constexpr auto detectionBound = 2 * interByteTimeout;

class SilentConnection : public testing::Test {
protected:
    static DeploymentOptions options()
    {
        DeploymentOptions options;
        options.dataCentres = 1;
        options.instancesPerDataCentre = 3;
        options.enginesPerDataCentre = 2;
        options.services = 2;
        options.models = 2;
        options.adapters = 1;
        options.ordersPatience = 10000ms;
        options.engineFlags = {fmt::format("--tokens-per-second={}", tokensPerSecond), "--slots=32"};
        options.platformFlags = {"--weight-bytes-per-second=100000000000"};
        return options;
    }

    void SetUp() override { deployment_.configure(); }

    TestHttpClient client(std::size_t instance) { return {deployment_.instance(instance).callers, requestLimit}; }

    static nlohmann::json silence(const std::string& path, int afterEvents = 0)
    {
        return {{"path", path}, {"kind", "silence"}, {"count", 1}, {"after_events", afterEvents}};
    }

    static nlohmann::json silenceOpenConnections()
    {
        return {{"path", "/"}, {"kind", "silence"}, {"scope", "open_connections"}};
    }

    struct Observed {
        absl::StatusOr<std::string> text = absl::UnknownError("not read");
        // Longest time without a token.
        steady_clock::duration longestGap{};
    };

    // Reads a stream of instance 0; increments `opened` once the stream has begun.
    Observed read(const std::string& prompt, int tokens, std::atomic<int>& opened)
    {
        Observed observed;
        TestHttpClient connection = client(0);
        const auto stream = connection.open(Deployment::chat("model-0", prompt, tokens, true));
        ++opened;
        if (!stream.ok()) {
            observed.text = stream.status();
            return observed;
        }
        std::string text;
        std::uint64_t last = 0;
        auto at = steady_clock::now();
        while (true) {
            const auto event = (*stream)->next();
            const auto now = steady_clock::now();
            observed.longestGap = std::max(observed.longestGap, now - std::exchange(at, now));
            if (!event.ok() || !event->has_value()) {
                observed.text = absl::DataLossError(fmt::format("the stream ended after token {}", last));
                return observed;
            }
            if ((*event)->data == "[DONE]") {
                observed.text = text;
                return observed;
            }
            if (std::stoull((*event)->id) != last + 1) {
                observed.text = absl::DataLossError(fmt::format("token {} after token {}", (*event)->id, last));
                return observed;
            }
            ++last;
            text += nlohmann::json::parse((*event)->data)["choices"][0]["delta"].value("content", "");
        }
    }

    // Starts streams, calls `fail` once all have begun, and checks that all are complete and were resumed in time.
    void checkStreams(int count, int tokens, const std::function<void()>& fail)
    {
        std::vector<Observed> observed(static_cast<std::size_t>(count));
        std::vector<std::thread> readers;
        readers.reserve(static_cast<std::size_t>(count));
        std::atomic<int> opened{0};
        for (int i = 0; i < count; ++i) {
            readers.emplace_back(
                [&, i] { observed[static_cast<std::size_t>(i)] = read(fmt::format("stream {}", i), tokens, opened); });
        }
        Deployment::await("all streams have begun", [&] { return opened == count; });
        fail();
        for (std::thread& reader : readers)
            reader.join();
        steady_clock::duration longestDuration{};
        for (int i = 0; i < count; ++i) {
            const Observed& one = observed[static_cast<std::size_t>(i)];
            longestDuration = std::max(longestDuration, one.longestGap);
            ASSERT_TRUE(one.text.ok()) << "stream " << i << ": " << one.text.status();
            EXPECT_EQ(*one.text, Deployment::expectedText("model-0", fmt::format("stream {}", i), tokens));
        }
        fmt::print("{} streams, longest time without a token {} ms\n", count,
            std::chrono::duration_cast<milliseconds>(longestDuration).count());
        EXPECT_LT(longestDuration, detectionBound);
        // Shows that the fault had an effect: at least one stream was silent.
        EXPECT_GE(longestDuration, interByteTimeout / 2);
    }

    // The state of instance `of` in the status of instance `by`; empty when it is not listed.
    std::string shownState(std::size_t by, std::size_t of)
    {
        const nlohmann::json status = deployment_.status(deployment_.instance(by));
        if (!status.is_object())
            return "no status";
        for (const nlohmann::json& instance : status["instances"]) {
            if (instance["id"].get<std::string>().starts_with(deployment_.instance(of).id + "~"))
                return instance["state"];
        }
        return {};
    }

    std::uint64_t version(std::size_t instance)
    {
        const nlohmann::json status = deployment_.status(deployment_.instance(instance));
        return status.is_object() ? status["configuration_version"].get<std::uint64_t>() : 0;
    }

    void expectAnswer(std::size_t instance, const std::string& prompt)
    {
        const auto answer = client(instance).send(Deployment::chat("model-0", prompt, 10, false));
        ASSERT_TRUE(answer.ok()) << answer.status();
        EXPECT_EQ(answer->status, 200) << answer->body;
        EXPECT_EQ(completionText(answer->body), Deployment::expectedText("model-0", prompt, 10));
    }

    Deployment deployment_{LYCHEE_BUILD_DIR, options()};
};

// Guards against a stream that waits forever on a connection that became silent after some tokens.
TEST_F(SilentConnection, StreamSilentAfterSomeTokens)
{
    for (std::size_t i = 0; i < deployment_.engineCount(); ++i)
        deployment_.engine(i).postFault(silence("/v1/chat", 20));
    checkStreams(1, tokensPerSecond, [] {});
}

// Guards against streams that are not resumed when many stop simultaneously, and against retries on other pooled
// connections that are silent too.
TEST_F(SilentConnection, AllOpenEngineConnectionsSilent)
{
    checkStreams(10, 2 * tokensPerSecond, [&] {
        for (std::size_t i = 0; i < deployment_.engineCount(); ++i)
            deployment_.engine(i).postFault(silenceOpenConnections());
    });
    expectAnswer(0, "after the silence");
}

// Guards against writes and reads that wait on silent connections to the platform, and against a call that runs twice
// or not at all because the answer to its claim was lost.
TEST_F(SilentConnection, PlatformSilent)
{
    const auto check = [&](const std::string& key) {
        const auto startedAt = steady_clock::now();
        const auto answer = client(0).send(Deployment::order(key, R"({"poles":1})"));
        const auto elapsed = steady_clock::now() - startedAt;
        ASSERT_TRUE(answer.ok()) << answer.status();
        EXPECT_EQ(answer->status, 200) << key << ": " << answer->body;
        EXPECT_EQ(deployment_.executions(key), 1u) << key;
        // The write times out on one silent connection, and the read that resolves it on another.
        EXPECT_LT(elapsed, 4 * platformTimeout) << key;
        fmt::print("{} took {} ms\n", key, std::chrono::duration_cast<milliseconds>(elapsed).count());
    };
    check("before");
    deployment_.platform().postFault(silenceOpenConnections());
    check("open-connections");
    deployment_.platform().postFault(silence("/tables/transact"));
    check("one-write");
    // A new configuration still reaches all instances.
    const std::uint64_t before = version(2);
    deployment_.platform().postFault(silenceOpenConnections());
    const auto file = deployment_.write("again.ini", deployment_.answers() + "\n");
    Deployment::ToolResult result;
    EXPECT_EQ((result = deployment_.lycheectl(deployment_.instance(1), {"answers", "submit", file.string()})).code, 0)
        << result.output;
    Deployment::await(
        "the new version is in force", [&] { return version(2) > before; }, 5000ms);
}

// Guards against an idempotent call that waits on one silent connection until its deadline although another target or a
// new connection would answer.
TEST_F(SilentConnection, StockCallSilent)
{
    deployment_.service(0).postFault(silence("/stock"));
    steady_clock::duration longestDuration{};
    for (int i = 0; i < 40 && longestDuration < interByteTimeout; ++i) {
        const auto startedAt = steady_clock::now();
        const auto answer = client(0).send(Deployment::stock(fmt::format("item-{}", i)));
        longestDuration = std::max(longestDuration, steady_clock::now() - startedAt);
        ASSERT_TRUE(answer.ok()) << answer.status();
        EXPECT_EQ(answer->status, 200) << answer->body;
    }
    EXPECT_GE(longestDuration, interByteTimeout) << "no call was sent on a silent connection";
    EXPECT_LT(longestDuration, detectionBound);
}

// Guards against retries that use one silent pooled connection after another, each until the timeout.
TEST_F(SilentConnection, AllOpenServiceConnectionsSilent)
{
    // Opens several connections to each service.
    for (std::size_t i = 0; i < deployment_.serviceCount(); ++i) {
        deployment_.service(i).postFault(
            {{"path", "/stock"}, {"kind", "delay"}, {"count", -1}, {"delay_ms", 300}, {"when", "after_effect"}});
    }
    constexpr int calls = 16;
    std::vector<std::thread> callers;
    callers.reserve(calls);
    for (int i = 0; i < calls; ++i)
        callers.emplace_back([&, i] { EXPECT_TRUE(client(0).send(Deployment::stock(fmt::format("{}", i))).ok()); });
    for (std::thread& caller : callers)
        caller.join();
    for (std::size_t i = 0; i < deployment_.serviceCount(); ++i) {
        deployment_.service(i).clearFaults();
        deployment_.service(i).postFault(silenceOpenConnections());
    }
    // The first call may use a silent connection to each service; after that, no silent connection is left in the pool.
    for (const auto bound : {milliseconds(2 * interByteTimeout + interByteTimeout), milliseconds(interByteTimeout)}) {
        const auto startedAt = steady_clock::now();
        const auto answer = client(0).send(Deployment::stock("after"));
        const auto elapsed = std::chrono::duration_cast<milliseconds>(steady_clock::now() - startedAt);
        ASSERT_TRUE(answer.ok()) << answer.status();
        EXPECT_EQ(answer->status, 200) << answer->body;
        EXPECT_LT(elapsed, bound);
        fmt::print("stock call took {} ms\n", elapsed.count());
    }
}

// Guards against a paused instance that the others still list as live, that keeps its targets, or that does not return
// when it is resumed. The others must continue to work without it.
TEST_F(SilentConnection, FrozenInstanceIsSuspectedAndReturns)
{
    constexpr std::size_t frozen = 2;
    const std::string frozenId = deployment_.instance(frozen).id + "~";
    deployment_.instance(frozen).process->freeze();
    const auto startedAt = steady_clock::now();
    // The instance is silent on the old connection, then on a new one; the rest is allowance for a busy machine.
    constexpr auto suspicionBound = 2 * peerSilence + 2000ms;
    for (const std::size_t by : {0u, 1u}) {
        Deployment::await(
            "the others suspect the frozen instance",
            [&] {
                const std::string state = shownState(by, frozen);
                return state == "suspected" || state.empty();
            },
            suspicionBound);
    }
    fmt::print("suspected by both others after {} ms\n",
        std::chrono::duration_cast<milliseconds>(steady_clock::now() - startedAt).count());
    expectAnswer(0, "while frozen");
    const auto file = deployment_.write("again.ini", deployment_.answers() + "\n");
    EXPECT_EQ(deployment_.lycheectl(deployment_.instance(0), {"answers", "submit", file.string()}).code, 0);
    Deployment::await(
        "the other instance has the new version", [&] { return version(1) == version(0); }, 5000ms);
    Deployment::await("the targets of the frozen instance are taken over", [&] {
        const nlohmann::json status = deployment_.status(deployment_.instance(0));
        return status.is_object() && std::ranges::none_of(status["targets"], [&](const nlohmann::json& target) {
            return target["owner"].get<std::string>().starts_with(frozenId);
        });
    });

    deployment_.instance(frozen).process->resume();
    for (const std::size_t by : {0u, 1u})
        Deployment::await("the resumed instance is live again", [&] { return shownState(by, frozen) == "live"; });
    Deployment::await(
        "the resumed instance has the new version", [&] { return version(frozen) == version(0); }, 5000ms);
    expectAnswer(frozen, "after the pause");
    EXPECT_EQ(deployment_.overcommits(), 0u);
}

} // namespace
} // namespace lychee::test
