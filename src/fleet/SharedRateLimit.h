// Limits customers over all instances without a central counter. Each instance estimates the common token bucket of a
// customer from its own admissions and from the totals that its peers report.
//
// Between two reports of a peer, its admissions are extrapolated from its demand; the next report replaces the
// extrapolation. When the bucket cannot cover the demand of all instances for the time constant of the drain, each
// instance admits the same fraction of its own demand, so that instances with outdated reports do not all spend the
// same tokens. An instance uses at most the part of the limit that corresponds to the instances it hears.
#pragma once

#include "fleet/Customer.h"
#include "transport/RuntimeClock.h"

#include <map>

namespace lychee::fleet {

struct SharedRateLimitOptions {
    // Length of the window over which use is bounded.
    Duration window = std::chrono::seconds(8);
    // Use above the limit that is tolerated in a window: a fraction of the limit, and a fixed amount.
    double overshoot = 0;
    double slack = 0;
};

// What an instance reports about its use of one limit.
struct CustomerUse {
    CustomerId customer;
    // Cost of all requests admitted since the process started, less what was given back.
    double admitted = 0;
    // Cost of the requests per second, admitted or not, smoothed over about a second.
    double demand = 0;

    bool operator==(const CustomerUse&) const = default;
};

// Whether a request is within the limit of its customer, and if not, when to try again.
struct LimitAdmission {
    bool admitted = true;
    Duration retryAfter{0};
};

// An instance's view of a limit.
struct LimitState {
    // Fraction of the demand that is admitted.
    double fraction = 1;
    // Estimated level of the bucket. Negative when more was admitted than the limit allows.
    double level = 0;
    // Estimated demand of all instances that are heard, per second.
    double demand = 0;
    // Part of the limit that this instance and those that it hears may use together.
    double share = 1;
};

class SharedRateLimit {
public:
    // `phase`, from 0 to 1, differs between instances: it decides after how many requests an instance admits the first
    // one of a limited customer.
    explicit SharedRateLimit(double phase = 0)
        : phase_(phase)
    {
    }

    void setOptions(const SharedRateLimitOptions& options) { options_ = options; }

    // Sets the limits. The bucket of a customer that has had no limit starts empty.
    void setCustomers(const CustomerDirectory& directory, TimePoint now);

    // Sets the number of instances in the table of instances, and of those with a connection; both include this one.
    void setInstances(std::size_t listed, std::size_t reached, TimePoint now);

    // Whether any customer has a limit.
    bool isActive() const { return isActive_; }

    // Decides on a request and takes its cost if it is admitted. Customers without a limit are admitted.
    LimitAdmission admit(const CustomerId& customer, double cost, TimePoint now);

    // Returns the cost of an admitted request that has not run.
    void giveBack(const CustomerId& customer, double cost, TimePoint now);

    // The use of all limits by this instance; customers that have sent nothing are left out.
    std::vector<CustomerUse> report(TimePoint now);

    // Records the report of a peer. The first one after the start of this process only sets the baseline.
    void recordPeer(const InstanceId& peer, const std::vector<CustomerUse>& reported, TimePoint now);

    // Records that a peer is no longer heard. What it has used stays counted.
    void forgetPeer(const InstanceId& peer, TimePoint now);

    // Absent for a customer without a limit.
    std::optional<LimitState> state(const CustomerId& customer, TimePoint now);

private:
    // Level of a bucket with the part of the limit of a single instance.
    struct PartLevel {
        double level = 0;
        TimePoint updated;
    };

    struct Bucket {
        // Absent after the limit has been removed.
        std::optional<CustomerLimit> limit;
        double level = 0;
        TimePoint updated;
        TimePoint createdAt;
        // Own admissions, and the sum of own demand that decays over demandSeconds.
        double admitted = 0;
        double recentDemand = 0;
        TimePoint demandAt;
        PartLevel part;
        TimePoint usedAt;
        // A request was admitted. From then on the use is reported, also when all of it was given back.
        bool isUsed = false;
        // Sum of the demand of the peers that are heard.
        double peerDemand = 0;
        // The fraction of demand that instances admit, and its integral over time in seconds.
        double fraction = 1;
        double fractionSeconds = 0;
        // Sum of the fractions of own requests since the last admission; a request is admitted when it reaches 1.
        double credit = 0;
    };

    struct PeerUse {
        double admitted = 0;
        double demand = 0;
        // Bucket::fractionSeconds at the last report.
        double reportedAt = 0;
        // Use that was extrapolated since the last report, without that which follows from `demand`.
        double extrapolated = 0;
        PartLevel part;
    };

    struct Peer {
        TimePoint heardAt;
        bool isHeard = false;
        std::map<CustomerId, PeerUse> uses;
    };

    Bucket* find(const CustomerId& customer);
    double rate(const Bucket& bucket) const { return bucket.limit->perSecond * share_; }
    double capacity(const Bucket& bucket) const { return bucket.limit->burst * share_; }
    CustomerLimit spread(const CustomerLimit& limit) const;
    double tolerance(const Bucket& bucket) const;
    double headroom(const Bucket& bucket) const;
    double spendableRate(const Bucket& bucket) const;
    static double ownDemand(const Bucket& bucket, TimePoint now);
    static double totalDemand(const Bucket& bucket, TimePoint now);
    void refill(const Bucket& bucket, PartLevel& part, TimePoint now) const;
    double levelOfParts(const CustomerId& customer, Bucket& bucket, TimePoint now);
    void advance(Bucket& bucket, TimePoint now);
    void advanceAll(TimePoint now);
    void updateShare(TimePoint now);
    void dropSilentPeers(TimePoint now);
    void stopHearing(Peer& peer, TimePoint now);
    void endExtrapolation(Peer& peer, TimePoint now);

    double phase_;
    SharedRateLimitOptions options_;
    bool isActive_ = false;
    std::map<CustomerId, Bucket> buckets_;
    std::map<InstanceId, Peer> peers_;
    std::size_t listed_ = 1;
    std::size_t reached_ = 1;
    std::size_t heard_ = 1;
    // Part of each limit that this instance and those that it hears may use.
    double share_ = 1;
    TimePoint silenceCheckedAt_;
};

} // namespace lychee::fleet
