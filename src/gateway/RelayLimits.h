// Limits of relaying requests.
#pragma once

#include "transport/RuntimeClock.h"

namespace lychee::gateway {

// Limits of relaying, each with its unit in the type.
struct RelayLimits {
    // Opening a connection to a target a few milliseconds away.
    static constexpr Duration connect = std::chrono::milliseconds(250);
    // A request that must not run twice goes only to a connection that was used this recently; an older one may have
    // been forgotten on the way, and then nobody knows whether the request ran.
    static constexpr Duration freshIdle = std::chrono::milliseconds(800);
    // Other requests use connections up to this age.
    static constexpr Duration idle = std::chrono::seconds(5);
    // Loading an adapter takes 5 to 10 ms beside the way to the placement owner and a queue there.
    static constexpr Duration ensureAdapter = std::chrono::milliseconds(400);
    // An engine that was told to load an adapter turns requests away until it is there.
    static constexpr Duration adapterPause = std::chrono::milliseconds(15);
    static constexpr int adapterPauses = 3;
    // How often a request that waits for a model looks for it.
    static constexpr Duration modelPause = std::chrono::milliseconds(50);
    // A stream that has begun waits this long between tries to continue it elsewhere.
    static constexpr Duration resumePause = std::chrono::milliseconds(100);
    // Callers abandon a stream after a gap of two seconds or more.
    static constexpr Duration resumeLimit = std::chrono::milliseconds(1800);
    // A send that may be repeated elsewhere waits for the answer at least this long.
    static constexpr Duration shortestPatience = std::chrono::milliseconds(300);
    // A request without a configuration is told to return after this time; a new instance reads it in less.
    static constexpr Duration noConfigurationRetry = std::chrono::milliseconds(500);
};

} // namespace lychee::gateway
