#include "tests/support/TestRequests.h"

#include "tests/standins/common/AnswerTokens.h"
#include "transport/TransportError.h"

#include <gtest/gtest.h>

#include <array>
#include <thread>

namespace lychee::test {
namespace {

using namespace std::chrono_literals;
using nlohmann::json;

// Time without an answer after which a connection counts as silent. A slow machine cannot fail a test that expects
// silence.
constexpr auto silenceLimit = 100ms;

HttpRequest transact(const std::vector<json>& groups)
{
    return makeRequest("POST", "/tables/transact", json{{"groups", groups}}.dump());
}

json putGroup(const std::string& key, std::uint64_t version, const json& value)
{
    return {{"checks", json::array({{{"table", "t"}, {"key", key}, {"version", version}}})},
        {"puts", json::array({{{"table", "t"}, {"key", key}, {"value", value}}})}};
}

// Sends a request to which one posted fault applies, and closes the connection without an answer.
void sendAndAbandon(Standin& standin, const HttpRequest& request)
{
    const json before = standin.stats()["faults_taken"];
    TestHttpClient client = standin.client();
    EXPECT_TRUE(client.sendOnly(request).ok());
    EXPECT_TRUE(eventually([&] { return standin.stats()["faults_taken"] != before; }));
}

HttpRequest order(int id, int fence, const std::string& operation, const std::string& artifact = "", int bytes = 0)
{
    const json body{{"order_id", id}, {"fence", fence}, {"op", operation}, {"artifact", artifact}, {"bytes", bytes}};
    return makeRequest("POST", "/control/orders", body.dump());
}

json report(const Standin& engine) { return callJson(engine, makeRequest("GET", "/control/report")); }

json chatBody(int tokens, bool stream, const std::string& text = "Where is the lock?")
{
    return {{"model", "river"}, {"messages", json::array({{{"role", "user"}, {"content", text}}})},
        {"max_tokens", tokens}, {"stream", stream}};
}

HttpRequest chat(const json& body, HttpHeaders headers = {})
{
    return makeRequest("POST", "/v1/chat/completions", body.dump(), std::move(headers));
}

// The content of a stream and how it ended.
struct StreamedAnswer {
    std::string text;
    std::string lastId;
    bool done = false;
};

StreamedAnswer readStream(const Standin& engine, const HttpRequest& request)
{
    StreamedAnswer answer;
    auto stream = engine.client().open(request);
    if (!stream.ok())
        return answer;
    while (true) {
        const auto event = (*stream)->next();
        if (!event.ok() || !event->has_value())
            return answer;
        if ((*event)->data == "[DONE]") {
            answer.done = true;
            continue;
        }
        answer.lastId = (*event)->id;
        answer.text += json::parse((*event)->data)["choices"][0]["delta"]["content"].get<std::string>();
    }
}

class StandinsTest : public ::testing::Test {
protected:
    Standin& startEngineWithModel(std::vector<std::string> flags)
    {
        Standin& engine = standins_.startEngine(std::move(flags));
        EXPECT_EQ(call(engine, order(1, 1, "load", "river@1", 10)).status, 200);
        return engine;
    }

