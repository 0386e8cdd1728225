// Differences between the versions of a document.
#include "protocol/TextDifference.h"

#include <gtest/gtest.h>
#include <rapidcheck/gtest.h>

#include <fmt/format.h>

namespace lychee {
namespace {

constexpr std::size_t noLimit = std::size_t{1} << 30;

// A configuration with this many routes; those in `changed` have another time limit.
std::string document(int version, int routes, const std::vector<int>& changed = {}, int dropped = -1)
{
    std::string text = fmt::format(R"({{"version":{},"routes":[)", version);
    for (int i = 0; i < routes; ++i) {
        if (i == dropped)
            continue;
        const bool isChanged = std::find(changed.begin(), changed.end(), i) != changed.end();
        text += fmt::format(
            R"({{"name":"r{0}","host":"h{1}.example","prefix":"/p{2}/","kind":"streaming","timeoutMs":{3},"service":"s"}},)",
            i, i % 7, i * 7919, isChanged ? 4200 + version : 6000);
    }
    return text + "]}";
}

// Guards against a small change of a large configuration that is sent whole to each instance.
TEST(TextDifference, ASmallChangeOfALargeDocumentIsSmall)
{
    constexpr int routes = 1150;
    constexpr std::size_t maxBytes = 3000;
    const std::string before = document(9, routes);
    for (const std::string& after : {document(10, routes), document(12, routes + 1),
             document(10, routes, {3, 500, 1149}), document(10, routes, {}, 20)}) {
        const TextDifference difference = differenceBetween(before, after);
        EXPECT_LE(difference.size(), maxBytes);
        EXPECT_EQ(applyDifference(before, difference, noLimit), after);
    }
}

// Guards against a text that is taken for the new one although the difference was made from another one.
TEST(TextDifference, ADifferenceFromAnotherTextIsRejected)
{
    const TextDifference difference = differenceBetween(document(1, 50), document(2, 50, {7}));
    EXPECT_EQ(applyDifference(document(1, 50, {30}), difference, noLimit), std::nullopt);
    EXPECT_EQ(applyDifference("", difference, noLimit), std::nullopt);
}

// Guards against a received difference that reads beyond the old text or makes a text without bound.
TEST(TextDifference, PiecesOutOfRangeAreRejected)
{
    const std::string before(100, 'x');
    constexpr std::uint64_t most = std::numeric_limits<std::uint64_t>::max();
    for (const TextPiece& piece : {TextPiece{101, 0, ""}, TextPiece{0, 101, ""}, TextPiece{most, 1, ""},
             TextPiece{1, most, ""}, TextPiece{50, 51, ""}})
        EXPECT_EQ(applyDifference(before, {{piece}, 0}, noLimit), std::nullopt);
    const TextDifference repeated{std::vector<TextPiece>(1000, {0, 100, ""}), 0};
    EXPECT_EQ(applyDifference(before, repeated, 5000), std::nullopt);
}

RC_GTEST_PROP(TextDifference, MakesTheNewTextOfAnyTwo, (const std::string& before, const std::string& after))
{
    RC_ASSERT(applyDifference(before, differenceBetween(before, after), noLimit) == after);
}

RC_GTEST_PROP(TextDifference, MakesTheNewTextOfTwoWithCommonParts, ())
{
    const std::string first = document(1, *rc::gen::inRange(0, 60));
    std::string after = first;
    const int edits = *rc::gen::inRange(0, 6);
    for (int i = 0; i < edits; ++i) {
        const std::size_t at = *rc::gen::inRange<std::size_t>(0, after.size());
        const std::size_t length = *rc::gen::inRange<std::size_t>(0, after.size() - at + 1);
        const std::string moved = after.substr(at, length);
        if (*rc::gen::arbitrary<bool>())
            after.erase(at, length);
        after.insert(*rc::gen::inRange<std::size_t>(0, after.size() + 1), moved.substr(0, 5000));
    }
    RC_ASSERT(applyDifference(first, differenceBetween(first, after), noLimit) == after);
}

} // namespace
} // namespace lychee
