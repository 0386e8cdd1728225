#include "gateway/RowSenders.h"

#include "coordination/RendezvousHash.h"

namespace lychee::gateway {

namespace {

// Instances that send at once, and that join them with each report in which the receiver is still behind.
constexpr int sendersInRound = 2;

} // namespace

bool sendsRowsTo(
    const ReplicaVersions& receiver, const ReplicaVersions& self, std::span<const ReplicaVersions> peers, int missed)
{
    if (!self.isAheadOf(receiver))
        return false;
    const std::string& key = receiver.instance.value();
    const std::uint64_t own = rendezvousWeight(self.instance.value(), key);
    int preferred = 0;
    for (const ReplicaVersions& peer : peers) {
        if (peer.instance != receiver.instance && peer.isAheadOf(receiver)
            && rendezvousWeight(peer.instance.value(), key) > own)
            ++preferred;
    }
    return preferred < sendersInRound * (1 + missed);
}

} // namespace lychee::gateway
