// The real daemon on the users' platform, before stand-ins of its store and its workers.
#include "tests/support/Standins.h"
#include "transport/HttpServer.h"

#include <absl/strings/escaping.h>
#include <gtest/gtest.h>

#include <fstream>
#include <thread>

namespace lychee::test {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

constexpr auto limit = 10000ms;

// One running instance of the daemon.
struct Instance {
    std::optional<ChildProcess> process;
    Endpoint callers;
    Endpoint readiness;
    Endpoint metrics;
};

class GatewayProcessTest : public testing::Test {
protected:
    GatewayProcessTest()
    {
        store_ = &standins_.startFleetStore();
        storePort_ = store_->endpoint().port;
        addWorker("e0", "hall", "m0,m1");
        addWorker("e1", "hall", "m0");
        addWorker("d0", "desk", "");
        writeConfiguration(1, {"/stream/", "/safe/", "/unsafe/"});
        for (int i = 0; i < 2; ++i)
            startInstance(i);
        for (const Instance& instance : instances_)
            EXPECT_TRUE(eventually([&] { return statusOf(instance.readiness, "/") == 200; }));
        // Both instances know all workers, and one of them owns placement.
        EXPECT_TRUE(eventually([&] { return send(0, "/safe/x", "warm-0").status == 200; }));
        EXPECT_TRUE(eventually([&] { return send(1, "/safe/x", "warm-1").status == 200; }));
    }

    static bool eventually(const std::function<bool()>& condition, std::chrono::milliseconds within = limit)
    {
        const auto end = std::chrono::steady_clock::now() + within;
        while (!condition()) {
            if (std::chrono::steady_clock::now() > end)
                return false;
            std::this_thread::sleep_for(50ms);
        }
        return true;
    }

    void addWorker(const std::string& id, const std::string& service, const std::string& models)
    {
        workers_[id] = &standins_.startFleetWorker({"--id=" + id, "--service=" + service, "--models=" + models,
            fmt::format("--store-port={}", storePort_), "--events=20", "--event-ms=20"});
    }

    // Writes a row as the operator does.
    void writeRow(const std::string& table, const std::string& key, const std::string& value)
    {
        HttpRequest request;
        request.method = "POST";
        request.target = "/v1/rows-tx";
        request.body = json{{"expected", json::array()},
            {"setKeys",
                {{{"table", table}, {"part", ""}, {"key", key},
                    {"value", absl::Base64Escape(absl::string_view(value.data(), value.size()))}}}},
            {"remove", json::array()}}
                           .dump();
        const auto answer = TestHttpClient({"127.0.0.1", storePort_}, limit).send(request);
        ASSERT_TRUE(answer.ok() && answer->status == 200);
    }

    void writeConfiguration(int version, const std::vector<std::string>& prefixes)
    {
        json routes = json::array();
        for (const std::string& prefix : prefixes) {
            const bool stream = prefix == "/stream/";
            routes.push_back({{"name", "r" + std::to_string(routes.size())}, {"host", "a"}, {"prefix", prefix},
                {"kind",
                    stream                     ? "streaming"
                        : prefix == "/unsafe/" ? "non_idempotent"
                                               : "idempotent"},
                {"timeoutMs", 5000}, {"targetLatencyMs", 500}, {"priority", 1}, {"service", stream ? "hall" : "desk"},
                {"attempts", 2}, {"resumable", stream}, {"gapTargetMs", 600}});
        }
        json models = json::array();
        for (const char* model : {"m0", "m1", "m2"})
            models.push_back({{"name", model}, {"weightsMb", 90}, {"loadS", 0.2}, {"adapters", 3}, {"adapterMb", 1}});
        const json document{{"version", version}, {"routes", routes},
            {"services",
                {{{"name", "hall"},
                     {"engine",
                         {{"slots", 16}, {"kvCapacity", 100000}, {"models", models}, {"weightsMb", 200},
                             {"adapterSlots", 2}, {"loadsPerS", 5}}}},
                    {{"name", "desk"}}}}};
        writeRow("op", "config", document.dump());
    }

