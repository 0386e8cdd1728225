#include "fleet/RequestGrants.h"

#include "coordination/RendezvousHash.h"

#include <algorithm>

namespace lychee::fleet {

namespace {

// A target that gets no requests at all could not state that its limit has ended, so it is asked this often even if it
// takes fewer.
constexpr double minPerSecond = 0.25;

// Requests that may be granted at once after a pause: a fixed number and those of this time. Callers do not come
// evenly; without it, a target that takes as many as come on average would refuse a part of them.
constexpr double burstRequests = 3;
constexpr double burstSeconds = 0.5;

// The bucket of a target that was not known begins with this number: another instance may just have granted others.
constexpr double firstRequests = 1;

// A bucket that was not used for this time is full.
constexpr Duration unusedTime = std::chrono::seconds(10);

} // namespace

const InstanceId& granterOf(const TargetId& target, std::span<const InstanceId> instances)
{
    return *std::max_element(instances.begin(), instances.end(), [&](const InstanceId& left, const InstanceId& right) {
        return rendezvousWeight(left.value(), target.value()) < rendezvousWeight(right.value(), target.value());
    });
}

RequestGrant RequestGrants::take(
    const TargetId& target, TargetIncarnation incarnation, double perSecond, Duration maxWait, TimePoint now)
{
    if (buckets_.size() >= maxTargets && !buckets_.contains(target))
        dropUnused(now);
    const double rate = std::max(perSecond, minPerSecond);
    const auto [entry, added] = buckets_.try_emplace(target, Bucket{incarnation, firstRequests, now});
    Bucket& bucket = entry->second;
    if (bucket.incarnation != incarnation)
        bucket = {incarnation, firstRequests, now};
    const double seconds = std::chrono::duration<double>(now - bucket.updated).count();
    bucket.level = std::min(bucket.level + rate * std::max(seconds, 0.0), burstRequests + burstSeconds * rate);
    bucket.updated = now;
    const double missing = std::max(1 - bucket.level, 0.0);
    const auto wait = std::chrono::duration_cast<Duration>(std::chrono::duration<double>(missing / rate));
    if (wait > maxWait)
        return {false, wait - maxWait};
    bucket.level -= 1;
    return {true, wait};
}

void RequestGrants::dropUnused(TimePoint now)
{
    std::erase_if(buckets_, [&](const auto& entry) { return now - entry.second.updated > unusedTime; });
}

} // namespace lychee::fleet
