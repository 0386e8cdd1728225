// Serves one call of a plain service: idempotent calls are repeated where that is safe, others run at most once.
#pragma once

#include "daemon/CallContext.h"
#include "daemon/CallDependencies.h"
#include "daemon/ClaimDriver.h"

namespace lychee {

// Runs in the fiber of the caller's connection.
class ServiceCallHandler {
public:
    // Checks the request for the path below /v1/services/NAME. On a fault, the error is answered and nothing returned.
    static std::optional<ServiceCallHandler> create(CallDependencies& services, CallContext context);

    // Serves the request to its end.
    void run();

private:
    ServiceCallHandler(CallDependencies& services, CallContext context)
        : services_(services)
        , context_(std::move(context))
    {
    }

    void runIdempotent();
    void runAtMostOnce(const IdempotencyKey& key);
    ClaimCallOutcome callOnce(const std::shared_ptr<bool>& sent);
    void answerReply(const Reply& reply);
    std::optional<TargetChoice> chooseTarget();
    std::optional<TargetChoice> chooseFreely();
    std::optional<TargetChoice> awaitTrial();
    BodyAdmission admission() const { return services_.crashes.admit(body_); }
    void answerCrashRefusal(bool mayHaveRun);
    HttpOutcome<HttpResponse> callTarget(const TargetChoice& choice, const HttpCallLimits& limits);
    void answerFailure(bool mayHaveRun);
    void recordAnswer();

    CallDependencies& services_;
    CallContext context_;
    RouteIndex route_;
    CallerClassId classId_;
    int priority_ = 0;
    bool idempotent_ = false;
    HttpRequest request_;
    BodyHash body_;
    // Set while the call runs in isolation.
    std::optional<TrialId> trial_;
    // Why a claimed call was not made, if that is because it crashes targets.
    std::optional<BodyAdmission> refused_;
    TimePoint deadline_;
    std::vector<TargetId> tried_;
    std::uint64_t attempts_ = 0;
    std::string lastFailure_;
};

// The hash that tells one call from another under the same key.
BodyHash callHash(const HttpRequest& request);

} // namespace lychee
