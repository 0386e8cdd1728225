// Manages the targets that this instance owns, and places artifacts on them.
#pragma once

#include "coordination/Membership.h"
#include "daemon/Dispatcher.h"
#include "daemon/LoadSlots.h"
#include "daemon/MetricsSink.h"
#include "daemon/OwnershipDriver.h"
#include "state/Placement.h"
#include "transport/Published.h"

namespace lychee {

struct PlacementServiceOptions {
    InstanceId instance;
    DataCentreId dataCentre;
    // Interval between placement passes, each of which reads the table of targets.
    Duration interval = std::chrono::milliseconds(500);
};

// The state of one target as operators see it.
struct TargetStatus {
    Target target;
    bool live = true;
    InstanceId owner;
    Bytes counted;
    std::uint32_t running = 0;
    std::uint32_t queued = 0;
    std::vector<HeldArtifact> held;
};

// Runs on the control duty.
class PlacementService {
public:
    PlacementService(Duty& duty, PlacementServiceOptions options, PlatformGateway& platform, TargetControl& control,
        MetricsSink& metrics, OwnershipCallbacks callbacks);

    // Starts the placement passes; they run until the duty stops.
    void start();

    void adopt(const std::shared_ptr<const Configuration>& configuration);

    void setMembers(const std::vector<MemberRecord>& members);

    void observe(const TargetObservation& observation);

    // Stores the demand of one instance, by artifact.
    void setDemand(const InstanceId& instance, std::vector<ArtifactDemand> demand);

    // Passes a grant that the previous owner released to the state machine of a target.
    void acceptGrant(const TargetId& target, const GrantRelease& release);

    // The recorded owner of a target; empty if it is not known.
    InstanceId ownerOf(const TargetId& target) const;

    // Loads an artifact on an owned target in addition to those that placement wants, and waits until it is resident.
    // Fails with CoordinationError::NotOwner, NotFound if the artifact is not declared, or MemoryExhausted if it is not
    // resident at the deadline.
    absl::Status ensureLoaded(const TargetId& target, const ArtifactId& artifact, TimePoint deadline);

    // Stops placement and gives up ownership of all targets.
    void leave();

    // Number of targets that this instance owns.
    std::size_t ownedTargets() const;

    std::vector<TargetStatus> status() const;

private:
    struct Observed {
        TargetObservation last;
        TimePoint lastAnswer;
        bool live = false;
    };

    struct EnsuredLoad {
        ArtifactSize item;
        TimePoint until;
    };

    void runPass();
    void readTable();
    void chooseOwners();
    void placeArtifacts();
    void addLoad(const TargetId& target, const ArtifactSize& item, WantedArtifactsChanged& change);
    void reconcileLoads(const std::map<TargetId, WantedArtifactsChanged>& wanted);
    ResidencySnapshot residency() const;
    TargetResidency residencyOf(const Target& target) const;
    std::vector<double> totalDemand() const;
    bool isMember(const InstanceId& id) const;

    Duty& duty_;
    PlacementServiceOptions options_;
    PlatformGateway& platform_;
    TargetControl& control_;
    MetricsSink& metrics_;
    OwnershipCallbacks callbacks_;
    LoadSlots slots_;
    std::shared_ptr<const Catalogue> catalogue_;
    std::vector<MemberRecord> members_;
    std::map<TargetId, std::shared_ptr<OwnershipDriver>> drivers_;
    std::map<TargetId, TargetRow> rows_;
    std::map<TargetId, Observed> observed_;
    std::map<TargetId, std::vector<EnsuredLoad>> ensuredLoads_;
    std::map<InstanceId, std::vector<ArtifactDemand>> demand_;
    bool leaving_ = false;
};

} // namespace lychee
