#include "fleet/StreamTimeouts.h"
#include "tests/unit/PlainRoutingSimulation.h"
#include "tests/unit/RoutingSimulation.h"

#include <gtest/gtest.h>

namespace lychee::fleet {
namespace {

using namespace std::chrono_literals;

TimePoint at(Duration time) { return TimePoint(time); }

// Guards against a changed choice or timeout where targets do not report their pace.
TEST(TargetPace, IsExactlyOneWithoutReports)
{
    TargetPace pace;
    pace.recordPeer({2.5, 0ms, true}, at(1s));
    for (int i = 0; i < 100; ++i)
        pace.recordMeasured(3, 1);
    EXPECT_EQ(pace.at(at(1s)), 1);
    EXPECT_EQ(pace.meanOver(1500ms, at(1s)), 1);
    EXPECT_EQ(pace.sourceAt(at(1s)), PaceSource::None);
    EXPECT_FALSE(pace.news(at(1s)));
}

// Guards against old reports that are taken for the present pace, and against peers that spread what they were told.
TEST(TargetPace, AReportLosesItsWeightWithinOneChange)
{
    TargetPace pace;
    pace.recordReport(1, at(1s));
    pace.recordReport(2.5, at(2s));
    EXPECT_EQ(pace.at(at(2s)), 2.5);
    EXPECT_NEAR(pace.at(at(2300ms)), 1.8, 0.1);
    EXPECT_LT(pace.at(at(2600ms)), 1.2);
    EXPECT_EQ(pace.sourceAt(at(2600ms)), PaceSource::Mean);
    EXPECT_EQ(pace.news(at(2100ms)), (PaceNews{2.5, 100ms, false}));
    EXPECT_FALSE(pace.news(at(2600ms)));
    pace.recordPeer({4, 500ms, false}, at(2100ms));
    EXPECT_GT(pace.at(at(2100ms)), 2) << "an older report replaced a newer one";
    pace.recordPeer({4, 50ms, false}, at(2100ms));
    EXPECT_GT(pace.at(at(2100ms)), 3.5);
    EXPECT_EQ(pace.sourceAt(at(2100ms)), PaceSource::PeerReport);
    EXPECT_EQ(pace.news(at(2100ms))->pace, 2.5);
}

// Guards against a target that reports 100 and takes 2.5 times as long, and against a target that reports correctly and
// is doubted because single times vary.
TEST(TargetPace, WhatATargetDoesIsBelieved)
{
    std::mt19937_64 random(1);
    std::lognormal_distribution<double> spread(0, 0.7);
    TargetPace wrong;
    TargetPace right;
    for (int i = 0; i < 300; ++i) {
        const TimePoint now = at(i * 100ms);
        const double actual = i / 6 % 7 == 0 ? 2.5 : 1;
        wrong.recordReport(1, now);
        right.recordReport(actual, now);
        wrong.recordMeasured(2.5 * spread(random), 1);
        right.recordMeasured(actual * spread(random), actual);
        EXPECT_NE(right.sourceAt(now), PaceSource::Measured) << i;
        EXPECT_TRUE(i < 60 || wrong.sourceAt(now) == PaceSource::Measured) << i;
    }
    EXPECT_NEAR(wrong.at(at(30s)), 2.5, 0.7);
    // A peer without measurements of its own follows for a time.
    TargetPace peer;
    peer.recordReport(1, at(29s));
    peer.recordPeer(*wrong.news(at(30s)), at(30s));
    EXPECT_EQ(peer.at(at(31s)), wrong.at(at(30s)));
    EXPECT_FALSE(peer.news(at(31s))) << "passed on what a peer has measured";
    EXPECT_EQ(peer.at(at(34s)), 1);
}

// Guards against times that are expected wrongly at all targets and taken for the pace of one.
TEST(TargetPace, AWrongExpectationIsNoPace)
{
    ExpectationBias bias;
    EXPECT_FALSE(bias.correct(5, 1));
    for (int i = 0; i < 200; ++i)
        bias.correct(i % 7 == 0 ? 12.5 : 5, 1);
    EXPECT_NEAR(*bias.correct(5, 1), 1, 0.1);
    EXPECT_NEAR(*bias.correct(12.5, 1), 2.5, 0.25);
    EXPECT_NEAR(*bias.correct(12.5, 2.5), 2.5, 0.25);
}

// Guards against slow targets that are given up like dead ones, and against waiting for longer than callers do.
TEST(TargetPace, SlowTargetsAreAwaitedForLonger)
{
    Route route;
    route.latencyObjective = 1s;
    EXPECT_EQ(maxTargetSilence(route, 1), maxTargetSilence(route));
    EXPECT_EQ(maxTargetSilence(route, 0.5), maxTargetSilence(route));
    EXPECT_GT(maxTargetSilence(route, 2.5), maxTargetSilence(route));
    EXPECT_LE(maxTargetSilence(route, 100), maxAcceptedGap(route) * 3 / 4);
    route.kind = RequestKind::Idempotent;
    EXPECT_EQ(maxSilenceBeforeAnswer(route, 1), maxSoundSilence);
    EXPECT_EQ(maxSilenceBeforeAnswer(route, 2), 2 * maxSoundSilence);
    route.kind = RequestKind::Streaming;
    EXPECT_EQ(maxSilenceBeforeAnswer(route, 1), maxSoundSilence);
    EXPECT_LE(maxSilenceBeforeAnswer(route, 100), maxAcceptedGap(route) * 3 / 4);
    TargetPace pace;
    pace.recordReport(1, at(1s));
    pace.recordReport(2.5, at(2s));
    EXPECT_LT(pace.meanOver(1500ms, at(2s)), 1.5) << "a pace that lasts 600 ms lengthens a wait of 1,500 ms";
}

// Returns the share of plain requests within 300 ms, with 40 instances before 4 targets. The utilization does not count
// a misreporting target.
double plainShareInTime(const SimulatedPace& pace, double utilization)
{
    PlainRoutingScenario scenario;
    scenario.instances = 40;
    scenario.statusInterval = 200ms;
    scenario.length = 30s;
    scenario.pace = pace;
    scenario.reportsLoad = true;
    const double meanSeconds = 0.06 * std::exp(0.125) * (1 + (pace.slowPace - 1) * pace.slowShare);
    scenario.requestsPerSecond = utilization * static_cast<double>(scenario.targets * scenario.slots) / meanSeconds;
    constexpr std::uint64_t seeds = 2;
    double share = 0;
    for (scenario.seed = 1; scenario.seed <= seeds; ++scenario.seed)
        share += PlainRoutingSimulation(scenario).run().shareWithin(300) / seeds;
    return share;
}

double engineShareInTime(const SimulatedPace& pace)
{
    RoutingScenario scenario;
    scenario.instances = 40;
    scenario.engines = 28;
    scenario.copies = 7;
    scenario.statusInterval = 200ms;
    scenario.length = 40s;
    scenario.pace = pace;
    scenario.requestsPerSecond = 150;
    return RoutingSimulation(scenario).run().shareWithin(600);
}

SimulatedPace changingPace(bool isReported)
{
    SimulatedPace pace;
    pace.slowShare = 1.0 / 7;
    pace.isReported = isReported;
    return pace;
}

// Guards against news of paces that make the choice worse or no better: a seventh of the targets take 2.5 times as
// long, others every 600 ms, and the news of peers is 200 ms old. Without reports 0.967 of the plain requests are
// answered within 300 ms, with reports 0.982; engines are chosen as well as before.
TEST(TargetPaceLoad, AChangingSeventhOfTheTargetsIsSlow)
{
    constexpr double utilization = 0.85;
    EXPECT_GE(
        plainShareInTime(changingPace(true), utilization), plainShareInTime(changingPace(false), utilization) + 0.008);
    EXPECT_GE(engineShareInTime(changingPace(true)), engineShareInTime(changingPace(false)) - 0.01);
}

// Guards against belief in a target that reports 100 and takes 2.5 times as long.
TEST(TargetPaceLoad, OneTargetReportsAPaceThatItDoesNotKeep)
{
    constexpr double utilization = 0.7;
    SimulatedPace silent;
    silent.misreporting = 1;
    SimulatedPace reporting = silent;
    reporting.isReported = true;
    EXPECT_GE(plainShareInTime(reporting, utilization), plainShareInTime(silent, utilization) + 0.004);
}

} // namespace
} // namespace lychee::fleet
