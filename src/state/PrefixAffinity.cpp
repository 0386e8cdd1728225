#include "state/PrefixAffinity.h"

#include <cmath>

namespace lychee {

namespace {

// The confidence in an entry halves for each such time without a confirmation.
constexpr double halfLifeSeconds = 60;

} // namespace

PrefixAffinity::PrefixAffinity(std::size_t targets, std::size_t capacity)
    : entries_(capacity)
    , targets_(targets)
{
}

void PrefixAffinity::observe(TargetIndex target, const CacheEvent& event, TimePoint now)
{
    TargetState& state = targets_[target.value()];
    if (event.sequence <= state.lastSequence)
        return;
    if (event.sequence != state.lastSequence + 1)
        ++state.generation;
    state.lastSequence = event.sequence;
    if (event.stored) {
        store(target, event.prefix, now);
        return;
    }
    Entry& entry = entryOf(event.prefix);
    if (entry.prefix != event.prefix)
        return;
    for (Slot& slot : entry.slots) {
        if (slot.target == target.value())
            slot.generation = 0;
    }
}

void PrefixAffinity::sent(TargetIndex target, std::uint64_t prefix, TimePoint now) { store(target, prefix, now); }

void PrefixAffinity::forget(TargetIndex target)
{
    TargetState& state = targets_[target.value()];
    state.forgottenBefore = ++state.generation;
    state.lastSequence = 0;
}

void PrefixAffinity::store(TargetIndex target, std::uint64_t prefix, TimePoint now)
{
    Entry& entry = entryOf(prefix);
    if (entry.prefix != prefix)
        entry = Entry{prefix, {}};
    Slot* chosen = &entry.slots.front();
    for (Slot& slot : entry.slots) {
        if (slot.generation != 0 && slot.target == target.value()) {
            chosen = &slot;
            break;
        }
        if (slot.generation == 0 || (chosen->generation != 0 && slot.at < chosen->at))
            chosen = &slot;
    }
    *chosen = Slot{target.value(), targets_[target.value()].generation, now};
}

std::size_t PrefixAffinity::holders(
    std::uint64_t prefix, TimePoint now, std::array<Holder, holdersPerPrefix>& found) const
{
    const Entry& entry = entryOf(prefix);
    if (entry.prefix != prefix)
        return 0;
    std::size_t count = 0;
    for (const Slot& slot : entry.slots) {
        const TargetState& state = targets_[slot.target];
        if (slot.generation < state.forgottenBefore)
            continue;
        const double age = std::chrono::duration<double>(now - slot.at).count();
        const double gaps = state.generation - slot.generation;
        found[count++] = {TargetIndex(slot.target), std::exp2(-age / halfLifeSeconds - gaps)};
    }
    return count;
}

} // namespace lychee
