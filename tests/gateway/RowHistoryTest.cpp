// Rows that are sent as differences from values that the receiver has had.
#include "gateway/RowHistory.h"

#include "gateway/RowSenders.h"

#include <gtest/gtest.h>

namespace lychee::gateway {
namespace {

StoredRow rowOf(std::uint64_t version, const std::string& text = "")
{
    std::string value = fmt::format("{{\"version\":{},\"routes\":[", version);
    for (int i = 0; i < 1150; ++i)
        value += fmt::format(
            "{{\"name\":\"r{}\",\"prefix\":\"/{}/\",\"kind\":\"idempotent\",\"timeoutMs\":4000,\"targetLatencyMs\":300,"
            "\"priority\":3,\"attempts\":2,\"host\":\"h{}.example\",\"gapTargetMs\":0,\"service\":\"hall-of-models\"}}",
            i, i * 7919, i % 7);
    return {"config", RowVersion(version), false, value + text};
}

MeshRow transfer(const MeshRow& row)
{
    const auto decoded = decodeMeshMessage(encodeMeshMessage(MeshRows{"op", {}, row.version, {row}}));
    return std::get<MeshRows>(decoded.value()).rows.at(0);
}

// Guards against a large configuration that only instances that read the store themselves get in time: whole, it was
// sent to none or filled the links of its sender and of its receivers, with the heartbeats behind it.
TEST(RowHistory, AChangeOfALargeConfigurationIsSmallEnoughForAllInstances)
{
    RowHistory sender;
    RowHistory receiver;
    for (const std::uint64_t version : {1, 2}) {
        sender.record(rowOf(version));
        receiver.record(rowOf(version));
    }
    const StoredRow changed = rowOf(3, "{\"name\":\"added\"}");
    EXPECT_FALSE(mayForwardTo(132, changed.value.size()));
    sender.record(changed);
    for (const std::uint64_t known : {1, 2}) {
        const MeshRow message = sender.encode(changed, RowVersion(known));
        EXPECT_TRUE(mayForwardTo(1799, message.size())) << message.size();
        const auto received = receiver.decode(transfer(message));
        ASSERT_TRUE(received);
        EXPECT_EQ(received->value, changed.value);
        EXPECT_EQ(received->version, changed.version);
    }
}

// Guards against a receiver that cannot use a difference and is sent nothing else.
TEST(RowHistory, AReceiverWithAnUnknownValueGetsTheWholeRow)
{
    RowHistory sender;
    sender.record(rowOf(1));
    sender.record(rowOf(2));
    const MeshRow whole = sender.encode(rowOf(2), RowVersion());
    EXPECT_EQ(whole.base, RowVersion());
    EXPECT_EQ(RowHistory().decode(transfer(whole))->value, rowOf(2).value);
    EXPECT_EQ(RowHistory().decode(transfer(sender.encode(rowOf(2), RowVersion(1)))), std::nullopt);
}

// Guards against a history that grows with each change.
TEST(RowHistory, KeepsTheNewestValuesOnly)
{
    RowHistory history;
    constexpr std::uint64_t count = 100;
    for (std::uint64_t version = 1; version <= count; ++version)
        history.record(rowOf(version));
    EXPECT_FALSE(history.contains("config", RowVersion(count / 2)));
    EXPECT_TRUE(history.contains("config", RowVersion(count - 2)));
    EXPECT_TRUE(history.contains("config", RowVersion(count)));
}

} // namespace
} // namespace lychee::gateway
