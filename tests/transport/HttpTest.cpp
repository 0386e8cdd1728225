#include "tests/support/RawConnection.h"
#include "transport/Containment.h"
#include "transport/FrameConnection.h"
#include "transport/HttpClient.h"
#include "transport/HttpServer.h"
#include "transport/SocketOperation.h"
#include "transport/TransportError.h"

#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <sys/resource.h>

#include <future>
#include <thread>

namespace lychee {
namespace {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;

const Endpoint anyPort{"127.0.0.1", 0};

class HttpTest : public testing::Test {
protected:
    void listen(HttpServerOptions options, HttpServer::Handler handler)
    {
        options.faultResponse = [](HttpFault fault) {
            return HttpResponse{fault == HttpFault::BodyTooLarge ? 413 : 400, {}, "rejected"};
        };
        server_ = HttpServer::listen(*serverDuty_, anyPort, options, std::move(handler)).value();
        endpoint_ = {"127.0.0.1", server_->port()};
    }

    void onClient(std::function<void(HttpClient&)> body)
    {
        clientDuty_->run([&] {
            HttpClient client;
            body(client);
        });
    }

    // Waits for as long as a busy machine may take to receive the begun requests.
    void awaitActiveExchanges(std::size_t count) const
    {
        const auto limit = std::chrono::steady_clock::now() + 5s;
        while (server_->activeExchanges() != count && std::chrono::steady_clock::now() < limit)
            std::this_thread::sleep_for(5ms);
        ASSERT_EQ(server_->activeExchanges(), count);
    }

    std::shared_ptr<RuntimeClock> clock_ = RuntimeClock::createRunning();
    std::unique_ptr<Duty> serverDuty_ = Duty::start("server", clock_).value();
    std::unique_ptr<Duty> clientDuty_ = Duty::start("client", clock_).value();
    std::unique_ptr<HttpServer> server_;
    Endpoint endpoint_;
};

// Guards against answers that are cut, mixed up or lost on a reused connection.
TEST_F(HttpTest, EchoesBodiesOverReusedConnections)
{
    listen({}, [](HttpExchange& exchange) {
        ASSERT_TRUE(exchange.respond({200, {{"X-Path", exchange.request().target}}, exchange.request().body}).ok());
    });
    onClient([&](HttpClient& client) {
        for (int i = 0; i < 100; ++i) {
            const HttpRequest request{
                "POST", fmt::format("/{}", i), {}, std::string(static_cast<size_t>(i) * 700, 'x')};
            const auto outcome = client.call(endpoint_, request, {});
            ASSERT_TRUE(outcome.status.ok()) << outcome.status;
            EXPECT_EQ(outcome.answer.body, request.body);
            EXPECT_EQ(outcome.answer.headers.find("x-path"), request.target);
        }
    });
}

// Guards against a stream whose early end looks like its real end.
TEST_F(HttpTest, AbortedStreamIsAnErrorNotAnEnd)
{
    listen({}, [](HttpExchange& exchange) {
        ASSERT_TRUE(exchange.beginStream(200, {}).ok());
        ASSERT_TRUE(exchange.write("one").ok());
        if (exchange.request().target == "/whole")
            ASSERT_TRUE(exchange.endStream().ok());
        else
            exchange.abort();
    });
    onClient([&](HttpClient& client) {
        EXPECT_EQ(client.call(endpoint_, {"GET", "/whole"}, {}).answer.body, "one");
        const auto cut = client.call(endpoint_, {"GET", "/cut"}, {});
        EXPECT_FALSE(cut.status.ok());
        EXPECT_TRUE(cut.sent);
    });
}

// Guards against a peer that goes silent for good while the connection stays open.
TEST_F(HttpTest, SilentPeerEndsAtTheInterByteLimit)
{
    listen({}, [](HttpExchange& exchange) {
        sleepFor(3s);
        exchange.abort();
    });
    onClient([&](HttpClient& client) {
        HttpCallLimits limits;
        limits.interByteTimeout = 50ms;
        const auto outcome = client.call(endpoint_, {}, limits);
        EXPECT_EQ(errorOf<TransportError>(outcome.status), TransportError::TimedOut);
        EXPECT_TRUE(outcome.sent);
    });
}

// Guards against calling a request "sent" when no byte of it left.
TEST_F(HttpTest, RefusedConnectionIsNotSent)
{
    listen({}, [](HttpExchange&) {});
    server_->close();
    serverDuty_->run([] {});
    onClient([&](HttpClient& client) {
        const auto outcome = client.call(endpoint_, {}, {});
        EXPECT_EQ(errorOf<TransportError>(outcome.status), TransportError::ConnectFailed);
        EXPECT_FALSE(outcome.sent);
    });
}

// Guards against an endpoint that is taken for one where nothing listens, because this process could not try it.
TEST_F(HttpTest, AConnectionThatCannotBeTriedIsNoRefusal)
{
    listen({}, [](HttpExchange&) {});
    rlimit limit{};
    ASSERT_EQ(::getrlimit(RLIMIT_NOFILE, &limit), 0);
    onClient([&](HttpClient& client) {
        const rlimit none{0, limit.rlim_max};
        ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &none), 0);
        const auto outcome = client.call(endpoint_, {}, {});
        ASSERT_EQ(::setrlimit(RLIMIT_NOFILE, &limit), 0);
        EXPECT_EQ(errorOf<TransportError>(outcome.status), TransportError::Unreachable);
        EXPECT_FALSE(outcome.sent);
    });
}

