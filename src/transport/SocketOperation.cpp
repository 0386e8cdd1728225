#include "transport/SocketOperation.h"

#include <poll.h>
#include <sys/socket.h>

#include <cerrno>

namespace lychee {

namespace {

using boost::asio::ip::tcp;

// Connections that wait to be accepted.
constexpr int listenBacklog = 1024;

absl::StatusOr<tcp::endpoint> toEndpoint(const std::string& address, std::uint16_t port)
{
    boost::system::error_code error;
    const auto parsed = boost::asio::ip::make_address(address, error);
    if (error)
        return makeError(TransportError::AddressInvalid, address);
    return tcp::endpoint(parsed, port);
}

} // namespace

PeerSign peekPeer(tcp::socket& socket)
{
    char byte = 0;
    const ssize_t count = ::recv(socket.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    if (count > 0)
        return PeerSign::Sent;
    if (count < 0 && (errno == EAGAIN || errno == EWOULDBLOCK || errno == EINTR))
        return PeerSign::Silent;
    return PeerSign::Gone;
}

void setBuffers(tcp::socket& socket, const SocketBuffers& buffers)
{
    boost::system::error_code ignored;
    if (buffers.send > 0)
        socket.set_option(boost::asio::socket_base::send_buffer_size(buffers.send), ignored);
    if (buffers.receive > 0)
        socket.set_option(boost::asio::socket_base::receive_buffer_size(buffers.receive), ignored);
}

bool isWritable(tcp::socket& socket)
{
    pollfd entry{socket.native_handle(), POLLOUT, 0};
    return ::poll(&entry, 1, 0) == 1 && (entry.revents & POLLOUT) != 0;
}

absl::StatusOr<tcp::socket> connectSocket(
    std::string address, std::uint16_t port, TimePoint deadline, const SocketBuffers& buffers)
{
    const absl::StatusOr<tcp::endpoint> endpoint = toEndpoint(address, port);
    if (!endpoint.ok())
        return endpoint.status();
    tcp::socket socket(Duty::current()->io());
    boost::system::error_code error;
    socket.open(endpoint->protocol(), error);
    if (error)
        return makeError(TransportError::Unreachable, error.message());
    setBuffers(socket, buffers);
    error = runBefore(socket, deadline,
        [&](boost::system::error_code& result) { socket.async_connect(*endpoint, FiberToken{result}); });
    if (error == boost::asio::error::timed_out)
        return makeError(TransportError::TimedOut, fmt::format("connect to {}:{}", address, port));
    if (error) {
        const bool isRefused = error == boost::asio::error::connection_refused;
        return makeError(isRefused ? TransportError::ConnectFailed : TransportError::Unreachable,
            fmt::format("{}:{}: {}", address, port, error.message()));
    }
    socket.set_option(tcp::no_delay(true), error);
    return socket;
}

absl::StatusOr<tcp::acceptor> openAcceptor(boost::asio::io_context& io, const std::string& address, std::uint16_t port)
{
    const absl::StatusOr<tcp::endpoint> endpoint = toEndpoint(address, port);
    if (!endpoint.ok())
        return endpoint.status();
    tcp::acceptor acceptor(io);
    boost::system::error_code error;
    acceptor.open(endpoint->protocol(), error);
    if (!error)
        acceptor.set_option(tcp::acceptor::reuse_address(true), error);
    if (!error)
        acceptor.bind(*endpoint, error);
    if (!error)
        acceptor.listen(listenBacklog, error);
    if (error)
        return makeError(TransportError::BindFailed, fmt::format("{}:{}: {}", address, port, error.message()));
    return acceptor;
}

} // namespace lychee
