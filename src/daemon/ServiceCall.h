// Serves one call of a plain service. Idempotent calls are retried; all others run at most once.
#pragma once

#include "daemon/CallContext.h"
#include "daemon/CallDependencies.h"
#include "daemon/ClaimDriver.h"

namespace lychee {

// Runs in the fiber of the caller's connection.
class ServiceCallHandler {
public:
    // Validates a request for a path below /v1/services/NAME. When it is invalid, answers with an error and returns
    // nothing.
    static std::optional<ServiceCallHandler> create(CallDependencies& dependencies, CallContext context);

    // Serves the request until it is answered.
    void run();

private:
    ServiceCallHandler(CallDependencies& dependencies, CallContext context)
        : dependencies_(dependencies)
        , context_(std::move(context))
    {
    }

    void runIdempotent();
    void runAtMostOnce(const IdempotencyKey& key);
    ClaimCallOutcome callAtMostOnce(const std::shared_ptr<bool>& sent);
    void answerReply(const Reply& reply);
    std::optional<TargetChoice> chooseTarget();
    std::optional<TargetChoice> chooseWithoutTrial();
    std::optional<TargetChoice> awaitTrial();
    BodyAdmission admission() const { return dependencies_.crashes.admit(bodyHash_); }
    void answerCrashRefusal(bool mayHaveRun);
    HttpOutcome<HttpResponse> callTarget(const TargetChoice& choice, const HttpCallLimits& limits);
    void answerFailure(bool mayHaveRun);
    void recordAnswer();

    CallDependencies& dependencies_;
    CallContext context_;
    RouteIndex route_;
    CallerClassId classId_;
    int priority_ = 0;
    bool idempotent_ = false;
    HttpRequest request_;
    BodyHash bodyHash_;
    // Set while the call runs in isolation as a trial.
    std::optional<TrialId> trial_;
    // Set when a claimed call was not sent because it is suspected of crashing targets or quarantined.
    std::optional<BodyAdmission> crashAdmission_;
    TimePoint deadline_;
    std::vector<TargetId> triedTargets_;
    std::uint64_t attempts_ = 0;
    std::string lastFailure_;
};

// The hash of method, path and body, by which different calls under the same idempotency key are told apart.
BodyHash callHash(const HttpRequest& request);

} // namespace lychee
