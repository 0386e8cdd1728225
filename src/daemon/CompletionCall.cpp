#include "daemon/CompletionCall.h"

#include "protocol/HeaderNames.h"
#include "protocol/ProtocolError.h"
#include "transport/Log.h"

namespace lychee {

namespace {

constexpr LogChannel logChannel("completion");

constexpr std::string_view chatPath = "/v1/chat/completions";

// Attempts on targets for one request; a stream may be resumed more often, because each attempt makes progress.
constexpr std::uint64_t maxAttempts = 8;

// How often a request that found no target looks again.
constexpr Duration targetRetryInterval = std::chrono::milliseconds(50);

// Prompts are compared in blocks of this many bytes; about 64 tokens of English text.
constexpr std::size_t prefixBlockBytes = 256;

// Longest part of a prompt that is compared, in blocks.
constexpr std::size_t maxPrefixBlocks = 32;

constexpr std::size_t bytesPerToken = 4;

constexpr std::chrono::seconds overloadRetryAfter{1};

// Targets that a request for a trial names.
constexpr std::size_t maxTrialTargets = 16;

// Longest wait of the cancellation of an attempt.
constexpr Duration cancelTimeout = std::chrono::seconds(1);

// Prefixes of the content, the longest first.
std::vector<PromptPrefix> prefixesOf(const std::string& content, const ModelId& model)
{
    std::vector<PromptPrefix> prefixes;
    std::uint64_t hash = stableHash(model.value());
    const std::size_t blocks = std::min(content.size() / prefixBlockBytes, maxPrefixBlocks);
    for (std::size_t block = 0; block < blocks; ++block) {
        const std::string_view text(content.data() + block * prefixBlockBytes, prefixBlockBytes);
        hash = mixHashes(hash, stableHash(text));
        const auto tokens = static_cast<std::uint32_t>((block + 1) * prefixBlockBytes / bytesPerToken);
        prefixes.insert(prefixes.begin(), {hash, tokens});
    }
    return prefixes;
}

bool provesNotRun(const AttemptHead& head) { return head.headers.find(header::run) == runOutcomeText(RunOutcome::No); }

} // namespace

std::optional<CompletionCall> CompletionCall::create(CallDependencies& services, CallContext context)
{
    const HttpRequest& http = context.exchange.request();
    absl::StatusOr<ChatRequest> request = ChatRequest::parse(http.body, http.path() == chatPath);
    if (!request.ok()) {
        answerError(context, {400, "invalid_request", std::string(messageOf(request.status()))});
        return std::nullopt;
    }
    const Catalogue& catalogue = services.dispatcher.catalogue();
    const Configuration& configuration = catalogue.configuration();
    const Model* model = configuration.model(request->model());
    const bool allowed
        = model && std::find(model->teams.begin(), model->teams.end(), context.team) != model->teams.end();
    const std::optional<RouteIndex> route = request->adapter().empty()
        ? catalogue.model(request->model())
        : catalogue.adapter(request->model(), request->adapter());
    if (!allowed || !route.has_value()) {
        answerError(context, {404, "unknown_model", "no such model or adapter for this team"});
        return std::nullopt;
    }
    const CallerClass* callerClass = configuration.callerClass(model->callerClass);
    if (const auto name = http.headers.find(header::callerClass)) {
        callerClass = configuration.callerClass(CallerClassId(std::string(*name)));
        if (!callerClass || callerClass->team != context.team) {
            answerError(
                context, {400, "unknown_class", fmt::format("{} names no class of this team", header::callerClass)});
            return std::nullopt;
        }
    }
    const absl::StatusOr<TimePoint> deadline = patienceDeadline(context, *callerClass);
    if (!deadline.ok()) {
        answerError(context, {400, "invalid_patience", std::string(messageOf(deadline.status()))});
        return std::nullopt;
    }
    CompletionCall call(services, std::move(context), *std::move(request));
    call.route_ = *route;
    call.classId_ = callerClass->id;
    call.priority_ = callerClass->priority;
    call.deadline_ = *deadline;
    call.body_ = crashingBodyHash(call.context_);
    call.prefixes_ = prefixesOf(call.request_.content(), call.request_.model());
    return call;
}

void CompletionCall::run()
{
    services_.dispatcher.recordArrival(context_.team, route_);
    services_.metrics.count(Counter::Requests, context_.team);
    while (attempts_ < maxAttempts) {
        const std::optional<TargetChoice> choice = chooseTarget();
        if (!choice.has_value())
            break;
        const bool refused = attempts_ == 0 && !admit(*choice);
        const bool overBudget = attempts_ > 0 && !mayRetry();
        if (trial_.has_value() && (refused || overBudget))
            services_.crashes.releaseTrial({body_, choice->target, trial_});
        if (refused)
            return;
        if (overBudget) {
            lastFailure_ = "the team's retry budget is used up";
            break;
        }
        if (attempts_ > 0)
            services_.metrics.count(lastToken_ > 0 ? Counter::Resumes : Counter::Retries, context_.team);
        ++attempts_;
        const AttemptResult result = attempt(*choice);
        if (result == AttemptResult::Finished)
            return;
        if (result == AttemptResult::Broken)
            mayHaveRun_ = true;
        tried_.push_back(choice->target);
    }
    answerFailure();
}

bool CompletionCall::mayRetry()
{
    // A resumed stream counts against the budget but is not refused: the caller has read a part of the answer, and the
    // resumed attempt costs only the remaining tokens.
    return services_.dispatcher.takeRetry(context_.team) || streamStarted_;
}

// A target for the next attempt, under the rules for requests that crash targets.
std::optional<TargetChoice> CompletionCall::chooseTarget()
{
    trial_.reset();
    while (true) {
        const BodyAdmission admission = services_.crashes.admit(body_);
        if (admission == BodyAdmission::Quarantined)
            return std::nullopt;
        if (admission == BodyAdmission::Trial)
            return awaitTrial();
        std::optional<TargetChoice> choice = awaitTarget();
        // A strike may have come during the wait.
        if (!choice.has_value() || services_.crashes.admit(body_) == BodyAdmission::Free)
            return choice;
    }
}

std::optional<TargetChoice> CompletionCall::awaitTrial()
{
    // The caller of a stream that has started is reading it; the stream is resumed even after the patience.
    const TimePoint limit
        = streamStarted_ ? std::max(deadline_, currentTime() + trialStartLimit + targetRetryInterval) : deadline_;
    const auto promptTokens = static_cast<std::uint32_t>(request_.content().size() / bytesPerToken);
    while (services_.crashes.admit(body_) == BodyAdmission::Trial) {
        const std::vector<TargetChoice> choices
            = services_.dispatcher.chooseAll(route_, tried_, prefixes_, promptTokens, priority_, maxTrialTargets);
        std::vector<TargetId> targets;
        targets.reserve(choices.size());
        for (const TargetChoice& choice : choices)
            targets.push_back(choice.target);
        const std::optional<BodyRun> run
            = targets.empty() ? std::nullopt : services_.crashes.awaitTrial(body_, targets, limit);
        if (run.has_value()) {
            const auto granted = std::find_if(choices.begin(), choices.end(),
                [&](const TargetChoice& choice) { return choice.target == run->target; });
            const absl::Status loaded = granted->mustLoad
                ? services_.ensureLoaded(granted->target, granted->artifact, limit)
                : absl::OkStatus();
            if (loaded.ok()) {
                trial_ = run->trial;
                return *granted;
            }
            services_.crashes.releaseTrial(*run);
            lastFailure_ = std::string(messageOf(loaded));
        }
        if (currentTime() + targetRetryInterval >= limit || context_.exchange.isPeerGone())
            return std::nullopt;
        sleepFor(targetRetryInterval);
    }
    // Another copy of the request has completed or crashed a second target.
    return services_.crashes.admit(body_) == BodyAdmission::Free ? awaitTarget() : std::nullopt;
}

std::optional<TargetChoice> CompletionCall::awaitTarget()
{
    const auto promptTokens = static_cast<std::uint32_t>(request_.content().size() / bytesPerToken);
    while (true) {
        std::optional<TargetChoice> choice
            = services_.dispatcher.choose(route_, tried_, prefixes_, promptTokens, priority_);
        if (choice.has_value() && !choice->mustLoad)
            return choice;
        if (choice.has_value()) {
            const absl::Status loaded = services_.ensureLoaded(choice->target, choice->artifact, deadline_);
            if (loaded.ok())
                return choice;
            lastFailure_ = std::string(messageOf(loaded));
        } else if (!tried_.empty()) {
            // All candidates were tried; one that recovered may be tried again.
            tried_.clear();
        }
        if (currentTime() + targetRetryInterval >= deadline_ || context_.exchange.isPeerGone())
            return std::nullopt;
        sleepFor(targetRetryInterval);
    }
}

bool CompletionCall::admit(const TargetChoice& choice)
{
    AdmissionRequest admission;
    admission.team = context_.team;
    admission.patience = deadline_ - currentTime();
    admission.predictedWait = choice.predictedWait;
    admission.expectedServiceTime = choice.expectedServiceTime;
    const AdmissionDecision decision = services_.dispatcher.admit(admission);
    if (decision.admitted)
        return true;
    const std::string_view code = ErrorTraits<StateError>::name(decision.reason);
    services_.metrics.count(Counter::Refusals, context_.team, std::string(code));
    answerError(context_, {503, code, std::string(decision.explanation), RunOutcome::No, decision.retryAfter});
    return false;
}

HttpRequest CompletionCall::buildRequest(const TargetChoice& choice) const
{
    HttpRequest request;
    request.method = "POST";
    request.target = std::string(context_.exchange.request().path());
    request.headers.set(header::contentType, "application/json");
    request.headers.set(header::requestId, context_.id.value());
    request.headers.set(header::attempt, std::to_string(attempts_));
    request.headers.set(header::priority, std::to_string(priority_));
    if (lastToken_ > 0)
        request.headers.set(header::resumeAfter, std::to_string(lastToken_));
    request.body = request_.bodyFor(choice.artifact);
    return request;
}

HttpCallLimits CompletionCall::limits() const
{
    HttpCallLimits limits;
    // A stream that has started goes on past the caller's patience: the caller is reading it.
    limits.deadline = streamStarted_ ? TimePoint::max() : deadline_;
    limits.connectTimeout = services_.limits.connectTimeout;
    limits.interByteTimeout = services_.limits.interByteTimeout;
    // Engines send the first byte of a whole answer after its last token, so silence before it proves nothing.
    if (!request_.stream())
        limits.interByteTimeout = std::max(limits.interByteTimeout, Duration(deadline_ - currentTime()));
    // The idle connections of a failed target may be as silent as the one that failed.
    limits.freshConnection = attempts_ > 1;
    return limits;
}

CompletionCall::AttemptResult CompletionCall::attempt(const TargetChoice& choice)
{
    const absl::StatusOr<std::unique_ptr<Attempt>> attempt
        = services_.targets.start(choice.endpoint, buildRequest(choice), limits());
    if (!attempt.ok()) {
        lastFailure_ = std::string(messageOf(attempt.status()));
        return AttemptResult::NotRun;
    }
    Dispatcher& dispatcher = services_.dispatcher;
    const TimePoint startedAt = currentTime();
    dispatcher.attemptStarted(choice.target, prefixes_, priority_);
    runEnd_ = AttemptOutcome::Incomplete;
    const std::shared_ptr<TrackedAttempt> watched
        = services_.crashes.started({body_, choice.target, trial_}, choice.endpoint, canceller(choice, **attempt));
    const AttemptResult result = receive(**attempt, startedAt);
    const bool finished = result == AttemptResult::Finished;
    dispatcher.attemptEnded(
        choice.target, route_, finished ? std::optional<Duration>(currentTime() - startedAt) : std::nullopt, priority_);
    if (!finished) {
        logChannel.info(
            "Request {} attempt {} on {} did not finish: {}.", context_.id, attempts_, choice.target, lastFailure_);
        dispatcher.attemptFailed(choice.target);
    }
    services_.crashes.ended(watched, runEnd_);
    return result;
}

CompletionCall::AttemptResult CompletionCall::receive(Attempt& attempt, TimePoint startedAt)
{
    AttemptEvent event = attempt.next();
    if (const auto* failure = std::get_if<AttemptFailure>(&event)) {
        noteFailure(*failure);
        return failure->sent ? AttemptResult::Broken : AttemptResult::NotRun;
    }
    const auto* head = std::get_if<AttemptHead>(&event);
    return head ? relay(attempt, *head, startedAt) : AttemptResult::Broken;
}

void CompletionCall::noteFailure(const AttemptFailure& failure)
{
    lastFailure_ = std::string(messageOf(failure.status));
    if (failure.sent && errorOf<TransportError>(failure.status) == TransportError::ConnectionClosed)
        runEnd_ = AttemptOutcome::ConnectionLost;
}

// Ends an attempt whose body crashed another target. The engine is told by the request's id too, because an attempt
// that waits for its first token notices only then that it was given up.
std::function<void()> CompletionCall::canceller(const TargetChoice& choice, Attempt& attempt)
{
    return [this, &attempt, endpoint = choice.endpoint] {
        logChannel.info("Request {} attempt {} is cancelled: its body crashed another target.", context_.id, attempts_);
        attempt.cancel();
        services_.duty.spawn([&targets = services_.targets, endpoint, id = context_.id] {
            HttpCallLimits limits;
            limits.deadline = currentTime() + cancelTimeout;
            targets.call(endpoint, {"DELETE", "/v1/requests/" + id.value()}, limits);
        });
    };
}

CompletionCall::AttemptResult CompletionCall::relay(Attempt& attempt, const AttemptHead& head, TimePoint startedAt)
{
    if (provesNotRun(head)) {
        lastFailure_ = fmt::format("target answered {} without running the request", head.status);
        return AttemptResult::NotRun;
    }
    if (head.status >= 500) {
        lastFailure_ = fmt::format("target answered {}", head.status);
        return AttemptResult::Broken;
    }
    recordLatency(LatencyKind::Wait, currentTime() - startedAt);
    if (request_.stream() && head.status == 200)
        return relayStream(attempt);
    return relayWhole(attempt, head);
}

CompletionCall::AttemptResult CompletionCall::relayWhole(Attempt& attempt, const AttemptHead& head)
{
    HttpResponse response{head.status, head.headers, {}};
    while (true) {
        AttemptEvent event = attempt.next();
        if (const auto* piece = std::get_if<AttemptBodyChunk>(&event)) {
            response.body += piece->bytes;
            continue;
        }
        if (const auto* failure = std::get_if<AttemptFailure>(&event)) {
            noteFailure(*failure);
            return AttemptResult::Broken;
        }
        runEnd_ = AttemptOutcome::Completed;
        recordLatency(LatencyKind::WholeAnswer, currentTime() - context_.arrival);
        services_.metrics.count(currentTime() <= deadline_ ? Counter::InTime : Counter::Late, context_.team);
        answerWith(context_, std::move(response), RunOutcome::Yes).IgnoreError();
        return AttemptResult::Finished;
    }
}

CompletionCall::AttemptResult CompletionCall::relayStream(Attempt& attempt)
{
    EventStreamParser parser;
    while (true) {
        AttemptEvent event = attempt.next();
        if (const auto* failure = std::get_if<AttemptFailure>(&event)) {
            noteFailure(*failure);
            return AttemptResult::Broken;
        }
        if (std::holds_alternative<AttemptEnd>(event)) {
            lastFailure_ = "the stream ended without its end marker";
            runEnd_ = AttemptOutcome::ConnectionLost;
            return AttemptResult::Broken;
        }
        const auto* piece = std::get_if<AttemptBodyChunk>(&event);
        if (!piece)
            continue;
        const absl::StatusOr<std::vector<ServerEvent>> events = parser.feed(piece->bytes);
        if (!events.ok()) {
            lastFailure_ = std::string(messageOf(events.status()));
            return AttemptResult::Broken;
        }
        const AttemptResult result = relayEvents(*events);
        if (result != AttemptResult::Ongoing)
            return result;
    }
}

CompletionCall::AttemptResult CompletionCall::relayEvents(const std::vector<ServerEvent>& events)
{
    for (const ServerEvent& event : events) {
        // A token that was already forwarded arrives again after a resume that started too early.
        if (event.id != 0 && event.id <= lastToken_)
            continue;
        if (event.id > lastToken_ + 1) {
            lastFailure_ = fmt::format("token {} followed token {}", event.id, lastToken_);
            return AttemptResult::Broken;
        }
        const AttemptResult result = forward(event);
        if (result != AttemptResult::Ongoing)
            return result;
    }
    return AttemptResult::Ongoing;
}

CompletionCall::AttemptResult CompletionCall::forward(const ServerEvent& event)
{
    HttpExchange& exchange = context_.exchange;
    const TimePoint now = currentTime();
    if (!streamStarted_) {
        HttpHeaders headers{{header::contentType, "text/event-stream"}, {header::requestId, context_.id.value()},
            {header::run, std::string(runOutcomeText(RunOutcome::Yes))}};
        streamStarted_ = true;
        recordLatency(LatencyKind::FirstToken, now - context_.arrival);
        services_.metrics.count(now <= deadline_ ? Counter::InTime : Counter::Late, context_.team);
        if (!exchange.beginStream(200, headers).ok())
            return AttemptResult::Finished;
    } else if (event.id != 0) {
        recordLatency(LatencyKind::BetweenTokens, now - lastTokenAt_);
    }
    if (event.id != 0) {
        lastToken_ = event.id;
        lastTokenAt_ = now;
    }
    if (event.isEndMarker())
        runEnd_ = AttemptOutcome::Completed;
    // A caller that is gone needs no more tokens; dropping the attempt cancels it on the target.
    if (!exchange.write(formatEvent(event)).ok())
        return AttemptResult::Finished;
    if (!event.isEndMarker())
        return AttemptResult::Ongoing;
    recordLatency(LatencyKind::WholeAnswer, now - context_.arrival);
    exchange.endStream().IgnoreError();
    return AttemptResult::Finished;
}

void CompletionCall::answerFailure()
{
    if (streamStarted_) {
        logChannel.warning("Request {} ends incomplete after token {}: {}.", context_.id, lastToken_, lastFailure_);
        context_.exchange.abort();
        return;
    }
    if (const BodyAdmission admission = services_.crashes.admit(body_); admission != BodyAdmission::Free) {
        const ErrorAnswer refusal = crashRefusal(admission, mayHaveRun_);
        services_.metrics.count(Counter::Refusals, context_.team, std::string(refusal.code));
        answerError(context_, refusal);
        return;
    }
    services_.metrics.count(Counter::Refusals, context_.team, "no target");
    const std::string reason = lastFailure_.empty() ? "no target can serve the model now" : lastFailure_;
    answerError(
        context_, {503, "no_target", reason, mayHaveRun_ ? RunOutcome::Unknown : RunOutcome::No, overloadRetryAfter});
}

void CompletionCall::recordLatency(LatencyKind kind, Duration value)
{
    services_.metrics.latency(kind, context_.team, classId_, value);
}

} // namespace lychee
