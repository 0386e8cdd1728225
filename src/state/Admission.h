// Decides whether a request is accepted before it is sent to a target.
#pragma once

#include "state/Catalogue.h"
#include "state/StateError.h"

namespace lychee {

// Switches of admission control for the ablation benchmark.
struct AdmissionOptions {
    bool enabled = true;
    bool fair = true;
};

struct AdmissionRequest {
    TeamId team;
    // Time left until the caller's patience runs out.
    Duration patience{0};
    // Estimated time until a slot is free; absent if no target can serve the request.
    std::optional<Duration> predictedWait;
    // Estimated time that the request runs on the target, without the wait for a slot.
    Duration expectedServiceTime{0};
};

// A refusal carries its reason and the time after which a retry is worthwhile.
struct AdmissionDecision {
    bool admitted = true;
    StateError reason = StateError::PatienceExceeded;
    std::chrono::seconds retryAfter{0};
    std::string_view explanation;
};

// Admission control of one instance. When capacity is short, a team that recently used more target time than its share
// may wait for only a part of the time that its callers can wait.
class Admission {
public:
    explicit Admission(const Configuration& configuration, AdmissionOptions options = {});

    // Applies a changed configuration; the recent usage of teams that remain is kept.
    void adopt(const Configuration& configuration);

    AdmissionDecision decide(const AdmissionRequest& request, TimePoint now);

private:
    struct TeamUsage {
        double share = 1;
        // Target time of admitted and of requested work, in seconds, decaying exponentially.
        double admitted = 0;
        double requested = 0;
        TimePoint updated;
    };

    void decay(TimePoint now);
    // The fraction, 0 to 1, of the time that a caller can wait for which requests of the team may be delayed.
    double allowedWaitFraction(const TeamUsage& usage) const;

    AdmissionOptions options_;
    std::vector<std::pair<TeamId, TeamUsage>> teams_;
};

} // namespace lychee
