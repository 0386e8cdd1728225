#include "tests/support/Deployment.h"

#include <gtest/gtest.h>

#include <atomic>
#include <iostream>
#include <sstream>
#include <thread>

namespace lychee::test {
namespace {

using namespace std::chrono_literals;

constexpr auto requestLimit = 30000ms;

// Trials are granted only when the members have not changed for 5 s.
constexpr auto membershipSettleTime = 6000ms;

constexpr int healthyCallers = 8;
constexpr int healthyTokens = 60;
constexpr auto healthyLimit = 15000ms;
// Requests to each instance that fill the team's retry budget: retries are limited to 10% of a team's requests, and
// without a budget the streams that a crash interrupts together could not be resumed.
constexpr int budgetRequests = 100;
constexpr int crashingCallers = 4;
constexpr auto crashingTime = 8000ms;

// Shorter than the answer, so that the crashing request never completes, and long enough for healthy requests to be in
// the same batch.
constexpr int crashDelayMs = 150;
constexpr const char* crashingText = "poison-pill";
constexpr int maxKilled = 2;

DeploymentOptions deploymentOptions()
{
    DeploymentOptions options;
    options.enginesPerDataCentre = 3;
    options.services = 4;
    options.adapters = 0;
    options.platformFlags = {"--weight-bytes-per-second=100000000000", "--weight-rate=100"};
    options.engineFlags = {"--tokens-per-second=100", "--slots=16"};
    return options;
}

HttpRequest crashingRequest() { return Deployment::chat("model-0", crashingText, healthyTokens, false); }

std::string runHeader(const HttpResponse& response)
{
    return std::string(response.headers.find("Lychee-Run").value_or(""));
}

// Results of the healthy callers.
struct HealthyResults {
    std::atomic<int> whole{0};
    std::atomic<int> neverWhole{0};
    std::atomic<int> wrong{0};
    std::atomic<int> cutOff{0};
    std::atomic<int> refused422{0};
    std::atomic<int> refused503{0};
    std::atomic<int> other{0};
};

class CrashingRequestTest : public testing::Test {
protected:
    void SetUp() override
    {
        deployment_.configure();
        std::this_thread::sleep_for(membershipSettleTime);
    }

    TestHttpClient client(std::size_t instance) { return {deployment_.instance(instance).callers, requestLimit}; }

    int killedEngines()
    {
        int killed = 0;
        for (std::size_t i = 0; i < deployment_.engineCount(); ++i)
            killed += deployment_.engine(i).process().isRunning() ? 0 : 1;
        return killed;
    }

    // Fills the retry budget of the team at every instance with short requests, and checks that all are answered.
    void fillRetryBudgets()
    {
        std::vector<std::thread> senders;
        std::atomic<int> answered{0};
        for (std::size_t instance = 0; instance < deployment_.instanceCount(); ++instance)
            senders.emplace_back([&, instance] {
                TestHttpClient caller = client(instance);
                for (int i = 0; i < budgetRequests; ++i) {
                    const auto answer = caller.send(Deployment::chat("model-1", fmt::format("short {}", i), 1, false));
                    answered += answer.ok() && answer->status == 200 ? 1 : 0;
                }
            });
        for (std::thread& sender : senders)
            sender.join();
        ASSERT_EQ(answered, budgetRequests * static_cast<int>(deployment_.instanceCount()));
    }

    int killedServices()
    {
        int killed = 0;
        for (std::size_t i = 0; i < deployment_.serviceCount(); ++i)
            killed += deployment_.service(i).process().isRunning() ? 0 : 1;
        return killed;
    }

    // Prints how many attempts failed, and why instances ended streams early.
    void printIncomplete()
    {
        int broken = 0;
        for (std::size_t i = 0; i < deployment_.instanceCount(); ++i) {
            std::istringstream log(deployment_.instance(i).process->logText());
            for (std::string line; std::getline(log, line);) {
                broken += line.find("did not finish") != std::string::npos ? 1 : 0;
                if (line.find("ends incomplete") != std::string::npos)
                    std::cout << line << '\n';
            }
        }
        std::cout << broken << " attempts did not finish\n";
    }

