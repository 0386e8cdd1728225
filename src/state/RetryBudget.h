// Limits the retries of each team to a part of its requests.
#pragma once

#include "protocol/Ids.h"
#include "transport/RuntimeClock.h"

namespace lychee {

struct RetryBudgetOptions {
    bool enabled = true;
    // Retries per request.
    double part = 0.1;
    // Retries a second that a team always has, so that a team with few requests can retry at all.
    double floorPerSecond = 0.2;
    // Retries that may be saved up.
    double maxSaved = 50;
};

// The budgets of all teams, of one instance.
class RetryBudget {
public:
    explicit RetryBudget(RetryBudgetOptions options = {})
        : options_(options)
    {
    }

    // Records a first attempt.
    void request(const TeamId& team, TimePoint now);

    // Takes one retry from the budget; false if there is none left.
    bool takeRetry(const TeamId& team, TimePoint now);

private:
    struct Saved {
        double fromRequests = 0;
        double fromFloor = 0;
        TimePoint updated;
    };

    Saved& refill(const TeamId& team, TimePoint now);

    RetryBudgetOptions options_;
    std::unordered_map<TeamId, Saved> teams_;
};

} // namespace lychee
