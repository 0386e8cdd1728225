// Decides what follows a send that did not deliver an answer: which requests may be sent again, and what the caller
// may truthfully be told.
#pragma once

#include "fleet/RouteTable.h"

namespace lychee::fleet {

// How one send ended, as far as its request is concerned.
enum class SendResult {
    // No byte of the request was sent.
    NotSent,
    // The target states that it has not run the request.
    NotRun,
    // A byte was sent and no usable answer came; the request may have run.
    OutcomeUnknown,
    // The target ran the request and reports a failure.
    TargetFailed,
};

// What is known of one attempt of a caller after its sends so far.
struct SendHistory {
    // All sends, and those after which the request may have run.
    int sends = 0;
    int possibleRuns = 0;

    void add(SendResult result)
    {
        ++sends;
        if (result == SendResult::OutcomeUnknown || result == SendResult::TargetFailed)
            ++possibleRuns;
    }
};

enum class NextStep {
    SendAgain,
    // Say that the request has not run.
    Refuse,
    // Say that its outcome is unknown.
    ReportUnknown,
    // Hand over the failure that the target reported.
    ForwardFailure,
};

// Whether the request may be sent to another target once the outcome of its next send is unknown.
bool mayRetryAfterUnknown(const Route& route, const SendHistory& history);

// The step after a send; `history` includes it. `budgetLeft` tells whether the retry budget allows one more send.
NextStep nextStep(const Route& route, const SendHistory& history, SendResult result, bool budgetLeft);

// Whether a send after this result draws on the retry budget. A send that never reached a target does not.
bool usesRetryBudget(SendResult result);

} // namespace lychee::fleet
