// Calls that run at most once, through real instances, under failures of the platform, the service and the instances.
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

// Longer than any patience here, so that a caller always sees the answer of the instance.
constexpr std::chrono::milliseconds callerLimit = 10000ms;
// Patience of the class `orders`. The platform's time limit below fits into it several times.
constexpr std::chrono::milliseconds patience = 1500ms;
// Patience of calls that must be refused.
constexpr std::chrono::milliseconds shortPatience = 1000ms;
// After this time a claim whose call did not end is reported as unknown.
constexpr std::chrono::milliseconds unknownAfter = 2000ms;
// Time that a refusal may take beyond the caller's patience on a busy machine.
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

// What a caller was told; `run` is empty when the connection broke before an answer.
struct Told {
    std::string run;
    int status = 0;
    std::string body;

    bool operator==(const Told&) const = default;
};

Told send(const Instance& instance, const HttpRequest& request)
{
    const auto answer = TestHttpClient(instance.callers, callerLimit).send(request);
    if (!answer.ok())
        return {};
    return {std::string(answer->headers.find(header::run).value_or("")), answer->status, answer->body};
}

Told order(const Instance& instance, const std::string& key, const std::string& body = "two poles")
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
void faultServices(Deployment& deployment, const nlohmann::json& posted)
{
    for (std::size_t i = 0; i < deployment.serviceCount(); ++i)
        deployment.service(i).postFault(posted);
}

// One call of a run, and what its caller was told.
struct Call {
    std::string key;
    std::string body;
    // Whether no other call uses the key.
    bool alone = false;
    Told told;
};

// Callers that race on keys until they are stopped. Each draws from its own seeded choices.
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

    // Only after stop().
    const std::vector<Call>& calls() const { return calls_; }

