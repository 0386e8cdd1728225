// The row of table `targets` for one target: who owns it and what its memory may hold.
#pragma once

#include "protocol/EngineProtocol.h"

#include <absl/status/statusor.h>

#include <string>
#include <string_view>
#include <vector>

namespace lychee {

// Name of the table; the key of a row is the target id.
inline constexpr std::string_view targetsTable = "targets";

// Largest number of unresolved orders in one row, so that a row stays small however many answers are lost.
inline constexpr std::size_t maxRecordedOrders = 64;

// Value of one row of table `targets`. Every order in it was, or may yet be, sent to the engine named by
// `incarnation` and to no later one.
struct TargetRow {
    // The recorded owner; empty after an owner has released the target and before another takes over.
    InstanceId owner;
    // Incremented with each change of owner and whenever the owner fences its own lost orders.
    FencingNumber fence;
    // Random value of the writer of this version; a writer recognizes its own write by it.
    Nonce nonce;
    Bytes capacity;
    // The incarnation of the engine that `resident` and `orders` describe.
    EngineIncarnation incarnation;
    // Sorted by artifact.
    std::vector<ArtifactSize> resident;
    // Orders without a known outcome, oldest first.
    std::vector<EngineOrder> orders;
    // Memory that one owner manages without recording each order in the row.
    Bytes grant;
    // Fencing number of the owner that may use the grant. If it differs from `fence`, the whole grant counts as used.
    FencingNumber grantFence;

    bool operator==(const TargetRow&) const = default;

    // Whether `artifact` is listed as resident.
    bool isResident(const ArtifactId& artifact) const;

    // Adds an artifact to `resident`; keeps the larger size if it is there already.
    void addResident(const ArtifactSize& item);

    // Removes an artifact from `resident`, if it is there.
    void removeResident(const ArtifactId& artifact);

    // The recorded order with this id, or null.
    const EngineOrder* order(const OrderId& id) const;

    // Whether a load of `artifact` has no known outcome.
    bool hasUnresolvedLoad(const ArtifactId& artifact) const;

    // Whether an earlier owner may still be using the grant.
    bool isGrantInherited() const;
};

// Writes the row as one JSON document.
std::string encodeTargetRow(const TargetRow& row);

// Reads a row. Fails with ProtocolError::Malformed.
absl::StatusOr<TargetRow> decodeTargetRow(std::string_view document);

} // namespace lychee
