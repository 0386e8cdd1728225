// Transactional tables, as in section 4.2 of the design page.
#pragma once

#include <nlohmann/json.hpp>

#include <cstdint>
#include <map>
#include <mutex>
#include <optional>
#include <string>
#include <tuple>
#include <vector>

namespace lychee::standin {

// One row. Versions come from one counter, so that a row that is deleted and created anew never repeats a version.
struct Row {
    std::uint64_t version = 0;
    nlohmann::json value;
};

// The tables. Thread-safe; every group of a transaction is atomic.
class TableService {
public:
    std::optional<Row> find(const std::string& table, const std::string& key) const;

    // Rows whose key starts with `prefix`, as `{"rows":[...]}`.
    nlohmann::json list(const std::string& table, const std::string& prefix) const;

    // Applies the body of a transact call. Throws nlohmann::json::exception on a malformed body, before any effect.
    nlohmann::json transact(const nlohmann::json& body);

private:
    struct RowName {
        std::string table;
        std::string key;

        bool operator<(const RowName& other) const { return std::tie(table, key) < std::tie(other.table, other.key); }
    };

    struct Check {
        RowName name;
        std::uint64_t version = 0;
    };

    struct Put {
        RowName name;
        nlohmann::json value;
    };

    struct Group {
        std::vector<Check> checks;
        std::vector<Put> puts;
        std::vector<RowName> deletes;
    };

    static RowName parseName(const nlohmann::json& json);
    static Group parseGroup(const nlohmann::json& json);
    nlohmann::json applyGroup(const Group& group);
    Row rowOrAbsent(const RowName& name) const;

    mutable std::mutex mutex_;
    std::map<RowName, Row> rows_;
    std::uint64_t lastVersion_ = 0;
};

} // namespace lychee::standin
