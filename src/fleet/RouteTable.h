// The active configuration: which service a request goes to, whether it may run more than once, and how long it may
// take.
#pragma once

#include "fleet/Customer.h"
#include "fleet/UrgencyPolicy.h"
#include "protocol/Ids.h"
#include "transport/RuntimeClock.h"

#include <memory>
#include <string>
#include <string_view>
#include <unordered_map>
#include <vector>

namespace lychee::fleet {

using RouteId = StrongId<struct RouteIdTag>;

// Whether a request may run more than once.
enum class RequestKind {
    // May run more than once.
    Idempotent,
    // Runs at most once for each attempt of a caller.
    NonIdempotent,
    // Answered by a stream of events; runs at most once unless the route allows streams to be resumed.
    Streaming,
};

// A service that receives a share of the requests of a route, in proportion to its weight.
struct WeightedService {
    ServiceId service;
    double weight = 1;
};

// One rule of the configuration.
struct Route {
    RouteId id;
    std::string host;
    // Begins and ends with a slash.
    std::string prefix;
    RequestKind kind = RequestKind::NonIdempotent;
    // Longest time that a request may wait for its answer.
    Duration timeout = std::chrono::seconds(30);
    // Objective for the time to the answer, or to the first event of a stream; a later answer is worth less.
    Duration latencyObjective = std::chrono::seconds(1);
    // Objective for the longest time between two events of a stream.
    Duration eventGapObjective = std::chrono::seconds(1);
    // 0 is the most urgent.
    int priority = 0;
    std::vector<WeightedService> services;
    // Maximum number of targets on which one attempt of a caller may run.
    int attempts = 1;
    // Whether a broken stream may be continued on another target.
    bool resumable = false;
    // Whether requests need no key of a customer.
    bool acceptsAnonymous = false;

    bool isResumableStream() const { return kind == RequestKind::Streaming && resumable; }

    // Whether a request may be sent again after its outcome is unknown.
    bool isRepeatable() const { return kind == RequestKind::Idempotent || isResumableStream(); }
};

// A model that the engines of a service can hold.
struct Model {
    ModelId id;
    double weightMegabytes = 0;
    double adapterMegabytes = 0;
    // Adapters are named a1, a2 and so on.
    int adapters = 0;
    // Time to load the model from the weight store, from the target's disk and from the target's memory.
    Duration storeLoad{0};
    Duration diskLoad{0};
    Duration memoryLoad{0};
};

// Capacity of each engine of a service, and the models that it can hold.
struct Engine {
    int slots = 1;
    // Tokens of running requests and cached prompts that fit into the engine's memory.
    double cacheTokens = 0;
    // Memory of one token, and the rate of transfers between engines. 0 where engines cannot exchange cached prompts.
    double cacheTokenBytes = 0;
    double linkMegabitsPerSecond = 0;
    double weightMegabytes = 0;
    int adapterSlots = 0;
    // Limit of loads from the weight store per second, over all targets.
    double loadsPerSecond = 0;
    std::vector<Model> models;

    // How long the transfer of cached prompt tokens from another engine takes; nothing where there are no transfers.
    std::optional<Duration> cacheTransferTime(double tokens) const;

    // Returns null when the model is not declared.
    const Model* find(const ModelId& id) const;
};

// A group of targets that can serve the same requests.
struct Service {
    ServiceId id;
    std::string healthPath;
    int maxConnections = 0;
    // Absent for plain services, which generate no text.
    std::optional<Engine> engine;
};

// Limits on the size of a caller's request and on how long a caller may take.
struct CallerLimits {
    std::size_t headerBytes = std::size_t{16} * 1024;
    std::size_t bodyBytes = std::size_t{4} * 1024 * 1024;
    Duration headerTimeout = std::chrono::seconds(3);
    Duration idleTimeout = std::chrono::seconds(15);
};

// Immutable once created.
class RouteTable {
public:
    static std::shared_ptr<const RouteTable> create(ConfigurationVersion version, std::vector<Route> routes,
        std::vector<Service> services, CallerLimits limits, CustomerDirectory customers = {});

    ConfigurationVersion version() const { return version_; }

    // Returns the route of this host with the longest prefix that matches the start of `path`; null when there is none.
    // The case of `host` and a port in it are ignored.
    const Route* match(std::string_view host, std::string_view path) const;

    const Service* service(const ServiceId& id) const;

    const std::vector<Route>& routes() const { return routes_; }

    const std::vector<Service>& services() const { return services_; }

    const CallerLimits& limits() const { return limits_; }

    // Empty where anyone may send requests.
    const CustomerDirectory& customers() const { return customers_; }

    const UrgencyPolicy& urgency() const { return urgency_; }

private:
    RouteTable() = default;

    ConfigurationVersion version_;
    std::vector<Route> routes_;
    std::vector<Service> services_;
    CallerLimits limits_;
    CustomerDirectory customers_;
    UrgencyPolicy urgency_;
    // Index into routes_ by host, a NUL byte and prefix.
    std::unordered_map<std::string, std::size_t> byPrefix_;
    std::unordered_map<ServiceId, std::size_t> byService_;
};

// Picks the service for a request by weight; `draw` is a random number, uniform in [0, 1). Returns null when the route
// names no service.
const ServiceId* pickService(const Route& route, double draw);

} // namespace lychee::fleet
