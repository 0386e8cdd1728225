// Messages between the instances of one deployment.
#pragma once

#include "fleet/ConfigurationAge.h"
#include "fleet/CrashAttribution.h"
#include "fleet/DemandMeter.h"
#include "fleet/RequestGrants.h"
#include "fleet/SharedRateLimit.h"
#include "fleet/TargetRegistry.h"
#include "gateway/RowStore.h"
#include "protocol/Ids.h"
#include "protocol/TextDifference.h"

#include <absl/status/statusor.h>

#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace lychee::gateway {

// Version of the mesh protocol; a message of any other version is rejected.
inline constexpr std::uint64_t meshProtocolVersion = 7;

// First message that both sides send on a new connection.
struct MeshHello {
    InstanceId instance;
    // Address and port on which the sender accepts connections from peers.
    std::string address;
    std::uint16_t port = 0;
    // The port on which it accepts requests for tunnels to targets.
    std::uint16_t tunnelPort = 0;
    std::string dataCentre;
    // The part of a processor that the sender has.
    double capacity = 0;

    auto fields() { return std::tie(instance, address, port, tunnelPort, dataCentre, capacity); }
};

// Prompt tokens of one urgency that wait at a target.
struct MeshPrefill {
    std::uint32_t urgency = 0;
    std::uint32_t tokens = 0;

    auto fields() { return std::tie(urgency, tokens); }
};

// What the sender knows of the pace of a target.
struct MeshPace {
    std::uint32_t percent = 0;
    std::uint32_t ageMs = 0;
    bool isMeasured = false;

    auto fields() { return std::tie(percent, ageMs, isMeasured); }
};

// The requests in a target as it last told the sender.
struct MeshLoad {
    std::uint32_t requests = 0;
    std::uint32_t ageMs = 0;

    auto fields() { return std::tie(requests, ageMs); }
};

// Requests in progress that the sender has forwarded to one target, and what it knows of the target's pace.
struct MeshWork {
    TargetId target;
    std::uint32_t running = 0;
    std::vector<MeshPrefill> prefill;
    std::uint32_t heldTokens = 0;
    // At most one of each.
    std::vector<MeshPace> pace;
    std::vector<MeshLoad> load;

    auto fields() { return std::tie(target, running, prefill, heldTokens, pace, load); }
};

// Recent demand for one model at the sender.
struct MeshDemand {
    ModelId model;
    double work = 0;

    auto fields() { return std::tie(model, work); }
};

// An adapter on a target that requests have used since the previous status message, or are using.
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

// What the sender has admitted of a customer with a limit since its start, and the customer's demand at the sender.
struct MeshCustomerUse {
    fleet::CustomerId customer;
    double admitted = 0;
    double demand = 0;

    auto fields() { return std::tie(customer, admitted, demand); }
};

// State of the sender, sent several times a second and in large deployments at least once a second. Serves as the
// heartbeat too.
struct MeshStatus {
    std::vector<MeshWork> work;
    std::vector<MeshDemand> demand;
    std::vector<MeshAdapterUse> uses;
    std::vector<MeshCustomerUse> customerUse;
    // Whether the sender can read the platform's tables.
    bool readsPlatform = false;
    // The version of the newest row of the configuration that the sender has.
    RowVersion configurationRow;
    // The version up to which the sender has the rows of the targets.
    RowVersion targetRows;
    // The sender holds the placement lease and renews it. Right after it has acquired the lease it may not be allowed
    // to send orders yet.
    bool holdsLease = false;
    // How long the platform's store has answered the sender without an outage.
    std::uint64_t storeReachedMs = 0;
    // The sender connects to targets directly, so that peers may have it open tunnels.
    bool reachesTargets = false;

    auto fields()
    {
        return std::tie(work, demand, uses, customerUse, readsPlatform, configurationRow, targetRows, holdsLease,
            storeReachedMs, reachesTargets);
    }
};

