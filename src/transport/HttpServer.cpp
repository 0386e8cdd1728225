#include "transport/HttpServer.h"

#include "transport/Containment.h"
#include "transport/HttpHead.h"
#include "transport/HttpParser.h"
#include "transport/Log.h"
#include "transport/SocketOperation.h"

#include <boost/asio/post.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/buffers_suffix.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/chunk_encode.hpp>
#include <boost/beast/http/error.hpp>

#include <sys/socket.h>

#include <array>
#include <set>

namespace lychee {

namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr LogChannel logChannel("http");

// Pause after a failed accept, so that a lack of file descriptors does not turn into a busy loop.
constexpr Duration acceptRetryDelay = std::chrono::milliseconds(20);

// Limits of what is read after a request was rejected: a few round trips, and a little more than the largest body that
// the deployments allow.
constexpr Duration discardTime = std::chrono::milliseconds(300);
constexpr std::size_t discardBytes = 16384;
constexpr int maxDiscardReads = 512;

// Bytes of a next request that are read while another one is handled. A header fits in usually.
constexpr std::size_t maxEarlyBytes = 16384;

HttpFault faultOf(const error_code& error)
{
    if (error == http::error::header_limit || error == http::error::buffer_overflow)
        return HttpFault::HeaderTooLarge;
    if (error == http::error::body_limit)
        return HttpFault::BodyTooLarge;
    if (error == boost::asio::error::timed_out)
        return HttpFault::TimedOut;
    if (error == boost::asio::error::no_memory)
        return HttpFault::OutOfMemory;
    return HttpFault::Malformed;
}

// Whether the peer ended the connection, so that no answer can reach it.
bool isClosed(const error_code& error)
{
    return error == http::error::end_of_stream || error == boost::asio::error::eof
        || error == boost::asio::error::connection_reset || error == boost::asio::error::operation_aborted;
}

std::size_t countOf(const HttpHeaders& headers, std::string_view name)
{
    const auto& fields = headers.fields();
    return static_cast<std::size_t>(std::count_if(fields.begin(), fields.end(), [&](const HttpHeaders::Field& field) {
        return boost::beast::iequals(field.name, {name.data(), name.size()});
    }));
}

// HTTP/1.1 requires exactly one Host header; without it the request's route is undefined.
bool hasValidHost(HttpRequestParser& parser) { return parser.version() < 11 || countOf(parser.headers(), "Host") == 1; }

// A body in an encoding that is not known here has an unknown end, so what follows could be taken for another request.
bool hasKnownLength(const HttpHeaders& headers)
{
    const std::size_t encodings = countOf(headers, "Transfer-Encoding");
    return encodings == 0
        || (encodings == 1 && boost::beast::iequals(std::string(*headers.find("Transfer-Encoding")), "chunked"));
}

} // namespace

// Shared by the server object, the accepting fiber and the connections, so that each may end first.
class HttpServer::State : public std::enable_shared_from_this<HttpServer::State> {
public:
    class Connection;

    State(Duty& duty, tcp::acceptor acceptor, HttpServerOptions options, Handler handler)
        : duty_(duty)
        , acceptor_(std::move(acceptor))
        , options_(std::move(options))
        , handler_(std::move(handler))
        , port_(acceptor_.local_endpoint().port())
    {
    }

    void acceptLoop();
    void stopAccepting();
    void close();

    bool closeAfterAnswers_ = false;
    Duty& duty_;
    tcp::acceptor acceptor_;
    HttpServerOptions options_;
    Handler handler_;
    std::uint16_t port_;
    std::set<Connection*> connections_;
    std::atomic<std::size_t> activeExchanges_{0};
    bool draining_ = false;
};

// One connection; answers its requests one after another.
class HttpServer::State::Connection final : public HttpExchange, public std::enable_shared_from_this<Connection> {
public:
    Connection(std::shared_ptr<State> state, tcp::socket socket)
        : state_(std::move(state))
        , socket_(std::move(socket))
    {
        state_->connections_.insert(this);
    }

    ~Connection() override { state_->connections_.erase(this); }

