#include "tests/support/Deployment.h"

#include "transport/TransportError.h"

#include <gtest/gtest.h>

#include <thread>

namespace lychee::test {
namespace {

using namespace std::chrono_literals;
using std::chrono::steady_clock;

constexpr auto requestLimit = 20000ms;
constexpr int tokensPerSecond = 100;
constexpr int exitCutOff = 3;

// Required limit after which a leaving instance receives no new work.
constexpr auto noWorkAfter = 3000ms;

// Additional time for scheduling delays on a busy machine.
constexpr auto schedulingMargin = 1500ms;

DeploymentOptions makeOptions(std::string settings)
{
    DeploymentOptions options;
    options.dataCentres = 1;
    options.instancesPerDataCentre = 3;
    options.enginesPerDataCentre = 2;
    options.services = 1;
    options.models = 2;
    options.adapters = 1;
    options.engineFlags = {fmt::format("--tokens-per-second={}", tokensPerSecond), "--slots=32"};
    options.platformFlags = {"--instance-lag-ms=30000", "--weight-bytes-per-second=100000000000"};
    options.settings = std::move(settings);
    return options;
}

// A streamed completion that a thread of its own reads to the end.
class BackgroundStream {
public:
    // Starts the stream. Returns once the first token has arrived.
    BackgroundStream(const Instance& instance, const std::string& prompt, int tokens)
        : expected_(Deployment::expectedText("model-0", prompt, tokens))
        , client_(instance.callers, requestLimit)
    {
        auto opened = client_.open(Deployment::chat("model-0", prompt, tokens, true));
        if (!opened.ok() || (*opened)->status() != 200)
            throw std::runtime_error("the stream did not start");
        stream_ = *std::move(opened);
        thread_ = std::thread([this] { text_ = readCompletion(*stream_); });
    }

    BackgroundStream(const BackgroundStream&) = delete;
    BackgroundStream& operator=(const BackgroundStream&) = delete;

    ~BackgroundStream()
    {
        if (thread_.joinable())
            thread_.join();
    }

