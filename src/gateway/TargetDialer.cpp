#include "gateway/TargetDialer.h"

#include "protocol/StableHash.h"
#include "transport/Log.h"

#include <algorithm>
#include <cmath>

namespace lychee::gateway {

namespace {

constexpr LogChannel logChannel("paths");

// Peers that are asked for one connection, one after another.
constexpr std::size_t maxPeersAsked = 3;

// Verdicts of peers on a target that are enough to take it for unreachable.
constexpr int maxVerdicts = 2;

// Time for a peer to connect to a target, which is a few milliseconds away from it.
constexpr Duration tunnelConnectTime = std::chrono::milliseconds(150);

// No further peer is asked after this time.
constexpr Duration maxAskTime = std::chrono::milliseconds(350);

// A peer that could not be reached, or has declined, is not asked again for this time.
constexpr Duration peerAvoidance = std::chrono::seconds(1);

// Interval of the probes of direct ways, and the time for one.
constexpr Duration probeInterval = std::chrono::milliseconds(500);
constexpr Duration probeTime = std::chrono::milliseconds(250);

// Shortest time between two looks at a target that goes silent.
constexpr Duration silenceInterval = std::chrono::seconds(1);

// By which peers of the own data centre are preferred.
constexpr double localPreference = 2;

// The least capacity that is assumed, so that no weight is zero.
constexpr double minCapacity = 0.01;

bool isRefusal(const absl::Status& status) { return errorOf<TransportError>(status) == TransportError::ConnectFailed; }

} // namespace

TargetDialer::TargetDialer(const SocketBuffers& buffers)
    : buffers_(buffers)
{
}

void TargetDialer::setOptions(DataCentreId dataCentre, std::uint64_t seed)
{
    dataCentre_ = std::move(dataCentre);
    random_ = seed;
}

absl::StatusOr<OpenedConnection> TargetDialer::open(Endpoint target, Duration connectTime, TimePoint deadline)
{
    Verdict verdict;
    if (!paths_.startsAtPeer(target) || !hasPeers()) {
        auto direct = connectDirectly(target, std::min(deadline, currentTime() + connectTime));
        if (direct.ok())
            return OpenedConnection{*std::move(direct), directRetired_};
        if (!hasPeers() || !paths_.mayAskPeer(target, currentTime()))
            return direct.status();
        (isRefusal(direct.status()) ? verdict.refused : verdict.timedOut)++;
        return openThroughPeers(target, deadline, verdict);
    }
    if (!paths_.mayAskPeer(target, currentTime()))
        return makeError(TransportError::TimedOut, fmt::format("{}: no peer reached it", target.toString()));
    return openThroughPeers(target, deadline, verdict);
}

absl::StatusOr<boost::asio::ip::tcp::socket> TargetDialer::connectDirectly(Endpoint target, TimePoint deadline)
{
    auto socket = connectSocket(target.address, target.port, deadline, buffers_);
    if (socket.ok())
        paths_.directOpened(target, currentTime());
    else
        paths_.directFailed(target, currentTime());
    review();
    return socket;
}

absl::StatusOr<OpenedConnection> TargetDialer::openThroughPeers(Endpoint target, TimePoint deadline, Verdict& verdict)
{
    int verdicts = 0;
    const TimePoint end = std::min(deadline, currentTime() + maxAskTime);
    std::vector<InstanceId> chosen = choosePeers();
    chosen.resize(std::min(chosen.size(), maxPeersAsked));
    for (const InstanceId& id : chosen) {
        const auto peer = peers_.find(id);
        if (peer == peers_.end())
            continue;
        const Duration connectTime = std::min<Duration>(tunnelConnectTime, end - currentTime());
        if (connectTime <= Duration(0) || verdicts == maxVerdicts)
            break;
        const std::shared_ptr<bool> retired = peer->second.retired;
        auto tunnel = openTunnel(peer->second.known.server, target, connectTime, buffers_);
        if (tunnel.ok()) {
            paths_.peerOpened(target, currentTime());
            review();
            tunnel->retired = retired;
            return tunnel;
        }
        if (errorOf<TransportError>(tunnel.status()) == TransportError::Stopped) {
            if (const auto known = peers_.find(id); known != peers_.end())
                known->second.avoidUntil = currentTime() + peerAvoidance;
            continue;
        }
        ++verdicts;
        (isRefusal(tunnel.status()) ? verdict.refused : verdict.timedOut)++;
    }
    if (verdicts > 0)
        paths_.peersFailed(target, currentTime());
    else
        paths_.peersSilent(target, currentTime());
    review();
    // A refusal of this instance alone may be that of its own link.
    const bool isRefused = verdicts > 0 && verdict.refused > 0 && verdict.timedOut == 0;
    return makeError(isRefused ? TransportError::ConnectFailed : TransportError::TimedOut,
        fmt::format("{}: neither this instance nor a peer reached it", target.toString()));
}

bool TargetDialer::mayBeAsked(const Peer& peer)
{
    return peer.known.reachesTargets && peer.known.server.port != 0 && currentTime() >= peer.avoidUntil;
}

bool TargetDialer::hasPeers() const
{
    return std::any_of(peers_.begin(), peers_.end(), [](const auto& entry) { return mayBeAsked(entry.second); });
}

std::vector<InstanceId> TargetDialer::choosePeers()
{
    std::vector<std::pair<double, InstanceId>> drawn;
    for (const auto& [id, peer] : peers_) {
        const TunnelPeer& known = peer.known;
        if (!mayBeAsked(peer))
            continue;
        const double preference = known.dataCentre == dataCentre_ ? localPreference : 1;
        const double weight = preference * std::max(known.capacity, minCapacity) / (1 + known.running);
        // The order is a weighted sample without replacement.
        drawn.emplace_back(-std::log(draw()) / weight, id);
    }
    std::sort(drawn.begin(), drawn.end());
    std::vector<InstanceId> chosen;
    chosen.reserve(drawn.size());
    for (auto& entry : drawn)
        chosen.push_back(std::move(entry.second));
    return chosen;
}

// A number in (0, 1].
double TargetDialer::draw()
{
    constexpr unsigned mantissaBits = 53;
    random_ = mixHashes(random_, mantissaBits);
    return std::ldexp(static_cast<double>((random_ >> (64U - mantissaBits)) + 1), -static_cast<int>(mantissaBits));
}

void TargetDialer::wentSilent(const Endpoint& target)
{
    const TimePoint now = currentTime();
    const auto found = silentAt_.find(target);
    if (found != silentAt_.end() && now - found->second < silenceInterval)
        return;
    silentAt_[target] = now;
    Duty::current()->spawn([this, target, alive = std::weak_ptr(alive_)] {
        if (!alive.expired())
            open(target, probeTime, currentTime() + 2 * probeTime).IgnoreError();
    });
}

void TargetDialer::peerUpdated(const InstanceId& peer, TunnelPeer update) { peers_[peer].known = std::move(update); }

void TargetDialer::peerLost(const InstanceId& peer)
{
    const auto found = peers_.find(peer);
    if (found == peers_.end())
        return;
    *found->second.retired = true;
    peers_.erase(found);
}

void TargetDialer::forget(const Endpoint& target)
{
    paths_.forget(target);
    silentAt_.erase(target);
}

bool TargetDialer::isPeer(const std::string& address) const
{
    return std::any_of(
        peers_.begin(), peers_.end(), [&](const auto& entry) { return entry.second.known.server.address == address; });
}

bool TargetDialer::probe()
{
    const std::optional<Endpoint> target = paths_.nextProbe();
    if (target)
        connectDirectly(*target, currentTime() + probeTime).IgnoreError();
    probing_ = target.has_value();
    review();
    return probing_;
}

void TargetDialer::review()
{
    if (paths_.hasProven() && !std::exchange(probing_, true)) {
        Duty::current()->spawn([this, alive = std::weak_ptr(alive_)] {
            do
                sleepFor(probeInterval);
            while (!alive.expired() && !Duty::current()->isStopping() && probe());
        });
    }
    if (paths_.isDetached() == wasDetached_)
        return;
    wasDetached_ = paths_.isDetached();
    logChannel.warning("detached={} peers={}", wasDetached_, peers_.size());
    // Connections of before may have gone silent, and those through peers are not needed any more.
    if (wasDetached_) {
        *directRetired_ = true;
        directRetired_ = std::make_shared<bool>(false);
    } else {
        for (auto& [id, peer] : peers_) {
            *peer.retired = true;
            peer.retired = std::make_shared<bool>(false);
        }
    }
    if (detachedChanged_)
        detachedChanged_(wasDetached_);
}

} // namespace lychee::gateway
