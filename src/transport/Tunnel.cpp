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
#include <deque>
#include <random>

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

// To connect to the server and have it confirm an end.
constexpr Duration confirmationTime = std::chrono::milliseconds(300);

// Tunnels that are remembered after their endpoints have ended them.
constexpr std::size_t maxEndedTunnels = 4096;

constexpr const char* connectTimeHeader = "Connect-Timeout-Ms";
constexpr const char* idHeader = "Tunnel-Id";
constexpr const char* bytesHeader = "Tunnel-Bytes";
constexpr std::string_view confirmationPath = "/tunnels/";

constexpr int openedStatus = 200;
constexpr int unknownStatus = 404;
constexpr int refusedStatus = 502;
constexpr int declinedStatus = 503;
constexpr int timedOutStatus = 504;

void resetSocket(tcp::socket& socket)
{
    error_code ignored;
    socket.set_option(boost::asio::socket_base::linger(true, 0), ignored);
    socket.close(ignored);
}

// What a tunnel server has answered, and the connection to it.
struct ServerAnswer {
    tcp::socket socket;
    int status = 0;
    HttpHeaders headers;
    // Bytes have arrived behind the head.
    bool hasMore = false;
};

absl::StatusOr<ServerAnswer> ask(
    Endpoint server, HttpRequest request, TimePoint deadline, const SocketBuffers& buffers = {})
{
    absl::StatusOr<tcp::socket> socket = connectSocket(server.address, server.port, deadline, buffers);
    if (!socket.ok())
        return socket.status();
    const std::string head = requestHead(request, server);
    error_code error = runBefore(*socket, deadline,
        [&](error_code& result) { boost::asio::async_write(*socket, boost::asio::buffer(head), FiberToken{result}); });
    boost::beast::flat_buffer buffer;
    HttpResponseParser parser;
    // The answer has no body, whatever its header says.
    parser.skip(true);
    if (!error) {
        error = runBefore(
            *socket, deadline, [&](error_code& result) { readHead(*socket, buffer, parser, maxHeadBytes, result); });
    }
    if (error)
        return socketError(error, "ask the tunnel server");
    return ServerAnswer{*std::move(socket), parser.status(), parser.takeHeaders(), buffer.size() != 0};
}

std::uint64_t randomNumber()
{
    std::random_device device;
    return std::uniform_int_distribution<std::uint64_t>()(device);
}

absl::Status declined(std::string_view detail) { return makeError(TransportError::Stopped, detail); }

template <typename Number> std::optional<Number> readNumber(const HttpHeaders& headers, std::string_view name)
{
    const std::string_view text = headers.find(name).value_or(std::string_view());
    Number number = 0;
    if (!absl::SimpleAtoi(absl::string_view(text.data(), text.size()), &number))
        return std::nullopt;
    return number;
}

// Whether the endpoint has ended the tunnel regularly after this number of bytes. A server of an older build names no
// tunnel, so it confirms no end.
bool confirmEnd(Endpoint server, std::string id, std::uint64_t bytes)
{
    if (id.empty())
        return false;
    const auto asked = ask(std::move(server), {"GET", fmt::format("{}{}", confirmationPath, id), {}, {}},
        currentTime() + confirmationTime);
    return asked.ok() && asked->status == openedStatus
        && readNumber<std::uint64_t>(asked->headers, bytesHeader) == bytes;
}

// The tunnels that their endpoints have ended regularly. Bounded in number and age.
class EndedTunnels {
public:
    explicit EndedTunnels(Duration maxAge)
        : maxAge_(maxAge)
    {
    }

    // A name for a new tunnel, which no other start of any process gives.
    std::string nextId() { return fmt::format("{:016x}-{}", start_, ++opened_); }

    // `bytes` of the endpoint were passed on to the process on `address`.
    void add(std::string id, std::string address, std::uint64_t bytes)
    {
        while (!ended_.empty() && (ended_.size() >= maxEndedTunnels || currentTime() - ended_.front().at > maxAge_))
            ended_.pop_front();
        ended_.push_back({std::move(id), std::move(address), bytes, currentTime()});
    }

