#include "tests/standins/fleet_worker_standin/Worker.h"

#include <absl/strings/escaping.h>
#include <absl/strings/match.h>

#include <fmt/format.h>
#include <fmt/ranges.h>

namespace lychee::standin {

using nlohmann::json;

namespace {

constexpr int slots = 16;

constexpr std::chrono::milliseconds pacePeriod{600};
constexpr int usualPace = 100;
constexpr int slowPace = 250;
// One period in so many is slow.
constexpr std::uint64_t slowPeriods = 3;

// An attempt id may end with this mark and the name of the customer whose key the caller used; the name is empty when
// the target must not get one.
constexpr char customerMark = '@';

// The value of X-Response-Seal; the gateway checks only that the header is present.
Response misdirected(const Request& request, std::string_view reason)
{
    return Response::json(421, {{"error", reason}},
        {{"X-Attempt-Id", request.header("X-Attempt-Id").value_or("")}, {"X-Not-Executed", "1"}});
}

std::string responseSeal(const std::string& id, const std::string& attempt) { return id + "." + attempt; }

std::int64_t steadyMillis()
{
    const auto time = std::chrono::steady_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(time).count();
}

} // namespace

Worker::Worker(WorkerOptions options)
    : options_(std::move(options))
    , servesModels_(!options_.models.empty())
    , startedMs_(
          std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::system_clock::now().time_since_epoch())
              .count())
{
    for (const std::string& model : options_.models)
        models_[model];
    if (!options_.record.empty())
        record_.open(options_.record, std::ios::app);
}

void Worker::listening(std::uint16_t port)
{
    std::thread([this, port] { registrationLoop(port); }).detach();
}

void Worker::handle(const Request& request, Connection& connection)
{
    checkIdentity(request);
    const std::string path = request.path();
    const auto addressed = request.header("X-Target-Instance");
    if (addressed && *addressed != options_.id) {
        connection.write(misdirected(request, "another instance"));
        return;
    }
    if (path == "/v1/report") {
        connection.write(Response::json(200, state()));
        return;
    }
    if (path == "/health") {
        connection.write(Response::json(200, json::object(), {{"X-Instance-Id", options_.id}}));
        return;
    }
    if (request.method == "POST" && path == "/v1/order")
        return order(request, connection);
    if (servesModels() && !holds(request)) {
        connection.write(misdirected(request, "not held"));
        return;
    }
    serve(request, connection);
}

void Worker::refused(const Request& request, int retryAfterSeconds)
{
    checkIdentity(request);
    const std::lock_guard lock(mutex_);
    const std::string attempt = request.header("X-Attempt-Id").value_or("");
    appendRecord(fmt::format("refused {} {} {}", attempt, steadyMillis(), retryAfterSeconds));
}

json Worker::stats()
{
    const std::lock_guard lock(mutex_);
    completeLoad();
    json models = json::object();
    for (const auto& [model, adapters] : models_)
        models[model] = adapters;
    return {{"executions", executions_}, {"models", models}, {"overcommits", overcommits_}, {"sequence", sequence_},
        {"holders", holders_}, {"running", running_}, {"cancelled", cancelled_},
        {"identity_violations", identityViolations_}};
}

void Worker::checkIdentity(const Request& request)
{
    const std::string attempt = request.header("X-Attempt-Id").value_or("");
    std::vector<std::string> names;
    bool hasKey = false;
    for (const HeaderField& field : request.headers) {
        hasKey = hasKey || absl::EqualsIgnoreCase(field.name, "X-Credential");
        if (absl::EqualsIgnoreCase(field.name, "X-Tenant"))
            names.push_back(field.value);
    }
    std::vector<std::string> problems;
    if (hasKey)
        problems.emplace_back("carries a key");
    const std::size_t mark = attempt.find(customerMark);
    if (mark != std::string::npos) {
        const std::string customer = attempt.substr(mark + 1);
        const std::vector<std::string> expected(customer.empty() ? 0 : 1, customer);
        if (names != expected)
            problems.push_back(fmt::format("names the customers \"{}\"", fmt::join(names, " ")));
    }
    const std::lock_guard lock(mutex_);
    identityViolations_ += problems.size();
    for (const std::string& problem : problems)
        appendRecord(fmt::format("violation {} {}", attempt, problem));
}

int Worker::pace() const
{
    if (options_.paceSeed == 0)
        return usualPace;
    const std::int64_t period = steadyMillis() / pacePeriod.count();
    const std::size_t draw = std::hash<std::string>()(fmt::format("{} {} {}", options_.paceSeed, options_.id, period));
    return draw % slowPeriods == 0 ? slowPace : usualPace;
}

std::string Worker::load() const
{
    const std::string numbers = fmt::format("{},0,{}", running_, slots);
    return options_.paceSeed == 0 ? numbers : fmt::format("{},{}", numbers, pace());
}

std::vector<HeaderField> Worker::answerHeaders(const std::string& attempt) const
{
    std::vector<HeaderField> headers{
        {"X-Attempt-Id", attempt}, {"X-Response-Seal", responseSeal(options_.id, attempt)}};
    if (options_.requestLimit > 0)
        headers.push_back({"Server-Limit", fmt::format("{}", options_.requestLimit)});
    if (options_.reportsLoad)
        headers.push_back({"X-Server-Load", load()});
    return headers;
}

bool Worker::holds(const Request& request)
{
    const std::string name = request.header("X-Model").value_or("");
    const std::size_t slash = name.find('/');
    const std::lock_guard lock(mutex_);
    completeLoad();
    const auto found = models_.find(name.substr(0, slash));
    if (found == models_.end())
        return false;
    return slash == std::string::npos || found->second.contains(name.substr(slash + 1));
}

