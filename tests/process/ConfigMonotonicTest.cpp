#include "tests/support/Deployment.h"

#include <gtest/gtest.h>

#include <atomic>
#include <mutex>
#include <thread>

namespace lychee::test {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;
using std::chrono::milliseconds;
using std::chrono::steady_clock;

constexpr auto requestLimit = 15000ms;

// Required limit from accepting a configuration until it is in force on all instances.
constexpr auto propagationLimit = 5000ms;

constexpr auto sampleInterval = 10ms;

DeploymentOptions makeOptions()
{
    DeploymentOptions options;
    options.dataCentres = 2;
    options.instancesPerDataCentre = 3;
    options.enginesPerDataCentre = 1;
    options.services = 1;
    options.models = 2;
    options.adapters = 1;
    options.platformFlags = {"--weight-bytes-per-second=100000000000"};
    return options;
}

std::uint64_t reportedVersion(const Deployment& deployment, const Instance& instance)
{
    const json status = deployment.status(instance);
    return status.is_object() ? status["configuration_version"].get<std::uint64_t>() : 0;
}

// Reads the configuration version of every instance continuously and records every decrease.
class VersionSampler {
public:
    explicit VersionSampler(Deployment& deployment)
        : deployment_(deployment)
    {
        for (std::size_t i = 0; i < deployment.instanceCount(); ++i)
            watch(deployment.instance(i));
    }

    VersionSampler(const VersionSampler&) = delete;
    VersionSampler& operator=(const VersionSampler&) = delete;

    ~VersionSampler() { stop(); }

    void watch(const Instance& instance)
    {
        threads_.emplace_back([this, &instance] {
            std::uint64_t highest = 0;
            while (!stopped_) {
                const std::uint64_t version = reportedVersion(deployment_, instance);
                ++samples_;
                // 0 means that the instance did not answer in time, or has no configuration yet.
                if (version != 0 && version < highest) {
                    const std::lock_guard lock(mutex_);
                    decreases_.push_back(fmt::format("{}: {} after {}", instance.id, version, highest));
                }
                highest = std::max(highest, version);
                std::this_thread::sleep_for(sampleInterval);
            }
        });
    }

    void stop()
    {
        stopped_ = true;
        for (std::thread& thread : threads_)
            thread.join();
        threads_.clear();
    }

    // Stops sampling and checks that no instance ever returned to an older version.
    void expectMonotonic()
    {
        stop();
        fmt::print("{} samples\n", samples_.load());
        EXPECT_TRUE(decreases_.empty()) << fmt::format("{}", fmt::join(decreases_, "\n"));
        EXPECT_GT(samples_, deployment_.instanceCount());
    }

private:
    Deployment& deployment_;
    std::atomic<bool> stopped_{false};
    std::atomic<std::uint64_t> samples_{0};
    std::mutex mutex_;
    std::vector<std::string> decreases_;
    std::vector<std::thread> threads_;
};

class ConfigMonotonic : public testing::Test {
protected:
    void SetUp() override { deployment_.configure(); }

    // The answers of the deployment with one more class, whose patience depends on `change`, so that each change
    // differs from the others.
    std::string answers(int change) const
    {
        return deployment_.answers()
            + fmt::format("[class extra]\nteam = desk\npatience_ms = {}\npriority = 1\n", 1000 + change);
    }

    absl::StatusOr<HttpResponse> submit(const Instance& instance, std::uint64_t base, const std::string& text)
    {
        const HttpHeaders headers{{"Authorization", fmt::format("Bearer {}", operatorToken)}};
        return TestHttpClient(instance.operators, requestLimit)
            .send({"POST", fmt::format("/operator/v1/answers?base_version={}", base), headers, text});
    }

    std::uint64_t version(std::size_t i) { return reportedVersion(deployment_, deployment_.instance(i)); }

    // Waits until every instance has version `wanted` or a newer one. Returns the time taken.
    milliseconds awaitPropagation(std::uint64_t wanted, milliseconds limit = propagationLimit)
    {
        const auto begun = steady_clock::now();
        for (std::size_t i = 0; i < deployment_.instanceCount(); ++i) {
            Deployment::await(
                fmt::format("version {} on {}", wanted, deployment_.instance(i).id),
                [&] { return version(i) >= wanted; }, limit);
        }
        return std::chrono::duration_cast<milliseconds>(steady_clock::now() - begun);
    }