    void serve()
    {
        while (awaitRequest()) {
            // Counted from its first byte, so that a stop waits for a request that is still arriving.
            ++state_->activeExchanges_;
            bool received = false;
            const bool sound = runContained("reading a request", [&] { received = readRequest(); });
            if (sound && received)
                handleRequest();
            memory_.reset();
            request_ = {};
            // A large head or trailer leaves a large buffer.
            if (buffer_.size() == 0 && buffer_.capacity() > maxEarlyBytes)
                buffer_.shrink_to_fit();
            --state_->activeExchanges_;
            if (!sound || !received || !answered_ || !keepAlive_)
                break;
        }
        closeSocket();
    }

    void closeSocket()
    {
        error_code ignored;
        socket_.shutdown(tcp::socket::shutdown_both, ignored);
        socket_.close(ignored);
    }

    // Leaves a connection open on which a request has begun to arrive; it is answered first.
    void closeIfIdle()
    {
        if (idle_ && peekPeer(socket_) != PeerSign::Sent)
            closeSocket();
    }

    const HttpRequest& request() const override { return request_; }

    absl::Status respond(const HttpResponse& response) override
    {
        const bool hasBody = mayHaveBody(response.status);
        const std::string head = responseHead(response.status, response.headers, keepsConnection(), BodyFraming::Length,
            hasBody ? response.body.size() : 0);
        const std::array<boost::asio::const_buffer, 2> message{boost::asio::buffer(head),
            hasBody && !isHead() ? boost::asio::buffer(response.body) : boost::asio::const_buffer()};
        return finish(writeBuffers("write answer", message));
    }

    absl::Status beginStream(int status, const HttpHeaders& headers) override
    {
        const std::string head = responseHead(status, headers, keepsConnection(), BodyFraming::Chunks, 0);
        return writeBuffers("write header", boost::asio::const_buffer(head.data(), head.size()));
    }

    absl::Status write(std::string_view piece) override
    {
        if (piece.empty() || isHead())
            return absl::OkStatus();
        return writeBuffers("write body", http::make_chunk(boost::asio::buffer(piece.data(), piece.size())));
    }

    absl::Status endStream() override
    {
        if (isHead())
            return finish(absl::OkStatus());
        return finish(writeBuffers("write end", http::make_chunk_last()));
    }

    void abort() override
    {
        keepAlive_ = false;
        if (writing_)
            resetSocket();
        else
            closeSocket();
    }

    bool isPeerGone() override { return !socket_.is_open() || peekPeer(socket_) == PeerSign::Gone; }

    void onPeerGone(std::function<void()> callback) override
    {
        peerGone_ = std::move(callback);
        watchPeer();
    }

    TimePoint startedAt() const override { return startedAt_; }

private:
    // The answer to a HEAD request ends with its header, whatever the header says of a body.
    bool isHead() const { return request_.method == "HEAD"; }

    // An exception of the handler ends its connection only.
    void handleRequest()
    {
        busy_ = true;
        answered_ = false;
        const std::string doing = fmt::format("the handler of {} {}", request_.method, request_.path());
        if (!runContained(doing, [&] { state_->handler_(*this); }))
            answered_ = false;
        stopWatching();
        busy_ = false;
    }

    void watchPeer()
    {
        watching_ = true;
        socket_.async_wait(
            tcp::socket::wait_read, [self = shared_from_this(), exchange = exchanges_](const error_code& error) {
                self->watching_ = false;
                if (error == boost::asio::error::operation_aborted || exchange != self->exchanges_ || !self->busy_)
                    return;
                if (self->isPeerGone()) {
                    if (self->peerGone_)
                        std::exchange(self->peerGone_, nullptr)();
                } else if (self->takeEarlyBytes()) {
                    self->watchPeer();
                }
            });
    }

    // Moves bytes of the next request, which arrived early, to the buffer, where it is read in its turn; the end of the
    // connection shows only behind them. Returns false when the peer has sent too many of them.
    bool takeEarlyBytes()
    {
        if (buffer_.size() >= maxEarlyBytes)
            return false;
        const auto space = buffer_.prepare(maxEarlyBytes - buffer_.size());
        const ssize_t count = ::recv(socket_.native_handle(), space.data(), space.size(), MSG_DONTWAIT);
        buffer_.commit(count > 0 ? static_cast<std::size_t>(count) : 0);
        return true;
    }

    void stopWatching()
    {
        ++exchanges_;
        peerGone_ = nullptr;
        error_code ignored;
        if (watching_ && socket_.is_open())
            socket_.cancel(ignored);
    }

