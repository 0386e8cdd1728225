// When the peers of this instance were last heard, by which a placement owner that does not answer is told from an
// engine for which its answer is late.
#pragma once

#include "gateway/ControlLimits.h"
#include "protocol/Ids.h"

#include <map>
#include <set>

namespace lychee::gateway {

// An owner counts as silent from a call without an answer until it is heard again, so that further requests do not wait
// for it. One late answer alone is no reason: the engine of that call may be slow while the owner serves all others.
class OwnerContact {
public:
    // Records a message from a peer, or a new connection to it. Returns whether the peer was silent until now.
    bool heard(const InstanceId& peer, TimePoint now)
    {
        heardAt_[peer] = now;
        return silent_.erase(peer) > 0;
    }

    // Records that the connection to a peer has ended.
    void lost(const InstanceId& peer)
    {
        heardAt_.erase(peer);
        silent_.erase(peer);
        declinedUntil_.erase(peer);
    }

    // Records that a call to a peer got no answer in time. Returns whether the peer is silent.
    bool callUnanswered(const InstanceId& peer, TimePoint now)
    {
        const auto found = heardAt_.find(peer);
        if (found != heardAt_.end() && now - found->second >= ControlLimits::maxOwnerCallSilence)
            silent_.insert(peer);
        return isSilent(peer);
    }

    // Records that a peer has answered that it may not send orders, which holds for all engines. Returns whether it was
    // available until now.
    bool declined(const InstanceId& peer, TimePoint now)
    {
        const bool wasAvailable = isAvailable(peer, now);
        declinedUntil_[peer] = now + ControlLimits::ownerDeclinePause;
        return wasAvailable;
    }

    bool isSilent(const InstanceId& peer) const { return silent_.contains(peer); }

    // Whether calls to the peer are of use.
    bool isAvailable(const InstanceId& peer, TimePoint now) const
    {
        const auto found = declinedUntil_.find(peer);
        return !isSilent(peer) && (found == declinedUntil_.end() || found->second <= now);
    }

private:
    std::map<InstanceId, TimePoint> heardAt_;
    std::set<InstanceId> silent_;
    std::map<InstanceId, TimePoint> declinedUntil_;
};

} // namespace lychee::gateway
