// Plays demand that moves between models, and checks how much of the callers' work finds an engine with room.
#include "tests/unit/PlacementSimulation.h"

#include <gtest/gtest.h>

namespace lychee::fleet {
namespace {

using namespace std::chrono_literals;

// Work that may be lost: the objective of the deployments is an answer in time for 95 of 100 requests.
constexpr double allowedLoss = 0.05;

PlacementOutcome play(PlacementScenario scenario)
{
    constexpr int seeds = 4;
    PlacementOutcome total;
    for (int seed = 1; seed <= seeds; ++seed) {
        scenario.seed = static_cast<std::uint64_t>(seed);
        const PlacementOutcome outcome = PlacementSimulation(scenario).run();
        total.work += outcome.work;
        total.lost += outcome.lost;
        total.settledWork += outcome.settledWork;
        total.settledLost += outcome.settledLost;
        total.loads += outcome.loads;
        total.longestWithoutCopy = std::max(total.longestWithoutCopy, outcome.longestWithoutCopy);
    }
    fmt::print("utilization {}: lost {:.3f}, after the copies can be loaded {:.3f}, {} loads\n", scenario.utilization,
        total.lost / total.work, total.settledLost / total.settledWork, total.loads / seeds);
    return total;
}

// Guards against engines that stay overloaded while others are idle, because the idle ones are full of copies in little
// use that are never unloaded: once the copies that are needed can be loaded, the work must fit.
TEST(PlacementLoad, CopiesFollowDemandThatMoves)
{
    for (const double utilization : {0.5, 0.6, 0.7}) {
        PlacementScenario scenario;
        scenario.utilization = utilization;
        scenario.shiftInterval = 12s;
        const PlacementOutcome outcome = play(scenario);
        EXPECT_LE(outcome.settledLost, allowedLoss * outcome.settledWork) << utilization;
        EXPECT_EQ(outcome.longestWithoutCopy, Duration(0)) << "the last copy of a model was unloaded";
    }
}

// Guards against copies that are loaded and unloaded in turn while the demand stays, and against lost work then.
TEST(PlacementLoad, SettlesWhenDemandStays)
{
    PlacementScenario scenario;
    scenario.utilization = 0.7;
    scenario.shiftInterval = 120s;
    const PlacementOutcome outcome = play(scenario);
    EXPECT_LE(outcome.lost, allowedLoss * outcome.work);
    // One load for each model and seed would already be much.
    EXPECT_LE(outcome.loads, 4 * scenario.models);
}

} // namespace
} // namespace lychee::fleet
