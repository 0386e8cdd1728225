// Tunnels through another process.
#include "transport/Tunnel.h"

#include "transport/HttpClient.h"

#include <boost/asio/read.hpp>
#include <boost/asio/read_until.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

#include <sys/wait.h>
#include <unistd.h>

#include <csignal>

namespace lychee {
namespace {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using boost::system::error_code;

// Opens all connections through the tunnel server on one port.
class TunnelOpener final : public ConnectionOpener {
public:
    explicit TunnelOpener(std::uint16_t port)
        : port_(port)
    {
    }

    absl::StatusOr<OpenedConnection> open(Endpoint endpoint, Duration connectTime, TimePoint) override
    {
        return openTunnel({"127.0.0.1", port_}, std::move(endpoint), connectTime);
    }

    void wentSilent(const Endpoint&) override { }

private:
    std::uint16_t port_;
};

constexpr std::string_view undelimitedHead = "HTTP/1.1 200 OK\r\n\r\n";

class TunnelTest : public testing::Test {
protected:
    void TearDown() override
    {
        duty_->run([&] {
            acceptor_.close();
            relay_.close();
        });
    }

    // Serves the next `count` connections of a listening socket with `serve`, and closes them and the socket then.
    void serveNext(tcp::acceptor& acceptor, int count, std::function<void(tcp::socket&)> serve)
    {
        duty_->spawn([this, &acceptor, count, serve = std::move(serve)] {
            for (int i = 0; i < count; ++i) {
                tcp::socket socket(duty_->io());
                error_code error;
                acceptor.async_accept(socket, FiberToken{error});
                if (error)
                    return;
                serve(socket);
            }
            acceptor.close();
        });
    }

    static std::string readHeadOf(tcp::socket& socket)
    {
        std::string text;
        error_code error;
        boost::asio::async_read_until(socket, boost::asio::dynamic_buffer(text), "\r\n\r\n", FiberToken{error});
        EXPECT_FALSE(error) << error.message();
        return text;
    }

    // Has the target answer one request with a body that ends with the connection.
    void answerUndelimited(std::string body, bool endsByReset = false)
    {
        serveNext(acceptor_, 1, [body = std::move(body), endsByReset](tcp::socket& socket) {
            readHeadOf(socket);
            write(socket, undelimitedHead);
            write(socket, body);
            if (!endsByReset)
                return;
            sleepFor(100ms);
            socket.set_option(boost::asio::socket_base::linger(true, 0));
            socket.close();
        });
    }

    // Passes the connections to the tunnel server on as a middlebox does that turns each end into a regular one. Of
    // the bytes of the server it passes on the first `limit` for each connection.
    std::uint16_t startRelay(std::size_t limit = std::numeric_limits<std::size_t>::max())
    {
        duty_->spawn([this, limit] {
            while (true) {
                auto near = std::make_shared<tcp::socket>(duty_->io());
                error_code error;
                relay_.async_accept(*near, FiberToken{error});
                if (error)
                    return;
                auto connected = connectSocket("127.0.0.1", server_->port(), currentTime() + 1s);
                if (!connected.ok())
                    continue;
                auto far = std::make_shared<tcp::socket>(*std::move(connected));
                duty_->spawn([=] { passRegularly(*near, *far, std::numeric_limits<std::size_t>::max()); });
                duty_->spawn([=] { passRegularly(*far, *near, limit); });
            }
        });
        return relay_.local_endpoint().port();
    }

    static void passRegularly(tcp::socket& from, tcp::socket& to, std::size_t limit)
    {
        error_code error;
        std::array<char, 4096> piece{};
        while (!error) {
            std::size_t count = from.async_read_some(boost::asio::buffer(piece), FiberToken{error});
            count = std::min(count, limit);
            limit -= count;
            error_code ignored;
            boost::asio::async_write(to, boost::asio::buffer(piece.data(), count), FiberToken{ignored});
        }
        to.shutdown(tcp::socket::shutdown_send, error);
    }

    // Calls the target through the tunnel server on this port.
    HttpOutcome<HttpResponse> call(std::uint16_t port)
    {
        HttpOutcome<HttpResponse> outcome;
        duty_->run([&] {
            TunnelOpener opener(port);
            HttpClient client(opener);
            HttpCallLimits limits;
            limits.deadline = currentTime() + 5s;
            outcome = client.call(endpoint(), {"GET", "/", {}, {}}, limits);
        });
        return outcome;
    }

