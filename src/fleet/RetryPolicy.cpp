#include "fleet/RetryPolicy.h"

namespace lychee::fleet {

namespace {

// Sends of one attempt, with those that were not run. Each costs a place in the queue of a target, and a request that
// this many targets turned away is better told to come back.
constexpr int maxSends = 5;

} // namespace

bool mayRetryAfterUnknown(const Route& route, const SendHistory& history)
{
    return route.isRepeatable() && history.possibleRuns + 1 < route.attempts && history.sends + 1 < maxSends;
}

bool usesRetryBudget(SendResult result) { return result != SendResult::NotSent; }

NextStep nextStep(const Route& route, const SendHistory& history, SendResult result, bool budgetLeft)
{
    const bool allowed = history.sends < maxSends && (budgetLeft || !usesRetryBudget(result));
    const bool mayHaveRun = history.possibleRuns > 0;
    switch (result) {
    case SendResult::NotSent:
    case SendResult::NotRun:
        if (allowed)
            return NextStep::SendAgain;
        return mayHaveRun ? NextStep::ReportUnknown : NextStep::Refuse;
    case SendResult::OutcomeUnknown:
    case SendResult::TargetFailed:
        if (allowed && route.isRepeatable() && history.possibleRuns < route.attempts)
            return NextStep::SendAgain;
        return result == SendResult::TargetFailed ? NextStep::ForwardFailure : NextStep::ReportUnknown;
    }
    return NextStep::ReportUnknown;
}

} // namespace lychee::fleet
