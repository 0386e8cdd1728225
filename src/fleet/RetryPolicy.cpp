#include "fleet/RetryPolicy.h"

namespace lychee::fleet {

namespace {

// Maximum number of sends for one attempt, including those that the target did not run. Each of them takes a place in
// the queue of a target; when this many targets have declined a request, the caller is told to retry later instead. A
// stream that has started is bounded by its timeouts instead.
constexpr int maxSends = 5;

} // namespace

bool mayRetryAfterUnknown(const Route& route, const SendHistory& history)
{
    return route.isRepeatable() && history.possibleRuns + 1 < route.attempts && history.sends + 1 < maxSends;
}

bool mayRunAgain(const Route& route, const SendHistory& history)
{
    return route.isRepeatable() && history.possibleRuns < route.attempts;
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
