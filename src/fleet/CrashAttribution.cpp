#include "fleet/CrashAttribution.h"

#include "coordination/RendezvousHash.h"

#include <algorithm>

namespace lychee::fleet {

namespace {

// A request that is sent again after it was running on a target that crashed, and is running on the next one that
// crashes, is refused from then on.
constexpr std::size_t crashesToBlockContent = 2;

// A prompt part is common to many requests, so several of them, in more crashes, have to agree. Two requests that are
// sent twice each reach this number.
constexpr std::size_t crashesToBlockPart = 3;
constexpr std::size_t requestsToBlockPart = 2;

// A crash is evidence for this time. Rarely used prompt parts are not cleared for a while after an unrelated crash.
constexpr Duration evidenceLifetime = std::chrono::seconds(60);
constexpr std::size_t maxCrashes = 512;
constexpr std::size_t maxSuspectsPerCrash = 256;

// How long a trait is blocked. Meanwhile trials find out whether requests with it are harmless again; each costs a
// target if they are not, so the intervals grow.
constexpr Duration blockLifetime = std::chrono::minutes(10);
constexpr Duration firstTrialInterval = std::chrono::seconds(20);
constexpr std::size_t maxBlocks = 4096;

} // namespace

bool RequestTraits::contains(RequestTrait trait) const
{
    return content == trait || std::find(promptParts.begin(), promptParts.end(), trait) != promptParts.end();
}

RequestTraits traitsOf(std::string_view path, std::string_view body, const GenerationNeed* need)
{
    RequestTraits traits;
    traits.content = RequestTrait(rendezvousWeight(body, path));
    if (!need || need->parts.empty())
        return traits;
    for (auto part = need->parts.begin(); part + 1 != need->parts.end(); ++part)
        traits.promptParts.emplace_back(rendezvousWeight(fmt::format("{:x}", part->id), "prompt part"));
    return traits;
}

std::vector<RequestTrait> CrashAttribution::recordSuspect(
    const CrashSuspect& suspect, bool ownObservation, TimePoint now)
{
    forgetOld(now);
    Crash& crash = crashes_.try_emplace(suspect.crash, Crash{now, {}}).first->second;
    const auto sameContent = [&](const RequestTraits& request) { return request.content == suspect.request.content; };
    if (crash.suspects.size() >= maxSuspectsPerCrash
        || std::any_of(crash.suspects.begin(), crash.suspects.end(), sameContent))
        return {};
    crash.suspects.push_back(suspect.request);
    return blockByEvidence(ownObservation, now);
}

std::vector<RequestTrait> CrashAttribution::blockByEvidence(bool ownObservation, TimePoint now)
{
    std::vector<RequestTrait> blocked;
    // Each part that is blocked explains its crashes, which may leave too few against the next one.
    for (std::vector<RequestTrait> parts = mostSuspectedParts(); !parts.empty(); parts = mostSuspectedParts()) {
        for (const RequestTrait part : parts)
            addBlock(part, now + blockLifetime, ownObservation, now);
        blocked.insert(blocked.end(), parts.begin(), parts.end());
    }
    std::map<RequestTrait, std::size_t> crashesByContent;
    for (const auto& [id, crash] : crashes_) {
        if (isExplained(crash))
            continue;
        for (const RequestTraits& request : crash.suspects)
            ++crashesByContent[request.content];
    }
    for (const auto& [content, count] : crashesByContent) {
        if (count < crashesToBlockContent || blocks_.contains(content))
            continue;
        addBlock(content, now + blockLifetime, ownObservation, now);
        blocked.push_back(content);
    }
    return blocked;
}

std::vector<RequestTrait> CrashAttribution::mostSuspectedParts() const
{
    std::vector<RequestTrait> parts;
    std::size_t most = crashesToBlockPart;
    for (const auto& [part, evidence] : gatherPartEvidence()) {
        if (evidence.contents.size() < requestsToBlockPart || evidence.crashes.size() < most)
            continue;
        if (evidence.crashes.size() > most)
            parts.clear();
        most = evidence.crashes.size();
        parts.push_back(part);
    }
    return parts;
}

bool CrashAttribution::isExplained(const Crash& crash) const
{
    return std::any_of(crash.suspects.begin(), crash.suspects.end(), [&](const RequestTraits& request) {
        return std::any_of(request.promptParts.begin(), request.promptParts.end(),
            [&](RequestTrait part) { return blocks_.contains(part); });
    });
}

std::map<RequestTrait, CrashAttribution::Evidence> CrashAttribution::gatherPartEvidence() const
{
    std::map<RequestTrait, Evidence> evidence;
    for (const auto& [id, crash] : crashes_) {
        if (isExplained(crash))
            continue;
        for (const RequestTraits& request : crash.suspects) {
            for (const RequestTrait part : request.promptParts) {
                evidence[part].crashes.insert(id);
                evidence[part].contents.insert(request.content);
            }
        }
    }
    return evidence;
}

std::vector<RequestTrait> CrashAttribution::recordAnswered(const RequestTraits& request)
{
    if (crashes_.empty() && blocks_.empty())
        return {};
    std::vector<RequestTrait> cleared;
    for (const RequestTrait part : request.promptParts) {
        if (erase(part))
            cleared.push_back(part);
    }
    if (erase(request.content))
        cleared.push_back(request.content);
    return cleared;
}

void CrashAttribution::clear(std::span<const RequestTrait> traits)
{
    for (const RequestTrait trait : traits)
        erase(trait);
}

// Returns whether the trait was suspected or blocked.
bool CrashAttribution::erase(RequestTrait trait)
{
    bool known = blocks_.erase(trait) > 0;
    for (auto& [id, crash] : crashes_) {
        known
            = std::erase_if(crash.suspects, [&](const RequestTraits& request) { return request.content == trait; }) > 0
            || known;
        for (RequestTraits& request : crash.suspects)
            known = std::erase(request.promptParts, trait) > 0 || known;
    }
    return known;
}

void CrashAttribution::block(const BlockedTrait& blocked, TimePoint now)
{
    addBlock(blocked.trait, now + std::min(blocked.remaining, blockLifetime), false, now);
}

void CrashAttribution::addBlock(RequestTrait trait, TimePoint until, bool sendsTrials, TimePoint now)
{
    if (blocks_.contains(trait))
        return;
    if (blocks_.size() >= maxBlocks)
        blocks_.erase(std::min_element(blocks_.begin(), blocks_.end(),
            [](const auto& left, const auto& right) { return left.second.until < right.second.until; }));
    Block block{until, std::nullopt, firstTrialInterval};
    if (sendsTrials)
        block.nextTrial = now + firstTrialInterval;
    blocks_.emplace(trait, block);
}

CrashAdmission CrashAttribution::admit(const RequestTraits& request, TimePoint now)
{
    if (!isBlocked(request, now))
        return CrashAdmission::Allowed;
    bool mayTry = true;
    forEachBlock(request, now,
        [&](RequestTrait, const Block& block) { mayTry = mayTry && block.nextTrial && *block.nextTrial <= now; });
    if (!mayTry)
        return CrashAdmission::Blocked;
    forEachBlock(request, now, [&](RequestTrait trait, const Block&) {
        Block& block = blocks_.at(trait);
        block.trialInterval *= 2;
        block.nextTrial = now + block.trialInterval;
    });
    return CrashAdmission::Trial;
}

bool CrashAttribution::isBlocked(const RequestTraits& request, TimePoint now) const
{
    return blockedFor(request, now) > Duration(0);
}

Duration CrashAttribution::blockedFor(const RequestTraits& request, TimePoint now) const
{
    Duration longest{0};
    forEachBlock(request, now,
        [&](RequestTrait, const Block& block) { longest = std::max<Duration>(longest, block.until - now); });
    return longest;
}

template <typename Visit>
void CrashAttribution::forEachBlock(const RequestTraits& request, TimePoint now, Visit visit) const
{
    if (blocks_.empty())
        return;
    const auto visitIfBlocked = [&](RequestTrait trait) {
        const auto found = blocks_.find(trait);
        if (found != blocks_.end() && found->second.until > now)
            visit(trait, found->second);
    };
    visitIfBlocked(request.content);
    for (const RequestTrait part : request.promptParts)
        visitIfBlocked(part);
}

bool CrashAttribution::isEmpty(TimePoint now)
{
    forgetOld(now);
    return crashes_.empty() && blocks_.empty();
}

std::vector<CrashSuspect> CrashAttribution::suspects(TimePoint now)
{
    forgetOld(now);
    std::vector<CrashSuspect> result;
    for (const auto& [id, crash] : crashes_) {
        for (const RequestTraits& request : crash.suspects)
            result.push_back({id, request});
    }
    return result;
}

std::vector<BlockedTrait> CrashAttribution::blockedTraits(TimePoint now) const
{
    std::vector<BlockedTrait> result;
    for (const auto& [trait, block] : blocks_) {
        if (block.until > now)
            result.push_back({trait, block.until - now});
    }
    return result;
}

void CrashAttribution::forgetOld(TimePoint now)
{
    std::erase_if(crashes_, [&](const auto& entry) { return now - entry.second.seenAt > evidenceLifetime; });
    std::erase_if(blocks_, [&](const auto& entry) { return entry.second.until <= now; });
    if (crashes_.size() >= maxCrashes)
        crashes_.erase(std::min_element(crashes_.begin(), crashes_.end(),
            [](const auto& left, const auto& right) { return left.second.seenAt < right.second.seenAt; }));
}

} // namespace lychee::fleet
