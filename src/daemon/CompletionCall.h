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
    // Validates the request. When it is invalid, answers with an error and returns nothing.
    static std::optional<CompletionCall> create(CallDependencies& dependencies, CallContext context);

    // Serves the request until it is answered or its caller has disconnected.
    void run();

private:
    CompletionCall(CallDependencies& dependencies, CallContext context, ChatRequest request)
        : dependencies_(dependencies)
        , context_(std::move(context))
        , request_(std::move(request))
    {
    }

    enum class AttemptResult {
        // More of the answer is to come.
        Ongoing,
        // The caller got the complete answer, or has disconnected.
        Finished,
        // The request was not sent, or the target stated that it did not run it.
        NotRun,
        // The attempt failed after it was sent, and may be repeated or resumed.
        Broken,
    };

    bool admit(const TargetChoice& choice);
    // Whether another attempt is allowed. Takes one retry from the team's budget.
    bool mayRetry();
    std::optional<TargetChoice> chooseTarget();
    std::optional<TargetChoice> awaitTarget();
    std::optional<TargetChoice> awaitTrial();
    AttemptResult attempt(const TargetChoice& choice);
    AttemptResult receive(Attempt& attempt, TimePoint startedAt);
    std::function<void()> makeCancelFunction(const TargetChoice& choice, Attempt& attempt);
    void recordFailure(const AttemptFailure& failure);
    AttemptResult relay(Attempt& attempt, const AttemptHead& head, TimePoint startedAt);
    AttemptResult relayWhole(Attempt& attempt, const AttemptHead& head);
    AttemptResult relayStream(Attempt& attempt);
    AttemptResult relayEvents(const std::vector<ServerEvent>& events);
    AttemptResult forward(const ServerEvent& event);
    HttpRequest buildRequest(const TargetChoice& choice) const;
    HttpCallLimits limits() const;
    void answerFailure();
    void recordLatency(LatencyKind kind, Duration value);

    CallDependencies& dependencies_;
    CallContext context_;
    ChatRequest request_;
    RouteIndex route_;
    CallerClassId classId_;
    int priority_ = 0;
    TimePoint deadline_;
    std::vector<PromptPrefix> prefixes_;
    std::vector<TargetId> triedTargets_;
    BodyHash bodyHash_;
    // Set while the request runs in isolation as a trial.
    std::optional<TrialId> trial_;
    // How the current attempt ended.
    AttemptOutcome attemptOutcome_ = AttemptOutcome::Incomplete;
    std::uint64_t attempts_ = 0;
    // Whether a target may have run the request.
    bool mayHaveRun_ = false;
    bool streamStarted_ = false;
    std::uint64_t lastToken_ = 0;
    TimePoint lastTokenAt_;
    std::string lastFailure_;
};

} // namespace lychee
