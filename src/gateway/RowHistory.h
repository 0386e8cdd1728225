// Recent values of the rows of one table, by which a changed row is sent to a peer as its difference from a value that
// the peer has had.
#pragma once

#include "gateway/MeshMessages.h"

#include <deque>

namespace lychee::gateway {

class RowHistory {
public:
    // Records a value of a row. The oldest values are dropped when they take too much memory.
    void record(const StoredRow& row);

    // The message for a row that was recorded, for a receiver that has had the version `known` of it. The whole value
    // when that version is not recorded, or when its difference would not be much smaller.
    MeshRow encode(const StoredRow& row, RowVersion known);

    // Nothing when the difference is from a value that was not recorded here.
    std::optional<StoredRow> decode(const MeshRow& message) const;

    // Whether a difference from this version of a row can be made.
    bool contains(const std::string& key, RowVersion version) const { return find(key, version) != nullptr; }

private:
    const StoredRow* find(const std::string& key, RowVersion version) const;

    // The newest row is at the end.
    std::deque<StoredRow> rows_;
    std::size_t bytes_ = 0;
    // Differences that were made to the newest row, by the version from which they are.
    std::map<RowVersion, MeshRow> encoded_;
};

} // namespace lychee::gateway
