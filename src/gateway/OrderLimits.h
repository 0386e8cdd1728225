// Limits of ordering.
#pragma once

#include "transport/RuntimeClock.h"

#include <array>

namespace lychee::gateway {

// Each with its unit in the type.
struct OrderLimits {
    // An engine answers an order within milliseconds; later its outcome counts as unknown.
    static constexpr Duration answer = std::chrono::milliseconds(800);
    static constexpr Duration report = std::chrono::milliseconds(800);
    // Reports show the state of some hundred milliseconds ago.
    static constexpr Duration reportInterval = std::chrono::milliseconds(250);
    // A copy stays for at least this long, so that models do not take turns.
    static constexpr Duration freshCopy = std::chrono::seconds(5);
    // Adapters take 5 to 10 ms.
    static constexpr Duration adapterLoad = std::chrono::milliseconds(10);
    // An adapter that was used this recently may still be in use; instances tell its uses five times a second.
    static constexpr Duration adapterInUse = std::chrono::milliseconds(400);
    // Time beyond that of the load itself until instances know that a model is there.
    static constexpr Duration loadMargin = std::chrono::milliseconds(300);
    // Waits before each try to load after an unload, which takes as long as the last request of the model.
    static constexpr std::array<Duration, 5> unloadPauses{std::chrono::milliseconds(25), std::chrono::milliseconds(50),
        std::chrono::milliseconds(100), std::chrono::milliseconds(200), std::chrono::milliseconds(400)};
    // Adapters that may be on their way to one engine.
    static constexpr std::size_t adaptersArriving = 4;
    // An engine that did not answer is left alone for this time.
    static constexpr Duration failurePause = std::chrono::milliseconds(500);
    // Requests for adapters that may wait at one engine.
    static constexpr std::size_t waiting = 256;
};

} // namespace lychee::gateway
