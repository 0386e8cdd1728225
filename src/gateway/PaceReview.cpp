#include "gateway/PaceReview.h"

#include "transport/Log.h"

namespace lychee::gateway {

namespace {

inline constexpr LogChannel paceLog("pace");

constexpr Duration logInterval = std::chrono::seconds(10);

// Targets that are shown, so that neither a line nor the metrics grow with the deployment.
constexpr std::size_t maxLoggedTargets = 8;
constexpr std::size_t maxTargetGauges = 64;

std::int64_t ageMs(const fleet::PaceState& state)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(state.age).count();
}

} // namespace

void PaceReview::log(const fleet::TargetRegistry& registry, TimePoint now)
{
    if (loggedAt_ && now - *loggedAt_ < logInterval)
        return;
    loggedAt_ = now;
    std::string targets;
    for (const fleet::PaceState& state : registry.paces(now, maxLoggedTargets))
        targets += fmt::format("{}{}:{:.2f}:{}:{}", targets.empty() ? "" : ",", state.target, state.pace,
            fleet::nameOf(state.source), ageMs(state));
    if (!targets.empty())
        paceLog.info("targets={}", targets);
    for (const auto& [service, fraction] : registry.admittedFractions(now)) {
        if (fraction < 1)
            paceLog.info("service={} admitted={:.2f}", service, fraction);
    }
}

std::vector<Gauge> PaceReview::gauges(const fleet::TargetRegistry& registry, TimePoint now)
{
    const std::vector<fleet::PaceState> states = registry.paces(now, maxTargetGauges);
    std::vector<Gauge> gauges;
    gauges.reserve(2 * states.size());
    for (const fleet::PaceState& state : states)
        gauges.push_back({"target_pace", state.pace,
            fmt::format("target=\"{}\",source=\"{}\"", state.target, fleet::nameOf(state.source))});
    for (const fleet::PaceState& state : states)
        gauges.push_back({"target_pace_age_seconds", std::chrono::duration<double>(state.age).count(),
            fmt::format("target=\"{}\"", state.target)});
    for (const auto& [service, fraction] : registry.admittedFractions(now))
        gauges.push_back({"slot_share_admitted", fraction, fmt::format("service=\"{}\"", service)});
    std::size_t limited = 0;
    for (const auto& [target, perSecond] : registry.limits()) {
        if (++limited > maxTargetGauges)
            break;
        gauges.push_back({"target_request_limit", perSecond, fmt::format("target=\"{}\"", target)});
    }
    return gauges;
}

} // namespace lychee::gateway
