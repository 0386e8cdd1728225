// The part of an instance that runs on the control duty: it distributes the configuration, the list of members and the
// demand, and handles messages from peers.
#pragma once

#include "coordination/ConfigurationManager.h"
#include "daemon/PlacementService.h"
#include "state/Answers.h"

namespace lychee {

struct ControlOptions {
    InstanceId instance;
    // The name of this instance in the platform's list of instances. It stays the same over restarts, unlike
    // `instance`.
    InstanceId listedName;
    DataCentreId dataCentre;
    // Interval of reading the accepted configuration version and the list of instances from the platform.
    Duration poll = std::chrono::seconds(1);
    PlacementServiceOptions placement;
};

// Functions through which the control duty passes data to, and reads data from, other duties.
struct ControlOutputs {
    std::function<void(const std::shared_ptr<const Configuration>&)> configurationAdopted;
    std::function<void(const PeerMessage&)> flood;
    std::function<void(const InstanceId&, const PeerMessage&)> sendTo;
    std::function<void(const std::vector<Endpoint>&)> endpointsListed;
    // Returns the demand of this instance's callers for each artifact.
    std::function<std::vector<ArtifactDemand>()> localDemand;
};

// The result of submitting answers.
struct SubmitResult {
    absl::Status status;
    ConfigurationVersion version;
    std::vector<AnswerError> errors;
    // The differences from the configuration in force, when another submission was accepted first.
    std::vector<std::string> difference;
};

// Must be called from fibers of the control duty only.
class ControlService {
public:
    ControlService(Duty& duty, ControlOptions options, PlatformGateway& platform, TargetControl& control,
        MetricsSink& metrics, ControlOutputs outputs);

    // Starts the loops; they run until the duty stops.
    void start();

    const std::shared_ptr<const Configuration>& configuration() const { return configuration_; }

    // When this instance adopted the configuration in force.
    TimePoint adoptedAt() const { return adoptedAt_; }

    const std::vector<MemberRecord>& members() const { return members_; }

    PlacementService& placement() { return placement_; }

    void setMembers(const std::vector<MemberRecord>& members);

    void handle(const InstanceId& from, const PeerMessage& message);

    void peerConnected(const InstanceId& peer);

    // Checks the answers, generates a configuration from them and submits it as the successor of version `base`. Fails
    // with CoordinationError::VersionStale when another version than `base` is the accepted one.
    SubmitResult submit(const std::string& answers, ConfigurationVersion base);

    // Asks the owner of a target to load an artifact and waits until the artifact is resident. Fails with NotOwner when
    // the target has no owner or the owner rejects the request, and with OutcomeUnknown when the owner does not answer
    // before the deadline.
    absl::Status ensureLoaded(const TargetId& target, const ArtifactId& artifact, TimePoint deadline);

private:
    struct PendingLoadRequest {
        // Empty when the artifact is loaded; nothing before the owner has answered.
        std::optional<std::string> failure;
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
    // The value of polls_ when the demand was last sent.
    std::uint64_t demandFloodedAt_ = 0;
    std::uint64_t nextLoadRequest_ = 1;
    std::map<std::uint64_t, std::shared_ptr<PendingLoadRequest>> pendingLoadRequests_;
};

} // namespace lychee
