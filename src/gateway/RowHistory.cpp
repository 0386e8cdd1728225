#include "gateway/RowHistory.h"

namespace lychee::gateway {

namespace {

// Values of a row of 300 KB that changes twice a second are kept for several seconds.
constexpr std::size_t maxBytes = std::size_t{4} << 20;
constexpr std::size_t maxRows = 16;

// Longest value that a difference can make; the store has no longer rows.
constexpr std::size_t maxValueBytes = std::size_t{8} << 20;

// A difference is of use up to this part of the whole value.
constexpr std::size_t minReduction = 4;

} // namespace

void RowHistory::record(const StoredRow& row)
{
    if (row.removed || contains(row.key, row.version))
        return;
    encoded_.clear();
    rows_.push_back(row);
    bytes_ += row.value.size();
    while (rows_.size() > maxRows || (bytes_ > maxBytes && rows_.size() > 1)) {
        bytes_ -= rows_.front().value.size();
        rows_.pop_front();
    }
}

MeshRow RowHistory::encode(const StoredRow& row, RowVersion known)
{
    MeshRow whole{row.key, row.version, row.removed, row.value};
    const StoredRow* base = row.removed ? nullptr : find(row.key, known);
    if (!base || known == row.version)
        return whole;
    const auto made = encoded_.find(known);
    if (made != encoded_.end() && made->second.key == row.key && made->second.version == row.version)
        return made->second;
    MeshRow message{row.key, row.version, false, {}, known, differenceBetween(base->value, row.value)};
    if (message.difference.size() > row.value.size() / minReduction)
        message = std::move(whole);
    encoded_[known] = message;
    return message;
}

std::optional<StoredRow> RowHistory::decode(const MeshRow& message) const
{
    StoredRow row{message.key, message.version, message.removed, message.value};
    if (message.base == RowVersion())
        return row;
    const StoredRow* base = find(message.key, message.base);
    auto value = base ? applyDifference(base->value, message.difference, maxValueBytes) : std::nullopt;
    if (!value)
        return std::nullopt;
    row.value = *std::move(value);
    return row;
}

const StoredRow* RowHistory::find(const std::string& key, RowVersion version) const
{
    const auto found = std::find_if(
        rows_.begin(), rows_.end(), [&](const StoredRow& row) { return row.version == version && row.key == key; });
    return found == rows_.end() ? nullptr : &*found;
}

} // namespace lychee::gateway
