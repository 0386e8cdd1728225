#include "fleet/AdapterPlaces.h"

#include <algorithm>

namespace lychee::fleet {

std::string_view nameOf(YieldReason reason)
{
    switch (reason) {
    case YieldReason::Idle:
        return "idle";
    case YieldReason::Turn:
        return "turn";
    }
    return "unknown";
}

void AdapterPlaces::recordUse(const TargetId& target, const AdapterName& adapter, TimePoint now)
{
    Residence& residence = engines_[target].residences[adapter];
    residence.usedAt = now;
    residence.awaitsRetry = false;
    waits_.erase(adapter);
}

void AdapterPlaces::recordRequest(const TargetId& target, const AdapterName& adapter, TimePoint now)
{
    auto found = waits_.find(adapter);
    if (found == waits_.end()) {
        if (waits_.size() >= maxWaiting)
            removeOldWaits(now);
        if (waits_.size() >= maxWaiting)
            return;
        found = waits_.emplace(adapter, Wait{now, now, {}, {}}).first;
    } else if (now - found->second.lastRequest > waitMemory) {
        found->second = Wait{now, now, {}, {}};
    }
    found->second.lastRequest = now;
    found->second.requests[target] = now;
}

void AdapterPlaces::recordLoad(const TargetId& target, const AdapterName& adapter, bool awaitsRetry, TimePoint now)
{
    engines_[target].residences[adapter] = Residence{now, now, awaitsRetry};
}

void AdapterPlaces::recordUnload(const TargetId& target, const AdapterName& adapter)
{
    engines_[target].residences.erase(adapter);
}

void AdapterPlaces::recordTurn(const TargetId& target, const AdapterName& wanted, TimePoint now)
{
    engines_[target].lastTurn = now;
    if (const auto found = waits_.find(wanted); found != waits_.end())
        found->second.lastTurn = now;
}

void AdapterPlaces::removeTarget(const TargetId& target)
{
    engines_.erase(target);
    for (auto& [adapter, wait] : waits_)
        wait.requests.erase(target);
}

Duration AdapterPlaces::waited(const AdapterName& adapter, TimePoint now) const
{
    const auto found = waits_.find(adapter);
    return found == waits_.end() ? Duration(0) : Duration(now - found->second.since);
}

bool AdapterPlaces::mayTakeTurn(const Engine* engine, const AdapterName& wanted,
    absl::FunctionRef<bool(const AdapterName&)> heldElsewhere, TimePoint now) const
{
    const Duration wait = waited(wanted, now);
    const auto asked = waits_.find(wanted);
    if (asked != waits_.end() && asked->second.lastTurn && now - *asked->second.lastTurn < turnTime)
        return false;
    if (wait < maxWait || (wait < maxWaitWhenHeld && heldElsewhere(wanted)))
        return false;
    return !engine || !engine->lastTurn || now - *engine->lastTurn >= minTurnInterval;
}

std::optional<AdapterYield> AdapterPlaces::yieldFor(const TargetId& target, const AdapterName& wanted,
    std::span<const AdapterName> resident, absl::FunctionRef<bool(const AdapterName&)> heldElsewhere,
    TimePoint now) const
{
    const Engine* engine = find(target);
    if (const auto idle = leastRecentlyUsed(engine, resident, now))
        return AdapterYield{*idle, YieldReason::Idle};
    if (!mayTakeTurn(engine, wanted, heldElsewhere, now))
        return std::nullopt;
    const auto held = longestHeld(engine, resident, heldElsewhere, now);
    return held ? std::optional(AdapterYield{*held, YieldReason::Turn}) : std::nullopt;
}

std::optional<AdapterName> AdapterPlaces::longestWaiting(
    const TargetId& target, absl::FunctionRef<bool(const AdapterName&)> isEligible, TimePoint now) const
{
    std::optional<AdapterName> longest;
    std::pair<bool, TimePoint> lowest;
    for (const auto& [adapter, wait] : waits_) {
        const auto request = wait.requests.find(target);
        if (request == wait.requests.end() || now - request->second > requestAge)
            continue;
        const std::pair<bool, TimePoint> rank{now - request->second > recentRequest, wait.since};
        if ((!longest || rank < lowest) && isEligible(adapter)) {
            longest = adapter;
            lowest = rank;
        }
    }
    return longest;
}

TimePoint AdapterPlaces::idleFrom(const Residence& residence) const
{
    return residence.usedAt + (residence.awaitsRetry ? std::max<Duration>(retryWindow, useWindow_) : useWindow_);
}

TimePoint AdapterPlaces::idleFrom(const TargetId& target, const AdapterName& adapter) const
{
    const Residence* residence = find(find(target), adapter);
    return residence ? idleFrom(*residence) : knownSince_ + useWindow_;
}

const AdapterPlaces::Engine* AdapterPlaces::find(const TargetId& target) const
{
    const auto found = engines_.find(target);
    return found == engines_.end() ? nullptr : &found->second;
}

const AdapterPlaces::Residence* AdapterPlaces::find(const Engine* engine, const AdapterName& adapter)
{
    if (!engine)
        return nullptr;
    const auto found = engine->residences.find(adapter);
    return found == engine->residences.end() ? nullptr : &found->second;
}

std::optional<AdapterName> AdapterPlaces::leastRecentlyUsed(
    const Engine* engine, std::span<const AdapterName> resident, TimePoint now) const
{
    std::optional<AdapterName> oldest;
    TimePoint oldestUse = TimePoint::max();
    for (const AdapterName& adapter : resident) {
        const Residence* residence = find(engine, adapter);
        const TimePoint use = residence ? residence->usedAt : knownSince_;
        if (use < oldestUse && now > (residence ? idleFrom(*residence) : knownSince_ + useWindow_)) {
            oldest = adapter;
            oldestUse = use;
        }
    }
    return oldest;
}

// An adapter that another engine holds as well is served there, so it comes first. Of the rest, the one that has held
// its place longest is taken, so that adapters in use take turns.
std::optional<AdapterName> AdapterPlaces::longestHeld(const Engine* engine, std::span<const AdapterName> resident,
    absl::FunctionRef<bool(const AdapterName&)> heldElsewhere, TimePoint now)
{
    std::optional<AdapterName> chosen;
    std::pair<bool, TimePoint> lowest;
    for (const AdapterName& adapter : resident) {
        const Residence* residence = find(engine, adapter);
        const TimePoint loadedAt = residence && residence->loadedAt ? *residence->loadedAt : TimePoint();
        if (residence && residence->loadedAt && now - loadedAt < minHoldTime)
            continue;
        const std::pair<bool, TimePoint> rank{!heldElsewhere(adapter), loadedAt};
        if (!chosen || rank < lowest) {
            chosen = adapter;
            lowest = rank;
        }
    }
    return chosen;
}

void AdapterPlaces::removeOldWaits(TimePoint now)
{
    std::erase_if(waits_, [&](const auto& entry) { return now - entry.second.lastRequest > waitMemory; });
}

} // namespace lychee::fleet
