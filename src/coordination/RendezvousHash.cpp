#include "coordination/RendezvousHash.h"

#define XXH_INLINE_ALL
#include <xxhash.h>

namespace lychee {

std::uint64_t rendezvousWeight(std::string_view member, std::string_view key)
{
    const std::uint64_t seed = XXH3_64bits(key.data(), key.size());
    return XXH3_64bits_withSeed(member.data(), member.size(), seed);
}

} // namespace lychee