    // Waits for the end of the stream. Returns whether the complete expected text was received.
    bool isComplete()
    {
        thread_.join();
        return text_.ok() && *text_ == expected_;
    }

private:
    std::string expected_;
    TestHttpClient client_;
    std::unique_ptr<TestEventStream> stream_;
    absl::StatusOr<std::string> text_ = absl::UnknownError("not read");
    std::thread thread_;
};

// The state of instance `of` in the status of instance `by`; empty when it is not listed.
std::string reportedState(const Deployment& deployment, const Instance& by, const Instance& of)
{
    const nlohmann::json status = deployment.status(by);
    if (!status.is_object())
        return "no status";
    for (const nlohmann::json& instance : status["instances"]) {
        if (instance["id"].get<std::string>().starts_with(of.id + "~"))
            return instance["state"];
    }
    return {};
}

// Whether, according to the status of `by`, every engine is owned by an instance other than `left`.
bool ownedByOthers(const Deployment& deployment, const Instance& by, const Instance& left)
{
    const nlohmann::json status = deployment.status(by);
    if (!status.is_object())
        return false;
    for (const nlohmann::json& target : status["targets"]) {
        const std::string owner = target["owner"];
        if (target["kind"] == "engine" && (owner.empty() || owner.starts_with(left.id + "~")))
            return false;
    }
    return true;
}

// The first instance that owns an engine.
Instance& findOwner(Deployment& deployment)
{
    for (std::size_t i = 0; i < deployment.instanceCount(); ++i) {
        const Instance& by = deployment.instance(0);
        if (!ownedByOthers(deployment, by, deployment.instance(i)))
            return deployment.instance(i);
    }
    throw std::runtime_error("no instance owns an engine");
}

Instance& findOtherInstance(Deployment& deployment, const Instance& than)
{
    for (std::size_t i = 0; i < deployment.instanceCount(); ++i) {
        Instance& candidate = deployment.instance(i);
        if (candidate.id != than.id && candidate.process->isRunning())
            return candidate;
    }
    throw std::runtime_error("no other instance");
}

bool isRefused(const Instance& instance)
{
    TestHttpClient client(instance.callers, requestLimit);
    const auto response = client.send({"GET", "/healthz"});
    return errorOf<TransportError>(response.status()) == TransportError::ConnectFailed;
}

// Guards against a leaving instance that relies on the platform's list of instances, which lags by 30 s here, instead
// of notifying callers and peers itself. Also guards against streams being cut off and targets being left without an
// owner.
TEST(Leaving, NotifiesCallersAndPeersAndFinishesItsStreams)
{
    Deployment deployment(LYCHEE_BUILD_DIR, makeOptions(""));
    deployment.configure();
    Instance& leaving = findOwner(deployment);
    Instance& other = findOtherInstance(deployment, leaving);
    // Long enough for the streams to last until after the instance has stopped accepting work.
    constexpr int longTokens = 6 * tokensPerSecond;
    BackgroundStream first(leaving, "the long way round", longTokens);
    BackgroundStream second(leaving, "the other way", longTokens);
    TestHttpClient kept(leaving.callers, requestLimit);
    ASSERT_TRUE(kept.send({"GET", "/healthz"}).ok());

    const auto begun = steady_clock::now();
    leaving.process->terminate();
    Deployment::await(
        "the leaving instance is not ready", [&] { return !deployment.isReady(leaving); }, schedulingMargin);
    Deployment::await(
        "a peer shows it as leaving", [&] { return reportedState(deployment, other, leaving) == "leaving"; },
        noWorkAfter);
    fmt::print("a peer shows the instance as leaving after {} ms\n",
        std::chrono::duration_cast<std::chrono::milliseconds>(steady_clock::now() - begun).count());
    // Load balancers that have not noticed the change yet still send requests, which must be answered.
    const auto late = TestHttpClient(leaving.callers, requestLimit).send(Deployment::chat("model-0", "late", 5, false));
    ASSERT_TRUE(late.ok()) << late.status();
    EXPECT_EQ(completionText(late->body), Deployment::expectedText("model-0", "late", 5));

    std::this_thread::sleep_until(begun + noWorkAfter);
    Deployment::await(
        "no new connections", [&] { return isRefused(leaving); }, schedulingMargin);
    const auto onKept = kept.send(Deployment::chat("model-0", "kept", 5, false));
    EXPECT_TRUE(!onKept.ok() || onKept->status == 503) << "a request on an open connection was not refused";
    EXPECT_TRUE(leaving.process->isRunning()) << "the instance stopped before its streams ended";

    EXPECT_TRUE(first.isComplete());
    EXPECT_TRUE(second.isComplete());
    const auto exit = leaving.process->wait(requestLimit);
    ASSERT_TRUE(exit.ok()) << exit.status();
    EXPECT_EQ(exit->code, 0) << leaving.process->logText();
    EXPECT_NE(leaving.process->logText().find("no request was cut off"), std::string::npos);
    Deployment::await("the targets have other owners", [&] { return ownedByOthers(deployment, other, leaving); });
    EXPECT_TRUE(deployment.isAllResident(other));
    EXPECT_NE(reportedState(deployment, other, leaving), "live")
        << "the lagging list of instances made the stopped instance live again";
}

// Guards against failed requests while instances are replaced one after another: a caller that tries the next instance
// after a refused connection must receive every answer.
TEST(Leaving, RollingReplacementLosesNoRequest)
{
    Deployment deployment(LYCHEE_BUILD_DIR, makeOptions("[stop]\nno_work_after_ms = 1000\n"));
    deployment.configure();
    std::atomic<bool> stop{false};
    std::atomic<int> answered{0};
    std::atomic<int> failed{0};
    const std::size_t oldInstances = deployment.instanceCount();
    std::vector<Endpoint> endpoints;
    for (std::size_t i = 0; i < oldInstances; ++i)
        endpoints.push_back(deployment.instance(i).callers);
    for (std::size_t i = 0; i < oldInstances; ++i)
        endpoints.push_back(deployment.startInstance("dc-1").callers);
    for (std::size_t i = oldInstances; i < 2 * oldInstances; ++i)
        Deployment::await("a new instance is ready", [&] { return deployment.isReady(deployment.instance(i)); });
    std::vector<std::thread> callers;
    for (std::size_t number = 0; number < oldInstances; ++number) {
        callers.emplace_back([&, number] {
            for (int i = 0; !stop; ++i) {
                const std::string prompt = fmt::format("caller {} request {}", number, i);
                std::string text;
                for (std::size_t attempt = 0; attempt < endpoints.size() && text.empty(); ++attempt) {
                    TestHttpClient client(endpoints[(number + attempt) % endpoints.size()], requestLimit);
                    const auto stream = client.open(Deployment::chat("model-1", prompt, 40, true));
                    // A request is sent to the next instance only when the connection was never accepted.
                    if (errorOf<TransportError>(stream.status()) == TransportError::ConnectFailed)
                        continue;
                    const auto read = stream.ok() ? readCompletion(**stream) : stream.status();
                    text = read.ok() ? *read : std::string(read.status().message());
                }
                ++(text == Deployment::expectedText("model-1", prompt, 40) ? answered : failed);
            }
        });
    }
    for (std::size_t i = 0; i < oldInstances; ++i) {
        Instance& instance = deployment.instance(i);
        const auto exit = instance.process->stop(requestLimit);
        EXPECT_TRUE(exit.ok() && exit->code == 0) << instance.process->logText();
    }
    stop = true;
    for (std::thread& caller : callers)
        caller.join();
    fmt::print("{} answers, {} failed\n", answered.load(), failed.load());
    EXPECT_EQ(failed, 0);
    EXPECT_GT(answered, 0);
    const Instance& remaining = deployment.instance(oldInstances);
    for (std::size_t i = 0; i < oldInstances; ++i) {
        Deployment::await("the targets have other owners",
            [&] { return ownedByOthers(deployment, remaining, deployment.instance(i)); });
    }
    EXPECT_TRUE(deployment.isAllResident(remaining));
}

constexpr int endlessTokens = 20 * tokensPerSecond;

// Guards against an instance that cannot be stopped while requests are in flight, and against cutting off requests
// without logging it.
TEST(GracefulStop, SecondSignalEndsItAndLogsWhatWasCut)
{
    Deployment deployment(LYCHEE_BUILD_DIR, makeOptions("[stop]\nno_work_after_ms = 200\n"));
    deployment.configure();
    Instance& leaving = findOwner(deployment);
    BackgroundStream first(leaving, "one", endlessTokens);
    BackgroundStream second(leaving, "two", endlessTokens);
    leaving.process->terminate();
    Deployment::await("no new connections", [&] { return isRefused(leaving); });
    // The streams keep the instance running until the second signal.
    EXPECT_FALSE(leaving.process->wait(500ms).ok());
    leaving.process->terminate();
    const auto exit = leaving.process->wait(noWorkAfter);
    ASSERT_TRUE(exit.ok()) << "the second signal did not stop the instance";
    EXPECT_EQ(exit->code, exitCutOff);
    EXPECT_NE(leaving.process->logText().find("2 requests cut off"), std::string::npos) << leaving.process->logText();
    EXPECT_FALSE(first.isComplete());
    EXPECT_FALSE(second.isComplete());
    const Instance& other = findOtherInstance(deployment, leaving);
    Deployment::await("the targets have other owners", [&] { return ownedByOthers(deployment, other, leaving); });
}

// Guards against a second signal that has no effect until the period in which new work is still accepted has ended.
TEST(GracefulStop, SecondSignalDoesNotWaitForTheEndOfNewWork)
{
    Deployment deployment(LYCHEE_BUILD_DIR, makeOptions("[stop]\nno_work_after_ms = 60000\n"));
    deployment.configure();
    Instance& leaving = findOwner(deployment);
    BackgroundStream stream(leaving, "one", endlessTokens);
    leaving.process->terminate();
    Deployment::await("the instance is not ready", [&] { return !deployment.isReady(leaving); });
    leaving.process->terminate();
    const auto exit = leaving.process->wait(noWorkAfter);
    EXPECT_TRUE(exit.ok() && exit->code == exitCutOff) << leaving.process->logText();
    // Ends the stream, and with it the reading thread, in case the check above failed.
    leaving.process->kill();
}

// Guards against a drain limit without effect, so that one endless stream keeps an instance from ever stopping.
TEST(GracefulStop, LimitEndsItAndLogsWhatWasCut)
{
    constexpr auto drainLimit = 2000ms;
    Deployment deployment(LYCHEE_BUILD_DIR,
        makeOptions(fmt::format("[stop]\nno_work_after_ms = 200\ndrain_limit_ms = {}\n", drainLimit.count())));
    deployment.configure();
    Instance& leaving = findOwner(deployment);
    BackgroundStream stream(leaving, "one", endlessTokens);
    const auto begun = steady_clock::now();
    leaving.process->terminate();
    // Handing over the targets takes up to 3 s after the drain limit.
    const auto exit = leaving.process->wait(drainLimit + 3000ms + schedulingMargin);
    ASSERT_TRUE(exit.ok()) << "the drain limit did not stop the instance";
    EXPECT_GE(steady_clock::now() - begun, drainLimit) << "the instance stopped before the drain limit";
    EXPECT_EQ(exit->code, exitCutOff);
    EXPECT_NE(leaving.process->logText().find("1 requests cut off"), std::string::npos) << leaving.process->logText();
    EXPECT_FALSE(stream.isComplete());
    const Instance& other = findOtherInstance(deployment, leaving);
    Deployment::await("the targets have other owners", [&] { return ownedByOthers(deployment, other, leaving); });
}

} // namespace
} // namespace lychee::test
