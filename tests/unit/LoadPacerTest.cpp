#include "coordination/LoadPacer.h"

#include "protocol/ProtocolError.h"

#include <gtest/gtest.h>

namespace lychee {
namespace {

TimePoint at(std::int64_t milliseconds) { return TimePoint(std::chrono::milliseconds(milliseconds)); }

LoadPacerOptions pacerOptions(const std::string& self = "one", const std::string& dataCentre = "a")
{
    LoadPacerOptions options;
    options.self = InstanceId(self);
    options.dataCentre = DataCentreId(dataCentre);
    options.dataCentres = {DataCentreId("b"), DataCentreId("a"), DataCentreId("c"), DataCentreId("d")};
    return options;
}

PacedLoad model(int number) { return {TargetId("t"), ArtifactId(fmt::format("m{}@1", number))}; }

PacedLoad adapter(int number) { return {TargetId("t"), ArtifactId(fmt::format("m@1:a{}", number))}; }

// Guards against a slot that no instance or more than one wants, and against a member without a slot while another has
// two.
TEST(LoadPacing, SlotsAreDividedAmongLiveMembers)
{
    std::multiset<LoadSlot> all;
    for (const char* dataCentre : {"a", "b", "c", "d"}) {
        const std::vector<InstanceId> members{InstanceId("one"), InstanceId("two")};
        for (const InstanceId& member : members) {
            const auto wanted = LoadPacer(pacerOptions(member.value(), dataCentre)).wantedSlots(members);
            EXPECT_EQ(wanted.size(), 1u);
            all.insert(wanted.begin(), wanted.end());
        }
    }
    for (std::uint32_t slot = 0; slot < 8; ++slot)
        EXPECT_EQ(all.count(LoadSlot(slot)), 1u) << slot;
    const auto alone = LoadPacer(pacerOptions("one", "b")).wantedSlots({InstanceId("one")});
    EXPECT_EQ(alone, (std::vector{LoadSlot(1), LoadSlot(5)}));
    EXPECT_TRUE(LoadPacer(pacerOptions("one", "elsewhere")).wantedSlots({InstanceId("one")}).empty());
}

// Guards against more than one model load at a time on a slot, and against starts in quick succession.
TEST(LoadPacing, ModelLoadsKeepTheRateAndTheNumber)
{
    LoadPacer pacer(pacerOptions());
    EXPECT_FALSE(pacer.start(model(1), at(0)));
    pacer.addSlot(LoadSlot(0), at(0));
    EXPECT_EQ(pacer.startInterval(), std::chrono::seconds(4));
    EXPECT_FALSE(pacer.start(model(1), at(3'999)));
    EXPECT_TRUE(pacer.start(model(1), at(4'000)));
    EXPECT_TRUE(pacer.start(model(1), at(4'001)));
    EXPECT_FALSE(pacer.start(model(2), at(20'000)));
    pacer.finish(model(1));
    EXPECT_TRUE(pacer.start(model(2), at(20'000)));
    pacer.finish(model(2));
    EXPECT_FALSE(pacer.start(model(3), at(23'999)));
    EXPECT_TRUE(pacer.start(model(3), at(24'000)));
    pacer.removeSlot(LoadSlot(0));
    EXPECT_FALSE(pacer.start(model(4), at(90'000)));
}

// Guards against loads of all slots together that exceed the limits of the weight store.
TEST(LoadPacing, AllSlotsTogetherKeepTheStoreLimits)
{
    LoadPacer pacer(pacerOptions());
    for (std::uint32_t slot = 0; slot < 8; ++slot)
        pacer.addSlot(LoadSlot(slot), at(0));
    int started = 0;
    std::size_t peak = 0;
    for (int millisecond = 0; millisecond < 60'000; millisecond += 10) {
        if (pacer.start(model(started), at(millisecond)))
            ++started;
        peak = std::max(peak, pacer.modelLoadsInProgress(at(millisecond)));
        if (millisecond % 5'000 == 0 && started > 0)
            for (int i = 0; i < started; ++i)
                pacer.finish(model(i));
    }
    EXPECT_EQ(peak, 8u);
    EXPECT_GT(started, 60);
    EXPECT_LE(started, 120);
}

// Guards against too many concurrent adapter loads, which slow each other down.
TEST(LoadPacing, AdapterLoadsAreBoundedBySlot)
{
    LoadPacer pacer(pacerOptions());
    EXPECT_FALSE(pacer.start(adapter(0), at(0)));
    pacer.addSlot(LoadSlot(0), at(0));
    EXPECT_EQ(pacer.adapterLoadsPerSlot(), 7u);
    for (int i = 0; i < 7; ++i)
        EXPECT_TRUE(pacer.start(adapter(i), at(0)));
    EXPECT_FALSE(pacer.start(adapter(7), at(0)));
    pacer.finish(adapter(0));
    EXPECT_TRUE(pacer.start(adapter(7), at(0)));
}

// Guards against a new owner that exceeds the limits together with the previous owner's unresolved loads, and against a
// lost order that occupies a slot for ever.
TEST(LoadPacing, InheritedLoadsCountUntilResolvedOrOld)
{
    LoadPacer pacer(pacerOptions());
    pacer.addSlot(LoadSlot(0), at(0));
    pacer.addInheritedLoad(model(1), at(10'000));
    EXPECT_FALSE(pacer.start(model(2), at(10'000)));
    pacer.finish(model(1));
    EXPECT_TRUE(pacer.start(model(2), at(10'000)));
    pacer.finish(model(2));
    pacer.addInheritedLoad(model(3), at(20'000));
    EXPECT_FALSE(pacer.start(model(4), at(139'999)));
    EXPECT_TRUE(pacer.start(model(4), at(140'000)));
}

// Guards against malformed rows that are accepted.
TEST(LoadPacing, RowsAreChecked)
{
    const LoadSlotRow row{InstanceId("one"), Nonce("n")};
    EXPECT_EQ(decodeLoadSlotRow(encodeLoadSlotRow(row)).value(), row);
    for (const char* bad : {"", "[]", "{}", R"({"holder":"one"})", R"({"holder":1,"nonce":"n"})"})
        EXPECT_EQ(errorOf<ProtocolError>(decodeLoadSlotRow(bad).status()), ProtocolError::Malformed) << bad;
}

} // namespace
} // namespace lychee
