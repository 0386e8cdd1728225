// The platform's table as the gateway uses it: rows whose versions come from one counter that grows with each change.
#pragma once

#include "protocol/Ids.h"
#include "transport/RuntimeClock.h"

#include <absl/status/statusor.h>

#include <concepts>
#include <optional>
#include <string>
#include <vector>

namespace lychee::gateway {

struct StoredRow {
    std::string key;
    RowVersion version;
    bool removed = false;
    std::string value;
};

// Rows of one table, complete as of `version`; after a wait for changes only the changed ones.
struct RowPage {
    std::vector<StoredRow> rows;
    RowVersion version;
};

// How a conditional write ended.
struct RowWrite {
    enum class Outcome {
        Written,
        // The row had another version; nothing was written. `current` shows the row, or nothing when it is absent.
        Conflict,
        // The store said that nothing was done, or was not reached.
        NotDone,
        // No answer; the write may take effect, also later.
        Unknown,
    };

    Outcome outcome = Outcome::NotDone;
    RowVersion version;
    std::optional<StoredRow> current;
    std::string detail;
};

// Reads fail with CoordinationError::PlatformUnreachable, and with VersionStale when the changes since the version are
// no longer known.
template <typename Store>
concept RowStore = requires(Store store, const std::string& text, RowVersion version, Duration wait, TimePoint deadline)
{
    {
        store.list(text, deadline)
        } -> std::same_as<absl::StatusOr<RowPage>>;
    {
        store.changes(text, version, wait, deadline)
        } -> std::same_as<absl::StatusOr<RowPage>>;
    {
        store.write(text, text, version, text, deadline)
        } -> std::same_as<RowWrite>;
};

} // namespace lychee::gateway
