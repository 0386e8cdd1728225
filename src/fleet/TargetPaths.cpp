#include "fleet/TargetPaths.h"

#include <algorithm>
#include <vector>

namespace lychee::fleet {

namespace {

// Targets that only peers reach from which on this instance counts as detached, and how old the observations may be.
constexpr std::size_t targetsToDetach = 2;
constexpr Duration maxProofAge = std::chrono::seconds(5);

// Direct connections in a row after which it does not any more.
constexpr int openedToAttach = 2;

// Peers are not asked again for a target that they could not reach either for this time.
constexpr Duration askInterval = std::chrono::seconds(2);

// The same for all targets after peers have reached none of this many.
constexpr std::size_t failuresToPause = 2;
constexpr Duration askPause = std::chrono::seconds(1);

bool isRecent(const std::optional<TimePoint>& time, TimePoint now, Duration limit)
{
    return time && now - *time < limit;
}

} // namespace

bool TargetPaths::isProven(const Endpoint& target) const
{
    const auto found = links_.find(target);
    return found != links_.end() && found->second.provenAt;
}

bool TargetPaths::mayAskPeer(const Endpoint& target, TimePoint now) const
{
    const auto found = links_.find(target);
    if (found != links_.end() && isRecent(found->second.peersFailedAt, now, askInterval))
        return false;
    if (detached_)
        return true;
    const auto failures = std::count_if(links_.begin(), links_.end(), [&](const auto& entry) {
        const auto& failedAt = entry.second.peersFailedAt;
        return isRecent(failedAt, now, askPause) && (!peerOpenedAt_ || *failedAt > *peerOpenedAt_);
    });
    return static_cast<std::size_t>(failures) < failuresToPause;
}

void TargetPaths::directOpened(const Endpoint& target, TimePoint now)
{
    directOpenedAt_ = now;
    links_.erase(target);
    if (!detached_ || ++opened_ < openedToAttach)
        return;
    detached_ = false;
    // Those whose links are still broken are found out again.
    links_.clear();
}

void TargetPaths::directFailed(const Endpoint& target, TimePoint now)
{
    links_[target].directFailedAt = now;
    opened_ = 0;
}

void TargetPaths::peerOpened(const Endpoint& target, TimePoint now)
{
    peerOpenedAt_ = now;
    Link& link = links_[target];
    link.peersFailedAt.reset();
    if (!link.directFailedAt)
        return;
    link.provenAt = now;
    reviewDetached(now);
}

void TargetPaths::peersFailed(const Endpoint& target, TimePoint now)
{
    Link& link = links_[target];
    link.peersFailedAt = now;
    link.provenAt.reset();
}

void TargetPaths::reviewDetached(TimePoint now)
{
    const auto proven = std::count_if(links_.begin(), links_.end(), [&](const auto& entry) {
        const Link& link = entry.second;
        return isRecent(link.provenAt, now, maxProofAge)
            && (!directOpenedAt_ || *link.directFailedAt > *directOpenedAt_);
    });
    if (detached_ || static_cast<std::size_t>(proven) < targetsToDetach)
        return;
    detached_ = true;
    opened_ = 0;
}

bool TargetPaths::hasProven() const
{
    return std::any_of(links_.begin(), links_.end(), [](const auto& entry) { return entry.second.provenAt; });
}

std::optional<Endpoint> TargetPaths::nextProbe()
{
    std::vector<Endpoint> proven;
    for (const auto& [target, link] : links_) {
        if (link.provenAt)
            proven.push_back(target);
    }
    if (proven.empty()) {
        // The targets by which the loss of the links was noticed have gone.
        detached_ = false;
        return std::nullopt;
    }
    const auto next = std::find_if(
        proven.begin(), proven.end(), [&](const Endpoint& target) { return !probed_ || *probed_ < target; });
    probed_ = next == proven.end() ? proven.front() : *next;
    return probed_;
}

} // namespace lychee::fleet
