#include "gateway/RowSenders.h"

#include <gtest/gtest.h>

namespace lychee::gateway {
namespace {

constexpr std::uint64_t newest = 90;

ReplicaVersions versionsOf(int index, std::uint64_t version)
{
    return {InstanceId(fmt::format("front-{}", index)), RowVersion(version), RowVersion(version)};
}

std::vector<ReplicaVersions> instances(int count, std::uint64_t version)
{
    std::vector<ReplicaVersions> all;
    all.reserve(static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
        all.push_back(versionsOf(i, version));
    return all;
}

int sendersTo(const ReplicaVersions& receiver, const std::vector<ReplicaVersions>& all, int reportsBehind = 0)
{
    int senders = 0;
    for (const ReplicaVersions& self : all) {
        std::vector<ReplicaVersions> peers;
        std::copy_if(all.begin(), all.end(), std::back_inserter(peers),
            [&](const ReplicaVersions& peer) { return peer.instance != self.instance; });
        senders += self.instance != receiver.instance && sendsRowsTo(receiver, self, peers, reportsBehind) ? 1 : 0;
    }
    return senders;
}

// Guards against 80 instances that all send all rows to an instance that has just started.
TEST(RowSenders, AFewSendToAnInstanceWithoutRows)
{
    std::vector<ReplicaVersions> all = instances(80, newest);
    all[7] = versionsOf(7, 0);
    EXPECT_EQ(sendersTo(all[7], all), 2);
}

// Guards against an instance that never gets the rows because the few instances that send to it cannot reach it.
TEST(RowSenders, MoreSendToAnInstanceThatStaysBehind)
{
    std::vector<ReplicaVersions> all = instances(80, newest);
    all[7] = versionsOf(7, 0);
    EXPECT_EQ(sendersTo(all[7], all, 1), 4);
    EXPECT_EQ(sendersTo(all[7], all, 100), 79);
}

// Guards against all instances sending a change that they have just read to one that lacks it, because none has told
// the others yet that it has the change.
TEST(RowSenders, InstancesThatReadTheSameChangeDoNotAllSendIt)
{
    std::vector<ReplicaVersions> all = instances(80, newest - 1);
    for (ReplicaVersions& instance : all)
        instance.readsPlatform = true;
    all[7].readsPlatform = false;
    int senders = 0;
    for (const ReplicaVersions& known : all) {
        const ReplicaVersions self{known.instance, RowVersion(newest), RowVersion(newest), true};
        std::vector<ReplicaVersions> peers;
        std::copy_if(all.begin(), all.end(), std::back_inserter(peers),
            [&](const ReplicaVersions& peer) { return peer.instance != self.instance; });
        senders += self.instance != all[7].instance && sendsRowsTo(all[7], self, peers, 0) ? 1 : 0;
    }
    EXPECT_EQ(senders, 2);
}

// Guards against rows that no instance sends because the chosen senders do not have newer rows themselves.
TEST(RowSenders, OnlyInstancesWithNewerRowsSend)
{
    std::vector<ReplicaVersions> all = instances(80, 0);
    EXPECT_EQ(sendersTo(all[7], all), 0);
    all[40] = versionsOf(40, newest);
    EXPECT_EQ(sendersTo(all[7], all), 1);
    all[41] = versionsOf(41, 0);
    all[41].targets = RowVersion(newest);
    EXPECT_EQ(sendersTo(all[7], all), 2);
}

// Guards against a large configuration that fills the links of the instance that forwards it, so that this one and what
// follows it come seconds late; and against small ones that are not forwarded.
TEST(RowSenders, ALargeConfigurationIsNotForwardedToManyInstances)
{
    constexpr std::size_t largeBytes = 300'000;
    constexpr std::size_t smallBytes = 10'000;
    EXPECT_FALSE(mayForwardTo(84, largeBytes));
    EXPECT_TRUE(mayForwardTo(2, largeBytes));
    EXPECT_TRUE(mayForwardTo(84, smallBytes));
    EXPECT_TRUE(mayForwardTo(1799, 0));
}

// Guards against an instance without access to the store that gets a change only after its next report, and against all
// others sending the change to it.
TEST(RowSenders, AFewPassAChangeOnToAnInstanceThatCannotRead)
{
    constexpr int count = 80;
    std::vector<InstanceId> readers;
    readers.reserve(count);
    for (int i = 0; i < count; ++i)
        readers.emplace_back(fmt::format("front-{}", i));
    const InstanceId receiver("front-99");
    EXPECT_EQ(std::count_if(readers.begin(), readers.end(),
                  [&](const InstanceId& self) { return passesChangeOnTo(receiver, self, readers); }),
        3);
    EXPECT_TRUE(passesChangeOnTo(receiver, readers[0], std::vector<InstanceId>{readers[0]}));
}

} // namespace
} // namespace lychee::gateway
