#include "transport/FrameConnection.h"

#include "transport/Log.h"
#include "transport/MemoryBudget.h"
#include "transport/SocketOperation.h"

#include <boost/asio/post.hpp>
#include <boost/beast/core/buffers_suffix.hpp>

#include <algorithm>
#include <array>
#include <deque>
#include <set>
#include <vector>

namespace lychee {

namespace {

using boost::asio::ip::tcp;
using boost::system::error_code;

constexpr LogChannel logChannel("frame");

constexpr std::size_t lengthBytes = 4;

// Frames that may wait for a slow peer.
constexpr std::size_t maxQueuedFrames = 1024;

// Bytes that may wait for a slow peer, in addition to one frame.
constexpr std::size_t maxQueuedBytes = std::size_t{1024} * 1024;

// The part of the machine's memory for the frames of a duty.
constexpr std::size_t frameMemoryDivisor = 16;

// What the system holds for one peer.
constexpr SocketBuffers socketBuffers{65536, 0};

// Frames that wait are written together up to this size, at least one.
constexpr std::size_t maxWriteBytes = 65536;

// Longest time in which a peer takes no byte that waits for it.
constexpr Duration maxWriteSilence = std::chrono::seconds(5);

constexpr Duration acceptRetryDelay = std::chrono::milliseconds(20);

class TcpFrameConnection;

// What the frames of one duty hold, and the connections on which they wait.
struct FrameMemory {
    std::size_t capacity = machineMemory() / frameMemoryDivisor;
    std::size_t held = 0;
    // The part of it that connections which were closed return as soon as their writes have ended.
    std::size_t returning = 0;
    std::set<TcpFrameConnection*> connections;
};

// The memory of the duty on which it is called.
const std::shared_ptr<FrameMemory>& frameMemory()
{
    thread_local const auto memory = std::make_shared<FrameMemory>();
    return memory;
}

std::array<char, lengthBytes> encodeLength(std::size_t length)
{
    std::array<char, lengthBytes> bytes{};
    for (std::size_t i = 0; i < lengthBytes; ++i)
        bytes[i] = static_cast<char>((length >> (8 * (lengthBytes - 1 - i))) & 0xff);
    return bytes;
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
        setBuffers(socket_, socketBuffers);
        memory_->connections.insert(this);
    }

    ~TcpFrameConnection() override { memory_->connections.erase(this); }

    using FrameConnection::send;

    absl::Status send(SharedFrame frame) override
    {
        const std::size_t size = frame.payload().size();
        if (size > maxFrameBytes)
            return makeError(TransportError::FrameTooLong, fmt::format("{} bytes", size));
        if (closed_)
            return makeError(TransportError::Stopped, "connection is closed");
        if (queue_.size() >= maxQueuedFrames || (!queue_.empty() && heldBytes_ + size > maxQueuedBytes))
            return makeError(TransportError::RingFull, "peer does not keep up");
        heldBytes_ += size;
        queue_.push_back(std::move(frame));
        closeSlowestPeers();
        if (closed_)
            return makeError(TransportError::Stopped, "connection is closed");
        if (!writing_) {
            writing_ = true;
            Duty::current()->spawn([self = shared_from_this()] { self->writeLoop(); });
        }
        return absl::OkStatus();
    }

