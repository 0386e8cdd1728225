// A table service in memory, with versions and compare-and-set. Operations take no time: the schedule decides when an
// operation takes effect, when its answer arrives, and which faults occur.
#pragma once

#include "coordination/ClaimStateMachine.h"

#include <map>
#include <optional>
#include <string>

namespace lychee {

// The fault of one operation on the table.
enum class TableFault {
    None,
    // Refused before it took effect.
    Refused,
    // It takes effect at once; its answer is lost.
    AnswerLost,
    // Its answer is lost, and it takes effect much later.
    LateEffect,
};

class FakeTable {
public:
    std::optional<VersionedClaim> read(const std::string& key) const
    {
        const auto row = rows_.find(key);
        if (row == rows_.end())
            return std::nullopt;
        // Decodes the row from JSON, so that every schedule also tests the format of the rows.
        return VersionedClaim{row->second.first, ClaimRow::fromJson(row->second.second).value()};
    }

    // Writes `row` if the version of `key` is `check`; without `checkVersion`, always.
    ClaimEvent write(const std::string& key, RowVersion check, const ClaimRow& row, bool checkVersion = true)
    {
        auto& [version, value] = rows_[key];
        if (checkVersion && version != check) {
            if (version == RowVersion(0))
                rows_.erase(key);
            return Conflict{read(key)};
        }
        version = version.next();
        value = row.toJson();
        return Committed{version};
    }

private:
    std::map<std::string, std::pair<RowVersion, nlohmann::json>> rows_;
};

} // namespace lychee
