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

// Lengthens a time by the pace of a target that is slower than usual.
Duration scaledByPace(Duration time, double pace)
{
    return std::chrono::duration_cast<Duration>(time * std::max(pace, 1.0));
}

// The same for a stream: a quarter of what its callers accept is left to continue it elsewhere.
Duration scaledByPace(Duration time, double pace, const Route& route)
{
    return std::max(time, std::min(scaledByPace(time, pace), maxAcceptedGap(route) / 4 * 3));
}

} // namespace

Duration maxAcceptedGap(const Route& route)
{
    return std::max({minAcceptedGap, acceptedLatencyObjectives * route.latencyObjective,
        acceptedGapObjectives * route.eventGapObjective});
}

Duration maxTargetSilence(const Route& route, double pace)
{
    return scaledByPace(std::clamp(maxAcceptedGap(route) / 2, maxSoundSilence, maxSilence), pace, route);
}

Duration maxSilenceBeforeAnswer(const Route& route, double pace)
{
    return route.kind == RequestKind::Streaming ? scaledByPace(maxSoundSilence, pace, route)
                                                : scaledByPace(maxSoundSilence, pace);
}

Duration resumeWindow(const Route& route) { return maxAcceptedGap(route) - resumeMargin; }

} // namespace lychee::fleet