// Guards against unbounded input.
TEST_F(HttpTest, OversizedBodyIsRejectedAndTheServerSurvives)
{
    HttpServerOptions options;
    options.maxBodyBytes = 100;
    listen(options, [](HttpExchange& exchange) { exchange.respond({}).IgnoreError(); });
    onClient([&](HttpClient& client) {
        EXPECT_EQ(client.call(endpoint_, {"POST", "/", {}, std::string(101, 'x')}, {}).answer.status, 413);
        EXPECT_EQ(client.call(endpoint_, {"POST", "/", {}, "x"}, {}).answer.status, 200);
    });
}

// Guards against a field behind the last chunk of a request that ends the process.
TEST_F(HttpTest, ALongFieldBehindTheLastChunkIsRejectedAndTheServerSurvives)
{
    listen({}, [](HttpExchange& exchange) { exchange.respond({200, {}, exchange.request().body}).IgnoreError(); });
    const std::string chunks = "1\r\nx\r\n0\r\n";
    for (const std::size_t length : {std::size_t{65533}, std::size_t{65534}, std::size_t{70000}}) {
        test::RawConnection connection(endpoint_);
        connection.write("POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n" + chunks
            + "X-Late: " + std::string(length, 'v') + "\r\n\r\n");
        const auto answer = connection.readUntilClosed();
        ASSERT_TRUE(answer.has_value());
        EXPECT_TRUE(answer->starts_with("HTTP/1.1 400 ")) << length << ": " << answer->substr(0, 40);
    }
    onClient([&](HttpClient& client) {
        EXPECT_EQ(client.call(endpoint_, {"POST", "/", {}, "x"}, {}).answer.body, "x");
    });
    EXPECT_EQ(containedExceptions(), 0U);
}

// Guards against a limit for heads above 64 KiB that cannot be used, and against a field of that size that ends the
// process.
TEST_F(HttpTest, AFieldOfMoreThan64KilobytesIsServedWhereTheLimitAllowsIt)
{
    HttpServerOptions options;
    options.maxHeaderBytes = 262144;
    listen(options, [](HttpExchange& exchange) {
        const std::string value(exchange.request().headers.find("X-Long").value_or(std::string_view()));
        exchange.respond({200, {}, value}).IgnoreError();
    });
    onClient([&](HttpClient& client) {
        for (const std::size_t length : {65533U, 65534U, 65536U, 70000U, 200000U}) {
            const HttpRequest request{"GET", "/", {{"X-Long", std::string(length, 'v')}}};
            EXPECT_EQ(client.call(endpoint_, request, {}).answer.body.size(), length);
        }
    });
    EXPECT_EQ(containedExceptions(), 0U);
}

