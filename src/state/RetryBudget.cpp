#include "state/RetryBudget.h"

namespace lychee {

namespace {

// Retries that the floor saves up at most; also what a new team starts with.
constexpr double maxFloor = 2;
// Sums of tenths fall short of whole numbers by rounding.
constexpr double oneRetry = 1 - 1e-9;

} // namespace

RetryBudget::Saved& RetryBudget::refill(const TeamId& team, TimePoint now)
{
    const auto [found, added] = teams_.try_emplace(team, Saved{0, maxFloor, now});
    Saved& saved = found->second;
    const double elapsed = std::chrono::duration<double>(now - saved.updated).count();
    saved.fromFloor = std::min(maxFloor, saved.fromFloor + std::max(0.0, elapsed) * options_.floorPerSecond);
    saved.updated = now;
    return saved;
}

void RetryBudget::request(const TeamId& team, TimePoint now)
{
    Saved& saved = refill(team, now);
    saved.fromRequests = std::min(options_.maxSaved, saved.fromRequests + options_.part);
}

bool RetryBudget::takeRetry(const TeamId& team, TimePoint now)
{
    if (!options_.enabled)
        return true;
    Saved& saved = refill(team, now);
    for (double* balance : {&saved.fromRequests, &saved.fromFloor}) {
        if (*balance >= oneRetry) {
            *balance -= 1;
            return true;
        }
    }
    return false;
}

} // namespace lychee
