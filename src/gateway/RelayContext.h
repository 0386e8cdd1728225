// What relayed requests share on one instance.
#pragma once

#include "daemon/MetricsSink.h"
#include "fleet/DemandMeter.h"
#include "fleet/ServiceRetryBudget.h"
#include "fleet/TargetChoice.h"
#include "fleet/TargetRegistry.h"
#include "transport/HttpClient.h"
#include "transport/HttpServer.h"
#include "transport/Published.h"

#include <map>
#include <set>
#include <tuple>

namespace lychee::gateway {

// Used on the relay duty, apart from the configuration.
struct RelayContext {
    DataCentreId dataCentre;
    std::shared_ptr<Published<fleet::RouteTable>> routes;
    fleet::TargetRegistry registry;
    fleet::DemandMeter demand;
    fleet::ServiceRetryBudget resends;
    HttpClient http;
    MetricsSink* metrics = nullptr;
    // Has an adapter loaded on a target; suspends the fiber. Fails when the placement owner is not reached.
    std::function<absl::Status(const TargetId&, const ModelId&, const AdapterId&, TimePoint deadline)> ensureAdapter;
    // Adapters that requests use now, with their number, and those used since the last look.
    using AdapterOnTarget = std::tuple<TargetId, ModelId, AdapterId>;
    std::map<AdapterOnTarget, int> adaptersInUse;
    std::set<AdapterOnTarget> recentlyUsedAdapters;
    // Whether the placement owner is known and reached, so that models and adapters are loaded.
    bool placementReached = false;
};

// How a relayed request ended, for its log line and its metrics.
enum class RelayEnd {
    // The answer of a target was delivered to the end.
    Delivered,
    // Refused; it has not run.
    Refused,
    // Its outcome is unknown, or a target failed; the caller was told.
    Failed,
    // The stream ended before its end.
    BrokenOff,
    // The caller left.
    CallerLeft,
    // Malformed, or no route leads there.
    Rejected,
};

std::string_view nameOf(RelayEnd end);

// What is known of a request at its end. Pointers may be null, except `caller`.
struct RelayRecord {
    const fleet::CallerRequest* caller = nullptr;
    const fleet::Route* route = nullptr;
    const fleet::Service* service = nullptr;
    ConfigurationVersion configuration;
    RelayEnd end = RelayEnd::CallerLeft;
    int status = 0;
    TargetId target;
    int sends = 0;
    int possibleRuns = 0;
    Duration total{0};
    std::optional<Duration> firstEvent;
    std::string_view problem;
};

// Writes the line at the end of a request and counts it; `metrics` may be null.
void recordEnd(const RelayRecord& record, MetricsSink* metrics);

} // namespace lychee::gateway
