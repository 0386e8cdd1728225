// Time limits for operations on sockets, on the runtime clock.
#pragma once

#include "transport/Duty.h"
#include "transport/FiberToken.h"
#include "transport/TransportError.h"

#include <absl/cleanup/cleanup.h>

#include <boost/asio/error.hpp>
#include <boost/asio/ip/tcp.hpp>

namespace lychee {

// Runs `operation(error)`, which suspends the fiber on `socket`, and cancels it at `deadline`. Returns timed_out then,
// or operation_aborted when the duty is being stopped: the stop ends every timed wait early, and callers that wait
// again after a timeout would keep the duty from stopping. An operation that ended at the deadline by itself keeps its
// error: the system reports a reset once, and the next read would see a regular end.
template <typename Operation>
boost::system::error_code runBefore(boost::asio::ip::tcp::socket& socket, TimePoint deadline, Operation&& operation)
{
    Timers& timers = Duty::current()->timers();
    bool expired = false;
    TimerId timer = TimerId::None;
    if (deadline != TimePoint::max()) {
        timer = timers.at(deadline, [&] {
            expired = true;
            boost::system::error_code ignored;
            socket.cancel(ignored);
        });
    }
    boost::system::error_code error;
    {
        // Also after an exception, because the timer refers to this frame.
        const absl::Cleanup cancelTimer = [&] { timers.cancel(timer); };
        operation(error);
    }
    if (!expired || error != boost::asio::error::operation_aborted)
        return error;
    return Duty::current()->isStopping() ? boost::asio::error::operation_aborted : boost::asio::error::timed_out;
}

// Converts an error of a socket to a status of this layer.
inline absl::Status socketError(const boost::system::error_code& error, std::string_view doing)
{
    const std::string detail = fmt::format("{}: {}", doing, error.message());
    if (error == boost::asio::error::timed_out)
        return makeError(TransportError::TimedOut, detail);
    return makeError(TransportError::ConnectionClosed, detail);
}

// What a look at a socket shows without reading from it.
enum class PeerSign {
    // The connection stands and no byte waits.
    Silent,
    // Bytes wait to be read.
    Sent,
    // The peer has closed or reset the connection.
    Gone,
};

PeerSign peekPeer(boost::asio::ip::tcp::socket& socket);

// Bytes that the system may hold for one connection; it holds up to about twice as many. 0 leaves them to the system,
// which raises them to several megabytes for a peer that reads slowly.
struct SocketBuffers {
    int send = 0;
    int receive = 0;
};

void setBuffers(boost::asio::ip::tcp::socket& socket, const SocketBuffers& buffers);

// Whether the system takes bytes for the peer now.
bool isWritable(boost::asio::ip::tcp::socket& socket);

// Connects to a numeric address. The socket has Nagle's algorithm off, because tokens are small and must not wait. Like
// all functions that suspend, it takes by value what its caller may not own: another fiber can end the owner meanwhile.
// Fails with TransportError::ConnectFailed only when the endpoint refuses the connection, which shows that nothing
// listens there.
absl::StatusOr<boost::asio::ip::tcp::socket> connectSocket(
    std::string address, std::uint16_t port, TimePoint deadline, const SocketBuffers& buffers = {});

// Opens a listening socket; port 0 takes any free port.
absl::StatusOr<boost::asio::ip::tcp::acceptor> openAcceptor(
    boost::asio::io_context& io, const std::string& address, std::uint16_t port);

} // namespace lychee
