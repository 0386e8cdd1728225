#include "coordination/LoadPacer.h"

#include "coordination/RendezvousHash.h"
#include "protocol/BoundedJson.h"
#include "protocol/EngineProtocol.h"
#include "protocol/JsonText.h"

namespace lychee {

namespace {

constexpr std::size_t maxRowBytes = 4096;

} // namespace

std::string encodeLoadSlotRow(const LoadSlotRow& row)
{
    return writeJson({{"holder", row.holder}, {"nonce", row.nonce}});
}

absl::StatusOr<LoadSlotRow> decodeLoadSlotRow(std::string_view document)
{
    const auto json = parseBoundedJson(document, maxRowBytes);
    if (!json.ok())
        return json.status();
    FieldReader reader(*json);
    LoadSlotRow row;
    row.holder = InstanceId(reader.text("holder"));
    row.nonce = Nonce(reader.name("nonce"));
    if (!reader.ok())
        return reader.status();
    return row;
}

LoadPacer::LoadPacer(LoadPacerOptions options)
    : options_(std::move(options))
{
    std::ranges::sort(options_.dataCentres);
}

std::vector<LoadSlot> LoadPacer::wantedSlots(const std::vector<InstanceId>& liveMembers) const
{
    const auto own = std::ranges::find(options_.dataCentres, options_.dataCentre);
    if (own == options_.dataCentres.end() || liveMembers.empty())
        return {};
    const auto first = static_cast<std::uint32_t>(own - options_.dataCentres.begin());
    const auto step = static_cast<std::uint32_t>(options_.dataCentres.size());
    std::map<InstanceId, std::uint32_t> counts;
    for (const InstanceId& member : liveMembers)
        counts[member] = 0;
    std::vector<LoadSlot> wanted;
    for (std::uint32_t slot = first; slot < options_.limits.modelLoadsAtOnce; slot += step) {
        // Balances by slot count first: plain rendezvous hashing could leave a member without a slot and unable to
        // load.
        const auto better = [&](const auto& left, const auto& right) {
            if (left.second != right.second)
                return left.second < right.second;
            const std::string key = std::to_string(slot);
            return rendezvousWeight(left.first.value(), key) > rendezvousWeight(right.first.value(), key);
        };
        const auto chosen = std::min_element(counts.begin(), counts.end(), better);
        ++chosen->second;
        if (chosen->first == options_.self)
            wanted.emplace_back(slot);
    }
    return wanted;
}

void LoadPacer::addSlot(LoadSlot slot, TimePoint now) { nextStart_.try_emplace(slot, now + startInterval()); }

void LoadPacer::removeSlot(LoadSlot slot) { nextStart_.erase(slot); }

std::vector<LoadSlot> LoadPacer::heldSlots() const
{
    std::vector<LoadSlot> slots;
    for (const auto& [slot, next] : nextStart_)
        slots.push_back(slot);
    return slots;
}

bool LoadPacer::start(const PacedLoad& load, TimePoint now)
{
    if (started_.contains(load))
        return true;
    if (isAdapter(load.artifact)) {
        if (adapterLoadsInProgress(now) >= nextStart_.size() * adapterLoadsPerSlot())
            return false;
    } else if (modelLoadsInProgress(now) >= nextStart_.size() || !takeDueSlot(now)) {
        return false;
    }
    started_.insert(load);
    return true;
}

std::uint32_t LoadPacer::startableModelLoads(TimePoint now) const
{
    const std::size_t used = modelLoadsInProgress(now);
    const std::size_t free = nextStart_.size() - std::min(used, nextStart_.size());
    const auto due = static_cast<std::size_t>(
        std::ranges::count_if(nextStart_, [now](const auto& slot) { return slot.second <= now; }));
    return static_cast<std::uint32_t>(std::min(free, due));
}

std::uint32_t LoadPacer::startableAdapterLoads(TimePoint now) const
{
    const std::size_t limit = nextStart_.size() * adapterLoadsPerSlot();
    return static_cast<std::uint32_t>(limit - std::min(adapterLoadsInProgress(now), limit));
}

void LoadPacer::finish(const PacedLoad& load)
{
    started_.erase(load);
    inheritedUntil_.erase(load);
}

void LoadPacer::addInheritedLoad(const PacedLoad& load, TimePoint now)
{
    inheritedUntil_.try_emplace(load, now + options_.inheritedLoadTimeout);
}

std::size_t LoadPacer::modelLoadsInProgress(TimePoint now) const { return countLoads(false, now); }

std::size_t LoadPacer::adapterLoadsInProgress(TimePoint now) const { return countLoads(true, now); }

Duration LoadPacer::startInterval() const
{
    const std::chrono::duration<double> seconds(
        options_.limits.modelLoadsAtOnce / std::max(options_.limits.modelLoadsPerSecond, 0.001));
    return std::chrono::duration_cast<Duration>(seconds);
}

std::uint32_t LoadPacer::adapterLoadsPerSlot() const
{
    return options_.limits.adapterLoadsAtOnce / std::max(options_.limits.modelLoadsAtOnce, 1U);
}

std::size_t LoadPacer::countLoads(bool adapters, TimePoint now) const
{
    std::size_t count = 0;
    for (const PacedLoad& load : started_)
        count += isAdapter(load.artifact) == adapters;
    for (const auto& [load, end] : inheritedUntil_)
        count += isAdapter(load.artifact) == adapters && now < end && !started_.contains(load);
    return count;
}

bool LoadPacer::takeDueSlot(TimePoint now)
{
    for (auto& [slot, next] : nextStart_) {
        if (next <= now) {
            next = now + startInterval();
            return true;
        }
    }
    return false;
}

} // namespace lychee