    static std::uint16_t freePort()
    {
        // Listening and closing tells a port that is free now.
        const auto duty = Duty::start("port", RuntimeClock::createRunning()).value();
        const auto server = HttpServer::listen(*duty, {"127.0.0.1", 0}, {}, [](HttpExchange&) {}).value();
        return server->port();
    }

    void startInstance(int index)
    {
        Instance instance;
        instance.callers = {"127.0.0.1", freePort()};
        instance.readiness = {"127.0.0.1", freePort()};
        instance.metrics = {"127.0.0.1", freePort()};
        const auto settings = standins_.directory().file(fmt::format("instance-{}.ini", index));
        std::ofstream(settings) << fmt::format(
            "[instance]\nid = front-{0}\ndata_centre = a\n[callers]\nendpoint = {1}\n[readiness]\nendpoint = {2}\n"
            "[peers]\naddress = 127.0.0.1\nport = {3}\n[metrics]\nport = {4}\n[platform]\nendpoint = 127.0.0.1:{5}\n"
            "[placement]\nlease_ms = 500\n[stop]\ngrace_s = 8\n",
            index, instance.callers.toString(), instance.readiness.toString(), freePort(), instance.metrics.port,
            storePort_);
        auto process = ChildProcess::start(std::filesystem::path(LYCHEE_BUILD_DIR) / "lycheecoursed",
            {"--interface=platform", "--settings=" + settings.string()},
            standins_.directory().file(fmt::format("instance-{}.log", index)));
        ASSERT_TRUE(process.ok());
        instance.process = std::move(*process);
        instances_.push_back(std::move(instance));
    }

    static int statusOf(const Endpoint& endpoint, const std::string& target)
    {
        HttpRequest request;
        request.target = target;
        const auto answer = TestHttpClient(endpoint, 1000ms).send(request);
        return answer.ok() ? answer->status : 0;
    }

    static HttpRequest request(const std::string& target, const std::string& attempt, const std::string& model = "m0")
    {
        return {"POST", target,
            {{"Host", "a"}, {"X-Attempt-Id", attempt}, {"X-Model", model}, {"X-Token-Count", "100,40"},
                {"X-Deadline-Ms", "5000"}},
            "body"};
    }

    HttpResponse send(
        std::size_t instance, const std::string& target, const std::string& attempt, const std::string& model = "m0")
    {
        const auto answer = TestHttpClient(instances_[instance].callers, limit).send(request(target, attempt, model));
        return answer.ok() ? *answer : HttpResponse{0, {}, std::string(answer.status().message())};
    }

    // Runs of an attempt over all workers.
    int executions(const std::string& attempt)
    {
        int count = 0;
        for (const auto& [id, worker] : workers_)
            count += worker->stats()["executions"].value(attempt, 0);
        return count;
    }

    static std::string expectedEvents()
    {
        std::string text;
        for (int id = 1; id <= 20; ++id)
            text += fmt::format("id: {}\ndata: token-{}\n\n", id, id);
        return text;
    }

