// A relay in one process with targets whose answers a test defines.
#pragma once

#include "gateway/CallerServer.h"
#include "gateway/RequestRelay.h"
#include "platform/Headers.h"
#include "tests/support/TestHttpClient.h"
#include "transport/SocketOperation.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <gtest/gtest.h>

#include <thread>

namespace lychee::gateway {

using namespace std::chrono_literals;

inline const ServiceId engineService("hall");
inline const ServiceId plainService("desk");

// Whether a request asks a target who it is. Targets answer it besides what the script of the test does.
inline bool isIdentityRequest(const HttpRequest& request) { return request.target == "/v1/report"; }

// A target whose answers are defined by the test.
struct ScriptedTarget {
    std::unique_ptr<HttpServer> server;
    std::vector<HttpRequest> requests;
    std::atomic<int> cancelled{0};
};

// A connection of a target whose answers a test writes byte by byte.
class RawTargetConnection {
public:
    explicit RawTargetConnection(boost::asio::ip::tcp::socket socket)
        : socket_(std::move(socket))
    {
    }

    // The next request, or nothing when the peer has closed the connection.
    std::optional<HttpRequest> readRequest()
    {
        boost::beast::http::request<boost::beast::http::string_body> message;
        boost::system::error_code error;
        boost::beast::http::async_read(socket_, buffer_, message, FiberToken{error});
        if (error)
            return std::nullopt;
        ++requestCount_;
        HttpRequest request{std::string(message.method_string()), std::string(message.target()), {}, message.body()};
        for (const auto& field : message)
            request.headers.add(std::string(field.name_string()), std::string(field.value()));
        return request;
    }

    // The next request without its body, which stays unread.
    std::optional<HttpRequest> readHead()
    {
        boost::beast::http::request_parser<boost::beast::http::empty_body> parser;
        parser.body_limit(std::numeric_limits<std::uint64_t>::max());
        boost::system::error_code error;
        boost::beast::http::async_read_header(socket_, buffer_, parser, FiberToken{error});
        if (error)
            return std::nullopt;
        ++requestCount_;
        return HttpRequest{std::string(parser.get().method_string()), std::string(parser.get().target()), {}, ""};
    }

    // Number of requests that were read on this connection.
    int requestCount() const { return requestCount_; }

    // Returns false when the peer has closed the connection.
    bool write(std::string_view bytes)
    {
        boost::system::error_code error;
        boost::asio::async_write(socket_, boost::asio::buffer(bytes.data(), bytes.size()), FiberToken{error});
        return !error;
    }

    // Ends the connection in the regular way.
    void close()
    {
        boost::system::error_code ignored;
        socket_.shutdown(boost::asio::ip::tcp::socket::shutdown_both, ignored);
        socket_.close(ignored);
    }

    // Ends the connection by a reset.
    void reset()
    {
        boost::system::error_code ignored;
        socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        socket_.close(ignored);
    }

private:
    boost::asio::ip::tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    int requestCount_ = 0;
};

// Accepts connections and hands each request on them to a script of the test.
class RawTarget : public std::enable_shared_from_this<RawTarget> {
public:
    using Script = std::function<void(RawTargetConnection&, const HttpRequest&)>;

    // What of a request is read before the script runs. Of a body that is not read, little fits into the buffers.
    enum class Reads { Whole, Head };

    RawTarget(Duty& duty, Script script, Reads reads)
        : duty_(duty)
        , acceptor_(openAcceptor(duty.io(), "127.0.0.1", 0).value())
        , script_(std::move(script))
        , reads_(reads)
    {
        constexpr int smallBuffer = 65536;
        if (reads_ == Reads::Head)
            acceptor_.set_option(boost::asio::socket_base::receive_buffer_size(smallBuffer));
    }

    std::uint16_t port() const { return acceptor_.local_endpoint().port(); }

    void acceptLoop()
    {
        while (acceptor_.is_open()) {
            boost::system::error_code error;
            boost::asio::ip::tcp::socket socket(duty_.io());
            acceptor_.async_accept(socket, FiberToken{error});
            if (error)
                return;
            auto connection = std::make_shared<RawTargetConnection>(std::move(socket));
            connections_.push_back(connection);
            duty_.spawn([self = shared_from_this(), connection] {
                while (const auto request
                    = self->reads_ == Reads::Head ? connection->readHead() : connection->readRequest()) {
                    if (isIdentityRequest(*request))
                        self->identify_(*connection, *request);
                    else
                        self->script_(*connection, *request);
                }
            });
        }
    }

    // Sets how requests for the identity of the target are answered from now on.
    void setIdentify(Script identify) { identify_ = std::move(identify); }

    void close()
    {
        boost::system::error_code ignored;
        acceptor_.close(ignored);
        for (const auto& connection : connections_)
            connection->close();
    }

private:
    static void stateAddressed(RawTargetConnection& connection, const HttpRequest& request)
    {
        connection.write(fmt::format("HTTP/1.1 200 OK\r\nContent-Length: 0\r\nX-Instance-Id: {}\r\n\r\n",
            request.headers.find("X-Target-Instance").value_or("")));
    }

