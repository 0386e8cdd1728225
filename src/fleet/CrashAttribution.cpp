#include "fleet/CrashAttribution.h"

#include "coordination/RendezvousHash.h"

#include <algorithm>

namespace lychee::fleet {

namespace {

// The weight of a run that ended in a crash, before and after the target began to answer.
constexpr int weightBeforeAnswer = 4;
constexpr int weightInAnswer = 3;

// A request that is sent again after it was running on a target that crashed, and is running on the next one that
// crashes, is refused from then on; after the beginning of its answers it takes a third crash.
constexpr int weightToBlockContent = 2 * weightBeforeAnswer;

// Requests with the same crashes are not blocked below this weight, because some of them are sound.
constexpr int weightToBlockDespiteRival = 2 * weightToBlockContent;

// A prompt part is common to many requests, so several of them, in more crashes, have to agree. Two requests that are
// sent twice each reach this number.
constexpr int weightToBlockPart = 3 * weightBeforeAnswer;
constexpr std::size_t requestsToBlockPart = 2;

constexpr std::size_t fewestCrashesToBlock = 2;

// The reports of two crashes in a row may arrive at the same time, so a run counts as begun after a crash if it was
// sent at most this long before the crash became known.
constexpr Duration reportJitter = std::chrono::milliseconds(200);

// Instances report the suspects of a crash within this time.
constexpr Duration reportDelay = std::chrono::milliseconds(500);

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

RequestTraits traitsOf(std::string_view requestLine, std::string_view body, const GenerationNeed* need)
{
    RequestTraits traits;
    traits.content = RequestTrait(rendezvousWeight(body, requestLine));
    if (!need || need->parts.empty())
        return traits;
    for (auto part = need->parts.begin(); part + 1 != need->parts.end(); ++part)
        traits.promptParts.emplace_back(rendezvousWeight(fmt::format("{:x}", part->id), "prompt part"));
    return traits;
}

std::vector<RequestTrait> CrashAttribution::recordSuspects(
    std::span<const CrashSuspect> suspects, bool ownObservation, TimePoint now)
{
    for (const CrashSuspect& suspect : suspects)
        add(suspect, now);
    return blockByEvidence(ownObservation, now);
}

void CrashAttribution::add(const CrashSuspect& suspect, TimePoint now)
{
    forgetOld(now);
    Crash& crash = crashes_.try_emplace(suspect.crash, Crash{now - suspect.age, {}}).first->second;
    const TimePoint sentAt = crash.seenAt - suspect.ran;
    const auto known = std::find_if(crash.suspects.begin(), crash.suspects.end(),
        [&](const Suspect& other) { return other.request.content == suspect.request.content; });
    if (known != crash.suspects.end()) {
        known->begun = known->begun && suspect.begun;
        known->sentAt = std::max(known->sentAt, sentAt);
    } else if (crash.suspects.size() < maxSuspectsPerCrash) {
        crash.suspects.push_back({suspect.request, suspect.begun, sentAt});
    }
}

std::vector<RequestTrait> CrashAttribution::blockByEvidence(bool ownObservation, TimePoint now)
{
    if (crashes_.size() < fewestCrashesToBlock)
        return {};
    std::vector<RequestTrait> blocked;
    // Each part that is blocked explains its crashes, which may leave too few against the next one.
    for (std::vector<RequestTrait> parts = mostSuspectedParts(); !parts.empty(); parts = mostSuspectedParts()) {
        for (const RequestTrait part : parts)
            addBlock(part, now + blockLifetime, ownObservation, now);
        blocked.insert(blocked.end(), parts.begin(), parts.end());
    }
    const std::vector<RequestTrait> contents = blockContentsByEvidence(ownObservation, now);
    blocked.insert(blocked.end(), contents.begin(), contents.end());
    return blocked;
}

std::vector<RequestTrait> CrashAttribution::blockContentsByEvidence(bool ownObservation, TimePoint now)
{
    // Evidence that arrived since may show that a request only shared its crashes with another one.
    std::map<RequestTrait, Block> unsettled;
    for (auto block = blocks_.begin(); block != blocks_.end();) {
        const auto current = block++;
        if (current->second.settledAt > now)
            unsettled.insert(blocks_.extract(current));
    }
    std::vector<RequestTrait> blocked;
    const EvidenceByTrait evidence = gatherContentEvidence();
    for (const auto& [content, own] : evidence) {
        const int weight = own.weight();
        if (weight < weightToBlockContent)
            continue;
        const bool hasRival
            = std::any_of(evidence.begin(), evidence.end(), [&, content = content, &own = own](const auto& other) {
                  return other.first != content && other.second.coversCrashesOf(own);
              });
        if (hasRival && weight < weightToBlockDespiteRival)
            continue;
        if (auto known = unsettled.extract(content)) {
            blocks_.insert(std::move(known));
            continue;
        }
        addBlock(content, now + blockLifetime, ownObservation, now);
        blocks_.at(content).settledAt = now + reportDelay;
        blocked.push_back(content);
    }
    return blocked;
}

std::vector<RequestTrait> CrashAttribution::mostSuspectedParts() const
{
    std::vector<RequestTrait> parts;
    int most = weightToBlockPart;
    for (const auto& [part, evidence] : gatherPartEvidence()) {
        const int weight = evidence.weight();
        if (evidence.contents.size() < requestsToBlockPart || weight < most)
            continue;
        if (weight > most)
            parts.clear();
        most = weight;
        parts.push_back(part);
    }
    return parts;
}

bool CrashAttribution::isExplainedByPart(const Crash& crash) const
{
    return std::any_of(crash.suspects.begin(), crash.suspects.end(), [&](const Suspect& suspect) {
        const std::vector<RequestTrait>& parts = suspect.request.promptParts;
        return std::any_of(parts.begin(), parts.end(), [&](RequestTrait part) { return blocks_.contains(part); });
    });
}

bool CrashAttribution::isExplainedByContent(const Crash& crash) const
{
    return std::any_of(crash.suspects.begin(), crash.suspects.end(),
        [&](const Suspect& suspect) { return blocks_.contains(suspect.request.content); });
}

CrashAttribution::EvidenceByTrait CrashAttribution::gatherPartEvidence() const
{
    EvidenceByTrait evidence;
    std::size_t number = 0;
    for (const auto& [id, crash] : crashes_) {
        ++number;
        if (isExplainedByPart(crash))
            continue;
        for (const Suspect& suspect : crash.suspects) {
            for (const RequestTrait part : suspect.request.promptParts) {
                Evidence& own = evidence[part];
                own.add(number, {suspect.sentAt, crash.seenAt, suspect.begun ? weightInAnswer : weightBeforeAnswer});
                own.contents.insert(suspect.request.content);
            }
        }
    }
    return evidence;
}

CrashAttribution::EvidenceByTrait CrashAttribution::gatherContentEvidence() const
{
    EvidenceByTrait evidence;
    std::size_t number = 0;
    for (const auto& [id, crash] : crashes_) {
        ++number;
        if (isExplainedByPart(crash) || isExplainedByContent(crash))
            continue;
        for (const Suspect& suspect : crash.suspects) {
            evidence[suspect.request.content].add(
                number, {suspect.sentAt, crash.seenAt, suspect.begun ? weightInAnswer : weightBeforeAnswer});
        }
    }
    return evidence;
}

void CrashAttribution::Evidence::add(std::size_t crash, const Run& run)
{
    Run& own = runs.try_emplace(crash, run).first->second;
    own.sentAt = std::max(own.sentAt, run.sentAt);
    own.weight = std::max(own.weight, run.weight);
}

int CrashAttribution::Evidence::weight() const
{
    std::vector<Run> ordered;
    for (const auto& [crash, run] : runs)
        ordered.push_back(run);
    std::sort(ordered.begin(), ordered.end(),
        [](const Run& left, const Run& right) { return left.crashedAt < right.crashedAt; });
    // best[n] is the largest sum over the first n runs.
    std::vector<int> best{0};
    for (const Run& run : ordered) {
        const auto end = ordered.begin() + static_cast<std::ptrdiff_t>(best.size()) - 1;
        const auto later = std::upper_bound(ordered.begin(), end, run.sentAt + reportJitter,
            [](TimePoint sentAt, const Run& earlier) { return sentAt < earlier.crashedAt; });
        const auto before = static_cast<std::size_t>(later - ordered.begin());
        best.push_back(std::max(best.back(), best[before] + run.weight));
    }
    return best.back();
}

bool CrashAttribution::Evidence::coversCrashesOf(const Evidence& other) const
{
    return std::all_of(
        other.runs.begin(), other.runs.end(), [&](const auto& entry) { return runs.contains(entry.first); });
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
        known = std::erase_if(crash.suspects, [&](const Suspect& suspect) { return suspect.request.content == trait; })
                > 0
            || known;
        for (Suspect& suspect : crash.suspects)
            known = std::erase(suspect.request.promptParts, trait) > 0 || known;
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
    Block block{until, std::nullopt, firstTrialInterval, now};
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
        for (const Suspect& suspect : crash.suspects)
            result.push_back({id, suspect.request, suspect.begun, crash.seenAt - suspect.sentAt, now - crash.seenAt});
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
