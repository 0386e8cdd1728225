// Decides whether a request is accepted, before it is sent anywhere.
#pragma once

#include "state/Catalogue.h"
#include "state/StateError.h"

namespace lychee {

// Switches of admission; they exist for the ablation benchmark.
struct AdmissionOptions {
    bool enabled = true;
    bool fair = true;
};

struct AdmissionRequest {
    TeamId team;
    // What is left of the caller's patience.
    Duration patience{0};
    // Estimated time until a slot is free; absent if no target can serve the request.
    std::optional<Duration> predictedWait;
    // Estimated time on the target.
    Duration expectedServiceTime{0};
};

// A refusal carries its reason and the time after which a retry is worthwhile.
struct AdmissionDecision {
    bool admitted = true;
    StateError reason = StateError::PatienceExceeded;
    std::chrono::seconds retryAfter{0};
    std::string_view explanation;
};

// Admission of one instance. Teams are told apart by their recent use of target time in relation to their shares.
class Admission {
public:
    explicit Admission(const Configuration& configuration, AdmissionOptions options = {});

    // Takes over a changed configuration; recent use is kept.
    void adopt(const Configuration& configuration);

    AdmissionDecision decide(const AdmissionRequest& request, TimePoint now);

private:
    struct TeamUse {
        double share = 1;
        // Target time of admitted and of requested work, decaying.
        double admitted = 0;
        double requested = 0;
        TimePoint updated;
    };

    void decay(TimePoint now);
    // The part of its patience that a team may spend on waiting, 0 to 1.
    double allowedPart(const TeamUse& use) const;

    AdmissionOptions options_;
    std::vector<std::pair<TeamId, TeamUse>> teams_;
};

} // namespace lychee
