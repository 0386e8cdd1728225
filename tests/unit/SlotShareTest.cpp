#include "tests/unit/PlainRoutingSimulation.h"

#include <gtest/gtest.h>

namespace lychee::fleet {
namespace {

using namespace std::chrono_literals;

TimePoint at(Duration time) { return TimePoint(time); }

// Guards against a share that stays closed without news, and against one that refuses while there is capacity left.
TEST(SlotShare, OnlyAnOverloadLowersTheFraction)
{
    SlotShare share;
    EXPECT_EQ(share.fraction(at(0s)), 1);
    for (int i = 0; i < 100; ++i)
        share.recordLoad(1.5, at(i * 100ms));
    share.recordLoad(3, at(10s));
    EXPECT_EQ(share.fraction(at(10s)), 1) << "a short burst is refused";
    for (int i = 0; i < 100; ++i)
        share.recordLoad(3, at(10s + i * 100ms));
    EXPECT_LT(share.fraction(at(20s)), 0.5);
    EXPECT_GT(share.retryAfter(at(20s)), 400ms);
    EXPECT_EQ(share.fraction(at(22s)), 1) << "an old load counts";
}

// Returns a registry that has heard from a number of peers and whose targets all report a full queue.
TargetRegistry createOverloaded(int peers, TimePoint now)
{
    TargetRegistry registry;
    for (int i = 0; i < 3; ++i) {
        TargetRecord record;
        record.id = TargetId(fmt::format("t{}", i));
        record.service = ServiceId("desk");
        record.endpoint = {"10.0.0.1", static_cast<std::uint16_t>(1000 + i)};
        record.slots = 6;
        registry.update(record);
    }
    for (int i = 0; i < peers; ++i)
        registry.recordPeerWork(InstanceId(fmt::format("i{}", i)), {}, now);
    for (int i = 0; i < 3; ++i)
        registry.recordPeerWork(InstanceId("i0"),
            std::vector<TargetWorkReport>{{TargetId(fmt::format("t{}", i)), {}, {}, AgedLoad{30, 10ms}}}, now);
    return registry;
}

TargetDecision choose(const TargetRegistry& registry, TimePoint now, Duration waited)
{
    Service service;
    service.id = ServiceId("desk");
    ChoiceInput input{service, nullptr, DataCentreId("a"), now, 4s, 300ms};
    input.waited = waited;
    input.spreadKey = "request";
    return chooseTarget(registry, input);
}

// Guards against requests that are held for longer than an eighth of their objective, and against a deployment with few
// instances that is served otherwise than before.
TEST(SlotShare, HoldsARequestForAnEighthOfItsObjectiveWhereSlotsAreFew)
{
    const TargetRegistry many = createOverloaded(133, at(10s));
    EXPECT_TRUE(std::holds_alternative<AwaitedSlot>(choose(many, at(10s), 37ms)));
    const TargetDecision refused = choose(many, at(10s), 38ms);
    ASSERT_TRUE(std::holds_alternative<NoTarget>(refused));
    EXPECT_GE(std::get<NoTarget>(refused).retryAfter, 200ms);
    EXPECT_TRUE(std::holds_alternative<ChosenTarget>(choose(createOverloaded(17, at(10s)), at(10s), 0ms)));
}

// 133 instances before 3 targets with 6 slots and a queue of 24 each. One seventh of the targets take 2.5 times as long
// and report it.
PlainRoutingOutcome simulate(double utilization, Duration statusInterval)
{
    PlainRoutingScenario scenario;
    scenario.instances = 133;
    scenario.targets = 3;
    scenario.statusInterval = statusInterval;
    scenario.length = 30s;
    scenario.pace.slowShare = 1.0 / 7;
    scenario.pace.isReported = true;
    scenario.reportsLoad = true;
    const double meanSeconds = 0.06 * std::exp(0.125) * (1 + (scenario.pace.slowPace - 1) * scenario.pace.slowShare);
    scenario.requestsPerSecond = utilization * static_cast<double>(scenario.targets * scenario.slots) / meanSeconds;
    return PlainRoutingSimulation(scenario).run();
}

double partOf(std::size_t count, const PlainRoutingOutcome& outcome)
{
    return static_cast<double>(count) / static_cast<double>(outcome.requests);
}

// Guards against requests that are held back although the slots suffice: 133 instances before 18 slots at 0.9 of the
// capacity. Without the share 0.94 and 0.96 were in time with news 1 s and 0.2 s old.
TEST(SlotShareLoad, RefusesHardlyAnyBelowCapacity)
{
    for (const Duration interval : {200ms, 1000ms}) {
        const PlainRoutingOutcome outcome = simulate(0.9, interval);
        EXPECT_GE(outcome.shareWithin(300), 0.93) << interval.count();
        EXPECT_LE(partOf(outcome.refused, outcome), 0.01) << interval.count();
        EXPECT_LE(partOf(outcome.rejected, outcome), 0.01) << interval.count();
    }
}

// Guards against queues that make all answers late: 133 instances before 18 slots at 1.3 of the capacity, of which at
// most 0.77 can be answered at all by targets of the usual pace. Without the share 0.32 and 0.39 were in time, and
// targets rejected 0.55 and 0.24 sends per request, with news 1 s and 0.2 s old.
TEST(SlotShareLoad, KeepsAnswersInTimeAboveCapacity)
{
    for (const Duration interval : {200ms, 1000ms}) {
        const PlainRoutingOutcome outcome = simulate(1.3, interval);
        EXPECT_GE(outcome.shareWithin(300), 0.68) << interval.count();
        EXPECT_LE(partOf(outcome.rejected, outcome), 0.02) << interval.count();
    }
}

} // namespace
} // namespace lychee::fleet
