// Intervals and limits of the control plane.
#pragma once

#include "transport/RuntimeClock.h"

#include <cstddef>

namespace lychee::gateway {

struct ControlLimits {
    // A configuration has to be in force two seconds after it was accepted, also when a connection has gone silent.
    static constexpr Duration configurationWait = std::chrono::milliseconds(1500);
    // While the owner of placement passes changes on, a read of one's own is a second source only. The longest wait
    // that the platform takes: calls to it are priced, and in a large deployment most come from idle reads.
    static constexpr Duration configurationFedWait = std::chrono::seconds(30);
    // Entries of targets change many times a second; a leaving target is known in time when they are read this often.
    static constexpr Duration targetWait = std::chrono::milliseconds(400);
    static constexpr Duration targetPause = std::chrono::milliseconds(500);
    static constexpr Duration targetFedPause = std::chrono::seconds(30);
    // The owner of placement counts as reading the platform while its last answer is no older than this; with the time
    // of a read of one's own it keeps the two seconds in which a leaving target has to be known.
    static constexpr Duration feedAge = std::chrono::milliseconds(1200);
    // The owner is heard from five times a second.
    static constexpr Duration feederSilence = std::chrono::milliseconds(900);
    static constexpr Duration status = std::chrono::milliseconds(200);
    // In a larger deployment than this, instances other than the owner of placement tell their status less often, so
    // that the messages of each instance stay the same in number. Each still does so within `longestStatus`.
    static constexpr std::size_t statusPeers = 12;
    static constexpr Duration longestStatus = std::chrono::seconds(1);
    static constexpr Duration placement = std::chrono::milliseconds(200);
    // Each instance connects to all others when it starts, so the list only serves to find those whose connection broke
    // while both sides were cut off.
    static constexpr Duration instances = std::chrono::seconds(60);
    static constexpr Duration instancesRetry = std::chrono::milliseconds(500);
    static constexpr Duration answer = std::chrono::milliseconds(900);
    // Demand of a peer that was not heard from for this time is left out.
    static constexpr Duration demandAge = std::chrono::seconds(2);
};

} // namespace lychee::gateway
