// Decides how new connections to targets are opened: directly, or through a peer while this instance has lost its own
// links to targets that peers still reach.
#pragma once

#include "transport/HttpMessage.h"
#include "transport/RuntimeClock.h"

#include <map>
#include <optional>

namespace lychee::fleet {

// A target that this instance cannot reach has probably failed. If a peer reaches it, it is the link that has; two such
// targets, with none reached directly in between, show that this instance is detached from targets altogether. While it
// is, all new connections go through peers, except for one probe at a time.
class TargetPaths {
public:
    // Whether to open the next connection through a peer without trying the direct way.
    bool startsAtPeer(const Endpoint& target) const { return detached_ || isProven(target); }

    // Whether a peer may be asked to reach a target after the direct way has failed. Peers are not asked time and again
    // for a target that has failed, or while they reach none.
    bool mayAskPeer(const Endpoint& target, TimePoint now) const;

    // Record how the opening of a connection ended.
    void directOpened(const Endpoint& target, TimePoint now);
    void directFailed(const Endpoint& target, TimePoint now);
    void peerOpened(const Endpoint& target, TimePoint now);
    // No peer that was asked has reached the target.
    void peersFailed(const Endpoint& target, TimePoint now);
    // No peer that was asked has answered, so nothing was learnt of the target.
    void peersSilent(const Endpoint& target, TimePoint now) { links_[target].peersFailedAt = now; }

    // Whether this instance is detached from the targets.
    bool isDetached() const { return detached_; }

    // Whether there is a target that only peers reach.
    bool hasProven() const;

    // The target to which a direct connection is tried next; nothing when all direct ways work. Chooses in turn among
    // those that only peers reach.
    std::optional<Endpoint> nextProbe();

    // Drops what is known of a target that is not listed any more.
    void forget(const Endpoint& target) { links_.erase(target); }

private:
    struct Link {
        std::optional<TimePoint> directFailedAt;
        // When a peer has reached the target, although this instance could not.
        std::optional<TimePoint> provenAt;
        std::optional<TimePoint> peersFailedAt;
    };

    bool isProven(const Endpoint& target) const;
    void reviewDetached(TimePoint now);

    std::map<Endpoint, Link> links_;
    bool detached_ = false;
    std::optional<TimePoint> directOpenedAt_;
    std::optional<TimePoint> peerOpenedAt_;
    // Direct connections that were opened since the last failure while detached.
    int opened_ = 0;
    std::optional<Endpoint> probed_;
};

} // namespace lychee::fleet
