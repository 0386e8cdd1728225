// The choice of a target where only some software versions may get the request.
#include "fleet/TargetChoice.h"

#include <gtest/gtest.h>

namespace lychee::fleet {
namespace {

using namespace std::chrono_literals;

class SoftwareVersionChoiceTest : public testing::Test {
protected:
    SoftwareVersionChoiceTest()
    {
        service_.id = ServiceId("hall");
        for (int index = 0; index < 6; ++index)
            add(index, index % 2 == 0 ? "v1" : "v2");
    }

    void add(int index, std::string version)
    {
        TargetRecord record;
        record.id = TargetId(fmt::format("t{}", index));
        record.service = service_.id;
        record.endpoint = {"10.0.0.1", static_cast<std::uint16_t>(1000 + index)};
        record.softwareVersion = SoftwareVersion(std::move(version));
        registry_.update(record);
    }

    TargetDecision choose(const std::set<SoftwareVersion>& versions, std::string_view key) const
    {
        ChoiceInput input{service_, nullptr, DataCentreId("a"), TimePoint(10s), 5s};
        input.spreadKey = key;
        input.versions = &versions;
        return chooseTarget(registry_, input);
    }

    Service service_;
    TargetRegistry registry_;
};

// Guards against a stream that goes on at a target of another software version.
TEST_F(SoftwareVersionChoiceTest, OnlyTargetsOfTheAllowedVersionsAreChosen)
{
    std::set<SoftwareVersion> chosen;
    for (int request = 0; request < 50; ++request) {
        const auto decision = choose({SoftwareVersion("v2")}, std::to_string(request));
        ASSERT_TRUE(std::holds_alternative<ChosenTarget>(decision));
        chosen.insert(std::get<ChosenTarget>(decision).softwareVersion);
    }
    EXPECT_EQ(chosen, std::set{SoftwareVersion("v2")});
}

// Guards against a caller that waits for a software version that has left.
TEST_F(SoftwareVersionChoiceTest, AVersionThatHasLeftIsReportedAsSuch)
{
    const auto decision = choose({SoftwareVersion("v0")}, "a");
    ASSERT_TRUE(std::holds_alternative<NoTarget>(decision));
    EXPECT_EQ(std::get<NoTarget>(decision).reason, NoTargetReason::VersionNotServed);
}

// Guards against a caller that waits for a copy of a model which nobody orders, as another version holds it.
TEST_F(SoftwareVersionChoiceTest, AModelThatOnlyOtherVersionsHoldIsNotAwaited)
{
    const ModelId model("m");
    service_.engine.emplace();
    service_.engine->models.push_back({model, 1, 1, 0, 2s, 1s, 1s});
    service_.engine->cacheTokens = 100000;
    TargetRecord holder = registry_.find(TargetId("t1"))->record;
    holder.holdings.models.push_back({model, 1, {}});
    registry_.update(holder);
    GenerationNeed need;
    need.model = model;
    need.promptTokens = TokenCount(10);
    const std::set<SoftwareVersion> versions{SoftwareVersion("v1")};
    ChoiceInput input{service_, &need, DataCentreId("a"), TimePoint(10s), 5s};
    EXPECT_TRUE(std::holds_alternative<ChosenTarget>(chooseTarget(registry_, input)));
    input.versions = &versions;
    const auto decision = chooseTarget(registry_, input);
    ASSERT_TRUE(std::holds_alternative<NoTarget>(decision));
    EXPECT_EQ(std::get<NoTarget>(decision).reason, NoTargetReason::ModelNotHeld);
}

} // namespace
} // namespace lychee::fleet
