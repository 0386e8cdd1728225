// Simulates load on the choice of a target and checks the latency that callers see. The bound is the objective of the
// deployments: the first event in time for 95 % of the requests.
#include "tests/unit/PlainRoutingSimulation.h"
#include "tests/unit/RoutingSimulation.h"

#include <gtest/gtest.h>

namespace lychee::fleet {
namespace {

using namespace std::chrono_literals;

constexpr double inTimeShare = 0.95;
constexpr double objectiveMilliseconds = 1000;

// Engine time that an average request of the simulation takes when nothing is cached.
constexpr double secondsPerRequest = 0.13;

RoutingScenario largeDeployment(double utilization)
{
    RoutingScenario scenario;
    scenario.requestsPerSecond = utilization * static_cast<double>(scenario.engines) / secondsPerRequest;
    return scenario;
}

RoutingScenario smallDeployment(double utilization)
{
    RoutingScenario scenario;
    scenario.instances = 6;
    scenario.engines = 12;
    scenario.copies = 3;
    scenario.statusInterval = 200ms;
    scenario.requestsPerSecond = utilization * static_cast<double>(scenario.engines) / secondsPerRequest;
    return scenario;
}

double shareInTime(const RoutingScenario& scenario)
{
    return RoutingSimulation(scenario).run().shareWithin(objectiveMilliseconds);
}

// Guards against 80 instances that all choose the engine that was idle in the last reports of the others. When each
// instance chose between all engines that hold the model, 0.86 of the requests were in time at this utilization.
TEST(RoutingLoad, ManyInstancesDoNotTurnToTheSameEngine)
{
    EXPECT_GE(shareInTime(largeDeployment(0.6)), inTimeShare);
    EXPECT_GE(shareInTime(largeDeployment(0.75)), inTimeShare);
}

// Guards against a choice that suits many instances but balances the load badly for a few, whose reports are recent.
TEST(RoutingLoad, FewInstancesKeepTheirBalance) { EXPECT_GE(shareInTime(smallDeployment(0.75)), inTimeShare); }

// Guards against shared prompts that are prefilled on one engine after another. A few dozen requests a second share
// most of their prompt, so less than half of the prompt tokens should need a prefill.
TEST(RoutingLoad, ReadsSharedPromptsOnFewEngines)
{
    const RoutingOutcome outcome = RoutingSimulation(largeDeployment(0.6)).run();
    EXPECT_LT(outcome.prefilledTokens, outcome.promptTokens / 2);
}

// Guards against a very frequent prompt that keeps all its requests on the two engines of its group.
TEST(RoutingLoad, AHotPromptSpreadsBeyondItsGroup)
{
    RoutingScenario scenario = largeDeployment(0.6);
    scenario.prompts = 1;
    EXPECT_GE(shareInTime(scenario), inTimeShare);
}

// Guards against a slow engine that receives as many requests as the others.
TEST(RoutingLoad, ASlowEngineGetsLess)
{
    RoutingScenario scenario = smallDeployment(0.45);
    scenario.enginePaces = {4, 1, 1, 1, 1, 1};
    EXPECT_GE(shareInTime(scenario), inTimeShare);
    scenario = largeDeployment(0.45);
    scenario.enginePaces = {4, 1, 1, 1, 1, 1, 1, 1};
    EXPECT_GE(shareInTime(scenario), inTimeShare);
}

PlainRoutingOutcome simulatePlainService(
    std::size_t instances, std::size_t targets, Duration statusInterval, double utilization)
{
    PlainRoutingScenario scenario;
    scenario.instances = instances;
    scenario.targets = targets;
    scenario.statusInterval = statusInterval;
    // The run times are log-normally distributed around their median, so their mean is longer.
    const double meanPerMedian = std::exp(0.5 * 0.5 / 2);
    const double seconds = std::chrono::duration<double>(scenario.work).count() * meanPerMedian;
    scenario.requestsPerSecond = utilization * static_cast<double>(targets * scenario.slots) / seconds;
    return PlainRoutingSimulation(scenario).run();
}

// Guards against 80 instances that fill one target of a plain service while the others are idle. With that fault 0.83
// of the requests were answered within 300 ms at this utilization, and one in eight sends was rejected.
TEST(RoutingLoad, ManyInstancesSpreadPlainRequests)
{
    constexpr double plainObjectiveMilliseconds = 300;
    for (const double utilization : {0.6, 0.75}) {
        const PlainRoutingOutcome outcome = simulatePlainService(80, 4, 1s, utilization);
        EXPECT_GE(outcome.shareWithin(plainObjectiveMilliseconds), inTimeShare) << utilization;
        EXPECT_EQ(outcome.rejected, 0u) << utilization;
        EXPECT_GE(simulatePlainService(6, 3, 200ms, utilization).shareWithin(plainObjectiveMilliseconds), inTimeShare)
            << utilization;
    }
}

} // namespace
} // namespace lychee::fleet
