// Hashes that are equal on every instance, for rendezvous hashing.
#pragma once

#include <cstdint>
#include <string_view>

namespace lychee {

// Mixes two hashes; equal on every instance.
std::uint64_t mixHashes(std::uint64_t left, std::uint64_t right);

// A hash of `text` that is equal on every instance.
std::uint64_t stableHash(std::string_view text);

} // namespace lychee
