// Length-framed messages over TCP: a 4-byte big-endian length, then the payload.
#pragma once

#include "transport/Duty.h"
#include "transport/HttpMessage.h"

#include <absl/status/statusor.h>

namespace lychee {

// Longest payload of a frame, in bytes.
inline constexpr std::size_t maxFrameBytes = std::size_t{1024} * 1024;

// A payload that is held once, also while it waits on several connections. Used on one duty, which counts the bytes of
// all its frames.
class SharedFrame {
public:
    explicit SharedFrame(std::string payload);

    const std::string& payload() const;

    // Sets how many bytes the frames of the calling duty may hold together; a part of the machine's memory unless it is
    // set.
    static void setMemory(std::size_t bytes);

private:
    class Counted;

    std::shared_ptr<const Counted> counted_;
};

// A connection that carries frames. Used by fibers of one duty; one fiber receives, any fiber sends.
class FrameConnection {
public:
    // Connects to a peer.
    static absl::StatusOr<std::shared_ptr<FrameConnection>> connect(Endpoint endpoint, TimePoint deadline);

    virtual ~FrameConnection() = default;

    // Queues a frame for sending. Fails with RingFull when the peer does not keep up, Stopped after close(), or
    // FrameTooLong. The frames that wait on all connections of a duty share a part of the machine's memory; when it is
    // used up, the connection that holds the most is closed.
    absl::Status send(std::string payload) { return send(SharedFrame(std::move(payload))); }

    // The same for a frame that is sent to several peers.
    virtual absl::Status send(SharedFrame frame) = 0;

    // The next frame. Fails with TimedOut when no byte arrives for `maxSilence`, or at `deadline`; with FrameTooLong,
    // FrameTruncated or ConnectionClosed. A large frame on a slow link takes long without being silent.
    virtual absl::StatusOr<std::string> receive(Duration maxSilence, TimePoint deadline = TimePoint::max()) = 0;

    // Ends the connection; receive() fails from now on.
    virtual void close() = 0;

    virtual std::uint64_t bytesSent() const = 0;

    virtual std::uint64_t bytesReceived() const = 0;

    // When a byte last arrived, also of a frame that is not complete.
    virtual TimePoint lastReceivedAt() const = 0;
};

// Accepts connections that carry frames.
class FrameListener {
public:
    using Handler = std::function<void(std::shared_ptr<FrameConnection>)>;

    // Starts to listen on `duty`; the handler runs in a fiber for each connection.
    static absl::StatusOr<std::unique_ptr<FrameListener>> listen(Duty& duty, const Endpoint& endpoint, Handler handler);

    virtual ~FrameListener() = default;

    virtual std::uint16_t port() const = 0;

    // Closes the listening socket. Thread-safe.
    virtual void close() = 0;
};

} // namespace lychee
