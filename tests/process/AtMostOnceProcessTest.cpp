// Tests, with real processes, that a call that is not idempotent runs at most once when the platform, the service or an
// instance fails.
#include "protocol/HeaderNames.h"
#include "tests/support/Deployment.h"
#include "tests/unit/SeededRandom.h"

#include <gtest/gtest.h>

#include <atomic>
#include <future>
#include <mutex>
#include <thread>

namespace lychee::test {
namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

// Longer than any patience in these tests, so that a caller always gets the answer of the instance.
constexpr std::chrono::milliseconds callerTimeout = 10000ms;
// Patience of the class `orders`. The platform's time limit below fits into it several times.
constexpr std::chrono::milliseconds patience = 1500ms;
// Patience of calls that are expected to be refused.
constexpr std::chrono::milliseconds shortPatience = 1000ms;
// Age from which the outcome of a claim whose call did not end is reported as unknown.
constexpr std::chrono::milliseconds unknownAfter = 2000ms;
// Time by which a refusal may exceed the caller's patience on a busy machine.
constexpr std::chrono::milliseconds answerSlack = 2000ms;

constexpr std::string_view writes = "/tables/transact";
constexpr std::string_view orders = "/orders";

DeploymentOptions options(std::string furtherAnswers = "")
{
    DeploymentOptions options;
    options.enginesPerDataCentre = 1;
    options.models = 1;
    options.adapters = 0;
    options.platformFlags = {"--weight-bytes-per-second=100000000000"};
    options.ordersPatience = patience;
    options.settings = fmt::format("[claims]\nunknown_after_ms = {}\n", unknownAfter.count());
    options.furtherAnswers = std::move(furtherAnswers);
    return options;
}

nlohmann::json fault(std::string_view path, std::string_view kind, int count, std::chrono::milliseconds delay = 0ms,
    std::string_view when = "before_effect")
{
    return {{"path", path}, {"kind", kind}, {"count", count}, {"delay_ms", delay.count()}, {"when", when}};
}

// The answer that a caller got; `run` is empty when the connection ended without one.
struct CallerAnswer {
    std::string run;
    int status = 0;
    std::string body;

    bool operator==(const CallerAnswer&) const = default;
};

CallerAnswer send(const Instance& instance, const HttpRequest& request)
{
    const auto answer = TestHttpClient(instance.callers, callerTimeout).send(request);
    if (!answer.ok())
        return {};
    return {std::string(answer->headers.find(header::run).value_or("")), answer->status, answer->body};
}

CallerAnswer order(const Instance& instance, const std::string& key, const std::string& body = "two poles")
{
    return send(instance, Deployment::order(key, body));
}

std::map<std::string, std::uint64_t> executionsByKey(Deployment& deployment)
{
    std::map<std::string, std::uint64_t> executions;
    for (std::size_t i = 0; i < deployment.serviceCount(); ++i) {
        const nlohmann::json stats = deployment.service(i).stats();
        for (const auto& [key, count] : stats["executions"].items())
            executions[key] += count.get<std::uint64_t>();
    }
    return executions;
}

void clearAllFaults(Deployment& deployment)
{
    deployment.platform().clearFaults();
    for (std::size_t i = 0; i < deployment.serviceCount(); ++i)
        deployment.service(i).clearFaults();
}

// Posts a fault to all instances of the service.
void postFaultToServices(Deployment& deployment, const nlohmann::json& posted)
{
    for (std::size_t i = 0; i < deployment.serviceCount(); ++i)
        deployment.service(i).postFault(posted);
}

// One call, and the answer that its caller got.
struct Call {
    std::string key;
    std::string body;
    // Whether no other call uses the key.
    bool hasOwnKey = false;
    CallerAnswer received;
};

// Callers that use the same keys concurrently until they are stopped. Each has its own seeded random choices.
class Callers {
public:
    Callers(Deployment& deployment, std::uint64_t seed, int threads)
        : deployment_(deployment)
        , seed_(seed)
    {
        for (int i = 0; i < threads; ++i)
            threads_.emplace_back([this, i] { run(i); });
    }

    ~Callers() { stop(); }

    Callers(const Callers&) = delete;
    Callers& operator=(const Callers&) = delete;

    void stop()
    {
        stopped_ = true;
        for (std::thread& thread : threads_)
            thread.join();
        threads_.clear();
    }