    // Sends a healthy request once; returns whether its answer is complete.
    bool tryHealthy(std::size_t instance, const std::string& model, const std::string& prompt, HealthyResults& results)
    {
        TestHttpClient caller = client(instance);
        const auto stream = caller.open(Deployment::chat(model, prompt, healthyTokens, true));
        if (!stream.ok()) {
            ++results.other;
            return false;
        }
        if ((*stream)->status() != 200) {
            const int status = (*stream)->status();
            ++(status == 422 ? results.refused422 : status == 503 ? results.refused503 : results.other);
            return false;
        }
        const auto text = readCompletion(**stream);
        if (!text.ok()) {
            ++results.cutOff;
            std::cout << fmt::format("{} on {}: {}\n", prompt, instance, std::string(text.status().message()));
            return false;
        }
        if (*text != Deployment::expectedText(model, prompt, healthyTokens))
            ++results.wrong;
        return true;
    }

    void runHealthyCaller(int number, const std::atomic<bool>& stop, HealthyResults& results)
    {
        for (int i = 0; !stop; ++i) {
            const std::string prompt = fmt::format("caller {} request {}", number, i);
            const std::string model = fmt::format("model-{}", (number + i) % deployment_.options().models);
            bool whole = false;
            const auto limit = std::chrono::steady_clock::now() + healthyLimit;
            for (int attempt = 0; !whole && std::chrono::steady_clock::now() < limit; ++attempt) {
                whole = tryHealthy((number + attempt) % deployment_.instanceCount(), model, prompt, results);
                if (!whole)
                    std::this_thread::sleep_for(100ms);
            }
            ++(whole ? results.whole : results.neverWhole);
        }
    }

