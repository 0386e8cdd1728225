// Decides which instances send rows of the platform's tables to one that cannot read them itself. Answers a store that
// is away while instances start: all others know the rows, and together they would fill the link of the one that does
// not.
#pragma once

#include "protocol/Ids.h"

#include <span>

namespace lychee::gateway {

// How far an instance is, as its peers know.
struct ReplicaVersions {
    InstanceId instance;
    RowVersion configuration;
    RowVersion targets;

    bool isAheadOf(const ReplicaVersions& other) const
    {
        return configuration > other.configuration || targets > other.targets;
    }
};

// Whether `self` is one of the few that send rows to `receiver`, chosen without talk among those that are ahead of it.
// `missed` counts the reports in which the receiver was behind before; more send then, as the first may be cut off.
bool sendsRowsTo(
    const ReplicaVersions& receiver, const ReplicaVersions& self, std::span<const ReplicaVersions> peers, int missed);

} // namespace lychee::gateway
