// Serves one completion request: chooses targets, relays the answer, and resumes broken streams.
#pragma once

#include "daemon/CallContext.h"
#include "daemon/CallDependencies.h"
#include "protocol/ChatRequest.h"
#include "protocol/EventStream.h"

namespace lychee {

// Runs in the fiber of the caller's connection.
class CompletionCall {
public:
    // Checks the request. On a fault, the error is answered and nothing is returned.
    static std::optional<CompletionCall> create(CallDependencies& services, CallContext context);

    // Serves the request to its end.
    void run();

private:
    CompletionCall(CallDependencies& services, CallContext context, ChatRequest request)
        : services_(services)
        , context_(std::move(context))
        , request_(std::move(request))
    {
    }

    enum class AttemptResult {
        // The answer goes on.
        Ongoing,
        // The caller has its whole answer, or is gone.
        Finished,
        // The target proved that it did not run the request.
        NotRun,
        // The attempt broke and may be repeated or resumed.
        Broken,
    };

    bool admit(const TargetChoice& choice);
    // Whether another attempt is allowed. Takes from the team's retry budget.
    bool mayRetry();
    std::optional<TargetChoice> chooseTarget();
    std::optional<TargetChoice> awaitTarget();
    std::optional<TargetChoice> awaitTrial();
    AttemptResult attempt(const TargetChoice& choice);
    AttemptResult receive(Attempt& attempt, TimePoint startedAt);
    std::function<void()> canceller(const TargetChoice& choice, Attempt& attempt);
    void noteFailure(const AttemptFailure& failure);
    AttemptResult relay(Attempt& attempt, const AttemptHead& head, TimePoint startedAt);
    AttemptResult relayWhole(Attempt& attempt, const AttemptHead& head);
    AttemptResult relayStream(Attempt& attempt);
    AttemptResult relayEvents(const std::vector<ServerEvent>& events);
    AttemptResult forward(const ServerEvent& event);
    HttpRequest buildRequest(const TargetChoice& choice) const;
    HttpCallLimits limits() const;
    void answerFailure();
    void recordLatency(LatencyKind kind, Duration value);

    CallDependencies& services_;
    CallContext context_;
    ChatRequest request_;
    RouteIndex route_;
    CallerClassId classId_;
    int priority_ = 0;
    TimePoint deadline_;
    std::vector<PromptPrefix> prefixes_;
    std::vector<TargetId> tried_;
    BodyHash body_;
    // Set while the request runs in isolation.
    std::optional<TrialId> trial_;
    // How the current attempt ended.
    AttemptOutcome runEnd_ = AttemptOutcome::Incomplete;
    std::uint64_t attempts_ = 0;
    // Whether a byte of the request may have been run by a target.
    bool mayHaveRun_ = false;
    bool streamStarted_ = false;
    std::uint64_t lastToken_ = 0;
    TimePoint lastTokenAt_;
    std::string lastFailure_;
};

} // namespace lychee
