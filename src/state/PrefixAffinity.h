// Estimates which targets have which prompt prefixes in their caches.
#pragma once

#include "state/Catalogue.h"

#include <array>
#include <span>

namespace lychee {

// A prefix of a prompt, identified by the hash that engines use in their cache events.
struct PromptPrefix {
    std::uint64_t hash = 0;
    std::uint32_t tokens = 0;
};

struct CacheEvent {
    std::uint64_t sequence = 0;
    std::uint64_t prefix = 0;
    bool stored = true;
};

// A table of bounded size, updated by cache events and by the requests of this instance, which are known before their
// cache events arrive.
class PrefixAffinity {
public:
    // `capacity` is the number of entries and must be a power of two.
    explicit PrefixAffinity(std::size_t targets, std::size_t capacity = defaultCapacity);

    // Applies a cache event of `target`. Events arrive late and with gaps. After a gap, the confidence in all entries
    // of the target is halved, because the missing events may include evictions.
    void observe(TargetIndex target, const CacheEvent& event, TimePoint now);

    // Records that a prompt with this prefix was sent to `target`.
    void sent(TargetIndex target, std::uint64_t prefix, TimePoint now);

    // Discards all entries of `target`, after a restart of its engine.
    void forget(TargetIndex target);

    // Writes the targets that may hold the prefix to `found`, at most `holdersPerPrefix`. Returns their number.
    static constexpr std::size_t holdersPerPrefix = 2;
    struct Holder {
        TargetIndex target;
        // 0 to 1.
        double confidence = 0;
    };
    std::size_t holders(std::uint64_t prefix, TimePoint now, std::array<Holder, holdersPerPrefix>& found) const;

private:
    struct Slot {
        std::uint32_t target = 0;
        // Generation of the target when the slot was written; zero marks an unused slot.
        std::uint32_t generation = 0;
        TimePoint at;
    };
    struct Entry {
        std::uint64_t prefix = 0;
        std::array<Slot, holdersPerPrefix> slots;
    };
    struct TargetState {
        std::uint64_t lastSequence = 0;
        // Incremented after each gap and restart.
        std::uint32_t generation = 1;
        // Slots of earlier generations are ignored.
        std::uint32_t forgottenBefore = 1;
    };

    Entry& entryOf(std::uint64_t prefix) { return entries_[prefix & (entries_.size() - 1)]; }
    const Entry& entryOf(std::uint64_t prefix) const { return entries_[prefix & (entries_.size() - 1)]; }
    void store(TargetIndex target, std::uint64_t prefix, TimePoint now);

    std::vector<Entry> entries_;
    std::vector<TargetState> targets_;

    static constexpr std::size_t defaultCapacity = 16384;
};

} // namespace lychee
