// Rendezvous hashing: every instance computes the same weight for a member and a key.
#pragma once

#include <cstdint>
#include <string_view>

namespace lychee {

// Weight of `member` for `key`; the member with the largest weight is chosen. Equal on every machine and build.
std::uint64_t rendezvousWeight(std::string_view member, std::string_view key);

} // namespace lychee
