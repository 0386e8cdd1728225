// Simulates the metadata store of the users' platform: rows in tables, conditional transactions and a feed of changes.
// A test has it keep a copy of its rows (POST /standin/copy) and go back to it (POST /standin/restore).
#pragma once

#include "tests/standins/common/Standin.h"

#include <condition_variable>
#include <map>
#include <mutex>

namespace lychee::standin {

class Store final : public Application {
public:
    void handle(const Request& request, Connection& connection) override;

    nlohmann::json stats() override;

private:
    struct Row {
        std::uint64_t version = 0;
        std::string value;
        bool removed = false;
    };

    using Key = std::pair<std::string, std::string>;

    struct Rows {
        std::map<Key, Row> rows;
        std::uint64_t version = 0;
    };

    Response answer(const Request& request);
    Response keepCopy();
    // Goes back to the copy, without the rows that were written since.
    Response restore();

    Response transact(const Request& request);
    Response list(const Request& request);
    Response feed(const Request& request);
    nlohmann::json toJson(const Key& key, const Row& row) const;
    nlohmann::json page(nlohmann::json rows) const;
    std::uint64_t versionOf(const Key& key) const;

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<Key, Row> rows_;
    std::uint64_t version_ = 0;
    Rows copy_;
    std::uint64_t era_ = 1;
    std::uint64_t reads_ = 0;
    std::uint64_t writes_ = 0;
};

} // namespace lychee::standin
