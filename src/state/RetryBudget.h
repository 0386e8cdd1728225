// Limits the retries of each team to a fraction of its requests.
#pragma once

#include "protocol/Ids.h"
#include "transport/RuntimeClock.h"

namespace lychee {

struct RetryBudgetOptions {
    bool enabled = true;
    double retriesPerRequest = 0.1;
    // Retries per second that a team gets regardless of its requests, so that a team with few requests can retry too.
    double minRetriesPerSecond = 0.2;
    // Most unused retries that a team's requests can accumulate.
    double maxSavedRetries = 50;
};

// The retry budgets of all teams on one instance.
class RetryBudget {
public:
    explicit RetryBudget(RetryBudgetOptions options = {})
        : options_(options)
    {
    }

    // Records the first attempt of a request, which adds to the budget.
    void request(const TeamId& team, TimePoint now);

    // Takes one retry from the budget; false if there is none left.
    bool takeRetry(const TeamId& team, TimePoint now);

private:
    struct Balance {
        double fromRequests = 0;
        double fromMinimum = 0;
        TimePoint updated;
    };

    Balance& refill(const TeamId& team, TimePoint now);

    RetryBudgetOptions options_;
    std::unordered_map<TeamId, Balance> teams_;
};

} // namespace lychee
