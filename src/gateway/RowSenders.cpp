#include "gateway/RowSenders.h"

#include "coordination/RendezvousHash.h"

namespace lychee::gateway {

namespace {

// Number of instances that send after the first report, and by which it grows with each report in which the receiver is
// still behind.
constexpr int sendersPerReport = 2;

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

} // namespace lychee::gateway
