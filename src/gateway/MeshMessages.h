// Messages between the instances of one deployment.
#pragma once

#include "fleet/DemandMeter.h"
#include "fleet/TargetRegistry.h"
#include "gateway/RowStore.h"
#include "protocol/Ids.h"

#include <absl/status/statusor.h>

#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace lychee::gateway {

// Version of the protocol; a peer with another version is refused.
inline constexpr std::uint64_t meshProtocolVersion = 2;

// First message on a connection, from both sides.
struct MeshHello {
    InstanceId instance;
    // Where the sender accepts connections of peers.
    std::string address;
    std::uint16_t port = 0;

    auto fields() { return std::tie(instance, address, port); }
};

struct MeshWork {
    TargetId target;
    std::uint32_t running = 0;
    double prefillTokens = 0;
    double heldTokens = 0;

    auto fields() { return std::tie(target, running, prefillTokens, heldTokens); }
};

struct MeshDemand {
    ModelId model;
    double work = 0;

    auto fields() { return std::tie(model, work); }
};

// An adapter that requests have used lately.
struct MeshAdapterUse {
    TargetId target;
    ModelId model;
    AdapterId adapter;

    auto fields() { return std::tie(target, model, adapter); }
    bool operator<(const MeshAdapterUse& other) const
    {
        return std::tie(target, model, adapter) < std::tie(other.target, other.model, other.adapter);
    }
};

// Sent several times a second: the work of the sender and what it knows. Shows also that the sender lives.
struct MeshStatus {
    std::vector<MeshWork> work;
    std::vector<MeshDemand> demand;
    std::vector<MeshAdapterUse> uses;
    // Whether the sender reads the platform's tables, and up to which version of each.
    bool readsPlatform = false;
    RowVersion configurationRow;
    RowVersion targetRows;
    // The sender holds the placement lease and renews it. It may not give orders yet if it took the lease lately.
    bool holdsLease = false;

    auto fields() { return std::tie(work, demand, uses, readsPlatform, configurationRow, targetRows, holdsLease); }
};

// A row of the platform's tables.
struct MeshRow {
    std::string key;
    RowVersion version;
    bool removed = false;
    std::string value;

    auto fields() { return std::tie(key, version, removed, value); }
};

// Rows of one table that have changed after `since`, up to `version`.
struct MeshRows {
    std::string table;
    RowVersion since;
    RowVersion version;
    std::vector<MeshRow> rows;

    auto fields() { return std::tie(table, since, version, rows); }
};

struct MeshHeldModel {
    ModelId model;
    std::uint64_t version = 0;
    std::vector<AdapterId> adapters;

    auto fields() { return std::tie(model, version, adapters); }
};

struct MeshAdapter {
    ModelId model;
    AdapterId adapter;

    auto fields() { return std::tie(model, adapter); }
};

// What an engine holds, told by the owner of placement after each change.
struct MeshHoldings {
    TargetId target;
    fleet::TargetIncarnation incarnation;
    fleet::OrderSequence sequence;
    std::vector<MeshHeldModel> models;
    std::vector<MeshAdapter> arriving;
    // The model that is being loaded, empty when there is none, and the estimated time until it is there.
    ModelId loading;
    std::uint32_t loadingMs = 0;

    auto fields() { return std::tie(target, incarnation, sequence, models, arriving, loading, loadingMs); }
};

// Asks the owner of placement to load an adapter.
struct MeshEnsureAdapter {
    std::uint64_t call = 0;
    TargetId target;
    ModelId model;
    AdapterId adapter;

    auto fields() { return std::tie(call, target, model, adapter); }
};

// Answers MeshEnsureAdapter; `reason` is empty when the adapter is held.
struct MeshEnsureResult {
    std::uint64_t call = 0;
    std::string reason;

    auto fields() { return std::tie(call, reason); }
};

// The sender stops; it takes no further part.
struct MeshLeaving {
    std::uint64_t reserved = 0;

    auto fields() { return std::tie(reserved); }
};

// The position of a type in this list is its number on the wire; new types go to the end.
using MeshMessage
    = std::variant<MeshHello, MeshStatus, MeshRows, MeshHoldings, MeshEnsureAdapter, MeshEnsureResult, MeshLeaving>;

std::string encodeMeshMessage(const MeshMessage& message);

// Fails with ProtocolError.
absl::StatusOr<MeshMessage> decodeMeshMessage(std::string_view payload);

MeshHoldings toMessage(
    const TargetId& target, fleet::TargetIncarnation incarnation, const fleet::Holdings& holdings, TimePoint now);

fleet::Holdings fromMessage(const MeshHoldings& message, TimePoint now);

std::vector<MeshRow> toMessage(const std::vector<StoredRow>& rows);

std::vector<StoredRow> fromMessage(const std::vector<MeshRow>& rows);

std::vector<MeshWork> toMessage(const std::vector<fleet::TargetWorkReport>& shares);

std::vector<fleet::TargetWorkReport> fromMessage(const std::vector<MeshWork>& work);

std::vector<MeshDemand> toMessage(const std::vector<fleet::ModelDemand>& demand);

std::vector<fleet::ModelDemand> fromMessage(const std::vector<MeshDemand>& demand);

} // namespace lychee::gateway