    // Must be called after stop().
    const std::vector<Call>& calls() const { return calls_; }

private:
    // Number of shared keys in use at a time; low, so that callers use the same key concurrently.
    static constexpr std::int64_t openKeys = 4;

    void run(int number)
    {
        SeededRandom chance(seed_ * 1000 + static_cast<std::uint64_t>(number));
        for (int i = 0; !stopped_; ++i) {
            Call call;
            call.hasOwnKey = chance.percent(40);
            call.key = call.hasOwnKey
                ? fmt::format("alone-{}-{}-{}", seed_, number, i)
                : fmt::format("shared-{}-{}", seed_, (shared_++ / 8) + chance.between(0, openKeys));
            call.body = !call.hasOwnKey && chance.percent(15) ? "other" : "body";
            const auto instance = static_cast<std::size_t>(
                chance.between(0, static_cast<std::int64_t>(deployment_.instanceCount()) - 1));
            call.received = order(deployment_.instance(instance), call.key, call.body);
            {
                const std::lock_guard lock(mutex_);
                calls_.push_back(call);
            }
            std::this_thread::sleep_for(std::chrono::milliseconds(chance.between(0, 10)));
        }
    }

    Deployment& deployment_;
    std::uint64_t seed_;
    std::atomic<bool> stopped_{false};
    std::atomic<std::int64_t> shared_{0};
    std::mutex mutex_;
    std::vector<Call> calls_;
    std::vector<std::thread> threads_;
};

// Faults of the platform before, during and after the effect of a write or a read.
std::vector<nlohmann::json> platformFaults(SeededRandom& chance)
{
    const std::chrono::milliseconds delay(chance.between(50, 1200));
    const int count = static_cast<int>(chance.between(1, 3));
    return {fault(writes, "refuse", count), fault(writes, "drop_answer", count), fault(writes, "delay", count, delay),
        fault(writes, "delay", count, delay, "after_effect"), fault(writes, "freeze", count, delay),
        fault("/tables/claims", "refuse", count), fault("/tables/claims", "delay", count, delay)};
}

// Faults of the service with which every answer still arrives in time.
std::vector<nlohmann::json> recoverableServiceFaults(SeededRandom& chance)
{
    return {fault(orders, "not_run", static_cast<int>(chance.between(1, 4))),
        fault(orders, "delay", static_cast<int>(chance.between(1, 4)), 100ms),
        fault(orders, "delay", static_cast<int>(chance.between(1, 4)), 100ms, "after_effect")};
}

// Faults of the service with which an answer is lost or arrives after the caller's patience.
std::vector<nlohmann::json> answerLossFaults(SeededRandom& chance)
{
    const int count = static_cast<int>(chance.between(1, 4));
    return {fault(orders, "drop_answer", count), fault(orders, "refuse", count),
        fault(orders, "delay", count, patience + 300ms),
        fault(orders, "delay", count, patience + 300ms, "after_effect")};
}

const nlohmann::json& pick(const std::vector<nlohmann::json>& faults, SeededRandom& chance)
{
    return faults[static_cast<std::size_t>(chance.between(0, static_cast<std::int64_t>(faults.size()) - 1))];
}

// For `duration`, repeatedly posts a random fault to the platform and one to a service.
void injectFaults(Deployment& deployment, SeededRandom& chance, bool loseAnswers, std::chrono::milliseconds duration)
{
    const auto end = Clock::now() + duration;
    while (Clock::now() < end) {
        deployment.platform().postFault(pick(platformFaults(chance), chance));
        Standin& service = deployment.service(
            static_cast<std::size_t>(chance.between(0, static_cast<std::int64_t>(deployment.serviceCount()) - 1)));
        const bool losesAnswer = loseAnswers && chance.percent(60);
        service.postFault(pick(losesAnswer ? answerLossFaults(chance) : recoverableServiceFaults(chance), chance));
        std::this_thread::sleep_for(std::chrono::milliseconds(chance.between(150, 450)));
    }
}

struct RunSummary {
    // Without the 409 answers, which state that a call under the same key is in progress.
    int unknown = 0;
    int refused = 0;
    int answered = 0;
};

// Checks the answers to the callers against the executions that the services counted.
RunSummary checkCalls(const std::vector<Call>& calls, const std::map<std::string, std::uint64_t>& executions)
{
    const auto executed = [&](const std::string& key) {
        const auto found = executions.find(key);
        return found == executions.end() ? 0 : found->second;
    };
    RunSummary summary;
    std::map<std::string, CallerAnswer> firstAnswers;
    for (const Call& call : calls) {
        EXPECT_LE(executed(call.key), 1U) << call.key;
        if (call.received.run == "unknown" && call.received.status != 409)
            ++summary.unknown;
        if (call.received.run == "no") {
            ++summary.refused;
            if (call.hasOwnKey) {
                EXPECT_EQ(executed(call.key), 0U)
                    << call.key << " was answered with run=no, but was executed: " << call.received.body;
            }
        }
        if (call.received.run != "yes")
            continue;
        ++summary.answered;
        EXPECT_EQ(executed(call.key), 1U) << call.key << " was answered: " << call.received.body;
        const auto [first, isFirst] = firstAnswers.emplace(call.key, call.received);
        EXPECT_EQ(first->second, call.received) << call.key << ": a replayed answer differs from the first one";
    }
    return summary;
}

// Clears all faults, and waits until the services have executed no call for longer than any patience, so that no late
// call can arrive.
void awaitIdleServices(Deployment& deployment)
{
    clearAllFaults(deployment);
    std::map<std::string, std::uint64_t> last;
    auto changedAt = Clock::now();
    Deployment::await("the services execute no more calls", [&] {
        std::map<std::string, std::uint64_t> now = executionsByKey(deployment);
        if (now != last)
            changedAt = Clock::now();
        last = std::move(now);
        return Clock::now() - changedAt > patience + 500ms;
    });
}

// The deployment that is shared by the tests that kill no instance.
Deployment& sharedDeployment()
{
    static const std::unique_ptr<Deployment> deployment = [] {
        auto started = std::make_unique<Deployment>(LYCHEE_BUILD_DIR, options());
        started->configure();
        return started;
    }();
    return *deployment;
}

// Guards against a second execution, a wrong run=no and a wrong replay. Callers use the same keys through all instances
// while writes to the platform fail before, during and after their effect, and the service loses, delays and refuses
// calls.
TEST(AtMostOnce, HoldsUnderRacesAndCombinedFaults)
{
    Deployment& deployment = sharedDeployment();
    for (const std::uint64_t seed : {11U, 12U}) {
        SeededRandom chance(seed);
        Callers callers(deployment, seed, 8);
        injectFaults(deployment, chance, true, 2200ms);
        clearAllFaults(deployment);
        callers.stop();
        awaitIdleServices(deployment);
        const RunSummary summary = checkCalls(callers.calls(), executionsByKey(deployment));
        fmt::print("seed {}: {} calls, {} answered, {} refused, {} unknown\n", seed, callers.calls().size(),
            summary.answered, summary.refused, summary.unknown);
        EXPECT_GT(summary.answered, 50);
        EXPECT_GT(summary.refused, 0);
    }
}

// Guards against a second execution of a call whose instance was killed while it held the claim, and against the loss
// of answers that the instance stored earlier. The callers retry through the other instances.
TEST(AtMostOnce, CallsOfAKilledInstanceNeverRunAgain)
{
    Deployment deployment(LYCHEE_BUILD_DIR, options());
    deployment.configure();
    const CallerAnswer stored = order(deployment.instance(0), "stored");
    ASSERT_EQ(stored.run, "yes");

    constexpr int heldCalls = 12;
    const auto heldKey = [](int i) { return fmt::format("held-{}", i); };
    postFaultToServices(deployment, fault(orders, "freeze", -1));
    std::vector<std::future<CallerAnswer>> held;
    held.reserve(heldCalls);
    for (int i = 0; i < heldCalls; ++i)
        held.push_back(std::async(std::launch::async, [&, i] { return order(deployment.instance(0), heldKey(i)); }));
    std::this_thread::sleep_for(700ms);
    deployment.instance(0).process->kill();
    int lost = 0;
    for (std::future<CallerAnswer>& call : held)
        lost += call.get().run.empty() ? 1 : 0;
    EXPECT_EQ(lost, heldCalls);

    // Callers retry immediately, while the service still holds the calls before their effect and the platform loses
    // answers.
    deployment.platform().postFault(fault(writes, "drop_answer", 2));
    std::vector<std::future<CallerAnswer>> retries;
    retries.reserve(heldCalls);
    for (int i = 0; i < heldCalls; ++i) {
        retries.push_back(std::async(std::launch::async,
            [&, i] { return order(deployment.instance(1U + static_cast<std::size_t>(i % 3)), heldKey(i)); }));
    }
    for (std::future<CallerAnswer>& retry : retries)
        EXPECT_NE(retry.get().run, "yes");
    awaitIdleServices(deployment);
    std::this_thread::sleep_for(unknownAfter);
    int unknown = 0;
    for (int i = 0; i < heldCalls; ++i) {
        const CallerAnswer later = order(deployment.instance(1U + static_cast<std::size_t>((i + 1) % 3)), heldKey(i));
        unknown += later.run == "unknown" ? 1 : 0;
        // A call that was killed before its claim was written is executed by its retry, whose answer is stored.
        EXPECT_TRUE((later.run == "unknown" && later.status == 504) || (later.run == "yes" && later.status == 200))
            << later.run << " " << later.status << " " << later.body;
    }
    fmt::print("{} of {} calls of the killed instance have an unknown outcome\n", unknown, heldCalls);
    EXPECT_GT(unknown, 0);
    EXPECT_EQ(order(deployment.instance(2), "stored"), stored);
    for (const auto& [key, count] : executionsByKey(deployment))
        EXPECT_EQ(count, 1U) << key;
}

// Guards against idempotency keys that are shared between teams, and against a replay for a different request.
TEST(AtMostOnce, AKeyBelongsToOneTeamAndOneBody)
{
    Standins others(LYCHEE_BUILD_DIR);
    Standin& depot = others.startService();
    Deployment deployment(LYCHEE_BUILD_DIR,
        options(fmt::format("[service depot]\nteams = desk\n"
                            "[call create-return]\nservice = depot\nmethod = POST\npath_prefix = /orders\n"
                            "idempotent = no\nclass = desk\n"
                            "[target depot-0]\nkind = service\nservice = depot\ndata_centre = dc-1\naddress = {}\n",
            depot.endpoint().toString())));
    deployment.configure();
    const CallerAnswer first = order(deployment.instance(0), "same");
    EXPECT_EQ(first.run, "yes");
    const CallerAnswer reused = order(deployment.instance(1), "same", "three poles");
    EXPECT_EQ(reused.status, 422);
    EXPECT_EQ(reused.run, "no");
    HttpRequest otherTeam = Deployment::order("same", "two poles");
    otherTeam.target = "/v1/services/depot/orders";
    otherTeam.headers.set("Authorization", fmt::format("Bearer {}", deskToken));
    const CallerAnswer separate = send(deployment.instance(2), otherTeam);
    EXPECT_EQ(separate.run, "yes");
    EXPECT_EQ(separate.status, 200);
    EXPECT_EQ(deployment.executions("same"), 1U);
    EXPECT_EQ(depot.stats()["executions"].value("same", 0), 1);
    EXPECT_EQ(order(deployment.instance(3), "same"), first);
}

// Guards against a lost outcome when the answer arrives after the caller's patience.
TEST(AtMostOnce, ALateAnswerIsStoredForTheRetry)
{
    Deployment& deployment = sharedDeployment();
    clearAllFaults(deployment);
    postFaultToServices(deployment, fault(orders, "delay", 1, 1500ms, "after_effect"));
    HttpRequest impatient = Deployment::order("late", "two poles");
    impatient.headers.set(header::patience, "500");
    const CallerAnswer received = send(deployment.instance(0), impatient);
    EXPECT_EQ(received.run, "unknown");
    EXPECT_EQ(received.status, 504);
    CallerAnswer retried;
    Deployment::await("the late answer is stored", [&] {
        retried = order(deployment.instance(1), "late");
        return retried.run == "yes";
    });
    EXPECT_EQ(retried.status, 200);
    EXPECT_EQ(deployment.executions("late"), 1U);
    clearAllFaults(deployment);
}

// Guards against a second execution by a retry through another data centre, after the answer arrived or was lost.
TEST(AtMostOnce, ARetryThroughAnotherDataCentreRunsNothing)
{
    Deployment& deployment = sharedDeployment();
    clearAllFaults(deployment);
    ASSERT_NE(deployment.instance(0).dataCentre, deployment.instance(1).dataCentre);
    const CallerAnswer first = order(deployment.instance(0), "moved");
    EXPECT_EQ(first.run, "yes");
    EXPECT_EQ(order(deployment.instance(1), "moved"), first);
    postFaultToServices(deployment, fault(orders, "drop_answer", -1));
    EXPECT_EQ(order(deployment.instance(0), "dropped").run, "unknown");
    clearAllFaults(deployment);
    EXPECT_EQ(order(deployment.instance(1), "dropped").run, "unknown");
    EXPECT_EQ(deployment.executions("moved"), 1U);
    EXPECT_EQ(deployment.executions("dropped"), 1U);
}

// Guards against a call that is executed without a claim, and against answers after the caller's patience, while the
// platform refuses connections or does not answer.
TEST(NotRun, WithoutThePlatformCallsAreRefusedInTime)
{
    Deployment& deployment = sharedDeployment();
    clearAllFaults(deployment);
    std::vector<std::string> keys;
    for (const std::string_view kind : {"refuse", "freeze", "drop_answer"}) {
        deployment.platform().postFault(fault("/", kind, -1));
        std::vector<std::future<std::pair<CallerAnswer, Clock::duration>>> calls;
        for (std::size_t i = 0; i < deployment.instanceCount(); ++i) {
            keys.push_back(fmt::format("down-{}-{}", kind, i));
            calls.push_back(std::async(std::launch::async, [&deployment, i, key = keys.back()] {
                const auto start = Clock::now();
                HttpRequest request = Deployment::order(key, "two poles");
                request.headers.set(header::patience, std::to_string(shortPatience.count()));
                CallerAnswer received = send(deployment.instance(i), request);
                return std::pair(std::move(received), Clock::now() - start);
            }));
        }
        for (auto& call : calls) {
            const auto [received, took] = call.get();
            EXPECT_EQ(received.run, "no") << kind << ": " << received.body;
            EXPECT_EQ(received.status, 503) << kind;
            EXPECT_LT(took, shortPatience + answerSlack) << kind;
        }
        deployment.platform().clearFaults();
    }
    for (const std::string& key : keys)
        EXPECT_EQ(deployment.executions(key), 0U) << key;
    // No call was executed, so each may be retried under its key.
    for (const std::string& key : keys) {
        Deployment::await(
            key + " runs after the outage", [&] { return order(deployment.instance(0), key).run == "yes"; });
        EXPECT_EQ(deployment.executions(key), 1U) << key;
    }
}

// Guards against run=no for a call that was executed, and against a key that stays locked after a call that was not.
TEST(NotRun, ARefusedCallMayBeRetriedUnderItsKey)
{
    Deployment& deployment = sharedDeployment();
    clearAllFaults(deployment);
    postFaultToServices(deployment, fault(orders, "not_run", -1));
    for (std::size_t i = 0; i < deployment.instanceCount(); ++i)
        EXPECT_EQ(order(deployment.instance(i), fmt::format("refused-{}", i)).run, "no");
    clearAllFaults(deployment);
    for (std::size_t i = 0; i < deployment.instanceCount(); ++i) {
        const std::string key = fmt::format("refused-{}", i);
        EXPECT_EQ(deployment.executions(key), 0U);
        const CallerAnswer received = order(deployment.instance((i + 1) % deployment.instanceCount()), key);
        EXPECT_EQ(received.run, "yes") << received.body;
        EXPECT_EQ(deployment.executions(key), 1U);
    }
}

// Guards against unnecessary unknown outcomes: as long as no instance is killed and no answer of the service is lost,
// at most 2% of the calls have an unknown outcome, whatever the platform loses.
TEST(NotRun, UnknownOutcomesAreRareWithoutLostAnswers)
{
    Deployment& deployment = sharedDeployment();
    constexpr std::uint64_t seed = 21;
    SeededRandom chance(seed);
    Callers callers(deployment, seed, 8);
    injectFaults(deployment, chance, false, 2500ms);
    clearAllFaults(deployment);
    callers.stop();
    awaitIdleServices(deployment);
    const RunSummary summary = checkCalls(callers.calls(), executionsByKey(deployment));
    const double share = static_cast<double>(summary.unknown) / static_cast<double>(callers.calls().size());
    fmt::print("seed {}: {} calls, {} answered, {} refused, {} unnecessarily unknown ({:.2f}%)\n", seed,
        callers.calls().size(), summary.answered, summary.refused, summary.unknown, 100 * share);
    EXPECT_GT(summary.answered, 50);
    EXPECT_LE(share, 0.02);
}

} // namespace
} // namespace lychee::test
