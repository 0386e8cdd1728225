// Connections to peers: handshake, heartbeats, flooding, and messages to single instances.
#pragma once

#include "coordination/Membership.h"
#include "transport/FrameConnection.h"

#include <deque>
#include <set>
#include <unordered_set>

namespace lychee {

struct PeerMeshOptions {
    // Address to listen on; the port of `self` is set to the bound port.
    Endpoint listen;
    MemberRecord self;
    // Secret shared by all instances, by which a peer proves that it belongs to the system.
    std::string key;
    std::vector<Endpoint> seeds;
    Duration heartbeat = std::chrono::seconds(1);
    // A connection on which nothing arrives for this long is replaced.
    Duration silence = std::chrono::seconds(3);
    MembershipOptions membership;
};

// Callbacks of the mesh. Called from fibers of the mesh's Duty; they must not suspend for long.
struct PeerMeshEvents {
    // The members changed.
    std::function<void(const std::vector<MemberRecord>&)> membersChanged;
    // A message arrived from `from`, directly or by flood.
    std::function<void(const InstanceId& from, const PeerMessage& message)> messageReceived;
    // A connection to a peer is established.
    std::function<void(const InstanceId& peer)> peerConnected;
};

// Bytes exchanged with peers, frame headers included.
struct PeerTraffic {
    std::uint64_t sent = 0;
    std::uint64_t received = 0;
};

// Connections to the neighbours of this instance. All calls come from fibers of one Duty.
class PeerMesh {
public:
    // Starts to listen. Fails with TransportError::BindFailed.
    static absl::StatusOr<std::unique_ptr<PeerMesh>> create(Duty& duty, PeerMeshOptions options, PeerMeshEvents events);

    ~PeerMesh();

    std::uint16_t port() const { return listener_->port(); }

    // Starts the connections, the heartbeats and the failure detection.
    void start();

    // Sends a message to every instance; each instance forwards it to its neighbours once.
    void flood(const PeerMessage& message);

    // Sends a message to one instance, on an existing or a new connection. Fails with CoordinationError::NotFound,
    // CoordinationError::PeerRejected or the error of the connection when it cannot be reached.
    absl::Status sendTo(const InstanceId& id, const PeerMessage& message);

    // Tells all instances that this one accepts no more work.
    void announceLeaving();

    // Sets the endpoints that the platform lists now. Like the seeds, they are connected to unless their instance is
    // already a member.
    void setListedEndpoints(const std::vector<Endpoint>& endpoints);

    std::vector<MemberRecord> members() const { return membership_.members(); }

    PeerTraffic traffic() const;

private:
    struct Link {
        InstanceId peer;
        std::shared_ptr<FrameConnection> connection;
        TimePoint since;
    };

    PeerMesh(Duty& duty, PeerMeshOptions options, PeerMeshEvents events);

    void accept(const std::shared_ptr<FrameConnection>& connection);
    absl::Status connectTo(const Endpoint& endpoint);
    absl::StatusOr<MemberRecord> handshake(FrameConnection& connection, bool initiator) const;
    void addLink(const MemberRecord& peer, const std::shared_ptr<FrameConnection>& connection);
    void receiveLoop(const std::shared_ptr<Link>& link);
    void handle(const InstanceId& from, const PeerMessage& message);
    void handleMembers(const MembersMessage& message);
    void handleFlood(const InstanceId& from, const FloodMessage& message);
    void forward(const PeerMessage& message, const InstanceId& except);
    bool rememberFlood(const InstanceId& origin, std::uint64_t sequence);
    void announceChanges(std::vector<MemberRecord> changed);
    void runHeartbeat();
    void connectMissing();
    void connectOrSuspect(const MemberRecord& peer);
    void closeSilentLinks();
    std::string computeProof(bool byInitiator, const HelloMessage& initiator, const HelloMessage& acceptor) const;

    Duty& duty_;
    PeerMeshOptions options_;
    PeerMeshEvents events_;
    Membership membership_;
    std::unique_ptr<FrameListener> listener_;
    std::map<InstanceId, std::shared_ptr<Link>> links_;
    std::set<Endpoint> connecting_;
    std::set<Endpoint> candidates_;
    std::uint64_t nextSequence_ = 1;
    std::uint64_t heartbeats_ = 0;
    // Recently seen floods, also in order of arrival.
    std::unordered_set<std::string> seenFloods_;
    std::deque<std::string> seenOrder_;
    PeerTraffic closedTraffic_;
};

} // namespace lychee