    Standins standins_{LYCHEE_BUILD_DIR};
};

// Guards against groups that are not atomic or not independent of each other, and conflicts that lack the current row.
TEST_F(StandinsTest, TransactionGroupsCommitSeparatelyAndReportConflicts)
{
    Standin& platform = standins_.startPlatform();
    json partlyStale = putGroup("b", 0, 2);
    partlyStale["checks"].push_back({{"table", "t"}, {"key", "a"}, {"version", 999}});
    EXPECT_EQ(call(platform, makeRequest("POST", "/tables/transact", R"({"groups":{}})")).status, 400);
    const json results
        = callJson(platform, transact({putGroup("a", 0, 1), partlyStale, putGroup("team/c", 0, 3)}))["results"];
    EXPECT_TRUE(results[0]["committed"]);
    EXPECT_FALSE(results[1]["committed"]);
    EXPECT_EQ(results[1]["conflicts"][0]["key"], "a");
    EXPECT_EQ(results[1]["conflicts"][0]["version"], results[0]["versions"][0]);
    EXPECT_EQ(results[1]["conflicts"][0]["value"], 1);
    EXPECT_TRUE(results[2]["committed"]);
    EXPECT_EQ(call(platform, makeRequest("GET", "/tables/t/rows/b")).status, 404);
    EXPECT_EQ(callJson(platform, makeRequest("GET", "/tables/t/rows/team%2Fc"))["value"], 3);
    EXPECT_EQ(callJson(platform, makeRequest("GET", "/tables/t/rows?prefix=team/"))["rows"].size(), 1u);
    EXPECT_EQ(platform.stats()["writes"], 2);
    EXPECT_EQ(platform.stats()["reads"], 3);
}

// Guards against a row version that is reused after a delete, so that the check of a stale writer would pass.
TEST_F(StandinsTest, RowCreatedAnewHasAHigherVersion)
{
    Standin& platform = standins_.startPlatform();
    const json first = callJson(platform, transact({putGroup("a", 0, 1)}))["results"][0]["versions"][0];
    const json removal{{"deletes", json::array({{{"table", "t"}, {"key", "a"}}})}};
    callJson(platform, transact({removal}));
    const json second = callJson(platform, transact({putGroup("a", 0, 1)}))["results"][0]["versions"][0];
    EXPECT_GT(second.get<int>(), first.get<int>());
}

// Guards against faults that apply before instead of after the effect or the reverse, which would invalidate tests of
// lost answers.
TEST_F(StandinsTest, PlatformFaultsActBeforeOrAfterTheEffect)
{
    Standin& platform = standins_.startPlatform();
    const auto isPresent = [&](const std::string& key) {
        return call(platform, makeRequest("GET", "/tables/t/rows/" + key)).status == 200;
    };
    const auto sendUnanswered = [&](const std::string& key) {
        const auto response = platform.client().send(transact({putGroup(key, 0, 1)}));
        EXPECT_EQ(errorOf<TransportError>(response.status()), TransportError::ConnectionClosed);
    };
    platform.postFault({{"path", "/tables/transact"}, {"kind", "drop_answer"}, {"count", 1}});
    sendUnanswered("dropped");
    EXPECT_TRUE(isPresent("dropped"));

    platform.postFault({{"path", "/tables/transact"}, {"kind", "refuse"}, {"count", 1}});
    sendUnanswered("refused");
    EXPECT_FALSE(isPresent("refused"));

    platform.postFault(
        {{"path", "/tables/transact"}, {"kind", "delay"}, {"when", "after_effect"}, {"delay_ms", 600000}});
    sendAndAbandon(platform, transact({putGroup("late-answer", 0, 1)}));
    EXPECT_TRUE(eventually([&] { return isPresent("late-answer"); }));

    platform.postFault({{"path", "/tables/transact"}, {"kind", "freeze"}});
    sendAndAbandon(platform, transact({putGroup("frozen", 0, 1)}));
    EXPECT_FALSE(isPresent("frozen"));
    platform.clearFaults();
    EXPECT_TRUE(eventually([&] { return isPresent("frozen"); }));

    platform.postFault({{"path", "/tables/transact"}, {"kind", "delay"}, {"delay_ms", 200}});
    sendAndAbandon(platform, transact({putGroup("delayed", 0, 1)}));
    EXPECT_TRUE(eventually([&] { return isPresent("delayed"); }));
    EXPECT_EQ(call(platform, transact({putGroup("after", 0, 1)})).status, 200);
}

// Guards against objects and instances that are read back differently from what was written.
TEST_F(StandinsTest, PlatformKeepsObjectsAndInstances)
{
    Standin& platform = standins_.startPlatform();
    EXPECT_EQ(call(platform, makeRequest("GET", "/objects/config/1-a")).status, 404);
    EXPECT_EQ(call(platform, makeRequest("PUT", "/objects/config/1-a", "content")).status, 204);
    EXPECT_EQ(call(platform, makeRequest("GET", "/objects/config/1-a")).body, "content");
    const json description{{"data_centre", "dc1"}, {"address", "127.0.0.1"}, {"peer_port", 7000}, {"state", "live"}};
    EXPECT_EQ(call(platform, makeRequest("PUT", "/instances/i1", description.dump())).status, 204);
    const json list = callJson(platform, makeRequest("GET", "/instances"))["instances"];
    ASSERT_EQ(list.size(), 1u);
    EXPECT_EQ(list[0]["id"], "i1");
    EXPECT_EQ(list[0]["peer_port"], 7000);
    EXPECT_EQ(call(platform, makeRequest("DELETE", "/instances/i1")).status, 204);
    EXPECT_TRUE(callJson(platform, makeRequest("GET", "/instances"))["instances"].empty());
}

// Guards against engines that continue the same answer differently, so that a resumed stream would mix two answers.
TEST_F(StandinsTest, AnotherEngineContinuesAStreamIdentically)
{
    Standin& first = startEngineWithModel({"--tokens-per-second=100000"});
    Standin& second = startEngineWithModel({"--tokens-per-second=100000"});
    const json body = chatBody(20, true);
    const std::string expected = standin::expectedAnswer(body, 20);

    const StreamedAnswer whole = readStream(first, chat(body));
    EXPECT_EQ(whole.text, expected);
    EXPECT_TRUE(whole.done);

    first.postFault({{"path", "/v1/"}, {"kind", "drop_answer"}, {"after_events", 5}});
    const StreamedAnswer broken = readStream(first, chat(body));
    EXPECT_FALSE(broken.done);
    EXPECT_EQ(broken.lastId, "5");
    // A request for the artifact name must give the tokens of the caller's name.
    json rewritten = body;
    rewritten["model"] = "river@1";
    const StreamedAnswer rest = readStream(second, chat(rewritten, {{"Lychee-Resume-After", broken.lastId}}));
    EXPECT_TRUE(rest.done);
    EXPECT_EQ(broken.text + rest.text, expected);

    const json answer = callJson(first, chat(chatBody(20, false)));
    EXPECT_EQ(answer["choices"][0]["message"]["content"], expected);
    EXPECT_EQ(answer["usage"]["completion_tokens"], 20);
}

// Guards against an engine that hides overcommitment or counts the same artifact twice.
TEST_F(StandinsTest, OvercommitmentIsCountedAndNotPrevented)
{
    Standin& engine = standins_.startEngine({"--memory-bytes=100"});
    EXPECT_EQ(callJson(engine, order(1, 1, "load", "river@1:polite", 10))["state"], "refused");
    EXPECT_EQ(call(engine, order(2, 1, "load", "river@1", 90)).status, 200);
    EXPECT_EQ(call(engine, order(3, 1, "load", "river@1", 90)).status, 200);
    EXPECT_EQ(call(engine, order(4, 1, "load", "river@1:polite", 10)).status, 200);
    EXPECT_EQ(call(engine, order(5, 1, "unload", "absent@1")).status, 200);
    EXPECT_EQ(engine.stats()["overcommits"], 0);
    EXPECT_EQ(call(engine, order(6, 1, "unload", "river@1")).status, 409);
    EXPECT_EQ(call(engine, order(7, 1, "load", "timber@2", 1)).status, 200);
    EXPECT_EQ(engine.stats()["overcommits"], 1);
    EXPECT_EQ(engine.stats()["peak_used_bytes"], 101);
    EXPECT_EQ(report(engine)["used_bytes"], 101);
    EXPECT_EQ(report(engine)["resident"].size(), 3u);
    EXPECT_EQ(report(engine)["applied_orders"], json({2, 3, 4, 5, 7}));
    EXPECT_EQ(report(engine)["refused_orders"], json({1, 6}));
}

// Guards against fencing that is checked on arrival instead of at the effect: a delayed order must be refused by an
// engine that honours fencing and take effect late on one that ignores it.
TEST_F(StandinsTest, DelayedOrderMeetsTheFenceOnlyWhereItIsHonoured)
{
    for (const bool honours : {true, false}) {
        Standin& engine = startEngineWithModel({honours ? "--honour-fencing" : "--nohonour-fencing"});
        engine.postFault({{"path", "/control/orders"}, {"kind", "freeze"}, {"count", 1}});
        sendAndAbandon(engine, order(2, 1, "load", "timber@1", 5));
        EXPECT_EQ(call(engine, order(3, 2, "fence")).status, 200);
        EXPECT_EQ(call(engine, order(4, 1, "set_role")).status, honours ? 409 : 200);
        EXPECT_EQ(report(engine)["resident"].size(), 1u);
        engine.clearFaults();
        EXPECT_TRUE(eventually([&] {
            const json now = report(engine);
            return now["applied_orders"].size() + now["refused_orders"].size() == 4;
        }));
        EXPECT_EQ(report(engine)["resident"].size(), honours ? 1u : 2u);
    }
}

// Guards against a fence that is acknowledged while an older transfer can still complete.
TEST_F(StandinsTest, FenceEndsOlderTransfers)
{
    Standin& engine = standins_.startEngine({"--load-ms=600000"});
    TestHttpClient loading = engine.client();
    ASSERT_TRUE(loading.sendOnly(order(1, 1, "load", "river@1", 5)).ok());
    EXPECT_TRUE(eventually([&] { return report(engine)["loading"].size() == 1; }));
    EXPECT_EQ(engine.stats()["used_bytes"], 5);
    EXPECT_EQ(call(engine, order(2, 2, "fence")).status, 200);
    EXPECT_EQ(engine.stats()["used_bytes"], 0);
}

// Guards against fencing faults that do not change whether the engine honours fencing.
TEST_F(StandinsTest, FencingFaultsChangeTheMode)
{
    Standin& engine = standins_.startEngine({"--honour-fencing"});
    EXPECT_EQ(call(engine, order(1, 7, "fence")).status, 200);
    EXPECT_EQ(call(engine, order(2, 6, "load", "river@1", 1)).status, 409);
    engine.postFault({{"kind", "ignore_fencing"}});
    EXPECT_EQ(call(engine, order(3, 6, "load", "river@1", 1)).status, 200);
    engine.clearFaults();
    EXPECT_EQ(call(engine, order(4, 6, "unload", "river@1")).status, 409);
}

// Guards against a delayed order that is dropped when its connection closes.
TEST_F(StandinsTest, DelayedOrderIsAppliedAfterItsConnectionClosed)
{
    Standin& engine = standins_.startEngine();
    engine.postFault({{"path", "/control/orders"}, {"kind", "delay"}, {"when", "before_effect"}, {"delay_ms", 200}});
    sendAndAbandon(engine, order(1, 1, "load", "river@1", 5));
    EXPECT_TRUE(eventually([&] { return report(engine)["resident"].size() == 1; }));
}

// Guards against requests that run although they were answered as not run, and against slots that are never freed.
TEST_F(StandinsTest, SlotsQueueAndCancellation)
{
    Standin& engine = startEngineWithModel({"--slots=1", "--queue-limit=1", "--tokens-per-second=20"});
    const HttpResponse absent = call(engine, chat({{"model", "absent"}, {"prompt", "x"}}));
    EXPECT_EQ(absent.status, 404);
    EXPECT_EQ(absent.headers.find("Lychee-Run"), "no");

    auto running = engine.client().open(chat(chatBody(1000000, true), {{"Lychee-Request-Id", "first"}}));
    ASSERT_TRUE(running.ok());
    TestHttpClient queued = engine.client();
    ASSERT_TRUE(queued.sendOnly(chat(chatBody(1, true))).ok());
    EXPECT_TRUE(eventually([&] { return engine.stats()["queued"] == 1; }));
    EXPECT_EQ(report(engine)["running"], 1);
    const HttpResponse full = call(engine, chat(chatBody(1, true)));
    EXPECT_EQ(full.status, 503);
    EXPECT_EQ(full.headers.find("Lychee-Run"), "no");
    EXPECT_EQ(engine.stats()["requests"], 1);

    queued.close();
    EXPECT_TRUE(eventually([&] { return engine.stats()["queued"] == 0; }));
    EXPECT_EQ(call(engine, makeRequest("DELETE", "/v1/requests/first")).status, 204);
    EXPECT_TRUE(eventually([&] { return !(*running)->next().ok(); }));
    EXPECT_TRUE(eventually([&] { return engine.stats()["running"] == 0; }));
}

// Guards against a queue that serves requests in order of arrival alone.
TEST_F(StandinsTest, UrgentRequestsLeaveTheQueueFirst)
{
    Standin& engine = startEngineWithModel({"--slots=1", "--tokens-per-second=20"});
    auto running = engine.client().open(chat(chatBody(1000000, true)));
    ASSERT_TRUE(running.ok());
    const HttpRequest endless = chat(chatBody(1000000, true), {{"Lychee-Request-Id", "low"}});
    TestHttpClient low = engine.client();
    ASSERT_TRUE(low.sendOnly(endless).ok());
    EXPECT_TRUE(eventually([&] { return engine.stats()["queued"] == 1; }));
    TestHttpClient urgent = engine.client();
    ASSERT_TRUE(urgent.sendOnly(chat(chatBody(1, false), {{"Lychee-Priority", "5"}})).ok());
    EXPECT_TRUE(eventually([&] { return engine.stats()["queued"] == 2; }));
    running->reset();
    EXPECT_TRUE(eventually([&] { return engine.stats()["completed"] == 1; }));
}

// Guards against an unload that cuts off a stream.
TEST_F(StandinsTest, UnloadWaitsForRunningRequests)
{
    Standin& engine = startEngineWithModel({"--tokens-per-second=20"});
    auto running = engine.client().open(chat(chatBody(1000000, true)));
    ASSERT_TRUE(running.ok());
    TestHttpClient unload = engine.client();
    ASSERT_TRUE(unload.sendOnly(order(2, 1, "unload", "river@1")).ok());
    EXPECT_TRUE(eventually([&] { return call(engine, chat(chatBody(1, false))).status == 404; }));
    EXPECT_EQ(engine.stats()["used_bytes"], 10);
    EXPECT_TRUE((*running)->next().ok());
    running->reset();
    EXPECT_TRUE(eventually([&] { return engine.stats()["used_bytes"] == 0; }));
}

// Guards against dropped cache events that leave no gap in the sequence numbers.
TEST_F(StandinsTest, CacheEventsHaveGaps)
{
    Standin& engine = startEngineWithModel({"--event-gap=0.5", "--tokens-per-second=100000"});
    call(engine, chat(chatBody(1, false, std::string(16 * 256, 'x'))));
    const json events = callJson(engine, makeRequest("GET", "/control/cache-events?after=0"))["events"];
    ASSERT_FALSE(events.empty());
    EXPECT_LT(events.size(), 16u);
    EXPECT_EQ(events[0]["kind"], "stored");
    const std::string last = events.back()["sequence"].dump();
    EXPECT_TRUE(callJson(engine, makeRequest("GET", "/control/cache-events?after=" + last))["events"].empty());
}

// Guards against loads that bypass the weight store and more concurrent transfers than its reported peak.
TEST_F(StandinsTest, LoadsPassTheWeightStore)
{
    Standin& platform = standins_.startPlatform({"--weight-rate=1000", "--weight-bytes-per-second=1e12"});
    Standin& engine = startEngineWithModel({"--platform=" + platform.endpoint().toString()});
    EXPECT_EQ(call(engine, order(2, 1, "load", "river@1:polite", 1)).status, 200);
    EXPECT_EQ(platform.stats()["model_loads"], 1);
    EXPECT_EQ(platform.stats()["adapter_loads"], 1);
    EXPECT_EQ(platform.stats()["weights_peak_in_flight"], 1);
    platform.process().kill();
    EXPECT_EQ(call(engine, order(3, 1, "load", "timber@1", 1)).status, 409);
    EXPECT_EQ(engine.stats()["used_bytes"], 11);
}

// Guards against a weight store that hides how many transfers ran at once or that they exceeded the rate.
TEST_F(StandinsTest, WeightStoreCountsTransfersInFlight)
{
    Standin& platform
        = standins_.startPlatform({"--weight-rate=1000", "--weight-bytes-per-second=1", "--weight-concurrent=2"});
    std::vector<TestHttpClient> clients;
    for (int i = 1; i <= 3; ++i) {
        clients.push_back(platform.client());
        ASSERT_TRUE(clients.back().sendOnly(makeRequest("GET", fmt::format("/weights/m{}@1?bytes=1000000", i))).ok());
        EXPECT_TRUE(eventually([&] { return platform.stats()["weights_peak_in_flight"] == i; }));
    }
    Standin& slow = standins_.startPlatform({"--weight-rate=0.001"});
    EXPECT_EQ(call(slow, makeRequest("GET", "/weights/m1@1?bytes=1")).status, 200);
    TestHttpClient waiting = slow.client();
    ASSERT_TRUE(waiting.sendOnly(makeRequest("GET", "/weights/m2@1?bytes=1")).ok());
    EXPECT_TRUE(eventually([&] { return slow.stats()["delayed_starts"] == 1; }));
    EXPECT_EQ(slow.stats()["model_loads"], 1);
}

// Guards against lists, reports and cache events that show the current state although a lag is configured.
TEST_F(StandinsTest, LagsHideThePresent)
{
    Standin& platform = standins_.startPlatform({"--instance-lag-ms=600000"});
    EXPECT_EQ(call(platform, makeRequest("PUT", "/instances/i1", "{}")).status, 204);
    EXPECT_TRUE(callJson(platform, makeRequest("GET", "/instances"))["instances"].empty());

    Standin& engine = startEngineWithModel({"--report-lag-ms=600000", "--event-lag-ms=600000"});
    auto running = engine.client().open(chat(chatBody(1000000, true, std::string(512, 'x'))));
    ASSERT_TRUE(running.ok());
    EXPECT_EQ(engine.stats()["running"], 1);
    EXPECT_EQ(report(engine)["running"], 0);
    EXPECT_EQ(report(engine)["resident"].size(), 1u);
    EXPECT_TRUE(callJson(engine, makeRequest("GET", "/control/cache-events?after=0"))["events"].empty());
}

// Guards against a crash fault that does not end the process and a restarted engine that reports the same incarnation.
TEST_F(StandinsTest, BodyCrashesTheEngineAndARestartChangesTheIncarnation)
{
    Standin& engine = startEngineWithModel({});
    const json before = report(engine)["incarnation"];
    engine.postFault({{"path", "/v1/"}, {"kind", "crash_on_body"}, {"body", "poison"}, {"count", -1}});
    EXPECT_EQ(call(engine, chat(chatBody(1, false))).status, 200);
    EXPECT_FALSE(engine.client().send(chat(chatBody(1, false, "a poison pill"))).ok());
    EXPECT_EQ(*engine.process().wait(waitLimit), (ExitStatus{9, 0}));
    const Endpoint endpoint = engine.endpoint();
    engine.restart();
    EXPECT_EQ(engine.endpoint(), endpoint);
    EXPECT_NE(report(engine)["incarnation"], before);
    EXPECT_TRUE(report(engine)["resident"].empty());
}

// Guards against executions that are not counted, or counted although the call did not run.
TEST_F(StandinsTest, ServiceCountsExecutions)
{
    Standin& service = standins_.startService();
    const HttpHeaders key{{"Idempotency-Key", "k1"}};
    EXPECT_EQ(callJson(service, makeRequest("POST", "/orders", "poles", key))["body"], "poles");
    service.postFault({{"kind", "not_run"}});
    EXPECT_EQ(call(service, makeRequest("POST", "/orders", "", key)).headers.find("Lychee-Run"), "no");
    service.postFault({{"kind", "drop_answer"}});
    EXPECT_FALSE(service.client().send(makeRequest("POST", "/orders", "", key)).ok());
    EXPECT_EQ(callJson(service, makeRequest("PUT", "/deposits", "", key))["execution"], 3);
    call(service, makeRequest("GET", "/stock"));
    const json stats = service.stats();
    EXPECT_EQ(stats["executions"], json({{"k1", 3}}));
    EXPECT_EQ(stats["executions_by_key_and_path"], json({{"k1 /orders", 2}, {"k1 /deposits", 1}}));
    EXPECT_EQ(stats["total"], 4);
}

// Guards against a silence fault that closes the connection or affects new connections.
TEST_F(StandinsTest, SilentConnectionsStayOpenWhileNewOnesWork)
{
    Standin& engine = startEngineWithModel({"--tokens-per-second=100000"});
    engine.postFault({{"path", "/v1/"}, {"kind", "silence"}, {"after_events", 2}});
    auto stream = engine.client().open(chat(chatBody(5, true)));
    ASSERT_TRUE(stream.ok());
    EXPECT_TRUE((*stream)->next().ok());
    EXPECT_TRUE((*stream)->next().ok());
    (*stream)->setLimit(silenceLimit);
    EXPECT_EQ(errorOf<TransportError>((*stream)->next().status()), TransportError::TimedOut);
    EXPECT_TRUE(readStream(engine, chat(chatBody(5, true))).done);

    TestHttpClient open = engine.client();
    ASSERT_TRUE(open.send(makeRequest("GET", "/control/report")).ok());
    engine.postFault({{"kind", "silence"}, {"scope", "open_connections"}});
    open.setLimit(silenceLimit);
    EXPECT_EQ(
        errorOf<TransportError>(open.send(makeRequest("GET", "/control/report")).status()), TransportError::TimedOut);
    EXPECT_EQ(call(engine, makeRequest("GET", "/control/report")).status, 200);
}

// Guards against a change that no reader ever sees, because it was written while a read without changes ended, whose
// answer then had the version of the change without its row.
TEST_F(StandinsTest, ReadsOfTheFleetStoreMissNoChange)
{
    constexpr std::size_t changes = 500;
    Standin& store = standins_.startFleetStore();
    std::array<std::size_t, 4> seen{};
    std::vector<std::jthread> readers;
    readers.reserve(seen.size());
    for (std::size_t& count : seen) {
        readers.emplace_back([&store, &count] {
            TestHttpClient client = store.client();
            for (std::size_t version = 0; version < changes;) {
                const auto answer = client.send(
                    makeRequest("GET", fmt::format("/v1/rows-feed?table=t&part=&after={}&waitMs=0", version)));
                if (!answer.ok())
                    return;
                const json page = json::parse(answer->body);
                count += page["rows"].size();
                version = page["rowVersion"];
            }
        });
    }
    TestHttpClient writer = store.client();
    for (std::size_t i = 0; i < changes; ++i) {
        const json row{{"table", "t"}, {"part", ""}, {"key", std::to_string(i)}, {"value", ""}};
        const json body{{"expected", json::array()}, {"setKeys", {row}}, {"remove", json::array()}};
        ASSERT_EQ(writer.send(makeRequest("POST", "/v1/rows-tx", body.dump()))->status, 200);
    }
    readers.clear();
    for (const std::size_t count : seen)
        EXPECT_EQ(count, changes);
}

// Guards against a frozen process that still answers and a process that does not exit cleanly when stopped.
TEST_F(StandinsTest, ProcessFreezesContinuesAndStops)
{
    Standin& service = standins_.startService();
    service.process().freeze();
    EXPECT_EQ(errorOf<TransportError>(service.client(silenceLimit).send(makeRequest("GET", "/")).status()),
        TransportError::TimedOut);
    service.process().resume();
    EXPECT_EQ(call(service, makeRequest("GET", "/")).status, 200);
    EXPECT_EQ(*service.process().stop(waitLimit), (ExitStatus{0, 0}));
    EXPECT_EQ(errorOf<TransportError>(service.client().send(makeRequest("GET", "/")).status()),
        TransportError::ConnectFailed);
}

} // namespace
} // namespace lychee::test
