// Estimates the demand for each model and adapter. The estimate rises fast, falls slowly, and ignores random bursts of
// few requests.
#pragma once

#include "state/Catalogue.h"

#include <array>

namespace lychee {

// Turns the work of arriving requests into a load: the number of targets that the work would keep busy.
class DemandTracker {
public:
    // `moveWeight` is Configuration::moveWeight; a higher weight makes the estimate fall more slowly. `slowDecay` is a
    // switch for the ablation benchmark.
    DemandTracker(std::size_t artifacts, double moveWeight, bool slowDecay = true);

    // Records an arriving request, accepted or refused, that would keep a whole target busy for `targetSeconds`.
    void record(RouteIndex route, double targetSeconds);

    // Updates the estimates to the time `now`; to be called about once per second.
    void advance(TimePoint now);

    // By route index: the number of targets that the work keeps busy.
    const std::vector<double>& loads() const { return loads_; }

private:
    static constexpr std::size_t horizonCount = 3;

    struct Series {
        // Work recorded since the last advance().
        double pendingWork = 0;
        // Moving average of the work of one request, from which the noise of the rates is estimated.
        double meanRequestWork = 0;
        std::array<double, horizonCount> rates{};
    };

    double estimate(const Series& series) const;

    std::vector<Series> series_;
    std::vector<double> loads_;
    double decaySeconds_;
    std::optional<TimePoint> lastAdvance_;
    double age_ = 0;
};

} // namespace lychee
