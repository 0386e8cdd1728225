#include "gateway/RowSenders.h"

#include "coordination/RendezvousHash.h"

namespace lychee::gateway {

namespace {

// Number of instances that send after the first report, and by which it grows with each report in which the receiver is
// still behind.
constexpr int sendersPerReport = 2;

// The size of all copies of a change that one instance sends. A slow link carries it within a second.
constexpr std::size_t maxBytesToAll = std::size_t{1} << 20;

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
        if (peer.instance != receiver.instance && peer.isAheadOf(receiver)
            && rendezvousWeight(peer.instance.value(), key) > ownWeight)
            ++preferred;
    }
    return preferred < sendersPerReport * (1 + reportsBehind);
}

bool mayForwardToAll(std::span<const StoredRow> rows, std::size_t peers)
{
    std::size_t bytes = 0;
    for (const StoredRow& row : rows)
        bytes += row.key.size() + row.value.size();
    return bytes * peers <= maxBytesToAll;
}

} // namespace lychee::gateway
