#include "gateway/Mesh.h"

#include "transport/Log.h"
#include "transport/TransportError.h"

namespace lychee::gateway {

namespace {

constexpr LogChannel logChannel("mesh");

// Instances are a few milliseconds apart.
constexpr Duration connectTimeout = std::chrono::milliseconds(500);
constexpr Duration helloTimeout = std::chrono::seconds(1);

// A peer sends its status every second at least; a connection that is silent for longer than this is closed and opened
// anew, because it may have been forgotten on the way.
constexpr Duration silenceLimit = std::chrono::milliseconds(2200);

// How often missing connections are looked for, and how long one to an instance that does not answer is put off.
constexpr Duration connectInterval = std::chrono::milliseconds(200);
constexpr Duration firstRetryDelay = std::chrono::milliseconds(400);
constexpr Duration longestRetryDelay = std::chrono::seconds(4);

} // namespace

absl::StatusOr<std::unique_ptr<Mesh>> Mesh::start(Duty& duty, MeshOptions options, MeshHandlers handlers)
{
    std::unique_ptr<Mesh> mesh(new Mesh(duty, std::move(options), std::move(handlers)));
    auto listener = FrameListener::listen(duty, mesh->options_.listen,
        [mesh = mesh.get()](std::shared_ptr<FrameConnection> connection) { mesh->serve(connection, Side::Accepted); });
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

void Mesh::setPeerAddresses(std::set<Endpoint> known)
{
    known.erase(options_.listen);
    known_ = std::move(known);
}

void Mesh::broadcast(const MeshMessage& message)
{
    const std::string payload = encodeMeshMessage(message);
    for (const auto& [id, peer] : peers_) {
        // A peer that does not keep up is found silent by its own receiver; nothing is owed to it meanwhile.
        if (const absl::Status status = peer.connection->send(payload); !status.ok())
            logChannel.debug("peer={} message not sent: {}", id, messageOf(status));
    }
}

absl::Status Mesh::send(const InstanceId& peer, const MeshMessage& message)
{
    const auto found = peers_.find(peer);
    if (found == peers_.end())
        return makeError(TransportError::Stopped, "no connection to the instance");
    return found->second.connection->send(encodeMeshMessage(message));
}

bool Mesh::isConnectedTo(const Endpoint& endpoint) const
{
    return std::any_of(
        peers_.begin(), peers_.end(), [&](const auto& entry) { return entry.second.endpoint == endpoint; });
}

void Mesh::connectLoop()
{
    while (!duty_.isStopping()) {
        for (const Endpoint& endpoint : known_) {
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
        serve(*connection, Side::Opened);
    } else {
        Duration& delay = retryDelay_[endpoint];
        delay = delay == Duration(0) ? firstRetryDelay : std::min(2 * delay, longestRetryDelay);
        retryAt_[endpoint] = currentTime() + delay;
    }
    connecting_.erase(endpoint);
}

bool Mesh::isPreferred(const InstanceId& peer, const InstanceId& initiator) const
{
    const auto found = peers_.find(peer);
    return found == peers_.end() || initiator <= found->second.initiator;
}

void Mesh::serve(const std::shared_ptr<FrameConnection>& connection, Side side)
{
    const absl::Status sent
        = connection->send(encodeMeshMessage(MeshHello{options_.self, options_.listen.address, options_.listen.port}));
    const auto payload = connection->receive(currentTime() + helloTimeout);
    if (!sent.ok() || !payload.ok())
        return connection->close();
    const auto message = decodeMeshMessage(*payload);
    const MeshHello* hello = message.ok() ? std::get_if<MeshHello>(&*message) : nullptr;
    if (!hello || hello->instance == options_.self) {
        if (!hello)
            logChannel.warning("refused a connection whose first message is no hello");
        return connection->close();
    }
    // Where both have opened one at the same time, both keep that of the instance with the smaller id. A second one by
    // the same instance replaces the first, which has died.
    const InstanceId peer = hello->instance;
    const InstanceId initiator = side == Side::Opened ? options_.self : peer;
    if (!isPreferred(peer, initiator))
        return connection->close();
    const bool known = peers_.contains(peer);
    if (known)
        peers_[peer].connection->close();
    peers_[peer] = {{hello->address, hello->port}, connection, initiator};
    known_.insert({hello->address, hello->port});
    if (!known) {
        logChannel.info("peer={} address={}:{} connected", peer, hello->address, hello->port);
        handlers_.joined(peer);
    }
    receiveAll(peer, connection);
    connection->close();
    const auto found = peers_.find(peer);
    if (found == peers_.end() || found->second.connection != connection)
        return;
    peers_.erase(found);
    logChannel.info("peer={} connection lost", peer);
    handlers_.lost(peer);
}

void Mesh::receiveAll(const InstanceId& peer, const std::shared_ptr<FrameConnection>& connection)
{
    while (true) {
        const auto payload = connection->receive(currentTime() + silenceLimit);
        if (!payload.ok())
            return;
        const auto message = decodeMeshMessage(*payload);
        if (!message.ok()) {
            logChannel.warning("peer={} message refused: {}", peer, messageOf(message.status()));
            return;
        }
        handlers_.received(peer, *message);
    }
}

} // namespace lychee::gateway