    // The outcome of a call through a server that answers it in part and then ends the connection regularly. The later
    // connections get `confirmation`.
    absl::Status statusThrough(const std::string& opened, const std::string& confirmation,
        const std::string& head = std::string(undelimitedHead))
    {
        duty_->run([&] {
            serveNext(relay_, confirmation.empty() ? 1 : 2, [opened, confirmation, head](tcp::socket& socket) {
                if (!readHeadOf(socket).starts_with("CONNECT"))
                    return write(socket, confirmation);
                write(socket, opened);
                readHeadOf(socket);
                write(socket, head);
                write(socket, "half of ");
            });
        });
        return call(relay_.local_endpoint().port()).status;
    }

    // Lets the server accept one connection and runs `body` with both ends of a tunnel to it.
    void withTunnel(const std::function<void(tcp::socket& near, tcp::socket& far)>& body)
    {
        duty_->run([&] {
            tcp::socket far(duty_->io());
            FiberEvent accepted;
            duty_->spawn([&] {
                error_code error;
                acceptor_.async_accept(far, FiberToken{error});
                accepted.notify();
            });
            auto near = openTunnel({"127.0.0.1", server_->port()}, endpoint(), 500ms);
            ASSERT_TRUE(near.ok()) << near.status();
            accepted.wait();
            body(near->socket, far);
        });
    }

    static void write(tcp::socket& socket, std::string_view text)
    {
        error_code error;
        boost::asio::async_write(socket, boost::asio::buffer(text.data(), text.size()), FiberToken{error});
        EXPECT_FALSE(error) << error.message();
    }

    // Reads `count` bytes, or until the end.
    static std::string read(tcp::socket& socket, std::size_t count, error_code& error)
    {
        std::string text(count, '\0');
        std::size_t length = 0;
        const error_code result = runBefore(socket, currentTime() + 5s, [&](error_code& ended) {
            length = boost::asio::async_read(socket, boost::asio::buffer(text), FiberToken{ended});
        });
        error = result;
        text.resize(length);
        return text;
    }

    absl::Status statusOf(const Endpoint& target)
    {
        absl::Status status;
        duty_->run([&] { status = openTunnel({"127.0.0.1", server_->port()}, target, 200ms).status(); });
        return status;
    }

    Endpoint endpoint() const { return {"127.0.0.1", acceptor_.local_endpoint().port()}; }

