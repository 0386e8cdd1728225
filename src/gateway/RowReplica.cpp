#include "gateway/RowReplica.h"

namespace lychee::gateway {

bool RowReplica::apply(const StoredRow& row)
{
    const auto [found, added] = rows_.try_emplace(row.key, row);
    if (added)
        return true;
    if (row.version <= found->second.version)
        return false;
    const bool differs = row.removed != found->second.removed || row.value != found->second.value;
    found->second = row;
    return differs;
}

std::vector<StoredRow> RowReplica::replace(const RowPage& page)
{
    if (eraOf(page.version) > eraOf(version_)) {
        for (auto& [key, row] : rows_) {
            if (row.removed)
                row.version = page.version;
        }
    }
    std::vector<StoredRow> changed;
    std::map<std::string, bool> listed;
    for (const StoredRow& row : page.rows) {
        listed.emplace(row.key, true);
        if (apply(row))
            changed.push_back(row);
    }
    for (auto& [key, row] : rows_) {
        if (row.removed || listed.contains(key) || row.version > page.version)
            continue;
        row = {key, page.version, true, {}};
        changed.push_back(row);
    }
    setVersion(page.version);
    return changed;
}

std::vector<StoredRow> RowReplica::applyChanges(const RowPage& page)
{
    std::vector<StoredRow> changed;
    for (const StoredRow& row : page.rows) {
        if (apply(row))
            changed.push_back(row);
    }
    setVersion(page.version);
    return changed;
}

std::vector<StoredRow> RowReplica::changedSince(RowVersion version) const
{
    std::vector<StoredRow> changed;
    for (const auto& [key, row] : rows_) {
        if (row.version > version)
            changed.push_back(row);
    }
    return changed;
}

RowVersion RowReplica::newestRow() const
{
    RowVersion newest;
    for (const auto& [key, row] : rows_)
        newest = std::max(newest, row.version);
    return newest;
}

RowVersion RowReplica::versionOf(const std::string& key) const
{
    const auto found = rows_.find(key);
    return found == rows_.end() ? RowVersion() : found->second.version;
}

const StoredRow* RowReplica::find(const std::string& key) const
{
    const auto found = rows_.find(key);
    return found == rows_.end() || found->second.removed ? nullptr : &found->second;
}

} // namespace lychee::gateway