    // Writes in steps, each of which sends something within the time limit. A peer that has made room just as the limit
    // passes, for example because this process was suspended, is not cut off.
    template <typename IsDone, typename Step>
    absl::Status writeAll(std::string_view doing, const IsDone& isDone, const Step& step)
    {
        error_code error;
        writing_ = true;
        while (!error && !isDone()) {
            error = runBefore(socket_, currentTime() + state_->options_.writeTimeout, step);
            if (error == boost::asio::error::timed_out && isWritable(socket_))
                error = {};
        }
        writing_ = false;
        if (!error)
            return absl::OkStatus();
        keepAlive_ = false;
        if (error == boost::asio::error::timed_out)
            resetSocket();
        return socketError(error, doing);
    }

    template <typename Buffers> absl::Status writeBuffers(std::string_view doing, const Buffers& buffers)
    {
        boost::beast::buffers_suffix<Buffers> rest(buffers);
        const auto isDone = [&] { return boost::asio::buffer_size(rest) == 0; };
        return writeAll(
            doing, isDone, [&](error_code& error) { rest.consume(socket_.async_write_some(rest, FiberToken{error})); });
    }

    // Closes without delivering what the peer has not read. After a plain close, the system would hold it for minutes.
    void resetSocket()
    {
        error_code ignored;
        socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        socket_.close(ignored);
    }

    absl::Status finish(absl::Status status)
    {
        answered_ = status.ok();
        return status;
    }

    // Whether the connection goes on after the answer that is about to begin.
    bool keepsConnection()
    {
        if (state_->draining_ || state_->closeAfterAnswers_)
            keepAlive_ = false;
        return keepAlive_;
    }

    // Reads the next request. Answers a request that breaks a limit, and returns false when the connection has to end.
    bool readRequest()
    {
        HttpRequestParser parser;
        parser.header_limit(static_cast<std::uint32_t>(state_->options_.maxHeaderBytes));
        parser.body_limit(state_->options_.maxBodyBytes);
        // Bounds what the header limit does not cover: extensions of chunks, and the fields behind the last one.
        maxBuffered_ = std::max(state_->options_.maxHeaderBytes, maxEarlyBytes);
        startedAt_ = currentTime();
        request_ = {};
        error_code error = runBefore(socket_, currentTime() + state_->options_.headerTimeout,
            [&](error_code& result) { readHead(socket_, buffer_, parser, maxBuffered_, result); });
        if (!error && (!hasValidHost(parser) || !hasKnownLength(parser.headers())))
            error = http::error::bad_field;
        if (!error && !parser.is_done())
            error = readBody(parser);
        if (error) {
            // The memory is free from now on, although the answer may take a while to be read.
            parser.dropBody();
            memory_.reset();
            if (!isClosed(error))
                rejectRequest(faultOf(error));
            return false;
        }
        if (memory_)
            memory_->keep();
        keepAlive_ = parser.keep_alive();
        request_ = parser.take();
        return true;
    }

    error_code readBody(HttpRequestParser& parser)
    {
        parser.eager(true);
        if (requestMemory_) {
            memory_ = requestMemory_->open([this] {
                error_code ignored;
                socket_.cancel(ignored);
            });
        }
        const TimePoint limit = currentTime() + state_->options_.readTimeout;
        error_code error;
        while (!error && !parser.is_done()) {
            error = runBefore(
                socket_, limit, [&](error_code& result) { readSome(socket_, buffer_, parser, maxBuffered_, result); });
            if (memory_ && (memory_->isRevoked() || !memory_->resize(parser.bodySize())))
                return boost::asio::error::no_memory;
        }
        return error;
    }

    // Waits for the first byte of a request. The limit is read again when it has passed, because it may have been
    // raised meanwhile: callers then expect the connection to stay open for longer.
    bool awaitRequest()
    {
        if (buffer_.size() > 0)
            return true;
        if (state_->draining_ && peekPeer(socket_) != PeerSign::Sent)
            return false;
        const TimePoint idleSince = currentTime();
        error_code error = boost::asio::error::timed_out;
        idle_ = true;
        while (error == boost::asio::error::timed_out && currentTime() < idleSince + state_->options_.idleTimeout) {
            error = runBefore(socket_, idleSince + state_->options_.idleTimeout,
                [&](error_code& result) { socket_.async_wait(tcp::socket::wait_read, FiberToken{result}); });
        }
        idle_ = false;
        return !error;
    }

