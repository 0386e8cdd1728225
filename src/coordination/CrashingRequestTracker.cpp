#include "coordination/CrashingRequestTracker.h"

#include "protocol/Digest.h"

namespace lychee {

namespace {

// One crash may be caused by another body of the same batch. The second one happens in a trial, where no other body
// with a strike runs.
constexpr std::size_t quarantineStrikes = 2;

// Crashes remembered for one body. Beyond it, the one with the smallest id is dropped.
constexpr std::size_t maxCrashesPerBody = 16;

// Ended trials remembered. Notices are at most a few seconds late and trials are rare, so this suffices.
constexpr std::size_t maxEndedTrials = 4096;

// The incarnation in the crash id that is recorded for a trial whose requester no longer exists.
EngineIncarnation lostTrialIncarnation(const TrialId& trial)
{
    return EngineIncarnation(fmt::format("lost trial {} {}", trial.requester, trial.sequence));
}

InstanceId trialCoordinator(const std::set<InstanceId>& instances)
{
    InstanceId coordinator;
    std::string highest;
    for (const InstanceId& instance : instances) {
        const std::string score = sha256Hex("crash trials " + instance.value());
        if (score > highest) {
            highest = score;
            coordinator = instance;
        }
    }
    return coordinator;
}

void insertBounded(std::set<CrashId>& crashes, const CrashId& crash)
{
    crashes.insert(crash);
    if (crashes.size() > maxCrashesPerBody)
        crashes.erase(crashes.begin());
}

} // namespace

CrashingRequestTracker CrashingRequestTracker::create(CrashSettings settings)
{
    return CrashingRequestTracker(std::move(settings));
}

CrashingRequestTracker::CrashingRequestTracker(CrashSettings settings)
    : settings_(std::move(settings))
{
}

CrashReaction CrashingRequestTracker::setInstances(const std::set<InstanceId>& instances, TimePoint now)
{
    CrashReaction reaction;
    if (instances == instances_)
        return reaction;
    instances_ = instances;
    coordinator_ = trialCoordinator(instances);
    membershipChangedAt_ = now;
    std::vector<std::pair<TrialId, Trial>> lostTrials;
    for (const auto& trial : trials_) {
        if (!instances.contains(trial.first.requester))
            lostTrials.push_back(trial);
    }
    for (const auto& [id, trial] : lostTrials)
        announce(TrialEnded{id, CrashStrike{trial.body, {trial.target, lostTrialIncarnation(id)}}}, now, reaction);
    // Every instance derives the same notices. Only the coordinator floods them, for instances that missed the grant.
    if (coordinator_ != settings_.instance)
        reaction.flood.clear();
    return reaction;
}

BodyAdmission CrashingRequestTracker::admit(const BodyHash& body, TimePoint now) const
{
    const std::size_t strikes = suspectedCrashes(body, now).size();
    if (strikes == 0)
        return BodyAdmission::Free;
    return strikes < quarantineStrikes ? BodyAdmission::Trial : BodyAdmission::Quarantined;
}

std::pair<TrialId, CrashReaction> CrashingRequestTracker::requestTrial(
    const BodyHash& body, const std::vector<TargetId>& candidates, TimePoint now)
{
    const TrialId trial{settings_.instance, nextSequence_++};
    requests_[trial] = {{body, trial, candidates}, now};
    return {trial, repeatRequest(trial, now)};
}

CrashReaction CrashingRequestTracker::repeatRequest(const TrialId& trial, TimePoint now)
{
    CrashReaction reaction;
    const auto request = requests_.find(trial);
    if (request != requests_.end())
        announce(TrialRequested(request->second.notice), now, reaction);
    return reaction;
}

CrashReaction CrashingRequestTracker::withdraw(const TrialId& trial, TimePoint now)
{
    CrashReaction reaction;
    if (requests_.erase(trial) > 0)
        announce(TrialEnded{trial}, now, reaction);
    return reaction;
}

void CrashingRequestTracker::started(const BodyRun& run) { runs_.insert(run); }

CrashReaction CrashingRequestTracker::ended(const BodyRun& run, bool completed, TimePoint now)
{
    CrashReaction reaction;
    const auto found = runs_.find(run);
    if (found != runs_.end())
        runs_.erase(found);
    std::vector<CrashId> crashes = suspectedCrashes(run.body, now);
    if (completed && !crashes.empty())
        announce(StrikesCleared{run.body, std::move(crashes)}, now, reaction);
    if (run.trial)
        announce(TrialEnded{*run.trial}, now, reaction);
    return reaction;
}

CrashReaction CrashingRequestTracker::targetCrashed(const CrashId& crash, TimePoint now)
{
    CrashReaction reaction;
    std::vector<BodyRun> crashed;
    std::copy_if(runs_.begin(), runs_.end(), std::back_inserter(crashed),
        [&](const BodyRun& run) { return run.target == crash.target; });
    std::erase_if(runs_, [&](const BodyRun& run) { return run.target == crash.target; });
    for (const BodyRun& run : crashed) {
        const CrashStrike strike{run.body, crash};
        if (run.trial)
            announce(TrialEnded{*run.trial, strike}, now, reaction);
        else
            announce(strike, now, reaction);
    }
    return reaction;
}

CrashReaction CrashingRequestTracker::merge(const CrashNotice& notice, TimePoint now)
{
    CrashReaction reaction;
    std::visit([&](const auto& typed) { apply(typed, now, reaction); }, notice);
    return reaction;
}

std::vector<CrashNotice> CrashingRequestTracker::snapshot(TimePoint now) const
{
    std::vector<CrashNotice> notices;
    for (const auto& [body, suspect] : suspects_) {
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - suspect.latestStrike);
        for (const CrashId& crash : suspect.strikes)
            notices.push_back(CrashStrike{body, crash, age});
        if (!suspect.cleared.empty())
            notices.push_back(StrikesCleared{body, {suspect.cleared.begin(), suspect.cleared.end()}});
    }
    for (const auto& [id, trial] : trials_)
        notices.push_back(TrialGranted{trial.body, id, trial.target});
    return notices;
}

