#include "daemon/CompletionCall.h"

#include "protocol/HeaderNames.h"
#include "protocol/ProtocolError.h"
#include "transport/Log.h"

namespace lychee {

namespace {

constexpr LogChannel logChannel("completion");

constexpr std::string_view chatPath = "/v1/chat/completions";

// Limit of attempts on targets for one request, including attempts that resume a stream.
constexpr std::uint64_t maxAttempts = 8;

// Interval at which a request without a target tries again to choose one.
constexpr Duration targetRetryInterval = std::chrono::milliseconds(50);

// Prompt prefixes are hashed in blocks of this size; about 64 tokens of English text.
constexpr std::size_t prefixBlockBytes = 256;

// Limit of the hashed prefix of a prompt, in blocks.
constexpr std::size_t maxPrefixBlocks = 32;

constexpr std::size_t bytesPerToken = 4;

constexpr std::chrono::seconds overloadRetryAfter{1};

// Limit of the candidate targets in a request for a trial.
constexpr std::size_t maxTrialTargets = 16;

// Limit of the request that cancels an attempt at its engine.
constexpr Duration cancelTimeout = std::chrono::seconds(1);

// Hashes of the prefixes of a prompt, longest first.
std::vector<PromptPrefix> hashPrefixes(const std::string& content, const ModelId& model)
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

std::optional<CompletionCall> CompletionCall::create(CallDependencies& dependencies, CallContext context)
{
    const HttpRequest& http = context.exchange.request();
    absl::StatusOr<ChatRequest> request = ChatRequest::parse(http.body, http.path() == chatPath);
    if (!request.ok()) {
        answerError(context, {400, "invalid_request", std::string(messageOf(request.status()))});
        return std::nullopt;
    }
    const Catalogue& catalogue = dependencies.dispatcher.catalogue();
    const Configuration& configuration = catalogue.configuration();
    const Model* model = configuration.model(request->model());
    const bool allowed
        = model && std::find(model->teams.begin(), model->teams.end(), context.team) != model->teams.end();
    const std::optional<RouteIndex> route = request->adapter().empty()
        ? catalogue.model(request->model())
        : catalogue.adapter(request->model(), request->adapter());
    if (!allowed || !route.has_value()) {
        answerError(context, {404, "unknown_model", "no such model or adapter is available to this team"});
        return std::nullopt;
    }
    const CallerClass* callerClass = configuration.callerClass(model->callerClass);
    if (const auto name = http.headers.find(header::callerClass)) {
        callerClass = configuration.callerClass(CallerClassId(std::string(*name)));
        if (!callerClass || callerClass->team != context.team) {
            answerError(context,
                {400, "unknown_class",
                    fmt::format("{} does not name a caller class of this team", header::callerClass)});
            return std::nullopt;
        }
    }
    const absl::StatusOr<TimePoint> deadline = patienceDeadline(context, *callerClass);
    if (!deadline.ok()) {
        answerError(context, {400, "invalid_patience", std::string(messageOf(deadline.status()))});
        return std::nullopt;
    }
    CompletionCall call(dependencies, std::move(context), *std::move(request));
    call.route_ = *route;
    call.classId_ = callerClass->id;
    call.priority_ = callerClass->priority;
    call.deadline_ = *deadline;
    call.bodyHash_ = crashingBodyHash(call.context_);
    call.prefixes_ = hashPrefixes(call.request_.content(), call.request_.model());
    return call;
}

void CompletionCall::run()
{
    dependencies_.dispatcher.recordArrival(context_.team, route_);
    dependencies_.metrics.count(Counter::Requests, context_.team);
    while (attempts_ < maxAttempts) {
        const std::optional<TargetChoice> choice = chooseTarget();
        if (!choice.has_value())
            break;
        const bool refused = attempts_ == 0 && !admit(*choice);
        const bool overBudget = attempts_ > 0 && !mayRetry();
        if (trial_.has_value() && (refused || overBudget))
            dependencies_.crashes.releaseTrial({bodyHash_, choice->target, trial_});
        if (refused)
            return;
        if (overBudget) {
            lastFailure_ = "the retry budget of the team is exhausted";
            break;
        }
        if (attempts_ > 0)
            dependencies_.metrics.count(lastToken_ > 0 ? Counter::Resumes : Counter::Retries, context_.team);
        ++attempts_;
        const AttemptResult result = attempt(*choice);
        if (result == AttemptResult::Finished)
            return;
        if (result == AttemptResult::Broken)
            mayHaveRun_ = true;
        triedTargets_.push_back(choice->target);
    }
    answerFailure();
}

bool CompletionCall::mayRetry()
{
    // A resumed stream uses the budget but is not refused when it is exhausted: the caller has read a part of the
    // answer, and the resumed attempt costs only the remaining tokens.
    return dependencies_.dispatcher.takeRetry(context_.team) || streamStarted_;
}

// Chooses a target for the next attempt. A request that is suspected of crashing targets runs only in a trial.
std::optional<TargetChoice> CompletionCall::chooseTarget()
{
    trial_.reset();
    while (true) {
        const BodyAdmission admission = dependencies_.crashes.admit(bodyHash_);
        if (admission == BodyAdmission::Quarantined)
            return std::nullopt;
        if (admission == BodyAdmission::Trial)
            return awaitTrial();
        std::optional<TargetChoice> choice = awaitTarget();
        // The request may have become suspected during the wait.
        if (!choice.has_value() || dependencies_.crashes.admit(bodyHash_) == BodyAdmission::Free)
            return choice;
    }
}

std::optional<TargetChoice> CompletionCall::awaitTrial()
{
    // A stream that has started is resumed even after the deadline, because its caller is still reading it.
    const TimePoint limit
        = streamStarted_ ? std::max(deadline_, currentTime() + trialStartLimit + targetRetryInterval) : deadline_;
    const auto promptTokens = static_cast<std::uint32_t>(request_.content().size() / bytesPerToken);
    while (dependencies_.crashes.admit(bodyHash_) == BodyAdmission::Trial) {
        const std::vector<TargetChoice> choices = dependencies_.dispatcher.chooseAll(
            route_, triedTargets_, prefixes_, promptTokens, priority_, maxTrialTargets);
        std::vector<TargetId> targets;
        targets.reserve(choices.size());
        for (const TargetChoice& choice : choices)
            targets.push_back(choice.target);
        const std::optional<BodyRun> run
            = targets.empty() ? std::nullopt : dependencies_.crashes.awaitTrial(bodyHash_, targets, limit);
        if (run.has_value()) {
            const auto granted = std::find_if(choices.begin(), choices.end(),
                [&](const TargetChoice& choice) { return choice.target == run->target; });
            const absl::Status loaded = granted->mustLoad
                ? dependencies_.ensureLoaded(granted->target, granted->artifact, limit)
                : absl::OkStatus();
            if (loaded.ok()) {
                trial_ = run->trial;
                return *granted;
            }
            dependencies_.crashes.releaseTrial(*run);
            lastFailure_ = std::string(messageOf(loaded));
        }
        if (currentTime() + targetRetryInterval >= limit || context_.exchange.isPeerGone())
            return std::nullopt;
        sleepFor(targetRetryInterval);
    }
    // A request with the same body has meanwhile completed, or crashed a second target.
    return dependencies_.crashes.admit(bodyHash_) == BodyAdmission::Free ? awaitTarget() : std::nullopt;
}

std::optional<TargetChoice> CompletionCall::awaitTarget()
{
    const auto promptTokens = static_cast<std::uint32_t>(request_.content().size() / bytesPerToken);
    while (true) {
        std::optional<TargetChoice> choice
            = dependencies_.dispatcher.choose(route_, triedTargets_, prefixes_, promptTokens, priority_);
        if (choice.has_value() && !choice->mustLoad)
            return choice;
        if (choice.has_value()) {
            const absl::Status loaded = dependencies_.ensureLoaded(choice->target, choice->artifact, deadline_);
            if (loaded.ok())
                return choice;
            lastFailure_ = std::string(messageOf(loaded));
        } else if (!triedTargets_.empty()) {
            // All candidates were tried; start over, since one of them may have recovered.
            triedTargets_.clear();
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
    const AdmissionDecision decision = dependencies_.dispatcher.admit(admission);
    if (decision.admitted)
        return true;
    const std::string_view code = ErrorTraits<StateError>::name(decision.reason);
    dependencies_.metrics.count(Counter::Refusals, context_.team, std::string(code));
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
    // A stream that has started may continue after the deadline, because its caller is still reading it.
    limits.deadline = streamStarted_ ? TimePoint::max() : deadline_;
    limits.connectTimeout = dependencies_.limits.connectTimeout;
    limits.interByteTimeout = dependencies_.limits.interByteTimeout;
    // Engines send the first byte of an unstreamed answer only after generating its last token, so silence before that
    // does not indicate a failure.
    if (!request_.stream())
        limits.interByteTimeout = std::max(limits.interByteTimeout, Duration(deadline_ - currentTime()));
    // After a failed attempt, pooled idle connections may be dead as well.
    limits.freshConnection = attempts_ > 1;
    return limits;
}

CompletionCall::AttemptResult CompletionCall::attempt(const TargetChoice& choice)
{
    const absl::StatusOr<std::unique_ptr<Attempt>> attempt
        = dependencies_.targets.start(choice.endpoint, buildRequest(choice), limits());
    if (!attempt.ok()) {
        lastFailure_ = std::string(messageOf(attempt.status()));
        return AttemptResult::NotRun;
    }
    Dispatcher& dispatcher = dependencies_.dispatcher;
    const TimePoint startedAt = currentTime();
    dispatcher.attemptStarted(choice.target, prefixes_, priority_);
    attemptOutcome_ = AttemptOutcome::Incomplete;
    const std::shared_ptr<TrackedAttempt> tracked = dependencies_.crashes.started(
        {bodyHash_, choice.target, trial_}, choice.endpoint, makeCancelFunction(choice, **attempt));
    const bool isWhole = lastToken_ == 0;
    const AttemptResult result = receive(**attempt, startedAt);
    // The remainder of a stream may end before the moment at which its request crashes engines, so it shows nothing.
    if (!isWhole && attemptOutcome_ == AttemptOutcome::Completed)
        attemptOutcome_ = AttemptOutcome::Incomplete;
    const bool finished = result == AttemptResult::Finished;
    dispatcher.attemptEnded(
        choice.target, route_, finished ? std::optional<Duration>(currentTime() - startedAt) : std::nullopt, priority_);
    if (!finished) {
        logChannel.info(
            "Request {} attempt {} on {} did not finish: {}.", context_.id, attempts_, choice.target, lastFailure_);
        dispatcher.attemptFailed(choice.target);
    }
    dependencies_.crashes.ended(tracked, attemptOutcome_);
    return result;
}

CompletionCall::AttemptResult CompletionCall::receive(Attempt& attempt, TimePoint startedAt)
{
    AttemptEvent event = attempt.next();
    if (const auto* failure = std::get_if<AttemptFailure>(&event)) {
        recordFailure(*failure);
        return failure->sent ? AttemptResult::Broken : AttemptResult::NotRun;
    }
    const auto* head = std::get_if<AttemptHead>(&event);
    return head ? relay(attempt, *head, startedAt) : AttemptResult::Broken;
}

void CompletionCall::recordFailure(const AttemptFailure& failure)
{
    lastFailure_ = std::string(messageOf(failure.status));
    if (failure.sent && errorOf<TransportError>(failure.status) == TransportError::ConnectionClosed)
        attemptOutcome_ = AttemptOutcome::ConnectionLost;
}

// Returns a function that ends the attempt when its body has crashed another target. The engine also gets a DELETE for
// the request id, because it notices a closed connection only when it sends the first token.
std::function<void()> CompletionCall::makeCancelFunction(const TargetChoice& choice, Attempt& attempt)
{
    return [this, &attempt, endpoint = choice.endpoint] {
        logChannel.info(
            "Request {} attempt {} is cancelled because its body crashed another target.", context_.id, attempts_);
        attempt.cancel();
        dependencies_.duty.spawn([&targets = dependencies_.targets, endpoint, id = context_.id] {
            HttpCallLimits limits;
            limits.deadline = currentTime() + cancelTimeout;
            targets.call(endpoint, {"DELETE", "/v1/requests/" + id.value()}, limits);
        });
    };
}

CompletionCall::AttemptResult CompletionCall::relay(Attempt& attempt, const AttemptHead& head, TimePoint startedAt)
{
    if (provesNotRun(head)) {
        lastFailure_ = fmt::format("target answered with status {} and did not run the request", head.status);
        return AttemptResult::NotRun;
    }
    if (head.status >= 500) {
        lastFailure_ = fmt::format("target answered with status {}", head.status);
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
        if (const auto* chunk = std::get_if<AttemptBodyChunk>(&event)) {
            response.body += chunk->bytes;
            continue;
        }
        if (const auto* failure = std::get_if<AttemptFailure>(&event)) {
            recordFailure(*failure);
            return AttemptResult::Broken;
        }
        attemptOutcome_ = AttemptOutcome::Completed;
        recordLatency(LatencyKind::WholeAnswer, currentTime() - context_.arrival);
        dependencies_.metrics.count(currentTime() <= deadline_ ? Counter::InTime : Counter::Late, context_.team);
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
            recordFailure(*failure);
            return AttemptResult::Broken;
        }
        if (std::holds_alternative<AttemptEnd>(event)) {
            lastFailure_ = "the stream of the target ended without its end marker";
            attemptOutcome_ = AttemptOutcome::ConnectionLost;
            return AttemptResult::Broken;
        }
        const auto* chunk = std::get_if<AttemptBodyChunk>(&event);
        if (!chunk)
            continue;
        const absl::StatusOr<std::vector<ServerEvent>> events = parser.feed(chunk->bytes);
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
        // Skip tokens that were already forwarded: a resumed stream may start earlier than requested.
        if (event.id != 0 && event.id <= lastToken_)
            continue;
        if (event.id > lastToken_ + 1) {
            lastFailure_ = fmt::format("the stream has a gap: token {} followed token {}", event.id, lastToken_);
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
        dependencies_.metrics.count(now <= deadline_ ? Counter::InTime : Counter::Late, context_.team);
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
        attemptOutcome_ = AttemptOutcome::Completed;
    // The caller has disconnected. Destroying the attempt cancels it on the target.
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
    if (const BodyAdmission admission = dependencies_.crashes.admit(bodyHash_); admission != BodyAdmission::Free) {
        const ErrorAnswer refusal = crashRefusal(admission, mayHaveRun_);
        dependencies_.metrics.count(Counter::Refusals, context_.team, std::string(refusal.code));
        answerError(context_, refusal);
        return;
    }
    dependencies_.metrics.count(Counter::Refusals, context_.team, "no target");
    const std::string reason = lastFailure_.empty() ? "no target can currently serve the model" : lastFailure_;
    answerError(
        context_, {503, "no_target", reason, mayHaveRun_ ? RunOutcome::Unknown : RunOutcome::No, overloadRetryAfter});
}

void CompletionCall::recordLatency(LatencyKind kind, Duration value)
{
    dependencies_.metrics.latency(kind, context_.team, classId_, value);
}

} // namespace lychee
