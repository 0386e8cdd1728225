#include "tests/support/Deployment.h"

#include <gtest/gtest.h>

#include <iostream>
#include <thread>

namespace lychee::test {
namespace {

using namespace std::chrono_literals;

constexpr int modelLoadsAtOnce = 2;
constexpr int models = 12;

// A transfer takes 1.6 s, longer than the interval between starts, so that transfers overlap and reach the limit.
constexpr std::uint64_t modelBytes = 4'000'000'000;
constexpr const char* storeSpeed = "--weight-bytes-per-second=2500000000";

constexpr auto residentLimit = 60000ms;

// The stand-in itself allows far more loads than the configured limits, so that only the instances enforce them.
DeploymentOptions deploymentOptions()
{
    DeploymentOptions options;
    options.dataCentres = 1;
    options.instancesPerDataCentre = 2;
    options.enginesPerDataCentre = 4;
    options.services = 1;
    options.models = models;
    options.adapters = 0;
    options.modelBytes = modelBytes;
    options.modelLoadsAtOnce = modelLoadsAtOnce;
    options.modelLoadsPerSecond = 2;
    options.platformFlags = {"--weight-rate=100", "--weight-concurrent=100", storeSpeed};
    return options;
}

std::uint64_t peak(Deployment& deployment)
{
    return deployment.platform().stats()["weights_peak_in_flight"].get<std::uint64_t>();
}

// Guards against instances that together exceed the limit of concurrent loads of the weight store, also while others
// take over the slots and targets of a killed instance, and against slots that are lost with their holder.
TEST(LoadPacing, KeepsTheLimitWhenAnInstanceIsKilled)
{
    Deployment deployment(LYCHEE_BUILD_DIR, deploymentOptions());
    const std::filesystem::path answers = deployment.write("answers.ini", deployment.answers());
    const auto submitted = deployment.lycheectl(deployment.instance(0), {"answers", "submit", answers.string()});
    ASSERT_EQ(submitted.code, 0) << submitted.output;
    const auto loads = [&] { return deployment.platform().stats()["model_loads"].get<int>(); };
    Deployment::await("some loads", [&] { return loads() >= 4; });
    const std::uint64_t before = peak(deployment);
    deployment.instance(1).process->kill();
    const int loadsAtKill = loads();
    Deployment::await(
        "all resident", [&] { return deployment.isAllResident(deployment.instance(0)); }, residentLimit);
    const std::uint64_t after = peak(deployment);
    // After the takeover of its slot, a transfer that the killed instance had started may exceed the limit. It held one
    // slot, so that is at most one load.
    constexpr std::uint64_t excess = 1;
    std::cout << fmt::format("limit {}: at most {} model loads at once before the kill, {} in all (excess allowed {}); "
                             "{} loads before the kill, {} in all\n",
        modelLoadsAtOnce, before, after, excess, loadsAtKill, loads());
    EXPECT_LE(before, static_cast<std::uint64_t>(modelLoadsAtOnce));
    EXPECT_LE(after, modelLoadsAtOnce + excess);
    EXPECT_GE(after, static_cast<std::uint64_t>(modelLoadsAtOnce));
    EXPECT_EQ(deployment.overcommits(), 0);
}

} // namespace
} // namespace lychee::test
