#include "transport/HttpClient.h"

#include "transport/Containment.h"
#include "transport/HttpHead.h"
#include "transport/HttpParser.h"
#include "transport/SocketOperation.h"

#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>

#include <absl/strings/numbers.h>

#include <array>
#include <deque>

namespace lychee {

namespace {

namespace http = boost::beast::http;
using boost::asio::ip::tcp;
using boost::system::error_code;

// Idle connections that are kept for each endpoint.
constexpr std::size_t maxIdleConnections = 64;

// Idle connections older than this are closed; shorter than the idle limit of usual servers and middleboxes.
constexpr Duration maxIdleAge = std::chrono::seconds(20);

// A connection is not used in the last part of the idle time that its peer announced, because the peer's close may
// already be on its way.
constexpr Duration announcedIdleMargin = std::chrono::milliseconds(500);

// Answers to earlier requests that are skipped on one connection before it is given up.
constexpr int maxSkippedAnswers = 2;
constexpr std::size_t maxSkippedBytes = std::size_t{1} << 20;

// Interim answers (status 1xx) that may precede an answer.
constexpr int maxInterimAnswers = 8;
constexpr int firstInterimStatus = 100;
constexpr int switchingProtocolsStatus = 101;
constexpr int firstFinalStatus = 200;
constexpr int lastFinalStatus = 599;

// Of the head of an answer. Extensions of chunks and the fields behind the last one are held to the same limit by the
// size of the buffer, in which each must stand whole.
constexpr std::uint32_t maxHeaderBytes = 32768;
constexpr std::size_t maxBufferBytes = maxHeaderBytes;

// The age of idle connections counts suspension of the machine, in which the peer may have closed them.
TimePoint poolTime() { return Duty::current()->clock()->nowWithSuspension(); }

} // namespace

class HttpClient::Connection {
public:
    explicit Connection(OpenedConnection opened)
        : socket_(std::move(opened.socket))
        , retired_(std::move(opened.retired))
        , confirmEnd_(std::move(opened.confirmEnd))
        , received_(std::move(opened.received))
    {
    }

    tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    // Whether the peer has closed the connection or has sent bytes that nobody asked for.
    bool isSpoiled() { return peekPeer(socket_) != PeerSign::Silent; }

    // Reads from the socket and counts the bytes. For readSome() and readHead().
    auto source()
    {
        return [this](const boost::asio::mutable_buffer& space, error_code& error) {
            const std::size_t count = socket_.async_read_some(space, FiberToken{error});
            if (received_)
                *received_ += count;
            return count;
        };
    }

    // Closes without delivering what is still on its way. After a plain close the system goes on sending, and a request
    // that was held up by a cut would reach its peer long after it was given up.
    void reset()
    {
        error_code ignored;
        socket_.set_option(boost::asio::socket_base::linger(true, 0), ignored);
        socket_.close(ignored);
    }

    // Ends the operation in progress.
    void cancel()
    {
        error_code ignored;
        socket_.cancel(ignored);
    }

    bool isUsable(Duration maxIdle) const
    {
        return poolTime() - idleSince_ <= std::min({maxIdle, maxIdleAge, announcedIdle_});
    }

    bool isRetired() const { return retired_ && *retired_; }

    TimePoint idleSince_;
    Duration announcedIdle_ = Duration::max();
    ConnectionUse use_ = ConnectionUse::First;
    std::shared_ptr<const bool> retired_;
    std::function<bool()> confirmEnd_;
    std::shared_ptr<std::uint64_t> received_;
};

class HttpClient::Pool {
public:
    std::unique_ptr<Connection> take(const Endpoint& endpoint, Duration maxIdle)
    {
        const auto found = idle_.find(endpoint);
        if (found == idle_.end())
            return nullptr;
        auto& idle = found->second;
        std::erase_if(idle, [](const auto& connection) { return connection->isRetired(); });
        std::unique_ptr<Connection> connection;
        while (!idle.empty() && idle.back()->isUsable(maxIdle)) {
            connection = std::move(idle.back());
            idle.pop_back();
            if (!connection->isSpoiled()) {
                connection->use_ = ConnectionUse::Reused;
                break;
            }
            connection = nullptr;
        }
        while (!idle.empty() && !idle.front()->isUsable(maxIdleAge))
            idle.pop_front();
        if (idle.empty())
            idle_.erase(found);
        return connection;
    }

