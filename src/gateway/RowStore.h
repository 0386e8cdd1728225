// Access of the gateway to the platform's tables. The versions of rows grow with each change; StoreEra.h says how they
// do so when the platform restores its store from a copy.
#pragma once

#include "gateway/StoreEra.h"
#include "transport/HttpClient.h"
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

// The rows of one table as of `version`; in an answer to changes() only those that changed.
struct RowPage {
    std::vector<StoredRow> rows;
    RowVersion version;
    // More rows had changed when the read was answered.
    bool isPartial = false;
};

// The outcome of a conditional write.
struct RowWrite {
    enum class Outcome {
        Written,
        // The row had another version; nothing was written. `current` is the row, or empty when it is absent.
        Conflict,
        // The store reported that it wrote nothing, or could not be reached.
        NotDone,
        // No answer; the write may have taken effect or may still do so.
        Unknown,
    };

    Outcome outcome = Outcome::NotDone;
    RowVersion version;
    std::optional<StoredRow> current;
    std::string detail;
};

// list() reads a whole table; changes() waits up to `wait` for rows newer than `version`, and can be ended early by its
// cancellation, which may be null; write() writes a row on the condition that it still has `version`. Reads fail with
// CoordinationError::PlatformUnreachable, and changes() also with VersionStale when the platform no longer has the
// changes since `version`, or when its store was restored from a copy since then.
template <typename Store>
concept RowStore = requires(Store store, const std::string& text, RowVersion version, Duration wait, TimePoint deadline,
    std::shared_ptr<HttpCancellation> cancellation)
{
    {
        store.list(text, deadline)
        } -> std::same_as<absl::StatusOr<RowPage>>;
    {
        store.changes(text, version, wait, deadline, cancellation)
        } -> std::same_as<absl::StatusOr<RowPage>>;
    {
        store.write(text, text, version, text, deadline)
        } -> std::same_as<RowWrite>;
};

} // namespace lychee::gateway
