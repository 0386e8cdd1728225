// The control plane of an instance: follows the configuration and the targets, exchanges status with its peers, and
// manages placement while the instance holds the lease.
#pragma once

#include "gateway/AnnouncedHoldings.h"
#include "gateway/ConfigurationConfirmation.h"
#include "gateway/ControlLimits.h"
#include "gateway/CrashWatch.h"
#include "gateway/GrantExchange.h"
#include "gateway/LeaseManager.h"
#include "gateway/Mesh.h"
#include "gateway/OwnerContact.h"
#include "gateway/PlacementOwner.h"
#include "gateway/RowHistory.h"
#include "gateway/RowSenders.h"
#include "gateway/StreamVersions.h"
#include "gateway/TableWatch.h"
#include "gateway/TargetDialer.h"
#include "gateway/TargetList.h"
#include "transport/Published.h"

#include <atomic>

namespace lychee::gateway {

inline constexpr LogChannel controlLog("control");

// Callbacks by which the control plane updates the relay duty and reads its state. Called on the control duty.
struct RelayCallbacks {
    std::function<void(const fleet::TargetRecord&)> targetUpdated;
    std::function<void(const TargetId&)> targetRemoved;
    std::function<void(const TargetId&, fleet::TargetIncarnation, const fleet::Holdings&)> holdingsChanged;
    std::function<void(const InstanceId&, std::vector<fleet::TargetWorkReport>, std::vector<fleet::CustomerUse>)>
        peerUpdated;
    std::function<void(const InstanceId&)> peerLost;
    // A peer opens tunnels, or does not any more.
    std::function<void(const InstanceId&, TunnelPeer)> tunnelPeerUpdated;
    std::function<void(const InstanceId&)> tunnelPeerLost;
    // The number of instances in the table of instances, this one included.
    std::function<void(std::size_t)> instancesListed;
    // Whether the placement owner is connected and available, and how many instances share the retry budget.
    std::function<void(bool placementReached, std::size_t instances)> connectivityUpdated;
    // A configuration has come into force.
    std::function<void(const fleet::RouteTable&)> configurationChanged;
    // What a peer has observed of crashes.
    std::function<void(const std::vector<fleet::CrashSuspect>&)> crashSuspectsReported;
    std::function<void(const std::vector<fleet::RequestTrait>&)> traitsCleared;
    std::function<void(const fleet::BlockedTrait&)> traitBlocked;
    // A peer has heard how many requests a target takes, or that it limits them no more.
    std::function<void(const TargetId&, fleet::TargetIncarnation, std::optional<double> perSecond)> limitReported;
    // A peer had a request turned away by a brittle target, which gets none for a time.
    std::function<void(const TargetId&, fleet::TargetIncarnation, Duration pause)> turnedAwayReported;
    // The software versions of a service that may begin streams, and whether the origins of streams are recorded.
    std::function<void(const ServiceId&, const std::set<SoftwareVersion>&, bool mustRecord)> versionsChanged;
    // What this instance knows of crashes, for a peer that joins. Suspends the fiber.
    std::function<CrashKnowledge()> readCrashKnowledge;
    // Fills in the work, the demand, the used adapters and the use of customers of this instance. Suspends the fiber.
    std::function<void(MeshStatus&)> readStatus;
};

// What the control plane needs of a platform.
template <typename Platform>
concept GatewayPlatform
    = StreamStore<typename Platform::Store> && EngineChannel<typename Platform::Channel> && requires(
        std::string_view text, const std::string& key)
{
    {
        Platform::decodeConfiguration(text)
        } -> std::same_as<absl::StatusOr<std::shared_ptr<const fleet::RouteTable>>>;
    {
        Platform::decodeTarget(key, text)
        } -> std::same_as<absl::StatusOr<fleet::TargetRecord>>;
    {
        Platform::configurationTable
        } -> std::convertible_to<std::string>;
    {
        Platform::configurationKey
        } -> std::convertible_to<std::string>;
    {
        Platform::targetTable
        } -> std::convertible_to<std::string>;
};

struct ControlOptions {
    InstanceId self;
    // The configured id, which stays the same when the process restarts; `self` does not.
    std::string configuredId;
    Endpoint peerEndpoint;
    std::uint16_t tunnelPort = 0;
    std::string dataCentre;
    // The part of a processor that this instance has.
    double capacity = 0;
    Endpoint store;
    fleet::PlacementLeaseOptions lease;
};

template <GatewayPlatform Platform> class ControlPlane {
public:
    ControlPlane(Duty& duty, ControlOptions options, std::shared_ptr<Published<fleet::RouteTable>> routes,
        RelayCallbacks relay, ConfigurationConfirmation& confirmation)
        : duty_(duty)
        , options_(std::move(options))
        , routes_(std::move(routes))
        , relay_(std::move(relay))
        , confirmation_(confirmation)
        , store_(options_.store)
        , configurationWatch_(
              store_, availability_,
              {Platform::configurationTable, ControlLimits::configurationWait, Duration(0),
                  ControlLimits::configurationForwardedWait, Duration(0)},
              [this] {
                  return ownerForwardsChanges() && !peerHasNewerConfiguration() && !confirmation_.needsOwnRead();
              },
              [this](const std::vector<StoredRow>& rows) { applyConfiguration(rows); })
        , targetWatch_(
              store_, availability_,
              {Platform::targetTable, ControlLimits::targetWait, ControlLimits::targetPause, ControlLimits::targetWait,
                  ControlLimits::targetForwardedPause},
              [this] { return receivesForwardedTargets(); },
              [this](const std::vector<StoredRow>& rows) { targets_.apply(rows, currentTime()); })
        , targets_(availability_, targetHandlers())
        , lease_(store_, options_.self, options_.lease)
        , owner_(duty, orderHandlers())
        , grants_(options_.self, grantHandlers())
        , versions_(store_, options_.lease.acquireDelay, versionHandlers())
    {
    }

    // Runs on the control duty. Fails when the port for peers cannot be bound.
    absl::Status start()
    {
        confirmation_.setHandlers(confirmationHandlers());
        MeshHandlers handlers{[this](const MeshHello& hello) { joined(hello); },
            [this](const InstanceId& peer, const MeshMessage& message) { received(peer, message); },
            [this](const InstanceId& peer) { lost(peer); }};
        auto mesh = Mesh::start(duty_,
            {options_.self, options_.peerEndpoint, options_.tunnelPort, options_.dataCentre, options_.capacity},
            std::move(handlers));
        if (!mesh.ok())
            return mesh.status();
        mesh_ = *std::move(mesh);
        configurationWatch_.forwardChanges
            = [this](RowVersion since, const std::vector<StoredRow>& rows) { forwardConfiguration(since, rows); };
        targetWatch_.forwardChanges
            = [this](RowVersion since, const std::vector<StoredRow>& rows) { forwardTargets(since, rows); };
        configurationWatch_.readAnswered = [this](TimePoint sentAt) { confirmation_.readAnswered(sentAt); };
        configurationWatch_.storeRestored = [this] {
            registrationDue_.notify();
            versions_.storeRestored();
            confirmation_.storeRestored();
        };
        configurationWatch_.maxWait = [this] { return confirmation_.maxReadWait(); };
        duty_.spawn([this] { configurationWatch_.run(); });
        duty_.spawn([this] { targetWatch_.run(); });
        duty_.spawn([this] { lease_.run([this] { reportConnectivity(); }); });
        duty_.spawn([this] { registrationLoop(); });
        duty_.spawn([this] { statusLoop(); });
        duty_.spawn([this] { placementLoop(); });
        duty_.spawn([this] { confirmation_.run(); });
        duty_.spawn([this] { versions_.run(); });
        duty_.spawn([this] { versions_.runRecorder(); });
        return absl::OkStatus();
    }

    // Whether requests can be served. Thread-safe.
    bool isReady() const { return ready_.load(); }

    // Whether a peer has a newer configuration than this instance. Thread-safe.
    bool isConfigurationOutdated() const { return configurationOutdated_.load(); }

    // Tells the peers that this instance leaves, and releases the lease. Suspends the fiber.
    void leave()
    {
        mesh_->broadcast(MeshLeaving{});
        lease_.release();
    }

    // Tells all peers what this instance has observed of crashes.
    void announce(const std::vector<fleet::CrashSuspect>& suspects)
    {
        for (const MeshCrash& message : toMessages(suspects))
            mesh_->broadcast(message);
    }
    void announceCleared(const std::vector<fleet::RequestTrait>& traits)
    {
        mesh_->broadcast(MeshTraitsCleared{traits});
    }

    // Records whether this instance reaches targets. Its orders would not arrive while it does not, so that it leaves
    // placement to others.
    void setReachesTargets(bool reaches)
    {
        reachesTargets_ = reaches;
        lease_.lease().setCandidate(reaches);
        status_.reachesTargets = reaches;
        mesh_->broadcast(status_);
    }

    // Records for other instances at which software version streams have begun.
    void recordOrigins(std::vector<fleet::StreamOrigin> origins) { versions_.record(std::move(origins)); }

    // As StreamVersions::find().
    absl::StatusOr<SoftwareVersion> findOrigin(const ServiceId& service, const RequestId& attempt, TimePoint deadline)
    {
        return versions_.find(service, attempt, deadline);
    }

    // As GrantExchange::request().
    fleet::RequestGrant requestGrant(const TargetId& target, fleet::TargetIncarnation incarnation, double perSecond,
        Duration maxWait, TimePoint deadline)
    {
        return grants_.request(target, incarnation, perSecond, maxWait, deadline);
    }

    // Tells all peers what a target has said about the requests that it takes.
    void announceLimit(const TargetId& target, fleet::TargetIncarnation incarnation, std::optional<double> perSecond)
    {
        owner_.recordLimit(target, incarnation, perSecond.has_value());
        mesh_->broadcast(MeshRequestLimit{target, incarnation, perSecond.has_value(), perSecond.value_or(0)});
    }

    // Tells all peers that a brittle target gets no requests for a time.
    void announceTurnedAway(const TargetId& target, fleet::TargetIncarnation incarnation, Duration pause)
    {
        mesh_->broadcast(MeshTurnedAway{target, incarnation, toMilliseconds(pause)});
    }

    // Has the placement owner load an adapter on a target. Suspends the fiber. Fails with
    // TransportError::ConnectionClosed when no owner that may send orders can be reached, with TimedOut when the
    // adapter is not loaded before the deadline although the owner can be reached, and with other errors when the owner
    // cannot load it.
    absl::Status ensureAdapter(
        const TargetId& target, const ModelId& model, const AdapterId& adapter, TimePoint deadline)
    {
        if (owner_.owns())
            return owner_.ensureAdapter(target, model, adapter, deadline);
        const InstanceId holder = lease_.lease().holder();
        if (!mesh_->isConnected(holder))
            return makeError(TransportError::ConnectionClosed, "no mesh connection to the placement owner");
        const std::uint64_t call = ++lastCall_;
        PendingCall pending;
        pendingCalls_.emplace(call, &pending);
        absl::Status status = mesh_->send(holder, MeshEnsureAdapter{call, target, model, adapter});
        if (status.ok()) {
            pending.done.waitUntil(duty_.timers(), deadline);
            status = pending.answered ? pending.status : callUnanswered(holder);
        }
        pendingCalls_.erase(call);
        return status;
    }

private:
    struct PendingCall {
        FiberEvent done;
        bool answered = false;
        absl::Status status;
    };

    struct PeerState {
        MeshStatus status;
        TimePoint heardAt;
        // Consecutive reports in which the peer had older rows than this instance and needed them from it.
        int reportsBehind = 0;
        // The version of its configuration according to the report before.
        RowVersion configurationBefore;
        TunnelPeer tunnel;
    };

    TargetList::Handlers targetHandlers()
    {
        return {[](const std::string& key, std::string_view value) { return Platform::decodeTarget(key, value); },
            [this](const fleet::TargetRecord& record) {
                relay_.targetUpdated(record);
                versions_.targetUpdated(record);
                owner_.updateTarget(record);
            },
            [this](const TargetId& target) {
                announcedHoldings_.forget(target);
                versions_.targetRemoved(target);
                relay_.targetRemoved(target);
                owner_.removeTarget(target);
            }};
    }

    typename PlacementOwner<typename Platform::Channel>::Handlers orderHandlers()
    {
        return {[this] {
                    return OrderAuthority{
                        lease_.maySendOrders(), InstanceId(options_.configuredId), lease_.lease().fence()};
                },
            [this](const fleet::TargetRecord& record) {
                relay_.holdingsChanged(record.id, record.incarnation, record.holdings);
                announceHoldings(record);
            }};
    }

    ConfigurationConfirmation::Handlers confirmationHandlers()
    {
        return {[this] { return configurationWatch_.replica().versionOf(Platform::configurationKey); },
            [this] {
                const InstanceId& holder = lease_.lease().holder();
                return mesh_->isConnected(holder) ? holder : InstanceId();
            },
            [this] { return confirmingPeers(); },
            [this](const InstanceId& peer, const MeshMessage& message) { mesh_->send(peer, message).IgnoreError(); }};
    }

    GrantExchange::Handlers grantHandlers()
    {
        return {[this] { return mesh_->peers(); },
            [this](const InstanceId& peer, const MeshMessage& message) { return mesh_->send(peer, message); }};
    }

    typename StreamVersions<typename Platform::Store>::Handlers versionHandlers()
    {
        return {[this] { return lease_.isRenewing(); },
            [this](const ServiceId& service, const std::set<SoftwareVersion>& versions, bool mustRecord) {
                relay_.versionsChanged(service, versions, mustRecord);
            },
            [this](const MeshMessage& message) { mesh_->broadcast(message); }};
    }

    // Peers other than the lease holder that may confirm the configuration.
    std::vector<InstanceId> confirmingPeers() const
    {
        std::vector<InstanceId> reading;
        std::vector<InstanceId> others;
        for (const auto& [peer, state] : peers_) {
            if (peer != lease_.lease().holder())
                (state.status.readsPlatform ? reading : others).push_back(peer);
        }
        return reading.empty() ? others : reading;
    }

    absl::Status callUnanswered(const InstanceId& holder)
    {
        const bool wasSilent = ownerContact_.isSilent(holder);
        if (!ownerContact_.callUnanswered(holder, currentTime())) {
            return makeError(
                TransportError::TimedOut, "the placement owner did not answer for this engine before the deadline");
        }
        if (!wasSilent)
            reportConnectivity();
        return makeError(TransportError::ConnectionClosed, "the placement owner is silent");
    }

    void ownerDeclined(const InstanceId& peer)
    {
        if (!ownerContact_.declined(peer, currentTime()))
            return;
        reportConnectivity();
        duty_.spawn([this, peer] {
            while (!ownerContact_.isSilent(peer) && !ownerContact_.isAvailable(peer, currentTime()))
                sleepFor(ControlLimits::ownerDeclinePause);
            reportConnectivity();
        });
    }

    void announceHoldings(const fleet::TargetRecord& record)
    {
        const auto entry = targets_.targets().find(record.id);
        switch (announcedHoldings_.changed(record, entry == targets_.targets().end() ? nullptr : &entry->second)) {
        case AnnouncedHoldings::Announcement::None:
            return;
        case AnnouncedHoldings::Announcement::AtOnce:
            return broadcastHoldings(record);
        case AnnouncedHoldings::Announcement::Collected:
            if (!std::exchange(collectsHoldings_, true))
                duty_.spawn([this] { broadcastCollectedHoldings(); });
            return;
        }
    }

    void broadcastHoldings(const fleet::TargetRecord& record)
    {
        announcedHoldings_.record(record.id, record.incarnation, record.holdings);
        mesh_->broadcast(toMessage(record.id, record.incarnation, record.holdings, currentTime()));
    }

    void broadcastCollectedHoldings()
    {
        sleepFor(ControlLimits::holdingsInterval);
        collectsHoldings_ = false;
        for (const fleet::TargetRecord& record : announcedHoldings_.takeCollected())
            broadcastHoldings(record);
    }

    void applyConfiguration(const std::vector<StoredRow>& rows)
    {
        for (const StoredRow& row : rows) {
            configurationHistory_.record(row);
            if (row.key != Platform::configurationKey || row.removed)
                continue;
            const auto table = Platform::decodeConfiguration(row.value);
            if (!table.ok()) {
                controlLog.error(
                    "configuration row={} cannot be decoded, the previous configuration stays in force: {}",
                    row.version, messageOf(table.status()));
                continue;
            }
            const auto current = routes_->read();
            if (current && (*table)->version() <= current->version())
                continue;
            controlLog.info("configuration version={} row={} routes={} services={} in force", (*table)->version(),
                row.version, (*table)->routes().size(), (*table)->services().size());
            routes_->publish(*table);
            reviewConfigurationAge();
            versions_.configurationChanged(**table);
            relay_.configurationChanged(**table);
        }
    }

    // Keeps this instance's peer address in the table of instances, and connects to the others in that table.
    void registrationLoop()
    {
        const std::string value = options_.peerEndpoint.toString();
        while (!duty_.isStopping()) {
            const auto page = store_.list(instanceTable, currentTime() + ControlLimits::answerTimeout);
            if (!page.ok()) {
                availability_.failed(currentTime(), messageOf(page.status()));
                sleepFor(ControlLimits::registrationRetryInterval);
                continue;
            }
            availability_.succeeded(currentTime());
            std::set<Endpoint> known;
            RowVersion own;
            std::string ownValue;
            for (const StoredRow& row : page->rows) {
                if (row.key == options_.configuredId) {
                    own = row.version;
                    ownValue = row.value;
                } else if (const auto endpoint = Endpoint::parse(row.value)) {
                    known.insert(*endpoint);
                }
            }
            relay_.instancesListed(known.size() + 1);
            mesh_->setPeerAddresses(std::move(known));
            if (ownValue != value) {
                // The result is not checked: the next read shows a conflicting entry, or one whose answer was lost.
                store_.write(
                    instanceTable, options_.configuredId, own, value, currentTime() + ControlLimits::answerTimeout);
                sleepFor(ControlLimits::registrationRetryInterval);
                continue;
            }
            registrationDue_.waitUntil(duty_.timers(), currentTime() + ControlLimits::registrationInterval);
        }
    }

    void statusLoop()
    {
        while (!duty_.isStopping()) {
            const TimePoint now = currentTime();
            // The fiber that plans reads the demand while this one waits for the relay duty, so it is not cleared
            // before.
            MeshStatus status;
            status.demand = status_.demand;
            relay_.readStatus(status);
            status.readsPlatform = availability_.isAvailable(now) && now - targetWatch_.answeredAt() < maxReadAge();
            status.configurationRow = configurationWatch_.replica().newestRow();
            status.targetRows = targetWatch_.replica().version();
            status.holdsLease = lease_.isRenewing();
            status.storeReachedMs = toMilliseconds(availability_.reachedFor(now));
            status.reachesTargets = reachesTargets_;
            for (const MeshAdapterUse& use : status.uses)
                owner_.dispatcher().recordUse(use.target, use.model, use.adapter);
            status_ = std::move(status);
            mesh_->broadcast(status_);
            ready_.store(routes_->read() != nullptr && targetWatch_.isComplete() && versions_.isSettled());
            reportConnectivity();
            sleepFor(statusInterval());
        }
    }

    Duration statusInterval() const
    {
        // A lease holder that may not send orders yet also uses the short interval: at one message a second, peers
        // would take it for silent.
        if (owner_.owns() || lease_.isRenewing())
            return ControlLimits::statusInterval;
        return peerStatusInterval();
    }

    // The interval of instances that do not hold the lease.
    Duration peerStatusInterval() const
    {
        const auto factor = static_cast<std::int64_t>(1 + mesh_->peerCount() / ControlLimits::peersPerStatusStep);
        return std::min<Duration>(ControlLimits::statusInterval * factor, ControlLimits::maxStatusInterval);
    }

    void reportConnectivity()
    {
        const InstanceId holder = lease_.lease().holder();
        const bool reached = owner_.owns()
            || (!holder.empty() && mesh_->isConnected(holder) && ownerContact_.isAvailable(holder, currentTime()));
        relay_.connectivityUpdated(reached, mesh_->peerCount() + 1);
    }

    void placementLoop()
    {
        while (!duty_.isStopping()) {
            targets_.removeExpired(currentTime());
            const auto table = routes_->read();
            const bool owns = lease_.maySendOrders() && table && targetWatch_.isComplete();
            owner_.dispatcher().setUseReportInterval(peerStatusInterval());
            owner_.tick(owns, table, targets_.targets(), demandOfAll());
            sleepFor(ControlLimits::placementInterval);
        }
    }

    std::vector<fleet::ModelDemand> demandOfAll() const
    {
        std::vector<fleet::ModelDemand> demand = fromMessage(status_.demand);
        for (const auto& [peer, state] : peers_) {
            if (currentTime() - state.heardAt > ControlLimits::maxDemandAge)
                continue;
            for (const fleet::ModelDemand& entry : fromMessage(state.status.demand))
                demand.push_back(entry);
        }
        return demand;
    }

    void joined(const MeshHello& hello)
    {
        const InstanceId& peer = hello.instance;
        peers_[peer].tunnel
            = {{hello.address, hello.tunnelPort}, DataCentreId(hello.dataCentre), hello.capacity, 0, false};
        ownerContact_.heard(peer, currentTime());
        if (lease_.lease().holder() == peer)
            reportConnectivity();
        duty_.spawn([this, peer] { sendCrashKnowledge(peer); });
        for (const MeshVersionList& list : versions_.lists())
            mesh_->send(peer, list).IgnoreError();
        if (!owner_.owns())
            return;
        for (const fleet::TargetRecord& record : owner_.dispatcher().records())
            mesh_->send(peer, toMessage(record.id, record.incarnation, record.holdings, currentTime())).IgnoreError();
    }

    void sendCrashKnowledge(const InstanceId& peer)
    {
        const CrashKnowledge knowledge = relay_.readCrashKnowledge();
        for (const MeshCrash& message : toMessages(knowledge.suspects))
            mesh_->send(peer, message).IgnoreError();
        for (const fleet::BlockedTrait& blocked : knowledge.blocked)
            mesh_->send(peer, toMessage(blocked)).IgnoreError();
    }

    void lost(const InstanceId& peer)
    {
        peers_.erase(peer);
        if (configurationOutdated_.load())
            reviewConfigurationAge();
        ownerContact_.lost(peer);
        grants_.lost(peer);
        relay_.peerLost(peer);
        relay_.tunnelPeerLost(peer);
        if (lease_.lease().holder() == peer) {
            lease_.lease().holderDisconnected();
            reportConnectivity();
            for (auto& [call, pending] : pendingCalls_) {
                pending->answered = true;
                pending->status
                    = makeError(TransportError::ConnectionClosed, "the connection to the placement owner was lost");
                pending->done.notify();
            }
        }
    }

    void received(const InstanceId& peer, const MeshMessage& message)
    {
        if (ownerContact_.heard(peer, currentTime()))
            reportConnectivity();
        std::visit([&](const auto& value) { handle(peer, value); }, message);
    }

    void handle(const InstanceId&, const MeshHello&) { }

    void handle(const InstanceId& peer, const MeshStatus& status)
    {
        PeerState& state = peers_[peer];
        state.status = status;
        state.heardAt = currentTime();
        availability_.peerReached(fromMilliseconds(status.storeReachedMs), currentTime());
        if (configurationOutdated_.load() || status.configurationRow > configurationWatch_.replica().newestRow())
            reviewConfigurationAge();
        relay_.peerUpdated(peer, fromMessage(status.work), fromMessage(status.customerUse));
        state.tunnel.running = 0;
        for (const MeshWork& work : status.work)
            state.tunnel.running += work.running;
        state.tunnel.reachesTargets = status.reachesTargets;
        relay_.tunnelPeerUpdated(peer, state.tunnel);
        if (peer == lease_.lease().holder())
            lease_.lease().heardFromHolder(LeaseManager<typename Platform::Store>::leaseTime(), status.holdsLease);
        for (const MeshAdapterUse& use : status.uses)
            owner_.dispatcher().recordUse(use.target, use.model, use.adapter);
        sendMissingRows(peer, state);
    }

    // Sends rows to a peer that has older ones and cannot read the platform, or still has an older configuration after
    // it could have read or received the newer one. This also works while no instance reaches the store: an instance
    // that starts then would otherwise have no rows at all.
    void sendMissingRows(const InstanceId& peer, PeerState& state)
    {
        const ReplicaVersions receiver = replicaVersionsOf(peer, state.status);
        const ReplicaVersions own = ownReplicaVersions();
        const bool readsTargets = state.status.readsPlatform;
        // A peer that reads newer rows all the time needs none from here, though it may never have the newest.
        if (readsTargets && receiver.configuration > state.configurationBefore)
            state.reportsBehind = 0;
        state.configurationBefore = receiver.configuration;
        if (readsTargets ? own.configuration <= receiver.configuration : !own.isAheadOf(receiver)) {
            state.reportsBehind = 0;
            return;
        }
        // The difference from a configuration that the peer has is small, so it costs little to send it too often.
        const bool isSmall = configurationHistory_.contains(Platform::configurationKey, receiver.configuration);
        const bool mayBeOnItsWay = readsTargets && !isSmall && state.reportsBehind == 0;
        if (!mayBeOnItsWay
            && sendsRowsTo(receiver, own, peerReplicaVersions(), state.reportsBehind + (isSmall ? 1 : 0)))
            sendRows(peer, state.status);
        ++state.reportsBehind;
    }

    static ReplicaVersions replicaVersionsOf(const InstanceId& instance, const MeshStatus& status)
    {
        return {instance, status.configurationRow, status.targetRows, status.readsPlatform};
    }

    ReplicaVersions ownReplicaVersions() const
    {
        return {options_.self, configurationWatch_.replica().newestRow(), targetWatch_.replica().version()};
    }

    std::vector<ReplicaVersions> peerReplicaVersions() const
    {
        std::vector<ReplicaVersions> known;
        for (const auto& [peer, state] : peers_)
            known.push_back(replicaVersionsOf(peer, state.status));
        return known;
    }

    // The age up to which the last read counts as recent. Instances that receive forwarded changes read rarely.
    Duration maxReadAge() const
    {
        return receivesForwardedTargets() ? ControlLimits::targetForwardedPause + ControlLimits::maxOwnerReadAge
                                          : ControlLimits::maxOwnerReadAge;
    }

    // Whether the lease holder reads the platform and forwards the changes to this instance. It does so before it may
    // send orders, so that the others do not all read the platform while the new holder waits for the orders of its
    // predecessor to expire.
    bool ownerForwardsChanges() const
    {
        if (lease_.lease().isHolder())
            return false;
        const auto found = peers_.find(lease_.lease().holder());
        if (found == peers_.end())
            return false;
        const PeerState& owner = found->second;
        return owner.status.readsPlatform && owner.status.holdsLease
            && currentTime() - owner.heardAt < ControlLimits::maxOwnerSilence;
    }

    // Whether this instance has all targets that the lease holder has.
    bool receivesForwardedTargets() const
    {
        return ownerForwardsChanges()
            && peers_.at(lease_.lease().holder()).status.targetRows <= targetWatch_.replica().version();
    }

    // Whether a peer has a configuration that should have been forwarded to this instance.
    bool peerHasNewerConfiguration() const
    {
        return std::any_of(peers_.begin(), peers_.end(), [this](const auto& peer) {
            return peer.second.status.configurationRow > configurationWatch_.replica().version();
        });
    }

    void reviewConfigurationAge()
    {
        const RowVersion own = configurationWatch_.replica().newestRow();
        configurationOutdated_.store(std::any_of(
            peers_.begin(), peers_.end(), [&](const auto& peer) { return peer.second.status.configurationRow > own; }));
    }

    // The lease holder forwards changes to all peers, so that not every instance has to read them from the platform.
    void forwardTargets(RowVersion since, const std::vector<StoredRow>& changed)
    {
        const RowVersion version = targetWatch_.replica().version();
        // Also sent without rows: the receiver learns up to which version its rows are complete.
        if (version > since && lease_.isRenewing())
            mesh_->broadcast(MeshRows{Platform::targetTable, since, version, toMessage(changed)});
    }

    // Forwards changes as above. An instance that does not hold the lease passes them on to some of those that cannot
    // read the platform.
    void forwardConfiguration(RowVersion since, const std::vector<StoredRow>& changed)
    {
        const RowVersion version = configurationWatch_.replica().version();
        if (version <= since)
            return;
        if (lease_.isRenewing()) {
            const MeshRows message = configurationMessage(changed, since, oldestKnownConfiguration());
            if (mayForwardTo(mesh_->peerCount(), sizeOf(message)))
                return mesh_->broadcast(message);
        }
        if (changed.empty())
            return;
        std::vector<InstanceId> readers{options_.self};
        std::vector<InstanceId> receivers;
        for (const auto& [peer, state] : peers_)
            (state.status.readsPlatform ? readers : receivers).push_back(peer);
        std::erase_if(
            receivers, [&](const InstanceId& receiver) { return !passesChangeOnTo(receiver, options_.self, readers); });
        for (const InstanceId& receiver : receivers) {
            const MeshRows message = configurationMessage(changed, since, peers_.at(receiver).status.configurationRow);
            if (mayPassChangeOn(sizeOf(message)))
                mesh_->send(receiver, message).IgnoreError();
        }
    }

    // The message about changed rows of the configuration for receivers that have had the version `known`.
    MeshRows configurationMessage(const std::vector<StoredRow>& changed, RowVersion since, RowVersion known)
    {
        MeshRows message{Platform::configurationTable, since, configurationWatch_.replica().version(), {}};
        for (const StoredRow& row : changed)
            message.rows.push_back(configurationHistory_.encode(row, known));
        return message;
    }

    static std::size_t sizeOf(const MeshRows& message)
    {
        std::size_t bytes = 0;
        for (const MeshRow& row : message.rows)
            bytes += row.size();
        return bytes;
    }

    // The oldest version of the configuration that a peer has reported and from which a difference can be made. All
    // peers with a newer one have had it, unless they have started since.
    RowVersion oldestKnownConfiguration() const
    {
        RowVersion oldest = configurationWatch_.replica().newestRow();
        for (const auto& [peer, state] : peers_) {
            const RowVersion version = state.status.configurationRow;
            if (version < oldest && configurationHistory_.contains(Platform::configurationKey, version))
                oldest = version;
        }
        return oldest;
    }

    void sendRows(const InstanceId& peer, const MeshStatus& status)
    {
        const RowVersion configuration = status.configurationRow;
        const RowReplica& replica = configurationWatch_.replica();
        if (configuration < replica.version())
            sendRows(peer, configurationMessage(replica.changedSince(configuration), configuration, configuration));
        const RowVersion targets = status.targetRows;
        if (!status.readsPlatform && targets < targetWatch_.replica().version())
            sendRows(peer,
                MeshRows{Platform::targetTable, targets, targetWatch_.replica().version(),
                    toMessage(targetWatch_.replica().changedSince(targets))});
    }

    void sendRows(const InstanceId& peer, const MeshRows& message)
    {
        const absl::Status sent = mesh_->send(peer, message);
        controlLog.debug("peer={} table={} since={} bytes={} sent={}", peer, message.table, message.since,
            sizeOf(message), sent.ok());
    }

    void handle(const InstanceId& peer, const MeshRows& message)
    {
        // Targets change many times a second.
        if (message.table == Platform::configurationTable && !message.rows.empty()) {
            controlLog.info("peer={} table={} rows={} bytes={} since={} version={} received", peer, message.table,
                message.rows.size(), sizeOf(message), message.since, message.version);
        }
        RowPage page{{}, message.version};
        RowVersion since = message.since;
        for (const MeshRow& row : message.rows) {
            if (auto decoded = configurationHistory_.decode(row))
                page.rows.push_back(*std::move(decoded));
            else
                // A row is missing, so the rows are complete up to no later version than before.
                since = message.version;
        }
        if (message.table == Platform::targetTable)
            targetWatch_.applyFromPeer(since, std::move(page));
        else if (message.table == Platform::configurationTable)
            configurationWatch_.applyFromPeer(since, std::move(page));
    }

    void handle(const InstanceId& peer, const MeshHoldings& message)
    {
        if (peer != lease_.lease().holder())
            return;
        const fleet::Holdings holdings = fromMessage(message, currentTime());
        announcedHoldings_.record(message.target, message.incarnation, holdings);
        relay_.holdingsChanged(message.target, message.incarnation, holdings);
    }

    void handle(const InstanceId& peer, const MeshEnsureAdapter& message)
    {
        duty_.spawn([this, peer, message] {
            const TimePoint deadline = currentTime() + ControlLimits::adapterCallTimeout;
            const absl::Status status = owner_.ensureAdapter(message.target, message.model, message.adapter, deadline);
            const bool mayNot = !status.ok() && !(owner_.owns() && lease_.maySendOrders());
            const std::string_view reason = mayNot ? notOwnerReason : messageOf(status);
            mesh_->send(peer, MeshEnsureResult{message.call, std::string(reason)}).IgnoreError();
        });
    }

    void handle(const InstanceId& peer, const MeshEnsureResult& message)
    {
        const bool mayNot = message.reason == notOwnerReason;
        if (mayNot)
            ownerDeclined(peer);
        const auto found = pendingCalls_.find(message.call);
        if (found == pendingCalls_.end())
            return;
        PendingCall& pending = *found->second;
        pending.answered = true;
        pending.status = message.reason.empty()
            ? absl::OkStatus()
            : makeError(mayNot ? TransportError::ConnectionClosed : TransportError::Stopped, message.reason);
        pending.done.notify();
    }

    void handle(const InstanceId&, const MeshCrash& message) { relay_.crashSuspectsReported(fromMessage(message)); }

    void handle(const InstanceId&, const MeshTraitsCleared& message) { relay_.traitsCleared(message.traits); }

    void handle(const InstanceId&, const MeshTraitBlocked& message) { relay_.traitBlocked(fromMessage(message)); }

    void handle(const InstanceId& peer, const MeshConfirmationQuery& message) { confirmation_.handle(peer, message); }

    void handle(const InstanceId& peer, const MeshConfirmation& message) { confirmation_.handle(peer, message); }

    void handle(const InstanceId& peer, const MeshGrantQuery& message) { grants_.handle(peer, message); }

    void handle(const InstanceId& peer, const MeshGrant& message) { grants_.handle(peer, message); }

    void handle(const InstanceId&, const MeshRequestLimit& message)
    {
        owner_.recordLimit(message.target, message.incarnation, message.isLimited);
        relay_.limitReported(
            message.target, message.incarnation, message.isLimited ? std::optional(message.perSecond) : std::nullopt);
    }

    void handle(const InstanceId&, const MeshTurnedAway& message)
    {
        relay_.turnedAwayReported(message.target, message.incarnation, fromMilliseconds(message.pauseMs));
    }

    void handle(const InstanceId&, const MeshVersionList& message) { versions_.handle(message); }

    void handle(const InstanceId& peer, const MeshLeaving&)
    {
        controlLog.info("peer={} state=leaving", peer);
        relay_.tunnelPeerLost(peer);
        if (lease_.lease().holder() == peer)
            lease_.lease().holderDisconnected();
    }

    static constexpr const char* instanceTable = "instances";

    Duty& duty_;
    ControlOptions options_;
    std::shared_ptr<Published<fleet::RouteTable>> routes_;
    RelayCallbacks relay_;
    ConfigurationConfirmation& confirmation_;
    typename Platform::Store store_;
    StoreAvailability availability_;
    TableWatch<typename Platform::Store> configurationWatch_;
    TableWatch<typename Platform::Store> targetWatch_;
    RowHistory configurationHistory_;
    TargetList targets_;
    AnnouncedHoldings announcedHoldings_;
    // A fiber waits to announce the collected holdings.
    bool collectsHoldings_ = false;
    LeaseManager<typename Platform::Store> lease_;
    PlacementOwner<typename Platform::Channel> owner_;
    GrantExchange grants_;
    StreamVersions<typename Platform::Store> versions_;
    std::unique_ptr<Mesh> mesh_;
    // The table of instances may lack the entry of this one.
    FiberEvent registrationDue_;
    std::map<InstanceId, PeerState> peers_;
    OwnerContact ownerContact_;
    MeshStatus status_;
    std::map<std::uint64_t, PendingCall*> pendingCalls_;
    std::uint64_t lastCall_ = 0;
    bool reachesTargets_ = true;
    std::atomic<bool> ready_{false};
    std::atomic<bool> configurationOutdated_{false};
};

} // namespace lychee::gateway
