// One seeded schedule of concurrent attempts on the same idempotency keys, with faults of the table, the target and the
// instances. Runs the claim state machines on virtual time and counts violations.
#pragma once

#include "tests/unit/ClaimStatistics.h"
#include "tests/unit/FakeTable.h"
#include "tests/unit/SeededRandom.h"

#include <functional>
#include <queue>
#include <set>

namespace lychee {

class ClaimSchedule {
public:
    ClaimSchedule(std::uint64_t seed, DisabledMechanism disabled, ClaimStatistics& tally)
        : chance_(seed)
        , disabled_(disabled)
        , tally_(tally)
        , faultsLeft_(chance_.between(2, 6))
        , outageStart_(chance_.percent(25) ? chance_.between(0, 3000) : -1)
        , outageEnd_(outageStart_ + chance_.between(50, 3000))
        , kills_(chance_.percent(30))
        , losesOutcomes_(chance_.percent(40))
    {
    }

    // Runs the schedule to its end. Returns false, without counting it, if fewer than two faults took place.
    bool run()
    {
        const std::int64_t callers = chance_.between(3, 6);
        for (int i = 0; i < callers; ++i) {
            const std::string team = chance_.percent(15) ? "other" : "team";
            const std::string body = chance_.percent(20) ? "body-2" : "body-1";
            at(chance_.between(0, 3000), [this, team, body] { startAttempt(team, body, 2); });
        }
        runSteps();
        if (faults_ < 2)
            return false;
        // Afterwards one attempt per team is made without faults.
        faultsLeft_ = 0;
        faultFree_ = true;
        now_ += 20'000;
        for (const char* team : {"team", "other"}) {
            if (bodies_.contains(team))
                startAttempt(team, *bodies_[team].begin(), 0);
        }
        runSteps();
        count();
        return true;
    }

private:
    struct Attempt {
        std::string team;
        std::string body;
        ClaimStateMachine machine;
        std::int64_t deadline = 0;
        int retries = 0;
        // Number of the action in progress; results of earlier actions are dropped.
        int action = 0;
        bool sent = false;
        bool cancelled = false;
        bool killed = false;
        std::int64_t pausedUntil = 0;
        std::optional<ClaimEvent> callResult;
        bool wantsCallResult = false;
        std::optional<Reply> reply;
        bool answerWasStored = false;
        // A row of another body existed when the attempt started.
        bool otherBodyBefore = false;
        int executions = 0;
    };

    struct Step {
        std::int64_t time;
        int order;
        std::function<void()> work;

        bool operator<(const Step& other) const { return std::tie(other.time, other.order) < std::tie(time, order); }
    };

    static constexpr std::int64_t timeoutMs = 100;
    static constexpr std::int64_t unknownAfterMs = 5000;

    void at(std::int64_t time, std::function<void()> work) { steps_.push({time, ++order_, std::move(work)}); }

    void after(std::int64_t delay, std::function<void()> work) { at(now_ + delay, std::move(work)); }

    void runSteps()
    {
        while (!steps_.empty()) {
            const Step step = steps_.top();
            steps_.pop();
            now_ = std::max(now_, step.time);
            step.work();
        }
    }

    ClaimTime time() const { return {TimePoint(std::chrono::milliseconds(now_)), 1'700'000'000'000 + now_}; }

    void startAttempt(const std::string& team, const std::string& body, int retries)
    {
        const std::int64_t deadline = now_ + chance_.between(300, 3000);
        const std::string id = std::to_string(attempts_.size());
        ClaimRequest request{TeamId(team), IdempotencyKey("key"), BodyHash(body), Nonce("nonce-" + id),
            InstanceId("instance-" + id), TimePoint(std::chrono::milliseconds(deadline)),
            std::chrono::milliseconds(unknownAfterMs)};
        attempts_.push_back(std::make_unique<Attempt>(
            Attempt{team, body, ClaimStateMachine::create(std::move(request)), deadline, retries}));
        Attempt& attempt = *attempts_.back();
        const std::optional<VersionedClaim> row = table_.read(team + "/key");
        attempt.otherBodyBefore = row && row->row.bodyHash != BodyHash(body);
        bodies_[team].insert(body);
        at(deadline, [this, &attempt] { onDeadline(attempt); });
        if (!faultFree_ && chance_.percent(15) && useFault())
            after(
                chance_.between(0, 400), [this, &attempt] { attempt.pausedUntil = now_ + chance_.between(500, 8000); });
        if (kills_ && chance_.percent(40) && useFault())
            after(chance_.between(0, 400), [this, &attempt] { kill(attempt); });
        perform(attempt, attempt.machine.start(time()));
    }

