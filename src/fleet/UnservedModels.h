// How long models have been asked for while no engine held them.
#pragma once

#include "fleet/DemandMeter.h"
#include "transport/RuntimeClock.h"

#include <map>
#include <set>
#include <span>

namespace lychee::fleet {

// The models that are asked for and not held, with the time since they were first asked for in vain.
using UnservedTimes = std::map<ModelId, Duration>;

// Measures the time since each model was last served, by which models that are rarely asked for get their turn however
// little work they are.
class UnservedModels {
public:
    // A model that has been asked for in vain for this time takes the place of one that is in use.
    static constexpr Duration maxWait = std::chrono::seconds(2);

    // Forgets the past, for a process that begins to plan.
    void clear() { waits_.clear(); }

    // `held` are the models that an engine holds.
    UnservedTimes update(std::span<const ModelDemand> demand, const std::set<ModelId>& held, TimePoint now);

private:
    struct Wait {
        TimePoint since;
        TimePoint askedAt;
    };

    // A model that is not asked for again within this time waits anew.
    static constexpr Duration maxPause = std::chrono::seconds(60);

    std::map<ModelId, Wait> waits_;
};

} // namespace lychee::fleet
