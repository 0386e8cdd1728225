// Decides which instances send rows of the platform's tables to an instance that cannot read them itself. Needed when
// the store is unavailable while an instance starts: if all others sent their rows at once, they would saturate the
// link of the starting instance.
#pragma once

#include "gateway/RowStore.h"
#include "protocol/Ids.h"

#include <span>

namespace lychee::gateway {

// The newest row of the configuration and the version up to which an instance has the rows of the targets, as far as
// its peers know.
struct ReplicaVersions {
    InstanceId instance;
    RowVersion configuration;
    RowVersion targets;
    // It reads newer rows itself, and may have them although it has not said so yet.
    bool readsPlatform = false;

    bool isAheadOf(const ReplicaVersions& other) const
    {
        return configuration > other.configuration || targets > other.targets;
    }
};

// Whether `self` is one of the few instances that send rows to `receiver`. They are chosen by rendezvous hashing among
// the instances with newer rows and those that read them, without messages between them. `reportsBehind` is the number
// of earlier reports in which the receiver was behind; the number of senders grows with it, because the first ones may
// be unable to reach the receiver.
bool sendsRowsTo(const ReplicaVersions& receiver, const ReplicaVersions& self, std::span<const ReplicaVersions> peers,
    int reportsBehind);

// Whether `self` is one of the few instances that send a change that they have read to `receiver`, which cannot read
// the platform itself. `readers` are the instances that can, `self` included. Needs no report of the receiver, so that
// the change arrives as soon as the first of them has read it.
bool passesChangeOnTo(const InstanceId& receiver, const InstanceId& self, std::span<const InstanceId> readers);

// Whether a change of this size may be passed on so. Larger ones are sent when the receiver has said that it lacks
// them.
bool mayPassChangeOn(std::size_t messageBytes);

// Whether a message with changed rows is small enough for one instance to send it to this many others. A larger one
// would hold up its connections for seconds, with all messages behind it.
bool mayForwardTo(std::size_t receivers, std::size_t messageBytes);

} // namespace lychee::gateway