    void kill(Attempt& attempt)
    {
        attempt.killed = true;
        if (!attempt.reply && attempt.retries > 0)
            retry(attempt);
    }

    void retry(const Attempt& attempt)
    {
        after(chance_.between(100, 2500),
            [this, &attempt] { startAttempt(attempt.team, attempt.body, attempt.retries - 1); });
    }

    bool useFault()
    {
        if (faultsLeft_ == 0)
            return false;
        --faultsLeft_;
        ++faults_;
        return true;
    }

    // Runs `work` on the instance of `attempt`: not at all if it was killed, after the pause if it is paused.
    void asInstance(Attempt& attempt, const std::function<void()>& work)
    {
        if (attempt.killed)
            return;
        if (now_ < attempt.pausedUntil)
            return at(attempt.pausedUntil, [this, &attempt, work] { asInstance(attempt, work); });
        work();
    }

    void pass(Attempt& attempt, int action, const ClaimEvent& event)
    {
        asInstance(attempt, [this, &attempt, action, event] {
            if (action == attempt.action)
                perform(attempt, attempt.machine.on(event, time()));
        });
    }

    void onDeadline(Attempt& attempt)
    {
        asInstance(attempt, [this, &attempt] {
            if (attempt.reply)
                return;
            const bool unsent = attempt.wantsCallResult && !attempt.sent;
            attempt.cancelled = attempt.cancelled || unsent;
            attempt.wantsCallResult = false;
            perform(attempt, attempt.machine.on(unsent ? ClaimEvent(TargetNotRun{}) : DeadlineReached{}, time()));
        });
    }

    void perform(Attempt& attempt, const ClaimAction& action)
    {
        if (std::holds_alternative<NoChange>(action))
            return;
        ++attempt.action;
        std::visit([&](const auto& typed) { performTyped(attempt, typed); }, action);
    }

    void performTyped(Attempt& attempt, const InsertClaim& insert)
    {
        if (disabled_ == DisabledMechanism::Claim)
            return pass(attempt, attempt.action, Committed{RowVersion(1)});
        tableOperation(attempt, 0, true, [this, insert] {
            return table_.write(insert.key, insert.check, insert.row, disabled_ != DisabledMechanism::VersionCheck);
        });
    }

    void performTyped(Attempt& attempt, const ReadClaim& read)
    {
        tableOperation(attempt, read.delay.count(), false,
            [this, read]() -> ClaimEvent { return ClaimRowRead{table_.read(read.key)}; });
    }

    void performTyped(Attempt& attempt, const StoreAnswer& store)
    {
        tableOperation(attempt, store.delay.count(), false, [this, store] {
            return table_.write(store.key, store.check, store.row, disabled_ != DisabledMechanism::VersionCheck);
        });
    }

    void performTyped(Attempt& attempt, const ReleaseClaim& release)
    {
        if (disabled_ == DisabledMechanism::ReleaseOnGivingUp && !attempt.sent)
            return pass(attempt, attempt.action, Committed{release.check});
        tableOperation(attempt, release.delay.count(), false, [this, release] {
            return table_.write(release.key, release.check, release.row, disabled_ != DisabledMechanism::VersionCheck);
        });
    }

    void performTyped(Attempt& attempt, const CallTarget&)
    {
        attempt.wantsCallResult = true;
        after(chance_.between(0, 20), [this, &attempt] { asInstance(attempt, [this, &attempt] { send(attempt); }); });
    }

    void performTyped(Attempt& attempt, const AwaitTarget&)
    {
        attempt.wantsCallResult = true;
        passCallResult(attempt);
    }

    void performTyped(Attempt& attempt, const Reply& reply)
    {
        attempt.reply = reply;
        const std::optional<VersionedClaim> row = table_.read(attempt.team + "/key");
        attempt.answerWasStored = row && row->row.state == ClaimState::Done;
        const bool mayRetry = reply.code == "in_progress" || reply.run == RunOutcome::No;
        if (attempt.retries > 0 && (mayRetry || chance_.percent(30)))
            retry(attempt);
        after(1, [this, &attempt, action = attempt.action] { pass(attempt, action, Replied{}); });
    }

    void performTyped(Attempt&, const NoChange&) { }

    void performTyped(Attempt&, const Finished&) { }

