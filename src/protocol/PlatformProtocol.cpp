#include "protocol/PlatformProtocol.h"

#include "protocol/JsonText.h"
#include "protocol/ProtocolError.h"

namespace lychee {

namespace {

using nlohmann::json;

// Runs a decoder over a parsed document and turns its exceptions into a status.
template <typename Decode>
auto decodeDocument(std::string_view body, Decode&& decode) -> absl::StatusOr<decltype(decode(json()))>
{
    const absl::StatusOr<json> document = parseJson(body);
    if (!document.ok())
        return document.status();
    try {
        return decode(*document);
    } catch (const json::exception& exception) {
        return makeError(ProtocolError::Malformed, exception.what());
    }
}

json encodeKey(const RowKey& key) { return {{"table", key.table}, {"key", key.key}}; }

json encodeTransaction(const TableTransaction& transaction)
{
    json group{{"checks", json::array()}, {"puts", json::array()}, {"deletes", json::array()}};
    for (const RowCheck& check : transaction.checks) {
        json item = encodeKey(check.key);
        item["version"] = check.version;
        group["checks"].push_back(std::move(item));
    }
    for (const RowPut& put : transaction.puts) {
        json item = encodeKey(put.key);
        item["value"] = put.value;
        group["puts"].push_back(std::move(item));
    }
    for (const RowKey& key : transaction.deletes)
        group["deletes"].push_back(encodeKey(key));
    return group;
}

Row decodeRowValue(const json& item)
{
    Row row;
    row.version = item.at("version").get<RowVersion>();
    if (item.contains("value"))
        row.value = item.at("value");
    return row;
}

TransactionResult decodeResult(const json& item)
{
    TransactionResult result;
    result.committed = item.at("committed").get<bool>();
    if (result.committed) {
        result.versions = item.at("versions").get<std::vector<RowVersion>>();
        return result;
    }
    for (const json& conflict : item.at("conflicts")) {
        RowKey key{conflict.at("table").get<std::string>(), conflict.at("key").get<std::string>()};
        result.conflicts.push_back({std::move(key), decodeRowValue(conflict)});
    }
    return result;
}

ListedInstance decodeInstance(const json& item)
{
    ListedInstance instance;
    instance.id = item.at("id").get<InstanceId>();
    instance.dataCentre = item.at("data_centre").get<DataCentreId>();
    instance.peerEndpoint = {item.at("address").get<std::string>(), item.at("peer_port").get<std::uint16_t>()};
    instance.leaving = item.at("state").get<std::string>() == "leaving";
    return instance;
}

} // namespace

TableTransaction TableTransaction::compareAndSet(RowKey key, RowVersion expected, json value)
{
    TableTransaction transaction;
    transaction.checks.push_back({key, expected});
    transaction.puts.push_back({std::move(key), std::move(value)});
    return transaction;
}

std::string encodeTransactions(const std::vector<const TableTransaction*>& transactions)
{
    json groups = json::array();
    for (const TableTransaction* transaction : transactions)
        groups.push_back(encodeTransaction(*transaction));
    return writeJson({{"groups", std::move(groups)}});
}

absl::StatusOr<std::vector<TransactionResult>> decodeTransactionResults(std::string_view body)
{
    return decodeDocument(body, [](const json& document) {
        std::vector<TransactionResult> results;
        for (const json& item : document.at("results"))
            results.push_back(decodeResult(item));
        return results;
    });
}

absl::StatusOr<Row> decodeRow(std::string_view body)
{
    return decodeDocument(body, [](const json& document) { return decodeRowValue(document); });
}

absl::StatusOr<std::vector<NamedRow>> decodeRows(const std::string& table, std::string_view body)
{
    return decodeDocument(body, [&](const json& document) {
        std::vector<NamedRow> rows;
        for (const json& item : document.at("rows"))
            rows.push_back({{table, item.at("key").get<std::string>()}, decodeRowValue(item)});
        return rows;
    });
}

absl::StatusOr<std::vector<ListedInstance>> decodeInstances(std::string_view body)
{
    return decodeDocument(body, [](const json& document) {
        std::vector<ListedInstance> instances;
        for (const json& item : document.at("instances"))
            instances.push_back(decodeInstance(item));
        return instances;
    });
}

std::string encodePathSegment(std::string_view text)
{
    std::string encoded;
    for (const char c : text) {
        const bool plain
            = std::isalnum(static_cast<unsigned char>(c)) != 0 || c == '-' || c == '_' || c == '.' || c == '~';
        if (plain)
            encoded += c;
        else
            encoded += fmt::format("%{:02X}", static_cast<unsigned char>(c));
    }
    return encoded;
}

} // namespace lychee
