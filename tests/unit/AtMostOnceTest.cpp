#include "tests/unit/ClaimSchedule.h"

#include <gtest/gtest.h>

#include <iostream>

namespace lychee {
namespace {

constexpr int schedules = 10'000;
// Schedules for each mechanism that is switched off.
constexpr int disabledSchedules = 1'000;
// Needless unknown answers should be at most 2%. The limit is lower, so that the test fails when the release or the
// read-back is missing: either omission raises the share to almost 2%.
constexpr double maxNeedlessUnknownShare = 0.005;

double needlessUnknownShare(const ClaimStatistics& tally)
{
    return static_cast<double>(tally.needlessUnknown) / tally.knownOutcomeAnswers;
}

void print(std::string_view name, const ClaimStatistics& tally)
{
    std::cout << fmt::format("{}: {} schedules, {} faults, {} answers, {} executions, {} replays, {} in progress, "
                             "{} refused with 422; repeated executions {}, false no {}, wrong replays {}, other body "
                             "accepted {}, needless unknown {} of {} ({:.2f}%), of these by patience {}\n",
        name, tally.schedules, tally.faults, tally.answers, tally.executions, tally.replays, tally.inProgress,
        tally.otherBodyRefused, tally.repeatedExecutions, tally.falseNotRun, tally.wrongReplays,
        tally.otherBodyAccepted, tally.needlessUnknown, tally.knownOutcomeAnswers, 100 * needlessUnknownShare(tally),
        tally.deadlinePassed);
}

// All checks of this file share one run of the schedules.
const ClaimStatistics& sharedTally()
{
    static const ClaimStatistics tally = runClaimSchedules(schedules, DisabledMechanism::Nothing);
    return tally;
}

ClaimStatistics tallyWithout(std::string_view name, DisabledMechanism disabled)
{
    const ClaimStatistics tally = runClaimSchedules(disabledSchedules, disabled);
    print(name, tally);
    return tally;
}

// Guards against a call that runs twice under any interleaving of attempts and faults.
TEST(AtMostOnce, RunsEachKeyOnceInSeededSchedules)
{
    const ClaimStatistics& tally = sharedTally();
    print("all mechanisms on", tally);
    EXPECT_EQ(tally.repeatedExecutions, 0);
    EXPECT_GE(tally.faults, 2 * schedules);
    EXPECT_GT(tally.executions, schedules / 2);
}

// Guards against a replay that differs from the answer of the execution.
TEST(AtMostOnce, ReplaysTheExecutedAnswer)
{
    EXPECT_EQ(sharedTally().wrongReplays, 0);
    EXPECT_GT(sharedTally().replays, schedules / 2);
}

// Guards against a key that serves two different bodies.
TEST(AtMostOnce, RefusesAnotherBodyUnderTheSameKey)
{
    EXPECT_EQ(sharedTally().otherBodyAccepted, 0);
    EXPECT_GT(sharedTally().otherBodyRefused, schedules / 4);
}

// Guards against keys that are blocked although the call did not run or its answer was stored.
TEST(AtMostOnce, NeedlessUnknownAnswersAreRare)
{
    EXPECT_LE(needlessUnknownShare(sharedTally()), maxNeedlessUnknownShare);
    EXPECT_GT(sharedTally().knownOutcomeAnswers, schedules);
}

// Guards against ineffective checks: with a mechanism disabled, the resulting violation must be found.
TEST(AtMostOnce, ChecksFindRepeatedExecutions)
{
    EXPECT_GT(tallyWithout("no claim", DisabledMechanism::Claim).repeatedExecutions, 0);
    EXPECT_GT(tallyWithout("no version check", DisabledMechanism::VersionCheck).repeatedExecutions, 0);
    EXPECT_GT(
        tallyWithout("lost insert taken as success", DisabledMechanism::ReadBackAfterSuccess).repeatedExecutions, 0);
    EXPECT_GT(tallyWithout("call repeated after unknown", DisabledMechanism::StopAfterUnknown).repeatedExecutions, 0);
    EXPECT_GT(tallyWithout("expired claims taken over", DisabledMechanism::RunningRowsAreKept).repeatedExecutions, 0);
}

// As above, for wrong answers and needless unknown answers.
TEST(AtMostOnce, ChecksFindWrongAndNeedlessAnswers)
{
    const ClaimStatistics withoutBodyCheck = tallyWithout("no body check", DisabledMechanism::BodyCheck);
    EXPECT_GT(withoutBodyCheck.wrongReplays, 0);
    EXPECT_GT(withoutBodyCheck.otherBodyAccepted, 0);
    const ClaimStatistics lostAsFailure
        = tallyWithout("lost insert taken as failure", DisabledMechanism::ReadBackAfterFailure);
    EXPECT_GT(needlessUnknownShare(lostAsFailure), maxNeedlessUnknownShare);
    const ClaimStatistics withoutRelease = tallyWithout("no released row", DisabledMechanism::ReleaseOnGivingUp);
    EXPECT_GT(needlessUnknownShare(withoutRelease), maxNeedlessUnknownShare);
}

ClaimTime at(std::int64_t milliseconds)
{
    return {TimePoint(std::chrono::milliseconds(milliseconds)), 1'000'000 + milliseconds};
}

// A state machine with a deadline 1 s after time zero that reports running claims older than 5 s as unknown.
ClaimStateMachine machineWithNonce(const std::string& nonce)
{
    return ClaimStateMachine::create({TeamId("team"), IdempotencyKey("key"), BodyHash("body"), Nonce(nonce),
        InstanceId("instance"), at(1'000).now, std::chrono::seconds(5)});
}

// Guards against a delayed insert that takes effect after its caller was told that the call was not run.
TEST(AtMostOnce, ReleasedRowDefeatsALateInsert)
{
    FakeTable table;
    ClaimStateMachine machine = machineWithNonce("nonce");
    const auto insert = std::get<InsertClaim>(machine.start(at(0)));
    EXPECT_TRUE(std::holds_alternative<ReadClaim>(machine.on(AnswerLost{}, at(100))));
    EXPECT_EQ(std::get<Reply>(machine.on(DeadlineReached{}, at(1'000))).run, RunOutcome::No);
    const auto release = std::get<ReleaseClaim>(machine.on(Replied{}, at(1'001)));
    const ClaimEvent released = table.write(release.key, release.check, release.row);
    EXPECT_TRUE(std::holds_alternative<Finished>(machine.on(released, at(1'002))));
    EXPECT_TRUE(std::holds_alternative<Conflict>(table.write(insert.key, insert.check, insert.row)));
    EXPECT_EQ(table.read("team/key")->row.state, ClaimState::Released);
}

// Guards against a call that a paused holder starts after its deadline.
TEST(AtMostOnce, HolderPausedPastItsDeadlineDoesNotCall)
{
    ClaimStateMachine machine = machineWithNonce("nonce");
    machine.start(at(0));
    EXPECT_TRUE(std::holds_alternative<ReleaseClaim>(machine.on(Committed{RowVersion(1)}, at(1'000))));
}

// Guards against a claim of a dead holder that is executed again or reported as running for ever.
TEST(AtMostOnce, ClaimOfADeadHolderBecomesUnknown)
{
    FakeTable table;
    ClaimStateMachine holder = machineWithNonce("holder");
    const auto insert = std::get<InsertClaim>(holder.start(at(0)));
    table.write(insert.key, insert.check, insert.row);
    ClaimStateMachine early = machineWithNonce("early");
    early.start(at(0));
    EXPECT_EQ(std::get<Reply>(early.on(Conflict{table.read("team/key")}, at(500))).code, "in_progress");
    ClaimStateMachine late = machineWithNonce("late");
    late.start(at(0));
    const auto reply = std::get<Reply>(late.on(Conflict{table.read("team/key")}, at(5'001)));
    EXPECT_EQ(reply.code, "outcome_unknown");
    EXPECT_EQ(reply.run, RunOutcome::Unknown);
}

// Guards against a caller whose answer is delayed or lost because it cannot be stored.
TEST(AtMostOnce, CallerIsAnsweredWhenTheAnswerCannotBeStored)
{
    ClaimStateMachine machine = machineWithNonce("nonce");
    machine.start(at(0));
    machine.on(Committed{RowVersion(1)}, at(1));
    machine.on(TargetAnswered{{.body = "receipt"}}, at(2));
    const auto reply = std::get<Reply>(machine.on(Unreachable{}, at(3)));
    EXPECT_EQ(reply.answer->body, "receipt");
    const auto store = std::get<StoreAnswer>(machine.on(Replied{}, at(4)));
    EXPECT_GT(store.delay.count(), 0);
    EXPECT_EQ(store.row.answer.body, "receipt");
}

// Guards against rows that crash the reader, and against teams that share a row.
TEST(AtMostOnce, RowsAreValidatedAndKeyedByTeam)
{
    EXPECT_FALSE(ClaimRow::fromJson(nlohmann::json::parse(R"({"state":"running"})")).ok());
    EXPECT_FALSE(ClaimRow::fromJson(nlohmann::json::parse(R"([1])")).ok());
    EXPECT_NE(claimRowKey(TeamId("a/b"), IdempotencyKey("c")), claimRowKey(TeamId("a"), IdempotencyKey("b/c")));
}

// Guards against `Lychee-Run: no` for a call that ran, then or later.
TEST(NotRun, IsTrueInSeededSchedules) { EXPECT_EQ(sharedTally().falseNotRun, 0); }

// Guards against a reply at the deadline that claims more about the call than is known in its state.
TEST(NotRun, DeadlineIsAnsweredByWhatIsKnown)
{
    ClaimStateMachine inserting = machineWithNonce("nonce");
    inserting.start(at(0));
    EXPECT_EQ(std::get<Reply>(inserting.on(DeadlineReached{}, at(1'000))).run, RunOutcome::No);
    EXPECT_TRUE(std::holds_alternative<ReleaseClaim>(inserting.on(Replied{}, at(1'001))));

    ClaimStateMachine calling = machineWithNonce("nonce");
    calling.start(at(0));
    EXPECT_TRUE(std::holds_alternative<CallTarget>(calling.on(Committed{RowVersion(1)}, at(1))));
    EXPECT_EQ(std::get<Reply>(calling.on(DeadlineReached{}, at(1'000))).run, RunOutcome::Unknown);
    EXPECT_TRUE(std::holds_alternative<AwaitTarget>(calling.on(Replied{}, at(1'001))));
    EXPECT_TRUE(std::holds_alternative<StoreAnswer>(calling.on(TargetAnswered{}, at(1'002))));

    ClaimStateMachine storing = machineWithNonce("nonce");
    storing.start(at(0));
    storing.on(Committed{RowVersion(1)}, at(1));
    storing.on(TargetAnswered{}, at(2));
    EXPECT_EQ(std::get<Reply>(storing.on(DeadlineReached{}, at(1'000))).run, RunOutcome::Yes);

    ClaimStateMachine releasing = machineWithNonce("nonce");
    releasing.start(at(0));
    releasing.on(Committed{RowVersion(1)}, at(1));
    EXPECT_TRUE(std::holds_alternative<ReleaseClaim>(releasing.on(TargetNotRun{}, at(2))));
    EXPECT_EQ(std::get<Reply>(releasing.on(DeadlineReached{}, at(1'000))).run, RunOutcome::No);
}

// Guards against an ineffective check: an unknown outcome that is reported as not run must be found.
TEST(NotRun, ChecksFindFalseReports)
{
    EXPECT_GT(tallyWithout("unknown outcome taken as not run", DisabledMechanism::ProofOfNotRun).falseNotRun, 0);
}

} // namespace
} // namespace lychee
