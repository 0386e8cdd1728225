#include "daemon/OperatorService.h"

#include "daemon/CallerService.h"
#include "protocol/Digest.h"
#include "protocol/HeaderNames.h"
#include "state/ConfigurationGenerator.h"

#include <charconv>

namespace lychee {

namespace {

using nlohmann::json;

constexpr std::string_view prefix = "/operator/v1";
constexpr Duration platformTimeout = std::chrono::seconds(2);

std::string_view stateName(MemberState state)
{
    switch (state) {
    case MemberState::Live:
        return "live";
    case MemberState::Leaving:
        return "leaving";
    case MemberState::Suspected:
        return "suspected";
    case MemberState::Dead:
        return "dead";
    }
    return "unknown";
}

json describeTarget(const TargetStatus& status)
{
    json resident = json::array();
    for (const HeldArtifact& held : status.held) {
        if (held.state == ArtifactState::Resident)
            resident.push_back(held.artifact);
    }
    return {{"id", status.target.id}, {"kind", status.target.kind == TargetKind::Engine ? "engine" : "service"},
        {"data_centre", status.target.dataCentre}, {"state", status.live ? "up" : "down"}, {"owner", status.owner},
        {"memory_bytes", status.target.memory}, {"counted_bytes", status.counted}, {"running", status.running},
        {"queued", status.queued}, {"resident", std::move(resident)}};
}

json describeArtifact(const std::string& id, const ArtifactId& artifact, const std::vector<TargetStatus>& targets)
{
    json residentOn = json::array();
    bool loading = false;
    for (const TargetStatus& target : targets) {
        for (const HeldArtifact& held : target.held) {
            if (held.artifact != artifact || !target.live)
                continue;
            if (held.state == ArtifactState::Resident)
                residentOn.push_back(target.target.id);
            loading = loading || held.state == ArtifactState::Loading;
        }
    }
    std::string state = loading ? "loading" : "unreachable";
    if (!residentOn.empty())
        state = "resident";
    return {{"id", id}, {"artifact", artifact}, {"resident_on", std::move(residentOn)}, {"state", state}};
}

} // namespace

OperatorService::OperatorService(
    ControlOptions identity, OperatorOptions options, ControlService& control, PlatformGateway& platform)
    : identity_(std::move(identity))
    , options_(std::move(options))
    , control_(control)
    , platform_(platform)
{
}

void OperatorService::handle(HttpExchange& exchange)
{
    const HttpRequest& request = exchange.request();
    const std::optional<std::string_view> token = bearerToken(request);
    if (!token.has_value() || !equalConstantTime(sha256Hex(*token), sha256Hex(options_.token))) {
        exchange
            .respond(
                toResponse({401, "unauthorized", "the operator token is required as \"Authorization: Bearer TOKEN\""}))
            .IgnoreError();
        return;
    }
    exchange.respond(route(request)).IgnoreError();
}

HttpResponse OperatorService::route(const HttpRequest& request)
{
    std::string_view path = request.path();
    if (!path.starts_with(prefix))
        return toResponse({404, "unknown_path", "no such path"});
    path.remove_prefix(prefix.size());
    const bool isGet = request.method == "GET";
    const bool isPost = request.method == "POST";
    if (isGet && path == "/status")
        return status();
    if (isPost && path == "/answers/check")
        return checkAnswers(request);
    if (isPost && path == "/answers")
        return submitAnswers(request);
    if (isGet && path == "/answers")
        return {200, {{header::contentType, "text/plain"}}, control_.configuration()->answers};
    if (isGet && path == "/config")
        return {200, {{header::contentType, "application/json"}}, encodeConfiguration(*control_.configuration())};
    if (isGet && path == "/config/history")
        return history();
    if (isGet && path.starts_with("/requests/"))
        return requestState(path.substr(std::string_view("/requests/").size()));
    if (isPost && path == "/drain") {
        options_.drain();
        return jsonResponse(202, {{"instance", identity_.instance}, {"state", "leaving"}});
    }
    return toResponse({404, "unknown_path", "no such path"});
}

HttpResponse OperatorService::status()
{
    const Configuration& configuration = *control_.configuration();
    const std::vector<TargetStatus> targets = control_.placement().status();
    const auto age = std::chrono::duration_cast<std::chrono::milliseconds>(currentTime() - control_.adoptedAt());
    std::string state = options_.ready->load() ? "ready" : "leaving";
    if (configuration.version == ConfigurationVersion())
        state = "starting";
    json document{{"instance", identity_.instance}, {"data_centre", identity_.dataCentre}, {"state", state},
        {"configuration_version", configuration.version}, {"configuration_age_ms", age.count()},
        {"platform", platform_.isUp() ? "up" : "down"}, {"instances", json::array()}, {"targets", json::array()},
        {"models", json::array()}, {"adapters", json::array()}};
    for (const MemberRecord& member : control_.members())
        document["instances"].push_back(
            {{"id", member.id}, {"data_centre", member.dataCentre}, {"state", stateName(member.state)}});
    for (const TargetStatus& target : targets)
        document["targets"].push_back(describeTarget(target));
    for (const Model& model : configuration.models)
        document["models"].push_back(describeArtifact(model.id.value(), model.artifact(), targets));
    for (const Adapter& adapter : configuration.adapters)
        document["adapters"].push_back(
            describeArtifact(adapter.id.value(), configuration.artifactOf(adapter), targets));
    return jsonResponse(200, document);
}

HttpResponse OperatorService::checkAnswers(const HttpRequest& request)
{
    const AnswersResult parsed = Answers::parse(request.body);
    if (!parsed.ok())
        return jsonResponse(400, {{"errors", parsed.errors}});
    const Configuration next = generateConfiguration(*parsed.answers, control_.configuration()->version.next());
    return jsonResponse(200, {{"difference", difference(*control_.configuration(), next)}});
}

HttpResponse OperatorService::submitAnswers(const HttpRequest& request)
{
    ConfigurationVersion base = control_.configuration()->version;
    if (const auto text = request.query("base_version")) {
        std::uint64_t number = 0;
        const auto result = std::from_chars(text->data(), text->data() + text->size(), number);
        if (result.ec != std::errc() || result.ptr != text->data() + text->size())
            return toResponse({400, "invalid_base_version", "base_version must be an unsigned whole number"});
        base = ConfigurationVersion(number);
    }
    const SubmitResult result = control_.submit(request.body, base);
    if (result.status.ok())
        return jsonResponse(200, {{"version", result.version}});
    if (!result.errors.empty())
        return jsonResponse(400,
            {{"error", {{"code", "invalid_answers"}, {"message", "the answers have errors"}}},
                {"errors", result.errors}});
    const json error{{"code", "conflict"}, {"message", std::string(messageOf(result.status))}};
    if (errorOf<CoordinationError>(result.status) == CoordinationError::VersionStale)
        return jsonResponse(409, {{"error", error}, {"version", result.version}, {"difference", result.difference}});
    return toResponse({503, "platform_unreachable", std::string(messageOf(result.status)), RunOutcome::Unknown, {}});
}

HttpResponse OperatorService::history()
{
    const absl::StatusOr<std::vector<NamedRow>> rows = platform_.list(
        std::string(configurationTable), std::string(historyKeyPrefix), currentTime() + platformTimeout);
    if (!rows.ok())
        return toResponse(
            {503, "platform_unreachable", "the configuration history could not be read from the platform"});
    json versions = json::array();
    for (const NamedRow& row : *rows) {
        if (const std::optional<AcceptedConfiguration> accepted = decodeAccepted(row.row.value))
            versions.push_back(encodeAccepted(*accepted));
    }
    return jsonResponse(200, {{"versions", std::move(versions)}});
}

HttpResponse OperatorService::requestState(std::string_view rest)
{
    const std::size_t slash = rest.find('/');
    if (slash == std::string_view::npos)
        return toResponse({404, "unknown_path", "the path is /requests/TEAM/KEY"});
    const TeamId team(std::string(rest.substr(0, slash)));
    const IdempotencyKey key(std::string(rest.substr(slash + 1)));
    const absl::StatusOr<std::optional<json>> claim = describeClaim(platform_, team, key, options_.claimUnknownAfter);
    if (!claim.ok())
        return toResponse({503, "platform_unreachable", "the state of the call could not be read from the platform"});
    if (!claim->has_value())
        return toResponse({404, "unknown_key", "no call with this idempotency key is known"});
    return jsonResponse(200, **claim);
}

} // namespace lychee
