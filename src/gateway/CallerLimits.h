// Applies the limits of customers to the requests of callers. Used on the relay duty only.
#pragma once

#include "daemon/MetricsSink.h"
#include "fleet/RouteTable.h"
#include "fleet/SharedRateLimit.h"

#include <set>

namespace lychee::gateway {

class CallerLimits;

// The cost that an admitted request has taken from the limit of its customer. Gives it back at the end of its life
// unless the request may have run. Must not outlive the limits.
class LimitTicket {
public:
    LimitTicket() = default;

    LimitTicket(CallerLimits& limits, fleet::CustomerId customer, double cost)
        : limits_(&limits)
        , customer_(std::move(customer))
        , cost_(cost)
    {
    }

    LimitTicket(LimitTicket&& other) noexcept { swap(other); }

    LimitTicket& operator=(LimitTicket&& other) noexcept
    {
        swap(other);
        return *this;
    }

    LimitTicket(const LimitTicket&) = delete;
    LimitTicket& operator=(const LimitTicket&) = delete;
    ~LimitTicket();

    // Records that the request was sent to a target.
    void sent() { ++possibleRuns_; }

    // Records that the target of the last send has stated that it did not run the request.
    void notRun() { --possibleRuns_; }

private:
    void swap(LimitTicket& other) noexcept
    {
        std::swap(limits_, other.limits_);
        std::swap(customer_, other.customer_);
        std::swap(cost_, other.cost_);
        std::swap(possibleRuns_, other.possibleRuns_);
    }

    CallerLimits* limits_ = nullptr;
    fleet::CustomerId customer_;
    double cost_ = 0;
    int possibleRuns_ = 0;
};

class CallerLimits {
public:
    CallerLimits() = default;

    // `phase` is as for SharedRateLimit.
    CallerLimits(const fleet::SharedRateLimitOptions& options, double phase)
        : limit_(phase)
    {
        limit_.setOptions(options);
    }

    void setOptions(const fleet::SharedRateLimitOptions& options) { limit_.setOptions(options); }

    void configurationChanged(const fleet::RouteTable& table);

    // The number of instances in the table of instances, this one included.
    void listedUpdated(std::size_t listed);

    // The number of connected instances, this one included.
    void reachedUpdated(std::size_t reached);

    // Takes the cost of a request. Returns the time after which to try again when the request is beyond the limit.
    // `customer` may be null; `metrics` too.
    std::variant<LimitTicket, Duration> admit(
        const fleet::Customer* customer, const std::optional<TokenCount>& declaredTokens, MetricsSink* metrics);

    // The use by this instance, for its peers. Empty where no customer has a limit.
    std::vector<fleet::CustomerUse> report();

    void peerReported(const InstanceId& peer, const std::vector<fleet::CustomerUse>& uses);
    void peerLost(const InstanceId& peer);

    // Returns the cost of an admitted request that has not run.
    void giveBack(const fleet::CustomerId& customer, double cost);

private:
    // A customer of which requests are being refused.
    struct Limited {
        TimePoint lastRefusal;
        std::uint64_t refusals = 0;
    };

    void recordRefusal(const fleet::Customer& customer, double cost, Duration retryAfter, MetricsSink* metrics);
    void endQuietRefusals(TimePoint now);
    void logState(const fleet::CustomerId& customer, std::string_view event, std::uint64_t refusals, TimePoint now);

    // The limits are split between at least this many instances until the table of instances is read. Deployments have
    // 6 or more.
    static constexpr std::size_t assumedInstances = 6;
    // A customer counts as no longer limited after this time without a refusal.
    static constexpr Duration quietTime = std::chrono::seconds(5);
    // Refusals of further customers are counted together.
    static constexpr std::size_t maxCountedCustomers = 64;

    fleet::SharedRateLimit limit_;
    std::size_t listed_ = assumedInstances;
    std::size_t reached_ = 1;
    std::map<fleet::CustomerId, Limited> limited_;
    std::set<fleet::CustomerId> counted_;
    // The limits in force, to log changes.
    std::map<fleet::CustomerId, std::optional<fleet::CustomerLimit>> knownLimits_;
};

} // namespace lychee::gateway
