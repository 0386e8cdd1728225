// Decides which requests an instance that is about to end may still begin.
#pragma once

#include "fleet/RouteTable.h"
#include "transport/RuntimeClock.h"

namespace lychee::fleet {

// What is known of a request before it is sent.
struct ExpectedRun {
    // Time until a target begins to work on it.
    Duration wait{0};
    // Time from the first event to the end of a stream.
    Duration streaming{0};
};

// Whether a request that is sent now will probably be answered before `end`. A request that may not be repeated needs
// more reserve, because its caller could not tell whether it has run.
bool canAnswerBefore(TimePoint end, const Route& route, const ExpectedRun& run, TimePoint now);

} // namespace lychee::fleet
