#include "coordination/PeerMesh.h"

#include "coordination/CoordinationError.h"
#include "protocol/Digest.h"
#include "transport/Containment.h"
#include "transport/Log.h"

namespace lychee {

namespace {

constexpr LogChannel logChannel("peers");

// Limit for establishing a connection, and for its handshake.
constexpr Duration handshakeTimeout = std::chrono::seconds(1);

// Number of floods that are remembered so that each is forwarded only once.
constexpr std::size_t maxSeenFloods = 65536;

absl::Status rejected(std::string_view reason) { return makeError(CoordinationError::PeerRejected, reason); }

// Receives one message of type T.
template <typename T> absl::StatusOr<T> receiveMessage(FrameConnection& connection, TimePoint deadline)
{
    const absl::StatusOr<std::string> frame = connection.receive(Duration::max(), deadline);
    if (!frame.ok())
        return rejected(messageOf(frame.status()));
    absl::StatusOr<PeerMessage> message = decodePeerMessage(*frame);
    if (!message.ok())
        return rejected(messageOf(message.status()));
    T* wanted = std::get_if<T>(&*message);
    if (!wanted)
        return rejected("unexpected type of message during the handshake");
    return std::move(*wanted);
}

} // namespace

absl::StatusOr<std::unique_ptr<PeerMesh>> PeerMesh::create(Duty& duty, PeerMeshOptions options, PeerMeshEvents events)
{
    // The listener comes first, because the bound port is part of the member record.
    auto handler = std::make_shared<std::function<void(const std::shared_ptr<FrameConnection>&)>>();
    absl::StatusOr<std::unique_ptr<FrameListener>> listener
        = FrameListener::listen(duty, options.listen, [handler](const std::shared_ptr<FrameConnection>& connection) {
              if (*handler)
                  (*handler)(connection);
          });
    if (!listener.ok())
        return listener.status();
    options.self.port = (*listener)->port();
    std::unique_ptr<PeerMesh> mesh(new PeerMesh(duty, std::move(options), std::move(events)));
    mesh->listener_ = *std::move(listener);
    *handler = [mesh = mesh.get()](const std::shared_ptr<FrameConnection>& connection) { mesh->accept(connection); };
    return mesh;
}

PeerMesh::PeerMesh(Duty& duty, PeerMeshOptions options, PeerMeshEvents events)
    : duty_(duty)
    , options_(std::move(options))
    , events_(std::move(events))
    , membership_(options_.self, options_.membership)
{
    candidates_.insert(options_.seeds.begin(), options_.seeds.end());
}

PeerMesh::~PeerMesh() = default;

void PeerMesh::start()
{
    events_.membersChanged(membership_.members());
    duty_.spawn([this] {
        while (!duty_.isStopping()) {
            runHeartbeat();
            sleepFor(options_.heartbeat);
        }
        for (const auto& [id, link] : links_)
            link->connection->close();
    });
}

void PeerMesh::runHeartbeat()
{
    ++heartbeats_;
    const std::string heartbeat = encodePeerMessage(HeartbeatMessage{heartbeats_});
    for (const auto& [id, link] : links_)
        link->connection->send(heartbeat).IgnoreError();
    closeSilentLinks();
    announceChanges(membership_.advance(currentTime()));
    connectMissing();
}

void PeerMesh::closeSilentLinks()
{
    for (const auto& [id, link] : links_) {
        const TimePoint lastReceived = std::max(link->since, link->connection->lastReceivedAt());
        if (currentTime() - lastReceived < options_.silence)
            continue;
        logChannel.warning("Nothing received from peer {} within the silence limit; replacing the connection.", id);
        link->connection->close();
    }
}

void PeerMesh::connectMissing()
{
    for (const MemberRecord& neighbour : membership_.neighbours()) {
        if (links_.contains(neighbour.id) || !connecting_.insert(neighbour.endpoint()).second)
            continue;
        duty_.spawn([this, neighbour] { connectOrSuspect(neighbour); });
    }
    const Endpoint own = membership_.self().endpoint();
    const std::vector<MemberRecord> known = membership_.allRecords();
    for (const Endpoint& endpoint : candidates_) {
        const bool isKnown = std::any_of(known.begin(), known.end(), [&](const MemberRecord& record) {
            return record.endpoint() == endpoint && record.state != MemberState::Dead;
        });
        if (endpoint == own || isKnown || !connecting_.insert(endpoint).second)
            continue;
        duty_.spawn([this, endpoint] {
            connectTo(endpoint).IgnoreError();
            connecting_.erase(endpoint);
        });
    }
}

void PeerMesh::connectOrSuspect(const MemberRecord& peer)
{
    const absl::Status status = connectTo(peer.endpoint());
    connecting_.erase(peer.endpoint());
    if (status.ok() || links_.contains(peer.id))
        return;
    if (!membership_.suspect(peer.id, currentTime()))
        return;
    logChannel.warning(
        "A new connection to peer {} failed, so it is suspected to be dead: {}.", peer.id, messageOf(status));
    announceChanges({*membership_.find(peer.id)});
}

absl::Status PeerMesh::connectTo(const Endpoint& endpoint)
{
    absl::StatusOr<std::shared_ptr<FrameConnection>> connection
        = FrameConnection::connect(endpoint, currentTime() + handshakeTimeout);
    if (!connection.ok())
        return rejected(messageOf(connection.status()));
    const absl::StatusOr<MemberRecord> peer = handshake(**connection, true);
    if (!peer.ok()) {
        (*connection)->close();
        return peer.status();
    }
    addLink(*peer, *connection);
    return absl::OkStatus();
}

void PeerMesh::accept(const std::shared_ptr<FrameConnection>& connection)
{
    const absl::StatusOr<MemberRecord> peer = handshake(*connection, false);
    if (!peer.ok()) {
        logChannel.warning("Rejected an incoming peer connection: {}.", messageOf(peer.status()));
        connection->close();
        return;
    }
    addLink(*peer, connection);
}

std::string PeerMesh::computeProof(bool byInitiator, const HelloMessage& initiator, const HelloMessage& acceptor) const
{
    // The proof covers both nonces, both ids and the role, so that it cannot be replayed on another connection or sent
    // back to its sender.
    return hmacSha256Hex(options_.key,
        fmt::format("{}\n{}\n{}\n{}\n{}", byInitiator ? "initiator" : "acceptor", initiator.nonce, acceptor.nonce,
            initiator.self.id, acceptor.self.id));
}

absl::StatusOr<MemberRecord> PeerMesh::handshake(FrameConnection& connection, bool initiator) const
{
    const TimePoint deadline = currentTime() + handshakeTimeout;
    const HelloMessage own{membership_.self(), randomHex128()};
    absl::Status status = connection.send(encodePeerMessage(own));
    if (!status.ok())
        return rejected(messageOf(status));
    const absl::StatusOr<HelloMessage> peer = receiveMessage<HelloMessage>(connection, deadline);
    if (!peer.ok())
        return peer.status();
    if (peer->self.id == own.self.id)
        return rejected("the endpoint belongs to this instance itself");
    const HelloMessage& first = initiator ? own : *peer;
    const HelloMessage& second = initiator ? *peer : own;
    status = connection.send(encodePeerMessage(ProofMessage{computeProof(initiator, first, second)}));
    if (!status.ok())
        return rejected(messageOf(status));
    const absl::StatusOr<ProofMessage> proof = receiveMessage<ProofMessage>(connection, deadline);
    if (!proof.ok())
        return proof.status();
    if (!equalConstantTime(proof->proof, computeProof(!initiator, first, second)))
        return rejected("the proof of the peer does not match the shared key");
    return peer->self;
}

void PeerMesh::addLink(const MemberRecord& peer, const std::shared_ptr<FrameConnection>& connection)
{
    auto link = std::make_shared<Link>(Link{peer.id, connection, currentTime()});
    const auto known = links_.find(peer.id);
    // Both sides may connect at the same time. The new connection is used for sending only if nothing was received on
    // the existing one; both are read until they fall silent.
    if (known == links_.end() || known->second->connection->bytesReceived() == 0)
        links_[peer.id] = link;
    duty_.spawn([this, link] { receiveLoop(link); });
    connection->send(encodePeerMessage(MembersMessage{membership_.allRecords()})).IgnoreError();
    if (membership_.merge(peer, currentTime()))
        announceChanges({peer});
    events_.peerConnected(peer.id);
}

void PeerMesh::receiveLoop(const std::shared_ptr<Link>& link)
{
    while (!duty_.isStopping()) {
        const absl::StatusOr<std::string> frame = link->connection->receive(options_.silence + options_.heartbeat);
        if (!frame.ok()) {
            logChannel.debug("Connection to peer {} ended: {}.", link->peer, messageOf(frame.status()));
            break;
        }
        const absl::StatusOr<PeerMessage> message = decodePeerMessage(*frame);
        if (!message.ok()) {
            logChannel.warning("Closing the connection to peer {} after an invalid message: {}.", link->peer,
                messageOf(message.status()));
            break;
        }
        if (!runContained("the message of a peer", [&] { handle(link->peer, *message); }))
            break;
    }
    link->connection->close();
    closedTraffic_.sent += link->connection->bytesSent();
    closedTraffic_.received += link->connection->bytesReceived();
    const auto known = links_.find(link->peer);
    if (known != links_.end() && known->second == link)
        links_.erase(known);
}

void PeerMesh::handle(const InstanceId& from, const PeerMessage& message)
{
    if (std::holds_alternative<HeartbeatMessage>(message))
        return;
    if (const auto* members = std::get_if<MembersMessage>(&message))
        handleMembers(*members);
    else if (const auto* flooded = std::get_if<FloodMessage>(&message))
        handleFlood(from, *flooded);
    else
        events_.messageReceived(from, message);
}

void PeerMesh::handleMembers(const MembersMessage& message)
{
    std::vector<MemberRecord> changed;
    for (const MemberRecord& record : message.members) {
        if (!membership_.merge(record, currentTime()))
            continue;
        // If a record of this instance was refuted, the newer own record is sent instead.
        changed.push_back(record.id == membership_.self().id ? membership_.self() : record);
    }
    announceChanges(std::move(changed));
}

void PeerMesh::announceChanges(std::vector<MemberRecord> changed)
{
    if (changed.empty())
        return;
    forward(MembersMessage{std::move(changed)}, InstanceId());
    events_.membersChanged(membership_.members());
}

void PeerMesh::handleFlood(const InstanceId& from, const FloodMessage& message)
{
    if (message.origin == membership_.self().id || !rememberFlood(message.origin, message.sequence))
        return;
    const absl::StatusOr<PeerMessage> payload = decodePeerMessage(message.payload);
    if (!payload.ok()) {
        logChannel.warning(
            "Dropped an invalid message flooded by {}: {}.", message.origin, messageOf(payload.status()));
        return;
    }
    forward(message, from);
    events_.messageReceived(message.origin, *payload);
}

bool PeerMesh::rememberFlood(const InstanceId& origin, std::uint64_t sequence)
{
    std::string name = fmt::format("{}#{}", origin, sequence);
    if (!seenFloods_.insert(name).second)
        return false;
    seenOrder_.push_back(std::move(name));
    if (seenOrder_.size() > maxSeenFloods) {
        seenFloods_.erase(seenOrder_.front());
        seenOrder_.pop_front();
    }
    return true;
}

void PeerMesh::flood(const PeerMessage& message)
{
    forward(FloodMessage{membership_.self().id, nextSequence_++, encodePeerMessage(message)}, InstanceId());
}

void PeerMesh::forward(const PeerMessage& message, const InstanceId& except)
{
    const SharedFrame frame(encodePeerMessage(message));
    for (const auto& [id, link] : links_) {
        if (id == except)
            continue;
        const absl::Status status = link->connection->send(frame);
        if (!status.ok())
            logChannel.warning("Could not send a message to peer {}, dropped it: {}.", id, messageOf(status));
    }
}

absl::Status PeerMesh::sendTo(const InstanceId& id, const PeerMessage& message)
{
    auto link = links_.find(id);
    if (link == links_.end()) {
        const std::optional<MemberRecord> peer = membership_.find(id);
        if (!peer.has_value() || peer->state == MemberState::Dead)
            return makeError(CoordinationError::NotFound, fmt::format("instance {} is not a member", id));
        const absl::Status status = connectTo(peer->endpoint());
        if (!status.ok())
            return status;
        link = links_.find(id);
        if (link == links_.end())
            return makeError(CoordinationError::NotFound,
                fmt::format("the endpoint of instance {} now belongs to another instance", id));
    }
    return link->second->connection->send(encodePeerMessage(message));
}

void PeerMesh::announceLeaving()
{
    membership_.leave();
    announceChanges({membership_.self()});
}

void PeerMesh::setListedEndpoints(const std::vector<Endpoint>& endpoints)
{
    // Endpoints that are no longer listed are removed; otherwise a connection to every former instance would be tried
    // each second.
    candidates_.clear();
    candidates_.insert(options_.seeds.begin(), options_.seeds.end());
    candidates_.insert(endpoints.begin(), endpoints.end());
}

PeerTraffic PeerMesh::traffic() const
{
    PeerTraffic traffic = closedTraffic_;
    for (const auto& [id, link] : links_) {
        traffic.sent += link->connection->bytesSent();
        traffic.received += link->connection->bytesReceived();
    }
    return traffic;
}

} // namespace lychee
