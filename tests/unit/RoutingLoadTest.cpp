// Plays load through the choice of a target and checks what callers get. The bound is that of the deployments' target:
// the first event in time for 95 in 100.
#include "tests/unit/PlainRoutingSimulation.h"
#include "tests/unit/RoutingSimulation.h"

#include <gtest/gtest.h>

namespace lychee::fleet {
namespace {

using namespace std::chrono_literals;

constexpr double inTimeShare = 0.95;
constexpr double objectiveMilliseconds = 1000;

// Time that an engine needs for an average request of the simulation when nothing is cached; its part of an engine.
constexpr double secondsPerRequest = 0.13;

RoutingScenario largeDeployment(double use)
{
    RoutingScenario scenario;
    scenario.requestsPerSecond = use * static_cast<double>(scenario.engines) / secondsPerRequest;
    return scenario;
}

RoutingScenario smallDeployment(double use)
{
    RoutingScenario scenario;
    scenario.instances = 6;
    scenario.engines = 12;
    scenario.copies = 3;
    scenario.statusInterval = 200ms;
    scenario.requestsPerSecond = use * static_cast<double>(scenario.engines) / secondsPerRequest;
    return scenario;
}

double shareInTime(const RoutingScenario& scenario)
{
    return RoutingSimulation(scenario).run().shareWithin(objectiveMilliseconds);
}

// Guards against 80 instances that all turn to the engine that was idle in the last report of the others: 0.86 of the
// requests were in time at this use when each instance chose between all engines that hold the model.
TEST(RoutingLoad, ManyInstancesDoNotTurnToTheSameEngine)
{
    EXPECT_GE(shareInTime(largeDeployment(0.6)), inTimeShare);
    EXPECT_GE(shareInTime(largeDeployment(0.75)), inTimeShare);
}

// Guards against a choice for many instances that costs a few, whose news are fresh, their balance.
TEST(RoutingLoad, FewInstancesKeepTheirBalance) { EXPECT_GE(shareInTime(smallDeployment(0.75)), inTimeShare); }

// Guards against shared prompts that are read again on engine after engine: most of the prompt is shared by a few
// dozen requests a second, so less than half of it has to be read.
TEST(RoutingLoad, ReadsSharedPromptsOnFewEngines)
{
    const RoutingOutcome outcome = RoutingSimulation(largeDeployment(0.6)).run();
    EXPECT_LT(outcome.readTokens, outcome.promptTokens / 2);
}

// Guards against a single hot prompt that keeps all requests on the two engines of its group.
TEST(RoutingLoad, AHotPromptSpreadsBeyondItsGroup)
{
    RoutingScenario scenario = largeDeployment(0.6);
    scenario.prompts = 1;
    EXPECT_GE(shareInTime(scenario), inTimeShare);
}

// Guards against a slow engine that gets its full share of the requests.
TEST(RoutingLoad, ASlowEngineGetsLess)
{
    RoutingScenario scenario = smallDeployment(0.45);
    scenario.enginePaces = {4, 1, 1, 1, 1, 1};
    EXPECT_GE(shareInTime(scenario), inTimeShare);
    scenario = largeDeployment(0.45);
    scenario.enginePaces = {4, 1, 1, 1, 1, 1, 1, 1};
    EXPECT_GE(shareInTime(scenario), inTimeShare);
}

PlainRoutingOutcome playPlain(std::size_t instances, std::size_t targets, Duration statusInterval, double use)
{
    PlainRoutingScenario scenario;
    scenario.instances = instances;
    scenario.targets = targets;
    scenario.statusInterval = statusInterval;
    // The work is spread around its median, so its mean is longer.
    const double meanOfMedian = std::exp(0.5 * 0.5 / 2);
    const double seconds = std::chrono::duration<double>(scenario.work).count() * meanOfMedian;
    scenario.requestsPerSecond = use * static_cast<double>(targets * scenario.slots) / seconds;
    return PlainRoutingSimulation(scenario).run();
}

// Guards against 80 instances that fill one target of a plain service while the others are idle: 0.83 of the requests
// were answered within 300 ms at this use, and one in eight sends was turned away.
TEST(RoutingLoad, ManyInstancesSpreadPlainRequests)
{
    constexpr double plainObjectiveMilliseconds = 300;
    for (const double use : {0.6, 0.75}) {
        const PlainRoutingOutcome outcome = playPlain(80, 4, 1s, use);
        EXPECT_GE(outcome.shareWithin(plainObjectiveMilliseconds), inTimeShare) << use;
        EXPECT_EQ(outcome.turnedAway, 0u) << use;
        EXPECT_GE(playPlain(6, 3, 200ms, use).shareWithin(plainObjectiveMilliseconds), inTimeShare) << use;
    }
}

} // namespace
} // namespace lychee::fleet
