#include "fleet/TargetChoice.h"

#include <gtest/gtest.h>

#include <set>

namespace lychee::fleet {
namespace {

using namespace std::chrono_literals;

const ServiceId hall("hall");
const ModelId model("m");

TimePoint at(Duration time) { return TimePoint(time); }

TargetRecord record(int index, std::vector<AdapterId> adapters = {})
{
    TargetRecord result;
    result.id = TargetId(fmt::format("t{}", index));
    result.service = hall;
    result.endpoint = {"10.0.0.1", static_cast<std::uint16_t>(1000 + index)};
    result.dataCentre = DataCentreId("a");
    result.incarnation = TargetIncarnation(1);
    result.slots = 64;
    result.holdings.models.push_back({model, 1, {adapters.begin(), adapters.end()}});
    return result;
}

Service service()
{
    Service result;
    result.id = hall;
    result.engine.emplace();
    result.engine->slots = 64;
    result.engine->cacheTokens = 232000;
    result.engine->adapterSlots = 5;
    result.engine->models.push_back({model, 65000, 12, 9, 5s, 1s, 400ms});
    return result;
}

GenerationNeed need(std::uint64_t first, std::uint64_t second, std::uint64_t own)
{
    GenerationNeed result;
    result.model = model;
    result.parts = {{first, TokenCount(2500)}, {second, TokenCount(3800)}, {own, TokenCount(2900)}};
    result.promptTokens = TokenCount(9200);
    result.maxOutputTokens = TokenCount(80);
    return result;
}

class TargetChoiceTest : public testing::Test {
protected:
    TargetDecision choose(
        const TargetRegistry& registry, const GenerationNeed* generation, Duration remaining = 6s) const
    {
        return chooseTarget(registry,
            {service_, generation, DataCentreId("a"), now_, remaining, 1s, excluded_, placementReached_, waited_});
    }

    std::string chosen(const TargetRegistry& registry, const GenerationNeed* generation) const
    {
        const auto choice = choose(registry, generation);
        const auto* target = std::get_if<ChosenTarget>(&choice);
        return target ? target->target.value() : "none";
    }

    NoTargetReason reason(
        const TargetRegistry& registry, const GenerationNeed* generation, Duration remaining = 6s) const
    {
        return std::get<NoTarget>(choose(registry, generation, remaining)).reason;
    }

    static TargetRegistry registryOf(int count)
    {
        TargetRegistry registry;
        for (int i = 0; i < count; ++i)
            registry.update(record(i));
        return registry;
    }

