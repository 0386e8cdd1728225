#include "daemon/TargetMonitor.h"

namespace lychee {

namespace {

// Limit of one poll.
constexpr Duration reportTimeout = std::chrono::seconds(1);

} // namespace

TargetMonitor::TargetMonitor(Duty& duty, std::shared_ptr<Published<Configuration>> configuration, Duration interval,
    std::vector<Listener> listeners)
    : duty_(duty)
    , configuration_(std::move(configuration))
    , interval_(interval)
    , listeners_(std::move(listeners))
{
}

void TargetMonitor::start()
{
    duty_.spawn([this] {
        while (!duty_.isStopping()) {
            const std::shared_ptr<const Configuration> configuration = configuration_->read();
            for (const Target& target : configuration->targets) {
                if (target.kind != TargetKind::Engine || !polledTargets_.insert(target.id).second)
                    continue;
                duty_.spawn([this, id = target.id] { pollRepeatedly(id); });
            }
            sleepFor(interval_);
        }
    });
}

void TargetMonitor::pollRepeatedly(const TargetId& id)
{
    while (!duty_.isStopping()) {
        const std::shared_ptr<const Configuration> configuration = configuration_->read();
        const Target* target = configuration->target(id);
        if (!target)
            break;
        const TargetObservation observation = poll(*target);
        for (const Listener& listener : listeners_)
            listener(observation);
        sleepFor(interval_);
    }
    polledTargets_.erase(id);
}

TargetObservation TargetMonitor::poll(const Target& target)
{
    TargetObservation observation;
    observation.target = target.id;
    observation.requestedAt = currentTime();
    HttpCallLimits limits;
    limits.deadline = observation.requestedAt + reportTimeout;
    limits.repeatable = true;
    limits.maxBodyBytes = maxReportBytes;
    const HttpOutcome<HttpResponse> outcome = client_.call(target.endpoint, {"GET", "/control/report"}, limits);
    observation.receivedAt = currentTime();
    if (!outcome.status.ok() || outcome.answer.status != 200)
        return observation;
    absl::StatusOr<EngineReport> report = decodeReport(outcome.answer.body);
    if (report.ok())
        observation.report = *std::move(report);
    return observation;
}

} // namespace lychee
