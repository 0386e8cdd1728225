// Measures how much work callers ask for, by model. Answers demand that moves to other models within seconds: a short
// average finds the rise, a long one keeps copies through a pause.
#pragma once

#include "fleet/CallerRequest.h"

#include <unordered_map>
#include <vector>

namespace lychee::fleet {

// Work for one model, in seconds of one engine for each second.
struct ModelDemand {
    ModelId model;
    double work = 0;
};

class DemandMeter {
public:
    // Records a request, also one that is refused.
    void record(const GenerationNeed& need, TimePoint now);

    // Demand of all models that was not zero lately.
    std::vector<ModelDemand> read(TimePoint now);

private:
    struct Rate {
        double fast = 0;
        double slow = 0;
        TimePoint updated;
    };

    static void decay(Rate& rate, TimePoint now);

    std::unordered_map<ModelId, Rate> rates_;
};

// Estimated time that a request keeps an engine busy, in seconds.
double engineSeconds(const GenerationNeed& need);

} // namespace lychee::fleet
