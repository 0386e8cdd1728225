// The holdings of engines that placement owners have announced to all instances.
#pragma once

#include "fleet/TargetRecord.h"

#include <unordered_map>

namespace lychee::gateway {

// Prevents an owner from announcing holdings that all instances already know. A new owner reads the reports of all
// engines; sent to 80 peers at once, the unchanged holdings of 144 engines are 4 MB, which block a link of 10 Mbit/s
// for longer than the lease.
class AnnouncedHoldings {
public:
    // Records holdings that this instance announced or received.
    void record(const TargetId& target, fleet::TargetIncarnation incarnation, const fleet::Holdings& holdings)
    {
        announced_[target] = {incarnation, holdings};
    }

    void forget(const TargetId& target) { announced_.erase(target); }

    // Whether other instances may have holdings that differ from those of `record`. `tableEntry` is the target's entry
    // in the platform's table, which all instances read, or null.
    bool needsAnnouncement(const fleet::TargetRecord& record, const fleet::TargetRecord* tableEntry) const
    {
        const auto found = announced_.find(record.id);
        if (found != announced_.end() && found->second.incarnation == record.incarnation)
            return !(found->second.holdings == record.holdings);
        return !tableEntry || tableEntry->incarnation != record.incarnation
            || !(tableEntry->holdings == record.holdings);
    }

private:
    struct Announced {
        fleet::TargetIncarnation incarnation;
        fleet::Holdings holdings;
    };

    std::unordered_map<TargetId, Announced> announced_;
};

} // namespace lychee::gateway
