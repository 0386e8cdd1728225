// Differences between two texts that share long parts, so that a changed document can be sent in a few bytes.
#pragma once

#include <cstddef>
#include <cstdint>
#include <optional>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace lychee {

// A part of the new text: `length` bytes of the old text from `offset` on, and `added` after them.
struct TextPiece {
    std::uint64_t offset = 0;
    std::uint64_t length = 0;
    std::string added;

    auto fields() { return std::tie(offset, length, added); }
    bool operator==(const TextPiece&) const = default;
};

struct TextDifference {
    std::vector<TextPiece> pieces;
    // Hash of the new text.
    std::uint64_t hash = 0;

    // Roughly the bytes of the encoded difference.
    std::size_t size() const;

    auto fields() { return std::tie(pieces, hash); }
};

// Finds the parts of `after` that also occur in `before`. The time grows with the sum of the lengths.
TextDifference differenceBetween(std::string_view before, std::string_view after);

// The new text. Nothing when the difference was not made from `before`, or makes a text longer than `maxBytes`.
std::optional<std::string> applyDifference(
    std::string_view before, const TextDifference& difference, std::size_t maxBytes);

} // namespace lychee
