#include "tests/unit/MemorySimulation.h"

#include <gtest/gtest.h>

namespace lychee {
namespace {

using Simulation = MemorySimulation;

// Sanitizers slow the schedules down about tenfold, so builds with them run fewer.
#if defined(__SANITIZE_ADDRESS__)
constexpr std::uint64_t scheduleCount = 600;
constexpr std::uint64_t ablationCount = 150;
#else
constexpr std::uint64_t scheduleCount = 5200;
constexpr std::uint64_t ablationCount = 500;
#endif

constexpr Simulation::Milliseconds faultyTime = 45'000;
// Longer than the maximum delay of an order or write plus the order timeout.
constexpr Simulation::Milliseconds settlingTime = 85'000;

ArtifactSize item(const char* name)
{
    for (const ArtifactSize& entry : Simulation::catalogue()) {
        if (entry.artifact.value() == name)
            return entry;
    }
    ADD_FAILURE() << "unknown artifact " << name;
    return {};
}

struct Outcome {
    int overcommits = 0;
    std::size_t faultKinds = 0;
    bool isLoaded = false;
    // The load does not fit because lost orders or an inherited grant reserve memory.
    bool isReserved = false;
};

std::set<MemoryFault> drawFaults(std::uint64_t seed)
{
    std::mt19937_64 random(seed * 7919);
    std::set<MemoryFault> faults;
    const std::size_t count = 3 + random() % 6;
    while (faults.size() < count)
        faults.insert(static_cast<MemoryFault>(random() % memoryFaultKinds));
    return faults;
}

MemoryScheduleOptions scheduleOptions(std::uint64_t seed, const MemoryMechanisms& mechanisms)
{
    MemoryScheduleOptions options;
    options.seed = seed;
    options.honoursFencing = seed % 2 == 0;
    options.faults = drawFaults(seed);
    options.mechanisms = mechanisms;
    return options;
}

Outcome runSchedule(std::uint64_t seed, const MemoryMechanisms& mechanisms, const std::set<MemoryFault>& extraFaults)
{
    MemoryScheduleOptions options = scheduleOptions(seed, mechanisms);
    options.faults.insert(extraFaults.begin(), extraFaults.end());
    Simulation simulation(options);
    simulation.want({item("a@1"), item("a@1:x")});
    simulation.runFor(faultyTime);
    simulation.stopFaults();
    const ArtifactSize last = item("d@1");
    simulation.want({last});
    simulation.runFor(settlingTime);
    Outcome outcome;
    outcome.overcommits = simulation.engine().overcommits();
    outcome.faultKinds = simulation.injectedFaults().size();
    outcome.isLoaded = simulation.engine().isResident(last.artifact);
    const OwnershipStateMachine* owner = simulation.owner();
    outcome.isReserved = owner && !owner->ledger()->mayRecordLoad(last);
    return outcome;
}

struct Totals {
    int schedules = 0;
    int overcommitted = 0;
    int reserved = 0;
    int stuck = 0;
    std::uint64_t firstBadSeed = 0;
};

Totals runSchedules(
    std::uint64_t count, const MemoryMechanisms& mechanisms = {}, const std::set<MemoryFault>& extraFaults = {})
{
    Totals totals;
    for (std::uint64_t seed = 1; seed <= count; ++seed) {
        const Outcome outcome = runSchedule(seed, mechanisms, extraFaults);
        if (outcome.faultKinds < 2)
            continue;
        ++totals.schedules;
        const bool reserved = !outcome.isLoaded && outcome.isReserved && seed % 2 == 1;
        const bool stuck = !outcome.isLoaded && !reserved;
        totals.overcommitted += outcome.overcommits > 0;
        totals.reserved += reserved;
        totals.stuck += stuck;
        if ((stuck || outcome.overcommits > 0) && totals.firstBadSeed == 0)
            totals.firstBadSeed = seed;
    }
    return totals;
}

// Guards against any combination of faults that overcommits the memory of an engine, and against targets that stay
// unusable after the faults. On engines that ignore fencing, memory reserved for lost orders may prevent a load.
TEST(MemoryBound, RandomSchedulesNeverOvercommit)
{
    const Totals totals = runSchedules(scheduleCount);
    fmt::print("schedules with two or more kinds of faults: {} of {}, overcommitted: {}, load kept out by reserved "
               "bytes on engines that ignore fencing: {}, stuck: {}\n",
        totals.schedules, scheduleCount, totals.overcommitted, totals.reserved, totals.stuck);
    EXPECT_GE(totals.schedules, static_cast<int>(scheduleCount) * 5 / 6);
    EXPECT_EQ(totals.overcommitted, 0) << "first seed " << totals.firstBadSeed;
    EXPECT_EQ(totals.stuck, 0) << "first seed " << totals.firstBadSeed;
}

// Guards against a simulation that cannot find violations: disabling any mechanism must cause some.
TEST(MemoryBound, EachMechanismIsNeeded)
{
    struct Ablation {
        const char* name;
        bool MemoryMechanisms::*mechanism;
        // Faults added to those drawn, so that the mechanism matters in most schedules.
        std::set<MemoryFault> faults;
    };
    using enum MemoryFault;
    const std::vector<Ablation> ablations{
        {"record before send", &MemoryMechanisms::recordBeforeSend, {WriteDelayed, WriteRefused, OwnerPaused}},
        {"compare-and-set of the row", &MemoryMechanisms::compareAndSet, {OwnersRace, OwnerPaused}},
        {"unresolved orders counted", &MemoryMechanisms::countUnresolved, {OrderLate, OwnerKilled}},
        {"inherited grant counted", &MemoryMechanisms::countInheritedGrant, {OwnerPaused, OrderLate}},
        {"unload acknowledged first", &MemoryMechanisms::waitForUnload, {OrderLate, OrderLost}},
        {"orders bound to an incarnation", &MemoryMechanisms::bindToIncarnation, {EngineRestarted, OrderLate}},
        {"stale incarnation ignored", &MemoryMechanisms::ignoreStaleIncarnation, {EngineRestarted, ReportDelayed}}};
    for (const Ablation& ablation : ablations) {
        MemoryMechanisms mechanisms;
        mechanisms.*ablation.mechanism = false;
        const Totals totals = runSchedules(ablationCount, mechanisms, ablation.faults);
        fmt::print(
            "without {}: {} of {} schedules overcommitted\n", ablation.name, totals.overcommitted, totals.schedules);
        EXPECT_GT(totals.overcommitted, 0) << ablation.name;
    }
}

EngineOrder order(const char* id, OrderOperation operation, const ArtifactSize& moved)
{
    EngineOrder result;
    result.id = OrderId(id);
    result.operation = operation;
    result.artifact = moved.artifact;
    result.bytes = moved.bytes;
    return result;
}

// Guards against a late answer to an unload that frees the memory of a load applied after it. The random schedules
// rarely find this fault, because reports correct the count within a second.
TEST(MemoryBound, LateUnloadAnswerFreesNothing)
{
    const ArtifactSize moved = item("a@1");
    TargetRow row;
    row.capacity = MemoryFakeEngine::capacity;
    row.addResident(moved);
    TargetLedger reloaded(row);
    reloaded.record(order("unload", OrderOperation::Unload, moved));
    reloaded.record(order("load", OrderOperation::Load, moved));
    reloaded.applyAnswer({OrderId("load"), OrderState::Applied, {}});
    reloaded.applyAnswer({OrderId("unload"), OrderState::Applied, {}});
    EXPECT_EQ(reloaded.counted(), moved.bytes);
    // A lost load that is applied after a newer unload, and answered before it.
    TargetLedger overtaken(row);
    overtaken.record(order("load", OrderOperation::Load, moved));
    overtaken.record(order("unload", OrderOperation::Unload, moved));
    overtaken.applyAnswer({OrderId("load"), OrderState::Applied, {}});
    overtaken.applyAnswer({OrderId("unload"), OrderState::Applied, {}});
    EXPECT_EQ(overtaken.counted(), moved.bytes);
    // An unload does not free the memory of an artifact that an unresolved load may still load.
    TargetLedger unresolved(row);
    unresolved.record(order("load", OrderOperation::Load, moved));
    unresolved.record(order("unload", OrderOperation::Unload, moved));
    unresolved.applyAnswer({OrderId("unload"), OrderState::Applied, {}});
    EXPECT_EQ(unresolved.counted(), moved.bytes);
}

// Runs a scripted scenario on one kind of engine.
class Scenario {
public:
    explicit Scenario(bool honoursFencing, const MemoryMechanisms& mechanisms = {}, Bytes grant = Bytes(12))
        : simulation_(std::make_unique<Simulation>(options(honoursFencing, mechanisms, grant)))
    {
        simulation_->desire(0);
        simulation_->runFor(5'000);
    }

    Simulation* operator->() { return simulation_.get(); }

    // Makes the first order of this kind for the artifact meet `fate`.
    void script(OrderOperation operation, const char* artifact, Simulation::OrderFate fate)
    {
        simulation_->orderFate = [=, used = false](const EngineOrder& order) mutable {
            const bool hit = !used && order.operation == operation && order.artifact.value() == artifact;
            used = used || hit;
            return hit ? fate : Simulation::OrderFate::Delivered;
        };
    }

    bool has(const char* artifact) const { return simulation_->engine().isResident(ArtifactId(artifact)); }

    int overcommits() const { return simulation_->engine().overcommits(); }

private:
    static MemoryScheduleOptions options(bool honoursFencing, const MemoryMechanisms& mechanisms, Bytes grant)
    {
        MemoryScheduleOptions result;
        result.honoursFencing = honoursFencing;
        result.mechanisms = mechanisms;
        result.randomDisturbances = false;
        result.grant = grant;
        return result;
    }

    // Queued steps refer to the simulation, so it must not move.
    std::unique_ptr<Simulation> simulation_;
};

MemoryMechanisms without(bool MemoryMechanisms::*mechanism)
{
    MemoryMechanisms mechanisms;
    mechanisms.*mechanism = false;
    return mechanisms;
}

const MemoryMechanisms uncounted = without(&MemoryMechanisms::countUnresolved);

// The first load of a@1 meets `fate`; then b@1 and c@1 are wanted instead, perhaps by another owner.
Scenario runDisplacedLoad(
    Simulation::OrderFate fate, bool takeOver, bool honoursFencing, const MemoryMechanisms& mechanisms = {})
{
    Scenario scenario(honoursFencing, mechanisms);
    scenario.script(OrderOperation::Load, "a@1", fate);
    scenario->want({item("a@1")});
    scenario->runFor(2'000);
    if (takeOver)
        scenario->desire(1);
    scenario->want({item("b@1"), item("c@1")});
    scenario->runFor(settlingTime);
    return scenario;
}

// Guards against reusing the memory of a lost order while the order may still arrive. On an engine that honours fencing
// the memory is recovered; otherwise it remains reserved for the artifact, which can be loaded again.
TEST(MemoryBound, LostOrderKeepsItsBytes)
{
    Scenario honouring = runDisplacedLoad(Simulation::OrderFate::Lost, false, true);
    EXPECT_EQ(honouring.overcommits(), 0);
    EXPECT_TRUE(honouring.has("b@1") && honouring.has("c@1"));
    Scenario ignoring = runDisplacedLoad(Simulation::OrderFate::Lost, false, false);
    EXPECT_FALSE(ignoring.has("b@1") || ignoring.has("c@1"));
    // Placement repeats only orders that are reported as lost.
    EXPECT_TRUE(ignoring->machine(0).isOrderLost(ArtifactId("a@1")));
    EXPECT_FALSE(ignoring->machine(0).isOrderLost(ArtifactId("d@1")));
    ignoring->want({item("a@1"), item("d@1")});
    ignoring->runFor(settlingTime);
    EXPECT_TRUE(ignoring.has("a@1") && ignoring.has("d@1"));
    EXPECT_EQ(ignoring.overcommits(), 0);
    EXPECT_TRUE(runDisplacedLoad(Simulation::OrderFate::Lost, false, false, uncounted).has("b@1"));
}

// Guards against an order that is applied up to a minute late, after its memory was used for another artifact.
TEST(MemoryBound, OrderAppliedAMinuteLate)
{
    for (const bool honoursFencing : {true, false}) {
        const auto fate = Simulation::OrderFate::Late;
        Scenario scenario = runDisplacedLoad(fate, false, honoursFencing);
        EXPECT_EQ(scenario.overcommits(), 0);
        EXPECT_TRUE(scenario.has("b@1") && scenario.has("c@1"));
        EXPECT_GT(runDisplacedLoad(fate, false, honoursFencing, uncounted).overcommits(), 0);
    }
}

// Guards against an owner that is paused for longer than any lease and sends its recorded order when it resumes.
TEST(MemoryBound, PausedOwnerWakesMidOrder)
{
    for (const bool honoursFencing : {true, false}) {
        Scenario scenario = runDisplacedLoad(Simulation::OrderFate::SenderPaused, true, honoursFencing);
        EXPECT_EQ(scenario.overcommits(), 0);
        EXPECT_TRUE(scenario.has("b@1") && scenario.has("c@1"));
        EXPECT_FALSE(scenario->machine(0).isOwner());
        EXPECT_TRUE(scenario->machine(1).isOwner());
    }
    EXPECT_GT(runDisplacedLoad(Simulation::OrderFate::SenderPaused, true, false, uncounted).overcommits(), 0);
}

// Guards against a successor that forgets the order of an owner killed between record and send: it cannot know that
// the order was never sent.
TEST(MemoryBound, OwnerKilledBetweenRecordAndSend)
{
    Scenario honouring = runDisplacedLoad(Simulation::OrderFate::SenderKilled, true, true);
    EXPECT_TRUE(honouring.has("b@1") && honouring.has("c@1"));
    EXPECT_EQ(honouring.overcommits(), 0);
    Scenario ignoring = runDisplacedLoad(Simulation::OrderFate::SenderKilled, true, false);
    EXPECT_FALSE(ignoring.has("b@1") || ignoring.has("c@1"));
    EXPECT_EQ(ignoring.overcommits(), 0);
    EXPECT_EQ(ignoring->machine(1).unresolvedLoads().size(), 1u);
    EXPECT_TRUE(runDisplacedLoad(Simulation::OrderFate::SenderKilled, true, false, uncounted).has("b@1"));
}

Scenario runRace(bool honoursFencing, const MemoryMechanisms& mechanisms = {})
{
    Scenario scenario(honoursFencing, mechanisms);
    scenario->wantOf(0, {{item("a@1"), item("d@1")}, {}});
    scenario->wantOf(1, {{item("b@1"), item("c@1")}, {}});
    for (int round = 0; round < 40; ++round) {
        scenario->makeOwnersRace();
        scenario->runFor(270);
    }
    return scenario;
}

// Guards against two instances that both believe that they own the target.
TEST(MemoryBound, TwoOwnersRace)
{
    for (const bool honoursFencing : {true, false})
        EXPECT_EQ(runRace(honoursFencing).overcommits(), 0);
    EXPECT_GT(runRace(false, without(&MemoryMechanisms::compareAndSet)).overcommits(), 0);
}

// Guards against a write that is considered failed, or repeated with different content, when only its answer was lost.
TEST(MemoryBound, PlatformAnswerLostAfterTheWrite)
{
    for (const bool honoursFencing : {true, false}) {
        Scenario scenario(honoursFencing);
        std::set<OrderId> sent;
        scenario->writeFate = [](const TargetRow&) { return Simulation::WriteFate::AnswerLost; };
        scenario->orderFate = [&](const EngineOrder& order) {
            EXPECT_TRUE(sent.insert(order.id).second);
            EXPECT_TRUE(scenario->table().row()->row.order(order.id) || isAdapter(order.artifact));
            return Simulation::OrderFate::Delivered;
        };
        scenario->want({item("a@1"), item("d@1")});
        scenario->runFor(5'000);
        EXPECT_TRUE(scenario.has("a@1") && scenario.has("d@1"));
        scenario->want({item("b@1"), item("c@1")});
        scenario->runFor(5'000);
        EXPECT_TRUE(scenario.has("b@1") && scenario.has("c@1"));
        EXPECT_EQ(scenario.overcommits(), 0);
    }
}

// The owner's write of a load is delayed past a change of owner, and the order itself, if sent, arrives late.
int runDelayedWrite(const MemoryMechanisms& mechanisms)
{
    Scenario scenario(false, mechanisms);
    scenario.script(OrderOperation::Load, "a@1", Simulation::OrderFate::Late);
    scenario->writeFate = [](const TargetRow&) { return Simulation::WriteFate::Delayed; };
    scenario->wantOf(0, {{item("a@1")}, {}});
    scenario->wantOf(1, {{item("b@1"), item("c@1")}, {}});
    scenario->runFor(50);
    scenario->writeFate = [](const TargetRow&) { return Simulation::WriteFate::Committed; };
    scenario->pause(0, 60'000);
    scenario->desire(1);
    scenario->runFor(settlingTime);
    EXPECT_TRUE(scenario.has("b@1") && scenario.has("c@1"));
    return scenario.overcommits();
}

// Guards against an order that is sent although its record never comes into effect.
TEST(MemoryBound, DelayedWriteCannotCommitAfterATakeover)
{
    EXPECT_EQ(runDelayedWrite({}), 0);
    EXPECT_GT(runDelayedWrite(without(&MemoryMechanisms::recordBeforeSend)), 0);
}

Scenario runSwap(bool honoursFencing, const MemoryMechanisms& mechanisms = {})
{
    Scenario scenario(honoursFencing, mechanisms);
    scenario->want({item("a@1"), item("d@1")});
    scenario->runFor(5'000);
    EXPECT_TRUE(scenario.has("a@1") && scenario.has("d@1"));
    scenario.script(OrderOperation::Unload, "a@1", Simulation::OrderFate::Late);
    scenario->want({item("b@1"), item("c@1")});
    scenario->runFor(settlingTime);
    EXPECT_TRUE(scenario.has("b@1") && scenario.has("c@1"));
    return scenario;
}

// Guards against a load that starts before the memory of the artifact that it replaces is free.
TEST(MemoryBound, SwapInAFullTarget)
{
    for (const bool honoursFencing : {true, false}) {
        EXPECT_EQ(runSwap(honoursFencing).overcommits(), 0);
        EXPECT_GT(runSwap(honoursFencing, without(&MemoryMechanisms::waitForUnload)).overcommits(), 0);
    }
}

Scenario runOutage(bool honoursFencing, const MemoryMechanisms& mechanisms = {})
{
    Scenario scenario(honoursFencing, mechanisms, Bytes(20));
    scenario->setOutage(0, 60'000);
    scenario->wantOf(0, {{item("e@1")}, {}});
    scenario->runFor(5'000);
    EXPECT_TRUE(scenario.has("e@1")) << "no move inside the grant during the outage";
    scenario->wantOf(0, {{item("a@1:x")}, {item("e@1").artifact}});
    scenario->runFor(5'000);
    EXPECT_TRUE(scenario.has("a@1:x") && !scenario.has("e@1")) << "no swap inside the grant during the outage";
    EXPECT_TRUE(scenario->machine(0).isOwner());
    scenario->wantOf(1, {{item("a@1"), item("c@1")}, {}});
    scenario->desire(1);
    scenario->runFor(10'000);
    // The cut-off owner cannot see that it was replaced, and continues to load within its grant.
    scenario->wantOf(0, {{item("a@1:x"), item("e@1")}, {}});
    scenario->runFor(10'000);
    return scenario;
}

// Guards against a new owner that uses the memory of the grant in which the cut-off owner still loads.
TEST(MemoryBound, OutageWithMovesInsideTheGrantThenTakeover)
{
    for (const bool honoursFencing : {true, false}) {
        Scenario scenario = runOutage(honoursFencing);
        EXPECT_EQ(scenario.overcommits(), 0);
        EXPECT_TRUE(scenario->machine(1).isOwner());
        EXPECT_TRUE(scenario.has("a@1"));
        EXPECT_TRUE(honoursFencing || scenario.has("e@1")) << "no move by the owner that was replaced unawares";
        // After the outage the old owner sees the row and releases the grant.
        scenario->runFor(settlingTime);
        scenario->want({item("a@1"), item("d@1")});
        scenario->runFor(settlingTime);
        EXPECT_FALSE(scenario->machine(0).isOwner());
        EXPECT_TRUE(scenario.has("a@1") && scenario.has("d@1"));
        EXPECT_FALSE(scenario->machine(1).ledger()->row().isGrantInherited());
        EXPECT_EQ(scenario.overcommits(), 0);
    }
    EXPECT_GT(runOutage(false, without(&MemoryMechanisms::countInheritedGrant)).overcommits(), 0);
}

} // namespace
} // namespace lychee
