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

} // namespace
} // namespace lychee::gateway