void CrashingRequestTracker::apply(const CrashStrike& strike, TimePoint now, CrashReaction& reaction)
{
    if (strike.age >= settings_.quarantine)
        return;
    insertBounded(suspect(strike.body, now - strike.age, now).strikes, strike.crash);
    if (admit(strike.body, now) == BodyAdmission::Free)
        return;
    for (const BodyRun& run : runs_) {
        if (run.body == strike.body && !run.trial)
            reaction.stop.push_back(run);
    }
}

void CrashingRequestTracker::apply(const StrikesCleared& cleared, TimePoint now, CrashReaction&)
{
    // Clearing a crash must not postpone the expiry of the other strikes.
    const auto known = suspects_.find(cleared.body);
    Suspect& entry = suspect(cleared.body, known == suspects_.end() ? now : known->second.latestStrike, now);
    for (const CrashId& crash : cleared.crashes)
        insertBounded(entry.cleared, crash);
}

void CrashingRequestTracker::apply(const TrialRequested& request, TimePoint now, CrashReaction& reaction)
{
    if (!isActiveCoordinator(now) || hasEnded(request.trial))
        return;
    // The notice of a trial's end can be lost in a network partition, so old trials are dropped.
    std::erase_if(trials_, [&](const auto& trial) { return now - trial.second.since >= settings_.quarantine; });
    // This is a repeated request: the grant may have been lost, so it is sent again.
    const auto granted = trials_.find(request.trial);
    if (granted != trials_.end()) {
        announce(TrialGranted{request.body, request.trial, granted->second.target}, now, reaction);
        return;
    }
    const bool running = std::any_of(
        trials_.begin(), trials_.end(), [&](const auto& trial) { return trial.second.body == request.body; });
    const std::optional<TargetId> target = freeTarget(request);
    if (!running && target && admit(request.body, now) == BodyAdmission::Trial)
        announce(TrialGranted{request.body, request.trial, *target}, now, reaction);
}

