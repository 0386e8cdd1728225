// Relays callers' requests to targets: one fiber for each request, from its header to the end of its answer.
#pragma once

#include "fleet/RetryPolicy.h"
#include "gateway/AdapterUse.h"
#include "gateway/RelayContext.h"
#include "gateway/RelayDialect.h"
#include "gateway/RelayLimits.h"
#include "protocol/EventSplitter.h"
#include "transport/Log.h"
#include "transport/TransportError.h"

namespace lychee::gateway {

inline constexpr LogChannel relayLog("relay");

// The life of one request.
template <RelayDialect Dialect> class RelayedRequest {
public:
    RelayedRequest(RelayContext& parts, HttpExchange& exchange)
        : parts_(parts)
        , exchange_(exchange)
        , caller_(Dialect::readRequest(exchange.request()))
        , table_(parts.routes->read())
        , cancellation_(std::make_shared<HttpCancellation>())
    {
    }

    void run()
    {
        startedAt_ = exchange_.startedAt();
        exchange_.onPeerGone([cancellation = cancellation_] { cancellation->cancel(); });
        if (accept())
            sendUntilAnswered();
        record();
    }

private:
    struct Attempt {
        fleet::ChosenTarget target;
        fleet::SendId send;
        std::unique_ptr<HttpStream> stream;
        absl::Status status;
        bool sent = false;
    };

    bool accept()
    {
        if (!table_) {
            refuse("no configuration is known yet", RelayLimits::noConfigurationRetry);
            return false;
        }
        if (caller_.attempt.empty()) {
            reject(400, "the request has no id");
            return false;
        }
        route_ = table_->match(caller_.host, exchange_.request().path());
        if (!route_) {
            reject(404, "no route leads there");
            return false;
        }
        const ServiceId* picked = fleet::pickService(*route_, drawOf(caller_.attempt));
        service_ = picked ? table_->service(*picked) : nullptr;
        if (!service_) {
            refuse("the service of the route is not declared", RelayLimits::noConfigurationRetry);
            return false;
        }
        if (!service_->engine)
            caller_.generation.reset();
        const Duration patience = caller_.patience.value_or(route_->timeout);
        deadline_ = startedAt_ + std::min(patience, route_->timeout);
        parts_.resends.request(service_->id, currentTime());
        if (caller_.generation)
            parts_.demand.record(*caller_.generation, currentTime());
        return true;
    }

    // Equal for all instances, so that the shares of a split route hold for each of them.
    static double drawOf(const RequestId& attempt)
    {
        constexpr double range = 4294967296.0;
        return static_cast<double>(static_cast<std::uint32_t>(std::hash<std::string>()(attempt.value()))) / range;
    }

    void sendUntilAnswered()
    {
        while (end_ == std::nullopt) {
            if (cancellation_->isRequested()) {
                end_ = RelayEnd::CallerLeft;
                if (begun_)
                    exchange_.abort();
                return;
            }
            if (currentTime() >= deadline_)
                return timedOut();
            const auto choice = choose();
            if (const auto* none = std::get_if<fleet::NoTarget>(&choice)) {
                if (!waitToResume())
                    noTarget(*none);
                continue;
            }
            if (const auto* awaited = std::get_if<fleet::AwaitedModel>(&choice)) {
                awaitModel(*awaited);
                continue;
            }
            sendTo(std::get<fleet::ChosenTarget>(choice));
        }
    }

    fleet::TargetDecision choose() const
    {
        const TimePoint now = currentTime();
        fleet::ChoiceInput input{*service_, caller_.generation ? &*caller_.generation : nullptr, parts_.dataCentre, now,
            deadline_ - now, route_->latencyObjective, excluded_, parts_.placementReached, modelWait_,
            caller_.attempt.value()};
        return fleet::chooseTarget(parts_.registry, input);
    }

    // A stream that has begun may find a target a moment later; the caller still waits for its next event.
    bool waitToResume()
    {
        if (!begun_ || currentTime() - lastEventAt_ > RelayLimits::resumeLimit)
            return false;
        excluded_.clear();
        sleepFor(RelayLimits::resumePause);
        return true;
    }

    // Looks again often, because loads are done sooner or later than expected, and callers leave.
    void awaitModel(const fleet::AwaitedModel& awaited)
    {
        if (modelWait_ == Duration(0)) {
            relayLog.info("request={} model={} awaited expected_ms={}", caller_.attempt, caller_.generation->model,
                std::chrono::duration_cast<std::chrono::milliseconds>(awaited.expectedAt - currentTime()).count());
        }
        sleepFor(RelayLimits::modelPause);
        modelWait_ += RelayLimits::modelPause;
    }

    void noTarget(const fleet::NoTarget& none)
    {
        if (begun_)
            return breakOff(fleet::nameOf(none.reason));
        if (failure_)
            return passFailure();
        if (history_.possibleRuns > 0)
            return fail(502, lastProblem_);
        refuse(fleet::nameOf(none.reason), none.retryAfter);
    }

    void sendTo(const fleet::ChosenTarget& target)
    {
        if (target.adapterMissing && !ensureAdapter(target))
            return;
        const AdapterUse use(parts_, target.target, caller_.generation);
        Attempt attempt = open(target);
        const bool failed = !attempt.status.ok();
        if (cancellation_->isRequested())
            return endSend(attempt, fleet::SendOutcome::Abandoned);
        if (failed)
            return afterFailedSend(attempt);
        handleAnswer(attempt);
    }

    bool ensureAdapter(const fleet::ChosenTarget& target)
    {
        const fleet::GenerationNeed& need = *caller_.generation;
        const TimePoint limit = std::min(deadline_, currentTime() + RelayLimits::ensureAdapter);
        const absl::Status status = parts_.ensureAdapter(target.target, need.model, *need.adapter, limit);
        if (status.ok()) {
            adapterLoadedAt_ = currentTime();
            return true;
        }
        // Nobody else need wait for an owner that does not answer; the control duty tells when it is reached again.
        if (errorOf<TransportError>(status) == TransportError::TimedOut)
            parts_.placementReached = false;
        relayLog.info("request={} target={} adapter={}/{} not loaded: {}", caller_.attempt, target.target, need.model,
            *need.adapter, messageOf(status));
        lastProblem_ = "the adapter could not be loaded";
        excluded_.push_back(target.target);
        return false;
    }

    Attempt open(const fleet::ChosenTarget& target)
    {
        Attempt attempt{target, {}, nullptr, {}, false};
        const TimePoint now = currentTime();
        attempt.send
            = parts_.registry.beginSend(target.target, caller_.generation ? &*caller_.generation : nullptr, now);
        TargetSend send{target.target, deadline_ - now, std::clamp(route_->priority, 0, 9), resumeAfter()};
        HttpCallLimits limits;
        limits.deadline = deadline_;
        limits.connectTimeout = RelayLimits::connect;
        limits.interByteTimeout = deadline_ - now;
        limits.maxIdle = route_->isRepeatable() ? RelayLimits::idle : RelayLimits::freshIdle;
        limits.cancellation = cancellation_;
        limits.belongs = [id = caller_.attempt](const HttpHeaders& headers) { return Dialect::belongs(headers, id); };
        if (fleet::mayRetryAfterUnknown(*route_, history_) && parts_.resends.isAvailable(service_->id, now)) {
            limits.headerTimeout = patienceFor(target);
            if (route_->kind == fleet::RequestKind::Streaming)
                limits.interByteTimeout = std::max(limits.headerTimeout, 2 * route_->eventGapObjective);
        }
        auto outcome = parts_.http.open(target.endpoint, Dialect::targetRequest(exchange_.request(), send), limits);
        attempt.stream = std::move(outcome.answer);
        attempt.status = outcome.status;
        attempt.sent = outcome.sent;
        return attempt;
    }

    std::optional<std::uint64_t> resumeAfter() const
    {
        return begun_ && splitter_.lastEventId() ? splitter_.lastEventId() : caller_.resumeAfter;
    }

    // How long a send that can be repeated elsewhere may take to answer: well beyond what is expected, and short
    // enough that another target can still be in time.
    Duration patienceFor(const fleet::ChosenTarget& target) const
    {
        const Duration expected = 3 * target.predicted + route_->latencyObjective;
        const Duration half = (deadline_ - currentTime()) / 2;
        return std::max(std::min(expected, half), RelayLimits::shortestPatience);
    }

    void afterFailedSend(Attempt& attempt)
    {
        const bool silent = errorOf<TransportError>(attempt.status) == TransportError::TimedOut;
        if (!attempt.sent) {
            endSend(attempt, fleet::SendOutcome::Unreachable);
            return proceed(attempt, fleet::SendResult::NotSent, messageOf(attempt.status));
        }
        endSend(attempt, silent ? fleet::SendOutcome::NoAnswer : fleet::SendOutcome::Failed);
        if (silent && currentTime() >= deadline_) {
            history_.add(fleet::SendResult::OutcomeUnknown);
            return timedOut();
        }
        proceed(attempt, fleet::SendResult::OutcomeUnknown, messageOf(attempt.status));
    }

    void handleAnswer(Attempt& attempt)
    {
        const int status = attempt.stream->status();
        const TargetAnswer answer = Dialect::readAnswer(status, attempt.stream->headers());
        if (answer.notRun)
            return afterNotRun(attempt, answer);
        const bool success = status >= 200 && status < 300;
        if (success && !answer.genuine) {
            endSend(attempt, fleet::SendOutcome::Failed);
            return proceed(attempt, fleet::SendResult::OutcomeUnknown, "the answer is not genuine");
        }
        parts_.registry.prefillDone(attempt.send);
        if (success && route_->kind == fleet::RequestKind::Streaming)
            return relayStream(attempt);
        deliverWhole(attempt, success);
    }

    void afterNotRun(Attempt& attempt, const TargetAnswer& answer)
    {
        const int status = attempt.stream->status();
        readRest(attempt);
        const bool adapterArriving = adapterLoadedAt_ && adapterPauses_ < RelayLimits::adapterPauses && status != 429;
        endSend(
            attempt, answer.misdirected || adapterArriving ? fleet::SendOutcome::Declined : fleet::SendOutcome::Full);
        if (status == 400)
            return reject(400, "the target rejected the request");
        if (answer.misdirected && caller_.generation && !adapterArriving) {
            parts_.registry.recordMissing(attempt.target.target, *caller_.generation);
            if (caller_.generation->adapter && !adapterLoadedAt_ && mayAskAgain())
                return;
        }
        if (adapterArriving) {
            ++adapterPauses_;
            sleepFor(RelayLimits::adapterPause);
            if (parts_.resends.isAvailable(service_->id, currentTime())) {
                parts_.resends.take(service_->id, currentTime());
                return;
            }
        }
        proceed(attempt, fleet::SendResult::NotRun, fmt::format("status {}", status));
    }

    // An adapter that was just unloaded can be loaded on the same target again.
    bool mayAskAgain()
    {
        const TimePoint now = currentTime();
        if (!parts_.resends.isAvailable(service_->id, now))
            return false;
        parts_.resends.take(service_->id, now);
        history_.add(fleet::SendResult::NotRun);
        // Counts as loaded, so that this happens once.
        adapterLoadedAt_ = now;
        return true;
    }

    // Reads what is left of an answer, so that its connection can be used again.
    void readRest(Attempt& attempt)
    {
        while (true) {
            const auto piece = attempt.stream->read();
            if (!piece.ok() || !piece->has_value())
                return;
        }
    }

    // Sends again or ends the request after a send that gave no answer.
    void proceed(const Attempt& attempt, fleet::SendResult result, std::string_view problem)
    {
        history_.add(result);
        lastProblem_ = std::string(problem);
        excluded_.push_back(attempt.target.target);
        const TimePoint now = currentTime();
        const bool budget = parts_.resends.isAvailable(service_->id, now);
        const fleet::NextStep step = fleet::nextStep(*route_, history_, result, budget);
        relayLog.info("request={} route={} target={} send={} problem=\"{}\" next={} budget={} left_ms={}",
            caller_.attempt, route_->id, attempt.target.target, history_.sends, problem, static_cast<int>(step), budget,
            std::chrono::duration_cast<std::chrono::milliseconds>(deadline_ - now).count());
        switch (step) {
        case fleet::NextStep::SendAgain:
            if (fleet::usesRetryBudget(result))
                parts_.resends.take(service_->id, now);
            return;
        case fleet::NextStep::Refuse:
            if (begun_)
                return breakOff(problem);
            return refuse(problem, RelayLimits::shortestPatience);
        case fleet::NextStep::ReportUnknown:
            if (begun_)
                return breakOff(problem);
            return fail(502, problem);
        case fleet::NextStep::ForwardFailure:
            if (begun_)
                return breakOff(problem);
            return passFailure();
        }
    }

    void deliverWhole(Attempt& attempt, bool success)
    {
        HttpResponse response{attempt.stream->status(), Dialect::callerHeaders(attempt.stream->headers()), {}};
        while (true) {
            auto piece = attempt.stream->read();
            if (cancellation_->isRequested())
                return endSend(attempt, fleet::SendOutcome::Abandoned);
            if (!piece.ok()) {
                attempt.status = piece.status();
                return afterFailedSend(attempt);
            }
            if (!piece->has_value())
                break;
            response.body += **piece;
        }
        const bool targetFailed = response.status >= 500;
        endSend(attempt, targetFailed ? fleet::SendOutcome::Failed : fleet::SendOutcome::Answered);
        if (targetFailed) {
            const int status = response.status;
            failure_ = std::move(response);
            return proceed(attempt, fleet::SendResult::TargetFailed, fmt::format("status {}", status));
        }
        if (begun_)
            return breakOff("the target refused to continue the stream");
        deliver(response, success);
    }

    void deliver(const HttpResponse& response, bool success)
    {
        const absl::Status status = exchange_.respond(response);
        answerStatus_ = response.status;
        if (!status.ok())
            end_ = RelayEnd::CallerLeft;
        else
            end_ = success ? RelayEnd::Delivered : RelayEnd::Failed;
    }

    void passFailure()
    {
        // A target's answer without proof could be taken as a promise that the request has not run.
        const TargetAnswer answer = Dialect::readAnswer(failure_->status, failure_->headers);
        if (!answer.genuine && failure_->status == 503)
            return fail(502, lastProblem_);
        deliver(*failure_, false);
    }

    void relayStream(Attempt& attempt)
    {
        while (true) {
            auto piece = attempt.stream->read();
            if (cancellation_->isRequested())
                return endSend(attempt, fleet::SendOutcome::Abandoned);
            if (!piece.ok()) {
                attempt.status = piece.status();
                splitter_.dropRest();
                return afterFailedSend(attempt);
            }
            if (!piece->has_value())
                return endStream(attempt);
            const std::string events = splitter_.feed(**piece);
            if (!events.empty() && !forward(attempt, events))
                return endSend(attempt, fleet::SendOutcome::Abandoned);
        }
    }

    bool forward(Attempt& attempt, const std::string& events)
    {
        absl::Status status;
        if (!begun_) {
            answerStatus_ = attempt.stream->status();
            firstEventAt_ = currentTime();
            status = exchange_.beginStream(answerStatus_, Dialect::callerHeaders(attempt.stream->headers()));
            begun_ = true;
        }
        if (status.ok())
            status = exchange_.write(events);
        lastEventAt_ = currentTime();
        if (!status.ok())
            cancellation_->cancel();
        return status.ok();
    }

    void endStream(Attempt& attempt)
    {
        const std::string rest = splitter_.rest();
        if (!begun_ || !rest.empty()) {
            if (!forward(attempt, rest))
                return endSend(attempt, fleet::SendOutcome::Abandoned);
        }
        endSend(attempt, fleet::SendOutcome::Answered);
        end_ = exchange_.endStream().ok() ? RelayEnd::Delivered : RelayEnd::CallerLeft;
    }

    void endSend(Attempt& attempt, fleet::SendOutcome outcome)
    {
        // Closes the connection of an answer that was not read to its end, so that the target stops its work.
        attempt.stream.reset();
        lastTarget_ = attempt.target.target;
        parts_.registry.endSend(attempt.send, outcome, currentTime());
    }

    void timedOut()
    {
        lastProblem_ = "the time limit has passed";
        if (begun_)
            return breakOff(lastProblem_);
        if (history_.possibleRuns > 0)
            return fail(504, lastProblem_);
        refuse(lastProblem_, RelayLimits::shortestPatience);
    }

    void breakOff(std::string_view problem)
    {
        lastProblem_ = std::string(problem);
        end_ = RelayEnd::BrokenOff;
        exchange_.abort();
    }

    void refuse(std::string_view reason, Duration retryAfter)
    {
        lastProblem_ = std::string(reason);
        answer({503, lastProblem_, retryAfter}, RelayEnd::Refused);
    }

    void fail(int status, std::string_view reason)
    {
        answer({status, std::string(reason), std::nullopt}, RelayEnd::Failed);
    }

    void reject(int status, std::string_view reason)
    {
        lastProblem_ = std::string(reason);
        answer({status, lastProblem_, std::nullopt}, RelayEnd::Rejected);
    }

    void answer(const OwnAnswer& own, RelayEnd end)
    {
        answerStatus_ = own.status;
        end_ = exchange_.respond(Dialect::ownAnswer(own)).ok() ? end : RelayEnd::CallerLeft;
    }

    void record()
    {
        RelayRecord record;
        record.caller = &caller_;
        record.route = route_;
        record.service = service_;
        record.configuration = table_ ? table_->version() : ConfigurationVersion();
        record.end = end_.value_or(RelayEnd::CallerLeft);
        record.status = answerStatus_;
        record.target = lastTarget_;
        record.sends = history_.sends;
        record.possibleRuns = history_.possibleRuns;
        record.total = currentTime() - startedAt_;
        if (firstEventAt_ != TimePoint())
            record.firstEvent = firstEventAt_ - startedAt_;
        record.problem = lastProblem_;
        recordEnd(record, parts_.metrics);
    }

    RelayContext& parts_;
    HttpExchange& exchange_;
    fleet::CallerRequest caller_;
    // Keeps the route and the service alive while the configuration changes.
    std::shared_ptr<const fleet::RouteTable> table_;
    std::shared_ptr<HttpCancellation> cancellation_;
    const fleet::Route* route_ = nullptr;
    const fleet::Service* service_ = nullptr;
    TimePoint startedAt_;
    TimePoint deadline_;
    fleet::SendHistory history_;
    std::vector<TargetId> excluded_;
    EventSplitter splitter_;
    // The header of the answer has gone to the caller.
    bool begun_ = false;
    TimePoint firstEventAt_;
    TimePoint lastEventAt_;
    std::optional<TimePoint> adapterLoadedAt_;
    int adapterPauses_ = 0;
    Duration modelWait_{0};
    // The failure that a target reported, for the case that no other target answers.
    std::optional<HttpResponse> failure_;
    TargetId lastTarget_;
    std::string lastProblem_;
    int answerStatus_ = 0;
    std::optional<RelayEnd> end_;
};

} // namespace lychee::gateway
