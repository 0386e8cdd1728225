#include "tests/standins/fleet_store_standin/Store.h"

namespace lychee::standin {

using nlohmann::json;

namespace {

std::uint64_t queryNumber(const Request& request, const char* name)
{
    const auto text = request.query(name);
    return text && !text->empty() ? std::stoull(*text) : 0;
}

} // namespace

void Store::handle(const Request& request, Connection& connection)
{
    Response response = answer(request);
    {
        const std::lock_guard lock(mutex_);
        response.headers.push_back({"Store-Era", std::to_string(era_)});
    }
    connection.write(response);
}

Response Store::answer(const Request& request)
{
    const std::string path = request.path();
    if (request.method == "POST" && path == "/v1/rows-tx")
        return transact(request);
    if (request.method == "GET" && path == "/v1/rows-get")
        return list(request);
    if (request.method == "GET" && path == "/v1/rows-feed")
        return feed(request);
    if (request.method == "POST" && path == "/standin/copy")
        return keepCopy();
    if (request.method == "POST" && path == "/standin/restore")
        return restore();
    return Response::json(404, {{"error", "unknown path"}});
}

Response Store::keepCopy()
{
    const std::lock_guard lock(mutex_);
    copy_ = {rows_, version_};
    return Response::json(200, json::object());
}

Response Store::restore()
{
    const std::lock_guard lock(mutex_);
    rows_ = copy_.rows;
    version_ = copy_.version;
    ++era_;
    changed_.notify_all();
    return Response::json(200, json::object());
}

json Store::stats()
{
    const std::lock_guard lock(mutex_);
    json rows = json::object();
    for (const auto& [key, row] : rows_) {
        if (!row.removed)
            rows[key.first + "/" + key.second] = row.version;
    }
    return {{"reads", reads_}, {"writes", writes_}, {"rows", rows}};
}

Response Store::transact(const Request& request)
{
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object())
        return Response::json(400, {{"error", "malformed"}});
    const std::lock_guard lock(mutex_);
    ++writes_;
    json current = json::array();
    bool holds = true;
    for (const json& entry : body.value("expected", json::array())) {
        const Key key{entry.at("table"), entry.at("key")};
        holds = holds && versionOf(key) == entry.at("rowVersion").get<std::uint64_t>();
        if (const auto found = rows_.find(key); found != rows_.end() && !found->second.removed)
            current.push_back(toJson(key, found->second));
    }
    if (!holds)
        return Response::json(412, page(current));
    ++version_;
    for (const json& entry : body.value("setKeys", json::array()))
        rows_[{entry.at("table"), entry.at("key")}] = {version_, entry.at("value"), false};
    for (const json& entry : body.value("remove", json::array()))
        rows_[{entry.at("table"), entry.at("key")}] = {version_, "", true};
    changed_.notify_all();
    return Response::json(200, page(json::array()));
}

Response Store::list(const Request& request)
{
    const std::string table = request.query("table").value_or("");
    const std::string from = request.query("from").value_or("");
    const auto to = request.query("to");
    const std::lock_guard lock(mutex_);
    ++reads_;
    json rows = json::array();
    for (const auto& [key, row] : rows_) {
        const bool inRange = key.second >= from && (!to || key.second < *to);
        if (key.first == table && !row.removed && inRange)
            rows.push_back(toJson(key, row));
    }
    return Response::json(200, page(rows));
}

Response Store::feed(const Request& request)
{
    const std::string table = request.query("table").value_or("");
    const std::uint64_t after = queryNumber(request, "after");
    const auto deadline = std::chrono::steady_clock::now() + std::chrono::milliseconds(queryNumber(request, "waitMs"));
    std::unique_lock lock(mutex_);
    ++reads_;
    bool isOver = false;
    while (true) {
        if (after > version_)
            return Response::json(410, {{"error", "no such version"}});
        json rows = json::array();
        for (const auto& [key, row] : rows_) {
            if (key.first == table && row.version > after)
                rows.push_back(toJson(key, row));
        }
        if (!rows.empty() || isOver)
            return Response::json(200, page(rows));
        // A change may be made before the wait that is over returns.
        isOver = changed_.wait_until(lock, deadline) == std::cv_status::timeout;
    }
}

json Store::toJson(const Key& key, const Row& row) const
{
    json entry{{"table", key.first}, {"part", ""}, {"key", key.second}, {"rowVersion", row.version}};
    if (row.removed)
        entry["tombstone"] = true;
    else
        entry["value"] = row.value;
    return entry;
}

json Store::page(json rows) const
{
    return {{"rows", std::move(rows)}, {"hasMore", false}, {"rowVersion", version_}, {"nowMs", 0}};
}

std::uint64_t Store::versionOf(const Key& key) const
{
    const auto found = rows_.find(key);
    return found == rows_.end() || found->second.removed ? 0 : found->second.version;
}

} // namespace lychee::standin
