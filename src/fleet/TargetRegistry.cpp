#include "fleet/TargetRegistry.h"

#include "coordination/RendezvousHash.h"

#include <cmath>

namespace lychee::fleet {

namespace {

// Work reported by a peer is ignored after this time, which is twice the longest interval between reports.
constexpr Duration maxPeerWorkAge = std::chrono::seconds(2);

// Time constant by which the queued prompts of a peer's report decay: two long prompts are prefilled in this time.
// Without the decay all instances would avoid a target because of work that it has completed since the report.
constexpr std::chrono::duration<double> peerQueueDecayTime = std::chrono::milliseconds(400);

// Time constant by which the load that a target reported loses its weight against the reports of the peers.
constexpr std::chrono::duration<double> reportedLoadLifetime = std::chrono::milliseconds(500);

// After this time a prompt part counts as evicted from the cache. An engine with memory for 232,000 tokens that
// prefills 1.5 prompts of 9,000 tokens a second replaces the content of its memory in about 17 s.
constexpr Duration promptPartLifetime = std::chrono::seconds(15);

// Prompt parts recorded for each target. Above this number, those older than the cache lifetime are dropped.
constexpr std::size_t maxPromptParts = 2048;

// Fraction of the shared prompt that is expected in the cache of the target that all instances prefer for it. Below 1,
// because the first request after a move or an eviction has to prefill it again.
constexpr double preferredCacheShare = 0.8;

// Weight of the latest send in the failure share, which is a moving average.
constexpr double failureWeight = 0.2;

// Half-life of the failure share while nothing is sent to the target.
constexpr double failureHalfLifeSeconds = 3;

// Number of consecutive failures after which a target is ejected for a time. A single failure to connect is enough.
constexpr int failuresToEject = 3;

// Duration of the first ejection; it doubles with each further failure, up to the given number of times.
constexpr Duration firstEjection = std::chrono::milliseconds(500);
constexpr int maxEjectionDoublings = 3;

// A data centre counts as cut off when this many of its targets were found unreachable within this time.
constexpr std::size_t minUnreachedTargets = 2;
constexpr Duration maxUnreachedAge = std::chrono::milliseconds(1500);

// The assumed time from the first event to the end of a stream until some were measured, and the weight of the latest
// stream in the average.
constexpr double initialOccupancySeconds = 0.6;
constexpr double occupancyWeight = 0.02;

// Targets whose notices are remembered. Above this number, those of targets that are not listed are dropped.
constexpr std::size_t maxNotices = 4096;

// Longest time for which the list entry of a restarted target may be missing. A longer one is the error of a clock.
constexpr std::int64_t maxUnlistedMilliseconds = 60'000;

// How long a target on which an adapter could not be loaded is avoided for further ones. Its places are probably all in
// use, or its queue is long; a place is given away after an adapter was not used for 400 ms.
constexpr Duration adapterRefusalAvoidance = std::chrono::milliseconds(400);

// Part of the time to the first event or the answer that the prediction leaves out. Below it, the network and the
// caller's machine decide the measured time. The work of a plain request takes 60 ms; an engine needs a few decoding
// steps.
constexpr Duration unpredictedPlainTime = std::chrono::milliseconds(60);
constexpr Duration unpredictedEngineTime = std::chrono::milliseconds(30);

// Least time of a decoding step for one token of an answer: an event of 5 tokens takes 5.23 ms. The usual time is
// longer; ExpectationBias measures by how much.
constexpr Duration leastTokenTime = std::chrono::microseconds(1046);

// Reports of a target's load that are older than this time are not passed on and do not count for the share of slots.
constexpr Duration maxForwardedLoadAge = std::chrono::seconds(1);

// A target counts as brittle for this time after it has last said so; it does in all its answers.
constexpr Duration brittleMemory = std::chrono::seconds(5);

// How long a brittle target that has turned a request away gets none. The time doubles up to the limit while it goes on
// turning requests away.
constexpr Duration firstTurnAwayPause = std::chrono::seconds(1);
constexpr Duration maxTurnAwayPause = std::chrono::seconds(4);

// How long a target is avoided after it has reported that it is full.
constexpr Duration fullAvoidance = std::chrono::milliseconds(150);

} // namespace

TargetWork TargetState::totalWork(TimePoint now, Duration runTime) const
{
    TargetWork total = own;
    double running = 0;
    for (const auto& [peer, report] : peers) {
        const auto& [work, reportedAt] = report;
        if (now - reportedAt > maxPeerWorkAge)
            continue;
        const std::chrono::duration<double> age = now - reportedAt;
        running += work.running * std::exp(-age / runTime);
        total.prefill.add(work.prefill, std::exp(-age / peerQueueDecayTime));
        total.heldTokens += work.heldTokens;
    }
    if (reportedAt) {
        const double trust = std::exp(-(now - *reportedAt) / reportedLoadLifetime);
        running = trust * reportedOthers + (1 - trust) * running;
    }
    total.running += static_cast<std::uint32_t>(std::lround(running));
    return total;
}

double TargetState::decayedFailureShare(TimePoint now) const
{
    const double seconds = std::chrono::duration<double>(now - failureShareAt).count();
    return failureShare * std::exp2(-seconds / failureHalfLifeSeconds);
}

void TargetRegistry::update(const TargetRecord& record)
{
    // A list that was restored from a copy may show a target as it was before.
    if (record.draining)
        recordLeaving(record.id, record.incarnation, std::nullopt);
    std::unique_ptr<TargetState>& state = targets_[record.id];
    if (!state || state->record.incarnation != record.incarnation || state->record.endpoint != record.endpoint) {
        state = std::make_unique<TargetState>();
        state->record = record;
        applyNotice(record.id);
        rebuildServices();
        return;
    }
    Holdings known = std::move(state->record.holdings);
    const bool serviceChanged = state->record.service != record.service;
    state->record = record;
    applyNotice(record.id);
    // List entries lag behind the holdings that the placement owner has sent.
    const bool keepKnown = known.sequence > record.holdings.sequence
        || (known.sequence == record.holdings.sequence && state->holdingsFromOwner);
    if (keepKnown)
        state->record.holdings = std::move(known);
    else
        state->holdingsFromOwner = false;
    if (serviceChanged)
        rebuildServices();
}

void TargetRegistry::remove(const TargetId& id)
{
    if (targets_.erase(id) > 0)
        rebuildServices();
}

void TargetRegistry::updateHoldings(const TargetId& id, TargetIncarnation incarnation, const Holdings& holdings)
{
    const auto found = targets_.find(id);
    if (found == targets_.end() || found->second->record.incarnation != incarnation)
        return;
    Holdings& known = found->second->record.holdings;
    if (holdings.sequence < known.sequence)
        return;
    known = holdings;
    found->second->holdingsFromOwner = true;
}

void TargetRegistry::recordPeerWork(const InstanceId& peer, std::span<const TargetWorkReport> reports, TimePoint now)
{
    for (const auto& [id, state] : targets_)
        state->peers.erase(peer);
    for (const TargetWorkReport& report : reports) {
        const auto found = targets_.find(report.target);
        if (found == targets_.end())
            continue;
        if (report.work.running > 0)
            found->second->peers[peer] = {report.work, now};
        if (report.pace)
            found->second->pace.recordPeer(*report.pace, now);
        if (report.load)
            recordRequests(*found->second, report.load->requests, now - report.load->age, now);
    }
    peers_[peer] = now;
    if (now - peersPrunedAt_ > maxPeerWorkAge) {
        std::erase_if(peers_, [&](const auto& entry) { return now - entry.second > maxPeerWorkAge; });
        peersPrunedAt_ = now;
    }
}

void TargetRegistry::recordLoad(const TargetId& id, const ReportedLoad& load, TimePoint now)
{
    const auto found = targets_.find(id);
    if (found == targets_.end())
        return;
    TargetState& state = *found->second;
    state.reportedOthers
        = std::max(0.0, static_cast<double>(load.running) + load.waiting - static_cast<double>(state.own.running));
    state.reportedAt = now;
    recordRequests(state, load.running + load.waiting, now, now);
    state.ownReport = {load.running + load.waiting, now};
    if (load.pace)
        state.pace.recordReport(*load.pace, now);
}

void TargetRegistry::recordRequests(TargetState& state, std::uint32_t requests, TimePoint at, TimePoint now)
{
    if (state.newestReport && state.newestReport->second > at)
        return;
    state.newestReport = {requests, at};
    if (!isScarce(state.record.service))
        return;
    double load = 0;
    double slots = 0;
    for (const TargetState* target : ofService(state.record.service)) {
        if (!target->newestReport || now - target->newestReport->second > maxForwardedLoadAge)
            continue;
        load += target->newestReport->first;
        slots += target->record.slots;
    }
    if (slots > 0)
        slotShares_[state.record.service].recordLoad(load / slots, now);
}

bool TargetRegistry::isScarce(const ServiceId& service) const
{
    double slots = 0;
    for (const TargetState* target : ofService(service))
        slots += std::max(target->record.slots, 1);
    return static_cast<double>(peers_.size()) + 1 > slots;
}

const SlotShare* TargetRegistry::slotShare(const ServiceId& service) const
{
    const auto found = slotShares_.find(service);
    return found != slotShares_.end() && isScarce(service) ? &found->second : nullptr;
}

TargetRegistry::Notice* TargetRegistry::noticeOf(const TargetId& id, TargetIncarnation incarnation)
{
    if (notices_.size() >= maxNotices)
        std::erase_if(notices_, [&](const auto& entry) { return !targets_.contains(entry.first); });
    Notice fresh;
    fresh.incarnation = incarnation;
    Notice& notice = notices_.try_emplace(id, fresh).first->second;
    if (incarnation < notice.incarnation)
        return nullptr;
    if (notice.incarnation != incarnation)
        notice = notice.saidBy(incarnation);
    return &notice;
}

TargetRegistry::Notice TargetRegistry::Notice::saidBy(TargetIncarnation later) const
{
    const auto hadStarted = [later](const std::optional<EpochTime>& heardAt) {
        return heardAt && later.value() <= heardAt->value()
            && heardAt->value() - later.value() <= maxUnlistedMilliseconds;
    };
    Notice notice;
    notice.incarnation = later;
    if (hadStarted(leavingHeardAt)) {
        notice.leaving = leaving;
        notice.leavingHeardAt = leavingHeardAt;
    }
    if (hadStarted(declineHeardAt)) {
        notice.declinesUntil = declinesUntil;
        notice.declineHeardAt = declineHeardAt;
    }
    return notice;
}

void TargetRegistry::recordLeaving(const TargetId& id, TargetIncarnation incarnation, std::optional<EpochTime> heardAt)
{
    if (Notice* notice = noticeOf(id, incarnation)) {
        notice->leaving = true;
        if (heardAt)
            notice->leavingHeardAt = heardAt;
    }
    applyNotice(id);
}

bool TargetRegistry::isLeaving(const TargetId& id, TargetIncarnation incarnation) const
{
    const auto found = targets_.find(id);
    if (found == targets_.end())
        return true;
    return found->second->record.incarnation == incarnation && !found->second->isInService();
}

bool TargetRegistry::wasReplaced(const TargetId& id, TargetIncarnation incarnation) const
{
    const auto found = targets_.find(id);
    return found != targets_.end() && found->second->record.incarnation != incarnation;
}

void TargetRegistry::recordDeclined(
    const TargetId& id, TargetIncarnation incarnation, TimePoint until, std::optional<EpochTime> heardAt)
{
    if (Notice* notice = noticeOf(id, incarnation)) {
        notice->declinesUntil = std::max(notice->declinesUntil, until);
        if (heardAt)
            notice->declineHeardAt = heardAt;
    }
    applyNotice(id);
}

void TargetRegistry::applyNotice(const TargetId& id)
{
    const auto target = targets_.find(id);
    const auto notice = notices_.find(id);
    if (target == targets_.end() || notice == notices_.end())
        return;
    const TargetIncarnation listed = target->second->record.incarnation;
    if (notice->second.incarnation > listed)
        return;
    if (notice->second.incarnation < listed)
        notice->second = notice->second.saidBy(listed);
    target->second->leaving = notice->second.leaving;
    target->second->declinesUntil = notice->second.declinesUntil;
    target->second->limit = notice->second.limit;
}

bool TargetRegistry::recordLimit(
    const TargetId& id, TargetIncarnation incarnation, std::optional<double> perSecond, TimePoint sentAt, TimePoint now)
{
    const auto known = notices_.find(id);
    const bool isKnown = known != notices_.end() && known->second.incarnation == incarnation && known->second.limit;
    if (!perSecond) {
        // An answer to a request from before may have been written before the target set the limit.
        if (!isKnown || sentAt <= known->second.limit->knownSince)
            return false;
        known->second.limit.reset();
    } else if (isKnown) {
        if (known->second.limit->perSecond == *perSecond)
            return false;
        known->second.limit->perSecond = *perSecond;
    } else if (Notice* notice = noticeOf(id, incarnation)) {
        notice->limit = RequestLimit{*perSecond, now};
    } else {
        return false;
    }
    applyNotice(id);
    return true;
}

void TargetRegistry::recordBrittle(const TargetId& id, TargetIncarnation incarnation, bool isBrittle, TimePoint now)
{
    const auto found = targets_.find(id);
    if (found != targets_.end() && found->second->record.incarnation == incarnation)
        found->second->brittleUntil = isBrittle ? now + brittleMemory : TimePoint();
}

Duration TargetRegistry::recordTurnedAway(const TargetId& id, TargetIncarnation incarnation, TimePoint now)
{
    const auto found = targets_.find(id);
    if (found == targets_.end() || found->second->record.incarnation != incarnation)
        return firstTurnAwayPause;
    TargetState& state = *found->second;
    // Requests that were on their way together count once.
    if (now - state.turnedAwayAt >= state.turnAwayPause) {
        const bool goesOn = state.turnAwayPause > Duration(0) && now - state.turnedAwayAt < 2 * state.turnAwayPause;
        state.turnAwayPause = goesOn ? std::min(2 * state.turnAwayPause, maxTurnAwayPause) : firstTurnAwayPause;
        state.turnedAwayAt = now;
    }
    recordDeclined(id, incarnation, state.turnedAwayAt + state.turnAwayPause, std::nullopt);
    return state.turnedAwayAt + state.turnAwayPause - now;
}

std::map<TargetId, double> TargetRegistry::limits() const
{
    std::map<TargetId, double> limits;
    for (const auto& [id, state] : targets_) {
        if (state->limit)
            limits.emplace(id, state->limit->perSecond);
    }
    return limits;
}

std::vector<TargetWorkReport> TargetRegistry::ownWork(TimePoint now) const
{
    std::vector<TargetWorkReport> reports;
    for (const auto& [id, state] : targets_) {
        const std::optional<PaceNews> pace = state->pace.news(now);
        std::optional<AgedLoad> load;
        if (state->ownReport && now - state->ownReport->second < maxForwardedLoadAge && isScarce(state->record.service))
            load = AgedLoad{state->ownReport->first, now - state->ownReport->second};
        if (state->own.running > 0 || pace || load)
            reports.push_back({id, state->own, pace, load});
    }
    return reports;
}

SendId TargetRegistry::beginSend(const TargetId& target, const GenerationNeed* need, TimePoint now, Duration predicted,
    Urgency urgency, bool fetchesCache)
{
    const SendId id = nextSend_;
    nextSend_ = nextSend_.next();
    const auto found = targets_.find(target);
    if (found == targets_.end())
        return id;
    TargetState& state = *found->second;
    Send send{target, state.record.incarnation, urgency, 0, 0, need != nullptr, std::nullopt, now};
    // The prediction includes the pace.
    send.expected = std::chrono::duration_cast<Duration>(predicted / state.pace.meanOver(predicted, now))
        + (need ? unpredictedEngineTime : unpredictedPlainTime);
    send.reportedPace = state.pace.reportedOver(send.expected, now);
    if (need && need->outputHint)
        send.outputTokens = static_cast<double>(std::min(*need->outputHint, need->maxOutputTokens).value());
    if (need) {
        const std::vector<std::uint64_t> hashes = promptPartHashes(*need);
        send.prefillTokens = uncachedTokens(state, *need, hashes, now);
        if (fetchesCache)
            send.prefillTokens = std::min(send.prefillTokens, tokensWithSharedPartsCached(*need));
        const TokenCount output = std::min(need->outputHint.value_or(need->maxOutputTokens), need->maxOutputTokens);
        send.heldTokens = static_cast<double>(need->promptTokens.value() + output.value());
        for (const std::uint64_t hash : hashes)
            state.promptParts[hash] = now;
        if (state.promptParts.size() > maxPromptParts)
            std::erase_if(state.promptParts, [&](const auto& part) { return now - part.second > promptPartLifetime; });
    }
    ++state.own.running;
    state.own.prefill.add(urgency, send.prefillTokens);
    state.own.heldTokens += send.heldTokens;
    sends_.emplace(id, std::move(send));
    return id;
}

void TargetRegistry::prefillDone(SendId send, TimePoint now)
{
    const auto found = sends_.find(send);
    if (found == sends_.end())
        return;
    if (!found->second.firstEventAt)
        found->second.firstEventAt = now;
    const auto target = targets_.find(found->second.target);
    if (target != targets_.end() && target->second->record.incarnation == found->second.incarnation)
        target->second->own.prefill.remove(found->second.urgency, found->second.prefillTokens);
    found->second.prefillTokens = 0;
}

void TargetRegistry::endSend(SendId send, SendOutcome outcome, TimePoint now)
{
    prefillDone(send, now);
    const auto found = sends_.find(send);
    if (found == sends_.end())
        return;
    const Send ended = std::move(found->second);
    sends_.erase(found);
    const auto target = targets_.find(ended.target);
    if (target == targets_.end() || target->second->record.incarnation != ended.incarnation)
        return;
    TargetState& state = *target->second;
    state.own.running -= std::min<std::uint32_t>(state.own.running, 1);
    state.own.heldTokens = std::max(0.0, state.own.heldTokens - ended.heldTokens);
    if (outcome == SendOutcome::Answered && ended.isGeneration)
        recordOccupancy(state.record.service, now - *ended.firstEventAt);
    if (outcome == SendOutcome::Answered)
        recordTimes(state, ended, now);
    recordHealth(state, outcome, now);
}

void TargetRegistry::recordOccupancy(const ServiceId& service, Duration occupancy)
{
    const auto average = occupancySeconds_.try_emplace(service, initialOccupancySeconds).first;
    average->second += occupancyWeight * (std::chrono::duration<double>(occupancy).count() - average->second);
}

void TargetRegistry::recordTimes(TargetState& state, const Send& send, TimePoint now)
{
    // Times of targets that report no pace are not used.
    if (!state.pace.age(now))
        return;
    auto& [first, rest] = biases_[state.record.service];
    const TimePoint answeredAt = send.isGeneration ? *send.firstEventAt : now;
    recordMeasured(first, state.pace, answeredAt - send.startedAt, send.expected, send.reportedPace);
    if (!send.isGeneration || send.outputTokens <= 0)
        return;
    const auto decoding = std::chrono::duration_cast<Duration>(send.outputTokens * leastTokenTime);
    const double reported = state.pace.reportedOver(now - answeredAt, answeredAt);
    recordMeasured(rest, state.pace, now - answeredAt, decoding, reported);
}

void TargetRegistry::recordMeasured(
    ExpectationBias& bias, TargetPace& pace, Duration measured, Duration expected, double reported)
{
    using Seconds = std::chrono::duration<double>;
    if (const auto multiple = bias.correct(Seconds(measured) / Seconds(expected), reported))
        pace.recordMeasured(*multiple, reported);
}

double TargetRegistry::paceOver(const TargetId& target, Duration time, TimePoint now) const
{
    const TargetState* state = find(target);
    return state ? state->pace.meanOver(time, now) : 1;
}

std::vector<PaceState> TargetRegistry::paces(TimePoint now, std::size_t limit) const
{
    std::vector<PaceState> states;
    for (const auto& [id, state] : targets_) {
        if (const auto age = state->pace.age(now))
            states.push_back({id, state->pace.at(now), state->pace.sourceAt(now), *age});
    }
    std::sort(states.begin(), states.end(), [](const PaceState& left, const PaceState& right) {
        const double leftDistance = std::abs(std::log(left.pace));
        const double rightDistance = std::abs(std::log(right.pace));
        return std::tie(rightDistance, left.target) < std::tie(leftDistance, right.target);
    });
    states.resize(std::min(states.size(), limit));
    return states;
}

std::map<ServiceId, double> TargetRegistry::admittedFractions(TimePoint now) const
{
    std::map<ServiceId, double> fractions;
    for (const auto& [service, share] : slotShares_) {
        if (isScarce(service))
            fractions[service] = share.fraction(now);
    }
    return fractions;
}

Duration TargetRegistry::slotOccupancy(const ServiceId& service) const
{
    const auto found = occupancySeconds_.find(service);
    const double seconds = found == occupancySeconds_.end() ? initialOccupancySeconds : found->second;
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

void TargetRegistry::recordReachability(const TargetState& state, SendOutcome outcome, TimePoint now)
{
    Reachability& reachability = reachability_[state.record.dataCentre];
    if (outcome == SendOutcome::Unreachable || outcome == SendOutcome::NoAnswer)
        reachability.unreachedAt[state.record.id] = now;
    else if (outcome == SendOutcome::Answered || outcome == SendOutcome::Full)
        reachability.unreachedAt.clear();
}

bool TargetRegistry::isCutOff(const DataCentreId& dataCentre, TimePoint now) const
{
    const auto found = reachability_.find(dataCentre);
    if (found == reachability_.end())
        return false;
    std::size_t count = 0;
    for (const auto& [target, time] : found->second.unreachedAt)
        count += now - time <= maxUnreachedAge && targets_.contains(target) ? 1 : 0;
    return count >= minUnreachedTargets;
}

void TargetRegistry::recordMissing(const TargetId& id, const GenerationNeed& need)
{
    const auto found = targets_.find(id);
    if (found == targets_.end())
        return;
    auto& models = found->second->record.holdings.models;
    for (HeldModel& held : models) {
        if (held.model == need.model && need.adapter && held.adapters.erase(*need.adapter) > 0)
            return;
    }
    std::erase_if(models, [&](const HeldModel& held) { return held.model == need.model; });
}

void TargetRegistry::recordAdapterRefused(const TargetId& id, TargetIncarnation incarnation, TimePoint now)
{
    const auto found = targets_.find(id);
    if (found != targets_.end() && found->second->record.incarnation == incarnation)
        found->second->adaptersRefusedUntil = now + adapterRefusalAvoidance;
}

void TargetRegistry::recordAdapterLoaded(const TargetId& id, TargetIncarnation incarnation, const GenerationNeed& need)
{
    const auto found = targets_.find(id);
    if (found == targets_.end() || found->second->record.incarnation != incarnation || !need.adapter)
        return;
    found->second->adaptersRefusedUntil = {};
    for (HeldModel& held : found->second->record.holdings.models) {
        if (held.model == need.model)
            held.adapters.insert(*need.adapter);
    }
}

void TargetRegistry::recordHealth(TargetState& state, SendOutcome outcome, TimePoint now)
{
    recordReachability(state, outcome, now);
    const bool failed
        = outcome == SendOutcome::Unreachable || outcome == SendOutcome::Failed || outcome == SendOutcome::NoAnswer;
    if (outcome == SendOutcome::Full)
        state.fullUntil = now + fullAvoidance;
    if (!failed && outcome != SendOutcome::Answered)
        return;
    state.failureShare = state.decayedFailureShare(now) * (1 - failureWeight) + (failed ? failureWeight : 0);
    state.failureShareAt = now;
    if (!failed) {
        state.consecutiveFailures = 0;
        state.ejectedUntil = {};
        return;
    }
    ++state.consecutiveFailures;
    const int excessFailures = state.consecutiveFailures - (outcome == SendOutcome::Unreachable ? 1 : failuresToEject);
    if (excessFailures >= 0)
        state.ejectedUntil = now + firstEjection * (1 << std::min(excessFailures, maxEjectionDoublings));
}

const TargetState* TargetRegistry::find(const TargetId& id) const
{
    const auto found = targets_.find(id);
    return found == targets_.end() ? nullptr : found->second.get();
}

std::span<TargetState* const> TargetRegistry::ofService(const ServiceId& service) const
{
    const auto found = byService_.find(service);
    if (found == byService_.end())
        return {};
    return found->second;
}

bool TargetRegistry::isListed(const Endpoint& endpoint) const
{
    return std::any_of(
        targets_.begin(), targets_.end(), [&](const auto& entry) { return entry.second->record.endpoint == endpoint; });
}

void TargetRegistry::rebuildServices()
{
    byService_.clear();
    for (const auto& [id, state] : targets_)
        byService_[state->record.service].push_back(state.get());
    // Ties between targets must not depend on the iteration order of a hash table.
    for (auto& [service, list] : byService_) {
        std::sort(list.begin(), list.end(),
            [](const TargetState* left, const TargetState* right) { return left->record.id < right->record.id; });
    }
}

std::vector<std::uint64_t> promptPartHashes(const GenerationNeed& need)
{
    std::vector<std::uint64_t> hashes;
    hashes.reserve(need.parts.size());
    std::string key = need.model.value() + '/' + (need.adapter ? need.adapter->value() : std::string());
    for (const PromptPart& part : need.parts) {
        key += fmt::format("/{:x}", part.id);
        hashes.push_back(rendezvousWeight(key, ""));
    }
    return hashes;
}

double tokensWithSharedPartsCached(const GenerationNeed& need)
{
    const double total = static_cast<double>(need.promptTokens.value());
    if (need.parts.empty())
        return total;
    const double own = static_cast<double>(need.parts.back().tokens.value());
    return total - preferredCacheShare * std::max(total - own, 0.0);
}

double uncachedTokens(
    const TargetState& state, const GenerationNeed& need, std::span<const std::uint64_t> partHashes, TimePoint now)
{
    double tokens = static_cast<double>(need.promptTokens.value());
    for (std::size_t i = 0; i < partHashes.size(); ++i) {
        const auto found = state.promptParts.find(partHashes[i]);
        if (found == state.promptParts.end() || now - found->second > promptPartLifetime)
            break;
        tokens -= static_cast<double>(need.parts[i].tokens.value());
    }
    return std::max(tokens, 1.0);
}

} // namespace lychee::fleet
