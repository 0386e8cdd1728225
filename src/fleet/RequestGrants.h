// Grants requests to targets that limit how many they take from all instances together. All instances ask the same one
// of them for a target, so that its limit holds without shares that most instances would not use.
#pragma once

#include "fleet/TargetRecord.h"

#include <map>
#include <optional>
#include <span>

namespace lychee::fleet {

// Returns the instance that grants the requests to a target: the same on all instances that know the same others.
// `instances` must not be empty.
const InstanceId& granterOf(const TargetId& target, std::span<const InstanceId> instances);

class RequestGrants {
public:
    // Targets whose limits are remembered. Above this number, those that nobody has asked for lately are dropped.
    static constexpr std::size_t maxTargets = 1024;

    // Grants one request to a target that takes `perSecond` requests. Returns nothing when it is granted, and otherwise
    // the time until the next one can be.
    std::optional<Duration> take(
        const TargetId& target, TargetIncarnation incarnation, double perSecond, TimePoint now);

private:
    // A token bucket.
    struct Bucket {
        TargetIncarnation incarnation;
        double level = 0;
        TimePoint updated;
    };

    void dropUnused(TimePoint now);

    std::map<TargetId, Bucket> buckets_;
};

} // namespace lychee::fleet
