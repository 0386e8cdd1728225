// The holdings of engines that placement owners have announced to all instances.
#pragma once

#include "fleet/TargetRecord.h"

#include <algorithm>
#include <unordered_map>
#include <vector>

namespace lychee::gateway {

// Prevents an owner from announcing holdings that all instances already know. A new owner reads the reports of all
// engines; sent to 80 peers at once, the unchanged holdings of 144 engines are 4 MB, which block a link of 10 Mbit/s
// for longer than the lease.
//
// Changes of adapters alone are collected, so that several of one engine become one announcement: most loads unload
// another adapter first, and an owner on a small machine cannot send each of some hundred changes a second to 80 peers
// at once.
class AnnouncedHoldings {
public:
    enum class Announcement {
        // All instances know the holdings.
        None,
        // takeCollected() will return the holdings.
        Collected,
        // To be announced at once: instances send requests according to the models of an engine.
        AtOnce,
    };

    // Records holdings that this instance announced or received.
    void record(const TargetId& target, fleet::TargetIncarnation incarnation, const fleet::Holdings& holdings)
    {
        announced_[target] = {incarnation, holdings};
        collected_.erase(target);
    }

    void forget(const TargetId& target)
    {
        announced_.erase(target);
        collected_.erase(target);
    }

    // Decides how holdings that have changed are announced. `tableEntry` is the target's entry in the platform's table,
    // which all instances read, or null.
    Announcement changed(const fleet::TargetRecord& record, const fleet::TargetRecord* tableEntry)
    {
        collected_.erase(record.id);
        if (!needsAnnouncement(record, tableEntry))
            return Announcement::None;
        const fleet::Holdings* known = knownHoldings(record, tableEntry);
        if (!known || !haveSameModels(*known, record.holdings))
            return Announcement::AtOnce;
        collected_.emplace(record.id, record);
        return Announcement::Collected;
    }

    // Returns the latest state of each engine whose changes were collected. The collection is empty afterwards.
    std::vector<fleet::TargetRecord> takeCollected()
    {
        std::vector<fleet::TargetRecord> records;
        records.reserve(collected_.size());
        for (auto& [id, record] : collected_)
            records.push_back(std::move(record));
        collected_.clear();
        return records;
    }

    // Whether other instances may have holdings that differ from those of `record`. `tableEntry` is the target's entry
    // in the platform's table, which all instances read, or null.
    bool needsAnnouncement(const fleet::TargetRecord& record, const fleet::TargetRecord* tableEntry) const
    {
        const fleet::Holdings* known = knownHoldings(record, tableEntry);
        return !known || !(*known == record.holdings);
    }

private:
    struct Announced {
        fleet::TargetIncarnation incarnation;
        fleet::Holdings holdings;
    };

    // What all instances know of this incarnation of the target: the last announcement, or else the table entry. Null
    // when they know nothing.
    const fleet::Holdings* knownHoldings(const fleet::TargetRecord& record, const fleet::TargetRecord* tableEntry) const
    {
        const auto found = announced_.find(record.id);
        if (found != announced_.end() && found->second.incarnation == record.incarnation)
            return &found->second.holdings;
        return tableEntry && tableEntry->incarnation == record.incarnation ? &tableEntry->holdings : nullptr;
    }

    static bool haveSameModels(const fleet::Holdings& left, const fleet::Holdings& right)
    {
        return left.loading == right.loading && left.models.size() == right.models.size()
            && std::all_of(left.models.begin(), left.models.end(), [&](const fleet::HeldModel& held) {
                   const fleet::HeldModel* other = right.find(held.model);
                   return other && other->version == held.version;
               });
    }

    std::unordered_map<TargetId, Announced> announced_;
    std::unordered_map<TargetId, fleet::TargetRecord> collected_;
};

} // namespace lychee::gateway
