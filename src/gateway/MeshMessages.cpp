#include "gateway/MeshMessages.h"

#include "protocol/MessageCodec.h"

#include <cmath>

namespace lychee::gateway {

namespace {

constexpr double percent = 100;

// Longest duration that is taken from a message.
constexpr std::chrono::milliseconds maxDuration = std::chrono::hours(1);

// Whole numbers take half of the bytes of a real number, and a token more or less does not matter.
std::uint32_t toCount(double tokens)
{
    return static_cast<std::uint32_t>(
        std::clamp(std::round(tokens), 0.0, static_cast<double>(std::numeric_limits<std::uint32_t>::max())));
}

} // namespace

std::uint64_t toMilliseconds(Duration duration)
{
    const auto count = std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
    return static_cast<std::uint64_t>(std::max<std::int64_t>(count, 0));
}

Duration fromMilliseconds(std::uint64_t count)
{
    return std::chrono::milliseconds(std::min(count, static_cast<std::uint64_t>(maxDuration.count())));
}

std::string encodeMeshMessage(const MeshMessage& message) { return MessageCodec::encode(meshProtocolVersion, message); }

absl::StatusOr<MeshMessage> decodeMeshMessage(std::string_view payload)
{
    return MessageCodec::decode<MeshMessage>(meshProtocolVersion, payload);
}

MeshHoldings toMessage(
    const TargetId& target, fleet::TargetIncarnation incarnation, const fleet::Holdings& holdings, TimePoint now)
{
    MeshHoldings message;
    message.target = target;
    message.incarnation = incarnation;
    message.sequence = holdings.sequence;
    for (const fleet::HeldModel& held : holdings.models)
        message.models.push_back({held.model, held.version, {held.adapters.begin(), held.adapters.end()}});
    for (const auto& [model, adapter] : holdings.arriving)
        message.arriving.push_back({model, adapter});
    if (holdings.loading) {
        message.loading = holdings.loading->first;
        const Duration left = std::max(holdings.loading->second - now, Duration(0));
        message.loadingRemainingMs
            = static_cast<std::uint32_t>(std::chrono::duration_cast<std::chrono::milliseconds>(left).count());
    }
    return message;
}

fleet::Holdings fromMessage(const MeshHoldings& message, TimePoint now)
{
    fleet::Holdings holdings;
    holdings.sequence = message.sequence;
    for (const MeshHeldModel& held : message.models)
        holdings.models.push_back({held.model, held.version, {held.adapters.begin(), held.adapters.end()}});
    for (const MeshAdapter& arriving : message.arriving)
        holdings.arriving.emplace(arriving.model, arriving.adapter);
    if (!message.loading.empty())
        holdings.loading.emplace(message.loading, now + std::chrono::milliseconds(message.loadingRemainingMs));
    return holdings;
}

std::vector<MeshCrash> toMessages(const std::vector<fleet::CrashSuspect>& suspects)
{
    std::map<fleet::TargetCrash, MeshCrash> messages;
    for (const fleet::CrashSuspect& suspect : suspects) {
        MeshCrash& message = messages[suspect.crash];
        message.target = suspect.crash.target;
        message.incarnation = suspect.crash.incarnation;
        message.ageMs = toMilliseconds(suspect.age);
        message.suspects.push_back(
            {suspect.request.content, suspect.request.promptParts, suspect.begun, toMilliseconds(suspect.ran)});
    }
    std::vector<MeshCrash> result;
    result.reserve(messages.size());
    for (auto& [crash, message] : messages)
        result.push_back(std::move(message));
    return result;
}

std::vector<fleet::CrashSuspect> fromMessage(const MeshCrash& message)
{
    std::vector<fleet::CrashSuspect> suspects;
    suspects.reserve(message.suspects.size());
    for (const MeshCrashSuspect& suspect : message.suspects) {
        suspects.push_back({{message.target, message.incarnation}, {suspect.content, suspect.promptParts},
            suspect.begun, fromMilliseconds(suspect.ranMs), fromMilliseconds(message.ageMs)});
    }
    return suspects;
}

MeshTraitBlocked toMessage(const fleet::BlockedTrait& blocked)
{
    const auto remaining = std::chrono::duration_cast<std::chrono::milliseconds>(blocked.remaining).count();
    return {blocked.trait, static_cast<std::uint64_t>(std::max<std::int64_t>(remaining, 0))};
}

fleet::BlockedTrait fromMessage(const MeshTraitBlocked& message)
{
    constexpr std::uint64_t maxRemainingMs = 86'400'000;
    return {message.trait, std::chrono::milliseconds(std::min(message.remainingMs, maxRemainingMs))};
}

MeshConfirmation toMessage(std::uint64_t call, const fleet::ConfigurationStatement& statement)
{
    const auto age = std::min(std::chrono::ceil<std::chrono::milliseconds>(statement.age), maxDuration);
    return {call, static_cast<std::uint64_t>(age.count()), statement.row};
}

fleet::ConfigurationStatement fromMessage(const MeshConfirmation& message)
{
    return {fromMilliseconds(message.ageMs), message.row};
}

MeshGrant toMessage(std::uint64_t call, const fleet::RequestGrant& grant)
{
    return {call, grant.isGranted, toMilliseconds(std::chrono::ceil<std::chrono::milliseconds>(grant.wait))};
}

fleet::RequestGrant fromMessage(const MeshGrant& message)
{
    return {message.granted, fromMilliseconds(message.waitMs)};
}

std::vector<MeshRow> toMessage(const std::vector<StoredRow>& rows)
{
    std::vector<MeshRow> message;
    message.reserve(rows.size());
    for (const StoredRow& row : rows)
        message.push_back({row.key, row.version, row.removed, row.value});
    return message;
}

std::vector<MeshWork> toMessage(const std::vector<fleet::TargetWorkReport>& shares)
{
    std::vector<MeshWork> work;
    work.reserve(shares.size());
    for (const fleet::TargetWorkReport& share : shares) {
        MeshWork& entry
            = work.emplace_back(MeshWork{share.target, share.work.running, {}, toCount(share.work.heldTokens)});
        for (int level = 0; level <= fleet::UrgencyPolicy::least.value(); ++level) {
            if (const std::uint32_t tokens = toCount(share.work.prefill.ofUrgency(fleet::Urgency(level))); tokens > 0)
                entry.prefill.push_back({static_cast<std::uint32_t>(level), tokens});
        }
        if (share.pace) {
            entry.pace.push_back({static_cast<std::uint32_t>(std::lround(share.pace->pace * percent)),
                static_cast<std::uint32_t>(toMilliseconds(share.pace->age)), share.pace->isMeasured});
        }
        if (share.load)
            entry.load.push_back({share.load->requests, static_cast<std::uint32_t>(toMilliseconds(share.load->age))});
    }
    return work;
}

std::vector<fleet::TargetWorkReport> fromMessage(const std::vector<MeshWork>& work)
{
    std::vector<fleet::TargetWorkReport> shares;
    shares.reserve(work.size());
    for (const MeshWork& entry : work) {
        fleet::TargetWork reported{entry.running, {}, static_cast<double>(entry.heldTokens)};
        for (const MeshPrefill& prefill : entry.prefill) {
            // The cap keeps a malformed message from an overflow of the conversion.
            const auto level
                = std::min(prefill.urgency, static_cast<std::uint32_t>(fleet::UrgencyPolicy::least.value()));
            reported.prefill.add(fleet::Urgency(static_cast<int>(level)), static_cast<double>(prefill.tokens));
        }
        fleet::TargetWorkReport& share
            = shares.emplace_back(fleet::TargetWorkReport{entry.target, reported, std::nullopt});
        if (!entry.pace.empty()) {
            const MeshPace& pace = entry.pace.front();
            share.pace = fleet::PaceNews{pace.percent / percent, fromMilliseconds(pace.ageMs), pace.isMeasured};
        }
        if (!entry.load.empty())
            share.load = fleet::AgedLoad{entry.load.front().requests, fromMilliseconds(entry.load.front().ageMs)};
    }
    return shares;
}

std::vector<MeshDemand> toMessage(const std::vector<fleet::ModelDemand>& demand)
{
    std::vector<MeshDemand> message;
    message.reserve(demand.size());
    for (const fleet::ModelDemand& entry : demand)
        message.push_back({entry.model, entry.work});
    return message;
}

std::vector<fleet::ModelDemand> fromMessage(const std::vector<MeshDemand>& demand)
{
    std::vector<fleet::ModelDemand> result;
    result.reserve(demand.size());
    for (const MeshDemand& entry : demand)
        result.push_back({entry.model, entry.work});
    return result;
}

std::vector<MeshCustomerUse> toMessage(const std::vector<fleet::CustomerUse>& uses)
{
    std::vector<MeshCustomerUse> message;
    message.reserve(uses.size());
    for (const fleet::CustomerUse& use : uses)
        message.push_back({use.customer, use.admitted, use.demand});
    return message;
}

std::vector<fleet::CustomerUse> fromMessage(const std::vector<MeshCustomerUse>& uses)
{
    std::vector<fleet::CustomerUse> result;
    result.reserve(uses.size());
    for (const MeshCustomerUse& use : uses)
        result.push_back({use.customer, use.admitted, use.demand});
    return result;
}

} // namespace lychee::gateway
