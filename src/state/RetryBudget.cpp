#include "state/RetryBudget.h"

namespace lychee {

namespace {

// Most retries that the minimum rate can accumulate; a new team starts with this number.
constexpr double maxSavedFromMinimum = 2;
// Slightly below 1, because sums of 0.1 fall short of whole numbers through rounding.
constexpr double oneRetry = 1 - 1e-9;

} // namespace

RetryBudget::Balance& RetryBudget::refill(const TeamId& team, TimePoint now)
{
    const auto [found, added] = teams_.try_emplace(team, Balance{0, maxSavedFromMinimum, now});
    Balance& balance = found->second;
    const double elapsed = std::chrono::duration<double>(now - balance.updated).count();
    balance.fromMinimum
        = std::min(maxSavedFromMinimum, balance.fromMinimum + std::max(0.0, elapsed) * options_.minRetriesPerSecond);
    balance.updated = now;
    return balance;
}

void RetryBudget::request(const TeamId& team, TimePoint now)
{
    Balance& balance = refill(team, now);
    balance.fromRequests = std::min(options_.maxSavedRetries, balance.fromRequests + options_.retriesPerRequest);
}

bool RetryBudget::takeRetry(const TeamId& team, TimePoint now)
{
    if (!options_.enabled)
        return true;
    Balance& balance = refill(team, now);
    for (double* credit : {&balance.fromRequests, &balance.fromMinimum}) {
        if (*credit >= oneRetry) {
            *credit -= 1;
            return true;
        }
    }
    return false;
}

} // namespace lychee
