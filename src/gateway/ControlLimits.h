// Intervals, timeouts and limits of the control plane.
#pragma once

#include "transport/RuntimeClock.h"

#include <cstddef>

namespace lychee::gateway {

struct ControlLimits {
    // How long the platform may hold a read of the configuration until it changes. A configuration has to be in force
    // within two seconds of its acceptance, even when a connection stops delivering data.
    static constexpr Duration configurationWait = std::chrono::milliseconds(1500);
    // The same while the placement owner forwards changes, and reads of this instance are only a second source. This is
    // the longest wait that the platform accepts: each call to it costs money, and in a large deployment most calls are
    // reads that return no change.
    static constexpr Duration configurationForwardedWait = std::chrono::seconds(30);
    // Wait and pause of reads of the targets. The entries change many times a second; at this rate, instances learn in
    // time (within two seconds) that a target leaves.
    static constexpr Duration targetWait = std::chrono::milliseconds(400);
    static constexpr Duration targetPause = std::chrono::milliseconds(500);
    // The pause while the placement owner forwards changes.
    static constexpr Duration targetForwardedPause = std::chrono::seconds(30);
    // The placement owner counts as reading the platform while its last answer is no older than this. Together with the
    // time of a read by this instance, it stays within the two seconds in which instances have to learn that a target
    // leaves.
    static constexpr Duration maxOwnerReadAge = std::chrono::milliseconds(1200);
    // The placement owner counts as silent after this time without a status message; it sends five a second.
    static constexpr Duration maxOwnerSilence = std::chrono::milliseconds(900);
    // A call without an answer shows that the placement owner does not answer at all only if nothing else has come from
    // it for this time either, in which it sends two status messages.
    static constexpr Duration maxOwnerCallSilence = std::chrono::milliseconds(400);
    // After the holder of the lease has answered that it may not send orders, it is not called again for this time. The
    // successor of an owner that has failed may not send any for some seconds.
    static constexpr Duration ownerDeclinePause = std::chrono::milliseconds(250);
    static constexpr Duration statusInterval = std::chrono::milliseconds(200);
    // Instances other than the placement owner add one `statusInterval` to their interval for each group of this many
    // peers, up to `maxStatusInterval`, so that the number of messages at each instance does not grow with the
    // deployment.
    static constexpr std::size_t peersPerStatusStep = 12;
    static constexpr Duration maxStatusInterval = std::chrono::seconds(1);
    static constexpr Duration placementInterval = std::chrono::milliseconds(200);
    // How often the table of instances is read. Each instance connects to all others when it starts, so the table is
    // needed only to find those whose connection broke while both sides were cut off.
    static constexpr Duration registrationInterval = std::chrono::seconds(60);
    static constexpr Duration registrationRetryInterval = std::chrono::milliseconds(500);
    static constexpr Duration answerTimeout = std::chrono::milliseconds(900);
    // Time in which the placement owner loads an adapter for another instance, which waits for
    // RelayLimits::adapterLoadTimeout. The rest is left for the ways of the call and of its answer.
    static constexpr Duration adapterCallTimeout = std::chrono::milliseconds(350);
    // Changes of the adapters of an engine are announced together after this time. Instances that send a request for an
    // adapter that has just been unloaded have it loaded again.
    static constexpr Duration holdingsInterval = std::chrono::milliseconds(80);
    // Demand that a peer reported longer ago than this is ignored.
    static constexpr Duration maxDemandAge = std::chrono::seconds(2);
};

} // namespace lychee::gateway
