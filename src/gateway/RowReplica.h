// A copy of one table of the platform. Rows may come from the platform and from peers in any order; the newest wins.
#pragma once

#include "gateway/RowStore.h"

#include <map>

namespace lychee::gateway {

class RowReplica {
public:
    // Takes in a row. Returns whether its content differs from what was known; a target's beat often only renews it.
    bool apply(const StoredRow& row);

    // Takes in a whole table as of `page.version`. Returns the rows that are new, have changed or are gone.
    std::vector<StoredRow> replace(const RowPage& page);

    // Takes in changes. Returns the rows that were newer.
    std::vector<StoredRow> applyChanges(const RowPage& page);

    // Rows that have changed after a version, the removed ones included.
    std::vector<StoredRow> changedSince(RowVersion version) const;

    const StoredRow* find(const std::string& key) const;

    const std::map<std::string, StoredRow>& rows() const { return rows_; }

    // The table is known completely up to this version; zero when it was never read.
    RowVersion version() const { return version_; }

    void setVersion(RowVersion version) { version_ = std::max(version_, version); }

private:
    // Removed rows stay, so that an old copy of a row does not bring it back.
    std::map<std::string, StoredRow> rows_;
    RowVersion version_;
};

} // namespace lychee::gateway