    void put(const Endpoint& endpoint, std::unique_ptr<Connection> connection)
    {
        auto& idle = idle_[endpoint];
        connection->idleSince_ = poolTime();
        if (idle.size() >= maxIdleConnections)
            idle.pop_front();
        idle.push_back(std::move(connection));
    }

    void forget(const Endpoint& endpoint) { idle_.erase(endpoint); }

    void closeRetired()
    {
        for (auto& [endpoint, idle] : idle_)
            std::erase_if(idle, [](const auto& connection) { return connection->isRetired(); });
    }

private:
    std::map<Endpoint, std::deque<std::unique_ptr<Connection>>> idle_;
};

class HttpClient::Stream final : public HttpStream {
public:
    Stream(std::shared_ptr<Pool> pool, ConnectionOpener* opener, Endpoint endpoint,
        std::unique_ptr<Connection> connection, HttpCallLimits limits)
        : pool_(std::move(pool))
        , opener_(opener)
        , endpoint_(std::move(endpoint))
        , connection_(std::move(connection))
        , limits_(std::move(limits))
        , isDirect_(!connection_->confirmEnd_)
    {
        if (limits_.cancellation) {
            limits_.cancellation->setAbort([this] {
                if (connection_)
                    connection_->cancel();
            });
        }
    }

    ~Stream() override
    {
        if (limits_.cancellation)
            limits_.cancellation->setAbort(nullptr);
        if (connection_ && !(parser_ && parser_->is_done()))
            connection_->reset();
    }

    // Sends the request. A peer may answer and stop reading before it has the whole body, so a failed write is not
    // the end of the call.
    error_code write(const HttpRequest& request)
    {
        const std::string head = requestHead(request, endpoint_);
        // The body is not copied, because it may be held for as long as the peer does not answer.
        const std::array<boost::asio::const_buffer, 2> message{
            boost::asio::buffer(head), boost::asio::buffer(request.body)};
        const error_code error = runBefore(connection_->socket_, nextDeadline(limits_.interByteTimeout),
            [&](error_code& result) { boost::asio::async_write(connection_->socket_, message, FiberToken{result}); });
        wholeRequestSent_ = !error;
        isHead_ = request.method == "HEAD";
        return error;
    }

    // Reads the header of the answer that belongs to the request.
    absl::Status readHeader()
    {
        int interim = 0;
        for (int skipped = 0; skipped <= maxSkippedAnswers; ++skipped) {
            absl::Status status = readNextHeader();
            while (status.ok() && isInterim() && interim++ < maxInterimAnswers)
                status = readNextHeader();
            if (!status.ok())
                return status;
            if (this->status() < firstFinalStatus || this->status() > lastFinalStatus)
                return makeError(TransportError::MessageMalformed, "the answer has no final status");
            if (!limits_.belongs || limits_.belongs(headers_, connection_->use_))
                return status;
            status = skipBody();
            if (!status.ok())
                return status;
        }
        return makeError(TransportError::MessageMalformed, "the answers belong to other requests");
    }

    int status() const override { return parser_->status(); }

    const HttpHeaders& headers() const override { return headers_; }

    bool isDelimited() const override { return !parser_->need_eof(); }

    bool isDirect() const override { return isDirect_; }

    void drain(std::size_t maxBytes, Duration maxTime) override
    {
        limits_.deadline = std::min(limits_.deadline, currentTime() + maxTime);
        limits_.mayGiveUp = nullptr;
        for (std::size_t bytes = 0; bytes <= maxBytes;) {
            const auto piece = read();
            if (!piece.ok() || !piece->has_value())
                return;
            bytes += (*piece)->size();
        }
    }

    absl::StatusOr<std::optional<std::string>> read() override
    {
        absl::StatusOr<std::optional<std::string>> piece = readPiece();
        if (piece.ok() && !piece->has_value())
            recycle();
        return piece;
    }

    void setInterByteTimeout(Duration limit) override { limits_.interByteTimeout = limit; }

    void cancelRead() override
    {
        if (connection_)
            connection_->cancel();
    }

private:
    // Whether the header is that of an interim answer, other than a switch to another protocol.
    bool isInterim() const
    {
        return status() >= firstInterimStatus && status() < firstFinalStatus && status() != switchingProtocolsStatus;
    }

