// Timeouts and limits of the orders to engines.
#pragma once

#include "fleet/AdapterPlaces.h"

namespace lychee::gateway {

struct OrderLimits {
    // Engines answer orders within milliseconds. After this time the outcome of an order counts as unknown.
    static constexpr Duration answerTimeout = std::chrono::milliseconds(800);
    static constexpr Duration reportTimeout = std::chrono::milliseconds(800);
    // Shortest time between reads of an engine's report, and from an order to the next read. A report shows the state
    // of a few hundred milliseconds ago.
    static constexpr Duration reportInterval = std::chrono::milliseconds(250);
    // Age above which a report is not the state before the last order.
    static constexpr Duration maxReportAge = std::chrono::seconds(1);
    // Copies of models younger than this are not unloaded, so that models do not replace each other in turns.
    static constexpr Duration minCopyAge = std::chrono::seconds(5);
    // Loading an adapter takes 5 to 10 ms.
    static constexpr Duration adapterLoadTime = std::chrono::milliseconds(10);
    static constexpr Duration adapterUseWindow = fleet::AdapterPlaces::useWindow;
    // Time that a report of used adapters may take in addition to the interval of the reports.
    static constexpr Duration maxUseReportDelay = std::chrono::milliseconds(200);
    // An adapter in use is unloaded after this time even if requests still use it. Most streams end earlier.
    static constexpr Duration maxYieldTime = std::chrono::seconds(6);
    // Pause after an order was refused because the engine executes an order that this owner does not know.
    static constexpr Duration unknownOrderPause = std::chrono::milliseconds(500);
    // How long a request waits for a place that another adapter has to leave first. Below the time for which relays
    // wait for the placement owner, so that they learn the reason.
    static constexpr Duration maxPlaceWait = std::chrono::milliseconds(300);
    // Requests for adapters that took at least this time are logged.
    static constexpr Duration loggedWait = std::chrono::milliseconds(100);
    // Time from the end of a load until all instances know that the model is loaded.
    static constexpr Duration loadMargin = std::chrono::milliseconds(300);
    // Pauses before the attempts to send the step after an unload, which lasts until the last request of the unloaded
    // model ends.
    static constexpr Duration firstStepRetry = std::chrono::milliseconds(25);
    static constexpr Duration stepRetryInterval = std::chrono::milliseconds(100);
    // Planned steps that were not accepted within this time are dropped, and the planner plans again.
    static constexpr Duration stepTimeout = std::chrono::seconds(6);
    // How often an engine that waits for its next step is checked for requests for adapters.
    static constexpr Duration adapterPollInterval = std::chrono::milliseconds(10);
    // Adapters that may be loading on one engine at the same time.
    static constexpr std::size_t maxArrivingAdapters = 4;
    // No model is loaded or unloaded on an engine for this time after a report or an order failed.
    static constexpr Duration failurePause = std::chrono::milliseconds(500);
    // Adapters that may be queued for loading on one engine.
    static constexpr std::size_t maxPendingAdapters = 256;
};

} // namespace lychee::gateway
