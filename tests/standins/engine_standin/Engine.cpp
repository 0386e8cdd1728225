#include "tests/standins/engine_standin/Engine.h"

#include "tests/standins/common/AnswerTokens.h"

#include <thread>

namespace lychee::standin {

using nlohmann::json;

namespace {

constexpr std::string_view requestsPath = "/v1/requests/";
constexpr std::chrono::milliseconds cancelPoll{20};
constexpr std::chrono::milliseconds samplePeriod{5};

Response notRunResponse(int status, std::string_view reason)
{
    return Response::json(status, {{"error", {{"message", reason}}}}, {{"Lychee-Run", "no"}});
}

std::uint64_t numberHeader(const Request& request, std::string_view name)
{
    const auto text = request.header(name);
    return text ? json::parse(*text).get<std::uint64_t>() : 0;
}

// The fields common to stream chunks and complete answers.
json answerFrame(const Generation& generation, const std::string& artifact, std::string_view object)
{
    return {{"id", "chatcmpl-" + generation.id}, {"object", object}, {"created", 0}, {"model", artifact}};
}

json chunk(const Generation& generation, const std::string& artifact, std::uint64_t index)
{
    const std::string text = answerToken(generation.model, generation.content, index);
    json choice{{"index", 0}, {"finish_reason", nullptr}};
    if (index == generation.tokens)
        choice["finish_reason"] = "stop";
    if (generation.chat)
        choice["delta"] = {{"content", text}};
    else
        choice["text"] = text;
    json frame = answerFrame(generation, artifact, generation.chat ? "chat.completion.chunk" : "text_completion");
    frame["choices"] = json::array({std::move(choice)});
    return frame;
}

json wholeAnswer(const Generation& generation, const std::string& artifact)
{
    std::string text;
    for (std::uint64_t index = generation.resumeAfter + 1; index <= generation.tokens; ++index)
        text += answerToken(generation.model, generation.content, index);
    json choice{{"index", 0}, {"finish_reason", "stop"}};
    if (generation.chat)
        choice["message"] = {{"role", "assistant"}, {"content", text}};
    else
        choice["text"] = text;
    // Estimates the prompt tokens at four bytes per token.
    const std::uint64_t promptTokens = generation.content.size() / 4 + 1;
    json frame = answerFrame(generation, artifact, generation.chat ? "chat.completion" : "text_completion");
    frame["choices"] = json::array({std::move(choice)});
    frame["usage"] = {{"prompt_tokens", promptTokens}, {"completion_tokens", generation.tokens},
        {"total_tokens", promptTokens + generation.tokens}};
    return frame;
}

} // namespace

Engine::Engine(const EngineOptions& options, Transfer transfer)
    : options_(options)
    , memory_(options.memoryBytes, options.honourFencing, std::move(transfer))
    , scheduler_(options.slots, options.queueLimit)
    , cache_(options.cacheBlocks, options.eventLag, options.eventGap)
{
    // Until the report lag has elapsed, reports show an idle engine.
    samples_.push_back({Clock::now(), {}});
    if (options_.reportLag.count() > 0)
        std::thread([this] { sampleLoad(); }).detach();
}

void Engine::handle(const Request& request, Connection& connection)
{
    const std::string path = request.path();
    try {
        if (request.method == "POST" && (path == "/v1/chat/completions" || path == "/v1/completions"))
            generate(request, connection);
        else
            connection.write(answerControl(request));
    } catch (const json::exception& error) {
        connection.write(notRunResponse(400, error.what()));
    }
}

json Engine::stats()
{
    json stats{{"requests", requests_.load()}, {"completed", completed_.load()}, {"cut_off", cutOff_.load()},
        {"not_run", notRun_.load()}, {"tokens", tokens_.load()}, {"incarnation", options_.incarnation}};
    const BatchLoad load = scheduler_.load();
    stats["running"] = load.running;
    stats["queued"] = load.queued;
    stats["streaming"] = streaming_.load();
    memory_.addToStats(stats);
    return stats;
}

void Engine::setFencingFault(FaultKind kind) { memory_.setHonourFencing(kind == FaultKind::HonourFencing); }

void Engine::clearFencingFault() { memory_.setHonourFencing(options_.honourFencing); }

Response Engine::answerControl(const Request& request)
{
    const std::string path = request.path();
    if (request.method == "POST" && path == "/control/orders")
        return answerOrder(request);
    if (request.method == "GET" && path == "/control/report")
        return answerReport();
    if (request.method == "GET" && path == "/control/cache-events")
        return Response::json(
            200, cache_.events(json::parse(request.query("after").value_or("0")).get<std::uint64_t>()));
    if (request.method == "DELETE" && path.starts_with(requestsPath))
        return answerCancel(path.substr(requestsPath.size()));
    return notRunResponse(404, "unknown path");
}

Response Engine::answerOrder(const Request& request)
{
    const Order order = Order::parse(json::parse(request.body));
    const auto refusal = memory_.apply(order);
    if (refusal)
        return Response::json(409, {{"order_id", order.id}, {"state", "refused"}, {"reason", *refusal}});
    return Response::json(200, {{"order_id", order.id}, {"state", "applied"}});
}

Response Engine::answerReport()
{
    const LoadSample sample = laggedLoad();
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(Clock::now() - sample.at);
    json report{{"incarnation", options_.incarnation}, {"running", sample.load.running}, {"queued", sample.load.queued},
        {"slots", options_.slots}, {"tokens_per_second", options_.tokensPerSecond}, {"age_ms", age.count()}};
    memory_.addToReport(report);
    return Response::json(200, report);
}

Response Engine::answerCancel(const std::string& id)
{
    const std::lock_guard lock(cancelMutex_);
    const auto [begin, end] = cancelFlags_.equal_range(id);
    if (begin == end)
        return Response::json(404, {{"error", "request absent"}});
    for (auto entry = begin; entry != end; ++entry)
        *entry->second = true;
    return {204, {}, {}};
}

Generation Engine::parseGeneration(const Request& request) const
{
    const json body = json::parse(request.body);
    Generation generation;
    generation.id = request.header("Lychee-Request-Id").value_or("");
    generation.model = body.at("model").get<std::string>();
    generation.content = requestContent(body);
    generation.tokens = body.value("max_tokens", options_.answerTokens);
    generation.resumeAfter = numberHeader(request, "Lychee-Resume-After");
    generation.priority = static_cast<int>(numberHeader(request, "Lychee-Priority"));
    generation.chat = request.path() == "/v1/chat/completions";
    generation.stream = body.value("stream", false);
    return generation;
}

void Engine::generate(const Request& request, Connection& connection)
{
    const Generation generation = parseGeneration(request);
    const auto flag = std::make_shared<std::atomic<bool>>(false);
    decltype(cancelFlags_)::iterator entry;
    {
        const std::lock_guard lock(cancelMutex_);
        entry = cancelFlags_.emplace(generation.id, flag);
    }
    const auto isCancelled = [&] { return *flag || connection.isPeerClosed(); };
    const SlotResult result
        = memory_.has(generation.model) ? scheduler_.acquire(generation.priority, isCancelled) : SlotResult::Cancelled;
    if (result == SlotResult::Acquired) {
        if (const auto artifact = memory_.use(generation.model)) {
            runInSlot(generation, *artifact, connection, isCancelled);
            memory_.release(*artifact);
        } else {
            ++notRun_;
            connection.write(notRunResponse(404, "model not loaded"));
        }
        scheduler_.release();
    } else {
        ++notRun_;
        if (result == SlotResult::QueueFull)
            connection.write(notRunResponse(503, "queue full"));
        else if (*flag)
            connection.write(notRunResponse(503, "cancelled while queued"));
        else
            connection.write(notRunResponse(404, "model not loaded"));
    }
    const std::lock_guard lock(cancelMutex_);
    cancelFlags_.erase(entry);
}

void Engine::runInSlot(const Generation& generation, const std::string& artifact, Connection& connection,
    const std::function<bool()>& isCancelled)
{
    ++requests_;
    prefill(generation, isCancelled);
    const bool complete = generation.stream ? stream(generation, artifact, connection, isCancelled)
                                            : answerWhole(generation, artifact, connection, isCancelled);
    if (complete) {
        ++completed_;
        return;
    }
    ++cutOff_;
    connection.close();
}

bool Engine::stream(const Generation& generation, const std::string& artifact, Connection& connection,
    const std::function<bool()>& isCancelled)
{
    const Clock::time_point start = Clock::now();
    if (!connection.beginStream(
            {{"Content-Type", "text/event-stream"}, {"Lychee-Artifact", artifact}, {"Lychee-Run", "yes"}}))
        return false;
    const auto release = [](std::atomic<std::uint64_t>* count) { --*count; };
    std::unique_ptr<std::atomic<std::uint64_t>, decltype(release)> begun(nullptr, release);
    for (std::uint64_t index = generation.resumeAfter + 1; index <= generation.tokens; ++index) {
        if (!waitUntil(dueTime(start, index - generation.resumeAfter), isCancelled))
            return false;
        ++tokens_;
        if (!connection.writeEvent(
                fmt::format("id: {}\ndata: {}\n\n", index, chunk(generation, artifact, index).dump())))
            return false;
        if (!begun) {
            ++streaming_;
            begun.reset(&streaming_);
        }
    }
    return connection.writeEvent("data: [DONE]\n\n") && connection.endStream();
}

bool Engine::answerWhole(const Generation& generation, const std::string& artifact, Connection& connection,
    const std::function<bool()>& isCancelled)
{
    const std::uint64_t generatedTokens = generation.tokens - std::min(generation.resumeAfter, generation.tokens);
    if (!waitUntil(dueTime(Clock::now(), generatedTokens), isCancelled))
        return false;
    tokens_ += generatedTokens;
    return connection.write(
        Response::json(200, wholeAnswer(generation, artifact), {{"Lychee-Artifact", artifact}, {"Lychee-Run", "yes"}}));
}

// Returns false when the request was cancelled meanwhile.
bool Engine::waitUntil(Clock::time_point due, const std::function<bool()>& isCancelled) const
{
    while (true) {
        if (isCancelled())
            return false;
        const Clock::time_point now = Clock::now();
        if (now >= due)
            return true;
        std::this_thread::sleep_until(std::min(due, now + cancelPoll));
    }
}

Engine::Clock::time_point Engine::dueTime(Clock::time_point start, std::uint64_t tokens) const
{
    const std::chrono::duration<double> time(static_cast<double>(tokens) / options_.tokensPerSecond);
    return start + std::chrono::duration_cast<Clock::duration>(time);
}

void Engine::prefill(const Generation& generation, const std::function<bool()>& isCancelled)
{
    const std::size_t absent
        = cache_.store(callerName(generation.model), prefixHashes(generation.model, generation.content));
    waitUntil(Clock::now() + options_.prefillPerBlock * absent, isCancelled);
}

Engine::LoadSample Engine::laggedLoad()
{
    if (options_.reportLag.count() == 0)
        return {Clock::now(), scheduler_.load()};
    const std::lock_guard lock(samplesMutex_);
    return samples_.front();
}

void Engine::sampleLoad()
{
    while (true) {
        const Clock::time_point now = Clock::now();
        {
            const std::lock_guard lock(samplesMutex_);
            samples_.push_back({now, scheduler_.load()});
            // Keeps as the first sample the newest one that is at least as old as the report lag.
            while (samples_.size() > 1 && samples_[1].at <= now - options_.reportLag)
                samples_.pop_front();
        }
        std::this_thread::sleep_for(samplePeriod);
    }
}

} // namespace lychee::standin