    absl::Status readNextHeader()
    {
        parser_.emplace();
        parser_->skip(isHead_);
        parser_->header_limit(maxHeaderBytes);
        parser_->body_limit(limits_.maxBodyBytes);
        if (isCancelled())
            return cancelled();
        const auto source = connection_->source();
        const error_code error = awaitPeer(std::min(limits_.interByteTimeout, limits_.headerTimeout),
            [&](error_code& result) { readHead(source, connection_->buffer_, *parser_, maxBufferBytes, result); });
        if (error)
            return failure(error, "read header");
        headers_ = parser_->takeHeaders();
        return absl::OkStatus();
    }

    absl::Status skipBody()
    {
        if (!parser_->keep_alive())
            return makeError(TransportError::ConnectionClosed, "the connection ends with an answer to another request");
        for (std::size_t bytes = 0; bytes <= maxSkippedBytes;) {
            const auto piece = readPiece();
            if (!piece.ok())
                return piece.status();
            if (!piece->has_value())
                return absl::OkStatus();
            bytes += (*piece)->size();
        }
        return makeError(TransportError::MessageTooLarge, "the answer to another request is too long to be skipped");
    }

    absl::StatusOr<std::optional<std::string>> readPiece()
    {
        while (!parser_->is_done()) {
            if (isCancelled())
                return cancelled();
            const auto source = connection_->source();
            const error_code error = awaitPeer(limits_.interByteTimeout,
                [&](error_code& result) { readSome(source, connection_->buffer_, *parser_, maxBufferBytes, result); });
            if (error)
                return failure(error, "read body");
            if (parser_->hasPiece())
                return parser_->takePiece();
        }
        // The failed write has taken the error of the socket, so a reset looks like a regular end to the reads after
        // it.
        if (!isDelimited() && !wholeRequestSent_)
            return failure(boost::asio::error::connection_reset, "read body");
        if (!isDelimited() && !isDirect_ && !connection_->confirmEnd_())
            return failure(boost::asio::error::connection_reset, "read body");
        return std::nullopt;
    }

    bool isCancelled() const { return limits_.cancellation && limits_.cancellation->isRequested(); }

    absl::Status cancelled()
    {
        connection_->reset();
        return makeError(TransportError::Stopped, "the call was cancelled");
    }

    // Runs a read until it completes or the call is given up. A read that was interrupted can be started again, because
    // the bytes that it has read are in the buffer.
    template <typename Read> error_code awaitPeer(Duration limit, const Read& read)
    {
        while (true) {
            error_code error;
            const bool sound = runContained(
                "reading an answer", [&] { error = runBefore(connection_->socket_, nextDeadline(limit), read); });
            if (!sound)
                return http::error::bad_field;
            const bool silent = error == boost::asio::error::timed_out && currentTime() < limits_.deadline;
            if (!silent || isCancelled() || !limits_.mayGiveUp || limits_.mayGiveUp())
                return error;
        }
    }

    TimePoint nextDeadline(Duration limit) const { return std::min(limits_.deadline, currentTime() + limit); }

    absl::Status failure(const error_code& error, std::string_view doing)
    {
        connection_->reset();
        // Connections that went silent together are not tried one after another.
        if (error == boost::asio::error::timed_out) {
            pool_->forget(endpoint_);
            if (opener_)
                opener_->wentSilent(endpoint_);
        }
        if (error == http::error::body_limit || error == http::error::header_limit
            || error == http::error::buffer_overflow)
            return makeError(TransportError::MessageTooLarge, error.message());
        if (error.category() == http::make_error_code(http::error::bad_version).category()
            && error != http::error::end_of_stream && error != http::error::partial_message)
            return makeError(TransportError::MessageMalformed, error.message());
        return socketError(error, doing);
    }

    // Only a connection whose answer was read to its end may carry another request.
    void recycle()
    {
        if (!connection_ || !wholeRequestSent_ || !parser_->keep_alive() || connection_->buffer_.size() != 0
            || connection_->isRetired())
            return;
        connection_->announcedIdle_ = announcedIdle();
        connection_->buffer_.shrink_to_fit();
        pool_->put(endpoint_, std::move(connection_));
    }

    // The idle time that the peer announced, less a margin.
    Duration announcedIdle() const
    {
        const std::optional<std::string_view> value = headers_.find("Keep-Alive");
        constexpr std::string_view key = "timeout=";
        const std::size_t start = value ? value->find(key) : std::string_view::npos;
        if (start == std::string_view::npos)
            return Duration::max();
        std::string_view text = value->substr(start + key.size());
        text = text.substr(0, text.find_first_not_of("0123456789"));
        std::uint32_t seconds = 0;
        if (!absl::SimpleAtoi(absl::string_view(text.data(), text.size()), &seconds))
            return Duration::max();
        return std::chrono::seconds(seconds) - announcedIdleMargin;
    }

