#include "coordination/CrashNoticeCodec.h"

#include "protocol/BoundedJson.h"
#include "protocol/JsonText.h"

#include <limits>

namespace lychee {

namespace {

// Largest accepted notice in bytes. Fits a list of maxListed crashes or candidates.
constexpr std::size_t maxNoticeBytes = std::size_t{256} * 1024;

// Largest number of crashes or candidates in one notice.
constexpr std::size_t maxListed = 256;

// Largest accepted age of a strike in milliseconds: a week, far longer than any quarantine.
constexpr std::uint64_t maxAgeMs = std::uint64_t{7} * 24 * 3600 * 1000;

constexpr std::uint64_t maxSequence = std::numeric_limits<std::int64_t>::max();

constexpr const char* kindField = "kind";
constexpr std::string_view strikeKind = "strike";
constexpr std::string_view clearedKind = "cleared";
constexpr std::string_view requestedKind = "trial_requested";
constexpr std::string_view grantedKind = "trial_granted";
constexpr std::string_view endedKind = "trial_ended";

void addTrial(nlohmann::json& json, const TrialId& trial)
{
    json["requester"] = trial.requester;
    json["sequence"] = trial.sequence;
}

TrialId readTrial(FieldReader& reader)
{
    TrialId trial;
    trial.requester = InstanceId(reader.name("requester"));
    trial.sequence = reader.number("sequence", maxSequence);
    return trial;
}

nlohmann::json crashToJson(const CrashId& crash)
{
    return {{"target", crash.target}, {"incarnation", crash.incarnation}};
}

CrashId readCrash(FieldReader& reader)
{
    CrashId crash;
    crash.target = TargetId(reader.name("target"));
    crash.incarnation = EngineIncarnation(reader.text("incarnation"));
    return crash;
}

void addStrike(nlohmann::json& json, const CrashStrike& strike)
{
    json["body"] = strike.body;
    json["target"] = strike.crash.target;
    json["incarnation"] = strike.crash.incarnation;
    json["age_ms"] = strike.age.count();
}

CrashStrike readStrike(FieldReader& reader)
{
    CrashStrike strike;
    strike.body = BodyHash(reader.name("body"));
    strike.crash = readCrash(reader);
    strike.age = std::chrono::milliseconds(reader.number("age_ms", maxAgeMs));
    return strike;
}

nlohmann::json toJson(const CrashStrike& strike)
{
    nlohmann::json json{{kindField, strikeKind}};
    addStrike(json, strike);
    return json;
}

nlohmann::json toJson(const StrikesCleared& cleared)
{
    nlohmann::json crashes = nlohmann::json::array();
    for (const CrashId& crash : cleared.crashes)
        crashes.push_back(crashToJson(crash));
    return {{kindField, clearedKind}, {"body", cleared.body}, {"crashes", std::move(crashes)}};
}

nlohmann::json toJson(const TrialRequested& request)
{
    nlohmann::json json{{kindField, requestedKind}, {"body", request.body}};
    addTrial(json, request.trial);
    json["candidates"] = nlohmann::json::array();
    for (const TargetId& candidate : request.candidates)
        json["candidates"].push_back({{"target", candidate}});
    return json;
}

nlohmann::json toJson(const TrialGranted& grant)
{
    nlohmann::json json{{kindField, grantedKind}, {"body", grant.body}, {"target", grant.target}};
    addTrial(json, grant.trial);
    return json;
}

nlohmann::json toJson(const TrialEnded& ended)
{
    nlohmann::json json{{kindField, endedKind}, {"strikes", nlohmann::json::array()}};
    addTrial(json, ended.trial);
    if (ended.strike) {
        nlohmann::json strike = nlohmann::json::object();
        addStrike(strike, *ended.strike);
        json["strikes"].push_back(std::move(strike));
    }
    return json;
}

StrikesCleared readCleared(FieldReader& reader)
{
    StrikesCleared cleared;
    cleared.body = BodyHash(reader.name("body"));
    for (const nlohmann::json& item : reader.array("crashes", maxListed)) {
        FieldReader fields(item);
        cleared.crashes.push_back(readCrash(fields));
        if (!fields.ok())
            reader.fail("crashes");
    }
    return cleared;
}

TrialRequested readRequested(FieldReader& reader)
{
    TrialRequested request;
    request.body = BodyHash(reader.name("body"));
    request.trial = readTrial(reader);
    for (const nlohmann::json& item : reader.array("candidates", maxListed)) {
        FieldReader fields(item);
        request.candidates.emplace_back(fields.name("target"));
        if (!fields.ok())
            reader.fail("candidates");
    }
    return request;
}

TrialGranted readGranted(FieldReader& reader)
{
    TrialGranted grant;
    grant.body = BodyHash(reader.name("body"));
    grant.trial = readTrial(reader);
    grant.target = TargetId(reader.name("target"));
    return grant;
}

TrialEnded readEnded(FieldReader& reader)
{
    TrialEnded ended;
    ended.trial = readTrial(reader);
    for (const nlohmann::json& item : reader.array("strikes", 1)) {
        FieldReader fields(item);
        ended.strike = readStrike(fields);
        if (!fields.ok())
            reader.fail("strikes");
    }
    return ended;
}

CrashNotice readNotice(FieldReader& reader)
{
    const std::string kind = reader.name(kindField);
    if (kind == strikeKind)
        return readStrike(reader);
    if (kind == clearedKind)
        return readCleared(reader);
    if (kind == requestedKind)
        return readRequested(reader);
    if (kind == grantedKind)
        return readGranted(reader);
    if (kind == endedKind)
        return readEnded(reader);
    reader.fail("unknown kind of crash notice");
    return CrashStrike{};
}

} // namespace

std::string encodeCrashNotice(const CrashNotice& notice)
{
    return std::visit([](const auto& typed) { return writeJson(toJson(typed)); }, notice);
}

absl::StatusOr<CrashNotice> decodeCrashNotice(std::string_view document)
{
    const absl::StatusOr<nlohmann::json> json = parseBoundedJson(document, maxNoticeBytes);
    if (!json.ok())
        return json.status();
    FieldReader reader(*json);
    CrashNotice notice = readNotice(reader);
    if (!reader.ok())
        return reader.status();
    return notice;
}

} // namespace lychee
