#include "gateway/TargetList.h"
#include "gateway/RowReplica.h"

#include "protocol/ProtocolError.h"

#include <gtest/gtest.h>

#include <random>

namespace lychee::gateway {
namespace {

using namespace std::chrono_literals;

TimePoint at(Duration time) { return TimePoint(time); }

StoredRow row(std::string key, std::uint64_t version, bool removed = false, std::string value = "ready")
{
    return {std::move(key), RowVersion(version), removed, std::move(value)};
}

class TargetListTest : public testing::Test {
protected:
    static absl::StatusOr<fleet::TargetRecord> decode(const std::string& key, std::string_view value)
    {
        if (value == "broken")
            return makeError(ProtocolError::Malformed, "broken");
        fleet::TargetRecord record;
        record.id = TargetId(key);
        record.draining = value == "draining";
        record.incarnation = fleet::TargetIncarnation(value == "restarted" ? 2 : 1);
        return record;
    }

    StoreAvailability availability_;
    int listed_ = 0;
    std::vector<std::string> gone_;
    TargetList list_{availability_,
        {decode, [this](const fleet::TargetRecord&) { ++listed_; },
            [this](const TargetId& id) { gone_.push_back(id.value()); }}};
};

// Guards against new requests to a target whose entry was removed while the store was available.
TEST_F(TargetListTest, RemovedEntryMeansGoneAtOnce)
{
    availability_.succeeded(at(1s));
    list_.apply({row("a", 1), row("b", 2)}, at(1s));
    list_.apply({row("a", 3, true)}, at(2s));
    EXPECT_EQ(gone_, std::vector<std::string>{"a"});
    EXPECT_EQ(list_.targets().size(), 1u);
}

// Guards against an outage of the store that removes targets although they are running, and against a stopped target
// that is never removed after an outage.
TEST_F(TargetListTest, EntriesThatExpiredInAnOutageHaveTimeToReturn)
{
    availability_.succeeded(at(1s));
    list_.apply({row("a", 1), row("b", 2)}, at(1s));
    availability_.failed(at(2s), "no answer");
    availability_.succeeded(at(6s));
    list_.apply({row("a", 3, true), row("b", 3, true)}, at(6s));
    EXPECT_TRUE(gone_.empty());
    list_.apply({row("b", 4)}, at(7s));
    list_.removeExpired(at(8s));
    EXPECT_TRUE(gone_.empty());
    list_.removeExpired(at(8500ms));
    EXPECT_EQ(gone_, std::vector<std::string>{"a"});
    EXPECT_TRUE(list_.targets().contains(TargetId("b")));
}

// Guards against a target that counts as its former process because the store was restored from a copy: what the
// present one says of leaving would be void when its entry returns.
TEST_F(TargetListTest, AnEntryFromBeforeARestartIsIgnored)
{
    list_.apply({row("a", 1, false, "restarted")}, at(1s));
    list_.apply({row("a", 2)}, at(2s));
    EXPECT_EQ(list_.targets().at(TargetId("a")).incarnation, fleet::TargetIncarnation(2));
    EXPECT_EQ(listed_, 1);
}

// Guards against a target that is removed at once in a second outage, because the first one ended long ago.
TEST_F(TargetListTest, EntriesThatExpiredInALaterOutageHaveTimeToReturn)
{
    availability_.succeeded(at(1s));
    list_.apply({row("a", 1)}, at(1s));
    availability_.failed(at(2s), "no answer");
    availability_.succeeded(at(4s));
    availability_.failed(at(20s), "no answer");
    list_.apply({row("a", 3, true)}, at(21s));
    list_.removeExpired(at(22s));
    EXPECT_TRUE(gone_.empty());
    list_.removeExpired(at(23200ms));
    EXPECT_EQ(gone_, std::vector<std::string>{"a"});
}

// Guards against requests to a target that is gone, because a call to the store failed once while the removal of its
// entry arrived.
TEST_F(TargetListTest, AFailureTooShortForAnOutageDelaysNoRemoval)
{
    availability_.succeeded(at(1s));
    list_.apply({row("a", 1)}, at(1s));
    availability_.failed(at(2s), "no answer");
    list_.apply({row("a", 3, true)}, at(2100ms));
    list_.removeExpired(at(2150ms));
    EXPECT_TRUE(gone_.empty());
    availability_.succeeded(at(2200ms));
    list_.removeExpired(at(2250ms));
    EXPECT_EQ(gone_, std::vector<std::string>{"a"});
}

// Guards against requests to a target that is gone, because the store turns this instance away while it answers others.
TEST_F(TargetListTest, AStoreThatAnswersAPeerDelaysNoRemoval)
{
    availability_.succeeded(at(1s));
    list_.apply({row("a", 1), row("b", 2)}, at(1s));
    availability_.peerReached(900ms, at(1s));
    availability_.peerReached(1900ms, at(2s));
    availability_.failed(at(2s), "turned away");
    list_.apply({row("a", 3, true)}, at(2100ms));
    EXPECT_TRUE(gone_.empty());
    availability_.peerReached(2900ms, at(3s));
    list_.removeExpired(at(3300ms));
    EXPECT_EQ(gone_, std::vector<std::string>{"a"});
    list_.apply({row("b", 4, true)}, at(3400ms));
    EXPECT_EQ(gone_, (std::vector<std::string>{"a", "b"}));
}

// Guards against a peer that counts as out of reach because its messages do not all take equally long.
TEST_F(TargetListTest, APeerIsBelievedAlthoughItsMessagesAreDelayed)
{
    availability_.succeeded(at(1s));
    list_.apply({row("a", 1)}, at(1s));
    availability_.peerReached(1s, at(1s));
    availability_.peerReached(2s, at(2050ms));
    availability_.failed(at(2s), "turned away");
    list_.apply({row("a", 3, true)}, at(2100ms));
    availability_.peerReached(3s, at(3020ms));
    list_.removeExpired(at(3300ms));
    EXPECT_EQ(gone_, std::vector<std::string>{"a"});
}

// Guards against removing targets that run, because they were cut off from the store together with this instance and
// peers elsewhere were not.
TEST_F(TargetListTest, PeersThatWereOutOfReachSpeedUpNoRemoval)
{
    availability_.succeeded(at(1s));
    availability_.peerReached(1s, at(1s));
    list_.apply({row("a", 1)}, at(1s));
    availability_.failed(at(2s), "cut off");
    availability_.peerReached(6s, at(6s));
    availability_.succeeded(at(6100ms));
    list_.apply({row("a", 3, true)}, at(6200ms));
    list_.removeExpired(at(6500ms));
    EXPECT_TRUE(gone_.empty());
}

// Guards against removing targets that run, because a peer that has just reached the store again, was heard long ago or
// does not know of a restored store counts as one that the store answers.
TEST_F(TargetListTest, APeerThatLostTheStoreTooSpeedsUpNoRemoval)
{
    availability_.succeeded(at(1s));
    list_.apply({row("a", 1)}, at(1s));
    availability_.peerReached(10s, at(2s));
    availability_.failed(at(2s), "no answer");
    list_.apply({row("a", 3, true)}, at(6s));
    availability_.peerReached(500ms, at(6100ms));
    list_.removeExpired(at(6200ms));
    EXPECT_TRUE(gone_.empty());
    availability_.succeeded(at(6300ms));
    availability_.restored(at(6300ms));
    availability_.peerReached(10s, at(6400ms));
    list_.removeExpired(at(7s));
    EXPECT_TRUE(gone_.empty());
}

// Guards against treating an entry that cannot be decoded as a target, and against losing other targets because of it.
TEST_F(TargetListTest, EntryThatCannotBeDecodedIsNoTarget)
{
    list_.apply({row("a", 1), row("x", 2, false, "broken")}, at(1s));
    EXPECT_EQ(list_.targets().size(), 1u);
    list_.apply({row("a", 3, false, "broken")}, at(1s));
    EXPECT_TRUE(list_.targets().empty());
    EXPECT_EQ(gone_, std::vector<std::string>{"a"});
}

// Guards against processing each heartbeat of a target that changes nothing.
TEST_F(TargetListTest, UnchangedEntriesAreNotReported)
{
    list_.apply({row("a", 1)}, at(1s));
    list_.apply({row("a", 2)}, at(2s));
    EXPECT_EQ(listed_, 1);
    list_.apply({row("a", 3, false, "draining")}, at(3s));
    EXPECT_EQ(listed_, 2);
}

// Guards against older rows replacing newer ones when rows arrive from the platform and from peers in any order.
TEST(RowReplica, TheNewestRowWinsInAnyOrder)
{
    const std::vector<StoredRow> history{row("a", 1), row("b", 2), row("a", 3, false, "new"), row("b", 4, true),
        row("c", 5), row("c", 6, true), row("c", 7, false, "again")};
    for (std::uint32_t seed = 0; seed < 50; ++seed) {
        std::vector<StoredRow> shuffled = history;
        std::shuffle(shuffled.begin(), shuffled.end(), std::mt19937(seed));
        RowReplica replica;
        for (const StoredRow& entry : shuffled)
            replica.apply(entry);
        ASSERT_NE(replica.find("a"), nullptr);
        EXPECT_EQ(replica.find("a")->value, "new");
        EXPECT_EQ(replica.find("b"), nullptr);
        EXPECT_EQ(replica.find("c")->value, "again");
    }
}

// Guards against rows that are never removed because they were deleted while the change history was unavailable, and
// against removing rows that are newer than the list.
TEST(RowReplica, ListRemovesRowsThatItDoesNotContain)
{
    RowReplica replica;
    replica.replace({{row("a", 1), row("b", 2)}, RowVersion(2)});
    replica.apply(row("d", 9));
    const auto changed = replica.replace({{row("b", 2), row("c", 4)}, RowVersion(5)});
    EXPECT_EQ(changed.size(), 2u);
    EXPECT_EQ(replica.find("a"), nullptr);
    EXPECT_NE(replica.find("c"), nullptr);
    EXPECT_NE(replica.find("d"), nullptr);
    EXPECT_EQ(replica.changedSince(RowVersion(4)).size(), 2u);
}

StoredRow rowOfEra(std::uint64_t era, std::string key, std::uint64_t counter, std::string value)
{
    return {std::move(key), rowVersionIn(StoreEra(era), counter), false, std::move(value)};
}

// Guards against rows that are never taken again because the store has gone back to smaller versions, and against a row
// that was removed and comes back with the copy.
TEST(RowReplica, ARestoredStoreReplacesRowsAndBringsNoRemovedOneBack)
{
    RowReplica replica;
    replica.replace({{rowOfEra(1, "a", 90, "new"), rowOfEra(1, "gone", 80, "x"), rowOfEra(1, "lost", 95, "y")},
        rowVersionIn(StoreEra(1), 95)});
    replica.apply({"gone", rowVersionIn(StoreEra(1), 99), true, {}});
    const auto changed
        = replica.replace({{rowOfEra(2, "a", 50, "old"), rowOfEra(2, "gone", 50, "x")}, rowVersionIn(StoreEra(2), 60)});
    EXPECT_EQ(changed.size(), 2u);
    EXPECT_EQ(replica.find("a")->value, "old");
    EXPECT_EQ(replica.find("gone"), nullptr);
    EXPECT_EQ(replica.find("lost"), nullptr);
    EXPECT_EQ(replica.version(), rowVersionIn(StoreEra(2), 60));
    replica.applyChanges(
        {{rowOfEra(2, "a", 61, "new"), rowOfEra(2, "gone", 62, "back")}, rowVersionIn(StoreEra(2), 62)});
    EXPECT_EQ(replica.find("a")->value, "new");
    EXPECT_EQ(replica.find("gone")->value, "back");
}

} // namespace
} // namespace lychee::gateway