    std::shared_ptr<RuntimeClock> clock_ = RuntimeClock::createRunning();
    std::unique_ptr<Duty> duty_ = Duty::start("tunnels", clock_).value();
    // Of the target.
    tcp::acceptor acceptor_ = openAcceptor(duty_->io(), "127.0.0.1", 0).value();
    // Of what stands between this side and the tunnel server, or in its place.
    tcp::acceptor relay_ = openAcceptor(duty_->io(), "127.0.0.1", 0).value();
    std::atomic<bool> mayOpen_{true};
    std::unique_ptr<TunnelServer> server_ = [this] {
        TunnelServerOptions options;
        options.mayOpen = [this](const std::string& address, const Endpoint&) {
            EXPECT_EQ(address, "127.0.0.1");
            return mayOpen_.load();
        };
        return TunnelServer::listen(*duty_, {"127.0.0.1", 0}, options).value();
    }();
};

// Guards against an endpoint that is read after its owner has dropped it: a peer may be lost while a tunnel through it
// is being opened.
TEST_F(TunnelTest, TheEndpointOfTheServerMayBeDroppedMeanwhile)
{
    duty_->run([&] {
        error_code ignored;
        tcp::acceptor closed(duty_->io(), tcp::endpoint(boost::asio::ip::make_address("127.0.0.1"), 0));
        const std::uint16_t refusingPort = closed.local_endpoint().port();
        closed.close(ignored);
        Endpoint server{"127.0.0.1", refusingPort};
        absl::Status status;
        FiberEvent ended;
        duty_->spawn([&] {
            status = openTunnel(server, endpoint(), 200ms).status();
            ended.notify();
        });
        duty_->spawn([&] { server = {"dropped", 1}; });
        ended.wait();
        EXPECT_NE(status.message().find(fmt::format("127.0.0.1:{}", refusingPort)), std::string::npos) << status;
    });
}

// Guards against bytes that are lost, changed or reordered on the way, and against an end that is not passed on while
// the other direction goes on.
TEST_F(TunnelTest, PassesBytesAndEndsOfBothDirections)
{
    const std::string large(1000000, 'x');
    withTunnel([&](tcp::socket& near, tcp::socket& far) {
        error_code error;
        duty_->spawn([&] { write(near, large + "request"); });
        EXPECT_EQ(read(far, large.size() + 7, error), large + "request");
        near.shutdown(tcp::socket::shutdown_send);
        read(far, 1, error);
        EXPECT_EQ(error, boost::asio::error::eof);
        write(far, "answer");
        far.close();
        EXPECT_EQ(read(near, 7, error), "answer");
        EXPECT_EQ(error, boost::asio::error::eof);
    });
}

// Guards against an answer that was cut by a reset and looks complete, and against a target that goes on working for a
// caller that has left.
TEST_F(TunnelTest, PassesAResetOnInBothDirections)
{
    for (const bool fromTarget : {true, false}) {
        withTunnel([&](tcp::socket& near, tcp::socket& far) {
            tcp::socket& ending = fromTarget ? far : near;
            tcp::socket& other = fromTarget ? near : far;
            write(far, "part");
            error_code error;
            EXPECT_EQ(read(near, 4, error), "part");
            ending.set_option(boost::asio::socket_base::linger(true, 0));
            ending.close();
            read(other, 1, error);
            EXPECT_EQ(error, boost::asio::error::connection_reset) << fromTarget;
        });
    }
    for (int i = 0; i < 100 && server_->active() > 0; ++i)
        duty_->run([] { sleepFor(10ms); });
    EXPECT_EQ(server_->active(), 0u);
}

// Guards against a target that refuses connections and is taken for a peer that does not help, and the other way round.
TEST_F(TunnelTest, TellsWhoDidNotOpenTheTunnel)
{
    const Endpoint closed = endpoint();
    duty_->run([&] { acceptor_.close(); });
    EXPECT_EQ(errorOf<TransportError>(statusOf(closed)), TransportError::ConnectFailed);
    mayOpen_ = false;
    EXPECT_EQ(errorOf<TransportError>(statusOf(closed)), TransportError::Stopped);
    mayOpen_ = true;
    server_->declineAll();
    EXPECT_EQ(errorOf<TransportError>(statusOf(closed)), TransportError::Stopped);
    const std::uint16_t port = server_->port();
    server_.reset();
    duty_->run([&] {
        sleepFor(20ms);
        EXPECT_EQ(
            errorOf<TransportError>(openTunnel({"127.0.0.1", port}, closed, 200ms).status()), TransportError::Stopped);
    });
}

// Guards against an answer that was cut by the end of the tunnel server and looks complete.
TEST_F(TunnelTest, AnAnswerIsNotCompleteWhenItsServerDies)
{
    const absl::Status status = statusThrough("HTTP/1.1 200 OK\r\nTunnel-Id: a-1\r\n\r\n", "");
    EXPECT_EQ(errorOf<TransportError>(status), TransportError::ConnectionClosed) << status;
}

// Guards against an answer that was cut and looks complete because the server has been started again meanwhile.
TEST_F(TunnelTest, AnAnswerIsNotCompleteWhenItsServerDoesNotKnowTheTunnel)
{
    const absl::Status status = statusThrough(
        "HTTP/1.1 200 OK\r\nTunnel-Id: a-1\r\n\r\n", "HTTP/1.1 404 Not Found\r\nContent-Length: 0\r\n\r\n");
    EXPECT_EQ(errorOf<TransportError>(status), TransportError::ConnectionClosed) << status;
}

// Guards against an answer that was cut by the end of a server of an older build and looks complete.
TEST_F(TunnelTest, AnAnswerIsNotCompleteWhenItsServerNamesNoTunnel)
{
    const absl::Status status = statusThrough("HTTP/1.1 200 OK\r\n\r\n", "");
    EXPECT_EQ(errorOf<TransportError>(status), TransportError::ConnectionClosed) << status;
}

// Guards against an answer with a length that needs a server which still runs at its end.
TEST_F(TunnelTest, AnAnswerWithALengthNeedsNoConfirmation)
{
    const absl::Status status
        = statusThrough("HTTP/1.1 200 OK\r\n\r\n", "", "HTTP/1.1 200 OK\r\nContent-Length: 8\r\n\r\n");
    EXPECT_TRUE(status.ok()) << status;
}

// Guards against an answer that lost its last bytes on the way from the server and looks complete.
TEST_F(TunnelTest, AnAnswerIsNotCompleteWithoutAllItsBytes)
{
    const std::string body(200000, 'x');
    duty_->run([&] { answerUndelimited(body); });
    std::uint16_t port = 0;
    duty_->run([&] { port = startRelay(body.size()); });
    const auto outcome = call(port);
    EXPECT_EQ(errorOf<TransportError>(outcome.status), TransportError::ConnectionClosed) << outcome.status;
}

// Guards against an answer that its target cut by a reset and that looks complete because the reset became a regular
// end on the way.
TEST_F(TunnelTest, AnAnswerIsNotCompleteWhenItsTargetResetsIt)
{
    duty_->run([&] { answerUndelimited("half of ", true); });
    std::uint16_t port = 0;
    duty_->run([&] { port = startRelay(); });
    const auto outcome = call(port);
    EXPECT_EQ(errorOf<TransportError>(outcome.status), TransportError::ConnectionClosed) << outcome.status;
}

// Guards against whole answers that are taken for cut ones.
TEST_F(TunnelTest, AWholeAnswerWithoutLengthIsComplete)
{
    for (const bool throughRelay : {false, true}) {
        const std::string body(200000, 'x');
        std::uint16_t port = server_->port();
        duty_->run([&] {
            acceptor_ = openAcceptor(duty_->io(), "127.0.0.1", 0).value();
            answerUndelimited(body);
            if (throughRelay)
                port = startRelay();
        });
        const auto outcome = call(port);
        EXPECT_TRUE(outcome.status.ok()) << outcome.status;
        EXPECT_EQ(outcome.answer.body, body);
    }
}

// Names the descriptor on which the process of a server states its port.
constexpr const char* serverDescriptor = "TUNNEL_SERVER_PORT";

void serveUntilKilled(int descriptor)
{
    const auto duty = Duty::start("killed", RuntimeClock::createRunning()).value();
    const auto server = TunnelServer::listen(*duty, {"127.0.0.1", 0}, {}).value();
    const std::uint16_t port = server->port();
    if (::write(descriptor, &port, sizeof port) != sizeof port)
        _exit(1);
    while (true)
        pause();
}

// Guards against an end of the server's process that looks like a regular one to near sides of older builds.
TEST_F(TunnelTest, AServerThatIsKilledResetsItsTunnels)
{
    if (const char* descriptor = getenv(serverDescriptor))
        return serveUntilKilled(std::atoi(descriptor));
    std::array<int, 2> ports{};
    ASSERT_EQ(pipe(ports.data()), 0);
    const std::string descriptor = std::to_string(ports[1]);
    const pid_t child = fork();
    ASSERT_GE(child, 0);
    if (child == 0) {
        // Only a new program may start threads after a fork of a process that has some.
        setenv(serverDescriptor, descriptor.c_str(), 1);
        execl("/proc/self/exe", "TunnelTest", "--gtest_filter=TunnelTest.AServerThatIsKilledResetsItsTunnels", nullptr);
        _exit(1);
    }
    std::uint16_t port = 0;
    ASSERT_EQ(::read(ports[0], &port, sizeof port), static_cast<ssize_t>(sizeof port));
    duty_->run([&] {
        serveNext(acceptor_, 1, [](tcp::socket& socket) {
            error_code ended;
            read(socket, 1, ended);
        });
        auto near = openTunnel({"127.0.0.1", port}, endpoint(), 5s);
        ASSERT_TRUE(near.ok()) << near.status();
        kill(child, SIGKILL);
        error_code error;
        read(near->socket, 1, error);
        EXPECT_EQ(error, boost::asio::error::connection_reset);
    });
    kill(child, SIGKILL);
    waitpid(child, nullptr, 0);
    close(ports[0]);
    close(ports[1]);
}

// Guards against bytes that are lost when both sides have ended and the near one has not read all yet.
TEST_F(TunnelTest, ANearSideThatReadsLateLosesNoBytes)
{
    const std::string large(1000000, 'x');
    withTunnel([&](tcp::socket& near, tcp::socket& far) {
        near.shutdown(tcp::socket::shutdown_send);
        duty_->spawn([&] {
            write(far, large);
            far.close();
        });
        sleepFor(300ms);
        error_code error;
        EXPECT_EQ(read(near, large.size(), error), large);
        EXPECT_FALSE(error) << error.message();
        read(near, 1, error);
        EXPECT_EQ(error, boost::asio::error::eof);
    });
}

} // namespace
} // namespace lychee
