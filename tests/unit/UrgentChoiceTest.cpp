#include "fleet/TargetChoice.h"

#include <gtest/gtest.h>

namespace lychee::fleet {
namespace {

using namespace std::chrono_literals;

// Engines that all hold one model, and requests for it.
class UrgentChoiceTest : public testing::Test {
protected:
    UrgentChoiceTest()
    {
        service_.id = ServiceId("hall");
        service_.engine.emplace();
        service_.engine->cacheTokens = 190000;
        service_.engine->models.push_back({ModelId("m"), 1, 1, 3, 5s, 1s, 1s});
        need_.model = ModelId("m");
        need_.promptTokens = TokenCount(9190);
        need_.maxOutputTokens = TokenCount(52);
        need_.parts = {{1, TokenCount(2520)}, {2, TokenCount(3780)}, {3, TokenCount(2890)}};
    }

    void addEngines(int count)
    {
        for (int i = 0; i < count; ++i) {
            TargetRecord record;
            record.id = TargetId(fmt::format("t{}", i));
            record.service = service_.id;
            record.endpoint = {"127.0.0.1", static_cast<std::uint16_t>(1 + i)};
            record.incarnation = TargetIncarnation(1);
            record.slots = 64;
            record.holdings.models.push_back({ModelId("m"), 1, {}});
            registry_.update(record);
        }
    }

    // Prompts of this urgency wait at a target, as a peer reports it.
    void queue(const TargetId& target, Urgency urgency, double tokens)
    {
        TargetWork work{1, {}, tokens};
        work.prefill.add(urgency, tokens);
        registry_.recordPeerWork(InstanceId("peer"), std::vector<TargetWorkReport>{{target, work}}, now_);
    }

    TargetDecision choose(const GenerationNeed& need, Urgency urgency, Duration lateObjective = Duration(0))
    {
        ChoiceInput input{service_, &need, DataCentreId("a"), now_, 10s, 500ms};
        input.urgency = urgency;
        input.lateObjective = lateObjective;
        input.fetchesCache = true;
        return chooseTarget(registry_, input);
    }

    static GenerationNeed shortNeed()
    {
        GenerationNeed need;
        need.model = ModelId("m");
        need.promptTokens = TokenCount(826);
        need.maxOutputTokens = TokenCount(290);
        need.parts = {{4, TokenCount(198)}, {5, TokenCount(628)}};
        return need;
    }

    Service service_;
    GenerationNeed need_;
    TargetRegistry registry_;
    TimePoint now_{1s};
};

// Guards against short urgent requests that are refused because of long prompts which the engine prefills after them.
TEST_F(UrgentChoiceTest, UrgentRequestsDoNotWaitForLessUrgentPrompts)
{
    addEngines(1);
    queue(TargetId("t0"), Urgency(1), 40000);
    const GenerationNeed urgent = shortNeed();
    const TargetDecision first = choose(urgent, Urgency(0));
    ASSERT_TRUE(std::holds_alternative<ChosenTarget>(first));
    EXPECT_LT(std::get<ChosenTarget>(first).predicted, Duration(100ms));
    EXPECT_FALSE(std::get<ChosenTarget>(first).late);
    EXPECT_TRUE(std::holds_alternative<NoTarget>(choose(urgent, Urgency(1))));
}

// Guards against an overload in which a request that can still be answered late is refused, and one that is beyond the
// patience of its caller is sent.
TEST_F(UrgentChoiceTest, LateRequestsAreSentWhileTheirCallersWait)
{
    addEngines(1);
    queue(TargetId("t0"), Urgency(1), 40000);
    const TargetDecision late = choose(shortNeed(), Urgency(1), 2s);
    ASSERT_TRUE(std::holds_alternative<ChosenTarget>(late));
    EXPECT_TRUE(std::get<ChosenTarget>(late).late);
    EXPECT_TRUE(std::holds_alternative<NoTarget>(choose(shortNeed(), Urgency(1), 1s)));
}

// Guards against shared prompts that are prefilled again on each engine to which an overload spreads them.
TEST_F(UrgentChoiceTest, SharedPartsAreFetchedFromThePreferredEngine)
{
    addEngines(8);
    service_.engine->cacheTokenBytes = 163840;
    service_.engine->linkMegabitsPerSecond = 1100000;
    const auto preferred = std::get<ChosenTarget>(choose(need_, Urgency(1)));
    EXPECT_FALSE(preferred.cacheSource.has_value());
    queue(preferred.target, Urgency(1), 30000);
    const auto other = std::get<ChosenTarget>(choose(need_, Urgency(1)));
    EXPECT_NE(other.target, preferred.target);
    EXPECT_EQ(other.cacheSource, preferred.endpoint);
    EXPECT_LT(other.predicted, Duration(120ms)) << "the shared parts alone take 164 ms to prefill";
    service_.engine->linkMegabitsPerSecond = 0;
    EXPECT_FALSE(std::get<ChosenTarget>(choose(need_, Urgency(1))).cacheSource.has_value());
}

} // namespace
} // namespace lychee::fleet
