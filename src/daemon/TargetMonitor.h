// Polls the engines for reports and passes them to the duties that need them.
#pragma once

#include "protocol/EngineProtocol.h"
#include "state/Configuration.h"
#include "transport/HttpClient.h"
#include "transport/Published.h"
#include "transport/Ring.h"

#include <set>

namespace lychee {

// The outcome of one poll of an engine.
struct TargetObservation {
    TargetId target;
    // When the request was sent, and when the answer arrived or the poll failed.
    TimePoint requestedAt;
    TimePoint receivedAt;
    // The report; nothing when the engine did not answer with a valid one.
    std::optional<EngineReport> report;
};

// Runs on the targets duty, with a fiber for each engine of the configuration.
class TargetMonitor {
public:
    using Listener = std::function<void(const TargetObservation&)>;

    // The listeners are called on the targets duty and must not suspend.
    TargetMonitor(Duty& duty, std::shared_ptr<Published<Configuration>> configuration, Duration interval,
        std::vector<Listener> listeners);

    // Starts to poll; engines of later configurations are polled within one interval. Runs until the duty stops.
    void start();

    // Requests a report of one engine now. Must be called from a fiber of the targets duty.
    TargetObservation poll(const Target& target);

private:
    void pollRepeatedly(const TargetId& id);

    Duty& duty_;
    std::shared_ptr<Published<Configuration>> configuration_;
    Duration interval_;
    std::vector<Listener> listeners_;
    HttpClient client_;
    std::set<TargetId> polledTargets_;
};

} // namespace lychee
