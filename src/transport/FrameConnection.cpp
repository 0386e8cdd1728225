#include "transport/FrameConnection.h"

#include "transport/Log.h"
#include "transport/SocketOperation.h"

#include <boost/asio/post.hpp>
#include <boost/asio/read.hpp>
#include <boost/asio/write.hpp>

#include <array>
#include <deque>

namespace lychee {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr LogChannel logChannel("frame");

constexpr std::size_t lengthBytes = 4;

// Frames that may wait for a slow peer.
constexpr std::size_t maxQueuedFrames = 1024;

// Frames that wait are written together up to this size, at least one.
constexpr std::size_t maxWriteBytes = 65536;

// Longest time for one write.
constexpr Duration writeTimeout = std::chrono::seconds(5);

constexpr Duration acceptRetryDelay = std::chrono::milliseconds(20);

void appendFrame(std::string& bytes, const std::string& payload)
{
    for (std::size_t i = 0; i < lengthBytes; ++i)
        bytes.push_back(static_cast<char>((payload.size() >> (8 * (lengthBytes - 1 - i))) & 0xff));
    bytes += payload;
}

std::size_t decodeLength(const std::array<char, lengthBytes>& bytes)
{
    std::size_t length = 0;
    for (const char byte : bytes)
        length = (length << 8) | static_cast<unsigned char>(byte);
    return length;
}

class TcpFrameConnection final : public FrameConnection, public std::enable_shared_from_this<TcpFrameConnection> {
public:
    explicit TcpFrameConnection(tcp::socket socket)
        : socket_(std::move(socket))
    {
    }

    absl::Status send(std::string payload) override
    {
        if (payload.size() > maxFrameBytes)
            return makeError(TransportError::FrameTooLong, fmt::format("{} bytes", payload.size()));
        if (closed_)
            return makeError(TransportError::Stopped, "connection is closed");
        if (queue_.size() >= maxQueuedFrames)
            return makeError(TransportError::RingFull, "peer does not keep up");
        queue_.push_back(std::move(payload));
        if (!writing_) {
            writing_ = true;
            Duty::current()->spawn([self = shared_from_this()] { self->writeLoop(); });
        }
        return absl::OkStatus();
    }

    absl::StatusOr<std::string> receive(TimePoint deadline) override
    {
        std::array<char, lengthBytes> header{};
        absl::Status status = readExactly(header.data(), header.size(), deadline, TransportError::ConnectionClosed);
        if (!status.ok())
            return status;
        const std::size_t length = decodeLength(header);
        if (length > maxFrameBytes) {
            close();
            return makeError(TransportError::FrameTooLong, fmt::format("{} bytes announced", length));
        }
        std::string payload(length, '\0');
        status = readExactly(payload.data(), length, deadline, TransportError::FrameTruncated);
        if (!status.ok())
            return status;
        bytesReceived_ += lengthBytes + length;
        return payload;
    }

    void close() override
    {
        closed_ = true;
        error_code ignored;
        socket_.shutdown(tcp::socket::shutdown_both, ignored);
        socket_.close(ignored);
    }

    std::uint64_t bytesSent() const override { return bytesSent_; }

    std::uint64_t bytesReceived() const override { return bytesReceived_; }

private:
    absl::Status readExactly(char* data, std::size_t size, TimePoint deadline, TransportError atEnd)
    {
        const auto self = shared_from_this();
        std::size_t count = 0;
        const error_code error = runBefore(socket_, deadline, [&](error_code& result) {
            count = boost::asio::async_read(socket_, boost::asio::buffer(data, size), FiberToken{result});
        });
        if (!error)
            return absl::OkStatus();
        // After a partial read the stream is out of step with the frames, also when the limit ended it.
        const bool partial = count > 0;
        if (partial || error != boost::asio::error::timed_out)
            close();
        if (error == boost::asio::error::timed_out)
            return makeError(TransportError::TimedOut, "receive frame");
        return makeError(partial ? TransportError::FrameTruncated : atEnd, error.message());
    }

    void writeLoop()
    {
        while (!queue_.empty() && !closed_) {
            const std::string bytes = takeFrames();
            const error_code error = runBefore(socket_, currentTime() + writeTimeout, [&](error_code& result) {
                boost::asio::async_write(socket_, boost::asio::buffer(bytes), FiberToken{result});
            });
            if (error) {
                close();
                break;
            }
            bytesSent_ += bytes.size();
        }
        writing_ = false;
    }

    // Takes the frames of the next write. A broadcast of several messages then costs one system call for each peer.
    std::string takeFrames()
    {
        std::string bytes;
        do {
            appendFrame(bytes, queue_.front());
            queue_.pop_front();
        } while (!queue_.empty() && bytes.size() + lengthBytes + queue_.front().size() <= maxWriteBytes);
        return bytes;
    }

    tcp::socket socket_;
    std::deque<std::string> queue_;
    bool writing_ = false;
    bool closed_ = false;
    std::uint64_t bytesSent_ = 0;
    std::uint64_t bytesReceived_ = 0;
};

class TcpFrameListener final : public FrameListener {
public:
    TcpFrameListener(Duty& duty, tcp::acceptor acceptor)
        : duty_(duty)
        , acceptor_(std::make_shared<tcp::acceptor>(std::move(acceptor)))
        , port_(acceptor_->local_endpoint().port())
    {
    }

    ~TcpFrameListener() override { TcpFrameListener::close(); }

    void start(Handler handler)
    {
        duty_.spawn([&duty = duty_, acceptor = acceptor_, handler = std::move(handler)] {
            acceptLoop(duty, *acceptor, handler);
        });
    }

    std::uint16_t port() const override { return port_; }

    void close() override
    {
        boost::asio::post(duty_.io(), [acceptor = acceptor_] {
            error_code ignored;
            acceptor->close(ignored);
        });
    }

private:
    static void acceptLoop(Duty& duty, tcp::acceptor& acceptor, const Handler& handler)
    {
        while (acceptor.is_open()) {
            error_code error;
            tcp::socket socket(duty.io());
            acceptor.async_accept(socket, FiberToken{error});
            if (!acceptor.is_open())
                return;
            if (error) {
                logChannel.warning("Cannot accept a connection: {}.", error.message());
                sleepFor(acceptRetryDelay);
                continue;
            }
            socket.set_option(tcp::no_delay(true), error);
            auto connection = std::make_shared<TcpFrameConnection>(std::move(socket));
            duty.spawn([handler, connection] { handler(connection); });
        }
    }

    Duty& duty_;
    std::shared_ptr<tcp::acceptor> acceptor_;
    std::uint16_t port_;
};

} // namespace

absl::StatusOr<std::shared_ptr<FrameConnection>> FrameConnection::connect(const Endpoint& endpoint, TimePoint deadline)
{
    absl::StatusOr<tcp::socket> socket = connectSocket(endpoint.address, endpoint.port, deadline);
    if (!socket.ok())
        return socket.status();
    return std::make_shared<TcpFrameConnection>(*std::move(socket));
}

absl::StatusOr<std::unique_ptr<FrameListener>> FrameListener::listen(
    Duty& duty, const Endpoint& endpoint, Handler handler)
{
    absl::StatusOr<tcp::acceptor> acceptor = openAcceptor(duty.io(), endpoint.address, endpoint.port);
    if (!acceptor.ok())
        return acceptor.status();
    auto listener = std::make_unique<TcpFrameListener>(duty, *std::move(acceptor));
    listener->start(std::move(handler));
    return listener;
}

} // namespace lychee
