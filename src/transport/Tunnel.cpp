#include "transport/Tunnel.h"

#include "transport/Containment.h"
#include "transport/FiberEvent.h"
#include "transport/HttpHead.h"
#include "transport/HttpParser.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <absl/strings/numbers.h>

#include <algorithm>
#include <array>

namespace lychee {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr std::size_t maxHeadBytes = 1024;

// Bytes of one direction that are held while the other side does not take them, besides the buffers of the system.
constexpr std::size_t pieceBytes = 8192;

// A process that has connected sends its request at once.
constexpr Duration requestTimeout = std::chrono::milliseconds(500);

// The way to the server and back, and its work, in addition to the time for its connection.
constexpr Duration serverTime = std::chrono::milliseconds(150);

constexpr Duration acceptRetryDelay = std::chrono::milliseconds(20);

constexpr const char* connectTimeHeader = "Connect-Timeout-Ms";

constexpr int openedStatus = 200;
constexpr int refusedStatus = 502;
constexpr int declinedStatus = 503;
constexpr int timedOutStatus = 504;

void resetSocket(tcp::socket& socket)
{
    error_code ignored;
    socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

absl::Status declined(std::string_view detail) { return makeError(TransportError::Stopped, detail); }

// One tunnel, which two fibers serve: each passes the bytes of one direction on.
class Tunnel : public std::enable_shared_from_this<Tunnel> {
public:
    Tunnel(tcp::socket near, tcp::socket far, Duration maxIdle)
        : near_(std::move(near))
        , far_(std::move(far))
        , maxIdle_(maxIdle)
        , movedAt_(currentTime())
    {
    }

    // Returns when both directions have ended.
    void run()
    {
        Duty::current()->spawn([self = shared_from_this()] {
            self->pass(self->far_, self->near_);
            self->ended_.notify();
        });
        pass(near_, far_);
        ended_.wait();
    }

private:
    void pass(tcp::socket& from, tcp::socket& to)
    {
        std::array<char, pieceBytes> piece{};
        while (true) {
            std::size_t count = 0;
            error_code error = runBefore(from, currentTime() + maxIdle_, [&](error_code& result) {
                count = from.async_read_some(boost::asio::buffer(piece), FiberToken{result});
            });
            // The other direction may be in use.
            if (error == boost::asio::error::timed_out && currentTime() - movedAt_ < maxIdle_)
                continue;
            if (error == boost::asio::error::eof) {
                to.shutdown(tcp::socket::shutdown_send, error);
                return;
            }
            movedAt_ = currentTime();
            if (!error) {
                error = runBefore(to, currentTime() + maxIdle_, [&](error_code& result) {
                    boost::asio::async_write(to, boost::asio::buffer(piece.data(), count), FiberToken{result});
                });
            }
            // A side that ended by a reset, or cannot be written to, must not look like one that ended regularly.
            if (error) {
                resetSocket(near_);
                resetSocket(far_);
                return;
            }
        }
    }

    tcp::socket near_;
    tcp::socket far_;
    Duration maxIdle_;
    // When a byte last passed in one of the directions.
    TimePoint movedAt_;
    // The direction to the near side has ended.
    FiberEvent ended_;
};

std::optional<Endpoint> readEndpoint(const HttpRequest& request)
{
    if (request.method != "CONNECT")
        return std::nullopt;
    return Endpoint::parse(request.target);
}

Duration readConnectTime(const HttpRequest& request, Duration limit)
{
    const std::string_view text = request.headers.find(connectTimeHeader).value_or(std::string_view());
    std::uint32_t milliseconds = 0;
    if (!absl::SimpleAtoi(absl::string_view(text.data(), text.size()), &milliseconds))
        return limit;
    return std::min<Duration>(std::chrono::milliseconds(milliseconds), limit);
}

} // namespace

class TunnelServer::State : public std::enable_shared_from_this<State> {
public:
    State(Duty& duty, tcp::acceptor acceptor, TunnelServerOptions options)
        : duty_(duty)
        , acceptor_(std::move(acceptor))
        , port_(acceptor_.local_endpoint().port())
        , options_(std::move(options))
    {
    }

    void acceptLoop()
    {
        while (acceptor_.is_open()) {
            error_code error;
            tcp::socket socket(duty_.io());
            acceptor_.async_accept(socket, FiberToken{error});
            if (!acceptor_.is_open())
                return;
            if (error) {
                sleepFor(acceptRetryDelay);
                continue;
            }
            duty_.spawn([self = shared_from_this(), near = std::make_shared<tcp::socket>(std::move(socket))] {
                if (!runContained("a request for a tunnel", [&] { self->serve(*near); }))
                    resetSocket(*near);
            });
        }
    }

    void close()
    {
        boost::asio::post(duty_.io(), [self = shared_from_this()] {
            error_code ignored;
            self->acceptor_.close(ignored);
        });
    }

    std::uint16_t port() const { return port_; }

    std::size_t active() const { return active_.load(); }