// A row of one of the platform's tables, as its value or as the difference from an earlier one.
struct MeshRow {
    std::string key;
    RowVersion version;
    bool removed = false;
    std::string value;
    // The version of the row from which `difference` is; zero when `value` is the whole value.
    RowVersion base;
    TextDifference difference;

    // Roughly the bytes of the encoded row.
    std::size_t size() const { return key.size() + value.size() + difference.size(); }

    auto fields() { return std::tie(key, version, removed, value, base, difference); }
};

// Rows of one table that have changed after version `since`, up to and including `version`.
struct MeshRows {
    std::string table;
    RowVersion since;
    RowVersion version;
    std::vector<MeshRow> rows;

    auto fields() { return std::tie(table, since, version, rows); }
};

// A model that an engine has loaded, with its loaded adapters.
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

// Models and adapters that an engine holds. Sent by the placement owner after each change.
struct MeshHoldings {
    TargetId target;
    fleet::TargetIncarnation incarnation;
    fleet::OrderSequence sequence;
    std::vector<MeshHeldModel> models;
    // Adapters that are being loaded.
    std::vector<MeshAdapter> arriving;
    // The model that is being loaded, empty when there is none, and the estimated time until it is loaded.
    ModelId loading;
    std::uint32_t loadingRemainingMs = 0;

    auto fields() { return std::tie(target, incarnation, sequence, models, arriving, loading, loadingRemainingMs); }
};

// Asks the placement owner to load an adapter.
struct MeshEnsureAdapter {
    // Number by which the sender matches the result to this request.
    std::uint64_t call = 0;
    TargetId target;
    ModelId model;
    AdapterId adapter;

    auto fields() { return std::tie(call, target, model, adapter); }
};

// Result of a MeshEnsureAdapter. `reason` says why it failed and is empty when the target holds the adapter.
struct MeshEnsureResult {
    std::uint64_t call = 0;
    std::string reason;

    auto fields() { return std::tie(call, reason); }
};

// The sender is shutting down and leaves the deployment.
struct MeshLeaving {
    std::uint64_t reserved = 0;

    auto fields() { return std::tie(reserved); }
};

// A request that a target was working on when it crashed. Traits are hashes.
struct MeshCrashSuspect {
    fleet::RequestTrait content;
    std::vector<fleet::RequestTrait> promptParts;
    bool begun = false;
    std::uint64_t ranMs = 0;

    auto fields() { return std::tie(content, promptParts, begun, ranMs); }
};

// The requests that the sender had on a target when it crashed.
struct MeshCrash {
    TargetId target;
    fleet::TargetIncarnation incarnation;
    std::uint64_t ageMs = 0;
    std::vector<MeshCrashSuspect> suspects;

    auto fields() { return std::tie(target, incarnation, ageMs, suspects); }
};

// Traits that do not crash targets, because a target answered a request that has them.
struct MeshTraitsCleared {
    std::vector<fleet::RequestTrait> traits;

    auto fields() { return std::tie(traits); }
};

// A trait with which requests are refused, told to an instance that joins.
struct MeshTraitBlocked {
    fleet::RequestTrait trait;
    std::uint64_t remainingMs = 0;

    auto fields() { return std::tie(trait, remainingMs); }
};

// Asks how old the knowledge of the configuration is at the receiver.
struct MeshConfirmationQuery {
    // Number by which the sender matches the response to this query.
    std::uint64_t call = 0;

    auto fields() { return std::tie(call); }
};

// Response to a MeshConfirmationQuery.
struct MeshConfirmation {
    std::uint64_t call = 0;
    // Rounded up.
    std::uint64_t ageMs = 0;
    // Version of the row of the configuration that the sender has.
    RowVersion row;

    auto fields() { return std::tie(call, ageMs, row); }
};

// Asks the receiver to grant one request to a target that limits how many it takes.
struct MeshGrantQuery {
    // Number by which the sender matches the answer to this query.
    std::uint64_t call = 0;
    TargetId target;
    fleet::TargetIncarnation incarnation;
    // The requests per second that the target takes, as the sender last heard.
    double perSecond = 0;
    // How long the request may wait.
    std::uint64_t maxWaitMs = 0;

