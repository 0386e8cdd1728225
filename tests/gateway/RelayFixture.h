// A relay in one process with targets whose answers a test defines.
#pragma once

#include "gateway/RequestRelay.h"
#include "platform/Headers.h"
#include "tests/support/TestHttpClient.h"

#include <gtest/gtest.h>

#include <thread>

namespace lychee::gateway {

using namespace std::chrono_literals;

inline const ServiceId engineService("hall");
inline const ServiceId plainService("desk");

// A target whose answers are defined by the test.
struct ScriptedTarget {
    std::unique_ptr<HttpServer> server;
    std::vector<HttpRequest> requests;
    std::atomic<int> cancelled{0};
};

// A relay, its caller and scripted targets in one process.
class RelayFixture : public testing::Test {
protected:
    using Script = std::function<void(ScriptedTarget&, HttpExchange&)>;

    ~RelayFixture() override
    {
        callers_.reset();
        for (auto& target : targets_)
            target->server.reset();
        std::this_thread::sleep_for(50ms);
    }

    void addTarget(const ServiceId& service, const Script& script)
    {
        targets_.push_back(std::make_unique<ScriptedTarget>());
        ScriptedTarget& target = *targets_.back();
        target.server
            = HttpServer::listen(*targetDuty_, {"127.0.0.1", 0}, {}, [&target, script](HttpExchange& exchange) {
                  target.requests.push_back(exchange.request());
                  script(target, exchange);
              }).value();
        fleet::TargetRecord record;
        record.id = TargetId(fmt::format("t{}", targets_.size() - 1));
        record.service = service;
        record.endpoint = {"127.0.0.1", target.server->port()};
        record.incarnation = fleet::TargetIncarnation(1);
        record.slots = 8;
        record.holdings.models.push_back({ModelId("m"), 1, {}});
        relayDuty_->run([&] { context_.registry.update(record); });
    }

    void start()
    {
        std::vector<fleet::Route> routes(4);
        routes[0] = {fleet::RouteId("stream"), "a", "/stream/", fleet::RequestKind::Streaming, 3s, 300ms, 100ms, 0,
            {{engineService, 1}}, 2, true};
        routes[1] = {fleet::RouteId("safe"), "a", "/safe/", fleet::RequestKind::Idempotent, 2s, 300ms, 1s, 0,
            {{plainService, 1}}, 2, false};
        routes[2] = {fleet::RouteId("unsafe"), "a", "/unsafe/", fleet::RequestKind::NonIdempotent, 1s, 300ms, 1s, 0,
            {{plainService, 1}}, 2, false};
        routes[3] = {fleet::RouteId("long-gap"), "a", "/long-gap/", fleet::RequestKind::Streaming, 6s, 1s, 600ms, 0,
            {{engineService, 1}}, 2, true};
        std::vector<fleet::Service> services(2);
        services[0].id = engineService;
        services[0].engine.emplace();
        services[0].engine->cacheTokens = 1000000;
        services[0].engine->models.push_back({ModelId("m"), 1, 1, 3, 5s, 1s, 1s});
        services[1].id = plainService;
        context_.routes = std::make_shared<Published<fleet::RouteTable>>(
            fleet::RouteTable::create(ConfigurationVersion(1), routes, services, {}));
        context_.retryBudget.setOptions({0.2, 50, 10s});
        callers_ = HttpServer::listen(*relayDuty_, {"127.0.0.1", 0}, {}, [this](HttpExchange& exchange) {
            RelayedRequest<platform::CallerDialect>(context_, exchange).run();
        }).value();
    }

    fleet::TargetRecord recordOf(std::size_t target)
    {
        fleet::TargetRecord record;
        relayDuty_->run([&] { record = context_.registry.find(TargetId(fmt::format("t{}", target)))->record; });
        return record;
    }

    test::TestHttpClient client() { return {{"127.0.0.1", callers_->port()}, 5000ms}; }

    static HttpRequest request(const std::string& path)
    {
        return {"POST", path,
            {{"Host", "a"}, {"X-Attempt-Id", "id-1"}, {"X-Model", "m"}, {"X-Token-Count", "100,40"},
                {"X-Deadline-Ms", "5000"}},
            "the body"};
    }

    static HttpHeaders sealedHeaders(const HttpRequest& request)
    {
        return {{"X-Attempt-Id", std::string(request.headers.find("X-Attempt-Id").value_or(""))},
            {"X-Response-Seal", "seal"}};
    }

    static void answerWhole(ScriptedTarget&, HttpExchange& exchange)
    {
        exchange.respond({200, sealedHeaders(exchange.request()), "answer to " + exchange.request().body})
            .IgnoreError();
    }

    // Streams the events after Last-Event-Id up to `count`. Aborts the stream before event `breakBefore` if that is not
    // 0; `cutInsideEvent` makes it send a part of that event first.
    static Script events(int count, int breakBefore = 0, bool cutInsideEvent = false)
    {
        return [=](ScriptedTarget& target, HttpExchange& exchange) {
            const int after = std::stoi(std::string(exchange.request().headers.find("Last-Event-Id").value_or("0")));
            exchange.beginStream(200, sealedHeaders(exchange.request())).IgnoreError();
            for (int id = after + 1; id <= count; ++id) {
                if (id == breakBefore) {
                    if (cutInsideEvent)
                        exchange.write(fmt::format("id: {}\nda", id)).IgnoreError();
                    sleepFor(10ms);
                    exchange.abort();
                    return;
                }
                sleepFor(5ms);
                if (!exchange.write(fmt::format("id: {}\ndata: e{}\n\n", id, id)).ok() || exchange.isPeerGone()) {
                    ++target.cancelled;
                    return;
                }
            }
            exchange.endStream().IgnoreError();
        };
    }

    static std::string expectedEvents(int count)
    {
        std::string text;
        for (int id = 1; id <= count; ++id)
            text += fmt::format("id: {}\ndata: e{}\n\n", id, id);
        return text;
    }

    std::size_t receivedRequests() const
    {
        std::size_t count = 0;
        for (const auto& target : targets_)
            count += target->requests.size();
        return count;
    }

    std::shared_ptr<RuntimeClock> clock_ = RuntimeClock::createRunning();
    std::unique_ptr<Duty> relayDuty_ = Duty::start("relay", clock_).value();
    std::unique_ptr<Duty> targetDuty_ = Duty::start("targets", clock_).value();
    RelayContext context_;
    std::vector<std::unique_ptr<ScriptedTarget>> targets_;
    std::unique_ptr<HttpServer> callers_;
};

} // namespace lychee::gateway