    Service service_ = service();
    TimePoint now_ = at(10s);
    std::vector<TargetId> excluded_;
    bool placementReached_ = true;
    Duration waited_{0};
};

// Guards against instances that send the same shared prompt to different engines: all choose the same one without
// communication.
TEST_F(TargetChoiceTest, InstancesAgreeOnTheEngineOfASharedPrompt)
{
    std::set<std::string> used;
    for (std::uint64_t prompt = 0; prompt < 30; ++prompt) {
        const GenerationNeed one = need(1, prompt, 100 + prompt);
        const GenerationNeed other = need(1, prompt, 900 + prompt);
        const TargetRegistry here = registryOf(6);
        const TargetRegistry there = registryOf(6);
        EXPECT_EQ(chosen(here, &one), chosen(there, &other)) << prompt;
        used.insert(chosen(here, &one));
    }
    EXPECT_GT(used.size(), 3u) << "all prompts go to few engines";
}

// Guards against a frequent prompt that keeps all its requests on one engine while the others are idle.
TEST_F(TargetChoiceTest, LeavesThePreferredEngineWhenItsQueueCostsMoreThanReadingAgain)
{
    TargetRegistry registry = registryOf(4);
    const GenerationNeed generation = need(1, 2, 3);
    std::set<std::string> used;
    for (std::uint64_t i = 0; i < 20; ++i) {
        const GenerationNeed next = need(1, 2, 100 + i);
        const auto choice = choose(registry, &next);
        const auto& target = std::get<ChosenTarget>(choice);
        used.insert(target.target.value());
        registry.beginSend(target.target, &next, now_);
    }
    EXPECT_GT(used.size(), 1u);
}

// Guards against ignoring the work of peers, and against relying on outdated reports of it.
TEST_F(TargetChoiceTest, CountsTheFreshWorkOfPeers)
{
    TargetRegistry registry = registryOf(2);
    const GenerationNeed generation = need(1, 2, 3);
    const std::string preferred = chosen(registry, &generation);
    TargetWork work{20, {}, 180000};
    work.prefill.add(UrgencyPolicy::standard, 90000);
    const std::vector<TargetWorkReport> shares{{TargetId(preferred), work}};
    registry.recordPeerWork(InstanceId("peer"), shares, now_);
    EXPECT_NE(chosen(registry, &generation), preferred);
    now_ += 5s;
    EXPECT_EQ(chosen(registry, &generation), preferred);
}

// Guards against sending requests to targets that are draining, were removed, or were already tried for the request.
TEST_F(TargetChoiceTest, UsesNoTargetThatLeavesOrWasTried)
{
    TargetRegistry registry = registryOf(2);
    TargetRecord leaving = record(0);
    leaving.draining = true;
    registry.update(leaving);
    const GenerationNeed generation = need(1, 2, 3);
    EXPECT_EQ(chosen(registry, &generation), "t1");
    excluded_ = {TargetId("t1")};
    EXPECT_EQ(chosen(registry, &generation), "none");
    excluded_.clear();
    registry.remove(TargetId("t1"));
    EXPECT_EQ(reason(registry, &generation), NoTargetReason::NoTargets);
}

// Guards against a request that waits for an undeclared model, or for an answer that cannot be in time.
TEST_F(TargetChoiceTest, RefusesAtOnceWhatCannotBeServed)
{
    TargetRegistry registry = registryOf(1);
    GenerationNeed generation = need(1, 2, 3);
    generation.model = ModelId("undeclared");
    EXPECT_EQ(reason(registry, &generation), NoTargetReason::ModelNotHeld);
    generation.model = model;
    EXPECT_EQ(reason(registry, &generation, 100ms), NoTargetReason::TooBusy);
    generation.promptTokens = TokenCount(300000);
    EXPECT_EQ(reason(registry, &generation), NoTargetReason::TooLarge);
}

// Guards against refusing a request although its model will be loaded in time, and against keeping one waiting for a
// model that cannot be loaded in time or is not being loaded.
TEST_F(TargetChoiceTest, WaitsOnlyForAModelThatIsThereInTime)
{
    service_.engine->models.push_back({ModelId("rare"), 65000, 12, 0, 3s, 1s, 400ms});
    TargetRegistry registry = registryOf(1);
    GenerationNeed generation = need(1, 2, 3);
    generation.model = ModelId("rare");
    EXPECT_TRUE(std::holds_alternative<AwaitedModel>(choose(registry, &generation, 6s)));
    EXPECT_EQ(reason(registry, &generation, 3s), NoTargetReason::ModelNotHeld);
    waited_ = 2s;
    EXPECT_EQ(reason(registry, &generation, 6s), NoTargetReason::ModelNotHeld);
    Holdings loading;
    loading.sequence = OrderSequence(1);
    loading.loading.emplace(ModelId("rare"), now_ + 1s);
    registry.updateHoldings(TargetId("t0"), TargetIncarnation(1), loading);
    const auto choice = choose(registry, &generation, 3s);
    ASSERT_TRUE(std::holds_alternative<AwaitedModel>(choice));
    EXPECT_EQ(std::get<AwaitedModel>(choice).expectedAt, now_ + 1s);
    EXPECT_EQ(reason(registry, &generation, 1s), NoTargetReason::ModelNotHeld);
}

// Guards against many requests that each wait for a connection to a data centre that is cut off.
TEST_F(TargetChoiceTest, LeavesADataCentreThatIsCutOff)
{
    TargetRegistry registry;
    for (int i = 0; i < 6; ++i) {
        TargetRecord entry = record(i);
        entry.dataCentre = DataCentreId(i < 3 ? "b" : "c");
        registry.update(entry);
    }
    for (int i = 0; i < 2; ++i)
        registry.endSend(
            registry.beginSend(TargetId(fmt::format("t{}", i)), nullptr, now_), SendOutcome::Unreachable, now_);
    EXPECT_TRUE(registry.isCutOff(DataCentreId("b"), now_));
    for (std::uint64_t prompt = 0; prompt < 20; ++prompt) {
        const GenerationNeed generation = need(1, prompt, 3);
        EXPECT_EQ(registry.find(TargetId(chosen(registry, &generation)))->record.dataCentre, DataCentreId("c"));
    }
    registry.endSend(registry.beginSend(TargetId("t2"), nullptr, now_), SendOutcome::Answered, now_);
    EXPECT_FALSE(registry.isCutOff(DataCentreId("b"), now_));
}

// Guards against loading an adapter on one engine although another one holds it, and against waiting for an adapter
// that cannot be loaded now.
TEST_F(TargetChoiceTest, PrefersTheEngineThatHasTheAdapter)
{
    TargetRegistry registry;
    registry.update(record(0));
    registry.update(record(1, {AdapterId("a3")}));
    GenerationNeed generation = need(1, 2, 3);
    generation.parts.clear();
    generation.promptTokens = TokenCount(800);
    generation.adapter = AdapterId("a3");
    EXPECT_EQ(chosen(registry, &generation), "t1");
    generation.adapter = AdapterId("a4");
    EXPECT_TRUE(std::get<ChosenTarget>(choose(registry, &generation)).adapterMissing);
    placementReached_ = false;
    EXPECT_EQ(reason(registry, &generation), NoTargetReason::AdapterNotHeld);
}

// Guards against requests for an adapter that all ask the two engines whose places are in use, although others have
// free ones, and against refusing when all engines have refused a moment ago.
TEST_F(TargetChoiceTest, AsksFurtherEnginesForAnAdapterAfterARefusal)
{
    TargetRegistry registry = registryOf(4);
    GenerationNeed generation = need(1, 2, 3);
    generation.adapter = AdapterId("a3");
    const std::string first = chosen(registry, &generation);
    std::set<std::string> asked;
    for (int i = 0; i < 4; ++i) {
        const std::string next = chosen(registry, &generation);
        EXPECT_TRUE(asked.insert(next).second) << next << " is asked again";
        registry.recordAdapterRefused(TargetId(next), TargetIncarnation(1), now_);
    }
    EXPECT_NE(chosen(registry, &generation), "none");
    now_ += 400ms;
    EXPECT_EQ(chosen(registry, &generation), first);
    registry.recordAdapterRefused(TargetId(first), TargetIncarnation(2), now_);
    EXPECT_EQ(chosen(registry, &generation), first) << "the refusal is of another incarnation";
}

// Guards against an adapter that takes one of few places on the two preferred engines although a third one holds it.
TEST_F(TargetChoiceTest, PrefersAnEngineOutsideTheGroupThatHasTheAdapter)
{
    GenerationNeed generation = need(1, 2, 3);
    generation.parts.clear();
    generation.promptTokens = TokenCount(800);
    generation.adapter = AdapterId("a3");
    for (int holder = 0; holder < 6; ++holder) {
        TargetRegistry registry = registryOf(6);
        registry.recordAdapterLoaded(TargetId(fmt::format("t{}", holder)), TargetIncarnation(1), generation);
        EXPECT_EQ(chosen(registry, &generation), fmt::format("t{}", holder));
    }
}

// Guards against avoiding an engine for what it holds, because it had no place for something else.
TEST_F(TargetChoiceTest, RefusalOfAnAdapterConcernsMissingAdaptersOnly)
{
    TargetRegistry registry;
    registry.update(record(0, {AdapterId("a3")}));
    registry.update(record(1));
    GenerationNeed generation = need(1, 2, 3);
    generation.parts.clear();
    generation.promptTokens = TokenCount(800);
    registry.recordAdapterRefused(TargetId("t0"), TargetIncarnation(1), now_);
    generation.adapter = AdapterId("a3");
    EXPECT_EQ(chosen(registry, &generation), "t0");
    generation.adapter = AdapterId("a4");
    EXPECT_EQ(chosen(registry, &generation), "t1");
    registry.recordAdapterLoaded(TargetId("t0"), TargetIncarnation(1), generation);
    EXPECT_EQ(chosen(registry, &generation), "t0");
}

// Guards against callers that are told to retry before any place for their adapter can be free, and that have used up
// their attempts when one is.
TEST_F(TargetChoiceTest, RefusalWithoutAPlaceForTheAdapterSaysWhenOneIsFree)
{
    const TargetRegistry registry = registryOf(2);
    GenerationNeed generation = need(1, 2, 3);
    excluded_ = {TargetId("t0"), TargetId("t1")};
    EXPECT_EQ(reason(registry, &generation), NoTargetReason::TooBusy);
    generation.adapter = AdapterId("a3");
    const auto refused = choose(registry, &generation);
    ASSERT_TRUE(std::holds_alternative<NoTarget>(refused));
    EXPECT_EQ(std::get<NoTarget>(refused).reason, NoTargetReason::AdapterNotHeld);
    EXPECT_EQ(std::get<NoTarget>(refused).retryAfter, 400ms + registry.slotOccupancy(hall) / 2);
}

// Guards against a target that fails some of its requests and still receives as many as the others, and against
// ejecting all targets when all fail.
TEST_F(TargetChoiceTest, AvoidsTargetsThatFailUnlessAllDo)
{
    TargetRegistry registry = registryOf(2);
    const GenerationNeed generation = need(1, 2, 3);
    const std::string preferred = chosen(registry, &generation);
    for (int i = 0; i < 4; ++i)
        registry.endSend(registry.beginSend(TargetId(preferred), nullptr, now_), SendOutcome::Failed, now_);
    const std::string other = chosen(registry, &generation);
    EXPECT_NE(other, preferred);
    for (int i = 0; i < 4; ++i)
        registry.endSend(registry.beginSend(TargetId(other), nullptr, now_), SendOutcome::Failed, now_);
    EXPECT_NE(chosen(registry, &generation), "none");
    now_ += 30s;
    EXPECT_EQ(chosen(registry, &generation), preferred);
}

// Guards against plain services whose requests pile up on one target.
TEST_F(TargetChoiceTest, SpreadsPlainRequests)
{
    service_.engine.reset();
    TargetRegistry registry = registryOf(3);
    std::map<std::string, int> counts;
    for (int i = 0; i < 30; ++i) {
        const auto choice = choose(registry, nullptr);
        const auto& target = std::get<ChosenTarget>(choice);
        ++counts[target.target.value()];
        registry.beginSend(target.target, nullptr, now_);
    }
    for (const auto& [target, count] : counts)
        EXPECT_EQ(count, 10) << target;
}

// Guards against wrong counts of a target after it restarts, is removed from the list, or a send ends twice.
TEST(TargetRegistry, KeepsItsCountsThroughRestarts)
{
    TargetRegistry registry;
    registry.update(record(0));
    const GenerationNeed generation = need(1, 2, 3);
    const SendId before = registry.beginSend(TargetId("t0"), &generation, at(1s));
    TargetRecord restarted = record(0);
    restarted.incarnation = TargetIncarnation(2);
    registry.update(restarted);
    const SendId after = registry.beginSend(TargetId("t0"), &generation, at(1s));
    registry.endSend(before, SendOutcome::Failed, at(1s));
    EXPECT_EQ(registry.find(TargetId("t0"))->own.running, 1u);
    registry.prefillDone(after, at(1s));
    EXPECT_EQ(registry.find(TargetId("t0"))->own.prefill.total(), 0);
    registry.endSend(after, SendOutcome::Answered, at(1s));
    registry.endSend(after, SendOutcome::Answered, at(1s));
    EXPECT_EQ(registry.find(TargetId("t0"))->own.running, 0u);
    EXPECT_TRUE(registry.ownWork(TimePoint()).empty());
    const SendId gone = registry.beginSend(TargetId("t0"), &generation, at(1s));
    registry.remove(TargetId("t0"));
    registry.endSend(gone, SendOutcome::Answered, at(1s));
    EXPECT_EQ(registry.size(), 0u);
}

// Guards against outdated list entries that replace the holdings which the placement owner has sent since.
TEST(TargetRegistry, KeepsTheNewestHoldings)
{
    TargetRegistry registry;
    registry.update(record(0));
    Holdings newer;
    newer.sequence = OrderSequence(5);
    newer.models.push_back({ModelId("new"), 1, {}});
    registry.updateHoldings(TargetId("t0"), TargetIncarnation(1), newer);
    registry.update(record(0));
    EXPECT_TRUE(registry.find(TargetId("t0"))->record.holdings.find(ModelId("new")));
    // An entry of the same sequence may still list an adapter that the owner has unloaded since.
    TargetRecord same = record(0);
    same.holdings.sequence = OrderSequence(5);
    registry.update(same);
    EXPECT_TRUE(registry.find(TargetId("t0"))->record.holdings.find(ModelId("new")));
    registry.updateHoldings(TargetId("t0"), TargetIncarnation(9), {});
    EXPECT_TRUE(registry.find(TargetId("t0"))->record.holdings.find(ModelId("new")));
    TargetRecord later = record(0);
    later.holdings.sequence = OrderSequence(6);
    registry.update(later);
    EXPECT_FALSE(registry.find(TargetId("t0"))->record.holdings.find(ModelId("new")));
}

// Guards against requests to a target that has said that it is about to leave: while its list entry lags, and when the
// entry returns after it was missing.
TEST_F(TargetChoiceTest, ALeavingTargetGetsNoRequestsUntilItHasRestarted)
{
    TargetRegistry registry = registryOf(1);
    const GenerationNeed generation = need(1, 2, 3);
    registry.recordLeaving(TargetId("t0"), TargetIncarnation(1), std::nullopt);
    EXPECT_EQ(reason(registry, &generation), NoTargetReason::NoTargets);
    registry.update(record(0));
    EXPECT_EQ(reason(registry, &generation), NoTargetReason::NoTargets);
    registry.remove(TargetId("t0"));
    registry.update(record(0));
    EXPECT_EQ(reason(registry, &generation), NoTargetReason::NoTargets);
    TargetRecord restarted = record(0);
    restarted.incarnation = TargetIncarnation(2);
    registry.update(restarted);
    EXPECT_EQ(chosen(registry, &generation), "t0");
    registry.recordLeaving(TargetId("t0"), TargetIncarnation(1), std::nullopt);
    EXPECT_EQ(chosen(registry, &generation), "t0");
}

// Guards against requests to a restarted target that has said that it leaves before its new entry arrived.
TEST_F(TargetChoiceTest, WhatARestartedTargetSaysOfLeavingHoldsOnceItIsListed)
{
    TargetRegistry registry = registryOf(1);
    const GenerationNeed generation = need(1, 2, 3);
    registry.recordLeaving(TargetId("t0"), TargetIncarnation(1), EpochTime(5000));
    TargetRecord restarted = record(0);
    restarted.incarnation = TargetIncarnation(4000);
    registry.update(restarted);
    EXPECT_EQ(reason(registry, &generation), NoTargetReason::NoTargets);
    TargetRecord again = record(0);
    again.incarnation = TargetIncarnation(6000);
    registry.update(again);
    EXPECT_EQ(chosen(registry, &generation), "t0");
}

// Guards against requests to a restarted target that wants none for a time and has said so before its new entry
// arrived.
TEST_F(TargetChoiceTest, WhatARestartedTargetDeclinesHoldsOnceItIsListed)
{
    TargetRegistry registry = registryOf(1);
    const GenerationNeed generation = need(1, 2, 3);
    registry.recordDeclined(TargetId("t0"), TargetIncarnation(1), now_ + 5s, EpochTime(5000));
    TargetRecord restarted = record(0);
    restarted.incarnation = TargetIncarnation(4000);
    registry.update(restarted);
    EXPECT_EQ(reason(registry, &generation), NoTargetReason::TooBusy);
    TargetRecord again = record(0);
    again.incarnation = TargetIncarnation(6000);
    registry.update(again);
    EXPECT_EQ(chosen(registry, &generation), "t0");
}

// Guards against requests to a target whose entry says that it leaves and is then replaced by an older one, because the
// list was restored from a copy.
TEST_F(TargetChoiceTest, ATargetThatLeavesDoesNotReturnWithAnOlderEntry)
{
    TargetRegistry registry = registryOf(1);
    const GenerationNeed generation = need(1, 2, 3);
    TargetRecord leaving = record(0);
    leaving.draining = true;
    registry.update(leaving);
    registry.update(record(0));
    EXPECT_EQ(reason(registry, &generation), NoTargetReason::NoTargets);
    TargetRecord restarted = record(0);
    restarted.incarnation = TargetIncarnation(2);
    registry.update(restarted);
    EXPECT_EQ(chosen(registry, &generation), "t0");
}

// Guards against requests to a target that has said that it leaves, after a late answer of its former process and while
// its entry was missing for a time.
TEST_F(TargetChoiceTest, ALateAnswerOfAFormerProcessChangesNothing)
{
    TargetRegistry registry = registryOf(1);
    const GenerationNeed generation = need(1, 2, 3);
    TargetRecord restarted = record(0);
    restarted.incarnation = TargetIncarnation(2);
    registry.update(restarted);
    registry.recordLeaving(TargetId("t0"), TargetIncarnation(2), std::nullopt);
    registry.recordDeclined(TargetId("t0"), TargetIncarnation(1), now_ + 5s, std::nullopt);
    registry.recordLimit(TargetId("t0"), TargetIncarnation(1), 2, now_, now_);
    registry.remove(TargetId("t0"));
    registry.update(restarted);
    EXPECT_EQ(reason(registry, &generation), NoTargetReason::NoTargets);
}

// Guards against requests to a target that wants none for a time, and against a refusal that sends callers back
// earlier.
TEST_F(TargetChoiceTest, ADecliningTargetGetsNoRequestsUntilItsTimeIsOver)
{
    TargetRegistry registry = registryOf(2);
    const GenerationNeed generation = need(1, 2, 3);
    registry.recordDeclined(TargetId("t0"), TargetIncarnation(1), now_ + 5s, std::nullopt);
    EXPECT_EQ(chosen(registry, &generation), "t1");
    registry.recordDeclined(TargetId("t1"), TargetIncarnation(1), now_ + 3s, std::nullopt);
    registry.update(record(1));
    const auto refused = choose(registry, &generation);
    ASSERT_TRUE(std::holds_alternative<NoTarget>(refused));
    EXPECT_EQ(std::get<NoTarget>(refused).reason, NoTargetReason::TooBusy);
    EXPECT_EQ(std::get<NoTarget>(refused).retryAfter, 3s);
    now_ += 3s;
    EXPECT_EQ(chosen(registry, &generation), "t1");
}

// Guards against a limit that outlasts the target's need, and against one that an answer from before the need ends.
TEST_F(TargetChoiceTest, ALimitEndsWithAnAnswerToALaterRequestOnly)
{
    TargetRegistry registry = registryOf(1);
    const TargetId target("t0");
    const TargetIncarnation incarnation(1);
    const auto limit = [&] { return registry.find(target)->limit; };
    EXPECT_TRUE(registry.recordLimit(target, incarnation, 2, now_, now_ + 1s));
    EXPECT_FALSE(registry.recordLimit(target, incarnation, 2, now_, now_ + 1s));
    EXPECT_FALSE(registry.recordLimit(target, incarnation, std::nullopt, now_ + 1s, now_ + 2s));
    ASSERT_TRUE(limit());
    EXPECT_TRUE(registry.recordLimit(target, incarnation, 0.5, now_ + 2s, now_ + 2s));
    EXPECT_EQ(limit()->perSecond, 0.5);
    registry.remove(target);
    registry.update(record(0));
    EXPECT_TRUE(limit());
    EXPECT_TRUE(registry.recordLimit(target, incarnation, std::nullopt, now_ + 2s, now_ + 3s));
    EXPECT_FALSE(limit());
    EXPECT_FALSE(registry.recordLimit(target, incarnation, std::nullopt, now_ + 3s, now_ + 3s));
}

// Guards against requests that use up what a target in need takes although another target is free.
TEST_F(TargetChoiceTest, ALimitedTargetIsLeftToRequestsThatNoOtherCanServe)
{
    TargetRegistry registry = registryOf(2);
    const GenerationNeed generation = need(1, 2, 3);
    const TargetId preferred(chosen(registry, &generation));
    registry.recordLimit(preferred, TargetIncarnation(1), 2, now_, now_);
    const std::string other = chosen(registry, &generation);
    EXPECT_NE(other, preferred.value());
    registry.remove(TargetId(other));
    EXPECT_EQ(chosen(registry, &generation), preferred.value());
}

// Guards against requests that a target has to turn away although each of them makes it fail sooner.
TEST_F(TargetChoiceTest, ABrittleTargetGetsNoMoreThanItHasPlacesFor)
{
    TargetRegistry registry = registryOf(1);
    const GenerationNeed generation = need(1, 2, 3);
    constexpr int places = 64;
    for (int i = 0; i < places; ++i)
        registry.beginSend(TargetId("t0"), nullptr, now_);
    EXPECT_EQ(chosen(registry, &generation), "t0");
    registry.recordBrittle(TargetId("t0"), TargetIncarnation(1), true, now_);
    EXPECT_EQ(reason(registry, &generation), NoTargetReason::TooBusy);
    registry.recordBrittle(TargetId("t0"), TargetIncarnation(1), false, now_);
    EXPECT_EQ(chosen(registry, &generation), "t0");
}

// Guards against instances that all come back to a target at the same pace while it goes on turning requests away.
TEST_F(TargetChoiceTest, ThePauseOfABrittleTargetGrowsWhileItTurnsRequestsAway)
{
    TargetRegistry registry = registryOf(1);
    const auto turnedAway = [&] { return registry.recordTurnedAway(TargetId("t0"), TargetIncarnation(1), now_); };
    EXPECT_EQ(turnedAway(), 1s);
    now_ += 100ms;
    EXPECT_EQ(turnedAway(), 900ms) << "requests that were on their way together";
    now_ += 1s;
    EXPECT_EQ(turnedAway(), 2s);
    now_ += 2100ms;
    EXPECT_EQ(turnedAway(), 4s);
    now_ += 4100ms;
    EXPECT_EQ(turnedAway(), 4s);
    now_ += 10s;
    EXPECT_EQ(turnedAway(), 1s);
}

} // namespace
} // namespace lychee::fleet