// Guards against wrong bytes of a peer behind its answer that end the process: the answer has no end that can be read,
// and its connection is not used again.
TEST_F(HttpTest, ALongFieldBehindTheLastChunkOfAnAnswerFailsItsCallOnly)
{
    std::atomic<int> connections{0};
    tcp::acceptor acceptor(serverDuty_->io(), tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    endpoint_ = {"127.0.0.1", acceptor.local_endpoint().port()};
    const std::string wrong = "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX-Late: "
        + std::string(70000, 'v') + "\r\n\r\n";
    serverDuty_->spawn([&] {
        boost::system::error_code error;
        std::array<char, 4096> bytes{};
        while (connections < 2) {
            tcp::socket socket(serverDuty_->io());
            acceptor.async_accept(socket, FiberToken{error});
            socket.async_read_some(boost::asio::buffer(bytes), FiberToken{error});
            // Counted before the answer, after which the test looks at the number.
            const std::string answer
                = connections++ == 0 ? wrong : std::string("HTTP/1.1 200 OK\r\nContent-Length: 1\r\n\r\ny");
            boost::asio::async_write(socket, boost::asio::buffer(answer), FiberToken{error});
        }
    });
    onClient([&](HttpClient& client) {
        const auto outcome = client.call(endpoint_, {}, {});
        EXPECT_EQ(errorOf<TransportError>(outcome.status), TransportError::MessageTooLarge) << outcome.status;
        EXPECT_TRUE(outcome.sent);
        EXPECT_EQ(client.call(endpoint_, {}, {}).answer.body, "y");
    });
    EXPECT_EQ(connections, 2);
    EXPECT_EQ(containedExceptions(), 0U);
}

// Guards against an endpoint that is read after its owner has dropped it, while a connection is being opened.
TEST_F(HttpTest, AnEndpointMayBeDroppedDuringACall)
{
    listen({}, [](HttpExchange& exchange) {
        exchange.respond({200, {}, std::string(*exchange.request().headers.find("Host"))}).IgnoreError();
    });
    onClient([&](HttpClient& client) {
        Endpoint endpoint = endpoint_;
        HttpOutcome<HttpResponse> outcome;
        FiberEvent ended;
        clientDuty_->spawn([&] {
            outcome = client.call(endpoint, {}, {});
            ended.notify();
        });
        clientDuty_->spawn([&] { endpoint = {"dropped", 1}; });
        ended.wait();
        EXPECT_EQ(outcome.answer.body, endpoint_.toString());
    });
}

// Guards against an exception that ends more than the connection on which it was caused, or that leaves no trace.
TEST_F(HttpTest, AnExceptionEndsItsConnectionAndIsCounted)
{
    listen({}, [](HttpExchange& exchange) {
        if (exchange.request().target == "/throw")
            throw std::length_error("too long");
        exchange.respond({200, {}, "served"}).IgnoreError();
    });
    const std::uint64_t before = containedExceptions();
    test::RawConnection connection(endpoint_);
    connection.write("GET /throw HTTP/1.1\r\nHost: a\r\n\r\n");
    EXPECT_EQ(connection.readUntilClosed(), "");
    EXPECT_EQ(containedExceptions(), before + 1);
    onClient([&](HttpClient& client) { EXPECT_EQ(client.call(endpoint_, {}, {}).answer.body, "served"); });
    awaitActiveExchanges(0);
}

// Guards against a timer that outlives the wait which an exception has ended, and that refers to its frame.
TEST_F(HttpTest, AnExceptionCancelsTheTimerOfItsWait)
{
    clientDuty_->run([&] {
        tcp::socket socket(clientDuty_->io());
        EXPECT_FALSE(runContained("a wait", [&] {
            runBefore(
                socket, currentTime() + 20ms, [](boost::system::error_code&) { throw std::length_error("too long"); });
        }));
        EXPECT_EQ(clientDuty_->timers().pending(), 0U);
    });
}

// Guards against frames that are reordered, cut or accepted beyond the limit.
TEST_F(HttpTest, FramesArriveWholeAndOversizedOnesEndTheConnection)
{
    std::atomic<bool> ended{false};
    auto listener
        = FrameListener::listen(*serverDuty_, anyPort, [&](const std::shared_ptr<FrameConnection>& connection) {
              while (true) {
                  const auto frame = connection->receive(Duration::max());
                  if (!frame.ok())
                      break;
                  ASSERT_TRUE(connection->send(*frame).ok());
              }
              ended = true;
          }).value();
    clientDuty_->run([&] {
        auto connection = FrameConnection::connect({"127.0.0.1", listener->port()}, currentTime() + 1s).value();
        for (std::size_t size = 0; size < 200000; size = size * 2 + 1) {
            ASSERT_TRUE(connection->send(std::string(size, 'f')).ok());
            EXPECT_EQ(connection->receive(5s).value().size(), size);
        }
        EXPECT_EQ(errorOf<TransportError>(connection->send(std::string(maxFrameBytes + 1, 'f'))),
            TransportError::FrameTooLong);
        connection->close();
    });
    while (!ended)
        std::this_thread::yield();
}

// Guards against frames that are lost, cut or reordered when many of them are written together.
TEST_F(HttpTest, FramesOfABurstArriveInOrder)
{
    constexpr int count = 1000;
    std::vector<std::string> received;
    std::atomic<bool> ended{false};
    auto listener
        = FrameListener::listen(*serverDuty_, anyPort, [&](const std::shared_ptr<FrameConnection>& connection) {
              while (received.size() < count) {
                  auto frame = connection->receive(5s);
                  if (!frame.ok())
                      break;
                  received.push_back(*std::move(frame));
              }
              ended = true;
          }).value();
    const auto payload = [](int index) {
        const std::size_t size = index % 250 == 249 ? 100000 : static_cast<std::size_t>(index % 300);
        return std::to_string(index) + std::string(size, 'f');
    };
    clientDuty_->run([&] {
        auto connection = FrameConnection::connect({"127.0.0.1", listener->port()}, currentTime() + 1s).value();
        for (int i = 0; i < count; ++i)
            ASSERT_TRUE(connection->send(payload(i)).ok());
        while (!ended)
            sleepFor(1ms);
        connection->close();
    });
    ASSERT_EQ(received.size(), static_cast<std::size_t>(count));
    for (int i = 0; i < count; ++i)
        EXPECT_EQ(received[static_cast<std::size_t>(i)], payload(i)) << i;
}

// Guards against a request that was given up and reaches its peer later, when a cut on the way has healed: the
// connection ends by a reset, which drops what is still on its way.
TEST_F(HttpTest, GivenUpCallIsReset)
{
    std::atomic<bool> reset{false};
    std::atomic<bool> accepted{false};
    serverDuty_->run([&] { endpoint_ = {"127.0.0.1", 0}; });
    tcp::acceptor acceptor(serverDuty_->io(), tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
    endpoint_.port = acceptor.local_endpoint().port();
    serverDuty_->spawn([&] {
        boost::system::error_code error;
        tcp::socket socket(serverDuty_->io());
        acceptor.async_accept(socket, FiberToken{error});
        std::array<char, 4096> bytes{};
        while (!error)
            socket.async_read_some(boost::asio::buffer(bytes), FiberToken{error});
        reset = error == boost::asio::error::connection_reset;
        accepted = true;
    });
    onClient([&](HttpClient& client) {
        HttpCallLimits limits;
        limits.deadline = currentTime() + 50ms;
        EXPECT_FALSE(client.call(endpoint_, {"POST", "/", {}, "body"}, limits).status.ok());
    });
    while (!accepted)
        std::this_thread::sleep_for(5ms);
    EXPECT_TRUE(reset);
}

// Guards against a request without an answer because its connection, which was idle when the limit was raised, is
// closed at the old limit.
TEST_F(HttpTest, RaisedIdleLimitHoldsForConnectionsThatAreIdleAlready)
{
    HttpServerOptions options;
    options.idleTimeout = 200ms;
    listen(options, [](HttpExchange& exchange) { exchange.respond({200, {}, "served"}).IgnoreError(); });
    test::RawConnection connection(endpoint_);
    options.idleTimeout = 5s;
    std::this_thread::sleep_for(100ms);
    server_->setLimits(options);
    std::this_thread::sleep_for(400ms);
    connection.write("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    const auto answer = connection.readUntilClosed();
    ASSERT_TRUE(answer.has_value());
    EXPECT_TRUE(answer->ends_with("served")) << *answer;
}

// Guards against a planned stop that closes a connection on which the body of a request is still arriving.
TEST_F(HttpTest, RequestThatArrivesDuringAStopIsAnswered)
{
    listen({}, [](HttpExchange& exchange) { exchange.respond({200, {}, exchange.request().body}).IgnoreError(); });
    test::RawConnection connection(endpoint_);
    connection.write("POST / HTTP/1.1\r\nHost: a\r\nContent-Length: 4\r\n\r\n");
    awaitActiveExchanges(1);
    server_->stopAccepting();
    std::this_thread::sleep_for(100ms);
    connection.write("body");
    const auto answer = connection.readUntilClosed();
    ASSERT_TRUE(answer.has_value());
    EXPECT_TRUE(answer->ends_with("body")) << *answer;
}

// Guards against a stop that ends the process while a request is still arriving, because nothing is being handled.
TEST_F(HttpTest, ARequestThatIsArrivingCountsAsActive)
{
    listen({}, [](HttpExchange& exchange) { exchange.respond({}).IgnoreError(); });
    test::RawConnection idle(endpoint_);
    test::RawConnection connection(endpoint_);
    connection.write("POST / HTTP/1.1\r\nHost: a\r\n");
    std::this_thread::sleep_for(100ms);
    awaitActiveExchanges(1);
    connection.write("Connection: close\r\nContent-Length: 0\r\n\r\n");
    EXPECT_TRUE(connection.readUntilClosed().has_value());
    EXPECT_EQ(server_->activeExchanges(), 0u);
}

// Guards against a request on a kept connection that is rejected by a size limit which was raised before it was sent.
TEST_F(HttpTest, RaisedSizeLimitsHoldForConnectionsThatAreIdleAlready)
{
    HttpServerOptions options;
    options.maxBodyBytes = 10;
    listen(options, [](HttpExchange& exchange) { exchange.respond({200, {}, exchange.request().body}).IgnoreError(); });
    test::RawConnection connection(endpoint_);
    std::this_thread::sleep_for(100ms);
    options.maxBodyBytes = 1000;
    server_->setLimits(options);
    std::this_thread::sleep_for(100ms);
    const std::string body(100, 'b');
    connection.write("POST / HTTP/1.1\r\nHost: a\r\nConnection: close\r\nContent-Length: 100\r\n\r\n" + body);
    const auto answer = connection.readUntilClosed();
    ASSERT_TRUE(answer.has_value());
    EXPECT_TRUE(answer->ends_with(body)) << *answer;
}

// Guards against a connection beyond the limit that is closed without a word, with the request that it carries.
TEST_F(HttpTest, ConnectionBeyondTheLimitIsServedWhenAnotherEnds)
{
    HttpServerOptions options;
    options.maxConnections = 1;
    listen(options, [](HttpExchange& exchange) { exchange.respond({200, {}, "served"}).IgnoreError(); });
    auto first = std::make_unique<test::RawConnection>(endpoint_);
    std::this_thread::sleep_for(50ms);
    test::RawConnection second(endpoint_);
    second.write("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    std::this_thread::sleep_for(200ms);
    first.reset();
    const auto answer = second.readUntilClosed();
    ASSERT_TRUE(answer.has_value());
    EXPECT_TRUE(answer->ends_with("served")) << *answer;
}

// Guards against an exception that ends the process, and with it all requests, because of a single request.
TEST_F(HttpTest, AnExceptionOfTheHandlerEndsItsConnectionOnly)
{
    listen({}, [](HttpExchange& exchange) {
        if (exchange.request().target == "/throws")
            throw std::runtime_error("thrown by the handler");
        exchange.respond({}).IgnoreError();
    });
    onClient([&](HttpClient& client) {
        EXPECT_FALSE(client.call(endpoint_, {"GET", "/throws"}, {}).status.ok());
        EXPECT_EQ(client.call(endpoint_, {"GET", "/"}, {}).answer.status, 200);
    });
    // A client may have the whole answer before the server has counted the exchange as ended. The end of a connection
    // comes after that.
    test::RawConnection connection(endpoint_);
    connection.write("GET / HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n");
    const auto answer = connection.readUntilClosed();
    ASSERT_TRUE(answer.has_value());
    EXPECT_TRUE(answer->starts_with("HTTP/1.1 200")) << *answer;
    EXPECT_EQ(server_->activeExchanges(), 0u);
}

// Guards against a stop that does not end, because an idle connection takes the early end of its wait for a timeout and
// waits again. The duty is kept busy, so that it begins to stop before it closes the connection.
TEST_F(HttpTest, AStopWithAnIdleConnectionEnds)
{
    listen({}, [](HttpExchange& exchange) { exchange.respond({}).IgnoreError(); });
    test::RawConnection idle(endpoint_);
    std::this_thread::sleep_for(100ms);
    std::promise<void> busy;
    serverDuty_->spawn([&] {
        busy.set_value();
        std::this_thread::sleep_for(200ms);
    });
    busy.get_future().wait();
    server_.reset();
    serverDuty_.reset();
    EXPECT_TRUE(idle.readUntilClosed().has_value());
}

// Guards against a stop that does not end, because a call that may not be given up takes the early end of its wait for
// the silence of its peer.
TEST_F(HttpTest, AStopEndsACallThatMayNotBeGivenUp)
{
    std::promise<void> received;
    listen({}, [&](HttpExchange& exchange) {
        received.set_value();
        sleepFor(3s);
        exchange.abort();
    });
    absl::Status status;
    clientDuty_->spawn([&] {
        HttpClient client;
        HttpCallLimits limits;
        limits.mayGiveUp = [] { return false; };
        status = client.call(endpoint_, {}, limits).status;
    });
    received.get_future().wait();
    std::this_thread::sleep_for(100ms);
    clientDuty_.reset();
    EXPECT_EQ(errorOf<TransportError>(status), TransportError::ConnectionClosed) << status;
}

// Guards against methods whose requests the HTTP library refuses to send with a body, by an exception.
TEST_F(HttpTest, EveryMethodIsSentWithItsBody)
{
    listen({}, [](HttpExchange& exchange) {
        exchange.respond({200, {}, exchange.request().method + exchange.request().body}).IgnoreError();
    });
    onClient([&](HttpClient& client) {
        for (const char* method : {"TRACE", "DELETE", "GET", "OPTIONS", "POST", "PUT", "PATCH", "REPORT"}) {
            for (const char* body : {"", "body"})
                EXPECT_EQ(client.call(endpoint_, {method, "/", {}, body}, {}).answer.body, std::string(method) + body);
        }
    });
}

// Guards against a caller's leaving that is noticed only when the answer is written.
TEST_F(HttpTest, TellsWhenThePeerHasGone)
{
    std::atomic<bool> gone{false};
    listen({}, [&](HttpExchange& exchange) {
        FiberEvent event;
        exchange.onPeerGone([&] {
            gone = true;
            event.notify();
        });
        event.waitUntil(Duty::current()->timers(), currentTime() + 2s);
    });
    onClient([&](HttpClient& client) {
        HttpCallLimits limits;
        limits.deadline = currentTime() + 50ms;
        EXPECT_FALSE(client.call(endpoint_, {}, limits).status.ok());
    });
    const auto end = std::chrono::steady_clock::now() + 1s;
    while (!gone && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(5ms);
    EXPECT_TRUE(gone);
}

// Guards against a planned stop that closes a connection whose next request has arrived in full, although the answer
// to the one before it did not say that the connection ends.
TEST_F(HttpTest, EarlyRequestIsAnsweredDuringAStop)
{
    listen({}, [](HttpExchange& exchange) {
        exchange.beginStream(200, {}).IgnoreError();
        sleepFor(300ms);
        exchange.write(exchange.request().target).IgnoreError();
        exchange.endStream().IgnoreError();
    });
    test::RawConnection connection(endpoint_);
    connection.write("GET /first HTTP/1.1\r\nHost: a\r\n\r\nGET /second HTTP/1.1\r\nHost: a\r\n\r\n");
    std::this_thread::sleep_for(100ms);
    server_->stopAccepting();
    const auto answers = connection.readUntilClosed();
    ASSERT_TRUE(answers.has_value());
    EXPECT_NE(answers->find("/first"), std::string::npos) << *answers;
    EXPECT_NE(answers->find("/second"), std::string::npos) << *answers;
}

// Guards against a caller's leaving that is not noticed because bytes of its next request arrived before.
TEST_F(HttpTest, TellsWhenAPeerWithAnEarlyRequestHasGone)
{
    std::atomic<bool> gone{false};
    listen({}, [&](HttpExchange& exchange) {
        FiberEvent event;
        exchange.onPeerGone([&] {
            gone = true;
            event.notify();
        });
        event.waitUntil(Duty::current()->timers(), currentTime() + 2s);
    });
    auto connection = std::make_unique<test::RawConnection>(endpoint_);
    connection->write("GET /first HTTP/1.1\r\nHost: a\r\n\r\n");
    std::this_thread::sleep_for(100ms);
    connection->write("GET /second HTTP/1.1\r\n");
    std::this_thread::sleep_for(100ms);
    EXPECT_FALSE(gone);
    connection.reset();
    const auto end = std::chrono::steady_clock::now() + 1s;
    while (!gone && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(5ms);
    EXPECT_TRUE(gone);
}

// Guards against an early request that is lost or cut because its first bytes arrived while another was handled.
TEST_F(HttpTest, EarlyRequestIsAnsweredInItsTurn)
{
    listen({}, [](HttpExchange& exchange) {
        FiberEvent event;
        exchange.onPeerGone([&] { event.notify(); });
        event.waitUntil(Duty::current()->timers(), currentTime() + 300ms);
        exchange.respond({200, {}, exchange.request().target}).IgnoreError();
    });
    test::RawConnection connection(endpoint_);
    connection.write("GET /first HTTP/1.1\r\nHost: a\r\n\r\n");
    std::this_thread::sleep_for(100ms);
    connection.write("GET /second HTTP/1.1\r\nHost: a\r\n");
    std::this_thread::sleep_for(400ms);
    connection.write("Connection: close\r\n\r\n");
    const auto answers = connection.readUntilClosed();
    ASSERT_TRUE(answers.has_value());
    EXPECT_NE(answers->find("/first"), std::string::npos) << *answers;
    EXPECT_TRUE(answers->ends_with("/second")) << *answers;
}

// Guards against the answer to a HEAD request that is awaited until its deadline, for a body that does not come.
TEST_F(HttpTest, AnswerToAHeadRequestEndsWithItsHeader)
{
    listen({}, [](HttpExchange& exchange) {
        if (exchange.request().target == "/stream") {
            exchange.beginStream(200, {}).IgnoreError();
            exchange.write("piece").IgnoreError();
            exchange.endStream().IgnoreError();
        } else {
            exchange.respond({200, {}, "body"}).IgnoreError();
        }
    });
    onClient([&](HttpClient& client) {
        for (const char* target : {"/whole", "/stream"}) {
            HttpCallLimits limits;
            limits.deadline = currentTime() + 500ms;
            const auto outcome = client.call(endpoint_, {"HEAD", target, {}, ""}, limits);
            ASSERT_TRUE(outcome.status.ok()) << outcome.status;
            EXPECT_EQ(outcome.answer.body, "");
        }
    });
    test::RawConnection connection(endpoint_);
    connection.write("HEAD /stream HTTP/1.1\r\nHost: a\r\n\r\nHEAD /whole HTTP/1.1\r\nHost: a\r\n"
                     "Connection: close\r\n\r\n");
    const auto answers = connection.readUntilClosed();
    ASSERT_TRUE(answers.has_value());
    EXPECT_EQ(answers->find("\r\n\r\nHTTP/1.1 200"), answers->find("\r\n\r\n")) << *answers;
    EXPECT_TRUE(answers->ends_with("\r\n\r\n")) << *answers;
}

} // namespace
} // namespace lychee
