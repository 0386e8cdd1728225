// Relays requests of callers to targets. One fiber handles a request from its header to the end of its answer.
#pragma once

#include "coordination/CoordinationError.h"
#include "fleet/CallerAuthorization.h"
#include "fleet/RetryPolicy.h"
#include "fleet/StopPolicy.h"
#include "fleet/StreamTimeouts.h"
#include "gateway/AdapterUse.h"
#include "gateway/RelayContext.h"
#include "gateway/RelayDialect.h"
#include "gateway/RelayLimits.h"
#include "gateway/StreamBinding.h"
#include "gateway/TargetProbe.h"
#include "protocol/EventSplitter.h"
#include "transport/Log.h"
#include "transport/TransportError.h"

namespace lychee::gateway {

inline constexpr LogChannel relayLog("relay");

// Handles one request: chooses a target, forwards the request, sends it again where that is allowed, and passes the
// answer on.
template <RelayDialect Dialect> class RelayedRequest {
public:
    RelayedRequest(RelayContext& context, HttpExchange& exchange)
        : context_(context)
        , exchange_(exchange)
        , caller_(Dialect::readRequest(exchange.request()))
        , table_(context.routes->read())
        , cancellation_(std::make_shared<HttpCancellation>())
        , binding_(context)
    {
    }

    void run()
    {
        startedAt_ = exchange_.startedAt();
        exchange_.onPeerGone([cancellation = cancellation_] { cancellation->cancel(); });
        const EndableWait wait(context_, [this] {
            isStopping_ = true;
            cancellation_->cancel();
        });
        // The watch of the connection tells of a caller only once this fiber suspends, which may be after the request
        // was sent.
        if (!exchange_.isPeerGone() && accept())
            sendUntilAnswered();
        record();
    }

private:
    struct Attempt {
        fleet::ChosenTarget target;
        fleet::SendId send;
        std::unique_ptr<HttpStream> stream;
        // What is held of the answer. Wakes the read of `stream` when it has to give up.
        std::unique_ptr<MemoryBudget::Share> memory;
        absl::Status status;
        TimePoint startedAt;
        bool sent = false;
        // The target has begun to answer, and went on for longer than one that crashes as it begins.
        bool begun = false;
        // A piece of the stream was passed on.
        bool forwarded = false;
        // The target was asked for the answer from its beginning, not for the remainder of a stream.
        bool isWhole = true;
        // Time without a complete event after which the stream may be given up.
        Duration maxSilence = Duration::max();
    };

    bool accept()
    {
        if (!table_) {
            refuse("no configuration is known yet", RelayLimits::noConfigurationRetryAfter);
            return false;
        }
        if (caller_.attempt.empty()) {
            reject(400, "the request has no attempt id");
            return false;
        }
        route_ = table_->match(caller_.host, exchange_.request().path());
        if (!route_) {
            // The newer configuration may have the route.
            if (context_.isConfigurationOutdated())
                refuse("a newer configuration is on its way", RelayLimits::outdatedConfigurationRetryAfter);
            else
                reject(404, "no route matches the host and path of the request");
            return false;
        }
        if (!authorize() || !takeFromLimit())
            return false;
        const ServiceId* picked = fleet::pickService(*route_, splitFraction(caller_.attempt));
        service_ = picked ? table_->service(*picked) : nullptr;
        if (!service_) {
            refuse("the service of the route is not declared in the configuration",
                RelayLimits::noConfigurationRetryAfter);
            return false;
        }
        if (!service_->engine)
            caller_.generation.reset();
        urgency_ = table_->urgency().urgencyOf(*route_, service_->id, customer_);
        if (!context_.crashes.isQuiet()) {
            const fleet::CrashAdmission admission = admitSuspect();
            isTrial_ = admission == fleet::CrashAdmission::Trial;
            if (admission == fleet::CrashAdmission::Blocked) {
                refuseBlocked();
                return false;
            }
        }
        const Duration patience = caller_.patience.value_or(route_->timeout);
        deadline_ = startedAt_ + std::min(patience, route_->timeout);
        context_.retryBudget.request(service_->id, currentTime());
        if (caller_.generation)
            context_.demand.record(*caller_.generation, service_->engine->slots, currentTime());
        return bindStream();
    }

    // Refuses a take-up of a stream of which the software version that began it is not known: joined with what another
    // version writes, the stream would look whole.
    bool bindStream()
    {
        const absl::Status status = binding_.start(caller_, *route_, service_->id, deadline_);
        if (status.ok())
            return true;
        relayLog.info("request={} route={} resumes={} origin not found: {}", caller_.attempt, route_->id,
            caller_.resumedAttempt, messageOf(status));
        const bool isUnknown = errorOf<CoordinationError>(status) == CoordinationError::NotFound;
        refuse("the software version that began the stream is not known",
            isUnknown ? std::nullopt : std::optional<Duration>(RelayLimits::originRetryAfter));
        return false;
    }

    // Finds out whose request it is, and answers it when it may not run. Called before each send, because keys may be
    // taken away while a request waits.
    bool authorize()
    {
        // Asked first: a configuration that is confirmed in between may be newer than one that was read before.
        const bool isConfirmed = context_.configurationIsConfirmed();
        authorizedBy_ = context_.routes->read();
        const fleet::Authorization authorization
            = fleet::authorize(*authorizedBy_, *route_, caller_.credential, isConfirmed);
        customer_ = authorization.customer;
        switch (authorization.outcome) {
        case fleet::AuthorizationOutcome::Anonymous:
        case fleet::AuthorizationOutcome::Customer:
            return true;
        case fleet::AuthorizationOutcome::Unconfirmed:
            giveUp("the configuration could not be confirmed", 502, RelayLimits::noConfigurationRetryAfter);
            return false;
        case fleet::AuthorizationOutcome::Rejected:
            if (history_.possibleRuns > 0)
                giveUp("the key of the request was taken away", 502, Duration(0));
            else
                reject(401, "the request has no valid key");
            return false;
        }
        return false;
    }

    // Takes the cost of the request from the limit of its customer, once for all its sends.
    bool takeFromLimit()
    {
        auto admission = context_.limits.admit(customer_, caller_.declaredTokens, context_.metrics);
        if (const Duration* retryAfter = std::get_if<Duration>(&admission)) {
            lastProblem_ = "the customer has used up its limit";
            answer({429, lastProblem_, *retryAfter}, RelayOutcome::Refused);
            return false;
        }
        limitTicket_ = std::get<LimitTicket>(std::move(admission));
        return true;
    }

    fleet::CustomerId customerId() const { return customer_ ? customer_->id : fleet::CustomerId(); }

    const fleet::RequestTraits& traits()
    {
        if (!traits_) {
            const HttpRequest& request = exchange_.request();
            traits_ = fleet::traitsOf(fmt::format("{} {}", request.method, request.target), request.body,
                caller_.generation ? &*caller_.generation : nullptr);
        }
        return *traits_;
    }

    // Refuses a request that would probably crash its target.
    void refuseBlocked()
    {
        giveUp("targets crashed on requests like this one", 502, context_.crashes.blockedFor(traits()));
    }

    // A request for the remainder of a stream can't be a trial, because its answer would show nothing.
    fleet::CrashAdmission admitSuspect()
    {
        if (!caller_.resumeAfter)
            return context_.crashes.admit(traits());
        return context_.crashes.isBlocked(traits()) ? fleet::CrashAdmission::Blocked : fleet::CrashAdmission::Allowed;
    }

    // Records that a target has answered to the end. Only an answer that one target produced from the beginning shows
    // that the request does not crash targets: the remainder of a stream may end before the moment of the crash.
    void recordCompleted(const Attempt& attempt)
    {
        if (!attempt.isWhole || context_.crashes.isQuiet())
            return;
        context_.crashes.answerCompleted(traits());
    }

    LostRun lostRun(const Attempt& attempt) { return {traits(), attempt.startedAt, attempt.begun}; }

    bool isLeaving(const Attempt& attempt) const
    {
        return context_.registry.isLeaving(attempt.target.target, attempt.target.incarnation);
    }

    TargetProbe probeOf(const Attempt& attempt, Duration timeout) const
    {
        return {Dialect::identityRequest(*service_, attempt.target.target), attempt.target, currentTime() + timeout};
    }

    // Finds out whether a target has crashed after its connection was lost, and records it. Suspends the fiber.
    void recordLostConnection(const Attempt& attempt)
    {
        // The end of a target that leaves is no evidence against a request.
        if (isLeaving(attempt))
            return;
        context_.crashes.connectionLost(caller_.attempt, attempt.target, lostRun(attempt), [&] {
            TargetProbe probe = probeOf(attempt, RelayLimits::crashProbeTimeout);
            probe.answerTimeout = RelayLimits::crashAnswerTimeout;
            probe.maxCalls = RelayLimits::maxCrashProbes;
            return probeTarget<Dialect>(context_.dialer, std::move(probe));
        });
    }

    // Whether an answer without a length or chunks, which is complete when its connection ends, may have been cut by
    // the end of its target or of the direct way to it. It is complete only if the same process answers afterwards, on
    // the direct way if the answer came on it. Suspends the fiber.
    bool mayBeCut(const Attempt& attempt)
    {
        if (attempt.stream->isDelimited())
            return false;
        const TimePoint endedAt = currentTime();
        const bool isDirect = attempt.stream->isDirect();
        TargetProbe probe = probeOf(attempt, RelayLimits::identityTimeout);
        probe.deadline = std::min(probe.deadline, deadline_);
        probe.directOnly = isDirect;
        probe.cancellation = cancellation_;
        TargetLife life = probeTarget<Dialect>(context_.dialer, std::move(probe));
        // Not every target states its start when it is asked.
        if (context_.registry.wasReplaced(attempt.target.target, attempt.target.incarnation))
            life = TargetLife::Ended;
        relayLog.info("request={} target={} born={} direct={} answer ended with its connection, life={} probe_ms={}",
            caller_.attempt, attempt.target.target, attempt.target.incarnation, isDirect, nameOf(life),
            std::chrono::duration_cast<std::chrono::milliseconds>(currentTime() - endedAt).count());
        if (life == TargetLife::Ended && !isLeaving(attempt))
            context_.crashes.targetCrashed(caller_.attempt, attempt.target, lostRun(attempt));
        return life != TargetLife::Alive;
    }

    // Not a lost connection, for which the crash would be recorded once more.
    static absl::Status cutAnswer()
    {
        return makeError(TransportError::Stopped, "the answer may have been cut by the end of its target");
    }

    // A number in [0, 1) derived from the attempt id, by which a split route picks a service. All instances derive the
    // same number, so that the shares of the route hold across instances.
    static double splitFraction(const RequestId& attempt)
    {
        constexpr double range = 4294967296.0;
        return static_cast<double>(static_cast<std::uint32_t>(std::hash<std::string>()(attempt.value()))) / range;
    }

    void sendUntilAnswered()
    {
        while (outcome_ == std::nullopt) {
            if (isStopping_)
                return finishAtStop();
            if (cancellation_->isRequested()) {
                outcome_ = RelayOutcome::CallerLeft;
                if (streamStarted_)
                    exchange_.abort();
                return;
            }
            if (currentTime() >= deadline_)
                return finishAtDeadline();
            if (currentTime() >= context_.stopsAt)
                return finishAtStop();
            const auto choice = chooseTarget(excludedTargets_, latencyObjective());
            if (const auto* none = std::get_if<fleet::NoTarget>(&choice)) {
                if (none->reason == fleet::NoTargetReason::VersionNotServed || !pauseBeforeResume())
                    finishWithoutTarget(*none);
                continue;
            }
            if (const auto* awaited = std::get_if<fleet::AwaitedModel>(&choice)) {
                if (!canBeginBeforeStop(awaited->expectedAt - currentTime()))
                    return finishAtStop();
                awaitModel(*awaited);
                continue;
            }
            if (std::holds_alternative<fleet::AwaitedSlot>(choice)) {
                sleepFor(std::min(RelayLimits::slotPollInterval, deadline_ - currentTime()));
                slotWait_ += RelayLimits::slotPollInterval;
                continue;
            }
            if (pauseIsDue_) {
                pauseInterruptedRequest();
                continue;
            }
            const fleet::ChosenTarget& target = std::get<fleet::ChosenTarget>(choice);
            if (!canBeginBeforeStop(target.predicted))
                return finishAtStop();
            sendTo(target);
        }
    }

    // Whether the next send can still be answered before the process ends. A stream that has started goes on for as
    // long as it can.
    bool canBeginBeforeStop(Duration wait) const
    {
        return streamStarted_
            || fleet::canAnswerBefore(
                context_.stopsAt, *route_, {wait, context_.registry.slotOccupancy(service_->id)}, currentTime());
    }

    fleet::TargetDecision chooseTarget(std::span<const TargetId> excluded, Duration latencyObjective) const
    {
        const TimePoint now = currentTime();
        fleet::ChoiceInput input{*service_, caller_.generation ? &*caller_.generation : nullptr, context_.dataCentre,
            now, deadline_ - now, latencyObjective, excluded, context_.placementReached && mayLoadAdapter_,
            modelWait_ + slotWait_, caller_.attempt.value(), urgency_.value_or(fleet::UrgencyPolicy::standard),
            lateObjective(), urgency_.has_value(), table_->urgency().isActive(), binding_.allowedVersions()};
        return fleet::chooseTarget(context_.registry, input);
    }

    // Whether the caller has no answer because the request was interrupted: its stream has started, or a target was
    // given up that might still have answered.
    bool isInterrupted() const { return streamStarted_ || (gaveUpSilentTarget_ && !targetFailure_); }

    // The latest start at which the next send is of use. An interrupted request is late already, but of use for as long
    // as its caller waits.
    Duration latencyObjective() const
    {
        return isInterrupted() ? std::max(route_->latencyObjective, timeToResume()) : route_->latencyObjective;
    }

    // The time within which a first event is expected of a request that is sent although it will be late. Only where
    // requests are ordered by their urgency, so that it delays none that is in time. Half of the time for which callers
    // wait, because the prompts that arrive later go first.
    Duration lateObjective() const
    {
        return urgency_ ? startedAt_ + fleet::resumeWindow(*route_) / 2 - currentTime() : Duration(0);
    }

    // Whether a request whose target is silent can be sent to another one. If not, giving it up would only lose an
    // answer that may still come. The retry budget has to allow a further send too, because the other target may
    // decline.
    bool canBeSentElsewhere(const TargetId& silent) const
    {
        constexpr int furtherSends = 2;
        if (!context_.retryBudget.isAvailable(service_->id, currentTime(), furtherSends))
            return false;
        std::vector<TargetId> excluded = excludedTargets_;
        excluded.push_back(silent);
        const fleet::TargetDecision decision = chooseTarget(excluded, route_->latencyObjective);
        const auto* other = std::get_if<fleet::ChosenTarget>(&decision);
        // A limited target may have no request left to grant.
        return other && !context_.registry.find(other->target)->limit;
    }

    // An interrupted request is not ended at once when no target is available: one may become available while the
    // caller still waits. Callers that wait no longer leave by themselves.
    bool pauseBeforeResume()
    {
        if (!isInterrupted() || currentTime() >= deadline_)
            return false;
        excludedTargets_.clear();
        mayLoadAdapter_ = true;
        adapterWait_ = {};
        adapterRefusals_ = 0;
        pauseInterruptedRequest();
        return true;
    }

    // Time left until most callers of the route abandon an interrupted request.
    Duration timeToResume() const
    {
        return (streamStarted_ ? lastEventAt_ : startedAt_) + fleet::resumeWindow(*route_) - currentTime();
    }

    void pauseInterruptedRequest()
    {
        sleepFor(std::min(resumeDelay_, std::min(deadline_, context_.stopsAt) - currentTime()));
        resumeDelay_ = std::min(2 * resumeDelay_, RelayLimits::maxResumeRetryDelay);
        pauseIsDue_ = false;
    }

    // Waits until an interrupted request may be sent again, although it was sent several times already or the retry
    // budget is used up. `result` is how the last send ended. Returns false when the request may not run again.
    bool awaitRetry(fleet::SendResult result)
    {
        if (!isInterrupted() || !fleet::mayRunAgain(*route_, history_))
            return false;
        while (pauseBeforeResume()) {
            if (cancellation_->isRequested() || currentTime() >= std::min(deadline_, context_.stopsAt)
                || !fleet::usesRetryBudget(result))
                return true;
            if (context_.retryBudget.isAvailable(service_->id, currentTime())) {
                context_.retryBudget.take(service_->id, currentTime());
                return true;
            }
        }
        return false;
    }

    // Polls instead of sleeping until the expected time, because a load may finish sooner or later than expected and
    // the caller may disconnect.
    void awaitModel(const fleet::AwaitedModel& awaited)
    {
        if (modelWait_ == Duration(0)) {
            relayLog.info("request={} model={} awaited expected_ms={}", caller_.attempt, caller_.generation->model,
                std::chrono::duration_cast<std::chrono::milliseconds>(awaited.expectedAt - currentTime()).count());
        }
        sleepFor(RelayLimits::modelPollInterval);
        modelWait_ += RelayLimits::modelPollInterval;
    }

    void finishWithoutTarget(const fleet::NoTarget& none)
    {
        if (streamStarted_)
            return abortStream(fleet::nameOf(none.reason));
        if (targetFailure_)
            return forwardTargetFailure();
        if (history_.possibleRuns > 0)
            return fail(502, lastProblem_);
        // A version that has left does not return while the caller waits.
        if (none.reason == fleet::NoTargetReason::VersionNotServed && binding_.isBound())
            return refuse(fleet::nameOf(none.reason), std::nullopt);
        refuse(fleet::nameOf(none.reason), none.retryAfter);
    }

    void sendTo(const fleet::ChosenTarget& target)
    {
        if (!isTrial_ && !context_.crashes.isQuiet() && context_.crashes.isBlocked(traits()))
            return refuseBlocked();
        if (target.adapterMissing && !ensureAdapter(target))
            return;
        if (!takeGrant(target) || !authorize())
            return;
        const AdapterUse use(context_, target.target, caller_.generation);
        Attempt attempt = open(target);
        const bool failed = !attempt.status.ok();
        if (cancellation_->isRequested())
            return abandon(attempt);
        if (failed)
            return afterFailedSend(attempt);
        handleAnswer(attempt);
    }

    bool ensureAdapter(const fleet::ChosenTarget& target)
    {
        const fleet::GenerationNeed& need = *caller_.generation;
        const TimePoint askedAt = currentTime();
        const TimePoint limit = std::min(deadline_, askedAt + RelayLimits::adapterLoadTimeout);
        const absl::Status status = context_.ensureAdapter(target.target, need.model, *need.adapter, limit);
        if (status.ok()) {
            adapterLoadedAt_ = currentTime();
            context_.registry.recordAdapterLoaded(target.target, target.incarnation, need);
            return true;
        }
        // This request would wait for an unreachable owner again with the next target. Other requests are told by the
        // control duty whether the owner can be reached.
        const bool ownerLost = errorOf<TransportError>(status) == TransportError::ConnectionClosed;
        // A wait that was cut short by the deadline says nothing about the target.
        if (!ownerLost && limit < deadline_)
            context_.registry.recordAdapterRefused(target.target, target.incarnation, currentTime());
        adapterWait_ += currentTime() - askedAt;
        ++adapterRefusals_;
        if (ownerLost || adapterWait_ >= RelayLimits::maxAdapterWait
            || adapterRefusals_ >= RelayLimits::maxAdapterRefusals)
            mayLoadAdapter_ = false;
        relayLog.info("request={} target={} adapter={}/{} not loaded: {}", caller_.attempt, target.target, need.model,
            *need.adapter, messageOf(status));
        lastProblem_ = "the adapter could not be loaded";
        excludedTargets_.push_back(target.target);
        return false;
    }

    // Asks for a request to a target that limits how many it takes. Without a grant, the target is left out until the
    // next one is possible.
    bool takeGrant(const fleet::ChosenTarget& target)
    {
        const fleet::TargetState* state = context_.registry.find(target.target);
        if (!state || !state->limit)
            return true;
        const double perSecond = state->limit->perSecond;
        const Duration left = startedAt_ + latencyObjective() - currentTime() - target.predicted;
        const Duration maxWait = std::clamp(left, Duration(0), RelayLimits::maxGrantWait);
        const fleet::RequestGrant grant = context_.requestGrant(target, perSecond, maxWait);
        if (grant.isGranted)
            return awaitGrant(grant.wait);
        context_.registry.recordDeclined(target.target, target.incarnation, currentTime() + grant.wait, std::nullopt);
        relayLog.info("request={} target={} limit_per_s={:.2f} no request granted for ms={}", caller_.attempt,
            target.target, perSecond, std::chrono::duration_cast<std::chrono::milliseconds>(grant.wait).count());
        lastProblem_ = "the target takes no more requests at present";
        return false;
    }

    // Returns false when the request is not to be sent any more.
    bool awaitGrant(Duration wait)
    {
        const TimePoint end = currentTime() + wait;
        while (!cancellation_->isRequested() && currentTime() < end)
            sleepFor(std::min<Duration>(RelayLimits::grantPollInterval, end - currentTime()));
        return !cancellation_->isRequested();
    }

    Attempt open(const fleet::ChosenTarget& target)
    {
        Attempt attempt{target, {}, nullptr, nullptr, {}};
        const TimePoint now = currentTime();
        attempt.startedAt = now;
        const fleet::Urgency urgency
            = target.late ? fleet::UrgencyPolicy::least : urgency_.value_or(fleet::UrgencyPolicy::standard);
        attempt.send = context_.registry.beginSend(target.target, caller_.generation ? &*caller_.generation : nullptr,
            now, target.predicted, urgency, target.cacheSource.has_value());
        ForwardParameters parameters{
            target.target, deadline_ - now, urgency, resumeAfter(), target.cacheSource, customerId()};
        attempt.isWhole = !parameters.resumeAfter;
        HttpCallLimits limits;
        limits.deadline = deadline_;
        limits.connectTimeout = RelayLimits::connectTimeout;
        limits.interByteTimeout = deadline_ - now;
        limits.maxIdle = route_->isRepeatable() ? RelayLimits::maxIdleRepeatable : RelayLimits::maxIdleNonRepeatable;
        limits.cancellation = cancellation_;
        // A faulty target may repeat its answer to an earlier send of this attempt on the same connection.
        limits.freshConnection
            = std::find(usedEndpoints_.begin(), usedEndpoints_.end(), target.endpoint) != usedEndpoints_.end();
        limits.belongs = [id = caller_.attempt](const HttpHeaders& headers, ConnectionUse use) {
            return Dialect::belongs(headers, id, use);
        };
        if (fleet::mayRetryAfterUnknown(*route_, history_)) {
            limits.headerTimeout = answerTimeoutFor(target);
            if (route_->kind == fleet::RequestKind::Streaming) {
                const Duration silence = std::min(maxTargetSilence(target), (deadline_ - now) / 2);
                limits.headerTimeout = std::max(limits.headerTimeout, silence);
                limits.interByteTimeout = limits.headerTimeout;
                attempt.maxSilence = limits.interByteTimeout;
            }
            limits.mayGiveUp = [this, silent = target.target] { return canBeSentElsewhere(silent); };
        }
        auto outcome
            = context_.http.open(target.endpoint, Dialect::targetRequest(exchange_.request(), parameters), limits);
        attempt.stream = std::move(outcome.answer);
        attempt.status = outcome.status;
        attempt.sent = outcome.sent;
        if (attempt.sent) {
            usedEndpoints_.push_back(target.endpoint);
            limitTicket_.sent();
        }
        return attempt;
    }

    std::optional<std::uint64_t> resumeAfter() const
    {
        return streamStarted_ && splitter_.lastEventId() ? splitter_.lastEventId() : caller_.resumeAfter;
    }

    // How long to wait for the answer of a target when the request may still be sent to another one: well above the
    // expected time and the pauses of sound targets, but short enough to leave another target time to answer before the
    // deadline.
    Duration answerTimeoutFor(const fleet::ChosenTarget& target) const
    {
        const Duration remaining = deadline_ - currentTime();
        const Duration expected = 3 * target.predicted + route_->latencyObjective;
        const Duration soundSilence = fleet::maxSilenceBeforeAnswer(*route_, paceOf(target));
        const Duration pause = std::min(soundSilence, remaining - route_->latencyObjective);
        return std::max({std::min(expected, remaining / 2), pause, RelayLimits::minAnswerTimeout});
    }

    Duration maxTargetSilence(const fleet::ChosenTarget& target) const
    {
        return fleet::maxTargetSilence(*route_, paceOf(target));
    }

    // The pace over the time for which a silent target is awaited.
    double paceOf(const fleet::ChosenTarget& target) const
    {
        return context_.registry.paceOver(target.target, fleet::maxSoundSilence, currentTime());
    }

    void afterFailedSend(Attempt& attempt)
    {
        const bool timedOut = errorOf<TransportError>(attempt.status) == TransportError::TimedOut;
        if (!attempt.sent) {
            endSend(attempt, fleet::SendOutcome::Unreachable);
            return resendOrFinish(attempt, fleet::SendResult::NotSent, messageOf(attempt.status));
        }
        endSend(attempt, timedOut ? fleet::SendOutcome::NoAnswer : fleet::SendOutcome::Failed);
        isTrial_ = false;
        if (errorOf<TransportError>(attempt.status) == TransportError::ConnectionClosed)
            recordLostConnection(attempt);
        if (timedOut && currentTime() >= deadline_) {
            history_.add(fleet::SendResult::OutcomeUnknown);
            return finishAtDeadline();
        }
        gaveUpSilentTarget_ = gaveUpSilentTarget_ || timedOut;
        resendOrFinish(attempt, fleet::SendResult::OutcomeUnknown, messageOf(attempt.status));
    }

    void handleAnswer(Attempt& attempt)
    {
        const int status = attempt.stream->status();
        const TargetAnswer answer = Dialect::readAnswer(status, attempt.stream->headers());
        if (answer.load)
            context_.registry.recordLoad(attempt.target.target, *answer.load, currentTime());
        recordNotices(attempt, answer);
        if (answer.notRun)
            return afterNotRun(attempt, answer);
        const bool success = status >= 200 && status < 300;
        if (success && !answer.genuine) {
            endSend(attempt, fleet::SendOutcome::Failed);
            return resendOrFinish(attempt, fleet::SendResult::OutcomeUnknown,
                "the answer carries no proof that it comes unchanged from a target");
        }
        if (success && streamStarted_ && !answer.eventStream) {
            endSend(attempt, fleet::SendOutcome::Failed);
            return resendOrFinish(
                attempt, fleet::SendResult::OutcomeUnknown, "the answer to a resumed stream is not a stream of events");
        }
        context_.registry.prefillDone(attempt.send, currentTime());
        attempt.begun = !caller_.generation && success;
        if (success && route_->kind == fleet::RequestKind::Streaming)
            return relayStream(attempt);
        relayWholeAnswer(attempt, success);
    }

    // Records what the target has said about further requests to it.
    void recordNotices(const Attempt& attempt, const TargetAnswer& answer)
    {
        const fleet::ChosenTarget& target = attempt.target;
        // Another target may have answered at this address.
        if (!answer.misdirected
            && context_.registry.recordLimit(
                target.target, target.incarnation, answer.requestsPerSecond, attempt.startedAt, currentTime())) {
            relayLog.info("request={} target={} limits requests={} per_s={:.2f}", caller_.attempt, target.target,
                answer.requestsPerSecond.has_value(), answer.requestsPerSecond.value_or(0));
            context_.limitChanged(target.target, target.incarnation, answer.requestsPerSecond);
        }
        if (!answer.misdirected)
            context_.registry.recordBrittle(target.target, target.incarnation, answer.brittle, currentTime());
        if (answer.leaving)
            context_.registry.recordLeaving(target.target, target.incarnation, context_.epochTime());
        if (!answer.declinesFor)
            return;
        context_.registry.recordDeclined(
            target.target, target.incarnation, currentTime() + *answer.declinesFor, context_.epochTime());
        relayLog.info("request={} target={} declines requests for ms={}", caller_.attempt, target.target,
            std::chrono::duration_cast<std::chrono::milliseconds>(*answer.declinesFor).count());
    }

    void afterNotRun(Attempt& attempt, const TargetAnswer& answer)
    {
        const int status = attempt.stream->status();
        limitTicket_.notRun();
        attempt.stream->drain(RelayLimits::maxRefusalBytes, RelayLimits::maxRefusalTime);
        if (answer.brittle && !answer.misdirected)
            recordTurnedAway(attempt.target);
        const bool adapterStillLoading
            = adapterLoadedAt_ && adapterRetries_ < RelayLimits::maxAdapterRetries && status != 429;
        endSend(attempt,
            answer.misdirected || adapterStillLoading ? fleet::SendOutcome::Declined : fleet::SendOutcome::Full);
        if (status == 400 && !streamStarted_)
            return reject(400, "the target rejected the request");
        if (answer.misdirected && caller_.generation && !adapterStillLoading) {
            context_.registry.recordMissing(attempt.target.target, *caller_.generation);
            if (caller_.generation->adapter && !adapterLoadedAt_ && retryWithUnloadedAdapter())
                return;
        }
        if (adapterStillLoading) {
            ++adapterRetries_;
            sleepFor(RelayLimits::adapterRetryDelay);
            if (context_.retryBudget.isAvailable(service_->id, currentTime())) {
                context_.retryBudget.take(service_->id, currentTime());
                return;
            }
        }
        resendOrFinish(attempt, fleet::SendResult::NotRun, fmt::format("the target answered with status {}", status));
    }

    // Has no instance send requests to a brittle target for a time.
    void recordTurnedAway(const fleet::ChosenTarget& target)
    {
        const Duration pause = context_.registry.recordTurnedAway(target.target, target.incarnation, currentTime());
        relayLog.info("request={} target={} brittle, no requests for ms={}", caller_.attempt, target.target,
            std::chrono::duration_cast<std::chrono::milliseconds>(pause).count());
        context_.turnedAway(target.target, target.incarnation, pause);
    }

    // Sends the request once more after the target reported that it no longer holds the adapter, so that the adapter is
    // loaded again. Returns false when the retry budget does not allow it.
    bool retryWithUnloadedAdapter()
    {
        const TimePoint now = currentTime();
        if (!context_.retryBudget.isAvailable(service_->id, now))
            return false;
        context_.retryBudget.take(service_->id, now);
        history_.add(fleet::SendResult::NotRun);
        // Marks the adapter as loaded, so that this is done only once for a request.
        adapterLoadedAt_ = now;
        return true;
    }

    // Handles a send that gave no usable answer: leaves the request to be sent again, or ends it.
    void resendOrFinish(const Attempt& attempt, fleet::SendResult result, std::string_view problem)
    {
        history_.add(result);
        lastProblem_ = std::string(problem);
        excludedTargets_.push_back(attempt.target.target);
        const TimePoint now = currentTime();
        const bool budget = context_.retryBudget.isAvailable(service_->id, now);
        const fleet::NextStep step = fleet::nextStep(*route_, history_, result, budget);
        relayLog.info("request={} route={} target={} send={} problem=\"{}\" next={} budget={} left_ms={}",
            caller_.attempt, route_->id, attempt.target.target, history_.sends, problem, static_cast<int>(step), budget,
            std::chrono::duration_cast<std::chrono::milliseconds>(deadline_ - now).count());
        if (step != fleet::NextStep::SendAgain && awaitRetry(result))
            return;
        switch (step) {
        case fleet::NextStep::SendAgain:
            if (fleet::usesRetryBudget(result))
                context_.retryBudget.take(service_->id, now);
            // One interrupted request must not use up the retry budget while its targets are full.
            pauseIsDue_ = isInterrupted() && result == fleet::SendResult::NotRun;
            return;
        case fleet::NextStep::Refuse:
            if (streamStarted_)
                return abortStream(problem);
            return refuse(problem, RelayLimits::minAnswerTimeout);
        case fleet::NextStep::ReportUnknown:
            if (streamStarted_)
                return abortStream(problem);
            return fail(502, problem);
        case fleet::NextStep::ForwardFailure:
            if (streamStarted_)
                return abortStream(problem);
            return forwardTargetFailure();
        }
    }

    void relayWholeAnswer(Attempt& attempt, bool success)
    {
        HttpResponse response{attempt.stream->status(), Dialect::callerHeaders(attempt.stream->headers()), {}};
        openMemory(attempt);
        while (true) {
            auto chunk = attempt.stream->read();
            if (cancellation_->isRequested())
                return abandon(attempt);
            if (!chunk.ok() || attempt.memory->isRevoked()) {
                attempt.status = attempt.memory->isRevoked() ? outOfMemory() : chunk.status();
                return afterFailedSend(attempt);
            }
            if (!chunk->has_value())
                break;
            response.body += **chunk;
            if (!attempt.memory->resize(response.body.capacity())) {
                attempt.status = outOfMemory();
                return afterFailedSend(attempt);
            }
        }
        const bool isCut = mayBeCut(attempt);
        if (cancellation_->isRequested())
            return abandon(attempt);
        if (isCut) {
            attempt.status = cutAnswer();
            return afterFailedSend(attempt);
        }
        // Held until the answer is delivered.
        std::unique_ptr<MemoryBudget::Share> memory = std::move(attempt.memory);
        memory->keep();
        const bool targetFailed = response.status >= 500;
        if (success)
            recordCompleted(attempt);
        endSend(attempt, targetFailed ? fleet::SendOutcome::Failed : fleet::SendOutcome::Answered);
        if (targetFailed) {
            const int status = response.status;
            targetFailure_ = std::move(response);
            failureMemory_ = std::move(memory);
            return resendOrFinish(
                attempt, fleet::SendResult::TargetFailed, fmt::format("the target answered with status {}", status));
        }
        spareWhileDelivered(*memory);
        deliver(response, success);
    }

    void spareWhileDelivered(MemoryBudget::Share& memory)
    {
        memory.deliverUntil(currentTime() + RelayLimits::deliveryTime, [this] {
            lastProblem_ = "the caller reads its answer too slowly";
            exchange_.abort();
        });
    }

    void openMemory(Attempt& attempt)
    {
        attempt.memory = context_.answerMemory.open([stream = attempt.stream.get()] { stream->cancelRead(); });
    }

    static absl::Status outOfMemory()
    {
        return makeError(TransportError::MessageTooLarge, "the answers in progress use up the memory for them");
    }

    void deliver(const HttpResponse& response, bool success)
    {
        if (streamStarted_)
            return abortStream("the target did not resume the stream");
        // Without the proof that it comes from a target, the status could be taken as a promise that the request has
        // not run.
        if (promisesNotRun(response.status) && !Dialect::readAnswer(response.status, response.headers).genuine)
            return fail(502, "the answer carries no proof that it comes unchanged from a target");
        const absl::Status status = exchange_.respond(response);
        answerStatus_ = response.status;
        if (!status.ok())
            outcome_ = RelayOutcome::CallerLeft;
        else
            outcome_ = success ? RelayOutcome::Delivered : RelayOutcome::Failed;
    }

    void forwardTargetFailure()
    {
        spareWhileDelivered(*failureMemory_);
        deliver(*targetFailure_, false);
    }

    static bool promisesNotRun(int status) { return status == 408 || status == 421 || status == 429 || status == 503; }

    void relayStream(Attempt& attempt)
    {
        TimePoint eventAt = currentTime();
        openMemory(attempt);
        while (true) {
            auto chunk = attempt.stream->read();
            if (cancellation_->isRequested())
                return abandon(attempt);
            if (!chunk.ok() || attempt.memory->isRevoked())
                return breakStream(attempt, attempt.memory->isRevoked() ? outOfMemory() : chunk.status());
            if (!chunk->has_value())
                return endStream(attempt);
            const std::string events = splitter_.feed(**chunk);
            if (!attempt.memory->resize(splitter_.rest().capacity()))
                return breakStream(attempt, outOfMemory());
            if (splitter_.rest().size() > RelayLimits::maxEventBytes)
                return breakStream(
                    attempt, makeError(TransportError::MessageTooLarge, "an event of the stream does not end"));
            if (!events.empty()) {
                if (!forward(attempt, events))
                    return endSend(attempt, fleet::SendOutcome::Abandoned);
                eventAt = currentTime();
            } else if (currentTime() - eventAt > attempt.maxSilence && canBeSentElsewhere(attempt.target.target)) {
                return breakStream(
                    attempt, makeError(TransportError::TimedOut, "the bytes of the stream complete no event"));
            }
        }
    }

    // Handles a stream that broke off: drops the incomplete event, which a resumed stream repeats.
    void breakStream(Attempt& attempt, absl::Status status)
    {
        attempt.status = std::move(status);
        splitter_.dropRest();
        afterFailedSend(attempt);
    }

    bool forward(Attempt& attempt, const std::string& events)
    {
        absl::Status status;
        if (!streamStarted_) {
            answerStatus_ = attempt.stream->status();
            firstEventAt_ = currentTime();
            binding_.firstEventFrom(attempt.target);
            status = exchange_.beginStream(answerStatus_, Dialect::callerHeaders(attempt.stream->headers()));
            streamStarted_ = true;
        } else {
            longestGap_ = std::max(longestGap_, currentTime() - lastEventAt_);
        }
        // The first piece of a stream may leave a target that crashes as it begins.
        if (std::exchange(attempt.forwarded, true)) {
            attempt.begun = true;
        } else if (attempt.maxSilence != Duration::max()) {
            attempt.maxSilence = maxTargetSilence(attempt.target);
            attempt.stream->setInterByteTimeout(attempt.maxSilence);
        }
        if (status.ok())
            status = exchange_.write(events);
        lastEventAt_ = currentTime();
        resumeDelay_ = RelayLimits::resumeRetryDelay;
        if (!status.ok())
            cancellation_->cancel();
        return status.ok();
    }

    void endStream(Attempt& attempt)
    {
        const std::string rest = splitter_.rest();
        if (!attempt.stream->isDelimited() && (!streamStarted_ || !rest.empty()))
            return breakStream(
                attempt, makeError(TransportError::ConnectionClosed, "the stream ends before the end of an event"));
        const bool isCut = mayBeCut(attempt);
        if (cancellation_->isRequested())
            return abandon(attempt);
        if (isCut)
            return breakStream(attempt, cutAnswer());
        if (!streamStarted_ || !rest.empty()) {
            if (!forward(attempt, rest))
                return endSend(attempt, fleet::SendOutcome::Abandoned);
        }
        recordCompleted(attempt);
        endSend(attempt, fleet::SendOutcome::Answered);
        outcome_ = exchange_.endStream().ok() ? RelayOutcome::Delivered : RelayOutcome::CallerLeft;
    }

    // Ends a send because the caller has left or the process is about to end.
    void abandon(Attempt& attempt)
    {
        if (attempt.sent)
            history_.add(fleet::SendResult::OutcomeUnknown);
        endSend(attempt, fleet::SendOutcome::Abandoned);
    }

    void endSend(Attempt& attempt, fleet::SendOutcome outcome)
    {
        // Closes the connection if the answer was not read completely, so that the target stops processing the request.
        attempt.memory.reset();
        attempt.stream.reset();
        lastTarget_ = attempt.target.target;
        context_.registry.endSend(attempt.send, outcome, currentTime());
    }

    void finishAtDeadline() { giveUp("the time limit has passed", 504, RelayLimits::minAnswerTimeout); }

    // No further send can be answered before the process ends.
    void finishAtStop() { giveUp("the instance is stopping", 502, RelayLimits::stoppingRetryAfter); }

    // Ends a request that is not sent again, without claiming more than is known: aborts a stream that has started,
    // answers with `unknownStatus` after a possible run, and refuses otherwise.
    void giveUp(std::string_view reason, int unknownStatus, Duration retryAfter)
    {
        lastProblem_ = std::string(reason);
        if (streamStarted_)
            return abortStream(lastProblem_);
        if (history_.possibleRuns > 0)
            return fail(unknownStatus, lastProblem_);
        refuse(lastProblem_, retryAfter);
    }

    void abortStream(std::string_view problem)
    {
        lastProblem_ = std::string(problem);
        outcome_ = RelayOutcome::BrokenOff;
        exchange_.abort();
    }

    void refuse(std::string_view reason, std::optional<Duration> retryAfter)
    {
        lastProblem_ = std::string(reason);
        answer({503, lastProblem_, retryAfter}, RelayOutcome::Refused);
    }

    void fail(int status, std::string_view reason)
    {
        answer({status, std::string(reason), std::nullopt}, RelayOutcome::Failed);
    }

    void reject(int status, std::string_view reason)
    {
        lastProblem_ = std::string(reason);
        answer({status, lastProblem_, std::nullopt}, RelayOutcome::Rejected);
    }

    void answer(const LocalResponse& response, RelayOutcome outcome)
    {
        // A second header would be read as a part of the stream.
        if (streamStarted_)
            return abortStream(response.reason);
        answerStatus_ = response.status;
        outcome_ = exchange_.respond(Dialect::localResponse(response)).ok() ? outcome : RelayOutcome::CallerLeft;
    }

    void record()
    {
        RelayRecord record;
        record.caller = &caller_;
        record.route = route_;
        record.service = service_;
        record.customer = customerId();
        record.configuration = table_ ? table_->version() : ConfigurationVersion();
        record.outcome = outcome_.value_or(RelayOutcome::CallerLeft);
        record.status = answerStatus_;
        record.target = lastTarget_;
        record.sends = history_.sends;
        record.possibleRuns = history_.possibleRuns;
        record.total = currentTime() - startedAt_;
        if (firstEventAt_ != TimePoint())
            record.firstEvent = firstEventAt_ - startedAt_;
        record.longestGap = longestGap_;
        record.problem = lastProblem_;
        recordOutcome(record, context_.metrics);
    }

    RelayContext& context_;
    HttpExchange& exchange_;
    fleet::CallerRequest caller_;
    // Keeps the objects behind `route_` and `service_` alive when the configuration changes.
    std::shared_ptr<const fleet::RouteTable> table_;
    std::shared_ptr<HttpCancellation> cancellation_;
    StreamBinding binding_;
    const fleet::Route* route_ = nullptr;
    const fleet::Service* service_ = nullptr;
    // The configuration that knows `customer_`, which is null when the request needs none.
    std::shared_ptr<const fleet::RouteTable> authorizedBy_;
    const fleet::Customer* customer_ = nullptr;
    LimitTicket limitTicket_;
    // Absent where all requests are equally urgent.
    std::optional<fleet::Urgency> urgency_;
    TimePoint startedAt_;
    TimePoint deadline_;
    // Computed when first needed, because it hashes the body.
    std::optional<fleet::RequestTraits> traits_;
    // The next send finds out whether a blocked request still crashes targets.
    bool isTrial_ = false;
    fleet::SendHistory history_;
    std::vector<TargetId> excludedTargets_;
    // Endpoints to which the request was sent.
    std::vector<Endpoint> usedEndpoints_;
    EventSplitter splitter_;
    // The header of a streamed answer was sent to the caller.
    bool streamStarted_ = false;
    TimePoint firstEventAt_;
    TimePoint lastEventAt_;
    Duration longestGap_{0};
    // The process is about to end, and no answer of a target is waited for any more.
    bool isStopping_ = false;
    // The request was given up at a target that was silent, and might still have been answered there.
    bool gaveUpSilentTarget_ = false;
    // Pause before the next attempt to send an interrupted request, and whether it is due before the next send.
    Duration resumeDelay_ = RelayLimits::resumeRetryDelay;
    bool pauseIsDue_ = false;
    std::optional<TimePoint> adapterLoadedAt_;
    int adapterRetries_ = 0;
    // Whether the placement owner is still asked to load the adapter, how long it was waited for, and on how many
    // targets it could not be loaded.
    bool mayLoadAdapter_ = true;
    Duration adapterWait_{0};
    int adapterRefusals_ = 0;
    Duration modelWait_{0};
    Duration slotWait_{0};
    // A failure that a target reported, forwarded to the caller when no other target answers.
    std::optional<HttpResponse> targetFailure_;
    std::unique_ptr<MemoryBudget::Share> failureMemory_;
    TargetId lastTarget_;
    std::string lastProblem_;
    int answerStatus_ = 0;
    std::optional<RelayOutcome> outcome_;
};

} // namespace lychee::gateway