    // How many bytes the endpoint had sent, for the process on `address`, which is the one that opened the tunnel.
    std::optional<std::uint64_t> find(std::string_view id, std::string_view address) const
    {
        const auto found = std::find_if(ended_.rbegin(), ended_.rend(),
            [&](const Entry& entry) { return entry.id == id && entry.address == address; });
        if (found == ended_.rend() || currentTime() - found->at > maxAge_)
            return std::nullopt;
        return found->bytes;
    }

private:
    struct Entry {
        std::string id;
        std::string address;
        std::uint64_t bytes;
        TimePoint at;
    };

    Duration maxAge_;
    std::uint64_t start_ = randomNumber();
    std::uint64_t opened_ = 0;
    std::deque<Entry> ended_;
};

// One tunnel, which two fibers serve: each passes the bytes of one direction on.
class Tunnel : public std::enable_shared_from_this<Tunnel> {
public:
    // `near` is reset when it is closed. `farEnded` is told how many bytes were passed on when the far side has ended
    // regularly. It must not suspend.
    Tunnel(tcp::socket near, tcp::socket far, Duration maxIdle, std::function<void(std::uint64_t)> farEnded)
        : near_(std::move(near))
        , far_(std::move(far))
        , maxIdle_(maxIdle)
        , farEnded_(std::move(farEnded))
        , movedAt_(currentTime())
    {
    }

    // Returns when both directions have ended.
    void run()
    {
        Duty::current()->spawn([self = shared_from_this()] {
            error_code ignored;
            if (const auto bytes = self->pass(self->far_, self->near_)) {
                // Before the near side can see the end and ask.
                self->farEnded_(*bytes);
                self->near_.shutdown(tcp::socket::shutdown_send, ignored);
            }
            self->ended_.notify();
        });
        error_code ignored;
        if (pass(near_, far_))
            far_.shutdown(tcp::socket::shutdown_send, ignored);
        ended_.wait();
        // What the near side has not taken yet must still reach it.
        if (!isReset_)
            near_.set_option(boost::asio::socket_base::linger(false, 0), ignored);
    }

private:
    // Passes bytes on until `from` has ended. Returns their number when it ended regularly, and nothing after a reset.
    std::optional<std::uint64_t> pass(tcp::socket& from, tcp::socket& to)
    {
        std::uint64_t passed = 0;
        std::array<char, pieceBytes> piece{};
        while (true) {
            std::size_t count = 0;
            error_code error = runBefore(from, currentTime() + maxIdle_, [&](error_code& result) {
                count = from.async_read_some(boost::asio::buffer(piece), FiberToken{result});
            });
            // The other direction may be in use.
            if (error == boost::asio::error::timed_out && currentTime() - movedAt_ < maxIdle_)
                continue;
            if (error == boost::asio::error::eof && !isReset_)
                return passed;
            movedAt_ = currentTime();
            if (!error) {
                error = runBefore(to, currentTime() + maxIdle_, [&](error_code& result) {
                    boost::asio::async_write(to, boost::asio::buffer(piece.data(), count), FiberToken{result});
                });
            }
            // A side that ended by a reset, or cannot be written to, must not look like one that ended regularly.
            if (error) {
                isReset_ = true;
                resetSocket(near_);
                resetSocket(far_);
                return std::nullopt;
            }
            passed += count;
        }
    }

    tcp::socket near_;
    tcp::socket far_;
    Duration maxIdle_;
    std::function<void(std::uint64_t)> farEnded_;
    bool isReset_ = false;
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
    const auto milliseconds = readNumber<std::uint32_t>(request.headers, connectTimeHeader);
    return milliseconds ? std::min<Duration>(std::chrono::milliseconds(*milliseconds), limit) : limit;
}

} // namespace

