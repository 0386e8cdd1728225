#include "coordination/Membership.h"

#include "protocol/StableHash.h"

namespace lychee {

namespace {

bool isNotDead(const MemberRecord& record) { return record.state != MemberState::Dead; }

// Whether `next` replaces `known`.
bool supersedes(const MemberRecord& next, const MemberRecord& known)
{
    if (next.refutation != known.refutation)
        return next.refutation > known.refutation;
    return next.state > known.state;
}

} // namespace

Membership::Membership(MemberRecord self, MembershipOptions options)
    : self_(std::move(self))
    , options_(options)
{
}

void Membership::leave()
{
    self_.state = MemberState::Leaving;
    ++self_.refutation;
}

bool Membership::merge(const MemberRecord& record, TimePoint now)
{
    if (record.id == self_.id) {
        if (!supersedes(record, self_))
            return false;
        self_.refutation = record.refutation + 1;
        return true;
    }
    const auto known = entries_.find(record.id);
    if (known == entries_.end()) {
        entries_[record.id] = {record, now};
        return true;
    }
    if (!supersedes(record, known->second.record))
        return false;
    known->second = {record, now};
    return true;
}

bool Membership::suspect(const InstanceId& id, TimePoint now)
{
    const auto known = entries_.find(id);
    if (known == entries_.end() || known->second.record.state >= MemberState::Suspected)
        return false;
    known->second.record.state = MemberState::Suspected;
    known->second.changedAt = now;
    return true;
}

std::vector<MemberRecord> Membership::advance(TimePoint now)
{
    std::vector<MemberRecord> changed;
    for (auto& [id, entry] : entries_) {
        if (entry.record.state != MemberState::Suspected || now - entry.changedAt < options_.suspicionTimeout)
            continue;
        entry.record.state = MemberState::Dead;
        entry.changedAt = now;
        changed.push_back(entry.record);
    }
    std::erase_if(entries_, [&](const auto& item) {
        const Entry& entry = item.second;
        return entry.record.state == MemberState::Dead && now - entry.changedAt > options_.tombstoneRetention;
    });
    return changed;
}

std::vector<MemberRecord> Membership::members() const
{
    std::vector<MemberRecord> members = allRecords();
    std::erase_if(members, [](const MemberRecord& record) { return !isNotDead(record); });
    return members;
}

std::vector<MemberRecord> Membership::allRecords() const
{
    std::vector<MemberRecord> records{self_};
    for (const auto& [id, entry] : entries_)
        records.push_back(entry.record);
    std::sort(records.begin(), records.end(),
        [](const MemberRecord& left, const MemberRecord& right) { return left.id < right.id; });
    return records;
}

std::optional<MemberRecord> Membership::find(const InstanceId& id) const
{
    if (id == self_.id)
        return self_;
    const auto entry = entries_.find(id);
    if (entry == entries_.end())
        return std::nullopt;
    return entry->second.record;
}

std::vector<MemberRecord> Membership::neighbours() const
{
    std::vector<MemberRecord> neighbours = ringNeighbours(true, options_.degree);
    const std::vector<MemberRecord> remote = ringNeighbours(false, options_.remoteDegree);
    neighbours.insert(neighbours.end(), remote.begin(), remote.end());
    return neighbours;
}

std::vector<MemberRecord> Membership::ringNeighbours(bool local, std::size_t count) const
{
    const std::uint64_t own = stableHash(self_.id.value());
    // Clockwise distance on the ring from this instance.
    std::vector<std::pair<std::uint64_t, const MemberRecord*>> ring;
    for (const auto& [id, entry] : entries_) {
        if (isNotDead(entry.record) && (entry.record.dataCentre == self_.dataCentre) == local)
            ring.emplace_back(stableHash(id.value()) - own, &entry.record);
    }
    std::sort(ring.begin(), ring.end());
    std::vector<MemberRecord> neighbours;
    // Alternates successors and predecessors, so that both ends of a link choose each other as neighbours.
    for (std::size_t i = 0; i < std::min(count, ring.size()); ++i) {
        const std::size_t position = i % 2 == 0 ? i / 2 : ring.size() - 1 - i / 2;
        neighbours.push_back(*ring[position].second);
    }
    return neighbours;
}

std::vector<InstanceId> rankMembers(const std::vector<MemberRecord>& members, std::string_view key)
{
    const std::uint64_t keyHash = stableHash(key);
    std::vector<std::pair<std::uint64_t, InstanceId>> ranked;
    for (const MemberRecord& member : members) {
        if (member.state == MemberState::Live)
            ranked.emplace_back(mixHashes(keyHash, stableHash(member.id.value())), member.id);
    }
    std::sort(ranked.rbegin(), ranked.rend());
    std::vector<InstanceId> ids;
    ids.reserve(ranked.size());
    for (auto& [hash, id] : ranked)
        ids.push_back(std::move(id));
    return ids;
}

} // namespace lychee
