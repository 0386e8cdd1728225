// The platform's metadata store, as far as the daemon uses it: rows, conditional transactions, the feed of changes, and
// the return from an older copy.
#pragma once

#include "review/common-2/Net.h"

#include <condition_variable>
#include <map>
#include <mutex>
#include <nlohmann/json.hpp>

namespace review {

using nlohmann::json;

inline std::string base64(const std::string& text)
{
    static const char* digits = "ABCDEFGHIJKLMNOPQRSTUVWXYZabcdefghijklmnopqrstuvwxyz0123456789+/";
    std::string out;
    for (std::size_t i = 0; i < text.size(); i += 3) {
        unsigned value = 0;
        for (std::size_t j = 0; j < 3; ++j)
            value = value << 8 | (i + j < text.size() ? static_cast<unsigned char>(text[i + j]) : 0);
        for (std::size_t j = 0; j < 4; ++j)
            out += i + j <= text.size() ? digits[value >> (18 - 6 * j) & 63] : '=';
    }
    return out;
}

class Store {
public:
    Store()
        : server_(0, [this](Connection& connection, const Message& request) { return handle(connection, request); })
    {
    }

    int port() const { return server_.port(); }

    // Writes a row as the operator does. The return is the acknowledgement.
    void put(const std::string& table, const std::string& key, const json& value)
    {
        const std::lock_guard lock(mutex_);
        rows_[{table, key}] = {++version_, base64(value.dump()), false};
        changed_.notify_all();
    }

    void remove(const std::string& table, const std::string& key)
    {
        const std::lock_guard lock(mutex_);
        rows_[{table, key}] = {++version_, "", true};
        changed_.notify_all();
    }

    void keepCopy()
    {
        const std::lock_guard lock(mutex_);
        copy_ = rows_;
        copyVersion_ = version_;
    }

    // Goes away: open connections end, and calls get no answer but the end of their connection.
    void goAway()
    {
        const std::lock_guard lock(mutex_);
        away_ = true;
        changed_.notify_all();
    }

    // Is back from the copy.
    void comeBackFromCopy()
    {
        const std::lock_guard lock(mutex_);
        rows_ = copy_;
        version_ = copyVersion_;
        ++era_;
        away_ = false;
    }

private:
    struct Row {
        std::uint64_t version = 0;
        std::string value;
        bool removed = false;
    };
    using Key = std::pair<std::string, std::string>;

    bool handle(Connection& connection, const Message& request)
    {
        std::unique_lock lock(mutex_);
        if (away_)
            return false;
        json answer;
        int status = 200;
        const std::uint64_t era = era_;
        if (request.path() == "/v1/rows-tx")
            status = transact(json::parse(request.body, nullptr, false), answer);
        else if (request.path() == "/v1/rows-get")
            answer = list(request);
        else if (request.path() == "/v1/rows-feed")
            status = feed(request, lock, answer);
        else
            status = 404;
        if (away_ || era != era_)
            return false;
        answer["rowVersion"] = version_;
        answer["nowMs"] = std::chrono::duration_cast<Milliseconds>(Clock::now().time_since_epoch()).count();
        const std::string text = answerText(
            status, answer.dump(), {{"Content-Type", "application/json"}, {"Store-Era", std::to_string(era_)}});
        lock.unlock();
        return connection.write(text);
    }

    int transact(const json& body, json& answer)
    {
        if (!body.is_object())
            return 400;
        answer["rows"] = json::array();
        bool holds = true;
        for (const json& entry : body.value("expected", json::array())) {
            const Key key{entry.at("table"), entry.at("key")};
            const auto found = rows_.find(key);
            const bool exists = found != rows_.end() && !found->second.removed;
            holds = holds && entry.at("rowVersion").get<std::uint64_t>() == (exists ? found->second.version : 0);
            if (exists)
                answer["rows"].push_back(toJson(*found));
        }
        if (!holds)
            return 412;
        answer["rows"] = json::array();
        ++version_;
        for (const json& entry : body.value("setKeys", json::array()))
            rows_[{entry.at("table"), entry.at("key")}] = {version_, entry.at("value"), false};
        for (const json& entry : body.value("remove", json::array())) {
            if (const auto found = rows_.find({entry.at("table"), entry.at("key")}); found != rows_.end())
                found->second = {version_, "", true};
        }
        changed_.notify_all();
        return 200;
    }

    json list(const Message& request)
    {
        json answer{{"rows", json::array()}, {"hasMore", false}};
        const std::string table = request.query("table");
        std::string from = request.query("from");
        std::string to = request.query("to");
        const bool isSingle = to == from + "%00";
        for (const auto& row : rows_) {
            if (row.first.first != table || row.second.removed || row.first.second < from)
                continue;
            if (isSingle ? row.first.second == from : to.empty() || row.first.second < to)
                answer["rows"].push_back(toJson(row));
        }
        return answer;
    }

    int feed(const Message& request, std::unique_lock<std::mutex>& lock, json& answer)
    {
        const std::string table = request.query("table");
        const std::uint64_t after = std::stoull("0" + request.query("after"));
        const auto until = Clock::now() + Milliseconds(std::stoll("0" + request.query("waitMs")));
        const std::uint64_t era = era_;
        while (true) {
            if (after > version_)
                return 410;
            answer = {{"rows", json::array()}, {"hasMore", false}};
            for (const auto& row : rows_) {
                if (row.first.first == table && row.second.version > after)
                    answer["rows"].push_back(toJson(row));
            }
            std::sort(answer["rows"].begin(), answer["rows"].end(), [](const json& left, const json& right) {
                return left["rowVersion"].get<std::uint64_t>() < right["rowVersion"].get<std::uint64_t>();
            });
            if (!answer["rows"].empty() || away_ || era != era_
                || changed_.wait_until(lock, until) == std::cv_status::timeout)
                return 200;
        }
    }

    static json toJson(const std::pair<const Key, Row>& row)
    {
        json entry{
            {"table", row.first.first}, {"part", ""}, {"key", row.first.second}, {"rowVersion", row.second.version}};
        if (row.second.removed)
            entry["tombstone"] = true;
        else
            entry["value"] = row.second.value;
        return entry;
    }

    std::mutex mutex_;
    std::condition_variable changed_;
    std::map<Key, Row> rows_;
    std::uint64_t version_ = 0;
    std::map<Key, Row> copy_;
    std::uint64_t copyVersion_ = 0;
    std::uint64_t era_ = 0;
    bool away_ = false;
    Server server_;
};

} // namespace review
