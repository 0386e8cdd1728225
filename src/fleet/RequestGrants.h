// Grants requests to targets that limit how many they take from all instances together. All instances ask the same one
// of them for a target, so that its limit holds without shares that most instances would not use.
#pragma once

#include "fleet/TargetRecord.h"

#include <map>
#include <span>

namespace lychee::fleet {

// Returns the instance that grants the requests to a target: the same on all instances that know the same others.
// `instances` must not be empty.
const InstanceId& granterOf(const TargetId& target, std::span<const InstanceId> instances);

// Whether a request may be sent to a limited target.
struct RequestGrant {
    bool isGranted = false;
    // The time after which a granted request may be sent, or after which to ask again.
    Duration wait{0};

    bool operator==(const RequestGrant&) const = default;
};

class RequestGrants {
public:
    // Targets whose limits are remembered. Above this number, those that nobody has asked for lately are dropped.
    static constexpr std::size_t maxTargets = 1024;

    // Grants one request to a target that takes `perSecond` requests, now or after at most `maxWait`.
    RequestGrant take(
        const TargetId& target, TargetIncarnation incarnation, double perSecond, Duration maxWait, TimePoint now);

private:
    // A token bucket. Its level is negative while requests are granted for later.
    struct Bucket {
        TargetIncarnation incarnation;
        double level = 0;
        TimePoint updated;
    };

    void dropUnused(TimePoint now);

    std::map<TargetId, Bucket> buckets_;
};

} // namespace lychee::fleet
