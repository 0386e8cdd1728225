// Parsers of HTTP messages on conversations whose parts are as long as a limit of theirs, of the parser or of a
// library.
#include "transport/HttpParser.h"
#include "tests/unit/SeededRandom.h"

#include <gtest/gtest.h>

namespace lychee {
namespace {

namespace http = boost::beast::http;
using boost::system::error_code;

// 4096 and 16 bits are limits of the library, the others those of this project's readers.
constexpr std::array<std::size_t, 8> limits{64, 4096, 8192, 16384, 32768, 65533, 65536, 131072};

// What one read gives: the rest of the conversation, single bytes, or pieces of any size.
enum class Split { Whole, Bytes, Pieces };

struct Outcome {
    error_code error;
    bool done = false;
    std::string body;
};

// Gives a conversation out as a socket would.
class Source {
public:
    Source(std::string_view bytes, Split split, SeededRandom& random)
        : bytes_(bytes)
        , split_(split)
        , random_(random)
    {
    }

    std::size_t operator()(const boost::asio::mutable_buffer& space, error_code& error) const
    {
        if (position_ == bytes_.size()) {
            error = boost::asio::error::eof;
            return 0;
        }
        std::size_t count = std::min(space.size(), bytes_.size() - position_);
        if (split_ == Split::Bytes)
            count = 1;
        else if (split_ == Split::Pieces)
            count = static_cast<std::size_t>(random_.between(1, static_cast<std::int64_t>(count)));
        std::memcpy(space.data(), bytes_.data() + position_, count);
        position_ += count;
        return count;
    }

private:
    std::string_view bytes_;
    Split split_;
    SeededRandom& random_;
    mutable std::size_t position_ = 0;
};

class HttpParserTest : public testing::Test {
protected:
    static constexpr int rounds = 400;

    std::size_t below(std::size_t bound)
    {
        return static_cast<std::size_t>(random_.between(0, static_cast<std::int64_t>(bound) - 1));
    }

    // A length at a limit, one below or one above.
    std::size_t drawLength() { return limits[below(limits.size())] - 1 + below(3); }

    // Mostly short, so that single parts reach their limits.
    std::size_t drawMostlyShort() { return below(5) == 0 ? drawLength() : 1 + below(20); }

    std::string drawField(std::string name)
    {
        name.append(drawMostlyShort(), 'n');
        return name + ": " + std::string(drawMostlyShort(), 'v') + "\r\n";
    }

    std::string drawFields()
    {
        std::string fields;
        for (std::size_t i = below(4); i > 0; --i)
            fields += drawField("X-");
        return fields;
    }

    std::string drawChunks(std::string& body)
    {
        std::string chunks;
        for (std::size_t i = below(4); i > 0; --i) {
            const std::string data(drawMostlyShort(), static_cast<char>('a' + i));
            body += data;
            chunks += fmt::format("{:x}", data.size());
            if (below(3) == 0)
                chunks += ";e=" + std::string(drawMostlyShort(), 'e');
            chunks += "\r\n" + data + "\r\n";
        }
        return chunks + "0\r\n" + drawFields() + "\r\n";
    }

    // Reads one message as the server and the client do.
    template <typename Parser, typename TakeBody>
    Outcome read(Parser& parser, std::string_view conversation, std::size_t maxHead, const TakeBody& takeBody)
    {
        parser.header_limit(static_cast<std::uint32_t>(maxHead));
        parser.body_limit(std::uint64_t{1} << 24);
        boost::beast::flat_buffer buffer;
        const Split split = conversation.size() < 20000 ? static_cast<Split>(below(3))
            : below(2) == 0                             ? Split::Whole
                                                        : Split::Pieces;
        const Source source(conversation, split, random_);
        Outcome outcome;
        readHead(source, buffer, parser, maxHead, outcome.error);
        while (!outcome.error && !parser.is_done()) {
            readSome(source, buffer, parser, maxHead, outcome.error);
            outcome.body += takeBody();
            EXPECT_LE(buffer.size(), maxHead);
            EXPECT_LE(buffer.capacity(), 2 * maxHead + 1024);
        }
        outcome.done = !outcome.error && parser.is_done();
        return outcome;
    }

