// What the handlers of one request share.
#pragma once

#include "coordination/CrashingRequestTracker.h"
#include "daemon/ErrorAnswer.h"
#include "protocol/Ids.h"
#include "state/Configuration.h"
#include "transport/HttpServer.h"

namespace lychee {

// One request of a caller whose token was accepted.
struct CallContext {
    HttpExchange& exchange;
    RequestId id;
    TeamId team;
    std::shared_ptr<const Configuration> configuration;
    TimePoint arrival;
};

// Answers with an error; the caller may be gone, which changes nothing.
void answerError(const CallContext& context, const ErrorAnswer& error);

// Answers with a whole answer of a target, after adding the headers of the system.
absl::Status answerWith(const CallContext& context, HttpResponse response, RunOutcome run);

// The end of the caller's patience, which is that of the class unless the request states a shorter one. Fails with
// ProtocolError::Malformed on an absurd header.
absl::StatusOr<TimePoint> patienceDeadline(const CallContext& context, const CallerClass& callerClass);

// What a request is recognized by when it crashes targets: the hash of team, path and content.
BodyHash crashingBodyHash(const CallContext& context);

// The refusal of a request that is quarantined, or suspected and without a trial in time. `mayHaveRun` tells whether an
// earlier attempt may have run it.
ErrorAnswer crashRefusal(BodyAdmission admission, bool mayHaveRun);

// Copies the headers of a target's answer that concern its body.
HttpHeaders contentHeaders(const HttpHeaders& headers);

} // namespace lychee
