// Tracks what the memory of one target may hold, and decides which loads may be ordered.
#pragma once

#include "coordination/TargetRow.h"
#include "transport/RuntimeClock.h"

#include <optional>

namespace lychee {

// Contents of a grant. Only the owner that uses the grant knows them.
struct GrantContents {
    std::vector<ArtifactSize> resident;
    // Orders that were sent against the grant and have no known outcome.
    std::vector<EngineOrder> orders;

    bool operator==(const GrantContents&) const = default;
};

// Hands a grant over to the recorded owner. The sender has stopped using it and will not use it again.
struct GrantRelease {
    // The grant is identified by the fencing number of the owner that used it and the incarnation of the engine.
    FencingNumber grantFence;
    EngineIncarnation incarnation;
    GrantContents contents;

    bool operator==(const GrantRelease&) const = default;
};

// The memory accounting of one target, kept by its owner. The counted memory of resident artifacts, unresolved loads
// and the grant is never below the memory in use, even without reports; reports can only add to it. No method checks
// ownership.
class TargetLedger {
public:
    // Starts from a row read from the table.
    explicit TargetLedger(TargetRow row);

    // Creates the row of a target that has none, from the engine's report. Requires that no order was ever sent to it.
    static TargetLedger createFromReport(const EngineReport& report, Bytes memoryLimit);

    const TargetRow& row() const { return row_; }

    const GrantContents& grantContents() const { return grant_; }

    // Memory that may be in use: all artifacts that are resident, reported or in an unresolved load, each counted once,
    // plus the grant.
    Bytes counted() const;

    // Whether a load may be recorded: the counted memory including it is at most the capacity, and the row has space
    // for another order.
    bool mayRecordLoad(const ArtifactSize& item) const;

    // Whether a load fits into the owner's own grant. `committed` is the size of the grant in the committed row.
    bool mayLoadInGrant(const ArtifactSize& item, Bytes committed) const;

    // Whether the artifact is resident in the grant or has an unresolved order there.
    bool isInGrant(const ArtifactId& artifact) const;

    // Whether the artifact is in memory, as far as is known.
    bool isResident(const ArtifactId& artifact) const;

    // All artifacts in memory, as far as is known, sorted.
    std::vector<ArtifactSize> knownResident() const;

    // Whether the latest report, requested after `since`, does not list the artifact.
    bool isReportedMissing(const ArtifactId& artifact, TimePoint since) const;

    // Records an order in the row. A new order for an artifact replaces its earlier unloads, so that a late answer to
    // an old unload cannot free what a newer load has filled.
    void record(EngineOrder order);

    // Records an order against the grant.
    void recordInGrant(EngineOrder order);

    // Removes an order that its sender has not sent and never will.
    void removeUnsent(const OrderId& id);

    // Resolves an order by the engine's answer. Returns false if the order is not known. A fence order stays until
    // applyFencedReport(), because its answer alone does not tell which of the older orders took effect.
    bool applyAnswer(const OrderAnswer& answer);

    // Adds the artifacts that a report of the same incarnation lists and resolves the orders that it names. The report
    // may be stale.
    void applyReport(const EngineReport& report, TimePoint requestedAt);

    // Resets the ledger for a new incarnation of the engine. Only the owner's own grant is kept, without contents.
    void applyRestart(const EngineReport& report, TimePoint requestedAt, Bytes memoryLimit);

    // Whether a fence order is unresolved. No other order may be sent until it is resolved.
    bool isFencing() const;

    // Makes `owner` the owner, with the next fencing number.
    void takeOver(const InstanceId& owner);

    // Records a fence order, replacing an earlier one; with `raiseFence`, under the next fencing number. An own grant
    // remains the owner's.
    void startFence(const OrderId& id, bool raiseFence);

    // Resolves every order older than the fence order by a report that the engine made after it applied the fence. No
    // other order has been sent since, so the report lists exactly the resident artifacts.
    void applyFencedReport(const EngineReport& report, TimePoint requestedAt);

    // Enlarges the owner's own grant up to `wanted`, as far as memory is free. Does nothing for an inherited grant.
    void growGrant(Bytes wanted);

    // Takes over the contents of an inherited grant. Returns false if it is not the grant of this row.
    bool acceptGrant(const GrantRelease& release);

    // Moves the contents of the owner's own grant into the row and clears the owner. grantContents() remains unchanged,
    // because it is still needed if another owner's write is committed first.
    void releaseOwnership();

    // Sets the nonce of the next write.
    void setNonce(Nonce nonce) { row_.nonce = std::move(nonce); }

private:
    struct Reported {
        TimePoint requestedAt;
        std::vector<ArtifactSize> resident;
    };

    bool resolveInRow(const OrderId& id, OrderState state);
    bool resolveInGrant(const OrderId& id, OrderState state);
    void forgetReported(const ArtifactId& artifact);
    Bytes countWith(const ArtifactSize& added) const;
    Bytes grantUse(const ArtifactSize& added) const;
    void addGrantContents(const GrantContents& contents);

    TargetRow row_;
    GrantContents grant_;
    std::optional<Reported> reported_;
};

} // namespace lychee
