// Tunnels: TCP connections that another process opens to an endpoint on behalf of this one, with the CONNECT method of
// HTTP. After the answer the bytes of both sides pass unchanged, with the way in which each side ends.
//
// A regular end may also be that of the other process, so it counts as the end of the endpoint only once the other
// process has stated it: the answer to CONNECT names the tunnel (Tunnel-Id), and GET /tunnels/ID then tells how many
// bytes (Tunnel-Bytes) an endpoint that has ended regularly had sent.
#pragma once

#include "transport/Duty.h"
#include "transport/HttpClient.h"
#include "transport/HttpMessage.h"
#include "transport/SocketOperation.h"

#include <absl/status/statusor.h>

#include <functional>
#include <memory>

namespace lychee {

struct TunnelServerOptions {
    std::size_t maxTunnels = 256;
    // Longest time to connect to an endpoint, whatever the request says.
    Duration maxConnectTime = std::chrono::seconds(1);
    // A tunnel through which no byte passes for this time is reset.
    Duration maxIdle = std::chrono::minutes(2);
    // Whether a tunnel may be opened for a process on this address to this endpoint.
    std::function<bool(const std::string& address, const Endpoint& endpoint)> mayOpen;
    // Connects to an endpoint.
    std::function<absl::StatusOr<boost::asio::ip::tcp::socket>(const Endpoint& endpoint, TimePoint deadline)> connect
        = [](const Endpoint& endpoint, TimePoint deadline) {
              return connectSocket(endpoint.address, endpoint.port, deadline);
          };
    // Of the connections on which requests for tunnels arrive.
    SocketBuffers buffers;
};

// Opens tunnels for other processes. Its fibers run on one duty.
class TunnelServer {
public:
    // Port 0 takes any free port. Fails with TransportError::BindFailed or AddressInvalid.
    static absl::StatusOr<std::unique_ptr<TunnelServer>> listen(
        Duty& duty, const Endpoint& endpoint, TunnelServerOptions options);

    // Closes the listening socket. The tunnels stay open until one of their sides ends.
    ~TunnelServer();

    std::uint16_t port() const;

    // Number of open tunnels. Thread-safe.
    std::size_t active() const;

    // Declines further requests for tunnels. Thread-safe.
    void declineAll();

private:
    class State;

    explicit TunnelServer(std::shared_ptr<State> state);

    std::shared_ptr<State> state_;
};

// Has the tunnel server at `server` connect to `endpoint`, which it may try until `connectTime` is over. Fails with
// TransportError::ConnectFailed when the endpoint refuses connections, TimedOut when it does not answer, and Stopped
// when the server cannot be reached or declines.
absl::StatusOr<OpenedConnection> openTunnel(
    Endpoint server, Endpoint endpoint, Duration connectTime, const SocketBuffers& buffers = {});

} // namespace lychee