    SeededRandom random_{20261207};
};

// Guards against the end of the process by an exception of the library, which keeps no field of more than 65,533 bytes.
TEST_F(HttpParserTest, RequestsAtTheLimitsAreReadWholeOrFail)
{
    int done = 0;
    for (int round = 0; round < rounds; ++round) {
        const std::size_t maxHead = std::size_t{4096} << (2 * below(4));
        const std::string target = "/" + std::string(drawMostlyShort(), 't');
        const std::string fields = drawFields();
        std::string head = fmt::format("POST {} HTTP/1.1\r\nHost: a\r\n{}", target, fields);
        std::string body;
        std::string conversation;
        const bool isChunked = below(2) == 0;
        if (isChunked) {
            head += "Transfer-Encoding: chunked\r\n\r\n";
            conversation = head + drawChunks(body);
        } else {
            body.assign(drawMostlyShort(), 'b');
            head += fmt::format("Content-Length: {}\r\n\r\n", body.size());
            conversation = head + body;
        }
        HttpRequestParser parser;
        Outcome outcome;
        ASSERT_NO_THROW(outcome = read(parser, conversation, maxHead, [] { return std::string(); })) << round;
        // The library holds back a few bytes of its limit.
        if (!isChunked && head.size() + 4 <= maxHead) {
            EXPECT_TRUE(outcome.done) << round << " " << outcome.error.message();
        }
        if (head.size() > maxHead) {
            EXPECT_FALSE(outcome.done) << round;
        }
        if (!outcome.done)
            continue;
        ++done;
        const HttpRequest request = parser.take();
        EXPECT_EQ(request.target, target);
        EXPECT_EQ(request.body, body);
        const auto expected = static_cast<std::size_t>(std::count(head.begin(), head.end(), '\n')) - 2;
        EXPECT_EQ(request.headers.fields().size(), expected);
    }
    EXPECT_GT(done, rounds / 4);
}

// The same for answers, whose head, extensions and trailer come from targets that may be faulty.
TEST_F(HttpParserTest, AnswersAtTheLimitsAreReadWholeOrFail)
{
    constexpr std::size_t maxHead = 32768;
    int done = 0;
    for (int round = 0; round < rounds; ++round) {
        const std::string reason(drawMostlyShort(), 'r');
        std::string head = "HTTP/1.1 200 " + reason + "\r\n" + drawFields();
        std::string body;
        std::string conversation;
        switch (below(3)) {
        case 0:
            head += "Transfer-Encoding: chunked\r\n\r\n";
            conversation = head + drawChunks(body);
            break;
        case 1:
            body.assign(drawMostlyShort(), 'b');
            head += fmt::format("Content-Length: {}\r\n\r\n", body.size());
            conversation = head + body;
            break;
        default:
            body.assign(drawMostlyShort(), 'b');
            head += "\r\n";
            conversation = head + body;
        }
        HttpResponseParser parser;
        Outcome outcome;
        ASSERT_NO_THROW(outcome = read(parser, conversation, maxHead, [&] { return parser.takePiece(); })) << round;
        if (head.size() > maxHead) {
            EXPECT_FALSE(outcome.done) << round;
        }
        if (!outcome.done)
            continue;
        ++done;
        EXPECT_EQ(parser.status(), 200);
        EXPECT_EQ(outcome.body, body);
    }
    EXPECT_GT(done, rounds / 4);
}

// Guards against an assertion of the library that ends a process with assertions when the only chunk, an empty one,
// arrives in pieces.
TEST_F(HttpParserTest, AnEmptyChunkedBodyMayArriveInPieces)
{
    const std::string_view conversation = "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n\r\n";
    for (int round = 0; round < rounds; ++round) {
        HttpRequestParser parser;
        EXPECT_TRUE(read(parser, conversation, 4096, [] { return std::string(); }).done) << round;
    }
}

// Guards against a field behind the last chunk that acts as one of the head.
TEST_F(HttpParserTest, FieldsBehindTheLastChunkAreDropped)
{
    HttpRequestParser parser;
    const auto outcome = read(parser,
        "POST / HTTP/1.1\r\nHost: a\r\nTransfer-Encoding: chunked\r\n\r\n1\r\nx\r\n0\r\nX-Late: 1\r\n\r\n", 4096,
        [] { return std::string(); });
    ASSERT_TRUE(outcome.done);
    const HttpRequest request = parser.take();
    EXPECT_EQ(request.body, "x");
    EXPECT_FALSE(request.headers.find("X-Late").has_value());
}

} // namespace
} // namespace lychee
