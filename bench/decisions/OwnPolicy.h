// The decisions of the system, one set for each instance, driven by the simulation.
#pragma once

#include "bench/decisions/Simulation.h"
#include "state/Admission.h"
#include "state/DemandTracker.h"
#include "state/Placement.h"
#include "state/RetryBudget.h"
#include "state/Router.h"

#include <deque>

namespace lychee::bench {

// The parts that the ablation switches off.
struct Switches {
    bool affinity = true;
    bool admission = true;
    bool fairness = true;
    bool hysteresis = true;
    bool lagCorrection = true;
    bool subset = true;
    bool retryBudget = true;
};

class OwnPolicy : public Policy {
public:
    explicit OwnPolicy(Switches switches = {})
        : switches_(switches)
    {
    }

    void start(Simulation& simulation) override;
    void dispatch(std::uint32_t id, bool retry) override;
    void attemptFailed(std::uint32_t id, bool targetDown) override;
    void ended(std::uint32_t id, std::optional<double> service) override;
    void tick() override;
    void residencyChanged() override { residencyDirty_ = true; }

private:
    struct Instance {
        std::shared_ptr<const RoutingIndex> index;
        LoadTable loads;
        PrefixAffinity affinity;
        Admission admission;
        RetryBudget budget;
    };
    struct Delayed {
        double at = 0;
        std::uint32_t target = 0;
        LoadReport report;
        std::vector<PrefixEvent> events;
    };

    void placeInitially();
    // What the instances of one side of a partition know.
    ResidencySnapshot snapshot(bool cutSide) const;
    void rebuildIndexes();
    void makeReports();
    void deliverReports();
    void place();
    // One placement pass for the instances of one side of a partition.
    void placeSide(bool cutSide, DemandTracker& demand, LoadAllowance allowance);
    bool onCutSide(const Job& job) const;
    void apply(const PlannedOrder& order);
    const TeamId& teamOf(const Job& job) const { return simulation_->catalogue().configuration().teams[job.team].id; }

    Switches switches_;
    PlacementOptions placement_;
    Simulation* simulation_ = nullptr;
    std::vector<Instance> instances_;
    std::optional<DemandTracker> demand_;
    // Demand that the instances of the cut-off data centre see.
    std::optional<DemandTracker> cutDemand_;
    std::deque<Delayed> delayed_;
    std::mt19937_64 random_{seed};
    std::vector<double> lostAt_;
    bool residencyDirty_ = true;
    double nextReport_ = 0;
    double nextPlacement_ = 0;
    double startTokens_ = 0;
};

} // namespace lychee::bench
