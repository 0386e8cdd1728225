// Messages of the platform's table service, object store and instance list.
#pragma once

#include "protocol/Ids.h"
#include "transport/HttpMessage.h"

#include <absl/status/statusor.h>

#include <string>
#include <vector>

namespace lychee {

// Names a row of the table service.
struct RowKey {
    std::string table;
    std::string key;

    auto operator<=>(const RowKey&) const = default;
};

struct Row {
    RowVersion version;
    nlohmann::json value;
};

// A row as a conflict or a listing shows it; version 0 means that it is absent.
struct NamedRow {
    RowKey key;
    Row row;
};

// Requires that a row has a version; version 0 requires that it is absent.
struct RowCheck {
    RowKey key;
    RowVersion version;
};

struct RowPut {
    RowKey key;
    nlohmann::json value;
};

// Checks and writes that take effect together or not at all.
struct TableTransaction {
    std::vector<RowCheck> checks;
    std::vector<RowPut> puts;
    std::vector<RowKey> deletes;

    // A write of one row that requires its version.
    static TableTransaction compareAndSet(RowKey key, RowVersion expected, nlohmann::json value);
};

struct TransactionResult {
    bool committed = false;
    // The new versions of the written rows, in the order of `puts`.
    std::vector<RowVersion> versions;
    // The rows whose checks failed, when nothing was committed.
    std::vector<NamedRow> conflicts;
};

// What the platform says of an instance; it lags.
struct ListedInstance {
    InstanceId id;
    DataCentreId dataCentre;
    Endpoint peerEndpoint;
    bool leaving = false;
};

// Encoding and decoding; decoders fail with ProtocolError::Malformed.
std::string encodeTransactions(const std::vector<const TableTransaction*>& transactions);
absl::StatusOr<std::vector<TransactionResult>> decodeTransactionResults(std::string_view body);
absl::StatusOr<Row> decodeRow(std::string_view body);
absl::StatusOr<std::vector<NamedRow>> decodeRows(const std::string& table, std::string_view body);
absl::StatusOr<std::vector<ListedInstance>> decodeInstances(std::string_view body);

// Percent-encodes a key for use in a path.
std::string encodePathSegment(std::string_view text);

} // namespace lychee
