#include "fleet/RequestGrants.h"

#include "coordination/RendezvousHash.h"

#include <algorithm>

namespace lychee::fleet {

namespace {

// A target that gets no requests at all could not state that its limit has ended, so it is asked this often even if it
// takes fewer.
constexpr double minPerSecond = 0.25;

// Requests that may be granted at once after a pause: those of this time, but at least one.
constexpr double burstSeconds = 0.25;

// A bucket that was not used for this time is full.
constexpr Duration unusedTime = std::chrono::seconds(10);

} // namespace

const InstanceId& granterOf(const TargetId& target, std::span<const InstanceId> instances)
{
    return *std::max_element(instances.begin(), instances.end(), [&](const InstanceId& left, const InstanceId& right) {
        return rendezvousWeight(left.value(), target.value()) < rendezvousWeight(right.value(), target.value());
    });
}

std::optional<Duration> RequestGrants::take(
    const TargetId& target, TargetIncarnation incarnation, double perSecond, TimePoint now)
{
    if (buckets_.size() >= maxTargets && !buckets_.contains(target))
        dropUnused(now);
    const double rate = std::max(perSecond, minPerSecond);
    const double capacity = std::max(rate * burstSeconds, 1.0);
    const auto [entry, added] = buckets_.try_emplace(target, Bucket{incarnation, 1, now});
    Bucket& bucket = entry->second;
    if (bucket.incarnation != incarnation)
        bucket = {incarnation, 1, now};
    const double seconds = std::chrono::duration<double>(now - bucket.updated).count();
    bucket.level = std::min(bucket.level + rate * std::max(seconds, 0.0), capacity);
    bucket.updated = now;
    if (bucket.level >= 1) {
        bucket.level -= 1;
        return std::nullopt;
    }
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>((1 - bucket.level) / rate));
}

void RequestGrants::dropUnused(TimePoint now)
{
    std::erase_if(buckets_, [&](const auto& entry) { return now - entry.second.updated > unusedTime; });
}

} // namespace lychee::fleet
