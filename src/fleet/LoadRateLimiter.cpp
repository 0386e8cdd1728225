#include "fleet/LoadRateLimiter.h"

#include <algorithm>

namespace lychee::fleet {

namespace {

// Loads that may start at once after a pause. With the rate of the store it keeps any window below the limit of the
// deployments, which is a tenth and three loads above the rate.
constexpr double burst = 2.5;

} // namespace

void LoadRateLimiter::refill(TimePoint now)
{
    const double seconds = std::chrono::duration<double>(now - updated_).count();
    saved_ = std::min(burst, saved_ + seconds * perSecond_);
    updated_ = now;
}

bool LoadRateLimiter::isAvailable(TimePoint now)
{
    refill(now);
    return saved_ >= 1;
}

void LoadRateLimiter::take(TimePoint now)
{
    refill(now);
    saved_ -= 1;
}

} // namespace lychee::fleet