    std::shared_ptr<Pool> pool_;
    ConnectionOpener* opener_;
    Endpoint endpoint_;
    std::unique_ptr<Connection> connection_;
    HttpCallLimits limits_;
    bool isDirect_;
    bool wholeRequestSent_ = false;
    // The answers have no body, whatever their headers say.
    bool isHead_ = false;
    std::optional<HttpResponseParser> parser_;
    HttpHeaders headers_;
};

HttpClient::HttpClient(const SocketBuffers& buffers)
    : pool_(std::make_shared<Pool>())
    , buffers_(buffers)
{
}

HttpClient::HttpClient(ConnectionOpener& opener)
    : pool_(std::make_shared<Pool>())
    , opener_(&opener)
{
}

HttpClient::~HttpClient() = default;

absl::StatusOr<std::unique_ptr<HttpClient::Connection>> HttpClient::connect(
    Endpoint endpoint, const HttpCallLimits& limits)
{
    if (opener_) {
        absl::StatusOr<OpenedConnection> opened = opener_->open(endpoint, limits.connectTimeout, limits.deadline);
        if (!opened.ok())
            return opened.status();
        return std::make_unique<Connection>(*std::move(opened));
    }
    absl::StatusOr<tcp::socket> socket = connectSocket(
        endpoint.address, endpoint.port, std::min(limits.deadline, currentTime() + limits.connectTimeout), buffers_);
    if (!socket.ok())
        return socket.status();
    return std::make_unique<Connection>(OpenedConnection{*std::move(socket), nullptr});
}

HttpOutcome<std::unique_ptr<HttpStream>> HttpClient::open(
    Endpoint endpoint, const HttpRequest& request, const HttpCallLimits& limits)
{
    if (!limits.freshConnection) {
        if (std::unique_ptr<Connection> connection = pool_->take(endpoint, limits.maxIdle)) {
            auto outcome = openOn(std::move(connection), endpoint, request, limits);
            const bool closedWhileIdle = errorOf<TransportError>(outcome.status) == TransportError::ConnectionClosed;
            if (!limits.repeatable || !closedWhileIdle)
                return outcome;
            pool_->forget(endpoint);
        }
    }
    if (limits.pooledOnly)
        return {makeError(TransportError::ConnectionClosed, "no established connection"), false, nullptr};
    absl::StatusOr<std::unique_ptr<Connection>> connection = connect(endpoint, limits);
    if (!connection.ok())
        return {connection.status(), false, nullptr};
    return openOn(*std::move(connection), endpoint, request, limits);
}

HttpOutcome<std::unique_ptr<HttpStream>> HttpClient::openOn(
    std::unique_ptr<Connection> connection, Endpoint endpoint, const HttpRequest& request, const HttpCallLimits& limits)
{
    if (limits.cancellation && limits.cancellation->isRequested())
        return {makeError(TransportError::Stopped, "the call was cancelled"), false, nullptr};
    auto stream = std::make_unique<Stream>(pool_, opener_, endpoint, std::move(connection), limits);
    const error_code error = stream->write(request);
    if (error && error != boost::asio::error::broken_pipe && error != boost::asio::error::connection_reset)
        return {socketError(error, "write request"), true, nullptr};
    // After a failed write an early answer may still wait in the receive buffer.
    const absl::Status status = stream->readHeader();
    if (!status.ok())
        return {status, true, nullptr};
    return {absl::OkStatus(), true, std::move(stream)};
}

HttpOutcome<HttpResponse> HttpClient::call(Endpoint endpoint, const HttpRequest& request, const HttpCallLimits& limits)
{
    auto opened = open(endpoint, request, limits);
    if (!opened.status.ok())
        return {opened.status, opened.sent, {}};
    HttpOutcome<HttpResponse> outcome{absl::OkStatus(), true, {}, opened.answer->isDirect()};
    outcome.answer.status = opened.answer->status();
    outcome.answer.headers = opened.answer->headers();
    while (true) {
        absl::StatusOr<std::optional<std::string>> piece = opened.answer->read();
        if (!piece.ok()) {
            outcome.status = piece.status();
            return outcome;
        }
        if (!piece->has_value())
            return outcome;
        outcome.answer.body += **piece;
    }
}

void HttpClient::forget(const Endpoint& endpoint) { pool_->forget(endpoint); }

void HttpClient::closeRetired() { pool_->closeRetired(); }

} // namespace lychee
