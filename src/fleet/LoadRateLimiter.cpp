#include "fleet/LoadRateLimiter.h"

#include <algorithm>

namespace lychee::fleet {

namespace {

// Loads that may start at once after a pause. With this burst the loads in any window stay below the limit of the
// deployments, which is a tenth above the rate of the store plus three loads.
constexpr double maxBurst = 2.5;

// Unanswered loads lower the burst to this at most, so that targets out of reach do not stop all loads.
constexpr double minBurst = 1;

} // namespace

void LoadRateLimiter::refill(TimePoint now)
{
    const double seconds = std::chrono::duration<double>(now - updated_).count();
    const double burst = std::max(minBurst, maxBurst - unanswered_);
    tokens_ = std::min(burst, tokens_ + seconds * loadsPerSecond_);
    updated_ = now;
}

void LoadRateLimiter::setRate(double loadsPerSecond, TimePoint now)
{
    refill(now);
    loadsPerSecond_ = loadsPerSecond;
}

int LoadRateLimiter::available(TimePoint now)
{
    refill(now);
    return static_cast<int>(std::max(0.0, tokens_));
}

void LoadRateLimiter::take(TimePoint now)
{
    refill(now);
    tokens_ -= 1;
}

void LoadRateLimiter::order(TimePoint now)
{
    take(now);
    ++unanswered_;
}

void LoadRateLimiter::confirm(TimePoint now)
{
    refill(now);
    --unanswered_;
}

void LoadRateLimiter::cancel(TimePoint now)
{
    confirm(now);
    tokens_ += 1;
    refill(now);
}

} // namespace lychee::fleet
