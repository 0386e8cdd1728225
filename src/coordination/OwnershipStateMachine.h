// Ownership of one target: a pure state machine that turns events into table reads, table writes and engine orders.
#pragma once

#include "coordination/TargetLedger.h"

#include <functional>
#include <map>
#include <optional>
#include <variant>
#include <vector>

namespace lychee {

// A row together with its version.
struct VersionedRow {
    RowVersion version;
    TargetRow row;
};

// Settings of the state machine of one target.
struct OwnershipOptions {
    InstanceId self;
    // Memory of the target according to the configuration. The capacity is the smaller of this and the engine's report.
    Bytes memory;
    // Size of the grant: memory that the owner manages without recording each order in the table.
    Bytes grant;
    bool honoursFencing = false;
    // Delay before a failed read or write, a refused order or a lost order is retried.
    std::chrono::milliseconds retryDelay{1000};
    // An order without an answer counts as lost after this time. Only liveness depends on it, not safety.
    std::chrono::milliseconds orderTimeout{90'000};
    // Returns a globally unique value, for nonces and order ids.
    std::function<std::string()> generateUniqueId;
};

// The row was read; empty when it is absent. Also delivered without a ReadRow, after a periodic read of the table.
struct RowRead {
    std::optional<VersionedRow> row;
};

// The read requested by ReadRow failed.
struct RowReadFailed { };

// The write with this nonce took effect.
struct WriteCommitted {
    Nonce nonce;
    RowVersion version;
};

// The write with this nonce failed its version check; `row` is empty when the row is absent.
struct WriteConflict {
    Nonce nonce;
    std::optional<VersionedRow> row;
};

// The write with this nonce was sent without an answer: it may have taken effect or may yet do so.
struct WriteAnswerLost {
    Nonce nonce;
};

// The write with this nonce was never sent.
struct WriteUnreachable {
    Nonce nonce;
};

// The engine answered an order.
struct OrderAnswered {
    OrderAnswer answer;
};

// The connection was lost after the order, or a part of it, was sent.
struct OrderOutcomeUnknown {
    OrderId id;
};

// No byte of the order was sent, and none will be; also when there is no connection to the order's incarnation.
struct OrderNotSent {
    OrderId id;
};

// A report of the engine arrived.
struct ReportReceived {
    EngineReport report;
    // When the report was requested.
    TimePoint requestedAt;
};

// Replaces the artifacts that placement wants loaded and unloaded on this target. Loads are in order of urgency. The
// caller applies the load limits (LoadPacer) before it lists a load.
struct WantedArtifactsChanged {
    std::vector<ArtifactSize> loads;
    std::vector<ArtifactId> unloads;
};

// The instance that should own the target.
struct DesiredOwnerChanged {
    InstanceId desired;
    // A recorded owner that `desired` may replace, because it is not live or asked to be replaced; empty if there is
    // none. A wrong value causes a needless change of owner but never overcommits memory.
    InstanceId replaceable;
};

// A previous owner has stopped using its grant.
struct GrantReleased {
    GrantRelease release;
};

// Lets timeouts expire; deliver it several times a second.
struct TimePassed { };

// An event and its time.
struct OwnershipEvent {
    TimePoint now;
    std::variant<RowRead, RowReadFailed, WriteCommitted, WriteConflict, WriteAnswerLost, WriteUnreachable,
        OrderAnswered, OrderOutcomeUnknown, OrderNotSent, ReportReceived, WantedArtifactsChanged, DesiredOwnerChanged,
        GrantReleased, TimePassed>
        what;
};

// Read the row; answered by exactly one RowRead or RowReadFailed.
struct ReadRow { };

// Write `row` if the row's version is still `expected`; answered by exactly one write event with the nonce of `row`.
// The same write may be requested again.
struct CompareAndSetRow {
    RowVersion expected;
    TargetRow row;
};

// Send the order, once. It must go over a connection on which a report with `incarnation` was answered, so that a
// restarted engine cannot receive it; without such a connection, answer OrderNotSent. Otherwise answered by
// OrderAnswered or OrderOutcomeUnknown.
struct SendOrder {
    EngineOrder order;
    EngineIncarnation incarnation;
};

// Request a report from the engine without waiting for the next periodic one.
struct RequestReport { };

// Tell the peers which artifacts are resident.
struct PublishResidency {
    FencingNumber fence;
    std::vector<ArtifactSize> resident;
};

// Tell `newOwner` that this instance has stopped using the grant, and what it contains.
struct ReleaseGrant {
    InstanceId newOwner;
    GrantRelease release;
};

using OwnershipAction
    = std::variant<ReadRow, CompareAndSetRow, SendOrder, RequestReport, PublishResidency, ReleaseGrant>;

// The state machine of one target. At most one write is unresolved at any time: a write is repeated unchanged, with the
// same nonce and version check, until it is known to be committed or until another owner's write is seen. So a delayed
// copy of a write can only commit the row that this machine expects.
class OwnershipStateMachine {
public:
    explicit OwnershipStateMachine(OwnershipOptions options);

    // Handles one event and returns the resulting actions, in order.
    std::vector<OwnershipAction> on(const OwnershipEvent& event);

    // Whether this instance is the recorded owner, as far as it knows.
    bool isOwner() const { return owned_; }

