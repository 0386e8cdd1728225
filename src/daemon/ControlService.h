// The control duty: configuration, members, demand, and messages from peers.
#pragma once

#include "coordination/ConfigurationManager.h"
#include "daemon/PlacementService.h"
#include "state/Answers.h"

namespace lychee {

struct ControlOptions {
    InstanceId instance;
    // The name that the platform's list uses for this instance.
    InstanceId listedName;
    DataCentreId dataCentre;
    // Interval of reading the accepted version and the list of instances.
    Duration poll = std::chrono::seconds(1);
    PlacementServiceOptions placement;
};

// What the control duty hands to other duties.
struct ControlOutputs {
    std::function<void(const std::shared_ptr<const Configuration>&)> configurationAdopted;
    std::function<void(const PeerMessage&)> flood;
    std::function<void(const InstanceId&, const PeerMessage&)> sendTo;
    std::function<void(const std::vector<Endpoint>&)> endpointsListed;
    // The demand of this instance's callers.
    std::function<std::vector<ArtifactDemand>()> localDemand;
};

// The outcome of a submission of answers.
struct SubmitResult {
    absl::Status status;
    ConfigurationVersion version;
    std::vector<AnswerError> errors;
    // What differs from the configuration in force, after a lost race.
    std::vector<std::string> difference;
};

// Runs on the control duty; all calls come from fibers of it.
class ControlService {
public:
    ControlService(Duty& duty, ControlOptions options, PlatformGateway& platform, TargetControl& control,
        MetricsSink& metrics, ControlOutputs outputs);

    // Starts the loops; they run until the duty stops.
    void start();

    const std::shared_ptr<const Configuration>& configuration() const { return configuration_; }

    // When the configuration in force was adopted here.
    TimePoint adoptedAt() const { return adoptedAt_; }

    const std::vector<MemberRecord>& members() const { return members_; }

    PlacementService& placement() { return placement_; }

    void setMembers(const std::vector<MemberRecord>& members);

    void handle(const InstanceId& from, const PeerMessage& message);

    void peerConnected(const InstanceId& peer);

    // Checks answers and makes the configuration generated from them the accepted one, if `base` is accepted now.
    SubmitResult submit(const std::string& answers, ConfigurationVersion base);

    // Has an artifact loaded by the owner of a target and waits until it is resident.
    absl::Status ensureLoaded(const TargetId& target, const ArtifactId& artifact, TimePoint deadline);

private:
    struct PendingEnsure {
        std::optional<std::string> reason;
        FiberEvent answered;
    };

    void adopt(const ConfigurationDocument& document);
    void pollLoop();
    void pollConfiguration();
    void pollInstances();
    void exchangeDemand();
    bool isPoller() const;
    void handle(const InstanceId& from, const ConfigurationNotice& notice);
    void handle(const InstanceId& from, const ConfigurationRequest& request);
    void handle(const InstanceId& from, const ConfigurationContent& content);
    void handle(const InstanceId& from, const EnsureArtifact& request);
    void handle(const InstanceId& from, const EnsureResult& result);
    void handle(const InstanceId& from, const DemandMessage& message);
    void handle(const InstanceId& from, const GrantReleaseMessage& message);
    template <typename Other> void handle(const InstanceId&, const Other&) { }

    Duty& duty_;
    ControlOptions options_;
    PlatformGateway& platform_;
    ControlOutputs outputs_;
    PlacementService placement_;
    ConfigurationManager<PlatformGateway> keeper_;
    std::shared_ptr<const Configuration> configuration_ = std::make_shared<const Configuration>();
    TimePoint adoptedAt_;
    std::vector<MemberRecord> members_;
    std::uint64_t polls_ = 0;
    std::vector<ArtifactDemand> floodedDemand_;
    std::uint64_t demandFloodedAt_ = 0;
    std::uint64_t nextEnsure_ = 1;
    std::map<std::uint64_t, std::shared_ptr<PendingEnsure>> ensures_;
};

} // namespace lychee
