#include "tests/unit/CrashSimulation.h"

#include <gtest/gtest.h>

#include <iostream>

namespace lychee {
namespace {

using namespace std::chrono_literals;

constexpr int simulations = 100;
// Simulations for each mechanism that is switched off.
constexpr int disabledSimulations = 20;
constexpr int maxCrashesPerBody = 2;
constexpr double maxRefusedShare = 0.01;

CrashStatistics simulate(std::string_view name, DisabledCrashMechanism disabled, bool kills = false)
{
    CrashStatistics tally;
    const std::uint64_t count = disabled == DisabledCrashMechanism::Nothing ? simulations : disabledSimulations;
    for (std::uint64_t seed = 1; seed <= count; ++seed)
        CrashSimulation(seed, disabled, kills, tally).run();
    std::cout << fmt::format("{}: {} runs, {} crashes, at most {} in a run, {} healthy bodies, {} struck, {} refused "
                             "with 422, {} with 503, {} never finished; overlaps {}\n",
        name, tally.runs, tally.crashes, tally.mostCrashes, tally.healthy, tally.struck, tally.quarantined,
        tally.postponed, tally.unfinished, tally.overlaps);
    return tally;
}

double refusedShare(const CrashStatistics& tally)
{
    return static_cast<double>(tally.quarantined + tally.postponed) / tally.healthy;
}

// Guards against a body that crashes one target after another, and against refusing healthy bodies of the same batch.
TEST(CrashingRequest, CrashesAtMostTwoTargetsAndSparesHealthyBodies)
{
    const CrashStatistics tally = simulate("all mechanisms on", DisabledCrashMechanism::Nothing);
    EXPECT_LE(tally.mostCrashes, maxCrashesPerBody);
    EXPECT_LE(refusedShare(tally), maxRefusedShare);
    EXPECT_EQ(tally.quarantined, 0);
    EXPECT_EQ(tally.unfinished, 0);
    EXPECT_EQ(tally.overlaps, 0);
    EXPECT_GT(tally.struck, simulations);
}

// Guards against losing the crashes of a body when an instance is killed.
TEST(CrashingRequest, HoldsWhenAnInstanceIsKilled)
{
    const CrashStatistics tally = simulate("an instance killed", DisabledCrashMechanism::Nothing, true);
    EXPECT_LE(tally.mostCrashes, maxCrashesPerBody);
    EXPECT_LE(refusedShare(tally), maxRefusedShare);
    EXPECT_EQ(tally.overlaps, 0);
}

// Guards against ineffective checks: with a mechanism disabled, the resulting violation must be found.
TEST(CrashingRequest, ChecksFindViolations)
{
    EXPECT_GT(simulate("no strikes", DisabledCrashMechanism::Strikes).mostCrashes, maxCrashesPerBody);
    EXPECT_GT(simulate("no flooding", DisabledCrashMechanism::Flooding).mostCrashes, maxCrashesPerBody);
    const CrashStatistics withoutIsolation = simulate("no isolation", DisabledCrashMechanism::Isolation);
    EXPECT_GT(withoutIsolation.quarantined, 0);
    EXPECT_GT(withoutIsolation.overlaps, 0);
}

const BodyHash body("body");
const TargetId target("target");
const CrashId firstCrash{target, EngineIncarnation("1")};
const CrashId secondCrash{target, EngineIncarnation("2")};
const CrashId otherCrash{TargetId("other"), EngineIncarnation("1")};

TimePoint at(std::chrono::milliseconds time) { return TimePoint(time); }

// The only instance of a membership, and so its trial coordinator; at 10 s the settle time has passed.
CrashingRequestTracker soleInstance(std::size_t maxBodies = 100)
{
    CrashingRequestTracker suspicion
        = CrashingRequestTracker::create({.instance = InstanceId("sole"), .maxBodies = maxBodies});
    suspicion.setInstances({InstanceId("sole")}, at(0s));
    return suspicion;
}

// Guards against instances that disagree because notices arrived in a different order or twice.
TEST(CrashingRequest, MergeIsIdempotentAndCommutative)
{
    const TrialId trial{InstanceId("away"), 1};
    std::vector<CrashNotice> notices{CrashStrike{body, firstCrash}, CrashStrike{body, otherCrash, 1s},
        StrikesCleared{body, {firstCrash}}, TrialGranted{body, trial, target},
        TrialEnded{trial, CrashStrike{BodyHash("second"), secondCrash}}};
    for (std::uint64_t seed = 1; seed <= 1'000; ++seed) {
        SeededRandom chance(seed);
        std::vector<CrashNotice> order = notices;
        order.insert(order.end(), notices.begin(), notices.end());
        for (std::size_t i = order.size() - 1; i > 0; --i)
            std::swap(order[i], order[chance.between(0, static_cast<std::int64_t>(i))]);
        CrashingRequestTracker suspicion = soleInstance();
        for (const CrashNotice& notice : order)
            suspicion.merge(notice, at(10s));
        EXPECT_EQ(suspicion.admit(body, at(10s)), BodyAdmission::Trial);
        EXPECT_EQ(suspicion.admit(BodyHash("second"), at(10s)), BodyAdmission::Trial);
        EXPECT_EQ(suspicion.requestTrial(body, {target}, at(10s)).second.granted.size(), 1u);
    }
}

// Guards against a second run of a body, or a second body with a strike on the same target, during a trial.
TEST(CrashingRequest, GrantsOneTrialForBodyAndTarget)
{
    CrashingRequestTracker suspicion = soleInstance();
    suspicion.merge(CrashStrike{body, firstCrash}, at(10s));
    suspicion.merge(CrashStrike{BodyHash("second"), firstCrash}, at(10s));
    const auto [trial, reaction] = suspicion.requestTrial(body, {target}, at(10s));
    ASSERT_EQ(reaction.granted.size(), 1u);
    const BodyRun run = reaction.granted.front();
    suspicion.started(run);
    EXPECT_TRUE(suspicion.requestTrial(body, {TargetId("other")}, at(10s)).second.granted.empty());
    const TrialId waiting = suspicion.requestTrial(BodyHash("second"), {target}, at(10s)).first;
    EXPECT_TRUE(suspicion.repeatRequest(waiting, at(11s)).granted.empty());
    suspicion.ended(run, true, at(11s));
    EXPECT_EQ(suspicion.admit(body, at(11s)), BodyAdmission::Free);
    EXPECT_EQ(suspicion.repeatRequest(waiting, at(11s)).granted.size(), 1u);
}

// Guards against grants by two instances that disagree on the membership.
TEST(CrashingRequest, GrantsNothingUntilTheMembershipHasSettled)
{
    CrashingRequestTracker suspicion = soleInstance();
    suspicion.merge(CrashStrike{body, firstCrash}, at(1s));
    const auto [trial, reaction] = suspicion.requestTrial(body, {target}, at(4s));
    EXPECT_TRUE(reaction.granted.empty());
    EXPECT_EQ(suspicion.repeatRequest(trial, at(5s)).granted.size(), 1u);
}

// Guards against a trial that starts after its requester was paused for longer than trialStartLimit.
TEST(CrashingRequest, GivesLateGrantsBack)
{
    CrashingRequestTracker suspicion = CrashingRequestTracker::create({.instance = InstanceId("requester")});
    suspicion.merge(CrashStrike{body, firstCrash}, at(10s));
    const TrialId trial = suspicion.requestTrial(body, {target}, at(10s)).first;
    const CrashReaction reaction = suspicion.merge(TrialGranted{body, trial, target}, at(13s));
    EXPECT_TRUE(reaction.granted.empty());
    ASSERT_EQ(reaction.flood.size(), 1u);
    EXPECT_TRUE(std::holds_alternative<TrialEnded>(reaction.flood.front()));
}

// Guards against a quarantine without end, and against counting two crashes of one target as a single strike.
TEST(CrashingRequest, QuarantineExpires)
{
    CrashingRequestTracker suspicion = soleInstance();
    suspicion.merge(CrashStrike{body, firstCrash}, at(10s));
    suspicion.merge(CrashStrike{body, secondCrash}, at(20s));
    EXPECT_EQ(suspicion.admit(body, at(20s + 10min - 1ms)), BodyAdmission::Quarantined);
    EXPECT_EQ(suspicion.admit(body, at(20s + 10min)), BodyAdmission::Free);
}

// Guards against runs of the same body that continue elsewhere after its first strike.
TEST(CrashingRequest, NamesCopiesToStop)
{
    CrashingRequestTracker suspicion = soleInstance();
    const BodyRun copy{body, TargetId("other"), std::nullopt};
    suspicion.started(copy);
    EXPECT_EQ(suspicion.merge(CrashStrike{body, firstCrash}, at(10s)).stop, std::vector<BodyRun>{copy});
}

// Guards against memory use that grows with the number of bodies, and against evicting the newest.
TEST(CrashingRequest, ForgetsTheOldestBodyBeyondTheLimit)
{
    constexpr int limit = 10;
    CrashingRequestTracker suspicion = soleInstance(limit);
    for (int i = 0; i <= limit; ++i)
        suspicion.merge(CrashStrike{BodyHash(std::to_string(i)), firstCrash}, at(10s + i * 1ms));
    EXPECT_EQ(suspicion.bodyCount(), static_cast<std::size_t>(limit));
    EXPECT_EQ(suspicion.admit(BodyHash("0"), at(11s)), BodyAdmission::Free);
    EXPECT_EQ(suspicion.admit(BodyHash("1"), at(11s)), BodyAdmission::Trial);
}

// Guards against an instance that joins and does not know the quarantined bodies.
TEST(CrashingRequest, SnapshotCarriesStrikesToNewInstances)
{
    CrashingRequestTracker suspicion = soleInstance();
    suspicion.merge(CrashStrike{body, firstCrash}, at(10s));
    suspicion.merge(CrashStrike{body, otherCrash}, at(20s));
    CrashingRequestTracker joined = CrashingRequestTracker::create({.instance = InstanceId("joined")});
    for (const CrashNotice& notice : suspicion.snapshot(at(30s)))
        joined.merge(notice, at(0s) + 10min);
    EXPECT_EQ(joined.admit(body, at(0s) + 10min), BodyAdmission::Quarantined);
    EXPECT_EQ(joined.admit(body, at(0s) + 20min - 10s), BodyAdmission::Free);
}

} // namespace
} // namespace lychee
