// Shows the paces and limits of targets and the shares of plain services in metrics and log lines.
#pragma once

#include "fleet/TargetRegistry.h"
#include "state/Metrics.h"

namespace lychee::gateway {

class PaceReview {
public:
    // Logs the targets whose pace differs most from 1, at most once per interval and only if a target reports its pace.
    void log(const fleet::TargetRegistry& registry, TimePoint now);

    // Returns gauges of the same targets, of those that limit their requests, and of the shares of plain services.
    static std::vector<Gauge> gauges(const fleet::TargetRegistry& registry, TimePoint now);

private:
    std::optional<TimePoint> loggedAt_;
};

} // namespace lychee::gateway
