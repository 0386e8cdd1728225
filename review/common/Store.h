// Stand-in for the platform's metadata store.
#pragma once

#include "Http.h"

#include <condition_variable>

namespace review {

class Store {
public:
    Store();

    std::uint16_t start() { return server_.start("127.0.0.1", 0); }

    // Writes or removes a row, as the operator or a worker does. Returns when the store has accepted it.
    void put(const std::string& table, const std::string& key, const std::string& value);
    void remove(const std::string& table, const std::string& key);

    // The value of a row, empty when it is absent.
    std::string get(const std::string& table, const std::string& key);

private:
    struct Row {
        std::uint64_t version = 0;
        std::string value;
        bool removed = false;
    };
    using Key = std::pair<std::string, std::string>;

    void handle(const Request& request, Exchange& exchange);
    std::pair<int, std::string> transact(const std::string& body);
    std::string list(const Request& request);
    std::string feed(const Request& request);

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<Key, Row> rows_;
    std::uint64_t version_ = 0;
    const Clock::time_point start_ = Clock::now();
    HttpServer server_;
};

} // namespace review
