// Ownership of targets and placement of artifacts, for one instance.
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
    // Interval of placement passes and of readings of the table of targets.
    Duration interval = std::chrono::milliseconds(500);
};

// What an operator sees of one target.
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

    // Starts the passes; they run until the duty stops.
    void start();

    void adopt(const std::shared_ptr<const Configuration>& configuration);

    void setMembers(const std::vector<MemberRecord>& members);

    void observe(const TargetObservation& observation);

    // Takes the demand of one instance, by artifact.
    void setDemand(const InstanceId& instance, std::vector<ArtifactDemand> demand);

    // Hands a grant of the previous owner to the machine of a target.
    void acceptGrant(const TargetId& target, const GrantRelease& release);

    // The recorded owner of a target, as far as it is known.
    InstanceId ownerOf(const TargetId& target) const;

    // Loads an artifact on an owned target, beside what placement wants, and waits until it is resident.
    absl::Status ensureLoaded(const TargetId& target, const ArtifactId& artifact, TimePoint deadline);

    // Stops placing and gives every target to another instance.
    void leave();

    // Targets that this instance owns.
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

    void pass();
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
    std::map<TargetId, std::vector<EnsuredLoad>> ensured_;
    std::map<InstanceId, std::vector<ArtifactDemand>> demand_;
    bool leaving_ = false;
};

} // namespace lychee
