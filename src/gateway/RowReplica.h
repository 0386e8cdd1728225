// A copy of one table of the platform. Rows may arrive from the platform and from peers in any order; for each key the
// row with the highest version is kept.
#pragma once

#include "gateway/RowStore.h"

#include <map>

namespace lychee::gateway {

class RowReplica {
public:
    // Applies a row. Returns whether its content changed; a target's heartbeat often raises the version only.
    bool apply(const StoredRow& row);

    // Applies a whole table as of `page.version`. Returns the rows that were added, changed or removed. When the page
    // is from a later era of the store, it may hold rows that were removed before the store was restored from a copy;
    // they stay removed until they are written again.
    std::vector<StoredRow> replace(const RowPage& page);

    // Applies changed rows. Returns those whose content changed.
    std::vector<StoredRow> applyChanges(const RowPage& page);

    // Rows that changed after the given version, including removed ones.
    std::vector<StoredRow> changedSince(RowVersion version) const;

    // Null when the row is absent or removed.
    const StoredRow* find(const std::string& key) const;

    // The version of a row, also of a removed one; zero when the row is unknown.
    RowVersion versionOf(const std::string& key) const;

    const std::map<std::string, StoredRow>& rows() const { return rows_; }

    // The replica is complete up to this version; zero when the table was never read.
    RowVersion version() const { return version_; }

    // The version of the newest row, zero when there is none.
    RowVersion newestRow() const;

    void setVersion(RowVersion version) { version_ = std::max(version_, version); }

private:
    // Removed rows stay as tombstones, so that an old copy of a row does not restore it.
    std::map<std::string, StoredRow> rows_;
    RowVersion version_;
};

} // namespace lychee::gateway