    // Chooses the fault of one table operation and deducts it from the number of faults left.
    TableFault nextTableFault()
    {
        if (now_ >= outageStart_ && now_ < outageEnd_ && !faultFree_) {
            faults_ += outageSeen_ ? 0 : 1;
            outageSeen_ = true;
            return TableFault::Refused;
        }
        if (!chance_.percent(35) || !useFault())
            return TableFault::None;
        return static_cast<TableFault>(chance_.between(1, 3));
    }

    void tableOperation(Attempt& attempt, std::int64_t delay, bool isInsert, std::function<ClaimEvent()> effect)
    {
        after(delay, [this, &attempt, isInsert, action = attempt.action, effect = std::move(effect)] {
            if (attempt.killed || action != attempt.action)
                return;
            const TableFault fault = nextTableFault();
            if (fault == TableFault::Refused)
                return pass(attempt, action, Unreachable{});
            const std::int64_t effectAfter
                = fault == TableFault::LateEffect ? chance_.between(timeoutMs, 15'000) : chance_.between(1, 20);
            const bool lost = fault != TableFault::None;
            after(effectAfter, [this, &attempt, action, lost, effect] {
                const ClaimEvent answer = answerSeenBy(attempt, effect());
                if (!lost)
                    after(chance_.between(0, 10), [this, &attempt, action, answer] { pass(attempt, action, answer); });
            });
            if (lost)
                after(timeoutMs, [this, &attempt, action, isInsert] {
                    pass(attempt, action, isInsert ? lostInsertEvent() : ClaimEvent(AnswerLost{}));
                });
        });
    }

    ClaimEvent lostInsertEvent() const
    {
        if (disabled_ == DisabledMechanism::ReadBackAfterFailure)
            return Unreachable{};
        if (disabled_ == DisabledMechanism::ReadBackAfterSuccess)
            return Committed{RowVersion(1)};
        return AnswerLost{};
    }

    // The answer as the driver passes it on; altered if the check of the row is disabled.
    ClaimEvent answerSeenBy(const Attempt& attempt, ClaimEvent answer) const
    {
        std::optional<VersionedClaim>* row = nullptr;
        if (auto* conflict = std::get_if<Conflict>(&answer))
            row = &conflict->row;
        if (auto* read = std::get_if<ClaimRowRead>(&answer))
            row = &read->row;
        if (row == nullptr || !*row)
            return answer;
        const bool expired = time().wallMs - (*row)->row.createdMs > unknownAfterMs;
        if (disabled_ == DisabledMechanism::RunningRowsAreKept && expired && (*row)->row.state == ClaimState::Running)
            (*row)->row.state = ClaimState::Released;
        if (disabled_ == DisabledMechanism::BodyCheck)
            (*row)->row.bodyHash = BodyHash(attempt.body);
        return answer;
    }

    void send(Attempt& attempt)
    {
        if (attempt.cancelled)
            return;
        // A refused connection or an answer with `Lychee-Run: no` proves that the call did not run.
        if (!faultFree_ && chance_.percent(15) && useFault())
            return callEnded(attempt, TargetNotRun{});
        attempt.sent = true;
        const bool lost = losesOutcomes_ && !faultFree_ && chance_.percent(40) && useFault();
        if (lost && chance_.percent(30)) {
            // The target died before it ran the call.
            after(chance_.between(1, 200), [this, &attempt] { outcomeLost(attempt); });
            return;
        }
        after(lost ? chance_.between(1, 6000) : chance_.between(1, 200), [this, &attempt, lost] {
            const ClaimEvent answer = execute(attempt);
            if (!lost)
                after(chance_.between(0, 10), [this, &attempt, answer] { callEnded(attempt, answer); });
        });
        if (lost)
            after(chance_.between(1, 300), [this, &attempt] { outcomeLost(attempt); });
    }

    void outcomeLost(Attempt& attempt)
    {
        outcomeWasLost_ = true;
        if (disabled_ == DisabledMechanism::StopAfterUnknown && !attempt.killed) {
            after(1, [this, &attempt] { callEnded(attempt, execute(attempt)); });
            return;
        }
        const bool asNotRun = disabled_ == DisabledMechanism::ProofOfNotRun;
        callEnded(attempt, asNotRun ? ClaimEvent(TargetNotRun{}) : TargetOutcomeUnknown{});
    }

    ClaimEvent execute(Attempt& attempt)
    {
        ++attempt.executions;
        std::vector<HttpResponse>& answers = answers_[attempt.team];
        HttpResponse answer;
        answer.body = fmt::format("{} {} \xff", attempt.body, answers.size());
        if (chance_.percent(2))
            answer.body.append(maxStoredAnswerBytes, 'x');
        answer.headers.add("Set-Cookie", "a");
        answer.headers.add("Set-Cookie", "b");
        answers.push_back(answer);
        executedBody_[attempt.team] = attempt.body;
        return TargetAnswered{answer};
    }

    void callEnded(Attempt& attempt, const ClaimEvent& result)
    {
        asInstance(attempt, [this, &attempt, result] {
            attempt.callResult = result;
            passCallResult(attempt);
        });
    }

    void passCallResult(Attempt& attempt)
    {
        if (!attempt.callResult || !attempt.wantsCallResult)
            return;
        attempt.wantsCallResult = false;
        perform(attempt, attempt.machine.on(*attempt.callResult, time()));
    }

    void count()
    {
        ++tally_.schedules;
        tally_.faults += faults_;
        for (const auto& [team, answers] : answers_) {
            tally_.executions += static_cast<int>(answers.size());
            tally_.repeatedExecutions += static_cast<int>(answers.size()) - 1;
        }
        const bool killed
            = std::any_of(attempts_.begin(), attempts_.end(), [](const auto& attempt) { return attempt->killed; });
        for (const auto& attempt : attempts_) {
            if (!attempt->reply)
                continue;
            countReply(*attempt);
            if (!killed && !outcomeWasLost_)
                countUnknown(*attempt);
        }
    }

    void countReply(const Attempt& attempt)
    {
        const Reply& reply = *attempt.reply;
        ++tally_.answers;
        tally_.inProgress += reply.code == "in_progress" ? 1 : 0;
        tally_.otherBodyRefused += reply.status == 422 ? 1 : 0;
        tally_.falseNotRun += reply.run == RunOutcome::No && attempt.executions > 0 ? 1 : 0;
        // If a row of another body existed, only 422 and 503 (table unreachable) are correct.
        tally_.otherBodyAccepted += attempt.otherBodyBefore && reply.status != 422 && reply.status != 503 ? 1 : 0;
        if (reply.run != RunOutcome::Yes)
            return;
        tally_.replays += attempt.executions == 0 ? 1 : 0;
        tally_.wrongReplays += isExecutedAnswer(attempt) ? 0 : 1;
    }

    // Whether the answer of `attempt` is the one that the target gave to this body under this key.
    bool isExecutedAnswer(const Attempt& attempt) const
    {
        const auto answers = answers_.find(attempt.team);
        if (answers == answers_.end() || executedBody_.at(attempt.team) != attempt.body)
            return false;
        const HttpResponse& executed = answers->second.back();
        if (!attempt.reply->answer)
            return executed.body.size() > maxStoredAnswerBytes && attempt.reply->status == 409;
        return attempt.reply->answer->body == executed.body && attempt.reply->answer->status == executed.status
            && attempt.reply->answer->headers.fields().size() == executed.headers.fields().size();
    }

    void countUnknown(const Attempt& attempt)
    {
        ++tally_.knownOutcomeAnswers;
        if (attempt.reply->code != "outcome_unknown")
            return;
        const bool notRun = !answers_.contains(attempt.team);
        const std::optional<VersionedClaim> row = table_.read(attempt.team + "/key");
        if (!notRun && !attempt.answerWasStored && !(row && row->row.state == ClaimState::Done))
            return;
        ++tally_.needlessUnknown;
        tally_.deadlinePassed += attempt.executions > 0 ? 1 : 0;
    }

    SeededRandom chance_;
    DisabledMechanism disabled_;
    ClaimStatistics& tally_;
    std::int64_t faultsLeft_;
    std::int64_t outageStart_;
    std::int64_t outageEnd_;
    bool kills_;
    bool losesOutcomes_;
    bool faultFree_ = false;
    bool outageSeen_ = false;
    bool outcomeWasLost_ = false;
    int faults_ = 0;
    std::int64_t now_ = 0;
    int order_ = 0;
    FakeTable table_;
    std::priority_queue<Step> steps_;
    std::vector<std::unique_ptr<Attempt>> attempts_;
    // By team: the bodies that its callers sent, the answers of the executions, the body executed last.
    std::map<std::string, std::set<std::string>> bodies_;
    std::map<std::string, std::vector<HttpResponse>> answers_;
    std::map<std::string, std::string> executedBody_;
};

// Runs `count` schedules with at least two faults each.
inline ClaimStatistics runClaimSchedules(int count, DisabledMechanism disabled)
{
    ClaimStatistics tally;
    for (std::uint64_t seed = 1; tally.schedules < count; ++seed)
        ClaimSchedule(seed, disabled, tally).run();
    return tally;
}

} // namespace lychee
