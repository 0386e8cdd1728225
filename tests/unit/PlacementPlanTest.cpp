#include "fleet/PlacementPlan.h"

#include <gtest/gtest.h>

#include <random>

namespace lychee::fleet {
namespace {

using namespace std::chrono_literals;

Engine engineWith(int models, double megabytes)
{
    Engine engine;
    engine.weightMegabytes = 200000;
    engine.adapterSlots = 5;
    for (int i = 0; i < models; ++i) {
        Model model;
        model.id = ModelId(fmt::format("m{}", i));
        model.weightMegabytes = megabytes;
        model.storeLoad = 5s;
        model.diskLoad = 1s;
        model.memoryLoad = 400ms;
        engine.models.push_back(model);
    }
    return engine;
}

PlannedEngine target(int index, std::vector<std::string> models)
{
    PlannedEngine planned;
    planned.id = TargetId(fmt::format("t{}", index));
    planned.dataCentre = DataCentreId(index % 2 == 0 ? "a" : "b");
    for (std::string& model : models)
        planned.models.push_back({ModelId(std::move(model)), 1, {}});
    return planned;
}

// Guards against loading a model without demand before one that is in demand and held by no engine.
TEST(PlacementPlan, LoadsAMissingModelThatIsAskedForFirst)
{
    const Engine engine = engineWith(3, 70000);
    const std::vector<PlannedEngine> engines{target(0, {"m0"}), target(1, {})};
    const std::vector<ModelDemand> demand{{ModelId("m2"), 0.1}};
    const auto orders = planModels(engine, engines, demand, 1);
    ASSERT_FALSE(orders.empty());
    EXPECT_EQ(orders[0].model, ModelId("m2"));
    EXPECT_EQ(orders[0].kind, ModelOrderKind::Load);
    EXPECT_EQ(orders[0].reason, PlanReason::Missing);
}

// Guards against an engine that stays overloaded because demand has moved to a model of which it holds the only copy.
TEST(PlacementPlan, AddsACopyWhereHoldersAreTooBusyAndRoomWhereNobodyAsks)
{
    const Engine engine = engineWith(4, 70000);
    const std::vector<PlannedEngine> engines{target(0, {"m0", "m1"}), target(1, {"m1", "m2"}), target(2, {"m2", "m3"})};
    const std::vector<ModelDemand> demand{{ModelId("m0"), 1.5}};
    const auto orders = planModels(engine, engines, demand, 1);
    ASSERT_EQ(orders.size(), 1u);
    // m1 and m2 have two copies each and no demand.
    EXPECT_EQ(orders[0].kind, ModelOrderKind::Unload);
    EXPECT_NE(orders[0].model, ModelId("m3"));
    EXPECT_NE(orders[0].target, TargetId("t0"));
}

// Guards against a plan with more loads from the weight store than its limit allows.
TEST(PlacementPlan, KeepsToTheLoadsThatTheStoreAllows)
{
    const Engine engine = engineWith(6, 30000);
    const std::vector<PlannedEngine> engines{target(0, {}), target(1, {}), target(2, {}), target(3, {})};
    EXPECT_TRUE(planModels(engine, engines, {}, 0).empty());
    EXPECT_EQ(planModels(engine, engines, {}, 2).size(), 2u);
    std::vector<PlannedEngine> withDisk = engines;
    withDisk[3].weightsOnDisk.insert(ModelId("m0"));
    const auto orders = planModels(engine, withDisk, {}, 0);
    ASSERT_EQ(orders.size(), 1u);
    EXPECT_EQ(orders[0].target, TargetId("t3"));
    EXPECT_FALSE(orders[0].fromStore);
}

// Guards against copies that are loaded and unloaded in turn while demand stays the same.
TEST(PlacementPlan, SettlesUnderSteadyDemand)
{
    const Engine engine = engineWith(10, 66000);
    std::vector<PlannedEngine> engines;
    engines.reserve(8);
    for (int i = 0; i < 8; ++i)
        engines.push_back(target(i, {fmt::format("m{}", i % 10), fmt::format("m{}", (i + 5) % 10)}));
    const std::vector<ModelDemand> demand{{ModelId("m0"), 1.2}, {ModelId("m1"), 0.7}, {ModelId("m2"), 0.3}};
    int quiet = 0;
    for (int round = 0; round < 60 && quiet < 5; ++round) {
        const auto orders = planModels(engine, engines, demand, 2);
        quiet = orders.empty() ? quiet + 1 : 0;
        for (const ModelOrder& order : orders) {
            auto& models = std::find_if(engines.begin(), engines.end(), [&](const PlannedEngine& entry) {
                return entry.id == order.target;
            })->models;
            if (order.kind == ModelOrderKind::Load)
                models.push_back({order.model, 1, {}});
            else
                std::erase_if(models, [&](const HeldModel& held) { return held.model == order.model; });
        }
    }
    EXPECT_EQ(quiet, 5) << "the plan never settles";
}

// Guards against loads beyond an engine's memory, unloading of the last copy, and orders to engines that cannot accept
// one, in random states.
TEST(PlacementPlan, NeverOvercommitsNorDropsTheLastCopy)
{
    constexpr int seeds = 300;
    for (int seed = 0; seed < seeds; ++seed) {
        std::mt19937 random(static_cast<std::uint32_t>(seed));
        Engine engine = engineWith(12, 0);
        for (Model& model : engine.models)
            model.weightMegabytes = 30000 + static_cast<double>(random() % 45000);
        std::vector<PlannedEngine> engines;
        for (int i = 0; i < 6; ++i) {
            PlannedEngine planned = target(i, {});
            for (int tries = 0; tries < 3; ++tries) {
                const Model& model = engine.models[random() % engine.models.size()];
                const bool held = std::any_of(planned.models.begin(), planned.models.end(),
                    [&](const HeldModel& entry) { return entry.model == model.id; });
                if (!held && freeMegabytes(engine, planned) >= model.weightMegabytes)
                    planned.models.push_back({model.id, 1, {}});
            }
            planned.available = random() % 8 != 0;
            planned.acceptsOrders = random() % 4 != 0;
            engines.push_back(planned);
        }
        std::vector<ModelDemand> demand;
        for (const Model& model : engine.models)
            demand.push_back({model.id, static_cast<double>(random() % 200) / 100});
        const auto orders = planModels(engine, engines, demand, 3);
        std::map<ModelId, int> copies;
        for (const PlannedEngine& planned : engines) {
            for (const HeldModel& held : planned.models)
                copies[held.model] += planned.available ? 1 : 0;
        }
        std::set<TargetId> ordered;
        for (const ModelOrder& order : orders) {
            EXPECT_TRUE(ordered.insert(order.target).second) << "two orders for one engine, seed " << seed;
            const auto planned = std::find_if(
                engines.begin(), engines.end(), [&](const PlannedEngine& entry) { return entry.id == order.target; });
            EXPECT_TRUE(planned->available && planned->acceptsOrders) << "seed " << seed;
            if (order.kind == ModelOrderKind::Load)
                EXPECT_GE(freeMegabytes(engine, *planned), engine.find(order.model)->weightMegabytes)
                    << "seed " << seed;
            else
                EXPECT_GE(--copies[order.model], 1) << "seed " << seed;
        }
    }
}

// Guards against counting a model of unknown size as occupying no memory.
TEST(PlacementPlan, CountsAnUndeclaredModelAsTheWholeMemory)
{
    const Engine engine = engineWith(1, 30000);
    const PlannedEngine planned = target(0, {"unknown"});
    EXPECT_LE(freeMegabytes(engine, planned), 0);
    const std::vector<PlannedEngine> engines{planned};
    const auto orders = planModels(engine, engines, {}, 1);
    ASSERT_EQ(orders.size(), 1u);
    EXPECT_EQ(orders[0].kind, ModelOrderKind::Unload);
    EXPECT_EQ(orders[0].model, ModelId("unknown"));
}

// Guards against requests that are refused for as long as the only engine that holds their model is in need.
TEST(PlacementPlan, ModelsOfALimitedEngineGetACopyElsewhere)
{
    const Engine engine = engineWith(4, 70000);
    std::vector<PlannedEngine> engines{target(0, {"m0"}), target(1, {"m1"}), target(2, {"m2"}), target(3, {"m3"})};
    const std::vector<ModelDemand> demand{{ModelId("m0"), 0.05}};
    EXPECT_TRUE(planModels(engine, engines, demand, 4).empty());
    const auto available = [&] {
        return std::count_if(engines.begin(), engines.end(), [](const PlannedEngine& each) { return each.available; });
    };
    leaveOutLimited(engines, {TargetId("t0"), TargetId("t1")});
    EXPECT_EQ(available(), 4) << "half of the engines cannot replace the other half";
    leaveOutLimited(engines, {TargetId("t0")});
    EXPECT_EQ(available(), 3);
    const auto orders = planModels(engine, engines, demand, 4);
    ASSERT_EQ(orders.size(), 1u);
    EXPECT_EQ(orders[0].model, ModelId("m0"));
    EXPECT_NE(orders[0].target, TargetId("t0"));
}

} // namespace
} // namespace lychee::fleet
