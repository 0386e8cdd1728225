#include "gateway/RowSenders.h"

#include "coordination/RendezvousHash.h"

namespace lychee::gateway {

namespace {

// Number of instances that send after the first report, and by which it grows with each report in which the receiver is
// still behind.
constexpr int sendersPerReport = 2;

// Instances that pass a change on to one that cannot read it. Some of them may be unable to reach it.
constexpr int sendersPerChange = 3;

// The largest change that is sent to an instance by several others before it asks for it.
constexpr std::size_t maxPassedBytes = std::size_t{1} << 15;

// The size of all copies of a change that one instance sends. A slow link carries it within a second.
constexpr std::size_t maxForwardedBytes = std::size_t{1} << 20;

} // namespace

bool sendsRowsTo(const ReplicaVersions& receiver, const ReplicaVersions& self, std::span<const ReplicaVersions> peers,
    int reportsBehind)
{
    if (!self.isAheadOf(receiver))
        return false;
    const std::string& key = receiver.instance.value();
    const std::uint64_t ownWeight = rendezvousWeight(self.instance.value(), key);
    int preferred = 0;
    for (const ReplicaVersions& peer : peers) {
        if (peer.instance != receiver.instance && (peer.isAheadOf(receiver) || peer.readsPlatform)
            && rendezvousWeight(peer.instance.value(), key) > ownWeight)
            ++preferred;
    }
    return preferred < sendersPerReport * (1 + reportsBehind);
}

bool passesChangeOnTo(const InstanceId& receiver, const InstanceId& self, std::span<const InstanceId> readers)
{
    const std::uint64_t ownWeight = rendezvousWeight(self.value(), receiver.value());
    const auto preferred = std::count_if(readers.begin(), readers.end(), [&](const InstanceId& reader) {
        return reader != self && rendezvousWeight(reader.value(), receiver.value()) > ownWeight;
    });
    return preferred < sendersPerChange;
}

bool mayPassChangeOn(std::size_t messageBytes) { return messageBytes <= maxPassedBytes; }

bool mayForwardTo(std::size_t receivers, std::size_t messageBytes)
{
    return messageBytes * receivers <= maxForwardedBytes;
}

} // namespace lychee::gateway
