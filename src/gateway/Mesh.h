// Connections between the instances of a deployment: each is connected to all others.
#pragma once

#include "gateway/MeshMessages.h"
#include "transport/FrameConnection.h"

#include <map>
#include <set>

namespace lychee::gateway {

struct MeshOptions {
    InstanceId self;
    // Where this instance accepts connections of peers.
    Endpoint listen;
};

struct MeshHandlers {
    std::function<void(const InstanceId&)> joined;
    // Runs in the fiber of the connection.
    std::function<void(const InstanceId&, const MeshMessage&)> received;
    std::function<void(const InstanceId&)> lost;
};

// All calls come from the duty that it runs on.
class Mesh {
public:
    // Starts to accept and to keep connections. Fails with TransportError::BindFailed.
    static absl::StatusOr<std::unique_ptr<Mesh>> start(Duty& duty, MeshOptions options, MeshHandlers handlers);

    // Replaces the addresses of instances that may run; connections to them are opened and kept.
    void setPeerAddresses(std::set<Endpoint> known);

    void broadcast(const MeshMessage& message);

    // Fails with TransportError::Stopped when there is no connection, or with the error of the connection.
    absl::Status send(const InstanceId& peer, const MeshMessage& message);

    bool isConnected(const InstanceId& peer) const { return peers_.contains(peer); }

    // Instances that are connected, without this one.
    std::size_t peerCount() const { return peers_.size(); }

private:
    struct Peer {
        Endpoint endpoint;
        std::shared_ptr<FrameConnection> connection;
        // The instance that opened the connection.
        InstanceId initiator;
    };

    enum class Side {
        Opened,
        Accepted,
    };

    Mesh(Duty& duty, MeshOptions options, MeshHandlers handlers);

    void connectLoop();
    void connect(const Endpoint& endpoint);
    void serve(const std::shared_ptr<FrameConnection>& connection, Side side);
    bool isPreferred(const InstanceId& peer, const InstanceId& initiator) const;
    void receiveAll(const InstanceId& peer, const std::shared_ptr<FrameConnection>& connection);
    bool isConnectedTo(const Endpoint& endpoint) const;

    Duty& duty_;
    MeshOptions options_;
    MeshHandlers handlers_;
    std::unique_ptr<FrameListener> listener_;
    std::map<InstanceId, Peer> peers_;
    std::set<Endpoint> known_;
    std::set<Endpoint> connecting_;
    std::map<Endpoint, TimePoint> retryAt_;
    std::map<Endpoint, Duration> retryDelay_;
};

} // namespace lychee::gateway
