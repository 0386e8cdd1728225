// How long a stream waits for a silent target, derived from the objectives of its route.
//
// A sound engine may pause for a second or more while it prefills long prompts, and giving its stream up is final: the
// rest of the answer is lost when no other target can continue it. So a silent target is given up only when its silence
// has used up half of what callers accept, which leaves the other half to continue the stream elsewhere.
#pragma once

#include "fleet/RouteTable.h"

namespace lychee::fleet {

// Sound targets pause for a second or a little longer; one that is silent beyond this time has probably failed.
inline constexpr Duration maxSoundSilence = std::chrono::milliseconds(1500);

// The longest gap before or between events that callers of the route accept; they abandon a stream after it.
Duration maxAcceptedGap(const Route& route);

// Silence of a target in the middle of a stream after which another target may continue the stream. A target of a pace
// above 1 is awaited for longer, as far as callers leave time to continue elsewhere.
Duration maxTargetSilence(const Route& route, double pace = 1);

// The longest silence of a sound target of this pace before its answer. Callers of streams accept less than callers of
// plain services, whose answer counts until the deadline.
Duration maxSilenceBeforeAnswer(const Route& route, double pace);

// Time after the last event within which an interrupted stream has to continue before most callers abandon it.
Duration resumeWindow(const Route& route);

} // namespace lychee::fleet
