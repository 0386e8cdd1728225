#include "fleet/StreamTimeouts.h"

#include <algorithm>

namespace lychee::fleet {

namespace {

// Callers abandon a stream after the longest of these gaps.
constexpr Duration minAcceptedGap = std::chrono::seconds(2);
constexpr int acceptedLatencyObjectives = 4;
constexpr int acceptedGapObjectives = 8;

// A target that is silent beyond this time is treated as failed, even where callers accept longer gaps.
constexpr Duration maxSilence = std::chrono::milliseconds(2500);

// The time that a continued stream needs to reach its caller.
constexpr Duration resumeMargin = std::chrono::milliseconds(200);

} // namespace

Duration maxAcceptedGap(const Route& route)
{
    return std::max({minAcceptedGap, acceptedLatencyObjectives * route.latencyObjective,
        acceptedGapObjectives * route.eventGapObjective});
}

Duration maxTargetSilence(const Route& route, double pace)
{
    const Duration usual = std::clamp(maxAcceptedGap(route) / 2, maxSoundSilence, maxSilence);
    return std::max(usual, std::min(scaledByPace(usual, pace), maxAcceptedGap(route) / 4 * 3));
}

Duration scaledByPace(Duration time, double pace)
{
    return std::chrono::duration_cast<Duration>(time * std::max(pace, 1.0));
}

Duration resumeWindow(const Route& route) { return maxAcceptedGap(route) - resumeMargin; }

} // namespace lychee::fleet