class TunnelServer::State : public std::enable_shared_from_this<State> {
public:
    State(Duty& duty, tcp::acceptor acceptor, TunnelServerOptions options)
        : duty_(duty)
        , acceptor_(std::move(acceptor))
        , port_(acceptor_.local_endpoint().port())
        , options_(std::move(options))
        , endedTunnels_(options_.maxIdle)
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
        const std::string address = near.remote_endpoint(ignored).address().to_string();
        if (request.method == "GET" && request.target.starts_with(confirmationPath)) {
            confirm(near, request.target.substr(confirmationPath.size()), address);
            return;
        }
        const std::optional<Endpoint> endpoint = readEndpoint(request);
        if (!endpoint)
            return resetSocket(near);
        const bool mayOpen = !declines_.load() && active_.load() < options_.maxTunnels
            && (!options_.mayOpen || options_.mayOpen(address, *endpoint));
        if (!mayOpen) {
            answer(near, declinedStatus);
            return;
        }
        ++active_;
        open(near, address, *endpoint, readConnectTime(request, options_.maxConnectTime));
        --active_;
    }

    // Also while further tunnels are declined: the end of one that is open may be asked for until the process ends.
    void confirm(tcp::socket& near, std::string_view id, std::string_view address)
    {
        const std::optional<std::uint64_t> bytes = endedTunnels_.find(id, address);
        if (bytes)
            answer(near, openedStatus, {{bytesHeader, std::to_string(*bytes)}});
        else
            answer(near, unknownStatus);
    }

    void open(tcp::socket& near, const std::string& address, const Endpoint& endpoint, Duration connectTime)
    {
        auto far = options_.connect(endpoint, currentTime() + connectTime);
        if (!far.ok()) {
            const bool refused = errorOf<TransportError>(far.status()) == TransportError::ConnectFailed;
            answer(near, refused ? refusedStatus : timedOutStatus);
            return;
        }
        // The system then also resets the connection when this process dies.
        error_code ignored;
        near.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        const std::string id = endedTunnels_.nextId();
        if (!answer(near, openedStatus, {{idHeader, id}}))
            return resetSocket(*far);
        const auto tunnel = std::make_shared<Tunnel>(std::move(near), *std::move(far), options_.maxIdle,
            [this, id, address](std::uint64_t bytes) { endedTunnels_.add(id, address, bytes); });
        tunnel->run();
    }

    // A tunnel has no body, so its head names no length.
    static bool answer(tcp::socket& near, int status, const HttpHeaders& headers = {})
    {
        const std::string head = responseHead(status, headers, true, BodyFraming::None, 0);
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
    EndedTunnels endedTunnels_;
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

absl::StatusOr<OpenedConnection> openTunnel(
    Endpoint server, Endpoint endpoint, Duration connectTime, const SocketBuffers& buffers)
{
    const auto milliseconds = std::chrono::duration_cast<std::chrono::milliseconds>(connectTime).count();
    const std::string name = endpoint.toString();
    const HttpRequest request{"CONNECT", name, {{"Host", name}, {connectTimeHeader, std::to_string(milliseconds)}}, {}};
    auto asked = ask(server, request, currentTime() + connectTime + serverTime, buffers);
    if (!asked.ok())
        return declined(messageOf(asked.status()));
    switch (asked->status) {
    case openedStatus:
        break;
    case refusedStatus:
        return makeError(TransportError::ConnectFailed, fmt::format("{} through a tunnel", name));
    case timedOutStatus:
        return makeError(TransportError::TimedOut, fmt::format("{} through a tunnel", name));
    default:
        return declined(fmt::format("the tunnel server answered with status {}", asked->status));
    }
    if (asked->hasMore)
        return makeError(TransportError::ConnectFailed, "bytes arrived before the first request");
    OpenedConnection opened{std::move(asked->socket), nullptr};
    opened.received = std::make_shared<std::uint64_t>(0);
    opened.confirmEnd = [server = std::move(server), received = opened.received,
                            id = std::string(asked->headers.find(idHeader).value_or(std::string_view()))] {
        return confirmEnd(server, id, *received);
    };
    return opened;
}

} // namespace lychee
