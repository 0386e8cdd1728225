#include "state/Admission.h"

#include <cmath>

namespace lychee {

namespace {

// Recent use of a team decays with this time constant.
constexpr double useSeconds = 20;
// A team without at least this part of all recent requests is taken as absent, so that its share is free for others.
constexpr double activePart = 0.01;
// Capacity counts as short when the wait takes more than this part of the time that a caller can spare.
constexpr double shortPart = 0.25;
constexpr std::chrono::seconds maxRetryAfter(60);

double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

AdmissionDecision refuse(StateError reason, double retryAfterSeconds, std::string_view explanation)
{
    const std::chrono::seconds after(static_cast<std::int64_t>(std::ceil(std::max(1.0, retryAfterSeconds))));
    return {false, reason, std::min(after, maxRetryAfter), explanation};
}

} // namespace

Admission::Admission(const Configuration& configuration, AdmissionOptions options)
    : options_(options)
{
    adopt(configuration);
}

void Admission::adopt(const Configuration& configuration)
{
    std::vector<std::pair<TeamId, TeamUse>> next;
    for (const Team& team : configuration.teams) {
        TeamUse use;
        for (const auto& [id, previous] : teams_) {
            if (id == team.id)
                use = previous;
        }
        use.share = team.share;
        next.emplace_back(team.id, use);
    }
    teams_ = std::move(next);
}

void Admission::decay(TimePoint now)
{
    for (auto& [id, use] : teams_) {
        const double factor = std::exp(-std::max(0.0, seconds(now - use.updated)) / useSeconds);
        use.admitted *= factor;
        use.requested *= factor;
        use.updated = now;
    }
}

double Admission::allowedPart(const TeamUse& use) const
{
    double requested = 0;
    double admitted = 0;
    for (const auto& [id, other] : teams_)
        requested += other.requested;
    double shares = 0;
    for (const auto& [id, other] : teams_) {
        if (other.requested < activePart * requested)
            continue;
        shares += other.share;
        admitted += other.admitted;
    }
    if (shares <= 0 || admitted <= 0 || use.admitted <= 0)
        return 1;
    const double fairPart = use.share / shares;
    return std::min(1.0, fairPart / (use.admitted / admitted));
}

AdmissionDecision Admission::decide(const AdmissionRequest& request, TimePoint now)
{
    decay(now);
    const double service = seconds(request.expectedServiceTime);
    const auto found = std::find_if(
        teams_.begin(), teams_.end(), [&](const auto& candidate) { return candidate.first == request.team; });
    TeamUse* use = found == teams_.end() ? nullptr : &found->second;
    if (use)
        use->requested += service;
    if (!request.predictedWait)
        return refuse(StateError::NoTarget, 1, "no target can serve the request");
    const double wait = seconds(*request.predictedWait);
    const double spare = seconds(request.patience) - service;
    if (options_.enabled && wait > std::max(0.0, spare))
        return refuse(StateError::PatienceExceeded, wait - spare, "the predicted wait exceeds the caller's patience");
    if (options_.enabled && options_.fair && use && wait > shortPart * spare) {
        const double part = std::max(shortPart, allowedPart(*use));
        if (wait > part * spare)
            return refuse(StateError::Overloaded, wait - part * spare, "the team exceeds its share of short capacity");
    }
    if (use)
        use->admitted += service;
    return {};
}

} // namespace lychee
