// Opens connections to targets, directly or through the tunnel servers of peers.
#pragma once

#include "fleet/TargetPaths.h"
#include "protocol/Ids.h"
#include "transport/HttpClient.h"
#include "transport/Tunnel.h"

#include <functional>
#include <map>
#include <set>

namespace lychee::gateway {

// What is known of a peer that opens tunnels.
struct TunnelPeer {
    // Where its tunnel server listens.
    Endpoint server;
    DataCentreId dataCentre;
    // The part of a processor that it has.
    double capacity = 0;
    // Its requests in progress.
    std::uint32_t running = 0;
    // It opens direct connections to targets.
    bool reachesTargets = false;
};

// Used on the relay duty only.
class TargetDialer final : public ConnectionOpener {
public:
    explicit TargetDialer(const SocketBuffers& buffers);

    // `seed` decides, with what is known of the peers, which of them are asked.
    void setOptions(DataCentreId dataCentre, std::uint64_t seed);

    // Called when this instance is detached from the targets, and when it reaches them again.
    void setDetachedHandler(std::function<void(bool detached)> handler) { detachedChanged_ = std::move(handler); }

    absl::StatusOr<OpenedConnection> open(Endpoint target, Duration connectTime, TimePoint deadline) override;

    // Finds out whether the links to the target are broken.
    void wentSilent(const Endpoint& target) override;

    void peerUpdated(const InstanceId& peer, TunnelPeer update);

    // The peer has left or was lost; connections through it carry no further requests.
    void peerLost(const InstanceId& peer);

    // Drops what is known of a target that is not listed any more.
    void forget(const Endpoint& target);

    bool isDetached() const { return paths_.isDetached(); }

    // Whether a tunnel may be opened for a process on this address.
    bool isPeer(const std::string& address) const;

    // Connects to a target on the direct way, and learns from the outcome whether that way works.
    absl::StatusOr<boost::asio::ip::tcp::socket> connectDirectly(Endpoint target, TimePoint deadline);

private:
    struct Peer {
        TunnelPeer known;
        // It did not open a tunnel a moment ago, and is not asked before this time.
        TimePoint avoidUntil;
        // Marks the connections through it.
        std::shared_ptr<bool> retired = std::make_shared<bool>(false);
    };

    struct Verdict {
        // What the peers that were asked say of the target.
        int refused = 0;
        int timedOut = 0;
    };

    absl::StatusOr<OpenedConnection> openThroughPeers(Endpoint target, TimePoint deadline, Verdict& verdict);
    static bool mayBeAsked(const Peer& peer);
    bool hasPeers() const;
    // All peers that may be asked, in the order in which they are.
    std::vector<InstanceId> choosePeers();
    double draw();
    // Tries a direct way. Returns whether there is another one to try.
    bool probe();
    void review();

    SocketBuffers buffers_;
    DataCentreId dataCentre_;
    std::uint64_t random_ = 0;
    fleet::TargetPaths paths_;
    std::map<InstanceId, Peer> peers_;
    std::function<void(bool)> detachedChanged_;
    bool wasDetached_ = false;
    bool probing_ = false;
    // Marks the direct connections.
    std::shared_ptr<bool> directRetired_ = std::make_shared<bool>(false);
    // When a target that went silent was last looked at.
    std::map<Endpoint, TimePoint> silentAt_;
    // Ends the fibers of this object with it.
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace lychee::gateway
