// The row of table `claims` that records the one execution of a non-idempotent call.
#pragma once

#include "protocol/Ids.h"
#include "transport/HttpMessage.h"

#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <optional>
#include <string>

namespace lychee {

// Name of the table that holds the claims.
inline constexpr std::string_view claimsTable = "claims";

// Largest answer, headers and body together, that is stored in a row. The table service holds all other state as well,
// and many rows are sent in one write, so a row must stay small.
inline constexpr std::size_t maxStoredAnswerBytes = std::size_t{64} * 1024;

enum class ClaimState {
    // The holder is about to call the target, is calling it, or died before it recorded the outcome.
    Running,
    // The target answered; the row holds the answer.
    Done,
    // No call was made under this row, or the target proved that it did not run it.
    Released,
};

// The name of a state in rows and in reports to callers and operators.
std::string_view claimStateName(ClaimState state);

struct ClaimRow {
    BodyHash bodyHash;
    // Identifies the request that wrote the row.
    Nonce nonce;
    InstanceId ownerInstance;
    ClaimState state = ClaimState::Running;
    // The target's answer; meaningful in state Done.
    HttpResponse answer;
    // False if the answer exceeded maxStoredAnswerBytes; the answer then has only its status.
    bool answerStored = true;
    // Wall clock time at which the holder received the request, in milliseconds since the epoch.
    std::int64_t createdMs = 0;

    // Sets the state to Done and stores `response`, or only its status if it exceeds maxStoredAnswerBytes.
    void finish(const HttpResponse& response);

    // The value of the row. Body and header values are Base64, because JSON cannot carry arbitrary bytes.
    nlohmann::json toJson() const;

    // Fails with ProtocolError::Malformed if a field is missing or has the wrong type.
    static absl::StatusOr<ClaimRow> fromJson(const nlohmann::json& json);
};

// A row as read from the table.
struct VersionedClaim {
    RowVersion version;
    ClaimRow row;
};

// The key of a claim's row, TEAM/KEY. Slashes in the team are escaped, so no two teams share a row.
std::string claimRowKey(const TeamId& team, const IdempotencyKey& key);

} // namespace lychee