    // Submits one change, based on the version in force, to instance `by`. Returns the accepted version.
    std::uint64_t change(std::size_t by, int number)
    {
        const std::uint64_t base = version(by);
        const auto response = submit(deployment_.instance(by), base, answers(number));
        if (!response.ok() || response->status != 200)
            throw std::runtime_error("the configuration change was not accepted: "
                + (response.ok() ? response->body : response.status().ToString()));
        return json::parse(response->body)["version"];
    }

    Deployment deployment_{LYCHEE_BUILD_DIR, makeOptions()};
};

// Guards against an accepted configuration that reaches an instance too late or not at all, or is replaced by an older
// one.
TEST_F(ConfigMonotonic, ReachesAllInstancesWithinTheBound)
{
    constexpr int changes = 15;
    VersionSampler sampler(deployment_);
    std::vector<milliseconds> taken;
    for (int i = 0; i < changes; ++i) {
        const std::uint64_t accepted = change(static_cast<std::size_t>(i) % deployment_.instanceCount(), i);
        taken.push_back(awaitPropagation(accepted));
    }
    std::sort(taken.begin(), taken.end());
    fmt::print("{} changes in force everywhere: median {} ms, maximum {} ms\n", changes, taken[changes / 2].count(),
        taken.back().count());
    EXPECT_LT(taken.back(), propagationLimit);
    sampler.expectMonotonic();
}

// Guards against accepting several concurrent changes that are based on the same version.
TEST_F(ConfigMonotonic, OneOfSeveralOperatorsWins)
{
    constexpr int rounds = 5;
    VersionSampler sampler(deployment_);
    for (int round = 0; round < rounds; ++round) {
        const std::uint64_t base = version(0);
        awaitPropagation(base);
        std::vector<absl::StatusOr<HttpResponse>> responses(
            deployment_.instanceCount(), absl::UnknownError("not sent"));
        std::vector<std::thread> operators;
        for (std::size_t i = 0; i < responses.size(); ++i) {
            operators.emplace_back([&, i] {
                const int number = round * 100 + static_cast<int>(i);
                responses[i] = submit(deployment_.instance(i), base, answers(number));
            });
        }
        for (std::thread& thread : operators)
            thread.join();
        int won = 0;
        for (const auto& response : responses) {
            ASSERT_TRUE(response.ok()) << response.status();
            const json body = json::parse(response->body);
            if (response->status == 200) {
                ++won;
                EXPECT_EQ(body["version"], base + 1);
                continue;
            }
            ASSERT_EQ(response->status, 409) << response->body;
            EXPECT_GE(body["version"].get<std::uint64_t>(), base + 1) << response->body;
            EXPECT_FALSE(body["difference"].empty()) << response->body;
        }
        EXPECT_EQ(won, 1);
        awaitPropagation(base + 1);
    }
    sampler.expectMonotonic();
}

// Guards against reporting a change as failed or in conflict although it took effect, when the platform's answer to the
// write is lost.
TEST_F(ConfigMonotonic, AnswerLostAfterTheWriteTookEffect)
{
    VersionSampler sampler(deployment_);
    for (int i = 0; i < 5; ++i) {
        const std::uint64_t base = version(0);
        const json before = deployment_.platform().stats()["faults_taken"];
        deployment_.platform().postFault({{"path", "/tables/transact"}, {"kind", "drop_answer"}, {"count", 1}});
        const auto response = submit(deployment_.instance(0), base, answers(i));
        ASSERT_TRUE(response.ok()) << response.status();
        EXPECT_EQ(response->status, 200) << response->body;
        EXPECT_NE(deployment_.platform().stats()["faults_taken"], before) << "no answer was lost";
        awaitPropagation(base + 1);
    }
    sampler.expectMonotonic();
}

// Guards against instances losing their configuration when the platform fails, and against a new instance not becoming
// ready without the platform although its peers have the configuration.
TEST_F(ConfigMonotonic, PlatformDownAndBack)
{
    VersionSampler sampler(deployment_);
    const std::uint64_t before = change(0, 1);
    awaitPropagation(before);
    deployment_.platform().postFault({{"path", "/"}, {"kind", "refuse"}, {"count", -1}});
    const Instance& added = deployment_.startInstance("dc-1");
    sampler.watch(added);
    Deployment::await(
        "the new instance has the configuration of its peers",
        [&] { return reportedVersion(deployment_, added) == before && deployment_.isReady(added); }, propagationLimit);
    const auto refused = submit(deployment_.instance(0), before, answers(2));
    ASSERT_TRUE(refused.ok()) << refused.status();
    EXPECT_EQ(refused->status, 503) << refused->body;
    for (std::size_t i = 0; i < deployment_.instanceCount(); ++i)
        EXPECT_EQ(version(i), before) << deployment_.instance(i).id;
    deployment_.platform().clearFaults();
    Deployment::await(
        "the platform is used again", [&] { return deployment_.status(deployment_.instance(0))["platform"] == "up"; });
    awaitPropagation(change(0, 3));
    sampler.expectMonotonic();
}

// Guards against two faults while the platform is paused: instances that block until it resumes, and configuration
// changes that fail afterwards because a held write took effect after its sender had timed out.
TEST_F(ConfigMonotonic, PlatformPausedAndBack)
{
    VersionSampler sampler(deployment_);
    const std::uint64_t before = version(0);
    deployment_.platform().process().freeze();
    std::thread writer([&] { submit(deployment_.instance(1), before, answers(1)).status().IgnoreError(); });
    std::this_thread::sleep_for(3s);
    EXPECT_TRUE(deployment_.isReady(deployment_.instance(0)));
    EXPECT_EQ(version(0), before);
    deployment_.platform().process().resume();
    writer.join();
    Deployment::await(
        "the platform is used again", [&] { return deployment_.status(deployment_.instance(0))["platform"] == "up"; });
    // The held write may or may not have taken effect. In both cases a change based on the version in force is
    // accepted.
    Deployment::await("a change is accepted", [&] {
        const auto response = submit(deployment_.instance(0), version(0), answers(2));
        return response.ok() && response->status == 200;
    });
    awaitPropagation(version(0));
    sampler.expectMonotonic();
}

// Guards against an instance returning to an older version because the platform returns an older row, as after
// restoring a backup or from a lagging replica.
TEST_F(ConfigMonotonic, OlderRowIsNotTaken)
{
    const std::uint64_t first = version(0);
    const std::uint64_t newest = change(0, 1);
    awaitPropagation(newest);
    VersionSampler sampler(deployment_);
    TestHttpClient platform = deployment_.platform().client();
    const auto oldRow = platform.send({"GET", fmt::format("/tables/config/rows/version-{:012}", first)});
    ASSERT_TRUE(oldRow.ok() && oldRow->status == 200);
    const auto current = platform.send({"GET", "/tables/config/rows/current"});
    ASSERT_TRUE(current.ok() && current->status == 200);
    const json check{{"table", "config"}, {"key", "current"}, {"version", json::parse(current->body)["version"]}};
    const json put{{"table", "config"}, {"key", "current"}, {"value", json::parse(oldRow->body)["value"]}};
    const json group{{"checks", json::array({check})}, {"puts", json::array({put})}};
    const json transaction{{"groups", json::array({group})}};
    const auto written = platform.send({"POST", "/tables/transact", {}, transaction.dump()});
    ASSERT_TRUE(written.ok());
    ASSERT_TRUE(json::parse(written->body)["results"][0]["committed"].get<bool>()) << written->body;
    // These settings poll every 300 ms. Two instances of each data centre read the row at every poll and the others at
    // every 15th, so within 16 polls each instance has read it.
    std::this_thread::sleep_for(16 * 300ms);
    for (std::size_t i = 0; i < deployment_.instanceCount(); ++i)
        EXPECT_EQ(version(i), newest) << deployment_.instance(i).id;
    sampler.expectMonotonic();
}

} // namespace
} // namespace lychee::test
