// What an instance does beside relaying requests: follows the configuration and the targets, talks with its peers, and
// owns placement when the lease says so.
#pragma once

#include "gateway/AnnouncedHoldings.h"
#include "gateway/ControlLimits.h"
#include "gateway/LeaseManager.h"
#include "gateway/Mesh.h"
#include "gateway/PlacementOwner.h"
#include "gateway/RowSenders.h"
#include "gateway/TableWatch.h"
#include "gateway/TargetList.h"
#include "transport/Published.h"

#include <atomic>

namespace lychee::gateway {

inline constexpr LogChannel controlLog("control");

// What the control duty hands to the relay duty and asks of it. The functions may be called from the control duty.
struct RelayCallbacks {
    std::function<void(const fleet::TargetRecord&)> targetUpdated;
    std::function<void(const TargetId&)> targetRemoved;
    std::function<void(const TargetId&, fleet::TargetIncarnation, const fleet::Holdings&)> holdingsChanged;
    std::function<void(const InstanceId&, std::vector<fleet::TargetWorkReport>)> peerWorkUpdated;
    // Whether the placement owner is reached, and how many instances share the retry budget.
    std::function<void(bool placementReached, std::size_t instances)> connectivityUpdated;
    // A configuration has come into force.
    std::function<void(const fleet::RouteTable&)> configurationChanged;
    // Suspends the fiber; fills in the work, the demand and the uses of this instance.
    std::function<void(MeshStatus&)> readStatus;
};

// The platform as the control plane uses it.
template <typename Platform>
concept GatewayPlatform = RowStore<typename Platform::Store> && EngineChannel<typename Platform::Channel> && requires(
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
    // Stays the same over restarts of the process.
    std::string machine;
    Endpoint peerEndpoint;
    Endpoint store;
    fleet::PlacementLeaseOptions lease;
};

template <GatewayPlatform Platform> class ControlPlane {
public:
    ControlPlane(
        Duty& duty, ControlOptions options, std::shared_ptr<Published<fleet::RouteTable>> routes, RelayCallbacks relay)
        : duty_(duty)
        , options_(std::move(options))
        , routes_(std::move(routes))
        , relay_(std::move(relay))
        , store_(options_.store)
        , configurationWatch_(
              store_, reach_,
              {Platform::configurationTable, ControlLimits::configurationWait, Duration(0),
                  ControlLimits::configurationFedWait, Duration(0)},
              [this] { return receivesForwardedChanges(); },
              [this](const std::vector<StoredRow>& rows) { applyConfiguration(rows); })
        , targetWatch_(
              store_, reach_,
              {Platform::targetTable, ControlLimits::targetWait, ControlLimits::targetPause, ControlLimits::targetWait,
                  ControlLimits::targetFedPause},
              [this] { return receivesForwardedChanges(); },
              [this](const std::vector<StoredRow>& rows) { targets_.apply(rows, currentTime()); })
        , targets_(reach_, targetHandlers())
        , lease_(store_, options_.self, options_.lease)
        , owner_(duty, orderHandlers())
    {
    }

    // Runs on the control duty. Fails when the port for peers cannot be bound.
    absl::Status start()
    {
        MeshHandlers handlers{[this](const InstanceId& peer) { joined(peer); },
            [this](const InstanceId& peer, const MeshMessage& message) { received(peer, message); },
            [this](const InstanceId& peer) { lost(peer); }};
        auto mesh = Mesh::start(duty_, {options_.self, options_.peerEndpoint}, std::move(handlers));
        if (!mesh.ok())
            return mesh.status();
        mesh_ = *std::move(mesh);
        configurationWatch_.passOn = [this](RowVersion since, const std::vector<StoredRow>& rows) {
            passOn(Platform::configurationTable, configurationWatch_.replica().version(), since, rows);
        };
        targetWatch_.passOn = [this](RowVersion since, const std::vector<StoredRow>& rows) {
            passOn(Platform::targetTable, targetWatch_.replica().version(), since, rows);
        };
        duty_.spawn([this] { configurationWatch_.run(); });
        duty_.spawn([this] { targetWatch_.run(); });
        duty_.spawn([this] { lease_.run([this] { tellSurroundings(); }); });
        duty_.spawn([this] { keepRegistered(); });
        duty_.spawn([this] { tellStatus(); });
        duty_.spawn([this] { keepPlacement(); });
        return absl::OkStatus();
    }

    // Whether requests can be served. Thread-safe.
    bool isReady() const { return ready_.load(); }

    // Tells peers and gives up the lease. Suspends the fiber.
    void leave()
    {
        mesh_->broadcast(MeshLeaving{});
        lease_.release();
    }

    // Has an adapter loaded by the owner of placement. Suspends the fiber.
    absl::Status ensureAdapter(
        const TargetId& target, const ModelId& model, const AdapterId& adapter, TimePoint deadline)
    {
        if (owner_.owns())
            return owner_.ensureAdapter(target, model, adapter, deadline);
        const InstanceId holder = lease_.lease().holder();
        const std::uint64_t call = ++lastCall_;
        PendingCall pending;
        calls_.emplace(call, &pending);
        absl::Status status = mesh_->send(holder, MeshEnsureAdapter{call, target, model, adapter});
        if (status.ok()) {
            pending.done.waitUntil(duty_.timers(), deadline);
            status = pending.answered ? pending.status
                                      : makeError(TransportError::TimedOut, "the placement owner does not answer");
        }
        calls_.erase(call);
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
        // Reports in a row in which the peer could not read the platform and knew less than this instance.
        int reportsBehind = 0;
    };

    TargetList::Handlers targetHandlers()
    {
        return {[](const std::string& key, std::string_view value) { return Platform::decodeTarget(key, value); },
            [this](const fleet::TargetRecord& record) {
                relay_.targetUpdated(record);
                owner_.targetUpdated(record);
            },
            [this](const TargetId& target) {
                told_.forget(target);
                relay_.targetRemoved(target);
                owner_.targetRemoved(target);
            }};
    }

    typename PlacementOwner<typename Platform::Channel>::Handlers orderHandlers()
    {
        return {[this] {
                    return OrderAuthority{lease_.maySendOrders(), InstanceId(options_.machine), lease_.lease().fence()};
                },
            [this](const fleet::TargetRecord& record) {
                relay_.holdingsChanged(record.id, record.incarnation, record.holdings);
                tellHoldings(record);
            }};
    }

    void tellHoldings(const fleet::TargetRecord& record)
    {
        const auto targetUpdated = targets_.targets().find(record.id);
        if (!told_.isNews(record, targetUpdated == targets_.targets().end() ? nullptr : &targetUpdated->second))
            return;
        told_.record(record.id, record.incarnation, record.holdings);
        mesh_->broadcast(toMessage(record.id, record.incarnation, record.holdings, currentTime()));
    }

    void applyConfiguration(const std::vector<StoredRow>& rows)
    {
        for (const StoredRow& row : rows) {
            if (row.key != Platform::configurationKey || row.removed)
                continue;
            const auto table = Platform::decodeConfiguration(row.value);
            if (!table.ok()) {
                controlLog.error("configuration row={} not usable, the last one stays in force: {}", row.version,
                    messageOf(table.status()));
                continue;
            }
            const auto current = routes_->read();
            if (current && (*table)->version() <= current->version())
                continue;
            controlLog.info("configuration version={} row={} routes={} services={} in force", (*table)->version(),
                row.version, (*table)->routes().size(), (*table)->services().size());
            routes_->publish(*table);
            relay_.configurationChanged(**table);
        }
    }

    // Enters this instance into the table by which instances find each other, and reads the others.
    void keepRegistered()
    {
        const std::string value = options_.peerEndpoint.toString();
        while (!duty_.isStopping()) {
            const auto page = store_.list(instanceTable, currentTime() + ControlLimits::answer);
            if (!page.ok()) {
                reach_.failed(currentTime(), messageOf(page.status()));
                sleepFor(ControlLimits::instancesRetry);
                continue;
            }
            reach_.succeeded(currentTime());
            std::set<Endpoint> known;
            RowVersion own;
            std::string ownValue;
            for (const StoredRow& row : page->rows) {
                if (row.key == options_.machine) {
                    own = row.version;
                    ownValue = row.value;
                } else if (const auto endpoint = Endpoint::parse(row.value)) {
                    known.insert(*endpoint);
                }
            }
            mesh_->setPeerAddresses(std::move(known));
            if (ownValue != value) {
                // An entry that was written in the meantime, or whose answer was lost, is seen by the next read.
                store_.write(instanceTable, options_.machine, own, value, currentTime() + ControlLimits::answer);
                sleepFor(ControlLimits::instancesRetry);
                continue;
            }
            sleepFor(ControlLimits::instances);
        }
    }

    void tellStatus()
    {
        while (!duty_.isStopping()) {
            const TimePoint now = currentTime();
            targets_.tick(now);
            status_ = {};
            relay_.readStatus(status_);
            status_.readsPlatform = reach_.isReached(now) && now - targetWatch_.answeredAt() < readAge();
            status_.configurationRow = configurationWatch_.replica().version();
            status_.targetRows = targetWatch_.replica().version();
            status_.holdsLease = lease_.isRenewing();
            for (const MeshAdapterUse& use : status_.uses)
                owner_.desk().recordUse(use.target, use.model, use.adapter);
            mesh_->broadcast(status_);
            ready_.store(routes_->read() != nullptr && targetWatch_.isComplete());
            tellSurroundings();
            sleepFor(statusInterval());
        }
    }

    Duration statusInterval() const
    {
        // A holder of the lease that may not give orders yet is not heard in time by peers that hear it once a second.
        if (owner_.owns() || lease_.isRenewing())
            return ControlLimits::status;
        const auto factor = static_cast<std::int64_t>(1 + mesh_->peerCount() / ControlLimits::statusPeers);
        return std::min(ControlLimits::status * factor, ControlLimits::longestStatus);
    }

    void tellSurroundings()
    {
        const InstanceId holder = lease_.lease().holder();
        const bool reached = owner_.owns() || (!holder.empty() && mesh_->isConnected(holder));
        relay_.connectivityUpdated(reached, mesh_->peerCount() + 1);
    }

    void keepPlacement()
    {
        while (!duty_.isStopping()) {
            const auto table = routes_->read();
            const bool owns = lease_.maySendOrders() && table && targetWatch_.isComplete();
            owner_.tick(owns, table, targets_.targets(), demandOfAll());
            sleepFor(ControlLimits::placement);
        }
    }

    std::vector<fleet::ModelDemand> demandOfAll() const
    {
        std::vector<fleet::ModelDemand> demand = fromMessage(status_.demand);
        for (const auto& [peer, state] : peers_) {
            if (currentTime() - state.heardAt > ControlLimits::demandAge)
                continue;
            for (const fleet::ModelDemand& entry : fromMessage(state.status.demand))
                demand.push_back(entry);
        }
        return demand;
    }

    void joined(const InstanceId& peer)
    {
        if (!owner_.owns())
            return;
        for (const fleet::TargetRecord& record : owner_.desk().records())
            mesh_->send(peer, toMessage(record.id, record.incarnation, record.holdings, currentTime())).IgnoreError();
    }

    void lost(const InstanceId& peer)
    {
        peers_.erase(peer);
        relay_.peerWorkUpdated(peer, {});
        if (lease_.lease().holder() == peer) {
            lease_.lease().holderDisconnected();
            for (auto& [call, pending] : calls_) {
                pending->answered = true;
                pending->status = makeError(TransportError::ConnectionClosed, "the placement owner is lost");
                pending->done.notify();
            }
        }
    }

    void received(const InstanceId& peer, const MeshMessage& message)
    {
        std::visit([&](const auto& value) { take(peer, value); }, message);
    }

    void take(const InstanceId&, const MeshHello&) { }

    void take(const InstanceId& peer, const MeshStatus& status)
    {
        PeerState& state = peers_[peer];
        state.status = status;
        state.heardAt = currentTime();
        relay_.peerWorkUpdated(peer, fromMessage(status.work));
        if (peer == lease_.lease().holder() && status.holdsLease)
            lease_.lease().heardFromHolder(LeaseManager<typename Platform::Store>::leaseTime());
        for (const MeshAdapterUse& use : status.uses)
            owner_.desk().recordUse(use.target, use.model, use.adapter);
        sendMissingRows(peer, state);
    }

    // A peer that cannot read the platform learns the changes from those that know them, also while the store is away
    // for all: an instance that starts then knows nothing.
    void sendMissingRows(const InstanceId& peer, PeerState& state)
    {
        const ReplicaVersions receiver = knowledgeOf(peer, state.status);
        if (state.status.readsPlatform || !ownKnowledge().isAheadOf(receiver)) {
            state.reportsBehind = 0;
            return;
        }
        if (sendsRowsTo(receiver, ownKnowledge(), peerKnowledge(), state.reportsBehind))
            sendRows(peer, state.status);
        ++state.reportsBehind;
    }

    static ReplicaVersions knowledgeOf(const InstanceId& instance, const MeshStatus& status)
    {
        return {instance, status.configurationRow, status.targetRows};
    }

    ReplicaVersions ownKnowledge() const
    {
        return {options_.self, configurationWatch_.replica().version(), targetWatch_.replica().version()};
    }

    std::vector<ReplicaVersions> peerKnowledge() const
    {
        std::vector<ReplicaVersions> known;
        for (const auto& [peer, state] : peers_)
            known.push_back(knowledgeOf(peer, state.status));
        return known;
    }

    // Instances that are fed read rarely themselves.
    Duration readAge() const
    {
        return receivesForwardedChanges() ? ControlLimits::targetFedPause + ControlLimits::feedAge
                                          : ControlLimits::feedAge;
    }

    // Whether the holder of the lease reads the platform and passes the changes on to this instance. It does so before
    // it may give orders, so that the others do not all read while an earlier owner's orders are waited for.
    bool receivesForwardedChanges() const
    {
        if (lease_.lease().isHolder())
            return false;
        const auto found = peers_.find(lease_.lease().holder());
        if (found == peers_.end())
            return false;
        const PeerState& owner = found->second;
        return owner.status.readsPlatform && owner.status.holdsLease
            && currentTime() - owner.heardAt < ControlLimits::feederSilence
            && owner.status.configurationRow <= configurationWatch_.replica().version()
            && owner.status.targetRows <= targetWatch_.replica().version();
    }

    // The holder of the lease passes changes on, so that not every instance has to read all of them.
    void passOn(const std::string& table, RowVersion version, RowVersion since, const std::vector<StoredRow>& changed)
    {
        // Sent without rows too: it tells up to which version the receiver misses nothing.
        if (version > since && lease_.isRenewing())
            mesh_->broadcast(MeshRows{table, since, version, toMessage(changed)});
    }

    void sendRows(const InstanceId& peer, const MeshStatus& status)
    {
        sendTable(peer, Platform::configurationTable, configurationWatch_.replica(), status.configurationRow);
        sendTable(peer, Platform::targetTable, targetWatch_.replica(), status.targetRows);
    }

    void sendTable(const InstanceId& peer, const std::string& table, const RowReplica& replica, RowVersion since)
    {
        if (since >= replica.version())
            return;
        const absl::Status sent
            = mesh_->send(peer, MeshRows{table, since, replica.version(), toMessage(replica.changedSince(since))});
        controlLog.debug("peer={} table={} since={} sent={}", peer, table, since, sent.ok());
    }

    void take(const InstanceId& peer, const MeshRows& message)
    {
        RowPage page{fromMessage(message.rows), message.version};
        controlLog.debug("peer={} table={} rows={} since={} version={} taken", peer, message.table, message.rows.size(),
            message.since, message.version);
        if (message.table == Platform::targetTable)
            targetWatch_.takeFromPeer(message.since, std::move(page));
        else if (message.table == Platform::configurationTable)
            configurationWatch_.takeFromPeer(message.since, std::move(page));
    }

    void take(const InstanceId& peer, const MeshHoldings& message)
    {
        if (peer != lease_.lease().holder())
            return;
        const fleet::Holdings holdings = fromMessage(message, currentTime());
        told_.record(message.target, message.incarnation, holdings);
        relay_.holdingsChanged(message.target, message.incarnation, holdings);
    }

    void take(const InstanceId& peer, const MeshEnsureAdapter& message)
    {
        duty_.spawn([this, peer, message] {
            const TimePoint deadline = currentTime() + ControlLimits::answer;
            const absl::Status status = owner_.ensureAdapter(message.target, message.model, message.adapter, deadline);
            mesh_->send(peer, MeshEnsureResult{message.call, std::string(messageOf(status))}).IgnoreError();
        });
    }

    void take(const InstanceId&, const MeshEnsureResult& message)
    {
        const auto found = calls_.find(message.call);
        if (found == calls_.end())
            return;
        PendingCall& pending = *found->second;
        pending.answered = true;
        pending.status = message.reason.empty() ? absl::OkStatus() : makeError(TransportError::Stopped, message.reason);
        pending.done.notify();
    }

    void take(const InstanceId& peer, const MeshLeaving&)
    {
        controlLog.info("peer={} state=leaving", peer);
        if (lease_.lease().holder() == peer)
            lease_.lease().holderDisconnected();
    }

    static constexpr const char* instanceTable = "instances";

    Duty& duty_;
    ControlOptions options_;
    std::shared_ptr<Published<fleet::RouteTable>> routes_;
    RelayCallbacks relay_;
    typename Platform::Store store_;
    StoreAvailability reach_;
    TableWatch<typename Platform::Store> configurationWatch_;
    TableWatch<typename Platform::Store> targetWatch_;
    TargetList targets_;
    AnnouncedHoldings told_;
    LeaseManager<typename Platform::Store> lease_;
    PlacementOwner<typename Platform::Channel> owner_;
    std::unique_ptr<Mesh> mesh_;
    std::map<InstanceId, PeerState> peers_;
    MeshStatus status_;
    std::map<std::uint64_t, PendingCall*> calls_;
    std::uint64_t lastCall_ = 0;
    std::atomic<bool> ready_{false};
};

} // namespace lychee::gateway
