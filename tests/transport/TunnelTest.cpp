// Tunnels through another process.
#include "transport/Tunnel.h"

#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <gtest/gtest.h>

namespace lychee {
namespace {

using namespace std::chrono_literals;
using boost::asio::ip::tcp;
using boost::system::error_code;

class TunnelTest : public testing::Test {
protected:
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
            body(*near, far);
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
    tcp::acceptor acceptor_ = openAcceptor(duty_->io(), "127.0.0.1", 0).value();
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

} // namespace
} // namespace lychee
