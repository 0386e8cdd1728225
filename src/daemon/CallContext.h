// Data and helper functions that the handlers of callers' requests share.
#pragma once

#include "coordination/CrashingRequestTracker.h"
#include "daemon/ErrorAnswer.h"
#include "protocol/Ids.h"
#include "state/Configuration.h"
#include "transport/HttpServer.h"

namespace lychee {

// One request of an authenticated caller.
struct CallContext {
    HttpExchange& exchange;
    RequestId id;
    TeamId team;
    std::shared_ptr<const Configuration> configuration;
    TimePoint arrival;
};

// Answers with an error. A failure to deliver it, because the caller has disconnected, is ignored.
void answerError(const CallContext& context, const ErrorAnswer& error);

// Forwards the complete answer of a target, with Lychee-Request-Id and Lychee-Run set.
absl::Status answerWith(const CallContext& context, HttpResponse response, RunOutcome run);

// The time until which the caller waits for an answer: its arrival plus the patience of its class, or the patience of
// the request's header if that is shorter. Fails with ProtocolError::Malformed when the header is not a number of
// milliseconds from 1 to one day.
absl::StatusOr<TimePoint> patienceDeadline(const CallContext& context, const CallerClass& callerClass);

// The hash of team, path and body, by which a request that crashes targets is recognized.
BodyHash crashingBodyHash(const CallContext& context);

// The error for a request that is quarantined, or that is suspected of crashing targets and was granted no isolated
// trial in time. `mayHaveRun` tells whether an earlier attempt may have run it.
ErrorAnswer crashRefusal(BodyAdmission admission, bool mayHaveRun);

// Copies the headers of a target's answer without those that concern the connection.
HttpHeaders contentHeaders(const HttpHeaders& headers);

} // namespace lychee
