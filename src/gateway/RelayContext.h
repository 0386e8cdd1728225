// State that all relayed requests of an instance share, and the record of a finished request.
#pragma once

#include "daemon/MetricsSink.h"
#include "fleet/DemandMeter.h"
#include "fleet/RequestGrants.h"
#include "fleet/ServiceRetryBudget.h"
#include "fleet/StreamOrigins.h"
#include "fleet/TargetChoice.h"
#include "fleet/TargetRegistry.h"
#include "gateway/CallerLimits.h"
#include "gateway/CrashWatch.h"
#include "gateway/RelayLimits.h"
#include "gateway/TargetDialer.h"
#include "transport/HttpClient.h"
#include "transport/HttpServer.h"
#include "transport/MemoryBudget.h"
#include "transport/Published.h"

#include <map>
#include <set>
#include <tuple>

namespace lychee::gateway {

// Accessed on the relay duty only, except for `routes`.
struct RelayContext {
    DataCentreId dataCentre;
    std::shared_ptr<Published<fleet::RouteTable>> routes;
    fleet::TargetRegistry registry;
    fleet::DemandMeter demand;
    fleet::ServiceRetryBudget retryBudget;
    CrashWatch crashes;
    CallerLimits limits;
    TargetDialer dialer{RelayLimits::targetBuffers};
    HttpClient http{dialer};
    // Bounds the answers of targets that are held until they are complete.
    MemoryBudget answerMemory{RelayLimits::answerMemory, RelayLimits::freeAnswerMemory};
    // Bounds the bodies of requests that are being received or relayed.
    std::shared_ptr<MemoryBudget> requestMemory
        = std::make_shared<MemoryBudget>(RelayLimits::requestMemory, RelayLimits::freeRequestMemory);
    MetricsSink* metrics = nullptr;
    // Asks the placement owner to load an adapter on a target and suspends the fiber until it is loaded. Fails with
    // TransportError::ConnectionClosed when the owner cannot be reached, and with other errors when the adapter cannot
    // be loaded on this target before the deadline.
    std::function<absl::Status(const TargetId&, const ModelId&, const AdapterId&, TimePoint deadline)> ensureAdapter;
    // Asks for one request to a target that takes `perSecond` of them from all instances, and suspends the fiber until
    // the answer. The request may wait for `maxWait`.
    std::function<fleet::RequestGrant(const fleet::ChosenTarget&, double perSecond, Duration maxWait)> requestGrant
        = [](const fleet::ChosenTarget&, double, Duration) {
              return fleet::RequestGrant{true, Duration(0)};
          };
    // Tells the peers that a target has stated a limit, or that it has none any more.
    std::function<void(const TargetId&, fleet::TargetIncarnation, std::optional<double> perSecond)> limitChanged
        = [](const TargetId&, fleet::TargetIncarnation, std::optional<double>) {};
    // Tells the peers that a brittle target has turned a request away and gets none for a time.
    std::function<void(const TargetId&, fleet::TargetIncarnation, Duration pause)> turnedAway
        = [](const TargetId&, fleet::TargetIncarnation, Duration) {};
    // Adapters in use, with the number of requests that use each of them, and adapters used since the last status
    // message to the peers.
    using AdapterOnTarget = std::tuple<TargetId, ModelId, AdapterId>;
    std::map<AdapterOnTarget, int> adaptersInUse;
    std::set<AdapterOnTarget> recentlyUsedAdapters;
    // Whether the placement owner is known and can be reached; without it no models or adapters are loaded. Set by the
    // control duty, which hears the owner.
    bool placementReached = false;
    // Whether a peer has a newer configuration than this instance. Thread-safe.
    std::function<bool()> isConfigurationOutdated = [] { return false; };
    // Whether the configuration is known to be recent enough to accept keys of customers.
    std::function<bool()> configurationIsConfirmed = [] { return true; };
    // From this time on, requests are answered without waiting for a target, because the process is about to end.
    TimePoint stopsAt = TimePoint::max();
    // Functions of the requests in progress that end their waits. They do not suspend the fiber.
    std::set<const std::function<void()>*> waits;

    fleet::StreamOrigins origins;
    // Records for other instances at which software version streams have begun.
    std::function<void(std::vector<fleet::StreamOrigin>)> recordOrigins = [](const auto&) {};
    // Finds the software version that began a stream at another instance, and suspends the fiber until the answer.
    std::function<absl::StatusOr<SoftwareVersion>(const ServiceId&, const RequestId&, TimePoint deadline)> findOrigin;
    // The time since the epoch when the clock of the runtime started. The time of day is not read later, because it may
    // be set while the process runs.
    std::int64_t epochAtStart = wallClockMilliseconds();

    // Ends the waits of all requests in progress, so that they get their last answers.
    void endWaits();

    fleet::EpochTime epochTime() const;
};

// Adds a request to those whose waits RelayContext::endWaits() ends, for the life of this object.
class EndableWait {
public:
    EndableWait(RelayContext& context, std::function<void()> end)
        : context_(context)
        , end_(std::move(end))
    {
        context_.waits.insert(&end_);
    }

    EndableWait(const EndableWait&) = delete;
    EndableWait& operator=(const EndableWait&) = delete;

    ~EndableWait() { context_.waits.erase(&end_); }

private:
    RelayContext& context_;
    std::function<void()> end_;
};

// How a relayed request ended, as shown in the log and in the metrics.
enum class RelayOutcome {
    // The answer of a target was delivered to the end.
    Delivered,
    // The instance could not serve the request; it has not run on any target.
    Refused,
    // The outcome is unknown, or a target failed; the caller received an error.
    Failed,
    // A stream had started and was aborted before its last event.
    BrokenOff,
    // The caller closed the connection.
    CallerLeft,
    // The request is invalid, or no route matches it.
    Rejected,
};

std::string_view nameOf(RelayOutcome outcome);

// Summary of a finished request. `route` and `service` may be null.
struct RelayRecord {
    const fleet::CallerRequest* caller = nullptr;
    const fleet::Route* route = nullptr;
    const fleet::Service* service = nullptr;
    // Empty when the request needs no customer.
    fleet::CustomerId customer;
    ConfigurationVersion configuration;
    RelayOutcome outcome = RelayOutcome::CallerLeft;
    int status = 0;
    TargetId target;
    int sends = 0;
    // Sends after which a target may have run the request.
    int possibleRuns = 0;
    Duration total{0};
    std::optional<Duration> firstEvent;
    // The longest time between two events of a stream.
    Duration longestGap{0};
    std::string_view problem;
};

// Logs a finished request and adds it to the metrics; `metrics` may be null.
void recordOutcome(const RelayRecord& record, MetricsSink* metrics);

} // namespace lychee::gateway
