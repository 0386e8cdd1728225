// Chooses the target of a request.
#pragma once

#include "state/PrefixAffinity.h"
#include "state/Residency.h"
#include "state/TargetLoad.h"

namespace lychee {

// Switches and constants of routing; the switches exist for the ablation benchmark.
struct RouterOptions {
    bool affinity = true;
    bool lagCorrection = true;
    bool subset = true;
    // Most targets of one model among which an instance chooses; applies to its own data centre and to all others
    // together.
    std::size_t subsetSize = 8;
    // Added to the predicted time until the first token on targets in other data centres.
    Duration crossDataCentreCost = std::chrono::milliseconds(5);
    // Prefill time of one prompt token that is not cached.
    Duration prefillPerToken = std::chrono::microseconds(200);
    // Added to the predicted time until the first token if the adapter must be loaded first.
    Duration adapterLoad = std::chrono::milliseconds(10);
};

// The candidate targets of one model, adapter or service, as seen by one instance.
struct Candidates {
    std::span<const TargetIndex> local;
    std::span<const TargetIndex> remote;
    // The candidates hold the model but not the adapter, which must be loaded first.
    bool adapterMissing = false;
    // The candidates hold an earlier version, because the declared one is resident nowhere.
    bool earlierVersion = false;
};

// Immutable candidate lists of one instance, rebuilt when configuration, residency or liveness changes.
class RoutingIndex {
public:
    static std::shared_ptr<const RoutingIndex> create(std::shared_ptr<const Catalogue> catalogue,
        const ResidencySnapshot& residency, const InstanceId& instance, const DataCentreId& dataCentre,
        const RouterOptions& options = {});

    const Catalogue& catalogue() const { return *catalogue_; }
    const RouterOptions& options() const { return options_; }
    Candidates candidates(RouteIndex route) const;

private:
    RoutingIndex() = default;

    struct Entry {
        std::uint32_t begin = 0;
        std::uint32_t localEnd = 0;
        std::uint32_t end = 0;
        bool adapterMissing = false;
        bool earlierVersion = false;
    };
    struct Builder;

    std::shared_ptr<const Catalogue> catalogue_;
    RouterOptions options_;
    std::vector<TargetIndex> lists_;
    std::vector<Entry> entries_;
};

struct RouteRequest {
    RouteIndex route;
    // Targets that must not be used: those already tried, or excluded by the caller.
    std::span<const TargetIndex> excluded;
    // Prefixes of the prompt, the longest first.
    std::span<const PromptPrefix> prefixes;
    std::uint32_t promptTokens = 0;
    // Priority of the caller's class, 0 to 9; engines start requests of higher priority first.
    int priority = 0;
};

struct RouteDecision {
    TargetIndex target;
    // Estimated time until the request gets a slot on the target.
    Duration predictedWait{0};
    // Estimated time until the first token; the cached part of the prompt needs no prefill.
    Duration predictedFirstToken{0};
    bool local = true;
    bool adapterMissing = false;
    bool earlierVersion = false;
};

// Chooses the best of two random candidates (power of two choices) and the probable holders of the prompt's prefix.
// `random` is 64 uniformly random bits. Does not allocate memory. Returns nothing if no candidate is usable.
std::optional<RouteDecision> route(const RoutingIndex& index, const LoadTable& loads, const PrefixAffinity& affinity,
    const RouteRequest& request, TimePoint now, std::uint64_t random);

} // namespace lychee
