#include "gateway/Mesh.h"

#include "transport/Containment.h"
#include "transport/Log.h"
#include "transport/TransportError.h"

namespace lychee::gateway {

namespace {

constexpr LogChannel logChannel("mesh");

// The round trip between instances takes a few milliseconds.
constexpr Duration connectTimeout = std::chrono::milliseconds(500);
constexpr Duration helloTimeout = std::chrono::seconds(1);

// A peer sends its status at least once a second. A connection on which nothing arrives for longer than this is closed
// and opened again, because a middlebox may have dropped its state.
constexpr Duration receiveTimeout = std::chrono::milliseconds(2200);

// Interval of the check for missing connections, and the range of the exponential backoff for an instance that does not
// answer.
constexpr Duration connectInterval = std::chrono::milliseconds(200);
constexpr Duration firstRetryDelay = std::chrono::milliseconds(400);
constexpr Duration maxRetryDelay = std::chrono::seconds(4);

} // namespace

absl::StatusOr<std::unique_ptr<Mesh>> Mesh::start(Duty& duty, MeshOptions options, MeshHandlers handlers)
{
    std::unique_ptr<Mesh> mesh(new Mesh(duty, std::move(options), std::move(handlers)));
    auto listener = FrameListener::listen(
        duty, mesh->options_.listen, [mesh = mesh.get()](std::shared_ptr<FrameConnection> connection) {
            mesh->serve(connection, Direction::Accepted);
        });
    if (!listener.ok())
        return listener.status();
    mesh->listener_ = *std::move(listener);
    duty.spawn([mesh = mesh.get()] { mesh->connectLoop(); });
    return mesh;
}

Mesh::Mesh(Duty& duty, MeshOptions options, MeshHandlers handlers)
    : duty_(duty)
    , options_(std::move(options))
    , handlers_(std::move(handlers))
{
}

void Mesh::setPeerAddresses(std::set<Endpoint> addresses)
{
    addresses.erase(options_.listen);
    peerAddresses_ = std::move(addresses);
}

void Mesh::broadcast(const MeshMessage& message)
{
    const SharedFrame frame(encodeMeshMessage(message));
    for (const auto& [id, peer] : peers_) {
        // A failed send is not repeated: the receiver of a connection that has stalled closes it after
        // `receiveTimeout`.
        if (const absl::Status status = peer.connection->send(frame); !status.ok())
            logChannel.debug("peer={} broadcast message not sent: {}", id, messageOf(status));
    }
}

absl::Status Mesh::send(const InstanceId& peer, const MeshMessage& message)
{
    const auto found = peers_.find(peer);
    if (found == peers_.end())
        return makeError(TransportError::Stopped, "no mesh connection to the peer");
    return found->second.connection->send(encodeMeshMessage(message));
}

std::vector<InstanceId> Mesh::peers() const
{
    std::vector<InstanceId> ids;
    ids.reserve(peers_.size());
    for (const auto& [id, peer] : peers_)
        ids.push_back(id);
    return ids;
}

bool Mesh::isConnectedTo(const Endpoint& endpoint) const
{
    return std::any_of(
        peers_.begin(), peers_.end(), [&](const auto& entry) { return entry.second.endpoint == endpoint; });
}

void Mesh::connectLoop()
{
    while (!duty_.isStopping()) {
        for (const Endpoint& endpoint : peerAddresses_) {
            if (isConnectedTo(endpoint) || connecting_.contains(endpoint) || currentTime() < retryAt_[endpoint])
                continue;
            connecting_.insert(endpoint);
            duty_.spawn([this, endpoint] { connect(endpoint); });
        }
        sleepFor(connectInterval);
    }
}

void Mesh::connect(const Endpoint& endpoint)
{
    auto connection = FrameConnection::connect(endpoint, currentTime() + connectTimeout);
    if (connection.ok()) {
        retryDelay_.erase(endpoint);
        retryAt_[endpoint] = currentTime() + firstRetryDelay;
        serve(*connection, Direction::Opened);
    } else {
        Duration& delay = retryDelay_[endpoint];
        delay = delay == Duration(0) ? firstRetryDelay : std::min(2 * delay, maxRetryDelay);
        retryAt_[endpoint] = currentTime() + delay;
    }
    connecting_.erase(endpoint);
}

bool Mesh::isPreferred(const InstanceId& peer, const InstanceId& initiator) const
{
    const auto found = peers_.find(peer);
    return found == peers_.end() || initiator <= found->second.initiator;
}

void Mesh::serve(const std::shared_ptr<FrameConnection>& connection, Direction direction)
{
    const absl::Status sent = connection->send(encodeMeshMessage(MeshHello{options_.self, options_.listen.address,
        options_.listen.port, options_.tunnelPort, options_.dataCentre, options_.capacity}));
    const auto payload = connection->receive(helloTimeout, currentTime() + helloTimeout);
    if (!sent.ok() || !payload.ok())
        return connection->close();
    const auto message = decodeMeshMessage(*payload);
    const MeshHello* hello = message.ok() ? std::get_if<MeshHello>(&*message) : nullptr;
    if (!hello || hello->instance == options_.self) {
        if (!hello)
            logChannel.warning("closed a connection whose first message is not a valid hello message");
        return connection->close();
    }
    // When both instances have connected to each other at the same time, both keep the connection that was opened by
    // the instance with the smaller id. A second connection opened by the same instance replaces the first one, which
    // that instance has given up.
    const InstanceId peer = hello->instance;
    const InstanceId initiator = direction == Direction::Opened ? options_.self : peer;
    if (!isPreferred(peer, initiator))
        return connection->close();
    const bool wasConnected = peers_.contains(peer);
    if (wasConnected)
        peers_[peer].connection->close();
    peers_[peer] = {{hello->address, hello->port}, connection, initiator};
    peerAddresses_.insert({hello->address, hello->port});
    if (!wasConnected) {
        logChannel.info("peer={} address={}:{} connected", peer, hello->address, hello->port);
        handlers_.joined(*hello);
    }
    const absl::Status end = receiveUntilClosed(peer, connection);
    connection->close();
    const auto found = peers_.find(peer);
    if (found == peers_.end() || found->second.connection != connection)
        return;
    peers_.erase(found);
    logChannel.info("peer={} connection lost received={} sent={} reason=\"{}\"", peer, connection->bytesReceived(),
        connection->bytesSent(), messageOf(end));
    handlers_.lost(peer);
}

absl::Status Mesh::receiveUntilClosed(const InstanceId& peer, const std::shared_ptr<FrameConnection>& connection)
{
    while (true) {
        const auto payload = connection->receive(receiveTimeout);
        if (!payload.ok())
            return payload.status();
        const auto message = decodeMeshMessage(*payload);
        if (!message.ok()) {
            logChannel.warning(
                "peer={} connection closed, a message cannot be decoded: {}", peer, messageOf(message.status()));
            return message.status();
        }
        if (!runContained("the message of a peer", [&] { handlers_.received(peer, *message); }))
            return makeError(TransportError::MessageMalformed, "the message could not be handled");
    }
}

} // namespace lychee::gateway
