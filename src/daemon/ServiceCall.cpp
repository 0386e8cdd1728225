#include "daemon/ServiceCall.h"

#include "protocol/Digest.h"
#include "protocol/HeaderNames.h"
#include "transport/Log.h"

namespace lychee {

namespace {

constexpr LogChannel logChannel("service");

constexpr std::string_view pathPrefix = "/v1/services/";

constexpr std::uint64_t maxAttempts = 4;

// Longest accepted idempotency key, in bytes.
constexpr std::size_t maxKeyBytes = 200;

// Time after the caller's deadline for which the outcome of a call that was sent is awaited, so that it can be stored.
constexpr Duration outcomeGrace = std::chrono::seconds(60);

constexpr std::chrono::seconds overloadRetryAfter{1};

// Limit of the candidate targets in a request for a trial.
constexpr std::size_t maxTrialTargets = 16;

// Pause between requests for a trial.
constexpr Duration trialRetryInterval = std::chrono::milliseconds(50);

AttemptOutcome attemptOutcomeOf(const HttpOutcome<HttpResponse>& outcome)
{
    if (outcome.status.ok())
        return AttemptOutcome::Completed;
    const bool closed = errorOf<TransportError>(outcome.status) == TransportError::ConnectionClosed;
    return outcome.sent && closed ? AttemptOutcome::ConnectionLost : AttemptOutcome::Incomplete;
}

// Headers of the caller that are not forwarded: they concern its connection or its credentials, or are replaced.
constexpr std::array<std::string_view, 7> droppedHeaders{
    "host", "connection", "content-length", "transfer-encoding", "authorization", "lychee-patience-ms", "expect"};

bool isVisibleAscii(std::string_view text)
{
    return std::all_of(text.begin(), text.end(), [](char c) { return c > ' ' && c < 127; });
}

// Decided by the header alone, so it holds for an answer that was cut, too.
bool provesNotRun(const HttpResponse& response)
{
    return response.headers.find(header::run) == runOutcomeText(RunOutcome::No);
}

const ServiceCall* findCall(const Service& service, const HttpRequest& request, std::string_view path)
{
    const ServiceCall* best = nullptr;
    for (const ServiceCall& call : service.calls) {
        if (call.method != request.method || !path.starts_with(call.pathPrefix))
            continue;
        if (!best || call.pathPrefix.size() > best->pathPrefix.size())
            best = &call;
    }
    return best;
}

} // namespace

BodyHash callHash(const HttpRequest& request)
{
    // Each part is preceded by its length, so that two different calls can never give the same text to hash.
    return BodyHash(sha256Hex(fmt::format("{}\n{} {}\n{}\n{}", request.method, request.target.size(), request.target,
        request.body.size(), request.body)));
}

std::optional<ServiceCallHandler> ServiceCallHandler::create(CallDependencies& dependencies, CallContext context)
{
    const HttpRequest& http = context.exchange.request();
    const Catalogue& catalogue = dependencies.dispatcher.catalogue();
    const Configuration& configuration = catalogue.configuration();
    std::string_view rest = std::string_view(http.target).substr(pathPrefix.size());
    const std::string_view name = rest.substr(0, rest.find_first_of("/?"));
    const std::string target = rest.size() > name.size() ? std::string(rest.substr(name.size())) : std::string("/");
    const Service* service = configuration.service(ServiceId(std::string(name)));
    const bool allowed
        = service && std::find(service->teams.begin(), service->teams.end(), context.team) != service->teams.end();
    if (!allowed) {
        answerError(context, {404, "unknown_service", "no such service is available to this team"});
        return std::nullopt;
    }
    const std::string_view path = std::string_view(target).substr(0, target.find('?'));
    const ServiceCall* call = findCall(*service, http, path);
    if (!call) {
        answerError(context,
            {404, "undeclared_call", fmt::format("{} {} is not declared for this service", http.method, path)});
        return std::nullopt;
    }
    const CallerClass* callerClass = configuration.callerClass(call->callerClass);
    const absl::StatusOr<TimePoint> deadline = patienceDeadline(context, *callerClass);
    if (!deadline.ok()) {
        answerError(context, {400, "invalid_patience", std::string(messageOf(deadline.status()))});
        return std::nullopt;
    }
    ServiceCallHandler handler(dependencies, std::move(context));
    handler.route_ = *catalogue.service(service->id);
    handler.classId_ = callerClass->id;
    handler.priority_ = callerClass->priority;
    handler.idempotent_ = call->idempotent;
    handler.deadline_ = *deadline;
    handler.request_ = http;
    handler.bodyHash_ = crashingBodyHash(handler.context_);
    handler.request_.target = target;
    for (const std::string_view dropped : droppedHeaders)
        handler.request_.headers.remove(dropped);
    handler.request_.headers.set(header::requestId, handler.context_.id.value());
    return handler;
}

void ServiceCallHandler::run()
{
    dependencies_.metrics.count(Counter::Requests, context_.team);
    dependencies_.dispatcher.recordArrival(context_.team, route_);
    if (idempotent_) {
        runIdempotent();
        return;
    }
    const auto key = request_.headers.find(header::idempotencyKey);
    if (!key.has_value() || key->empty() || key->size() > maxKeyBytes || !isVisibleAscii(*key)) {
        answerError(context_,
            {400, "idempotency_key_required",
                fmt::format("this call is not idempotent and needs the header {} with 1 to {} visible ASCII characters",
                    header::idempotencyKey, maxKeyBytes)});
        return;
    }
    runAtMostOnce(IdempotencyKey(std::string(*key)));
}

// Chooses a target for the next attempt. A call that is suspected of crashing targets runs only in a trial.
std::optional<TargetChoice> ServiceCallHandler::chooseTarget()
{
    trial_.reset();
    if (admission() == BodyAdmission::Trial) {
        if (std::optional<TargetChoice> choice = awaitTrial())
            return choice;
    }
    return admission() == BodyAdmission::Free ? chooseWithoutTrial() : std::nullopt;
}

std::optional<TargetChoice> ServiceCallHandler::awaitTrial()
{
    while (admission() == BodyAdmission::Trial && currentTime() + trialRetryInterval < deadline_) {
        const std::vector<TargetChoice> choices
            = dependencies_.dispatcher.chooseAll(route_, triedTargets_, {}, 0, priority_, maxTrialTargets);
        std::vector<TargetId> targets;
        targets.reserve(choices.size());
        for (const TargetChoice& choice : choices)
            targets.push_back(choice.target);
        const std::optional<BodyRun> run
            = targets.empty() ? std::nullopt : dependencies_.crashes.awaitTrial(bodyHash_, targets, deadline_);
        if (run.has_value()) {
            trial_ = run->trial;
            return *std::find_if(choices.begin(), choices.end(),
                [&](const TargetChoice& choice) { return choice.target == run->target; });
        }
        sleepFor(trialRetryInterval);
    }
    return std::nullopt;
}

std::optional<TargetChoice> ServiceCallHandler::chooseWithoutTrial()
{
    std::optional<TargetChoice> choice = dependencies_.dispatcher.choose(route_, triedTargets_, {}, 0, priority_);
    if (choice.has_value() || triedTargets_.empty())
        return choice;
    // All candidates were tried; start over, since one of them may have recovered.
    triedTargets_.clear();
    return dependencies_.dispatcher.choose(route_, triedTargets_, {}, 0, priority_);
}

HttpOutcome<HttpResponse> ServiceCallHandler::callTarget(const TargetChoice& choice, const HttpCallLimits& limits)
{
    ++attempts_;
    request_.headers.set(header::attempt, std::to_string(attempts_));
    const TimePoint startedAt = currentTime();
    dependencies_.dispatcher.attemptStarted(choice.target, {}, priority_);
    // An attempt on a plain service is not cancelled: closing its connection would not stop it.
    const std::shared_ptr<TrackedAttempt> tracked
        = dependencies_.crashes.started({bodyHash_, choice.target, trial_}, choice.endpoint);
    HttpOutcome<HttpResponse> outcome = dependencies_.targets.call(choice.endpoint, request_, limits);
    const bool answered = outcome.status.ok();
    dependencies_.dispatcher.attemptEnded(
        choice.target, route_, answered ? std::optional<Duration>(currentTime() - startedAt) : std::nullopt, priority_);
    if (!answered) {
        dependencies_.dispatcher.attemptFailed(choice.target);
        lastFailure_ = std::string(messageOf(outcome.status));
        logChannel.info("Request {} attempt {} on {} failed: {}.", context_.id, attempts_, choice.target, lastFailure_);
    }
    dependencies_.crashes.ended(tracked, attemptOutcomeOf(outcome));
    triedTargets_.push_back(choice.target);
    return outcome;
}

void ServiceCallHandler::runIdempotent()
{
    bool mayHaveRun = false;
    HttpCallLimits limits;
    limits.deadline = deadline_;
    limits.connectTimeout = dependencies_.limits.connectTimeout;
    limits.interByteTimeout = dependencies_.limits.interByteTimeout;
    limits.repeatable = true;
    while (attempts_ < maxAttempts && currentTime() < deadline_) {
        if (attempts_ > 0 && !dependencies_.dispatcher.takeRetry(context_.team))
            break;
        const std::optional<TargetChoice> choice = chooseTarget();
        if (!choice.has_value())
            break;
        if (attempts_ > 0)
            dependencies_.metrics.count(Counter::Retries, context_.team);
        // After a failed attempt, pooled idle connections may be dead as well.
        limits.freshConnection = attempts_ > 0;
        HttpOutcome<HttpResponse> outcome = callTarget(*choice, limits);
        mayHaveRun = mayHaveRun || (outcome.sent && !provesNotRun(outcome.answer));
        if (!outcome.status.ok())
            continue;
        if (outcome.answer.status >= 500) {
            lastFailure_ = fmt::format("target answered with status {}", outcome.answer.status);
            continue;
        }
        recordAnswer();
        answerWith(context_, std::move(outcome.answer), RunOutcome::Yes).IgnoreError();
        return;
    }
    if (admission() == BodyAdmission::Free)
        answerFailure(mayHaveRun);
    else
        answerCrashRefusal(mayHaveRun);
}

void ServiceCallHandler::runAtMostOnce(const IdempotencyKey& key)
{
    ClaimRequest claim;
    claim.team = context_.team;
    claim.key = key;
    claim.bodyHash = callHash(request_);
    claim.nonce = Nonce(randomHex128());
    claim.instance = dependencies_.instance;
    claim.deadline = deadline_;
    claim.unknownAfter = dependencies_.limits.claimUnknownAfter;
    dependencies_.metrics.count(Counter::Claims, context_.team);
    ++*dependencies_.openClaims;
    // The call may outlive this handler, because its outcome is awaited even after the caller's deadline.
    auto background = std::make_shared<ServiceCallHandler>(*this);
    const auto called = std::make_shared<bool>(false);
    ClaimCallbacks callbacks;
    callbacks.callTarget = [background, called](const std::shared_ptr<bool>& sent) {
        *called = true;
        return background->callAtMostOnce(sent);
    };
    callbacks.finished = [&dependencies = dependencies_] { --*dependencies.openClaims; };
    const Reply reply
        = ClaimDriver::create(std::move(claim), dependencies_.platform, std::move(callbacks))->awaitReply();
    if (!*called && reply.answer.has_value())
        dependencies_.metrics.count(Counter::ReplayedAnswers, context_.team);
    if (reply.run == RunOutcome::No && background->crashAdmission_.has_value()) {
        dependencies_.metrics.count(Counter::Refusals, context_.team, "crashing request");
        answerError(context_, crashRefusal(*background->crashAdmission_, false));
        return;
    }
    answerReply(reply);
}

ClaimCallOutcome ServiceCallHandler::callAtMostOnce(const std::shared_ptr<bool>& sent)
{
    while (attempts_ < maxAttempts && currentTime() < deadline_) {
        const std::optional<TargetChoice> choice = chooseTarget();
        if (!choice.has_value()) {
            if (admission() != BodyAdmission::Free)
                crashAdmission_ = admission();
            return TargetNotRun{};
        }
        HttpCallLimits limits;
        // Connecting may take at most half of the time that is left, so that the caller can still be told that the call
        // did not run.
        limits.connectTimeout = std::min(dependencies_.limits.connectTimeout, Duration(deadline_ - currentTime()) / 2);
        limits.deadline = deadline_ + outcomeGrace;
        limits.interByteTimeout = deadline_ - currentTime() + outcomeGrace;
        limits.freshConnection = true;
        // From here on, the connection may be established and the call sent at any moment.
        *sent = true;
        HttpOutcome<HttpResponse> outcome = callTarget(*choice, limits);
        if (provesNotRun(outcome.answer))
            continue;
        if (outcome.status.ok())
            return TargetAnswered{std::move(outcome.answer)};
        if (outcome.sent)
            return TargetOutcomeUnknown{};
    }
    return TargetNotRun{};
}

void ServiceCallHandler::answerReply(const Reply& reply)
{
    if (reply.run == RunOutcome::Unknown)
        dependencies_.metrics.count(Counter::UnknownOutcomes, context_.team);
    if (reply.answer.has_value()) {
        recordAnswer();
        answerWith(context_, *reply.answer, reply.run).IgnoreError();
        return;
    }
    if (reply.run == RunOutcome::No)
        dependencies_.metrics.count(Counter::Refusals, context_.team, reply.code);
    answerError(context_, {reply.status, reply.code, reply.message, reply.run, reply.retryAfter});
}

void ServiceCallHandler::answerCrashRefusal(bool mayHaveRun)
{
    const ErrorAnswer refusal = crashRefusal(admission(), mayHaveRun);
    dependencies_.metrics.count(Counter::Refusals, context_.team, std::string(refusal.code));
    answerError(context_, refusal);
}

void ServiceCallHandler::answerFailure(bool mayHaveRun)
{
    dependencies_.metrics.count(Counter::Refusals, context_.team, "no target");
    const std::string reason = lastFailure_.empty() ? "no target of the service is available" : lastFailure_;
    const RunOutcome run = mayHaveRun ? RunOutcome::Unknown : RunOutcome::No;
    answerError(context_, {503, "no_target", reason, run, overloadRetryAfter});
}

void ServiceCallHandler::recordAnswer()
{
    const TimePoint now = currentTime();
    dependencies_.metrics.latency(LatencyKind::WholeAnswer, context_.team, classId_, now - context_.arrival);
    dependencies_.metrics.count(now <= deadline_ ? Counter::InTime : Counter::Late, context_.team);
}

} // namespace lychee
