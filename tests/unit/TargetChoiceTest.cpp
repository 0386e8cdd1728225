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
    TargetDecision choose(const TargetRegistry& registry, const GenerationNeed* wanted, Duration remaining = 6s) const
    {
        return chooseTarget(registry,
            {service_, wanted, DataCentreId("a"), now_, remaining, 1s, excluded_, placementReached_, waited_});
    }

    std::string chosen(const TargetRegistry& registry, const GenerationNeed* wanted) const
    {
        const auto choice = choose(registry, wanted);
        const auto* target = std::get_if<ChosenTarget>(&choice);
        return target ? target->target.value() : "none";
    }

    NoTargetReason reason(const TargetRegistry& registry, const GenerationNeed* wanted, Duration remaining = 6s) const
    {
        return std::get<NoTarget>(choose(registry, wanted, remaining)).reason;
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

// Guards against instances that each read the same shared prompt on another engine: without talk all choose the same.
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

// Guards against a hot prompt that keeps all its requests on one engine while the others are idle.
TEST_F(TargetChoiceTest, LeavesThePreferredEngineWhenItsQueueCostsMoreThanReadingAgain)
{
    TargetRegistry registry = registryOf(4);
    const GenerationNeed wanted = need(1, 2, 3);
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

// Guards against the work of peers being overlooked, and against old news of it being believed for ever.
TEST_F(TargetChoiceTest, CountsTheFreshWorkOfPeers)
{
    TargetRegistry registry = registryOf(2);
    const GenerationNeed wanted = need(1, 2, 3);
    const std::string preferred = chosen(registry, &wanted);
    const std::vector<TargetWorkReport> shares{{TargetId(preferred), {20, 90000, 180000}}};
    registry.recordPeerWork(InstanceId("peer"), shares, now_);
    EXPECT_NE(chosen(registry, &wanted), preferred);
    now_ += 5s;
    EXPECT_EQ(chosen(registry, &wanted), preferred);
}

// Guards against new requests for targets that leave, are gone, or were tried for the same request.
TEST_F(TargetChoiceTest, UsesNoTargetThatLeavesOrWasTried)
{
    TargetRegistry registry = registryOf(2);
    TargetRecord leaving = record(0);
    leaving.draining = true;
    registry.update(leaving);
    const GenerationNeed wanted = need(1, 2, 3);
    EXPECT_EQ(chosen(registry, &wanted), "t1");
    excluded_ = {TargetId("t1")};
    EXPECT_EQ(chosen(registry, &wanted), "none");
    excluded_.clear();
    registry.remove(TargetId("t1"));
    EXPECT_EQ(reason(registry, &wanted), NoTargetReason::NoTargets);
}

// Guards against a request that waits for a model which nobody holds, or for an answer that cannot be in time.
TEST_F(TargetChoiceTest, RefusesAtOnceWhatCannotBeServed)
{
    TargetRegistry registry = registryOf(1);
    GenerationNeed wanted = need(1, 2, 3);
    wanted.model = ModelId("undeclared");
    EXPECT_EQ(reason(registry, &wanted), NoTargetReason::ModelNotHeld);
    wanted.model = model;
    EXPECT_EQ(reason(registry, &wanted, 100ms), NoTargetReason::TooBusy);
    wanted.promptTokens = TokenCount(300000);
    EXPECT_EQ(reason(registry, &wanted), NoTargetReason::TooLarge);
}

// Guards against a caller that is sent away and comes back in vain although the model will be there in time, and
// against one that waits for a model which cannot be there in time or which nobody loads.
TEST_F(TargetChoiceTest, WaitsOnlyForAModelThatIsThereInTime)
{
    service_.engine->models.push_back({ModelId("rare"), 65000, 12, 0, 3s, 1s, 400ms});
    TargetRegistry registry = registryOf(1);
    GenerationNeed wanted = need(1, 2, 3);
    wanted.model = ModelId("rare");
    EXPECT_TRUE(std::holds_alternative<AwaitedModel>(choose(registry, &wanted, 6s)));
    EXPECT_EQ(reason(registry, &wanted, 3s), NoTargetReason::ModelNotHeld);
    waited_ = 2s;
    EXPECT_EQ(reason(registry, &wanted, 6s), NoTargetReason::ModelNotHeld);
    Holdings loading;
    loading.sequence = OrderSequence(1);
    loading.loading.emplace(ModelId("rare"), now_ + 1s);
    registry.updateHoldings(TargetId("t0"), TargetIncarnation(1), loading);
    const auto choice = choose(registry, &wanted, 3s);
    ASSERT_TRUE(std::holds_alternative<AwaitedModel>(choice));
    EXPECT_EQ(std::get<AwaitedModel>(choice).expectedAt, now_ + 1s);
    EXPECT_EQ(reason(registry, &wanted, 1s), NoTargetReason::ModelNotHeld);
}

// Guards against request after request that waits for a connection into a data centre that is cut off.
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
        const GenerationNeed wanted = need(1, prompt, 3);
        EXPECT_EQ(registry.find(TargetId(chosen(registry, &wanted)))->record.dataCentre, DataCentreId("c"));
    }
    registry.endSend(registry.beginSend(TargetId("t2"), nullptr, now_), SendOutcome::Answered, now_);
    EXPECT_FALSE(registry.isCutOff(DataCentreId("b"), now_));
}

