#include "coordination/CrashingRequestTracker.h"

#include "protocol/Digest.h"

namespace lychee {

namespace {

// Two strikes: one crash may be shared by chance, two in isolation are not.
constexpr std::size_t quarantineStrikes = 2;

// Crashes remembered for one body; beyond that the one with the smallest id is dropped.
constexpr std::size_t maxCrashesPerBody = 16;

// Ended trials remembered; notices are late by seconds at most, and trials are rare.
constexpr std::size_t maxEndedTrials = 4096;

// The incarnation under which a trial is counted as a crash when its requester is gone.
EngineIncarnation lostTrial(const TrialId& trial)
{
    return EngineIncarnation(fmt::format("lost trial {} {}", trial.requester, trial.sequence));
}

InstanceId gateOf(const std::set<InstanceId>& instances)
{
    InstanceId gate;
    std::string highest;
    for (const InstanceId& instance : instances) {
        const std::string score = sha256Hex("crash trials " + instance.value());
        if (score > highest) {
            highest = score;
            gate = instance;
        }
    }
    return gate;
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
    gate_ = gateOf(instances);
    membershipChanged_ = now;
    std::vector<std::pair<TrialId, Trial>> lost;
    for (const auto& trial : trials_) {
        if (!instances.contains(trial.first.requester))
            lost.push_back(trial);
    }
    for (const auto& [id, trial] : lost)
        announce(TrialEnded{id, CrashStrike{trial.body, {trial.target, lostTrial(id)}}}, now, reaction);
    // Every instance concludes the same; one of them tells those that missed the grant.
    if (gate_ != settings_.instance)
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
        const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(now - suspect.latest);
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
    // Clearing a crash does not prolong the memory of the others.
    const auto known = suspects_.find(cleared.body);
    Suspect& entry = suspect(cleared.body, known == suspects_.end() ? now : known->second.latest, now);
    for (const CrashId& crash : cleared.crashes)
        insertBounded(entry.cleared, crash);
}

void CrashingRequestTracker::apply(const TrialRequested& request, TimePoint now, CrashReaction& reaction)
{
    if (!mayGrant(now) || hasEnded(request.trial))
        return;
    // The end of a trial can get lost in a partition.
    std::erase_if(trials_, [&](const auto& trial) { return now - trial.second.since >= settings_.quarantine; });
    // The grant may have been lost on its way.
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
    if (found == suspects_.end() || now - found->second.latest >= settings_.quarantine)
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

bool CrashingRequestTracker::mayGrant(TimePoint now) const
{
    return gate_ == settings_.instance && now - membershipChanged_ >= settings_.settle;
}

bool CrashingRequestTracker::hasEnded(const TrialId& trial) const
{
    return std::find(endedTrials_.begin(), endedTrials_.end(), trial) != endedTrials_.end();
}

// The entry of `body`, created if there is none, whose latest strike is not before `latest`.
CrashingRequestTracker::Suspect& CrashingRequestTracker::suspect(const BodyHash& body, TimePoint latest, TimePoint now)
{
    auto entry = suspects_.find(body);
    // An expired entry starts afresh.
    if (entry != suspects_.end() && now - entry->second.latest >= settings_.quarantine) {
        suspects_.erase(entry);
        entry = suspects_.end();
    }
    if (entry == suspects_.end()) {
        makeRoom(now);
        entry = suspects_.insert({body, Suspect{{}, {}, latest}}).first;
    }
    entry->second.latest = std::max(entry->second.latest, latest);
    return entry->second;
}

// At the limit, forgets the expired bodies, and if there are none the one whose latest strike is oldest.
void CrashingRequestTracker::makeRoom(TimePoint now)
{
    if (suspects_.size() < settings_.maxBodies)
        return;
    std::erase_if(suspects_, [&](const auto& entry) { return now - entry.second.latest >= settings_.quarantine; });
    if (suspects_.size() < settings_.maxBodies)
        return;
    suspects_.erase(std::min_element(suspects_.begin(), suspects_.end(),
        [](const auto& left, const auto& right) { return left.second.latest < right.second.latest; }));
}

} // namespace lychee
