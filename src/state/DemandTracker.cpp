#include "state/DemandTracker.h"

#include <cmath>

namespace lychee {

namespace {

// Time constants of the moving average rates, in seconds, the longest first.
constexpr std::array<double, 3> horizons{60, 15, 4};
// This many standard deviations of noise are subtracted from the rates of the shorter horizons.
constexpr double noiseDeviations = 2;
// Time constants of the decay: the value for a move weight of 0, and what a move weight of 1 adds.
constexpr double baseDecaySeconds = 60;
constexpr double moveWeightDecaySeconds = 600;
// Weight of a new request in the moving average of the work per request.
constexpr double requestWorkWeight = 0.05;

} // namespace

DemandTracker::DemandTracker(std::size_t artifacts, double moveWeight, bool slowDecay)
    : series_(artifacts)
    , loads_(artifacts)
    , decaySeconds_(slowDecay ? baseDecaySeconds + moveWeightDecaySeconds * moveWeight : 1)
{
}

void DemandTracker::record(RouteIndex route, double targetSeconds)
{
    Series& series = series_[route.value()];
    series.pendingWork += targetSeconds;
    series.meanRequestWork = series.meanRequestWork == 0
        ? targetSeconds
        : series.meanRequestWork + requestWorkWeight * (targetSeconds - series.meanRequestWork);
}

double DemandTracker::estimate(const Series& series) const
{
    double load = 0;
    for (std::size_t i = 0; i < horizonCount; ++i) {
        // The rates start at zero; dividing by this corrects the bias while the age is short against the horizon.
        const double filled = 1 - std::exp(-age_ / horizons[i]);
        const double rate = series.rates[i] / filled;
        const double noise = std::sqrt(rate * series.meanRequestWork / (2 * horizons[i] * filled));
        load = std::max(load, i == 0 ? rate : rate - noiseDeviations * noise);
    }
    return load;
}

void DemandTracker::advance(TimePoint now)
{
    if (!lastAdvance_) {
        lastAdvance_ = now;
        return;
    }
    const double elapsed = std::chrono::duration<double>(now - *lastAdvance_).count();
    if (elapsed <= 0)
        return;
    lastAdvance_ = now;
    age_ += elapsed;
    const double decayFactor = std::exp(-elapsed / decaySeconds_);
    for (std::size_t route = 0; route < series_.size(); ++route) {
        Series& series = series_[route];
        for (std::size_t i = 0; i < horizonCount; ++i) {
            const double kept = std::exp(-elapsed / horizons[i]);
            series.rates[i] = series.rates[i] * kept + series.pendingWork / elapsed * (1 - kept);
        }
        series.pendingWork = 0;
        loads_[route] = std::max(estimate(series), loads_[route] * decayFactor);
    }
}

} // namespace lychee