// Guards against adapters that are loaded where another engine has them, and against a wait for one that cannot be
// loaded now.
TEST_F(TargetChoiceTest, PrefersTheEngineThatHasTheAdapter)
{
    TargetRegistry registry;
    registry.update(record(0));
    registry.update(record(1, {AdapterId("a3")}));
    GenerationNeed wanted = need(1, 2, 3);
    wanted.parts.clear();
    wanted.promptTokens = TokenCount(800);
    wanted.adapter = AdapterId("a3");
    EXPECT_EQ(chosen(registry, &wanted), "t1");
    wanted.adapter = AdapterId("a4");
    EXPECT_TRUE(std::get<ChosenTarget>(choose(registry, &wanted)).adapterMissing);
    placementReached_ = false;
    EXPECT_EQ(reason(registry, &wanted), NoTargetReason::AdapterNotHeld);
}

// Guards against a target that fails part of its requests and still gets its full share, and against taking every
// target out when all fail.
TEST_F(TargetChoiceTest, AvoidsTargetsThatFailUnlessAllDo)
{
    TargetRegistry registry = registryOf(2);
    const GenerationNeed wanted = need(1, 2, 3);
    const std::string preferred = chosen(registry, &wanted);
    for (int i = 0; i < 4; ++i)
        registry.endSend(registry.beginSend(TargetId(preferred), nullptr, now_), SendOutcome::Failed, now_);
    const std::string other = chosen(registry, &wanted);
    EXPECT_NE(other, preferred);
    for (int i = 0; i < 4; ++i)
        registry.endSend(registry.beginSend(TargetId(other), nullptr, now_), SendOutcome::Failed, now_);
    EXPECT_NE(chosen(registry, &wanted), "none");
    now_ += 30s;
    EXPECT_EQ(chosen(registry, &wanted), preferred);
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

// Guards against the counts of a target that go wrong when it restarts, leaves the list or a send ends twice.
TEST(TargetRegistry, KeepsItsCountsThroughRestarts)
{
    TargetRegistry registry;
    registry.update(record(0));
    const GenerationNeed wanted = need(1, 2, 3);
    const SendId before = registry.beginSend(TargetId("t0"), &wanted, at(1s));
    TargetRecord restarted = record(0);
    restarted.incarnation = TargetIncarnation(2);
    registry.update(restarted);
    const SendId after = registry.beginSend(TargetId("t0"), &wanted, at(1s));
    registry.endSend(before, SendOutcome::Failed, at(1s));
    EXPECT_EQ(registry.find(TargetId("t0"))->own.running, 1u);
    registry.prefillDone(after);
    EXPECT_EQ(registry.find(TargetId("t0"))->own.prefillTokens, 0);
    registry.endSend(after, SendOutcome::Answered, at(1s));
    registry.endSend(after, SendOutcome::Answered, at(1s));
    EXPECT_EQ(registry.find(TargetId("t0"))->own.running, 0u);
    EXPECT_TRUE(registry.ownWork().empty());
    const SendId gone = registry.beginSend(TargetId("t0"), &wanted, at(1s));
    registry.remove(TargetId("t0"));
    registry.endSend(gone, SendOutcome::Answered, at(1s));
    EXPECT_EQ(registry.size(), 0u);
}

// Guards against entries of the list, which lag, that undo what the placement owner has told since.
TEST(TargetRegistry, KeepsTheNewestHoldings)
{
    TargetRegistry registry;
    registry.update(record(0));
    Holdings told;
    told.sequence = OrderSequence(5);
    told.models.push_back({ModelId("new"), 1, {}});
    registry.updateHoldings(TargetId("t0"), TargetIncarnation(1), told);
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

} // namespace
} // namespace lychee::fleet
