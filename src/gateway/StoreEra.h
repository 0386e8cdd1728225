// Versions of rows across the eras of the store. The store counts its versions from a single counter, which goes back
// when the store is restored from an older copy; its era then rises. A RowVersion holds the era above the counter, so
// that everything from a later era is newer.
#pragma once

#include "protocol/Ids.h"

namespace lychee::gateway {

// Number of times that the store has been restored; 0 for a store that states none.
using StoreEra = StrongNumber<struct StoreEraTag>;

// Bits of the store's counter in a RowVersion.
inline constexpr unsigned rowCounterBits = 44;
inline constexpr std::uint64_t maxRowCounter = (std::uint64_t{1} << rowCounterBits) - 1;
inline constexpr std::uint64_t maxStoreEra = (std::uint64_t{1} << (64 - rowCounterBits)) - 1;

// Neither number may be above its maximum. A counter of zero stands for an absent row in every era.
constexpr RowVersion rowVersionIn(StoreEra era, std::uint64_t counter)
{
    return RowVersion(era.value() << rowCounterBits | counter);
}

constexpr StoreEra eraOf(RowVersion version) { return StoreEra(version.value() >> rowCounterBits); }

constexpr std::uint64_t rowCounterOf(RowVersion version) { return version.value() & maxRowCounter; }

} // namespace lychee::gateway