    void rejectRequest(HttpFault fault)
    {
        keepAlive_ = false;
        if (!state_->options_.faultResponse)
            return;
        if (respond(state_->options_.faultResponse(fault)).ok())
            discardRest();
    }

    // Reads what the peer still sends. Closing a socket with unread bytes resets the connection, and the reset makes
    // the peer lose the answer.
    void discardRest()
    {
        error_code error;
        socket_.shutdown(tcp::socket::shutdown_send, error);
        const TimePoint limit = currentTime() + discardTime;
        std::array<char, discardBytes> bytes{};
        for (int reads = 0; !error && reads < maxDiscardReads; ++reads) {
            error = runBefore(socket_, limit,
                [&](error_code& result) { socket_.async_read_some(boost::asio::buffer(bytes), FiberToken{result}); });
        }
    }

    std::shared_ptr<State> state_;
    // Keeps the budget alive for `memory_`.
    std::shared_ptr<MemoryBudget> requestMemory_ = state_->options_.requestMemory;
    std::unique_ptr<MemoryBudget::Share> memory_;
    tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    std::size_t maxBuffered_ = 0;
    HttpRequest request_;
    bool busy_ = false;
    // A write waits for the peer to read.
    bool writing_ = false;
    // Waiting for the first byte of a request.
    bool idle_ = false;
    bool answered_ = false;
    bool keepAlive_ = true;
    bool watching_ = false;
    std::uint64_t exchanges_ = 0;
    TimePoint startedAt_;
    std::function<void()> peerGone_;
};

void HttpServer::State::acceptLoop()
{
    bool full = false;
    while (acceptor_.is_open()) {
        // Further connections wait in the backlog: a connection that is accepted and closed at once loses its request.
        if (connections_.size() >= options_.maxConnections) {
            if (!std::exchange(full, true))
                logChannel.warning("port {} has {} connections, further ones wait", port_, connections_.size());
            sleepFor(acceptRetryDelay);
            continue;
        }
        full = false;
        error_code error;
        tcp::socket socket(duty_.io());
        acceptor_.async_accept(socket, FiberToken{error});
        if (!acceptor_.is_open())
            return;
        if (error) {
            logChannel.warning("Cannot accept a connection on port {}: {}.", port_, error.message());
            sleepFor(acceptRetryDelay);
            continue;
        }
        socket.set_option(tcp::no_delay(true), error);
        setBuffers(socket, options_.buffers);
        auto connection = std::make_shared<Connection>(shared_from_this(), std::move(socket));
        duty_.spawn([connection] { connection->serve(); });
    }
}

void HttpServer::State::stopAccepting()
{
    draining_ = true;
    error_code ignored;
    acceptor_.close(ignored);
    for (Connection* connection : connections_)
        connection->closeIfIdle();
}

void HttpServer::State::close()
{
    stopAccepting();
    for (Connection* connection : connections_)
        connection->closeSocket();
}

absl::StatusOr<std::unique_ptr<HttpServer>> HttpServer::listen(
    Duty& duty, const Endpoint& endpoint, HttpServerOptions options, Handler handler)
{
    absl::StatusOr<tcp::acceptor> acceptor = openAcceptor(duty.io(), endpoint.address, endpoint.port);
    if (!acceptor.ok())
        return acceptor.status();
    auto state = std::make_shared<State>(duty, *std::move(acceptor), std::move(options), std::move(handler));
    duty.spawn([state] { state->acceptLoop(); });
    return std::unique_ptr<HttpServer>(new HttpServer(std::move(state)));
}

HttpServer::HttpServer(std::shared_ptr<State> state)
    : state_(std::move(state))
{
}

HttpServer::~HttpServer() { close(); }

std::uint16_t HttpServer::port() const { return state_->port_; }

std::size_t HttpServer::activeExchanges() const { return state_->activeExchanges_.load(); }

void HttpServer::setLimits(HttpServerOptions options)
{
    boost::asio::post(state_->duty_.io(),
        [state = state_, options = std::move(options)]() mutable { state->options_ = std::move(options); });
}

void HttpServer::closeAfterAnswers()
{
    boost::asio::post(state_->duty_.io(), [state = state_] { state->closeAfterAnswers_ = true; });
}

void HttpServer::stopAccepting()
{
    boost::asio::post(state_->duty_.io(), [state = state_] { state->stopAccepting(); });
}

void HttpServer::close()
{
    boost::asio::post(state_->duty_.io(), [state = state_] { state->close(); });
}

} // namespace lychee
