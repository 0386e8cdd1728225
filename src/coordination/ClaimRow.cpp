#include "coordination/ClaimRow.h"

#include "protocol/ProtocolError.h"

#include <absl/strings/escaping.h>
#include <absl/strings/str_replace.h>

namespace lychee {

namespace {

std::string toBase64(const std::string& bytes) { return absl::Base64Escape(bytes); }

absl::StatusOr<std::string> fromBase64(const nlohmann::json& json)
{
    std::string bytes;
    if (!absl::Base64Unescape(json.get<std::string>(), &bytes))
        return makeError(ProtocolError::Malformed, "claim row: invalid Base64");
    return bytes;
}

std::optional<ClaimState> stateFromName(std::string_view name)
{
    for (const ClaimState state : {ClaimState::Running, ClaimState::Done, ClaimState::Released}) {
        if (claimStateName(state) == name)
            return state;
    }
    return std::nullopt;
}

std::size_t sizeOf(const HttpResponse& response)
{
    std::size_t bytes = response.body.size();
    for (const HttpHeaders::Field& field : response.headers.fields())
        bytes += field.name.size() + field.value.size();
    return bytes;
}

absl::StatusOr<HttpHeaders> headersFromJson(const nlohmann::json& json)
{
    HttpHeaders headers;
    for (const nlohmann::json& field : json) {
        absl::StatusOr<std::string> value = fromBase64(field.at(1));
        if (!value.ok())
            return value.status();
        headers.add(field.at(0).get<std::string>(), *value);
    }
    return headers;
}

} // namespace

std::string_view claimStateName(ClaimState state)
{
    switch (state) {
    case ClaimState::Running:
        return "running";
    case ClaimState::Done:
        return "done";
    case ClaimState::Released:
        return "released";
    }
    return "unknown";
}

void ClaimRow::finish(const HttpResponse& response)
{
    state = ClaimState::Done;
    answerStored = sizeOf(response) <= maxStoredAnswerBytes;
    answer = answerStored ? response : HttpResponse{.status = response.status};
}

nlohmann::json ClaimRow::toJson() const
{
    nlohmann::json headers = nlohmann::json::array();
    for (const HttpHeaders::Field& field : answer.headers.fields())
        headers.push_back({field.name, toBase64(field.value)});
    return {{"body_hash", bodyHash}, {"nonce", nonce}, {"owner_instance", ownerInstance},
        {"state", std::string(claimStateName(state))}, {"status", answer.status}, {"headers", std::move(headers)},
        {"body", toBase64(answer.body)}, {"answer_stored", answerStored}, {"created_ms", createdMs}};
}

absl::StatusOr<ClaimRow> ClaimRow::fromJson(const nlohmann::json& json)
{
    try {
        const std::optional<ClaimState> state = stateFromName(json.at("state").get<std::string>());
        if (!state)
            return makeError(ProtocolError::Malformed, "claim row: unknown state");
        absl::StatusOr<std::string> body = fromBase64(json.at("body"));
        if (!body.ok())
            return body.status();
        absl::StatusOr<HttpHeaders> headers = headersFromJson(json.at("headers"));
        if (!headers.ok())
            return headers.status();
        ClaimRow row;
        row.bodyHash = json.at("body_hash").get<BodyHash>();
        row.nonce = json.at("nonce").get<Nonce>();
        row.ownerInstance = json.at("owner_instance").get<InstanceId>();
        row.state = *state;
        row.answer = {json.at("status").get<int>(), *std::move(headers), *std::move(body)};
        row.answerStored = json.at("answer_stored").get<bool>();
        row.createdMs = json.at("created_ms").get<std::int64_t>();
        return row;
    } catch (const nlohmann::json::exception& error) {
        return makeError(ProtocolError::Malformed, fmt::format("claim row: {}", error.what()));
    }
}

std::string claimRowKey(const TeamId& team, const IdempotencyKey& key)
{
    return fmt::format("{}/{}", absl::StrReplaceAll(team.value(), {{"%", "%25"}, {"/", "%2F"}}), key);
}

} // namespace lychee
