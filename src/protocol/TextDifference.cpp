#include "protocol/TextDifference.h"

#include "protocol/StableHash.h"

#include <algorithm>
#include <array>
#include <unordered_map>

namespace lychee {

namespace {

// Chunks end where the hash of the bytes before has this many leading zero bits, so a change moves the ends of few
// chunks. The mean length is 256 bytes, about that of an entry of a list in a document.
constexpr unsigned boundaryBits = 8;
constexpr std::size_t minChunkBytes = 48;
constexpr std::size_t maxChunkBytes = 4096;

// Bytes of a piece besides those that it adds.
constexpr std::size_t pieceBytes = 12;

constexpr std::size_t byteValues = 256;

// One random number for each value of a byte.
const std::array<std::uint64_t, byteValues>& byteHashes()
{
    static const std::array<std::uint64_t, byteValues> hashes = [] {
        std::array<std::uint64_t, byteValues> numbers{};
        for (std::size_t i = 0; i < numbers.size(); ++i)
            numbers[i] = mixHashes(i, byteValues);
        return numbers;
    }();
    return hashes;
}

// The length of the chunk at the beginning of `text`. A byte has no influence on the hash after 64 more bytes.
std::size_t chunkLength(std::string_view text)
{
    const auto& hashes = byteHashes();
    const std::size_t limit = std::min(text.size(), maxChunkBytes);
    std::uint64_t hash = 0;
    for (std::size_t i = 0; i < limit; ++i) {
        hash = (hash << 1U) + hashes[static_cast<unsigned char>(text[i])];
        if (i + 1 >= minChunkBytes && hash >> (64U - boundaryBits) == 0)
            return i + 1;
    }
    return limit;
}

std::size_t commonPrefix(std::string_view left, std::string_view right)
{
    const std::size_t length = std::min(left.size(), right.size());
    const auto end = left.begin() + static_cast<std::ptrdiff_t>(length);
    return static_cast<std::size_t>(std::mismatch(left.begin(), end, right.begin()).first - left.begin());
}

// The offset of each chunk of `text` by the hash of the chunk; of equal chunks the first one.
std::unordered_map<std::uint64_t, std::size_t> indexChunks(std::string_view text)
{
    std::unordered_map<std::uint64_t, std::size_t> index;
    for (std::size_t offset = 0; offset < text.size();) {
        const std::string_view chunk = text.substr(offset, chunkLength(text.substr(offset)));
        index.try_emplace(stableHash(chunk), offset);
        offset += chunk.size();
    }
    return index;
}

} // namespace

std::size_t TextDifference::size() const
{
    std::size_t bytes = 0;
    for (const TextPiece& piece : pieces)
        bytes += pieceBytes + piece.added.size();
    return bytes;
}

TextDifference differenceBetween(std::string_view before, std::string_view after)
{
    TextDifference difference{{}, stableHash(after)};
    const auto index = indexChunks(before);
    std::vector<TextPiece>& pieces = difference.pieces;
    std::size_t done = commonPrefix(before, after);
    pieces.push_back({0, done, {}});
    while (done < after.size()) {
        const std::string_view rest = after.substr(done);
        // Documents mostly change within an entry: what follows is the old text a little further on.
        const std::string_view chunk = rest.substr(0, chunkLength(rest));
        const auto found = index.find(stableHash(chunk));
        const std::size_t length = found == index.end() ? 0 : commonPrefix(before.substr(found->second), rest);
        if (length < chunk.size()) {
            pieces.back().added += chunk;
            done += chunk.size();
            continue;
        }
        // The end of what was added may belong to the old text too.
        std::string& added = pieces.back().added;
        std::size_t back = 0;
        while (back < added.size() && back < found->second
            && before[found->second - back - 1] == added[added.size() - back - 1])
            ++back;
        added.resize(added.size() - back);
        pieces.push_back({found->second - back, length + back, {}});
        done += length;
    }
    return difference;
}

std::optional<std::string> applyDifference(
    std::string_view before, const TextDifference& difference, std::size_t maxBytes)
{
    std::string after;
    for (const TextPiece& piece : difference.pieces) {
        if (piece.offset > before.size() || piece.length > before.size() - piece.offset)
            return std::nullopt;
        if (piece.length > maxBytes || piece.added.size() > maxBytes
            || after.size() + piece.length + piece.added.size() > maxBytes)
            return std::nullopt;
        after += before.substr(piece.offset, piece.length);
        after += piece.added;
    }
    if (stableHash(after) != difference.hash)
        return std::nullopt;
    return after;
}

} // namespace lychee
