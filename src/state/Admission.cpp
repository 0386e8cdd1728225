#include "state/Admission.h"

#include <cmath>

namespace lychee {

namespace {

// Time constant of the exponential decay of a team's recent usage.
constexpr double usageDecaySeconds = 20;
// A team whose requests make up less than this fraction of all recently requested target time counts as inactive, so
// that the active teams can use its share.
constexpr double activeFraction = 0.01;
// Capacity counts as short when the predicted wait takes more than this fraction of the time that the caller can wait.
// A team that uses more than its share may still wait for this fraction.
constexpr double shortCapacityFraction = 0.25;
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
    std::vector<std::pair<TeamId, TeamUsage>> next;
    for (const Team& team : configuration.teams) {
        TeamUsage usage;
        for (const auto& [id, previous] : teams_) {
            if (id == team.id)
                usage = previous;
        }
        usage.share = team.share;
        next.emplace_back(team.id, usage);
    }
    teams_ = std::move(next);
}

void Admission::decay(TimePoint now)
{
    for (auto& [id, usage] : teams_) {
        const double factor = std::exp(-std::max(0.0, seconds(now - usage.updated)) / usageDecaySeconds);
        usage.admitted *= factor;
        usage.requested *= factor;
        usage.updated = now;
    }
}

double Admission::allowedWaitFraction(const TeamUsage& usage) const
{
    double requested = 0;
    double admitted = 0;
    for (const auto& [id, other] : teams_)
        requested += other.requested;
    double shares = 0;
    for (const auto& [id, other] : teams_) {
        if (other.requested < activeFraction * requested)
            continue;
        shares += other.share;
        admitted += other.admitted;
    }
    if (shares <= 0 || admitted <= 0 || usage.admitted <= 0)
        return 1;
    const double fairFraction = usage.share / shares;
    return std::min(1.0, fairFraction / (usage.admitted / admitted));
}

AdmissionDecision Admission::decide(const AdmissionRequest& request, TimePoint now)
{
    decay(now);
    const double service = seconds(request.expectedServiceTime);
    const auto found = std::find_if(
        teams_.begin(), teams_.end(), [&](const auto& candidate) { return candidate.first == request.team; });
    TeamUsage* usage = found == teams_.end() ? nullptr : &found->second;
    if (usage)
        usage->requested += service;
    if (!request.predictedWait)
        return refuse(StateError::NoTarget, 1, "no target can serve the request");
    const double wait = seconds(*request.predictedWait);
    const double maxWait = seconds(request.patience) - service;
    if (options_.enabled && wait > std::max(0.0, maxWait))
        return refuse(StateError::PatienceExceeded, wait - maxWait,
            "the predicted wait and service time exceed the caller's patience");
    if (options_.enabled && options_.fair && usage && wait > shortCapacityFraction * maxWait) {
        const double waitFraction = std::max(shortCapacityFraction, allowedWaitFraction(*usage));
        if (wait > waitFraction * maxWait)
            return refuse(StateError::Overloaded, wait - waitFraction * maxWait,
                "capacity is short and the team exceeds its share");
    }
    if (usage)
        usage->admitted += service;
    return {};
}

} // namespace lychee