    auto fields() { return std::tie(call, target, incarnation, perSecond, maxWaitMs); }
};

// Answer to a MeshGrantQuery.
struct MeshGrant {
    std::uint64_t call = 0;
    bool granted = false;
    // Time until a granted request may be sent, or until the next one can be granted; rounded up.
    std::uint64_t waitMs = 0;

    auto fields() { return std::tie(call, granted, waitMs); }
};

// What a target has said to the sender about the requests that it takes. Sent when it says something new.
struct MeshRequestLimit {
    TargetId target;
    fleet::TargetIncarnation incarnation;
    // Whether the target limits its requests; `perSecond` is meaningless otherwise.
    bool isLimited = false;
    double perSecond = 0;

    auto fields() { return std::tie(target, incarnation, isLimited, perSecond); }
};

// A target that fails when it turns away many requests has turned one of the sender away, and gets none for a time.
struct MeshTurnedAway {
    TargetId target;
    fleet::TargetIncarnation incarnation;
    std::uint64_t pauseMs = 0;

    auto fields() { return std::tie(target, incarnation, pauseMs); }
};

// The software versions of a service that may begin streams, as of a version of the platform's row.
struct MeshVersionList {
    ServiceId service;
    RowVersion row;
    std::vector<SoftwareVersion> versions;

    auto fields() { return std::tie(service, row, versions); }
};

// The position of a type in this list is its tag on the wire, so new types are appended at the end.
using MeshMessage = std::variant<MeshHello, MeshStatus, MeshRows, MeshHoldings, MeshEnsureAdapter, MeshEnsureResult,
    MeshLeaving, MeshCrash, MeshTraitsCleared, MeshTraitBlocked, MeshConfirmationQuery, MeshConfirmation,
    MeshGrantQuery, MeshGrant, MeshRequestLimit, MeshVersionList, MeshTurnedAway>;

std::string encodeMeshMessage(const MeshMessage& message);

// Fails with ProtocolError when the payload is not a message of this protocol version.
absl::StatusOr<MeshMessage> decodeMeshMessage(std::string_view payload);

// Conversions between the types of the instance and those of the messages. `now` converts between times and durations.
MeshHoldings toMessage(
    const TargetId& target, fleet::TargetIncarnation incarnation, const fleet::Holdings& holdings, TimePoint now);

fleet::Holdings fromMessage(const MeshHoldings& message, TimePoint now);

// One message for each crash.
std::vector<MeshCrash> toMessages(const std::vector<fleet::CrashSuspect>& suspects);

std::vector<fleet::CrashSuspect> fromMessage(const MeshCrash& message);

MeshTraitBlocked toMessage(const fleet::BlockedTrait& blocked);

fleet::BlockedTrait fromMessage(const MeshTraitBlocked& message);

MeshConfirmation toMessage(std::uint64_t call, const fleet::ConfigurationStatement& statement);

fleet::ConfigurationStatement fromMessage(const MeshConfirmation& message);

MeshGrant toMessage(std::uint64_t call, const fleet::RequestGrant& grant);

fleet::RequestGrant fromMessage(const MeshGrant& message);

std::uint64_t toMilliseconds(Duration duration);

Duration fromMilliseconds(std::uint64_t count);

std::vector<MeshRow> toMessage(const std::vector<StoredRow>& rows);

std::vector<MeshWork> toMessage(const std::vector<fleet::TargetWorkReport>& shares);

std::vector<fleet::TargetWorkReport> fromMessage(const std::vector<MeshWork>& work);

std::vector<MeshDemand> toMessage(const std::vector<fleet::ModelDemand>& demand);

std::vector<fleet::ModelDemand> fromMessage(const std::vector<MeshDemand>& demand);

std::vector<MeshCustomerUse> toMessage(const std::vector<fleet::CustomerUse>& uses);

std::vector<fleet::CustomerUse> fromMessage(const std::vector<MeshCustomerUse>& uses);

} // namespace lychee::gateway
