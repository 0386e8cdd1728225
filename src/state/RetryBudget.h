// Limits retries to a part of the requests, for each team or each service.
#pragma once

#include "protocol/Ids.h"
#include "transport/RuntimeClock.h"

#include <algorithm>
#include <unordered_map>

namespace lychee {

struct RetryBudgetOptions {
    bool enabled = true;
    // Retries per request.
    double part = 0.1;
    // Retries a second that each key always has, so that one with few requests can retry at all.
    double floorPerSecond = 0.2;
    // Retries that the floor saves up at most; also what a new key starts with.
    double maxFloor = 2;
    // Retries from requests that may be saved up.
    double maxSaved = 50;
};

// The budgets of one instance, one for each key.
template <typename Key = TeamId> class RetryBudget {
public:
    explicit RetryBudget(RetryBudgetOptions options = {})
        : options_(options)
    {
    }

    // Changes the limits; what is saved beyond them is lost.
    void setOptions(RetryBudgetOptions options) { options_ = options; }

    // Records a first attempt.
    void request(const Key& key, TimePoint now)
    {
        Saved& saved = refill(key, now);
        saved.fromRequests = std::min(options_.maxSaved, saved.fromRequests + options_.part);
    }

    // Whether takeRetry() would succeed.
    bool hasRetry(const Key& key, TimePoint now)
    {
        const Saved& saved = refill(key, now);
        return !options_.enabled || saved.fromRequests >= oneRetry || saved.fromFloor >= oneRetry;
    }

    // Takes one retry from the budget; false if there is none left.
    bool takeRetry(const Key& key, TimePoint now)
    {
        if (!options_.enabled)
            return true;
        Saved& saved = refill(key, now);
        for (double* balance : {&saved.fromRequests, &saved.fromFloor}) {
            if (*balance >= oneRetry) {
                *balance -= 1;
                return true;
            }
        }
        return false;
    }

private:
    struct Saved {
        double fromRequests = 0;
        double fromFloor = 0;
        TimePoint updated;
    };

    // Sums of tenths fall short of whole numbers by rounding.
    static constexpr double oneRetry = 1 - 1e-9;

    Saved& refill(const Key& key, TimePoint now)
    {
        const auto [found, added] = saved_.try_emplace(key, Saved{0, options_.maxFloor, now});
        Saved& saved = found->second;
        const double elapsed = std::chrono::duration<double>(now - saved.updated).count();
        saved.fromFloor
            = std::min(options_.maxFloor, saved.fromFloor + std::max(0.0, elapsed) * options_.floorPerSecond);
        saved.fromRequests = std::min(options_.maxSaved, saved.fromRequests);
        saved.updated = now;
        return saved;
    }

    RetryBudgetOptions options_;
    std::unordered_map<Key, Saved> saved_;
};

} // namespace lychee