    absl::StatusOr<std::string> receive(Duration maxSilence, TimePoint deadline) override
    {
        std::array<char, lengthBytes> header{};
        const ReadLimits limits{maxSilence, deadline};
        absl::Status status = readExactly(header.data(), header.size(), limits, TransportError::ConnectionClosed);
        if (!status.ok())
            return status;
        const std::size_t length = decodeLength(header);
        if (length > maxFrameBytes) {
            close();
            return makeError(TransportError::FrameTooLong, fmt::format("{} bytes announced", length));
        }
        std::string payload(length, '\0');
        status = readExactly(payload.data(), length, limits, TransportError::FrameTruncated);
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

    TimePoint lastReceivedAt() const override { return lastReceivedAt_; }

private:
    struct ReadLimits {
        Duration maxSilence;
        TimePoint deadline;
    };

    absl::Status readExactly(char* data, std::size_t size, const ReadLimits& limits, TransportError atEnd)
    {
        const auto self = shared_from_this();
        std::size_t count = 0;
        error_code error;
        while (!error && count < size) {
            const TimePoint silentAt
                = limits.maxSilence == Duration::max() ? TimePoint::max() : currentTime() + limits.maxSilence;
            error = runBefore(socket_, std::min(limits.deadline, silentAt), [&](error_code& result) {
                count += socket_.async_read_some(boost::asio::buffer(data + count, size - count), FiberToken{result});
            });
            if (!error)
                lastReceivedAt_ = currentTime();
        }
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

    // Closes connections until the frames of the duty fit into their memory.
    void closeSlowestPeers()
    {
        while (memory_->held > memory_->capacity + memory_->returning) {
            const auto most = std::max_element(memory_->connections.begin(), memory_->connections.end(),
                [](const auto* one, const auto* other) { return one->heldBytes_ < other->heldBytes_; });
            if (most == memory_->connections.end() || (*most)->heldBytes_ == 0)
                return;
            logChannel.warning(
                "Closes a connection to a peer that does not keep up: {} bytes wait.", (*most)->heldBytes_);
            (*most)->giveUp();
        }
    }

    void giveUp()
    {
        close();
        queue_.clear();
        heldBytes_ = 0;
        returning_ = writingBytes_;
        memory_->returning += returning_;
    }

    void writeLoop()
    {
        while (!queue_.empty() && !closed_) {
            const std::vector<SharedFrame> frames = takeFrames();
            std::vector<std::array<char, lengthBytes>> lengths;
            lengths.reserve(frames.size());
            for (const SharedFrame& frame : frames)
                lengths.push_back(encodeLength(frame.payload().size()));
            std::vector<boost::asio::const_buffer> buffers;
            buffers.reserve(2 * frames.size());
            for (std::size_t i = 0; i < frames.size(); ++i) {
                buffers.push_back(boost::asio::buffer(lengths[i]));
                buffers.push_back(boost::asio::buffer(frames[i].payload()));
            }
            writingBytes_ = boost::asio::buffer_size(buffers);
            const error_code error = writeAll(buffers);
            if (error) {
                close();
                break;
            }
            bytesSent_ += std::exchange(writingBytes_, 0);
            for (const SharedFrame& frame : frames)
                heldBytes_ -= std::min(heldBytes_, frame.payload().size());
        }
        writing_ = false;
        // Empty already, unless the connection was closed.
        queue_.clear();
        heldBytes_ = 0;
        writingBytes_ = 0;
        memory_->returning -= std::exchange(returning_, 0);
    }

    // Writes until the peer has taken nothing for too long.
    error_code writeAll(const std::vector<boost::asio::const_buffer>& buffers)
    {
        boost::beast::buffers_suffix<std::vector<boost::asio::const_buffer>> rest(buffers);
        error_code error;
        while (!error && boost::asio::buffer_size(rest) > 0) {
            std::size_t count = 0;
            error = runBefore(socket_, currentTime() + maxWriteSilence,
                [&](error_code& result) { count = socket_.async_write_some(rest, FiberToken{result}); });
            rest.consume(count);
        }
        return error;
    }

    // Takes the frames of the next write. A broadcast of several messages then costs one system call for each peer.
    std::vector<SharedFrame> takeFrames()
    {
        std::vector<SharedFrame> frames;
        std::size_t bytes = 0;
        do {
            bytes += lengthBytes + queue_.front().payload().size();
            frames.push_back(std::move(queue_.front()));
            queue_.pop_front();
        } while (!queue_.empty() && bytes + lengthBytes + queue_.front().payload().size() <= maxWriteBytes);
        return frames;
    }

    tcp::socket socket_;
    const std::shared_ptr<FrameMemory> memory_ = frameMemory();
    std::deque<SharedFrame> queue_;
    // Frames in the queue, and those that are being written.
    std::size_t heldBytes_ = 0;
    // The latter, with their lengths.
    std::size_t writingBytes_ = 0;
    // What this connection has added to FrameMemory::returning.
    std::size_t returning_ = 0;
    bool writing_ = false;
    bool closed_ = false;
    std::uint64_t bytesSent_ = 0;
    std::uint64_t bytesReceived_ = 0;
    TimePoint lastReceivedAt_;
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

class SharedFrame::Counted {
public:
    explicit Counted(std::string payload)
        : payload_(std::move(payload))
    {
        memory_->held += payload_.size();
    }

    Counted(const Counted&) = delete;
    Counted& operator=(const Counted&) = delete;

    ~Counted() { memory_->held -= payload_.size(); }

    const std::string& payload() const { return payload_; }

private:
    const std::shared_ptr<FrameMemory> memory_ = frameMemory();
    const std::string payload_;
};

SharedFrame::SharedFrame(std::string payload)
    : counted_(std::make_shared<const Counted>(std::move(payload)))
{
}

const std::string& SharedFrame::payload() const { return counted_->payload(); }

void SharedFrame::setMemory(std::size_t bytes) { frameMemory()->capacity = bytes; }

absl::StatusOr<std::shared_ptr<FrameConnection>> FrameConnection::connect(Endpoint endpoint, TimePoint deadline)
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
