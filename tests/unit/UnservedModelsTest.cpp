// Plays engines with fewer places than models in demand, and checks that rare models get their turn.
#include "fleet/PlacementPlan.h"

#include <gtest/gtest.h>

namespace lychee::fleet {
namespace {

using namespace std::chrono_literals;

constexpr Duration passInterval = 200ms;
constexpr Duration loadTime = 3s;
constexpr Duration freshTime = 5s;
constexpr int placesOnEngine = 3;

Engine engineWith(int models)
{
    Engine engine;
    engine.weightMegabytes = 200000;
    for (int i = 0; i < models; ++i) {
        Model model;
        model.id = ModelId(fmt::format("m{}", i));
        model.weightMegabytes = 66000;
        model.storeLoad = loadTime;
        engine.models.push_back(model);
    }
    return engine;
}

PlannedEngine target(int index, std::vector<int> models)
{
    PlannedEngine planned;
    planned.id = TargetId(fmt::format("t{}", index));
    planned.dataCentre = DataCentreId("a");
    for (const int model : models)
        planned.models.push_back({ModelId(fmt::format("m{}", model)), 1, {}});
    return planned;
}

// Guards against a model that is never loaded although it is asked for, because all engines are full of models that
// nobody asks for.
TEST(UnservedModels, ModelInDemandTakesThePlaceOfOneThatNobodyAsksFor)
{
    const Engine engine = engineWith(4);
    const std::vector<PlannedEngine> engines{target(0, {0, 1, 2})};
    const std::vector<ModelDemand> demand{{ModelId("m0"), 0.4}, {ModelId("m2"), 0.01}, {ModelId("m3"), 0.02}};
    const auto orders = planModels(engine, engines, demand, 1, {{ModelId("m3"), 0s}});
    ASSERT_EQ(orders.size(), 1u);
    EXPECT_EQ(orders[0].kind, ModelOrderKind::Unload);
    EXPECT_EQ(orders[0].model, ModelId("m1"));
    EXPECT_EQ(orders[0].roomFor, ModelId("m3"));
}

// Guards against unloading a model that is asked for, or that was loaded only now, as soon as another one is asked for.
TEST(UnservedModels, ModelInUseYieldsOnlyToOneThatHasWaited)
{
    const Engine engine = engineWith(4);
    std::vector<PlannedEngine> engines{target(0, {0, 1, 2})};
    const std::vector<ModelDemand> demand{
        {ModelId("m0"), 0.4}, {ModelId("m1"), 0.05}, {ModelId("m2"), 0.01}, {ModelId("m3"), 0.02}};
    EXPECT_TRUE(planModels(engine, engines, demand, 1, {{ModelId("m3"), UnservedModels::maxWait - 1ms}}).empty());
    const UnservedTimes waited{{ModelId("m3"), UnservedModels::maxWait}};
    const auto orders = planModels(engine, engines, demand, 1, waited);
    ASSERT_EQ(orders.size(), 1u);
    EXPECT_EQ(orders[0].model, ModelId("m2")) << "the model with the least work yields";
    engines[0].fresh = {ModelId("m0"), ModelId("m1"), ModelId("m2")};
    EXPECT_TRUE(planModels(engine, engines, demand, 1, waited).empty());
}

// Guards against models without room that keep those that need further copies out of every pass.
TEST(UnservedModels, MissingModelsLeaveRoomInAPassForBusyOnes)
{
    const Engine engine = engineWith(30);
    std::vector<PlannedEngine> engines{target(0, {0, 1, 2}), target(1, {3, 4, 5}), target(2, {6, 7}), target(3, {8})};
    for (std::size_t i = 0; i < engines.size(); ++i)
        engines[i].acceptsOrders = i == 3;
    engines[3].weightsOnDisk = {ModelId("m0")};
    std::vector<ModelDemand> demand{{ModelId("m0"), 1.5}};
    for (int i = 9; i < 30; ++i)
        demand.push_back({ModelId(fmt::format("m{}", i)), 0.01});
    // No load from the weight store is allowed now, so no missing model can be loaded.
    const auto orders = planModels(engine, engines, demand, 0);
    ASSERT_EQ(orders.size(), 1u);
    EXPECT_EQ(orders[0].model, ModelId("m0"));
    EXPECT_EQ(orders[0].reason, PlanReason::Demand);
}

TEST(UnservedModels, WaitLastsUntilTheModelIsHeld)
{
    UnservedModels unserved;
    const TimePoint start = TimePoint() + 100s;
    const std::vector<ModelDemand> demand{{ModelId("m1"), 0.01}, {ModelId("m2"), 0.01}};
    EXPECT_EQ(unserved.update(demand, {ModelId("m2")}, start), (UnservedTimes{{ModelId("m1"), 0s}}));
    EXPECT_TRUE(unserved.update({}, {}, start + 3s).empty());
    EXPECT_EQ(unserved.update(demand, {ModelId("m2")}, start + 5s), (UnservedTimes{{ModelId("m1"), 5s}}));
    EXPECT_TRUE(unserved.update(demand, {ModelId("m1"), ModelId("m2")}, start + 6s).empty());
    EXPECT_EQ(unserved.update(demand, {ModelId("m2")}, start + 7s), (UnservedTimes{{ModelId("m1"), 0s}}));
}

struct PlayedEngine {
    PlannedEngine planned;
    TimePoint loadedAt;
    std::map<ModelId, TimePoint> loads;
};

// Guards against models that are asked for all day and never served where all engines are full, and against frequent
// models that lose their places to the rare ones.
TEST(UnservedModels, EveryModelInDemandIsHeldAtSomeTimeAndBusyOnesMostOfIt)
{
    constexpr int models = 50;
    constexpr int busyModels = 6;
    constexpr int engineCount = 10;
    const Engine engine = engineWith(models);
    std::vector<PlayedEngine> engines;
    engines.reserve(engineCount);
    for (int i = 0; i < engineCount; ++i)
        engines.push_back({target(i, {3 * i, 3 * i + 1, 3 * i + 2}), {}, {}});
    std::vector<ModelDemand> demand;
    demand.reserve(models);
    for (int i = 0; i < models; ++i)
        demand.push_back({ModelId(fmt::format("m{}", i)), i < busyModels ? 0.3 : 0.01});
    UnservedModels unserved;
    std::map<ModelId, Duration> heldFor;
    constexpr Duration day = 40s;
    for (TimePoint now = TimePoint() + 100s; now < TimePoint() + 100s + day; now += passInterval) {
        std::set<ModelId> held;
        std::vector<PlannedEngine> planned;
        for (PlayedEngine& played : engines) {
            if (played.planned.arriving && now >= played.loadedAt) {
                played.loads[*played.planned.arriving] = now;
                played.planned.models.push_back({*played.planned.arriving, 1, {}});
                played.planned.arriving.reset();
            }
            played.planned.acceptsOrders = !played.planned.arriving;
            played.planned.fresh.clear();
            for (const auto& [model, time] : played.loads) {
                if (now - time < freshTime)
                    played.planned.fresh.insert(model);
            }
            for (const HeldModel& model : played.planned.models)
                held.insert(model.model);
            planned.push_back(played.planned);
        }
        for (const ModelId& model : held)
            heldFor[model] += passInterval;
        for (const ModelOrder& order : planModels(engine, planned, demand, 2, unserved.update(demand, held, now))) {
            PlayedEngine& played = *std::find_if(engines.begin(), engines.end(),
                [&](const PlayedEngine& entry) { return entry.planned.id == order.target; });
            std::erase_if(played.planned.models, [&](const HeldModel& model) {
                return order.kind == ModelOrderKind::Unload && model.model == order.model;
            });
            ASSERT_LT(played.planned.models.size(), static_cast<std::size_t>(placesOnEngine));
            played.planned.arriving = order.kind == ModelOrderKind::Load ? order.model : order.roomFor;
            played.loadedAt = now + loadTime;
        }
    }
    for (int i = 0; i < models; ++i) {
        const ModelId model(fmt::format("m{}", i));
        EXPECT_GT(heldFor[model], Duration(0)) << model << " was never held";
        if (i < busyModels) {
            EXPECT_GE(heldFor[model], day * 9 / 10) << model;
        }
    }
}

} // namespace
} // namespace lychee::fleet