    Deployment deployment_{LYCHEE_BUILD_DIR, deploymentOptions()};
};

// Guards against a request that crashes one engine after another because its callers repeat it, and against refused or
// cut-off healthy requests that run in the same batch.
TEST_F(CrashingRequestTest, CrashesAtMostTwoEnginesAmongHealthyStreams)
{
    fillRetryBudgets();
    for (std::size_t i = 0; i < deployment_.engineCount(); ++i)
        deployment_.engine(i).postFault({{"path", "/v1/"}, {"kind", "crash_on_body"}, {"count", -1},
            {"delay_ms", crashDelayMs}, {"body", crashingText}});
    std::atomic<bool> stop{false};
    HealthyResults results;
    std::vector<std::thread> callers;
    callers.reserve(healthyCallers + 1);
    for (int i = 0; i < healthyCallers; ++i)
        callers.emplace_back([&, i] { runHealthyCaller(i, stop, results); });
    std::this_thread::sleep_for(1000ms);
    // The limit of two crashes does not cover copies of the request that already run at the first crash, so the other
    // callers start after it.
    callers.emplace_back([&] { client(0).send(crashingRequest()).status().IgnoreError(); });
    Deployment::await("first crash", [&] { return killedEngines() > 0; });
    std::atomic<int> crashingSent{0};
    std::atomic<int> crashingRefused{0};
    std::atomic<int> crashingAnswered{0};
    const auto end = std::chrono::steady_clock::now() + crashingTime;
    std::vector<std::thread> senders;
    senders.reserve(crashingCallers);
    for (int i = 0; i < crashingCallers; ++i)
        senders.emplace_back([&, i] {
            for (std::size_t n = i; std::chrono::steady_clock::now() < end; ++n) {
                const auto answer = client(n % deployment_.instanceCount()).send(crashingRequest());
                ++crashingSent;
                if (answer.ok())
                    ++(answer->status == 200 ? crashingAnswered : crashingRefused);
                std::this_thread::sleep_for(20ms);
            }
        });
    for (std::thread& sender : senders)
        sender.join();
    stop = true;
    for (std::thread& caller : callers)
        caller.join();
    std::cout << fmt::format(
        "crashing request: {} sent, {} refused, {} engines killed; healthy: {} whole, {} never whole, {} "
        "wrong, {} cut off, {} refused with 422, {} with 503, {} other\n",
        crashingSent.load(), crashingRefused.load(), killedEngines(), results.whole.load(), results.neverWhole.load(),
        results.wrong.load(), results.cutOff.load(), results.refused422.load(), results.refused503.load(),
        results.other.load());
    printIncomplete();
    EXPECT_EQ(killedEngines(), maxKilled);
    EXPECT_EQ(crashingAnswered, 0);
    for (std::size_t i = 0; i < deployment_.instanceCount(); ++i) {
        const auto answer = client(i).send(crashingRequest());
        ASSERT_TRUE(answer.ok()) << i;
        EXPECT_EQ(answer->status, 422) << i << ": " << answer->body;
        EXPECT_EQ(runHeader(*answer), "no") << i;
        EXPECT_NE(answer->body.find("crashing_request"), std::string::npos) << answer->body;
    }
    EXPECT_EQ(killedEngines(), maxKilled);
    EXPECT_GT(results.whole, 0);
    EXPECT_EQ(results.neverWhole, 0);
    EXPECT_EQ(results.wrong, 0);
    EXPECT_EQ(results.cutOff, 0);
    EXPECT_EQ(results.refused422, 0);
    EXPECT_EQ(results.other, 0);
}

// Guards against a call that crashes one service after another when its caller repeats it under new keys.
TEST_F(CrashingRequestTest, RefusesAnOrderThatCrashedTwoServices)
{
    const std::string body = fmt::format(R"({{"poles":"{}"}})", crashingText);
    for (std::size_t i = 0; i < deployment_.serviceCount(); ++i)
        deployment_.service(i).postFault(
            {{"path", "/orders"}, {"kind", "crash_on_body"}, {"count", -1}, {"delay_ms", 0}, {"body", crashingText}});
    std::vector<int> statuses;
    for (int i = 0; i < 12; ++i) {
        const auto answer
            = client(i % deployment_.instanceCount()).send(Deployment::order(fmt::format("order-{}", i), body));
        ASSERT_TRUE(answer.ok()) << i;
        statuses.push_back(answer->status);
        if (answer->status == 422) {
            EXPECT_EQ(runHeader(*answer), "no") << answer->body;
        }
        EXPECT_NE(answer->status, 200);
    }
    std::cout << fmt::format("{} services killed, statuses {}\n", killedServices(), fmt::join(statuses, " "));
    EXPECT_EQ(killedServices(), maxKilled);
    EXPECT_EQ(std::vector<int>(statuses.end() - 4, statuses.end()), std::vector<int>(4, 422));
    const auto healthy = client(0).send(Deployment::order("healthy", R"({"poles":2})"));
    ASSERT_TRUE(healthy.ok());
    EXPECT_EQ(healthy->status, 200) << healthy->body;
}

// Guards against a streamed request that crashes one engine after another because the remainder of its resumed stream
// ends before the moment of the crash and clears it.
TEST_F(CrashingRequestTest, TheRemainderOfAResumedStreamDoesNotClearItsRequest)
{
    constexpr int tokens = 20;
    for (std::size_t i = 0; i < deployment_.engineCount(); ++i)
        deployment_.engine(i).postFault({{"path", "/v1/"}, {"kind", "crash_on_body"}, {"count", -1},
            {"delay_ms", crashDelayMs}, {"body", crashingText}});
    const HttpRequest request = Deployment::chat("model-0", crashingText, tokens, true);
    const auto resumed = client(0).open(request);
    ASSERT_TRUE(resumed.ok()) << resumed.status();
    const auto text = readCompletion(**resumed);
    ASSERT_TRUE(text.ok()) << text.status();
    EXPECT_EQ(*text, Deployment::expectedText("model-0", crashingText, tokens));
    const auto broken = client(0).open(request);
    ASSERT_TRUE(broken.ok()) << broken.status();
    EXPECT_FALSE(readCompletion(**broken).ok());
    const auto refused = client(0).send(request);
    ASSERT_TRUE(refused.ok()) << refused.status();
    EXPECT_EQ(refused->status, 422) << refused->body;
}

// Guards against dropped answers of running engines that are mistaken for crashes, so that a healthy request is
// refused.
TEST_F(CrashingRequestTest, DoesNotSuspectABodyForBrokenConnections)
{
    const HttpRequest request = Deployment::chat("model-0", "healthy body", 10, false);
    for (int i = 0; i < 4; ++i) {
        for (std::size_t engine = 0; engine < deployment_.engineCount(); ++engine)
            deployment_.engine(engine).postFault({{"path", "/v1/"}, {"kind", "drop_answer"}, {"count", -1}});
        const auto dropped = client(i).send(request);
        ASSERT_TRUE(dropped.ok());
        EXPECT_NE(dropped->status, 422) << dropped->body;
        EXPECT_NE(dropped->status, 200) << dropped->body;
        for (std::size_t engine = 0; engine < deployment_.engineCount(); ++engine)
            deployment_.engine(engine).clearFaults();
    }
    for (std::size_t i = 0; i < deployment_.instanceCount(); ++i) {
        const auto answer = client(i).send(request);
        ASSERT_TRUE(answer.ok());
        EXPECT_EQ(answer->status, 200) << answer->body;
    }
}

} // namespace
} // namespace lychee::test
