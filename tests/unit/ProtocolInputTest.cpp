#include "protocol/ChatRequest.h"
#include "protocol/EventStream.h"
#include "protocol/JsonText.h"
#include "protocol/PlatformProtocol.h"
#include "protocol/ProtocolError.h"
#include "tests/unit/SeededRandom.h"

#include <gtest/gtest.h>

#include <functional>

namespace lychee {
namespace {

constexpr std::uint64_t fuzzSeed = 43;
constexpr int fuzzRounds = 5000;

struct InputKind {
    std::string name;
    std::string sample;
    std::function<absl::Status(std::string_view)> decode;
};

std::vector<InputKind> inputKinds()
{
    return {{"json", R"({"a":[1,-2.5e3,"text \u00e9",true,null,{"b":{}}]})",
                [](std::string_view text) {
                    const auto parsed = parseJson(text);
                    if (parsed.ok()) {
                        EXPECT_TRUE(parseJson(writeJson(*parsed)).ok()) << text;
                    }
                    return parsed.status();
                }},
        {"chat", R"({"model":"river:north","stream":true,"messages":[{"role":"user","content":"plan the ride"}]})",
            [](std::string_view text) {
                const auto request = ChatRequest::parse(text, true);
                if (request.ok()) {
                    EXPECT_TRUE(parseJson(request->bodyFor(ArtifactId("river@1"))).ok());
                }
                return request.status();
            }},
        {"completion", R"({"model":"river","prompt":"plan the ride","max_tokens":5})",
            [](std::string_view text) { return ChatRequest::parse(text, false).status(); }},
        {"transactions",
            R"({"results":[{"committed":true,"versions":[7]},{"committed":false,"conflicts":[{"table":"claims","key":"a/b","version":3,"value":{}}]}]})",
            [](std::string_view text) { return decodeTransactionResults(text).status(); }},
        {"row", R"({"version":4,"value":{"owner":"entry-1"}})",
            [](std::string_view text) { return decodeRow(text).status(); }},
        {"rows", R"({"rows":[{"key":"engine-1","version":4,"value":{}},{"key":"engine-2","version":5,"value":[]}]})",
            [](std::string_view text) { return decodeRows("targets", text).status(); }},
        {"instances",
            R"({"instances":[{"id":"entry-1","data_centre":"dc-1","address":"127.0.0.1","peer_port":9000,"state":"live"}]})",
            [](std::string_view text) { return decodeInstances(text).status(); }}};
}

std::string mutated(std::string bytes, SeededRandom& chance)
{
    // Structural characters occur more often than by chance, so that mutations also give well-formed documents.
    static constexpr std::string_view structure = "{}[]\",:0-9eE.\\u";
    for (std::int64_t changes = chance.between(1, 4); changes > 0; --changes) {
        const auto at = static_cast<std::size_t>(chance.between(0, static_cast<std::int64_t>(bytes.size()) - 1));
        const char byte = chance.percent(50)
            ? structure[static_cast<std::size_t>(chance.between(0, static_cast<std::int64_t>(structure.size()) - 1))]
            : static_cast<char>(chance.between(0, 255));
        if (chance.percent(30))
            bytes.insert(at, 1, byte);
        else
            bytes[at] = byte;
    }
    return bytes;
}

std::string randomBytes(SeededRandom& chance)
{
    std::string bytes;
    for (std::int64_t size = chance.between(0, 64); size > 0; --size)
        bytes += static_cast<char>(chance.between(0, 255));
    return bytes;
}

// Guards against a decoder that accepts a part of a document or refuses a whole one.
TEST(Access, WholeDocumentsAreReadAndTruncatedOnesRefused)
{
    for (const InputKind& kind : inputKinds()) {
        EXPECT_TRUE(kind.decode(kind.sample).ok()) << kind.name << ": " << kind.decode(kind.sample);
        for (std::size_t length = 0; length < kind.sample.size(); ++length)
            EXPECT_EQ(errorOf<ProtocolError>(kind.decode(kind.sample.substr(0, length))), ProtocolError::Malformed)
                << kind.name << " cut at " << length;
    }
}

// Guards against a crash, an exception or an error without a reason, on mutated and on random input.
TEST(Access, HostileDocumentsAreReadOrRefused)
{
    SeededRandom chance(fuzzSeed);
    for (const InputKind& kind : inputKinds()) {
        int accepted = 0;
        for (int round = 0; round < fuzzRounds; ++round) {
            const std::string bytes = chance.percent(15) ? randomBytes(chance) : mutated(kind.sample, chance);
            const absl::Status status = kind.decode(bytes);
            if (status.ok()) {
                ++accepted;
                continue;
            }
            EXPECT_TRUE(errorOf<ProtocolError>(status).has_value()) << kind.name << ": " << status;
            EXPECT_FALSE(status.message().empty()) << kind.name;
        }
        EXPECT_GT(accepted, 0) << kind.name << ": the fuzz never reaches the fields";
    }
}

// Guards against a stack that overflows on deep documents, in each decoder.
TEST(Access, DeepDocumentsAreRefused)
{
    for (const std::size_t depth : {std::size_t{maxJsonDepth} + 1, std::size_t{100000}}) {
        const std::string arrays = std::string(depth, '[') + std::string(depth, ']');
        std::string objects;
        for (std::size_t i = 0; i < depth; ++i)
            objects += R"({"a":)";
        objects += "1" + std::string(depth, '}');
        for (const InputKind& kind : inputKinds()) {
            EXPECT_FALSE(kind.decode(arrays).ok()) << kind.name;
            EXPECT_FALSE(kind.decode(objects).ok()) << kind.name;
        }
    }
}

// The data of all events that a parser finds in `text`, fed in pieces of random sizes.
absl::StatusOr<std::vector<ServerEvent>> feedInPieces(std::string_view text, SeededRandom& chance)
{
    EventStreamParser parser;
    std::vector<ServerEvent> events;
    while (!text.empty()) {
        const auto size = static_cast<std::size_t>(chance.between(1, 20));
        auto found = parser.feed(text.substr(0, size));
        if (!found.ok())
            return found.status();
        events.insert(events.end(), found->begin(), found->end());
        text.remove_prefix(std::min(size, text.size()));
    }
    return events;
}

// Guards against events that depend on how the network cuts the stream into pieces.
TEST(Access, EventsDoNotDependOnThePieces)
{
    SeededRandom chance(fuzzSeed);
    std::string stream = ": a comment\n\n";
    constexpr std::uint64_t tokens = 20;
    for (std::uint64_t i = 1; i <= tokens; ++i)
        stream += formatEvent({i, fmt::format(R"({{"token":{}}})", i)});
    stream += formatEvent({0, std::string(streamEndMarker)});
    for (int round = 0; round < 200; ++round) {
        const auto events = feedInPieces(stream, chance);
        ASSERT_TRUE(events.ok()) << events.status();
        ASSERT_EQ(events->size(), tokens + 1);
        for (std::uint64_t i = 1; i <= tokens; ++i) {
            EXPECT_EQ((*events)[i - 1].id, i);
            EXPECT_EQ((*events)[i - 1].data, fmt::format(R"({{"token":{}}})", i));
        }
        EXPECT_TRUE(events->back().isEndMarker());
    }
}

// Guards against a crash on mutated streams, and against an engine that fills the memory with one endless event.
TEST(Access, HostileStreamsAreReadOrRefused)
{
    SeededRandom chance(fuzzSeed);
    const std::string stream = formatEvent({1, "one"}) + formatEvent({2, "two"}) + formatEvent({0, "[DONE]"});
    for (int round = 0; round < fuzzRounds; ++round) {
        const std::string bytes = chance.percent(15) ? randomBytes(chance) : mutated(stream, chance);
        const auto events = feedInPieces(bytes, chance);
        EXPECT_TRUE(events.ok() || errorOf<ProtocolError>(events.status()).has_value()) << events.status();
    }
    EventStreamParser parser;
    absl::Status status;
    std::size_t fed = 0;
    const std::string piece = "data: " + std::string(1000, 'x');
    while (status.ok() && fed < 4 * EventStreamParser::maxEventBytes) {
        status = parser.feed(piece).status();
        fed += piece.size();
    }
    EXPECT_EQ(errorOf<ProtocolError>(status), ProtocolError::TooLarge);
    // The same with many lines that no empty line ends.
    EventStreamParser lines;
    status = absl::OkStatus();
    fed = 0;
    while (status.ok() && fed < 4 * EventStreamParser::maxEventBytes) {
        status = lines.feed(piece + "\n").status();
        fed += piece.size();
    }
    EXPECT_EQ(errorOf<ProtocolError>(status), ProtocolError::TooLarge);
}

} // namespace
} // namespace lychee
