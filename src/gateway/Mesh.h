// Connections between the instances of a deployment; each instance is connected to every other one.
#pragma once

#include "gateway/MeshMessages.h"
#include "transport/FrameConnection.h"

#include <map>
#include <set>

namespace lychee::gateway {

struct MeshOptions {
    InstanceId self;
    // Address on which this instance accepts connections from peers.
    Endpoint listen;
    // What the peers need to have this instance open tunnels.
    std::uint16_t tunnelPort = 0;
    std::string dataCentre;
    double capacity = 0;
};

struct MeshHandlers {
    // Called when a peer that had no connection is connected.
    std::function<void(const MeshHello&)> joined;
    // Runs in the fiber of the connection.
    std::function<void(const InstanceId&, const MeshMessage&)> received;
    // Called when the connection to a peer has ended and no other one has replaced it.
    std::function<void(const InstanceId&)> lost;
};

// Must be used only from the duty that it runs on.
class Mesh {
public:
    // Starts listening and starts the task that connects to peers. Fails with TransportError::BindFailed when the
    // address cannot be bound.
    static absl::StatusOr<std::unique_ptr<Mesh>> start(Duty& duty, MeshOptions options, MeshHandlers handlers);

    // Replaces the set of peer addresses. The mesh keeps trying to connect to each of them; open connections to others
    // are not closed.
    void setPeerAddresses(std::set<Endpoint> addresses);

    // Sends a message to all connected peers. Failures are only logged.
    void broadcast(const MeshMessage& message);

    // Fails with TransportError::Stopped when there is no connection, or with the error of the connection.
    absl::Status send(const InstanceId& peer, const MeshMessage& message);

    bool isConnected(const InstanceId& peer) const { return peers_.contains(peer); }

    // The connected instances, this one excluded.
    std::vector<InstanceId> peers() const;

    // Number of connected instances, this one excluded.
    std::size_t peerCount() const { return peers_.size(); }

private:
    struct Peer {
        Endpoint endpoint;
        std::shared_ptr<FrameConnection> connection;
        // The instance that opened the connection.
        InstanceId initiator;
    };

    enum class Direction {
        Opened,
        Accepted,
    };

    Mesh(Duty& duty, MeshOptions options, MeshHandlers handlers);

    void connectLoop();
    void connect(const Endpoint& endpoint);
    void serve(const std::shared_ptr<FrameConnection>& connection, Direction direction);
    bool isPreferred(const InstanceId& peer, const InstanceId& initiator) const;
    // Returns why the connection has ended.
    absl::Status receiveUntilClosed(const InstanceId& peer, const std::shared_ptr<FrameConnection>& connection);
    bool isConnectedTo(const Endpoint& endpoint) const;

    Duty& duty_;
    MeshOptions options_;
    MeshHandlers handlers_;
    std::unique_ptr<FrameListener> listener_;
    std::map<InstanceId, Peer> peers_;
    std::set<Endpoint> peerAddresses_;
    std::set<Endpoint> connecting_;
    std::map<Endpoint, TimePoint> retryAt_;
    std::map<Endpoint, Duration> retryDelay_;
};

} // namespace lychee::gateway
