#include "protocol/StableHash.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace lychee {

std::uint64_t stableHash(std::string_view text) { return XXH3_64bits(text.data(), text.size()); }

std::uint64_t mixHashes(std::uint64_t left, std::uint64_t right)
{
    // Finalizer of splitmix64.
    std::uint64_t mixed = left ^ (right + 0x9e3779b97f4a7c15U + (left << 6U) + (left >> 2U));
    mixed = (mixed ^ (mixed >> 30U)) * 0xbf58476d1ce4e5b9U;
    mixed = (mixed ^ (mixed >> 27U)) * 0x94d049bb133111ebU;
    return mixed ^ (mixed >> 31U);
}

} // namespace lychee
