#include "fleet/StopPolicy.h"

namespace lychee::fleet {

namespace {

// How many times the expected time has to be left.
constexpr int reserveRepeatable = 1;
constexpr int reserveNonRepeatable = 2;

} // namespace

bool canAnswerBefore(TimePoint end, const Route& route, const ExpectedRun& run, TimePoint now)
{
    if (end == TimePoint::max())
        return true;
    // Answers to plain requests usually come within the objective of their route.
    const Duration running = route.kind == RequestKind::Streaming ? run.streaming : route.latencyObjective;
    return now + (route.isRepeatable() ? reserveRepeatable : reserveNonRepeatable) * (run.wait + running) <= end;
}

} // namespace lychee::fleet
