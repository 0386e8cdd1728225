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

// Guards against a new owner that tells all peers what their lists of targets say already.
TEST(AnnouncedHoldings, WhatTheEntrySaysIsNoNews)
{
    const AnnouncedHoldings told;
    const fleet::TargetRecord listed = engine(2, {ModelId("m")});
    EXPECT_FALSE(told.isNews(listed, &listed));
    EXPECT_TRUE(told.isNews(engine(3, {ModelId("m"), ModelId("n")}), &listed));
    EXPECT_TRUE(told.isNews(listed, nullptr)) << "peers may not know the target either";
}

// Guards against peers that stay with what an earlier owner told them during a load, because the entry shows its end
// and they believe the owner before the entry.
TEST(AnnouncedHoldings, WhatAnOwnerToldLastCountsBeforeTheEntry)
{
    AnnouncedHoldings told;
    const fleet::TargetRecord during = engine(3, {});
    told.record(during.id, during.incarnation, during.holdings);
    const fleet::TargetRecord loaded = engine(3, {ModelId("m")});
    EXPECT_TRUE(told.isNews(loaded, &loaded));
    told.record(loaded.id, loaded.incarnation, loaded.holdings);
    EXPECT_FALSE(told.isNews(loaded, &during));
}

// Guards against the holdings of an earlier run of an engine taken for those of the present one.
TEST(AnnouncedHoldings, ARestartedEngineIsNews)
{
    AnnouncedHoldings told;
    fleet::TargetRecord record = engine(3, {});
    told.record(record.id, record.incarnation, record.holdings);
    record.incarnation = fleet::TargetIncarnation(8);
    const fleet::TargetRecord earlier = engine(3, {});
    EXPECT_TRUE(told.isNews(record, &earlier));
    told.forget(record.id);
    EXPECT_FALSE(told.isNews(record, &record));
}

} // namespace
} // namespace lychee::gateway