void CrashingRequestTracker::apply(const TrialGranted& grant, TimePoint now, CrashReaction& reaction)
{
    if (hasEnded(grant.trial))
        return;
    const bool isNew = trials_.insert({grant.trial, {grant.body, grant.target, now}}).second;
    if (grant.trial.requester != settings_.instance || !isNew)
        return;
    const auto request = requests_.find(grant.trial);
    const bool wanted = request != requests_.end() && now - request->second.since < trialStartLimit
        && admit(grant.body, now) == BodyAdmission::Trial;
    if (request != requests_.end())
        requests_.erase(request);
    if (wanted)
        reaction.granted.push_back({grant.body, grant.target, grant.trial});
    else
        announce(TrialEnded{grant.trial}, now, reaction);
}

void CrashingRequestTracker::apply(const TrialEnded& ended, TimePoint now, CrashReaction& reaction)
{
    if (ended.strike)
        apply(*ended.strike, now, reaction);
    trials_.erase(ended.trial);
    if (hasEnded(ended.trial))
        return;
    endedTrials_.push_back(ended.trial);
    if (endedTrials_.size() > maxEndedTrials)
        endedTrials_.pop_front();
}

template <typename Notice>
void CrashingRequestTracker::announce(const Notice& notice, TimePoint now, CrashReaction& reaction)
{
    reaction.flood.push_back(notice);
    apply(notice, now, reaction);
}

std::vector<CrashId> CrashingRequestTracker::suspectedCrashes(const BodyHash& body, TimePoint now) const
{
    std::vector<CrashId> crashes;
    const auto found = suspects_.find(body);
    if (found == suspects_.end() || now - found->second.latestStrike >= settings_.quarantine)
        return crashes;
    const Suspect& suspect = found->second;
    std::set_difference(suspect.strikes.begin(), suspect.strikes.end(), suspect.cleared.begin(), suspect.cleared.end(),
        std::back_inserter(crashes));
    return crashes;
}

std::optional<TargetId> CrashingRequestTracker::freeTarget(const TrialRequested& request) const
{
    for (const TargetId& candidate : request.candidates) {
        const bool taken = std::any_of(
            trials_.begin(), trials_.end(), [&](const auto& trial) { return trial.second.target == candidate; });
        if (!taken)
            return candidate;
    }
    return std::nullopt;
}

bool CrashingRequestTracker::isActiveCoordinator(TimePoint now) const
{
    return coordinator_ == settings_.instance && now - membershipChangedAt_ >= settings_.membershipSettleTime;
}

bool CrashingRequestTracker::hasEnded(const TrialId& trial) const
{
    return std::find(endedTrials_.begin(), endedTrials_.end(), trial) != endedTrials_.end();
}

// Returns the entry of `body`, creating it if needed, and raises the time of its latest strike to `latestStrike`.
CrashingRequestTracker::Suspect& CrashingRequestTracker::suspect(
    const BodyHash& body, TimePoint latestStrike, TimePoint now)
{
    auto entry = suspects_.find(body);
    // An expired entry is replaced by an empty one.
    if (entry != suspects_.end() && now - entry->second.latestStrike >= settings_.quarantine) {
        suspects_.erase(entry);
        entry = suspects_.end();
    }
    if (entry == suspects_.end()) {
        evictIfFull(now);
        entry = suspects_.insert({body, Suspect{{}, {}, latestStrike}}).first;
    }
    entry->second.latestStrike = std::max(entry->second.latestStrike, latestStrike);
    return entry->second;
}

// If the limit is reached, evicts the expired bodies or, if there are none, the one whose latest strike is oldest.
void CrashingRequestTracker::evictIfFull(TimePoint now)
{
    if (suspects_.size() < settings_.maxBodies)
        return;
    std::erase_if(
        suspects_, [&](const auto& entry) { return now - entry.second.latestStrike >= settings_.quarantine; });
    if (suspects_.size() < settings_.maxBodies)
        return;
    suspects_.erase(std::min_element(suspects_.begin(), suspects_.end(),
        [](const auto& left, const auto& right) { return left.second.latestStrike < right.second.latestStrike; }));
}

} // namespace lychee