    // The recorded owner as last seen; empty if it is not known.
    InstanceId recordedOwner() const;

    // Loads without a known outcome, including those of previous owners; they count against the load limits. Empty
    // unless this instance is the owner.
    std::vector<EngineOrder> unresolvedLoads() const;

    // Whether orders for the artifact are unresolved and none of them is under way or about to be sent: their answers
    // were lost, or a previous owner sent them. False unless this instance is the owner.
    bool isOrderLost(const ArtifactId& artifact) const;

    // The memory ledger; null unless this instance is the owner or is becoming the owner.
    const TargetLedger* ledger() const { return ledger_ ? &*ledger_ : nullptr; }

private:
    enum class WritePhase {
        InFlight,
        ReadingBack,
        WaitingToRead,
        WaitingToWrite,
    };

    struct PendingWrite {
        RowVersion base;
        TargetRow row;
        WritePhase phase = WritePhase::InFlight;
        TimePoint retryAt;
    };

    // An order for which SendOrder was issued.
    struct SentOrder {
        ArtifactId artifact;
        OrderOperation operation = OrderOperation::Load;
        TimePoint sentAt;
        bool lost = false;
        TimePoint lostAt;
    };

    enum class RowKnowledge {
        Unknown,
        Reading,
        Known,
    };

    void handle(const RowRead& event);
    void handle(const RowReadFailed& event);
    void handle(const WriteCommitted& event);
    void handle(const WriteConflict& event);
    void handle(const WriteAnswerLost& event);
    void handle(const WriteUnreachable& event);
    void handle(const OrderAnswered& event);
    void handle(const OrderOutcomeUnknown& event);
    void handle(const OrderNotSent& event);
    void handle(const ReportReceived& event);
    void handle(const WantedArtifactsChanged& event);
    void handle(const DesiredOwnerChanged& event);
    void handle(const GrantReleased& event);
    void handle(const TimePassed& event);

    // Runs the steps that have become possible or due after an event.
    void advance();
    void advanceRead();
    void advanceWrite();
    void takeOverIfWanted();
    void planTableWrite();
    // Returns whether a fence order is unresolved, so that no other order may be planned.
    bool planFence();
    void planUnloads();
    // Returns whether a wanted load has to wait for memory.
    bool planLoads();
    void planGrantUnloads();
    void planGrantLoads();
    void publishIfChanged();

    bool isPending(const Nonce& nonce) const;
    void startWrite();
    void repeatWrite();
    void waitToRead();
    void commitPending(RowVersion version);
    // Compares the table's row with the pending write that it conflicts with.
    void resolvePending(const VersionedRow& row);
    void sendRecorded();
    // Whether the grant in another owner's row is the one that this machine has been using.
    bool isGrantHandedOver(const TargetRow& row) const;
    // Adopts a row that this machine did not write and drops ownership.
    void adoptForeignRow(std::optional<VersionedRow> row);
    void send(const EngineOrder& order);
    void recordAndQueue(OrderOperation operation, const ArtifactSize& item);
    void sendInGrant(OrderOperation operation, const ArtifactSize& item);
    void markLost(const OrderId& id);
    void expireOrders();
    void forgetResolvedOrders();
    // Whether an order for the artifact may still be answered.
    bool isOutstanding(const ArtifactId& artifact) const;
    bool hasOutstandingOrders() const;
    // Whether a lost order, or a lost fence order if `fenceOnly`, has waited for the retry delay.
    bool hasLostOrderDue(bool fenceOnly) const;
    // Whether an order for the artifact may be sent now.
    bool mayOrder(const ArtifactId& artifact) const;
    // Whether the artifact is in memory and not missing from a recent report.
    bool isServing(const ArtifactId& artifact) const;
    // Whether another instance should own the target.
    bool shouldHandOver() const;
    bool isGrantUsable() const;
    bool belongsInGrant(const ArtifactId& artifact) const;
    bool isWantedLoad(const ArtifactId& artifact) const;
    EngineOrder makeOrder(OrderOperation operation, const ArtifactSize& item) const;

    OwnershipOptions options_;
    TimePoint now_;
    std::vector<OwnershipAction> actions_;

    RowKnowledge knowledge_ = RowKnowledge::Unknown;
    TimePoint readAt_;
    std::optional<VersionedRow> committed_;
    std::optional<PendingWrite> pending_;
    bool owned_ = false;
    bool platformReachable_ = true;

    // The committed row plus every change since, including those of the pending write.
    std::optional<TargetLedger> ledger_;
    std::map<OrderId, SentOrder> sent_;
    // Orders that the pending write records; they are sent once it is committed.
    std::vector<OrderId> unsent_;
    // When the incarnation in the ledger was last known to be running. Another incarnation is accepted only from a
    // report requested after this time: incarnations have no order, so a delayed report of an earlier one would
    // otherwise look like a restart.
    TimePoint incarnationSeenAt_;
    std::optional<EngineReport> firstReport_;

    WantedArtifactsChanged wanted_;
    DesiredOwnerChanged desired_;
    // Earliest time at which an order for the artifact may be retried.
    std::map<ArtifactId, TimePoint> notBefore_;
    // When the artifact was last loaded here.
    std::map<ArtifactId, TimePoint> loadedAt_;
    TimePoint ownedSince_;
    std::optional<PublishResidency> published_;
};

} // namespace lychee
