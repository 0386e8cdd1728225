// A worker of the pages as a process of its own: registers itself in the store, runs plain requests and streams, and
// appends each run to a file. SIGUSR1 has it leave at short notice: it reports that it drains, and how long it has
// left. Options make it spoil some of its answers, end streams inside an event, or crash on a part of a prompt.
#include "review/common-2/Deployment.h"

using namespace review;

namespace {

std::map<std::string, std::string> options;

std::string option(const std::string& name, const std::string& fallback = {})
{
    const auto found = options.find(name);
    return found == options.end() ? fallback : found->second;
}

const std::int64_t born = epochMs();
std::atomic<bool> isDraining{false};
std::atomic<int> running{0};
std::atomic<int> sequence{0};
std::atomic<int> answers{0};
constexpr std::size_t wrongBytes = 70000;
std::mutex stateMutex;
std::map<std::string, std::set<std::string>> models;

json state()
{
    const std::lock_guard lock(stateMutex);
    json held = json::array();
    for (const auto& [model, adapters] : models)
        held.push_back({{"name", model}, {"version", 1}, {"adapters", adapters}});
    return {{"stage", "colocated"}, {"models", held}, {"busy", false}, {"sequence", sequence.load()}, {"born", born},
        {"queued", 0}, {"active", running.load()}, {"kvUsed", 0}, {"kvTotal", 232000}, {"handles", 0}};
}

void registerSelf(int port)
{
    json entry = state();
    entry["service"] = option("service");
    entry["address"] = "127.0.0.1:" + std::to_string(port);
    entry["zone"] = option("zone", "bay-a");
    entry["version"] = option("version", "v1");
    entry["slots"] = std::stoi(option("slots", "64"));
    entry["state"] = isDraining ? "draining" : "ready";
    entry["coldLeftMs"] = 0;
    if (isDraining)
        entry["remainingMs"] = std::stoi(option("notice-ms", "2000"));
    const json body{{"expected", json::array()},
        {"setKeys", {{{"table", "servers"}, {"part", ""}, {"key", option("id")}, {"value", base64(entry.dump())}}}},
        {"remove", json::array()}};
    send(std::stoi(option("store")), "POST", "/v1/rows-tx", {{"Host", "store"}}, body.dump(), Milliseconds(1000));
}

std::string event(int id)
{
    return "id: " + std::to_string(id) + "\ndata: token-" + std::to_string(id) + "-" + option("version", "v1") + "\n\n";
}

std::string chunk(const std::string& text)
{
    char size[16];
    std::snprintf(size, sizeof size, "%zx\r\n", text.size());
    return size + text + "\r\n";
}

// Streams the events after Last-Event-Id. With `framing` = close, the answer has neither a length nor chunks and ends
// with its connection. With `break-after` = N, it ends inside the event after the Nth.
bool stream(Connection& connection, const Message& request, std::string head)
{
    const bool isChunked = option("framing", "chunked") == "chunked";
    head += std::string("Content-Type: text/event-stream\r\n")
        + (isChunked ? "Transfer-Encoding: chunked\r\n\r\n" : "Connection: close\r\n\r\n");
    if (!connection.write(head))
        return false;
    const int last = std::stoi(option("events", "60"));
    const int breakAfter = std::stoi(option("break-after", "0"));
    const auto piece = [&](const std::string& text) { return connection.write(isChunked ? chunk(text) : text); };
    for (int id = std::stoi("0" + request.header("Last-Event-Id")) + 1; id <= last; ++id) {
        sleepMs(std::stoi(option("event-ms", "100")));
        if (connection.isPeerGone())
            return false;
        if (breakAfter > 0 && id > breakAfter) {
            piece(event(id).substr(0, event(id).size() / 2));
            break;
        }
        if (!piece(event(id)))
            return false;
    }
    note("end " + request.header("X-Attempt-Id"));
    return isChunked && connection.write("0\r\n\r\n");
}

// Takes from a half to one and a half of `work-ms`, as the attempt says.
void work(const std::string& attempt)
{
    const auto mean = static_cast<std::size_t>(std::stoi(option("work-ms", "15")));
    sleepMs(static_cast<std::int64_t>(mean / 2 + std::hash<std::string>()(attempt) % (mean + 1)));
}

bool order(Connection& connection, const Message& request)
{
    const json body = json::parse(request.body, nullptr, false);
    if (!body.is_object() || !body.contains("holder") || !body.contains("fence"))
        return connection.write(answerText(400, "{}"));
    const std::lock_guard lock(stateMutex);
    note("order " + request.body);
    if (body.contains("expected") && body["expected"] != sequence.load())
        return connection.write(answerText(409, "{}"));
    const std::string model = body.value("model", "");
    const std::string adapter = body.value("adapter", "");
    const bool isLoad = body.value("operation", "") == "model_load";
    if (adapter.empty() ? isLoad == models.contains(model) : isLoad == models[model].contains(adapter))
        return connection.write(answerText(200, "{}"));
    ++sequence;
    if (!adapter.empty() && isLoad)
        models[model].insert(adapter);
    else if (!adapter.empty())
        models[model].erase(adapter);
    else if (isLoad)
        models[model];
    else
        models.erase(model);
    // An adapter that no request uses is unloaded at once.
    return connection.write(answerText(!adapter.empty() && !isLoad ? 200 : 202, "{}"));
}

bool handle(Connection& connection, const Message& request)
{
    const std::string attempt = request.header("X-Attempt-Id");
    const std::string addressed = request.header("X-Target-Instance");
    if (!addressed.empty() && addressed != option("id"))
        return connection.write(answerText(421, "", {{"X-Attempt-Id", attempt}, {"X-Instance-Id", option("id")}}));
    if (request.path() == "/v1/report")
        return connection.write(answerText(200, state().dump()));
    if (request.path() == "/v1/order")
        return order(connection, request);
    if (request.path() == "/health")
        return connection.write(answerText(isDraining ? 503 : 200, "", {{"X-Instance-Id", option("id")}}));
    const std::string model = request.header("X-Model");
    if (!model.empty()) {
        const std::lock_guard lock(stateMutex);
        if (!models.contains(model.substr(0, model.find('/'))))
            return connection.write(answerText(421, "", {{"X-Attempt-Id", attempt}}));
    }
    note("run " + attempt + " tenant=" + request.header("X-Tenant") + " after=" + request.header("Last-Event-Id"));
    ++running;
    const std::string prompt = request.header("X-Prompt-Prefix");
    if (const std::string part = option("crash-part"); !part.empty() && prompt.find(part + ":") != std::string::npos) {
        // Crashes as it begins to write the answer.
        sleepMs(std::stoi(option("prefill-ms", "150")));
        note("crash " + attempt);
        ::_exit(9);
    }
    const std::string seal = "3e1b." + option("id") + "." + attempt;
    bool kept = false;
    if (!model.empty()) {
        kept = stream(connection, request,
            "HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Response-Seal: " + seal + "\r\n");
    } else if (const int each = std::stoi(option("spoil-each", "0")); each > 0 && ++answers % each == 0) {
        // Wrong bytes behind the last chunk of the answer.
        work(attempt);
        note("spoilt " + attempt);
        connection.write("HTTP/1.1 200 OK\r\nX-Attempt-Id: " + attempt + "\r\nX-Response-Seal: " + seal
            + "\r\nTransfer-Encoding: chunked\r\n\r\n" + chunk("answer to " + attempt)
            + "0\r\nX-Rest: " + std::string(wrongBytes, '#') + "\r\n\r\n");
    } else {
        work(attempt);
        kept = connection.write(
            answerText(200, "answer to " + attempt, {{"X-Attempt-Id", attempt}, {"X-Response-Seal", seal}}));
    }
    --running;
    return kept;
}

} // namespace

int main(int argc, char** argv)
{
    for (int i = 1; i + 1 < argc; i += 2)
        options[std::string(argv[i]).substr(2)] = argv[i + 1];
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGUSR1);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    Record::get().open(option("record"));
    std::string names = option("models");
    while (!names.empty()) {
        models[names.substr(0, names.find(','))];
        names = names.find(',') == std::string::npos ? "" : names.substr(names.find(',') + 1);
    }
    const Server server(std::stoi(option("port", "0")), handle);
    if (server.port() == 0)
        return 2;
    std::thread([port = server.port()] {
        while (true) {
            registerSelf(port);
            sleepMs(1200);
        }
    }).detach();
    int received = 0;
    while (sigwait(&signals, &received) == 0) {
        isDraining = true;
        registerSelf(server.port());
        note("draining acknowledged by the store");
    }
}