void Worker::serve(const Request& request, Connection& connection)
{
    const std::string attempt = request.header("X-Attempt-Id").value_or("");
    std::vector<HeaderField> headers;
    {
        const std::lock_guard lock(mutex_);
        ++executions_[attempt];
        ++running_;
        headers = answerHeaders(attempt);
        const std::string_view form = connection.answersWithoutLength() ? "undelimited" : "delimited";
        appendRecord(fmt::format("run {} {} {}", attempt, steadyMillis(), form));
    }
    const bool isWhole = servesModels() ? stream(request, connection, std::move(headers))
                                        : connection.write(Response::json(200,
                                            {{"body", request.body}, {"target", request.target}}, std::move(headers)));
    const std::lock_guard lock(mutex_);
    --running_;
    if (isWhole && !connection.isSilent())
        appendRecord(fmt::format("whole {} {}", attempt, steadyMillis()));
}

bool Worker::stream(const Request& request, Connection& connection, std::vector<HeaderField> headers)
{
    // Events may be made longer, so that a slow caller leaves more unread than sockets hold.
    const std::string padding(std::stoul(request.query("pad").value_or("0")), '.');
    const std::string after = request.header("Last-Event-Id").value_or("0");
    headers.push_back({"Content-Type", "text/event-stream"});
    connection.beginStream(headers);
    for (int id = std::stoi(after) + 1; id <= options_.events; ++id) {
        std::this_thread::sleep_for(options_.eventTime * pace() / usualPace);
        if (connection.isPeerClosed()
            || !connection.writeEvent(fmt::format("id: {}\ndata: token-{}{}\n\n", id, id, padding))) {
            const std::lock_guard lock(mutex_);
            ++cancelled_;
            return false;
        }
    }
    return connection.endStream();
}

void Worker::order(const Request& request, Connection& connection)
{
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("holder") || !body.contains("fence")) {
        connection.write(Response::json(400, {{"error", "malformed"}}));
        return;
    }
    connection.write(applyOrder(body));
}

Response Worker::applyOrder(const json& order)
{
    const std::lock_guard lock(mutex_);
    completeLoad();
    const std::string holder = order["holder"];
    ++holders_[holder];
    appendRecord(fmt::format("order {} {} {}", steadyMillis(), holder, order["fence"].get<std::uint64_t>()));
    const std::string model = order.value("model", "");
    const std::string adapter = order.value("adapter", "");
    const bool load = order.value("operation", "") == "model_load";
    if (order.contains("expected") && order["expected"] != sequence_)
        return Response::json(409, {{"error", "sequence"}});
    if (adapter.empty() && !loading_.empty())
        return Response::json(409, {{"error", "busy"}});
    if (!adapter.empty()) {
        const auto found = models_.find(model);
        if (found == models_.end())
            return Response::json(421, {{"error", "model not held"}});
        ++sequence_;
        if (load)
            found->second.insert(adapter);
        else
            found->second.erase(adapter);
        std::size_t adapters = 0;
        for (const auto& [held, names] : models_)
            adapters += names.size();
        checkCapacity(adapters, options_.maxAdapters);
        return Response::json(load ? 202 : 200, json::object());
    }
    if (load == models_.contains(model))
        return Response::json(200, json::object());
    ++sequence_;
    if (!load) {
        models_.erase(model);
        return Response::json(202, json::object());
    }
    loading_ = model;
    loadedAt_ = std::chrono::steady_clock::now() + options_.loadTime;
    checkCapacity(models_.size() + 1, options_.maxModels);
    return Response::json(202, json::object());
}

void Worker::checkCapacity(std::size_t required, std::size_t capacity)
{
    if (required <= capacity)
        return;
    ++overcommits_;
    appendRecord("overcommit");
}

void Worker::appendRecord(const std::string& line)
{
    if (record_.is_open())
        record_ << line << std::endl;
}

void Worker::completeLoad()
{
    if (loading_.empty() || std::chrono::steady_clock::now() < loadedAt_)
        return;
    models_[loading_];
    loading_.clear();
}

json Worker::state()
{
    const std::lock_guard lock(mutex_);
    completeLoad();
    json models = json::array();
    for (const auto& [model, adapters] : models_)
        models.push_back({{"name", model}, {"version", 1}, {"adapters", adapters}});
    return {{"stage", "colocated"}, {"models", models}, {"busy", !loading_.empty()}, {"sequence", sequence_},
        {"born", startedMs_}, {"queued", 0}, {"active", running_}};
}

void Worker::registrationLoop(std::uint16_t port)
{
    while (true) {
        json entry = state();
        entry["service"] = options_.service;
        entry["address"] = fmt::format("127.0.0.1:{}", options_.advertisedPort > 0 ? options_.advertisedPort : port);
        entry["zone"] = options_.zone;
        entry["version"] = options_.softwareVersion;
        entry["slots"] = slots;
        entry["state"] = "ready";
        entry["coldLeftMs"] = 0;
        const std::string text = entry.dump();
        const json body{{"expected", json::array()},
            {"setKeys",
                {{{"table", "servers"}, {"part", ""}, {"key", options_.id},
                    {"value", absl::Base64Escape(absl::string_view(text.data(), text.size()))}}}},
            {"remove", json::array()}};
        httpPost(options_.storeAddress, options_.storePort, "/v1/rows-tx", body.dump());
        std::this_thread::sleep_for(options_.registrationInterval);
    }
}

} // namespace lychee::standin
