#include "daemon/CrashingRequestGuard.h"

#include "coordination/CrashNoticeCodec.h"
#include "transport/Log.h"

namespace lychee {

namespace {

constexpr LogChannel logChannel("crashes");

// Interval at which a request for a trial is repeated: a target may have become free, or the request may have been
// lost.
constexpr Duration trialRepeatInterval = std::chrono::milliseconds(100);

// Time for which a target is probed for a crash after a lost connection. The port of an exiting process still accepts
// connections for a moment.
constexpr Duration probeLimit = std::chrono::seconds(1);
constexpr Duration probeInterval = std::chrono::milliseconds(20);

// Limit of one probe. A target that answers none of them is silent, which does not count as a crash.
constexpr Duration probeTimeout = std::chrono::milliseconds(500);

// Number of probes of a plain service. It reports no incarnation, so only a refused connection shows a crash.
constexpr int serviceProbes = 5;

// Limit of the remembered crashes, by which attempts that began before a crash are told from later ones.
constexpr std::size_t maxKnownCrashes = 1024;

std::vector<PeerMessage> toMessages(const std::vector<CrashNotice>& notices)
{
    std::vector<PeerMessage> messages;
    messages.reserve(notices.size());
    for (const CrashNotice& notice : notices)
        messages.emplace_back(CrashNoticeMessage{encodeCrashNotice(notice)});
    return messages;
}

} // namespace

CrashingRequestGuard::CrashingRequestGuard(CrashingRequestGuardOptions options, Dispatcher& dispatcher,
    TargetGateway& targets, CrashingRequestGuardOutputs outputs)
    : dispatcher_(dispatcher)
    , targets_(targets)
    , outputs_(std::move(outputs))
    , suspicion_(CrashingRequestTracker::create({.instance = options.instance, .quarantine = options.quarantine}))
{
}

void CrashingRequestGuard::setMembers(const std::vector<MemberRecord>& members)
{
    std::set<InstanceId> instances;
    for (const MemberRecord& member : members) {
        if (member.state != MemberState::Dead)
            instances.insert(member.id);
    }
    applyReaction(suspicion_.setInstances(instances, currentTime()));
}

void CrashingRequestGuard::handle(const InstanceId& from, const CrashNoticeMessage& message)
{
    const absl::StatusOr<CrashNotice> notice = decodeCrashNotice(message.notice);
    if (!notice.ok()) {
        logChannel.warning("Ignoring a malformed crash notice from {}: {}.", from, messageOf(notice.status()));
        return;
    }
    if (const auto* strike = std::get_if<CrashStrike>(&*notice))
        handlePeerStrike(*strike);
    const auto* trialEnd = std::get_if<TrialEnded>(&*notice);
    if (trialEnd && trialEnd->strike)
        handlePeerStrike(*trialEnd->strike);
    applyReaction(suspicion_.merge(*notice, currentTime()));
}

void CrashingRequestGuard::peerConnected(const InstanceId& peer)
{
    const std::vector<CrashNotice> notices = suspicion_.snapshot(currentTime());
    if (!notices.empty())
        outputs_.sendTo(peer, toMessages(notices));
}

std::optional<BodyRun> CrashingRequestGuard::awaitTrial(
    const BodyHash& body, const std::vector<TargetId>& candidates, TimePoint deadline)
{
    const TimePoint limit = std::min(deadline, currentTime() + trialStartLimit);
    auto [trial, reaction] = suspicion_.requestTrial(body, candidates, currentTime());
    const auto waiter = std::make_shared<Waiter>();
    waiters_[trial] = waiter;
    applyReaction(reaction);
    while (!waiter->granted && admit(body) == BodyAdmission::Trial && currentTime() < limit) {
        const TimePoint repeat = std::min(limit, currentTime() + trialRepeatInterval);
        if (!waiter->answered.waitUntil(Duty::current()->timers(), repeat) && !waiter->granted)
            applyReaction(suspicion_.repeatRequest(trial, currentTime()));
    }
    waiters_.erase(trial);
    if (!waiter->granted)
        applyReaction(suspicion_.withdraw(trial, currentTime()));
    return waiter->granted;
}

void CrashingRequestGuard::releaseTrial(const BodyRun& run)
{
    applyReaction(suspicion_.ended(run, false, currentTime()));
}

std::shared_ptr<TrackedAttempt> CrashingRequestGuard::started(
    const BodyRun& run, const Endpoint& endpoint, std::function<void()> cancel)
{
    suspicion_.started(run);
    attempts_.push_back(std::make_shared<TrackedAttempt>(
        TrackedAttempt{run, endpoint, dispatcher_.incarnation(run.target), currentTime(), std::move(cancel)}));
    return attempts_.back();
}

void CrashingRequestGuard::ended(const std::shared_ptr<TrackedAttempt>& attempt, AttemptOutcome end)
{
    // The attempt is over, so it can no longer be cancelled. The probe decides whether its body gets a strike.
    std::erase(attempts_, attempt);
    const BodyRun& run = attempt->run;
    const ProbeResult result = end == AttemptOutcome::ConnectionLost ? probe(*attempt) : ProbeResult::NoCrash;
    const CrashId crash{run.target, attempt->incarnation};
    if (result != ProbeResult::NoCrash && isUnhandled(crash, attempt->startedAt)) {
        logChannel.warning("Target {} crashed: it {} after a connection ended without an answer.", run.target,
            result == ProbeResult::Refused ? "refuses connections" : "was restarted");
        recordCrash(crash, true);
        dispatcher_.targetCrashed(crash.target, crash.incarnation);
        applyReaction(suspicion_.targetCrashed(crash, currentTime()));
    }
    // Has no effect if the run was ended by the strike above.
    applyReaction(suspicion_.ended(run, end == AttemptOutcome::Completed, currentTime()));
}

void CrashingRequestGuard::applyReaction(const CrashReaction& reaction)
{
    // Grants are stored before this fiber suspends, so that no waiter withdraws a trial that it was granted.
    std::vector<std::shared_ptr<Waiter>> answered;
    for (const BodyRun& run : reaction.granted) {
        const auto waiter = waiters_.find(*run.trial);
        if (waiter == waiters_.end()) {
            releaseTrial(run);
            continue;
        }
        waiter->second->granted = run;
        answered.push_back(waiter->second);
    }
    if (!reaction.flood.empty())
        outputs_.flood(toMessages(reaction.flood));
    for (const std::shared_ptr<Waiter>& waiter : answered)
        waiter->answered.notify();
    const std::vector<std::shared_ptr<TrackedAttempt>> runs = attempts_;
    for (const std::shared_ptr<TrackedAttempt>& attempt : runs) {
        const bool stopped = std::find(reaction.stop.begin(), reaction.stop.end(), attempt->run) != reaction.stop.end();
        if (stopped && attempt->cancel)
            attempt->cancel();
    }
}

void CrashingRequestGuard::handlePeerStrike(const CrashStrike& strike)
{
    logChannel.info("A peer reported that target {} crashed while running the request with hash {}.",
        strike.crash.target, strike.body);
    if (knownCrashes_.contains(strike.crash))
        return;
    recordCrash(strike.crash, false);
    if (strike.age < probeLimit)
        dispatcher_.targetCrashed(strike.crash.target, strike.crash.incarnation);
}

void CrashingRequestGuard::recordCrash(const CrashId& crash, bool handled)
{
    if (knownCrashes_.size() >= maxKnownCrashes) {
        knownCrashes_.erase(std::min_element(knownCrashes_.begin(), knownCrashes_.end(),
            [](const auto& left, const auto& right) { return left.second.since < right.second.since; }));
    }
    knownCrashes_[crash] = {currentTime(), handled};
}

// Whether the crash still has to be reported for an attempt that began at `startedAt`. An attempt that began after the
// crash of its engine was known used an idle connection to the ended process and did not cause the crash.
bool CrashingRequestGuard::isUnhandled(const CrashId& crash, TimePoint startedAt) const
{
    const auto known = knownCrashes_.find(crash);
    if (known == knownCrashes_.end())
        return true;
    const bool before = startedAt <= known->second.since;
    // A plain service reports no incarnation: it may have been restarted, and a later attempt can hit another crash.
    if (crash.incarnation.empty() && !before)
        return true;
    return before && !known->second.handled;
}

ProbeResult CrashingRequestGuard::probe(const TrackedAttempt& attempt)
{
    return attempt.incarnation.empty() ? probeService(attempt) : probeEngine(attempt);
}

ProbeResult CrashingRequestGuard::probeEngine(const TrackedAttempt& attempt)
{
    const TimePoint limit = currentTime() + probeLimit;
    while (currentTime() < limit) {
        HttpCallLimits limits;
        limits.deadline = currentTime() + probeTimeout;
        limits.freshConnection = true;
        limits.maxBodyBytes = maxReportBytes;
        const HttpOutcome<HttpResponse> outcome = targets_.call(attempt.endpoint, {"GET", "/control/report"}, limits);
        if (errorOf<TransportError>(outcome.status) == TransportError::ConnectFailed)
            return ProbeResult::Refused;
        if (outcome.status.ok() && outcome.answer.status == 200) {
            const absl::StatusOr<EngineReport> report = decodeReport(outcome.answer.body);
            const bool same = !report.ok() || report->incarnation == attempt.incarnation;
            return same ? ProbeResult::NoCrash : ProbeResult::Restarted;
        }
        sleepFor(probeInterval);
    }
    return ProbeResult::NoCrash;
}

ProbeResult CrashingRequestGuard::probeService(const TrackedAttempt& attempt)
{
    for (int i = 0; i < serviceProbes; ++i) {
        const absl::Status status = targets_.connect(attempt.endpoint, probeTimeout);
        if (errorOf<TransportError>(status) == TransportError::ConnectFailed)
            return ProbeResult::Refused;
        sleepFor(probeInterval);
    }
    return ProbeResult::NoCrash;
}

} // namespace lychee
