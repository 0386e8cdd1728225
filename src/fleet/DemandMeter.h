// Measures how much work callers request of each model. Demand moves between models within seconds, so two moving
// averages are kept: the short one follows a rise quickly, the long one keeps copies loaded through a pause.
#pragma once

#include "fleet/CallerRequest.h"

#include <unordered_map>
#include <vector>

namespace lychee::fleet {

// Work requested of one model, in engine-seconds per second.
struct ModelDemand {
    ModelId model;
    double work = 0;
};

class DemandMeter {
public:
    // Records a request, including one that is refused, for a service whose engines run `slots` requests at once.
    void record(const GenerationNeed& need, int slots, TimePoint now);

    // Returns the demand for each model; models whose demand has decayed to almost nothing are left out.
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

// Estimates how long a request keeps an engine busy, in seconds: the time of its prefill, or its share of the engine's
// slots over the time that it runs, whichever is longer.
double engineSeconds(const GenerationNeed& need, int slots);

} // namespace lychee::fleet