private:
    // Shared keys that are in use at a time; few, so that callers meet.
    static constexpr std::int64_t openKeys = 4;

    void run(int number)
    {
        SeededRandom chance(seed_ * 1000 + static_cast<std::uint64_t>(number));
        for (int i = 0; !stopped_; ++i) {
            Call call;
            call.alone = chance.percent(40);
            call.key = call.alone ? fmt::format("alone-{}-{}-{}", seed_, number, i)
                                  : fmt::format("shared-{}-{}", seed_, (shared_++ / 8) + chance.between(0, openKeys));
            call.body = !call.alone && chance.percent(15) ? "other" : "body";
            const auto instance = static_cast<std::size_t>(
                chance.between(0, static_cast<std::int64_t>(deployment_.instanceCount()) - 1));
            call.told = order(deployment_.instance(instance), call.key, call.body);
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

// The faults of the platform: before the effect of a write or a read, after it, and during it.
std::vector<nlohmann::json> platformFaults(SeededRandom& chance)
{
    const std::chrono::milliseconds delay(chance.between(50, 1200));
    const int count = static_cast<int>(chance.between(1, 3));
    return {fault(writes, "refuse", count), fault(writes, "drop_answer", count), fault(writes, "delay", count, delay),
        fault(writes, "delay", count, delay, "after_effect"), fault(writes, "freeze", count, delay),
        fault("/tables/claims", "refuse", count), fault("/tables/claims", "delay", count, delay)};
}

// Faults of the service that lose no answer.
std::vector<nlohmann::json> mildServiceFaults(SeededRandom& chance)
{
    return {fault(orders, "not_run", static_cast<int>(chance.between(1, 4))),
        fault(orders, "delay", static_cast<int>(chance.between(1, 4)), 100ms),
        fault(orders, "delay", static_cast<int>(chance.between(1, 4)), 100ms, "after_effect")};
}

// Faults of the service that lose an answer or let it come too late.
std::vector<nlohmann::json> hardServiceFaults(SeededRandom& chance)
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

// Posts a fault of the platform and one of a service at a time, for `duration`.
void disturb(Deployment& deployment, SeededRandom& chance, bool loseAnswers, std::chrono::milliseconds duration)
{
    const auto end = Clock::now() + duration;
    while (Clock::now() < end) {
        deployment.platform().postFault(pick(platformFaults(chance), chance));
        Standin& service = deployment.service(
            static_cast<std::size_t>(chance.between(0, static_cast<std::int64_t>(deployment.serviceCount()) - 1)));
        const bool hard = loseAnswers && chance.percent(60);
        service.postFault(pick(hard ? hardServiceFaults(chance) : mildServiceFaults(chance), chance));
        std::this_thread::sleep_for(std::chrono::milliseconds(chance.between(150, 450)));
    }
}

struct Verdict {
    // Without the answer that a call under the same key is in progress.
    int unknown = 0;
    int refused = 0;
    int answered = 0;
};

// Checks the calls of a run against what the services executed.
Verdict judge(const std::vector<Call>& calls, const std::map<std::string, std::uint64_t>& executions)
{
    const auto executed = [&](const std::string& key) {
        const auto found = executions.find(key);
        return found == executions.end() ? 0 : found->second;
    };
    Verdict verdict;
    std::map<std::string, Told> firstAnswers;
    for (const Call& call : calls) {
        EXPECT_LE(executed(call.key), 1U) << call.key;
        if (call.told.run == "unknown" && call.told.status != 409)
            ++verdict.unknown;
        if (call.told.run == "no") {
            ++verdict.refused;
            if (call.alone) {
                EXPECT_EQ(executed(call.key), 0U) << call.key << " was told: not run; " << call.told.body;
            }
        }
        if (call.told.run != "yes")
            continue;
        ++verdict.answered;
        EXPECT_EQ(executed(call.key), 1U) << call.key << " was answered: " << call.told.body;
        const auto [first, isFirst] = firstAnswers.emplace(call.key, call.told);
        EXPECT_EQ(first->second, call.told) << call.key << ": a replay differs";
    }
    return verdict;
}

// Waits until no claim is being stored and no late call can arrive at a service.
void settle(Deployment& deployment)
{
    clearAllFaults(deployment);
    std::map<std::string, std::uint64_t> last;
    auto changedAt = Clock::now();
    Deployment::await("the services are quiet", [&] {
        std::map<std::string, std::uint64_t> now = executionsByKey(deployment);
        if (now != last)
            changedAt = Clock::now();
        last = std::move(now);
        return Clock::now() - changedAt > patience + 500ms;
    });
}

// The deployment of the tests that kill no instance.
Deployment& sharedDeployment()
{
    static const std::unique_ptr<Deployment> deployment = [] {
        auto started = std::make_unique<Deployment>(LYCHEE_BUILD_DIR, options());
        started->configure();
        return started;
    }();
    return *deployment;
}

// Guards against a second execution, a wrong "not run" and a wrong replay when callers race through all instances
// while writes fail before, after and during their effect and the service loses, delays and refuses calls.
TEST(AtMostOnce, HoldsUnderRacesAndCombinedFaults)
{
    Deployment& deployment = sharedDeployment();
    for (const std::uint64_t seed : {11U, 12U}) {
        SeededRandom chance(seed);
        Callers callers(deployment, seed, 8);
        disturb(deployment, chance, true, 2200ms);
        clearAllFaults(deployment);
        callers.stop();
        settle(deployment);
        const Verdict verdict = judge(callers.calls(), executionsByKey(deployment));
        fmt::print("seed {}: {} calls, {} answered, {} refused, {} unknown\n", seed, callers.calls().size(),
            verdict.answered, verdict.refused, verdict.unknown);
        EXPECT_GT(verdict.answered, 50);
        EXPECT_GT(verdict.refused, 0);
    }
}

// Guards against a second run of a call whose instance was killed while it held the claim, and against losing the
// stored answers of its earlier calls. Callers go on through the other instances.
TEST(AtMostOnce, CallsOfAKilledInstanceNeverRunAgain)
{
    Deployment deployment(LYCHEE_BUILD_DIR, options());
    deployment.configure();
    const Told stored = order(deployment.instance(0), "stored");
    ASSERT_EQ(stored.run, "yes");

    constexpr int heldCalls = 12;
    const auto heldKey = [](int i) { return fmt::format("held-{}", i); };
    faultServices(deployment, fault(orders, "freeze", -1));
    std::vector<std::future<Told>> held;
    held.reserve(heldCalls);
    for (int i = 0; i < heldCalls; ++i)
        held.push_back(std::async(std::launch::async, [&, i] { return order(deployment.instance(0), heldKey(i)); }));
    std::this_thread::sleep_for(700ms);
    deployment.instance(0).process->kill();
    int lost = 0;
    for (std::future<Told>& call : held)
        lost += call.get().run.empty() ? 1 : 0;
    EXPECT_EQ(lost, heldCalls);

    // Callers try again at once, while the calls are still held before their effect at the service, and the platform
    // loses answers as well.
    deployment.platform().postFault(fault(writes, "drop_answer", 2));
    std::vector<std::future<Told>> retries;
    retries.reserve(heldCalls);
    for (int i = 0; i < heldCalls; ++i) {
        retries.push_back(std::async(std::launch::async,
            [&, i] { return order(deployment.instance(1U + static_cast<std::size_t>(i % 3)), heldKey(i)); }));
    }
    for (std::future<Told>& retry : retries)
        EXPECT_NE(retry.get().run, "yes");
    settle(deployment);
    std::this_thread::sleep_for(unknownAfter);
    int unknown = 0;
    for (int i = 0; i < heldCalls; ++i) {
        const Told later = order(deployment.instance(1U + static_cast<std::size_t>((i + 1) % 3)), heldKey(i));
        unknown += later.run == "unknown" ? 1 : 0;
        // A call whose claim the kill forestalled was run by its retry; its answer is stored.
        EXPECT_TRUE((later.run == "unknown" && later.status == 504) || (later.run == "yes" && later.status == 200))
            << later.run << " " << later.status << " " << later.body;
    }
    fmt::print("{} of {} calls of the killed instance are unknown\n", unknown, heldCalls);
    EXPECT_GT(unknown, 0);
    EXPECT_EQ(order(deployment.instance(2), "stored"), stored);
    for (const auto& [key, count] : executionsByKey(deployment))
        EXPECT_EQ(count, 1U) << key;
}

// Guards against a shared key space of teams and against a replay to another request.
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
    const Told first = order(deployment.instance(0), "same");
    EXPECT_EQ(first.run, "yes");
    const Told reused = order(deployment.instance(1), "same", "three poles");
    EXPECT_EQ(reused.status, 422);
    EXPECT_EQ(reused.run, "no");
    HttpRequest otherTeam = Deployment::order("same", "two poles");
    otherTeam.target = "/v1/services/depot/orders";
    otherTeam.headers.set("Authorization", fmt::format("Bearer {}", deskToken));
    const Told separate = send(deployment.instance(2), otherTeam);
    EXPECT_EQ(separate.run, "yes");
    EXPECT_EQ(separate.status, 200);
    EXPECT_EQ(deployment.executions("same"), 1U);
    EXPECT_EQ(depot.stats()["executions"].value("same", 0), 1);
    EXPECT_EQ(order(deployment.instance(3), "same"), first);
}

// Guards against a lost outcome when the answer comes after the caller's patience.
TEST(AtMostOnce, ALateAnswerIsStoredForTheRetry)
{
    Deployment& deployment = sharedDeployment();
    clearAllFaults(deployment);
    faultServices(deployment, fault(orders, "delay", 1, 1500ms, "after_effect"));
    HttpRequest impatient = Deployment::order("late", "two poles");
    impatient.headers.set(header::patience, "500");
    const Told told = send(deployment.instance(0), impatient);
    EXPECT_EQ(told.run, "unknown");
    EXPECT_EQ(told.status, 504);
    Told retried;
    Deployment::await("the late answer is stored", [&] {
        retried = order(deployment.instance(1), "late");
        return retried.run == "yes";
    });
    EXPECT_EQ(retried.status, 200);
    EXPECT_EQ(deployment.executions("late"), 1U);
    clearAllFaults(deployment);
}

// Guards against a second run by a retry through another data centre, both after an answer and after a lost one.
TEST(AtMostOnce, ARetryThroughAnotherDataCentreRunsNothing)
{
    Deployment& deployment = sharedDeployment();
    clearAllFaults(deployment);
    ASSERT_NE(deployment.instance(0).dataCentre, deployment.instance(1).dataCentre);
    const Told first = order(deployment.instance(0), "moved");
    EXPECT_EQ(first.run, "yes");
    EXPECT_EQ(order(deployment.instance(1), "moved"), first);
    faultServices(deployment, fault(orders, "drop_answer", -1));
    EXPECT_EQ(order(deployment.instance(0), "dropped").run, "unknown");
    clearAllFaults(deployment);
    EXPECT_EQ(order(deployment.instance(1), "dropped").run, "unknown");
    EXPECT_EQ(deployment.executions("moved"), 1U);
    EXPECT_EQ(deployment.executions("dropped"), 1U);
}

// Guards against a call without a claim, and against a caller who waits longer than it said, while the platform
// refuses connections or does not answer.
TEST(NotRun, WithoutThePlatformCallsAreRefusedInTime)
{
    Deployment& deployment = sharedDeployment();
    clearAllFaults(deployment);
    std::vector<std::string> keys;
    for (const std::string_view kind : {"refuse", "freeze", "drop_answer"}) {
        deployment.platform().postFault(fault("/", kind, -1));
        std::vector<std::future<std::pair<Told, Clock::duration>>> calls;
        for (std::size_t i = 0; i < deployment.instanceCount(); ++i) {
            keys.push_back(fmt::format("down-{}-{}", kind, i));
            calls.push_back(std::async(std::launch::async, [&deployment, i, key = keys.back()] {
                const auto start = Clock::now();
                HttpRequest request = Deployment::order(key, "two poles");
                request.headers.set(header::patience, std::to_string(shortPatience.count()));
                Told told = send(deployment.instance(i), request);
                return std::pair(std::move(told), Clock::now() - start);
            }));
        }
        for (auto& call : calls) {
            const auto [told, took] = call.get();
            EXPECT_EQ(told.run, "no") << kind << ": " << told.body;
            EXPECT_EQ(told.status, 503) << kind;
            EXPECT_LT(took, shortPatience + answerSlack) << kind;
        }
        deployment.platform().clearFaults();
    }
    for (const std::string& key : keys)
        EXPECT_EQ(deployment.executions(key), 0U) << key;
    // The keys were not run, so they are free for a retry of the same call.
    for (const std::string& key : keys) {
        Deployment::await(
            key + " runs after the outage", [&] { return order(deployment.instance(0), key).run == "yes"; });
        EXPECT_EQ(deployment.executions(key), 1U) << key;
    }
}

// Guards against "not run" after a call that ran, and against a key that stays locked after a call that did not.
TEST(NotRun, ARefusedCallMayBeRetriedUnderItsKey)
{
    Deployment& deployment = sharedDeployment();
    clearAllFaults(deployment);
    faultServices(deployment, fault(orders, "not_run", -1));
    for (std::size_t i = 0; i < deployment.instanceCount(); ++i)
        EXPECT_EQ(order(deployment.instance(i), fmt::format("refused-{}", i)).run, "no");
    clearAllFaults(deployment);
    for (std::size_t i = 0; i < deployment.instanceCount(); ++i) {
        const std::string key = fmt::format("refused-{}", i);
        EXPECT_EQ(deployment.executions(key), 0U);
        const Told told = order(deployment.instance((i + 1) % deployment.instanceCount()), key);
        EXPECT_EQ(told.run, "yes") << told.body;
        EXPECT_EQ(deployment.executions(key), 1U);
    }
}

// Guards against needless unknown outcomes: with no killed instance and no lost answer of the service, at most 2% of
// the callers are told that the outcome is unknown, whatever the platform loses.
TEST(NotRun, UnknownOutcomesAreRareWithoutLostAnswers)
{
    Deployment& deployment = sharedDeployment();
    constexpr std::uint64_t seed = 21;
    SeededRandom chance(seed);
    Callers callers(deployment, seed, 8);
    disturb(deployment, chance, false, 2500ms);
    clearAllFaults(deployment);
    callers.stop();
    settle(deployment);
    const Verdict verdict = judge(callers.calls(), executionsByKey(deployment));
    const double share = static_cast<double>(verdict.unknown) / static_cast<double>(callers.calls().size());
    fmt::print("seed {}: {} calls, {} answered, {} refused, {} needlessly unknown ({:.2f}%)\n", seed,
        callers.calls().size(), verdict.answered, verdict.refused, verdict.unknown, 100 * share);
    EXPECT_GT(verdict.answered, 50);
    EXPECT_LE(share, 0.02);
}

} // namespace
} // namespace lychee::test
