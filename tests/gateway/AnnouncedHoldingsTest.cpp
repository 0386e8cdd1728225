#include "gateway/AnnouncedHoldings.h"

#include <gtest/gtest.h>

namespace lychee::gateway {
namespace {

fleet::TargetRecord engine(std::uint64_t sequence, std::vector<ModelId> models)
{
    fleet::TargetRecord record;
    record.id = TargetId("engine");
    record.incarnation = fleet::TargetIncarnation(7);
    record.holdings.sequence = fleet::OrderSequence(sequence);
    for (ModelId& model : models)
        record.holdings.models.push_back({std::move(model), 1, {}});
    return record;
}

// Guards against a new owner that announces to all peers what their lists of targets already contain.
TEST(AnnouncedHoldings, HoldingsInTheTableEntryAreNotAnnounced)
{
    const AnnouncedHoldings announced;
    const fleet::TargetRecord listed = engine(2, {ModelId("m")});
    EXPECT_FALSE(announced.needsAnnouncement(listed, &listed));
    EXPECT_TRUE(announced.needsAnnouncement(engine(3, {ModelId("m"), ModelId("n")}), &listed));
    EXPECT_TRUE(announced.needsAnnouncement(listed, nullptr)) << "peers may not know the target either";
}

// Guards against peers that keep the holdings which an earlier owner announced during a load: the target's entry shows
// the end of the load, but announcements take precedence over the entry.
TEST(AnnouncedHoldings, LastAnnouncementTakesPrecedenceOverTheTableEntry)
{
    AnnouncedHoldings announced;
    const fleet::TargetRecord during = engine(3, {});
    announced.record(during.id, during.incarnation, during.holdings);
    const fleet::TargetRecord loaded = engine(3, {ModelId("m")});
    EXPECT_TRUE(announced.needsAnnouncement(loaded, &loaded));
    announced.record(loaded.id, loaded.incarnation, loaded.holdings);
    EXPECT_FALSE(announced.needsAnnouncement(loaded, &during));
}

// Guards against using the holdings of an engine from before its restart.
TEST(AnnouncedHoldings, HoldingsOfARestartedEngineAreAnnounced)
{
    AnnouncedHoldings announced;
    fleet::TargetRecord record = engine(3, {});
    announced.record(record.id, record.incarnation, record.holdings);
    record.incarnation = fleet::TargetIncarnation(8);
    const fleet::TargetRecord earlier = engine(3, {});
    EXPECT_TRUE(announced.needsAnnouncement(record, &earlier));
    announced.forget(record.id);
    EXPECT_FALSE(announced.needsAnnouncement(record, &record));
}

// Guards against an owner whose processor is used up by announcements of each adapter that is unloaded and loaded.
TEST(AnnouncedHoldings, ChangesOfAdaptersAreCollected)
{
    using Announcement = AnnouncedHoldings::Announcement;
    AnnouncedHoldings announced;
    fleet::TargetRecord record = engine(3, {ModelId("m")});
    record.holdings.models[0].adapters = {AdapterId("a1")};
    announced.record(record.id, record.incarnation, record.holdings);
    record.holdings.sequence = fleet::OrderSequence(4);
    record.holdings.models[0].adapters.clear();
    EXPECT_EQ(announced.changed(record, nullptr), Announcement::Collected);
    record.holdings.sequence = fleet::OrderSequence(5);
    record.holdings.models[0].adapters = {AdapterId("a2")};
    EXPECT_EQ(announced.changed(record, nullptr), Announcement::Collected);
    const std::vector<fleet::TargetRecord> collected = announced.takeCollected();
    ASSERT_EQ(collected.size(), 1u);
    EXPECT_EQ(collected[0].holdings, record.holdings);
    EXPECT_TRUE(announced.takeCollected().empty());
}

// Guards against requests to an engine for a model that it no longer holds, and against an older state that is
// announced after a newer one.
TEST(AnnouncedHoldings, ChangesOfModelsAreAnnouncedAtOnce)
{
    using Announcement = AnnouncedHoldings::Announcement;
    AnnouncedHoldings announced;
    fleet::TargetRecord record = engine(3, {ModelId("m")});
    EXPECT_EQ(announced.changed(record, nullptr), Announcement::AtOnce);
    EXPECT_EQ(announced.changed(record, &record), Announcement::None);
    announced.record(record.id, record.incarnation, record.holdings);
    record.holdings.models[0].adapters = {AdapterId("a1")};
    EXPECT_EQ(announced.changed(record, nullptr), Announcement::Collected);
    record.holdings.loading.emplace(ModelId("n"), TimePoint());
    EXPECT_EQ(announced.changed(record, nullptr), Announcement::AtOnce);
    EXPECT_TRUE(announced.takeCollected().empty());
    announced.record(record.id, record.incarnation, record.holdings);
    record.holdings.loading.reset();
    record.holdings.models.clear();
    EXPECT_EQ(announced.changed(record, nullptr), Announcement::AtOnce);
}

// Guards against announcing holdings of an engine that has left the table, or that a new owner has announced since.
TEST(AnnouncedHoldings, CollectedHoldingsEndWithTheirTargetAndWithALaterAnnouncement)
{
    AnnouncedHoldings announced;
    const fleet::TargetRecord listed = engine(3, {ModelId("m")});
    fleet::TargetRecord record = listed;
    record.holdings.models[0].adapters = {AdapterId("a1")};
    announced.changed(record, &listed);
    announced.forget(record.id);
    EXPECT_TRUE(announced.takeCollected().empty());
    announced.changed(record, &listed);
    announced.record(listed.id, listed.incarnation, listed.holdings);
    EXPECT_TRUE(announced.takeCollected().empty());
}

} // namespace
} // namespace lychee::gateway
