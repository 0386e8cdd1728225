#include "Worker.h"

#include <nlohmann/json.hpp>

namespace review {

namespace {

using nlohmann::json;

constexpr milliseconds beatInterval{1200};
constexpr milliseconds poll{50};

// An entry is removed after three intervals without a beat.
constexpr int missedBeats = 3;

} // namespace

Worker::Worker(Store& store, Record& record, WorkerOptions options)
    : store_(store)
    , record_(record)
    , options_(std::move(options))
{
    for (const std::string& model : options_.models) {
        held_[model];
        onDisk_.insert(model);
    }
}

Worker::~Worker()
{
    ending_ = true;
    if (beats_.joinable())
        beats_.join();
    if (restart_.joinable())
        restart_.join();
    if (server_)
        server_->stop();
}

void Worker::start()
{
    open();
    beats_ = std::thread([this] { beat(); });
}

void Worker::open()
{
    {
        const std::lock_guard lock(mutex_);
        // Each start is a new incarnation with a new id.
        id_ = "i-" + options_.name + "-" + std::to_string(crashes_);
        born_ = std::chrono::duration_cast<milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
        sequence_ = 0;
    }
    server_ = std::make_unique<HttpServer>(
        [this](const Request& request, Exchange& exchange) { handle(request, exchange); });
    port_ = server_->start("127.0.0.1", port_);
    running_ = true;
}

std::string Worker::id()
{
    const std::lock_guard lock(mutex_);
    return id_;
}

void Worker::beat()
{
    std::string registered;
    Clock::time_point beatAt{};
    while (!ending_) {
        if (running_ && Clock::now() - beatAt >= beatInterval) {
            beatAt = Clock::now();
            json entry = json::parse(state());
            const std::string id = this->id();
            entry["service"] = options_.service;
            entry["address"] = "127.0.0.1:" + std::to_string(port_);
            entry["zone"] = options_.zone;
            entry["version"] = "v1";
            entry["slots"] = options_.slots;
            entry["state"] = "ready";
            entry["coldLeftMs"] = 0;
            if (!registered.empty() && registered != id)
                store_.remove("servers", registered);
            registered = id;
            store_.put("servers", id, entry.dump());
        } else if (!running_ && !registered.empty() && Clock::now() - beatAt >= missedBeats * beatInterval) {
            store_.remove("servers", registered);
            registered.clear();
        }
        std::this_thread::sleep_for(poll);
    }
}

void Worker::handle(const Request& request, Exchange& exchange)
{
    const std::string addressed = header(request, "X-Target-Instance");
    const std::string attempt = header(request, "X-Attempt-Id");
    const Headers type{{"Content-Type", "application/json"}};
    const Headers refusal{{"X-Attempt-Id", attempt}, {"X-Not-Executed", "1"}, {"X-Instance-Id", id()}};
    if (!addressed.empty() && addressed != id())
        return exchange.respond(421, refusal, "");
    const std::string path = pathOf(request);
    if (path == "/v1/report")
        return exchange.respond(200, type, state());
    if (path == "/v1/order") {
        const auto [status, body] = order(request.body());
        return exchange.respond(status, type, body);
    }
    if (!options_.models.empty()) {
        const std::lock_guard lock(mutex_);
        completeLoad();
        if (!held_.contains(header(request, "X-Model")))
            return exchange.respond(421, refusal, "");
    }
    serve(request, exchange);
}

void Worker::serve(const Request& request, Exchange& exchange)
{
    const std::string attempt = header(request, "X-Attempt-Id");
    record_.line("run attempt=" + attempt + " worker=" + options_.name + " service=" + options_.service);
    const Headers headers{{"X-Attempt-Id", attempt}, {"X-Response-Seal", "seal." + options_.name + "." + attempt},
        {"X-Run-By", options_.service}};
    const std::string target(request.target().data(), request.target().size());
    const bool crashes = (!options_.crashingBody.empty() && request.body() == options_.crashingBody)
        || (!options_.crashingTarget.empty() && target == options_.crashingTarget)
        || (!options_.crashingPart.empty()
            && header(request, "X-Prompt-Prefix").find(options_.crashingPart) != std::string::npos);
    if (options_.models.empty()) {
        if (crashes)
            return crash(attempt);
        std::this_thread::sleep_for(options_.workTime);
        return exchange.respond(200, headers, "answered by " + options_.service);
    }
    if (crashes && options_.eventsBeforeCrash == 0)
        return crash(attempt);
    ++active_;
    Headers streamHeaders = headers;
    streamHeaders["Content-Type"] = "text/event-stream";
    exchange.beginStream(streamHeaders);
    const std::string after = header(request, "Last-Event-Id");
    int made = 0;
    bool paused = false;
    for (int id = after.empty() ? 1 : std::stoi(after) + 1; id <= options_.events; ++id) {
        std::this_thread::sleep_for(options_.eventPause);
        if (options_.eventsBeforePause > 0 && made == options_.eventsBeforePause && !paused) {
            paused = true;
            record_.line("preempted attempt=" + attempt + " worker=" + options_.name);
            std::this_thread::sleep_for(options_.pause);
        }
        const std::string number = std::to_string(id);
        const bool reached
            = !exchange.isPeerGone() && exchange.write("id: " + number + "\ndata: token-" + number + "\n\n");
        if (!reached && options_.dropsClosedRequests) {
            --active_;
            return;
        }
        if (paused)
            record_.line("works attempt=" + attempt + " worker=" + options_.name + " event=" + number);
        ++made;
        if (crashes && made == options_.eventsBeforeCrash) {
            --active_;
            // The events reach the other side before the process ends.
            std::this_thread::sleep_for(options_.eventPause);
            return crash(attempt);
        }
    }
    --active_;
    exchange.endStream();
}

void Worker::crash(const std::string& attempt)
{
    if (!running_.exchange(false))
        return;
    ++crashes_;
    record_.line("crash attempt=" + attempt + " worker=" + options_.name);
    if (restart_.joinable())
        restart_.join();
    restart_ = std::thread([this] {
        server_->stop();
        const auto back = Clock::now() + options_.downTime;
        while (!ending_ && Clock::now() < back)
            std::this_thread::sleep_for(poll);
        if (ending_)
            return;
        {
            // Workers restart empty.
            const std::lock_guard lock(mutex_);
            held_.clear();
            loading_.clear();
        }
        open();
        record_.line("back worker=" + options_.name);
    });
}

std::pair<int, std::string> Worker::order(const std::string& body)
{
    const json call = json::parse(body, nullptr, false);
    if (!call.is_object() || !call.contains("holder") || !call.contains("fence"))
        return {400, "{}"};
    const std::lock_guard lock(mutex_);
    completeLoad();
    if (!loading_.empty() || (call.contains("expected") && call["expected"] != sequence_))
        return {409, "{}"};
    const std::string model = call.value("model", "");
    const bool load = call.value("operation", "") == "model_load";
    if (load == held_.contains(model))
        return {200, "{}"};
    ++sequence_;
    if (load) {
        loading_ = model;
        loadedAt_ = Clock::now() + options_.loadTime;
    } else {
        held_.erase(model);
    }
    return {202, "{}"};
}

void Worker::completeLoad()
{
    if (loading_.empty() || Clock::now() < loadedAt_)
        return;
    held_[loading_];
    onDisk_.insert(loading_);
    loading_.clear();
}

std::string Worker::state()
{
    const std::lock_guard lock(mutex_);
    completeLoad();
    json models = json::array();
    for (const auto& [model, adapters] : held_)
        models.push_back({{"name", model}, {"version", 1}, {"adapters", adapters}});
    return json{{"stage", "colocated"}, {"models", models}, {"busy", !loading_.empty()}, {"sequence", sequence_},
        {"born", born_}, {"queued", 0}, {"active", active_.load()}, {"kvUsed", 0}, {"kvTotal", 232000}, {"handles", 0},
        {"available", {{"inMemory", json::array()}, {"onDisk", onDisk_}}}}
        .dump();
}

} // namespace review
