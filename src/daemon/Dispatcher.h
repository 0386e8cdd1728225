// The state of the targets as the callers duty knows it, and the routing and admission of each request.
#pragma once

#include "daemon/TargetMonitor.h"
#include "state/Admission.h"
#include "state/DemandTracker.h"
#include "state/RetryBudget.h"
#include "state/Router.h"

#include <map>
#include <random>

namespace lychee {

// The load that this instance's callers put on each model and adapter, by route index of the configuration.
struct DemandSnapshot {
    ConfigurationVersion version;
    std::vector<double> loads;
};

// A target chosen for an attempt.
struct TargetChoice {
    TargetId target;
    Endpoint endpoint;
    // The artifact that serves the request on the target; empty for plain services.
    ArtifactId artifact;
    Duration predictedWait{0};
    Duration expectedServiceTime{0};
    // The artifact has to be loaded on the target first.
    bool mustLoad = false;
};

// Owned by the callers duty; not thread-safe.
class Dispatcher {
public:
    Dispatcher(InstanceId instance, DataCentreId dataCentre);

    // Switches to a configuration.
    void adopt(const std::shared_ptr<const Configuration>& configuration);

    // Updates the state of a target from the outcome of a poll.
    void observe(const TargetObservation& observation);

    // Sets the number of instances that send requests to the same targets.
    void setSenderCount(std::size_t count);

    const Catalogue& catalogue() const { return *catalogue_; }

    std::shared_ptr<const Catalogue> sharedCatalogue() const { return catalogue_; }

    // Chooses a target for a request to `route` that is not in `excluded`; nothing if there is none.
    std::optional<TargetChoice> choose(RouteIndex route, const std::vector<TargetId>& excluded,
        const std::vector<PromptPrefix>& prefixes, std::uint32_t promptTokens, int priority);

    // Returns at most `limit` targets that can run a request to `route`, best first; those in `avoided` come last.
    std::vector<TargetChoice> chooseAll(RouteIndex route, const std::vector<TargetId>& avoided,
        const std::vector<PromptPrefix>& prefixes, std::uint32_t promptTokens, int priority, std::size_t limit);

    // The last reported incarnation of an engine; empty for plain services and engines that have not reported.
    EngineIncarnation incarnation(const TargetId& target) const;

    // Excludes a target from routing until it reports again, if its last reported incarnation is `incarnation`.
    void targetCrashed(const TargetId& target, const EngineIncarnation& incarnation);

    // Whether the artifact of `route` is resident on a live target.
    bool isResident(RouteIndex route) const;

    AdmissionDecision admit(const AdmissionRequest& request) { return admission_->decide(request, currentTime()); }

    // Records the arrival of a request in the retry budget of its team and in the demand for its route.
    void recordArrival(const TeamId& team, RouteIndex route);

    bool takeRetry(const TeamId& team) { return retryBudget_.takeRetry(team, currentTime()); }

    // Record the start and the end of an attempt. `service` is its duration if it was answered completely.
    void attemptStarted(const TargetId& target, const std::vector<PromptPrefix>& prefixes, int priority);
    void attemptEnded(const TargetId& target, RouteIndex route, std::optional<Duration> service, int priority);
    // Records that the connection to a target failed.
    void attemptFailed(const TargetId& target);

    // Returns the demand up to now.
    std::shared_ptr<const DemandSnapshot> demand();

private:
    struct Observed {
        bool live = true;
        std::vector<ArtifactSize> resident;
        EngineIncarnation incarnation;
        unsigned missedPolls = 0;
    };

    void rebuildIndex();
    ArtifactId loadedArtifact(const TargetId& target, RouteIndex route) const;

    InstanceId instance_;
    DataCentreId dataCentre_;
    std::shared_ptr<const Catalogue> catalogue_;
    std::shared_ptr<const RoutingIndex> index_;
    std::map<TargetId, Observed> observed_;
    std::size_t senderCount_ = 1;
    std::unique_ptr<LoadTable> loads_;
    std::unique_ptr<PrefixAffinity> affinity_;
    std::unique_ptr<Admission> admission_;
    std::unique_ptr<DemandTracker> demand_;
    RetryBudget retryBudget_;
    std::mt19937_64 random_{std::random_device{}()};
};

} // namespace lychee