    void declineAll() { declines_.store(true); }

private:
    void serve(tcp::socket& near)
    {
        error_code ignored;
        near.set_option(tcp::no_delay(true), ignored);
        setBuffers(near, options_.buffers);
        boost::beast::flat_buffer buffer;
        HttpRequestParser parser;
        const error_code error = runBefore(near, currentTime() + requestTimeout,
            [&](error_code& result) { readHead(near, buffer, parser, maxHeadBytes, result); });
        // Nothing may follow before the answer.
        if (error || !parser.is_done() || buffer.size() != 0)
            return resetSocket(near);
        const HttpRequest request = parser.take();
        const std::optional<Endpoint> endpoint = readEndpoint(request);
        if (!endpoint)
            return resetSocket(near);
        const auto remote = near.remote_endpoint(ignored);
        const bool mayOpen = !declines_.load() && active_.load() < options_.maxTunnels
            && (!options_.mayOpen || options_.mayOpen(remote.address().to_string(), *endpoint));
        if (!mayOpen) {
            answer(near, declinedStatus);
            return;
        }
        ++active_;
        open(near, *endpoint, readConnectTime(request, options_.maxConnectTime));
        --active_;
    }

    void open(tcp::socket& near, const Endpoint& endpoint, Duration connectTime)
    {
        auto far = options_.connect(endpoint, currentTime() + connectTime);
        if (!far.ok()) {
            const bool refused = errorOf<TransportError>(far.status()) == TransportError::ConnectFailed;
            answer(near, refused ? refusedStatus : timedOutStatus);
            return;
        }
        if (!answer(near, openedStatus))
            return resetSocket(*far);
        std::make_shared<Tunnel>(std::move(near), *std::move(far), options_.maxIdle)->run();
    }

    // A tunnel has no body, so its head names no length.
    static bool answer(tcp::socket& near, int status)
    {
        const std::string head = responseHead(status, {}, true, BodyFraming::None, 0);
        const error_code error = runBefore(near, currentTime() + requestTimeout,
            [&](error_code& result) { boost::asio::async_write(near, boost::asio::buffer(head), FiberToken{result}); });
        return !error;
    }

    Duty& duty_;
    tcp::acceptor acceptor_;
    std::uint16_t port_;
    TunnelServerOptions options_;
    std::atomic<std::size_t> active_{0};
    std::atomic<bool> declines_{false};
};

absl::StatusOr<std::unique_ptr<TunnelServer>> TunnelServer::listen(
    Duty& duty, const Endpoint& endpoint, TunnelServerOptions options)
{
    absl::StatusOr<tcp::acceptor> acceptor = openAcceptor(duty.io(), endpoint.address, endpoint.port);
    if (!acceptor.ok())
        return acceptor.status();
    auto state = std::make_shared<State>(duty, *std::move(acceptor), std::move(options));
    duty.spawn([state] { state->acceptLoop(); });
    return std::unique_ptr<TunnelServer>(new TunnelServer(std::move(state)));
}

TunnelServer::TunnelServer(std::shared_ptr<State> state)
    : state_(std::move(state))
{
}

TunnelServer::~TunnelServer() { state_->close(); }

std::uint16_t TunnelServer::port() const { return state_->port(); }

std::size_t TunnelServer::active() const { return state_->active(); }

void TunnelServer::declineAll() { state_->declineAll(); }

absl::StatusOr<tcp::socket> openTunnel(
    Endpoint server, Endpoint endpoint, Duration connectTime, const SocketBuffers& buffers)
{
    const TimePoint deadline = currentTime() + connectTime + serverTime;
    absl::StatusOr<tcp::socket> socket = connectSocket(server.address, server.port, deadline, buffers);
    if (!socket.ok())
        return declined(messageOf(socket.status()));
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(connectTime).count();
    const std::string name = endpoint.toString();
    const std::string request = requestHead(
        {"CONNECT", name, {{"Host", name}, {connectTimeHeader, std::to_string(milliseconds)}}, {}}, endpoint);
    error_code error = runBefore(*socket, deadline, [&](error_code& result) {
        boost::asio::async_write(*socket, boost::asio::buffer(request), FiberToken{result});
    });
    boost::beast::flat_buffer buffer;
    HttpResponseParser parser;
    // The answer has no body, whatever its header says.
    parser.skip(true);
    if (!error) {
        error = runBefore(
            *socket, deadline, [&](error_code& result) { readHead(*socket, buffer, parser, maxHeadBytes, result); });
    }
    if (error)
        return declined(error.message());
    switch (parser.status()) {
    case openedStatus:
        break;
    case refusedStatus:
        return makeError(TransportError::ConnectFailed, fmt::format("{} through a tunnel", name));
    case timedOutStatus:
        return makeError(TransportError::TimedOut, fmt::format("{} through a tunnel", name));
    default:
        return declined(fmt::format("the tunnel server answered with status {}", parser.status()));
    }
    if (buffer.size() != 0)
        return makeError(TransportError::ConnectFailed, "bytes arrived before the first request");
    return socket;
}

} // namespace lychee