    Duty& duty_;
    boost::asio::ip::tcp::acceptor acceptor_;
    Script script_;
    Script identify_ = stateAddressed;
    Reads reads_;
    std::vector<std::shared_ptr<RawTargetConnection>> connections_;
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
        targetDuty_->run([&] {
            for (auto& target : rawTargets_)
                target->close();
        });
        std::this_thread::sleep_for(50ms);
    }

    void addTarget(const ServiceId& service, const Script& script)
    {
        targets_.push_back(std::make_unique<ScriptedTarget>());
        ScriptedTarget& target = *targets_.back();
        HttpServerOptions options;
        options.buffers = targetBuffers_;
        target.server
            = HttpServer::listen(*targetDuty_, {"127.0.0.1", 0}, options, [&target, script](HttpExchange& exchange) {
                  if (isIdentityRequest(exchange.request())) {
                      const auto id = exchange.request().headers.find("X-Target-Instance").value_or("");
                      exchange.respond({200, {{"X-Instance-Id", std::string(id)}}, {}}).IgnoreError();
                      return;
                  }
                  target.requests.push_back(exchange.request());
                  script(target, exchange);
              }).value();
        registerTarget(service, fmt::format("t{}", targets_.size() - 1), target.server->port());
    }

    // Adds a target whose script writes the bytes of its answers itself.
    void addRawTarget(
        const ServiceId& service, RawTarget::Script script, RawTarget::Reads reads = RawTarget::Reads::Whole)
    {
        auto target = std::make_shared<RawTarget>(*targetDuty_, std::move(script), reads);
        rawTargets_.push_back(target);
        targetDuty_->spawn([target] { target->acceptLoop(); });
        registerTarget(service, fmt::format("raw{}", rawTargets_.size() - 1), target->port());
    }

    void registerTarget(const ServiceId& service, const std::string& id, std::uint16_t port)
    {
        fleet::TargetRecord record;
        record.id = TargetId(id);
        record.service = service;
        record.endpoint = {"127.0.0.1", port};
        record.incarnation = fleet::TargetIncarnation(1);
        record.slots = slots_;
        record.holdings.models.push_back({ModelId("m"), 1, {}});
        relayDuty_->run([&] { context_.registry.update(record); });
    }

    void start()
    {
        std::vector<fleet::Route> routes(5);
        routes[0] = {fleet::RouteId("stream"), "a", "/stream/", fleet::RequestKind::Streaming, 3s, 300ms, 100ms, 0,
            {{engineService, 1}}, 2, true};
        routes[1] = {fleet::RouteId("safe"), "a", "/safe/", fleet::RequestKind::Idempotent, 2s, 300ms, 1s, 0,
            {{plainService, 1}}, 2, false};
        routes[2] = {fleet::RouteId("unsafe"), "a", "/unsafe/", fleet::RequestKind::NonIdempotent, 1s, 300ms, 1s, 0,
            {{plainService, 1}}, 2, false};
        routes[3] = {fleet::RouteId("long-gap"), "a", "/long-gap/", fleet::RequestKind::Streaming, 6s, 1s, 600ms, 0,
            {{engineService, 1}}, 2, true};
        routes[4] = {fleet::RouteId("once"), "a", "/once/", fleet::RequestKind::Streaming, 2s, 300ms, 100ms, 0,
            {{engineService, 1}}, 2, false};
        std::vector<fleet::Service> services(2);
        services[0].id = engineService;
        services[0].engine.emplace();
        services[0].engine->cacheTokens = 1000000;
        services[0].engine->models.push_back({ModelId("m"), 1, 1, 3, 5s, 1s, 1s});
        services[1].id = plainService;
        context_.routes = std::make_shared<Published<fleet::RouteTable>>(
            fleet::RouteTable::create(ConfigurationVersion(1), routes, services, {}));
        context_.retryBudget.setOptions({0.2, 50, 10s});
        HttpServerOptions options;
        boundSlowCallers(options, context_);
        options.faultResponse
            = [](HttpFault fault) { return platform::CallerDialect::localResponse(gateway::faultResponse(fault)); };
        callers_ = HttpServer::listen(*relayDuty_, {"127.0.0.1", 0}, options, [this](HttpExchange& exchange) {
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

    // The bytes of an answer with a length. `head` has the status and further header lines, each with its line end.
    static std::string rawAnswer(std::string_view head, std::string_view body)
    {
        return fmt::format("HTTP/1.1 {}Content-Length: {}\r\n\r\n{}", head, body.size(), body);
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
    std::vector<std::shared_ptr<RawTarget>> rawTargets_;
    std::unique_ptr<HttpServer> callers_;
    // Of each target that is added.
    int slots_ = 8;
    SocketBuffers targetBuffers_;
};

} // namespace lychee::gateway