    Standins standins_{LYCHEE_BUILD_DIR};
    Standin* store_ = nullptr;
    std::uint16_t storePort_ = 0;
    std::map<std::string, Standin*> workers_;
    std::vector<Instance> instances_;
};

// Guards against any break on the whole path: streams, plain calls, at most once, configuration and metrics.
TEST_F(GatewayProcessTest, ServesTheWholePath)
{
    for (std::size_t instance = 0; instance < 2; ++instance) {
        const HttpResponse stream = send(instance, "/stream/x", fmt::format("s{}", instance));
        EXPECT_EQ(stream.status, 200);
        EXPECT_EQ(stream.body, expectedEvents());
        EXPECT_EQ(send(instance, "/unsafe/x", fmt::format("u{}", instance)).status, 200);
        EXPECT_EQ(executions(fmt::format("u{}", instance)), 1);
        EXPECT_EQ(send(instance, "/nowhere/x", "n").status, 404);
    }
    workers_["d0"]->postFault({{"path", "/unsafe"}, {"kind", "drop_answer"}, {"count", 1}});
    EXPECT_EQ(send(0, "/unsafe/x", "lost").status, 502);
    EXPECT_EQ(executions("lost"), 1);
    EXPECT_EQ(send(0, "/new/x", "c").status, 404);
    writeConfiguration(5, {"/stream/", "/safe/", "/unsafe/", "/new/"});
    for (std::size_t instance = 0; instance < 2; ++instance)
        EXPECT_TRUE(eventually([&] { return send(instance, "/new/x", "c").status == 200; }, 2000ms));
    EXPECT_EQ(statusOf(instances_[0].metrics, "/metrics"), 200);
}

// Guards against a model or an adapter that callers ask for and nobody loads, and against loads beyond memory.
TEST_F(GatewayProcessTest, LoadsWhatCallersAskFor)
{
    EXPECT_TRUE(eventually([&] { return send(0, "/stream/x", "rare", "m2").status == 200; }));
    EXPECT_TRUE(eventually([&] { return send(1, "/stream/x", "adapted", "m0/a2").status == 200; }));
    for (const auto& [id, worker] : workers_)
        EXPECT_EQ(worker->stats()["overcommits"], 0) << id;
}

// Guards against a stream that ends with its worker although another one can go on.
TEST_F(GatewayProcessTest, StreamSurvivesTheLossOfItsWorker)
{
    for (const char* id : {"e0", "e1"})
        workers_[id]->postFault({{"path", "/stream"}, {"kind", "drop_answer"}, {"count", 1}, {"after_events", 5}});
    const HttpResponse stream = send(0, "/stream/x", "broken-once");
    // Only two runs are allowed, so with both workers breaking off once the stream ends broken and never looks whole.
    EXPECT_NE(stream.body, expectedEvents());
    EXPECT_TRUE(eventually([&] { return send(0, "/stream/x", "whole").body == expectedEvents(); }));
    workers_["e0"]->postFault({{"path", "/stream"}, {"kind", "drop_answer"}, {"count", 1}, {"after_events", 5}});
    for (int i = 0; i < 4; ++i)
        EXPECT_EQ(send(0, "/stream/x", fmt::format("resumed-{}", i)).body, expectedEvents());
}

// Guards against a planned stop that cuts off a stream, takes new work for long, or does not end; and against an
// instance that is lost and takes placement with it.
TEST_F(GatewayProcessTest, StopsGracefullyAndOthersGoOn)
{
    std::string body;
    std::thread caller([&] { body = send(0, "/stream/x", "across-the-stop").body; });
    std::this_thread::sleep_for(100ms);
    instances_[0].process->terminate();
    EXPECT_TRUE(eventually([&] { return statusOf(instances_[0].readiness, "/") != 200; }, 500ms));
    caller.join();
    EXPECT_EQ(body, expectedEvents());
    const auto exit = instances_[0].process->wait(9000ms);
    ASSERT_TRUE(exit.ok());
    EXPECT_EQ(exit->code, 0);
    EXPECT_EQ(send(1, "/unsafe/x", "after").status, 200);
    EXPECT_TRUE(eventually([&] { return send(1, "/stream/x", "moved", "m0/a3").status == 200; }));
}

// Guards against an instance that needs the store to serve what it knows.
TEST_F(GatewayProcessTest, ServesWhileTheStoreIsAway)
{
    store_->process().freeze();
    for (int i = 0; i < 5; ++i) {
        EXPECT_EQ(send(0, "/stream/x", fmt::format("away-{}", i)).body, expectedEvents());
        EXPECT_EQ(send(1, "/unsafe/x", fmt::format("away-u{}", i)).status, 200);
        std::this_thread::sleep_for(300ms);
    }
    store_->process().resume();
    writeConfiguration(9, {"/stream/", "/safe/", "/unsafe/", "/late/"});
    EXPECT_TRUE(eventually([&] { return send(0, "/late/x", "late").status == 200; }));
}

} // namespace
} // namespace lychee::test
