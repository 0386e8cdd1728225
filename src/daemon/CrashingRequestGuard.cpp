#include "daemon/CrashingRequestGuard.h"

#include "coordination/CrashNoticeCodec.h"
#include "transport/Log.h"

namespace lychee {

namespace {

constexpr LogChannel logChannel("crashes");

// How often a request for a trial is repeated; a target may have become free, or the request may have been lost.
constexpr Duration trialRepeatInterval = std::chrono::milliseconds(100);

// Time after a lost connection in which a crash shows. While a process ends, its port still accepts for a moment.
constexpr Duration probeLimit = std::chrono::seconds(1);
constexpr Duration probeInterval = std::chrono::milliseconds(20);

// Limit of one probe: a target that answers none in time is silent.
constexpr Duration probeTimeout = std::chrono::milliseconds(500);

// Probes of a plain service. It reports no incarnation, so that only a refused connection shows a crash.
constexpr int serviceProbes = 5;

// Crashes that are remembered, to tell apart the runs before and after them.
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
    react(suspicion_.setInstances(instances, currentTime()));
}

void CrashingRequestGuard::handle(const InstanceId& from, const CrashNoticeMessage& message)
{
    const absl::StatusOr<CrashNotice> notice = decodeCrashNotice(message.notice);
    if (!notice.ok()) {
        logChannel.warning("A crash notice of {} is dropped: {}.", from, messageOf(notice.status()));
        return;
    }
    if (const auto* strike = std::get_if<CrashStrike>(&*notice))
        learn(*strike);
    const auto* trialEnd = std::get_if<TrialEnded>(&*notice);
    if (trialEnd && trialEnd->strike)
        learn(*trialEnd->strike);
    react(suspicion_.merge(*notice, currentTime()));
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
    react(reaction);
    while (!waiter->granted && admit(body) == BodyAdmission::Trial && currentTime() < limit) {
        const TimePoint repeat = std::min(limit, currentTime() + trialRepeatInterval);
        if (!waiter->answered.waitUntil(Duty::current()->timers(), repeat) && !waiter->granted)
            react(suspicion_.repeatRequest(trial, currentTime()));
    }
    waiters_.erase(trial);
    if (!waiter->granted)
        react(suspicion_.withdraw(trial, currentTime()));
    return waiter->granted;
}

void CrashingRequestGuard::releaseTrial(const BodyRun& run) { react(suspicion_.ended(run, false, currentTime())); }

std::shared_ptr<TrackedAttempt> CrashingRequestGuard::started(
    const BodyRun& run, const Endpoint& endpoint, std::function<void()> cancel)
{
    suspicion_.started(run);
    runs_.push_back(std::make_shared<TrackedAttempt>(
        TrackedAttempt{run, endpoint, dispatcher_.incarnation(run.target), currentTime(), std::move(cancel)}));
    return runs_.back();
}

void CrashingRequestGuard::ended(const std::shared_ptr<TrackedAttempt>& watched, AttemptOutcome end)
{
    // The attempt is over, so that nothing is left to cancel; its strike still depends on the probe.
    std::erase(runs_, watched);
    const BodyRun& run = watched->run;
    const ProbeResult result = end == AttemptOutcome::ConnectionLost ? probe(*watched) : ProbeResult::NoCrash;
    const CrashId crash{run.target, watched->incarnation};
    if (result != ProbeResult::NoCrash && isUnhandled(crash, watched->startedAt)) {
        logChannel.warning("Target {} crashed: it {} after a connection ended without an answer.", run.target,
            result == ProbeResult::Refused ? "refuses connections" : "was restarted");
        remember(crash, true);
        dispatcher_.targetCrashed(crash.target, crash.incarnation);
        react(suspicion_.targetCrashed(crash, currentTime()));
    }
    // Has no effect on a run that has just got a strike.
    react(suspicion_.ended(run, end == AttemptOutcome::Completed, currentTime()));
}

void CrashingRequestGuard::react(const CrashReaction& reaction)
{
    // A waiter learns of its grant before this fiber suspends, so that it does not give up a trial that it has.
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
    const std::vector<std::shared_ptr<TrackedAttempt>> runs = runs_;
    for (const std::shared_ptr<TrackedAttempt>& watched : runs) {
        const bool stopped = std::find(reaction.stop.begin(), reaction.stop.end(), watched->run) != reaction.stop.end();
        if (stopped && watched->cancel)
            watched->cancel();
    }
}

void CrashingRequestGuard::learn(const CrashStrike& strike)
{
    logChannel.info("A peer saw target {} crash while it ran body {}.", strike.crash.target, strike.body);
    if (crashes_.contains(strike.crash))
        return;
    remember(strike.crash, false);
    if (strike.age < probeLimit)
        dispatcher_.targetCrashed(strike.crash.target, strike.crash.incarnation);
}

void CrashingRequestGuard::remember(const CrashId& crash, bool handled)
{
    if (crashes_.size() >= maxKnownCrashes) {
        crashes_.erase(std::min_element(crashes_.begin(), crashes_.end(),
            [](const auto& left, const auto& right) { return left.second.since < right.second.since; }));
    }
    crashes_[crash] = {currentTime(), handled};
}

// Whether the crash has still to be reported for a run that began at `startedAt`. A run that began after the crash of
// its engine was known used an idle connection to the ended process and has no part in the crash.
bool CrashingRequestGuard::isUnhandled(const CrashId& crash, TimePoint startedAt) const
{
    const auto known = crashes_.find(crash);
    if (known == crashes_.end())
        return true;
    const bool before = startedAt <= known->second.since;
    // A service may have been restarted under the same name, so that a later run can meet another crash.
    if (crash.incarnation.empty() && !before)
        return true;
    return before && !known->second.handled;
}

ProbeResult CrashingRequestGuard::probe(const TrackedAttempt& watched)
{
    return watched.incarnation.empty() ? probeService(watched) : probeEngine(watched);
}

ProbeResult CrashingRequestGuard::probeEngine(const TrackedAttempt& watched)
{
    const TimePoint limit = currentTime() + probeLimit;
    while (currentTime() < limit) {
        HttpCallLimits limits;
        limits.deadline = currentTime() + probeTimeout;
        limits.freshConnection = true;
        limits.maxBodyBytes = maxReportBytes;
        const HttpOutcome<HttpResponse> outcome = targets_.call(watched.endpoint, {"GET", "/control/report"}, limits);
        if (errorOf<TransportError>(outcome.status) == TransportError::ConnectFailed)
            return ProbeResult::Refused;
        if (outcome.status.ok() && outcome.answer.status == 200) {
            const absl::StatusOr<EngineReport> report = decodeReport(outcome.answer.body);
            const bool same = !report.ok() || report->incarnation == watched.incarnation;
            return same ? ProbeResult::NoCrash : ProbeResult::Restarted;
        }
        sleepFor(probeInterval);
    }
    return ProbeResult::NoCrash;
}

ProbeResult CrashingRequestGuard::probeService(const TrackedAttempt& watched)
{
    for (int i = 0; i < serviceProbes; ++i) {
        const absl::Status status = targets_.connect(watched.endpoint, probeTimeout);
        if (errorOf<TransportError>(status) == TransportError::ConnectFailed)
            return ProbeResult::Refused;
        sleepFor(probeInterval);
    }
    return ProbeResult::NoCrash;
}

} // namespace lychee
