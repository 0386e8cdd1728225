#include "Store.h"

#include <boost/beast/core/detail/base64.hpp>
#include <nlohmann/json.hpp>

namespace review {

namespace {

using nlohmann::json;
namespace base64 = boost::beast::detail::base64;

// The part of a page of rows that the store returns at once.
constexpr std::size_t maxRows = 500;

std::string encode(const std::string& text)
{
    std::string encoded(base64::encoded_size(text.size()), '\0');
    encoded.resize(base64::encode(encoded.data(), text.data(), text.size()));
    return encoded;
}

std::string decode(const std::string& text)
{
    std::string decoded(base64::decoded_size(text.size()), '\0');
    decoded.resize(base64::decode(decoded.data(), text.data(), text.size()).first);
    return decoded;
}

std::string unescape(const std::string& text)
{
    std::string result;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size()) {
            result += static_cast<char>(std::stoi(text.substr(i + 1, 2), nullptr, 16));
            i += 2;
        } else {
            result += text[i];
        }
    }
    return result;
}

std::uint64_t numberOr(const std::string& text, std::uint64_t otherwise)
{
    return text.empty() ? otherwise : std::stoull(text);
}

} // namespace

Store::Store()
    : server_([this](const Request& request, Exchange& exchange) { handle(request, exchange); })
{
}

void Store::put(const std::string& table, const std::string& key, const std::string& value)
{
    const std::lock_guard lock(mutex_);
    rows_[{table, key}] = {++version_, encode(value), false};
    changed_.notify_all();
}

void Store::remove(const std::string& table, const std::string& key)
{
    const std::lock_guard lock(mutex_);
    const auto found = rows_.find({table, key});
    if (found == rows_.end() || found->second.removed)
        return;
    found->second = {++version_, {}, true};
    changed_.notify_all();
}

std::string Store::get(const std::string& table, const std::string& key)
{
    const std::lock_guard lock(mutex_);
    const auto found = rows_.find({table, key});
    return found == rows_.end() || found->second.removed ? std::string() : decode(found->second.value);
}

void Store::handle(const Request& request, Exchange& exchange)
{
    const std::string path = pathOf(request);
    const Headers type{{"Content-Type", "application/json"}};
    if (path == "/v1/rows-tx") {
        const auto [status, body] = transact(request.body());
        exchange.respond(status, type, body);
    } else if (path == "/v1/rows-get") {
        exchange.respond(200, type, list(request));
    } else if (path == "/v1/rows-feed") {
        exchange.respond(200, type, feed(request));
    } else {
        exchange.respond(404, type, "{}");
    }
}

namespace {

json rowJson(const std::string& table, const std::string& key, std::uint64_t version, const std::string& value)
{
    return {{"table", table}, {"part", ""}, {"key", key}, {"rowVersion", version}, {"value", value}};
}

} // namespace

std::pair<int, std::string> Store::transact(const std::string& body)
{
    const json call = json::parse(body);
    const std::lock_guard lock(mutex_);
    json current = json::array();
    bool holds = true;
    for (const json& entry : call.value("expected", json::array())) {
        const Key key{entry.at("table"), entry.at("key")};
        const auto found = rows_.find(key);
        const bool present = found != rows_.end() && !found->second.removed;
        const std::uint64_t version = present ? found->second.version : 0;
        holds = holds && version == entry.at("rowVersion").get<std::uint64_t>();
        if (present)
            current.push_back(rowJson(key.first, key.second, version, found->second.value));
    }
    const auto nowMs = std::chrono::duration_cast<milliseconds>(Clock::now() - start_).count();
    if (!holds)
        return {412, json{{"rows", current}, {"rowVersion", version_}, {"nowMs", nowMs}}.dump()};
    ++version_;
    for (const json& entry : call.value("setKeys", json::array()))
        rows_[{entry.at("table"), entry.at("key")}] = {version_, entry.at("value"), false};
    for (const json& entry : call.value("remove", json::array()))
        rows_[{entry.at("table"), entry.at("key")}] = {version_, {}, true};
    changed_.notify_all();
    return {200, json{{"rowVersion", version_}, {"nowMs", nowMs}}.dump()};
}

std::string Store::list(const Request& request)
{
    const std::string table = queryOf(request, "table");
    const std::string from = unescape(queryOf(request, "from"));
    const std::size_t limit = std::min<std::size_t>(numberOr(queryOf(request, "limit"), maxRows), maxRows);
    const std::lock_guard lock(mutex_);
    json rows = json::array();
    bool more = false;
    for (const auto& [key, row] : rows_) {
        if (key.first != table || row.removed || key.second < from)
            continue;
        more = rows.size() == limit;
        if (more)
            break;
        rows.push_back(rowJson(key.first, key.second, row.version, row.value));
    }
    const auto nowMs = std::chrono::duration_cast<milliseconds>(Clock::now() - start_).count();
    return json{{"rows", rows}, {"hasMore", more}, {"rowVersion", version_}, {"nowMs", nowMs}}.dump();
}

std::string Store::feed(const Request& request)
{
    const std::string table = queryOf(request, "table");
    const std::uint64_t after = numberOr(queryOf(request, "after"), 0);
    const auto deadline = Clock::now() + milliseconds(numberOr(queryOf(request, "waitMs"), 0));
    std::unique_lock lock(mutex_);
    while (true) {
        std::multimap<std::uint64_t, json> ordered;
        for (const auto& [key, row] : rows_) {
            if (key.first != table || row.version <= after)
                continue;
            json entry = rowJson(key.first, key.second, row.version, row.value);
            if (row.removed) {
                entry.erase("value");
                entry["tombstone"] = true;
            }
            ordered.emplace(row.version, std::move(entry));
        }
        if (!ordered.empty() || changed_.wait_until(lock, deadline) == std::cv_status::timeout) {
            json rows = json::array();
            for (auto& [version, entry] : ordered)
                rows.push_back(std::move(entry));
            const auto nowMs = std::chrono::duration_cast<milliseconds>(Clock::now() - start_).count();
            return json{{"rows", rows}, {"rowVersion", version_}, {"nowMs", nowMs}}.dump();
        }
    }
}

} // namespace review
