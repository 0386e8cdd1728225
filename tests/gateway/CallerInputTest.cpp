// How the daemon on the users' platform handles oversized, slow and malformed input from callers.
#include "tests/support/GatewayDeployment.h"
#include "tests/support/RawConnection.h"

#include <gtest/gtest.h>

#include <deque>
#include <random>
#include <thread>

namespace lychee::test {
namespace {

using namespace std::chrono_literals;

constexpr int maxHeaderBytes = 2048;
constexpr int maxBodyBytes = 4000;
constexpr auto headerTimeout = 500ms;
constexpr auto idleTimeout = 1500ms;

// The deployment that all tests of this file share. Each test leaves it running.
GatewayDeployment& deployment()
{
    static const std::unique_ptr<GatewayDeployment> started = [] {
        auto created = std::make_unique<GatewayDeployment>(LYCHEE_BUILD_DIR);
        created->setCallerLimits({{"headerBytes", maxHeaderBytes}, {"maxBodyBytes", maxBodyBytes},
            {"headerTimeoutMs", headerTimeout.count()}, {"idleTimeoutMs", idleTimeout.count()}});
        created->writeConfiguration(7, {"/stream/", "/safe/", "/unsafe/", "/limited/"});
        const bool known = eventually([&] { return created->send(0, "/limited/x", "limits-known").status == 200; });
        if (!known)
            throw std::runtime_error(
                "the instance does not serve a route of the new configuration within the time limit");
        return created;
    }();
    return *started;
}

const Endpoint& callers() { return deployment().instance(0).callers; }

void expectInstanceServes()
{
    static int number = 0;
    ASSERT_TRUE(deployment().instance(0).process->isRunning()) << deployment().instance(0).process->logText();
    EXPECT_EQ(deployment().send(0, "/unsafe/x", fmt::format("serving-{}", ++number)).status, 200);
}

std::string head(std::string_view attempt, std::string_view more)
{
    return fmt::format("POST /unsafe/x HTTP/1.1\r\nHost: a\r\nX-Attempt-Id: {}\r\n{}\r\n", attempt, more);
}

// Sends the bytes on a new connection and returns what arrives until it is closed; nothing when it stays open.
std::optional<std::string> answerTo(std::string_view bytes)
{
    RawConnection connection(callers());
    connection.write(bytes);
    return connection.readUntilClosed();
}

// Guards against limits of the configuration that are read but not enforced, and against a rejected request that still
// reaches a target.
TEST(CallerInput, LimitsOfTheConfigurationAreEnforced)
{
    const std::string longHeader = fmt::format("Long: {}\r\n", std::string(maxHeaderBytes, 'a'));
    const auto tooLongHeader = answerTo(head("long-header", longHeader + "Content-Length: 0\r\n"));
    ASSERT_TRUE(tooLongHeader.has_value());
    EXPECT_TRUE(tooLongHeader->starts_with("HTTP/1.1 431")) << *tooLongHeader;
    const auto tooLongBody
        = answerTo(head("long-body", fmt::format("Content-Length: {}\r\n", maxBodyBytes + 1)) + std::string(100, 'b'));
    ASSERT_TRUE(tooLongBody.has_value());
    EXPECT_TRUE(tooLongBody->starts_with("HTTP/1.1 413")) << *tooLongBody;
    std::string chunks;
    for (int i = 0; i < 10; ++i)
        chunks += fmt::format("{:x}\r\n{}\r\n", maxBodyBytes / 5, std::string(maxBodyBytes / 5, 'c'));
    const auto tooManyChunks = answerTo(head("long-chunks", "Transfer-Encoding: chunked\r\n") + chunks + "0\r\n\r\n");
    ASSERT_TRUE(tooManyChunks.has_value());
    EXPECT_TRUE(tooManyChunks->starts_with("HTTP/1.1 413")) << *tooManyChunks;
    for (const char* attempt : {"long-header", "long-body", "long-chunks"})
        EXPECT_EQ(deployment().executions(attempt), 0) << attempt;
    const auto whole = answerTo(head("whole", fmt::format("Connection: close\r\nContent-Length: {}\r\n", maxBodyBytes))
        + std::string(maxBodyBytes, 'w'));
    ASSERT_TRUE(whole.has_value());
    EXPECT_TRUE(whole->starts_with("HTTP/1.1 200")) << *whole;
    expectInstanceServes();
}

// Guards against fields behind the last chunk, which the limit for the header does not cover by itself: they ended the
// process.
TEST(CallerInput, LongFieldsBehindTheLastChunkAreRefused)
{
    const std::string body = head("long-trailer", "Transfer-Encoding: chunked\r\n") + "1\r\nx\r\n0\r\n";
    for (const std::size_t length : {std::size_t{65534}, std::size_t{1} << 20}) {
        const auto answer = answerTo(body + "X-Late: " + std::string(length, 'v') + "\r\n\r\n");
        ASSERT_TRUE(answer.has_value());
        EXPECT_TRUE(answer->starts_with("HTTP/1.1 431")) << answer->substr(0, 100);
    }
    EXPECT_EQ(deployment().executions("long-trailer"), 0);
    expectInstanceServes();
}

// Guards against a rejection that never reaches the caller, because the connection is reset while the caller still
// sends.
TEST(CallerInput, RejectionReachesACallerThatStillSends)
{
    for (int round = 0; round < 5; ++round) {
        const auto answer = answerTo(head("long", fmt::format("Long: {}\r\n", std::string(100000, 'a'))));
        ASSERT_TRUE(answer.has_value());
        EXPECT_TRUE(answer->starts_with("HTTP/1.1 431")) << *answer;
    }
}

// Guards against callers that keep a connection open by sending single bytes, which never exceeds the timeout of one
// read.
TEST(CallerInput, SlowHeadersTimeOut)
{
    std::deque<RawConnection> connections;
    constexpr int count = 50;
    for (int i = 0; i < count; ++i)
        connections.emplace_back(callers());
    const auto begin = std::chrono::steady_clock::now();
    const std::string bytes = head("slow", "");
    for (std::size_t byte = 0; std::chrono::steady_clock::now() - begin < headerTimeout + 300ms; ++byte) {
        for (RawConnection& connection : connections)
            connection.write(bytes.substr(byte % bytes.size(), 1));
        std::this_thread::sleep_for(50ms);
    }
    for (RawConnection& connection : connections) {
        const auto answer = connection.readUntilClosed();
        ASSERT_TRUE(answer.has_value());
        EXPECT_TRUE(answer->empty() || answer->starts_with("HTTP/1.1 408")) << *answer;
    }
    EXPECT_EQ(deployment().executions("slow"), 0);
    expectInstanceServes();
}

// Guards against idle connections that are never closed: new ones without a request, and ones after an answer.
TEST(CallerInput, IdleConnectionsAreClosed)
{
    const auto begin = std::chrono::steady_clock::now();
    const auto silent = answerTo("");
    ASSERT_TRUE(silent.has_value());
    EXPECT_TRUE(silent->empty()) << *silent;
    const auto used = answerTo(head("idle", "Content-Length: 0\r\n"));
    ASSERT_TRUE(used.has_value());
    EXPECT_TRUE(used->starts_with("HTTP/1.1 200")) << *used;
    EXPECT_GE(std::chrono::steady_clock::now() - begin, 2 * idleTimeout - 100ms);
    EXPECT_LT(std::chrono::steady_clock::now() - begin, 2 * idleTimeout + 2s);
}

struct InvalidInput {
    std::string name;
    std::string bytes;
};

// Guards against request smuggling, where two parsers read the same bytes differently and a second request hides in the
// first, and against input that is not an HTTP request.
TEST(CallerInput, AmbiguousAndMalformedRequestsAreRefused)
{
    const std::string hidden = head("hidden", "Content-Length: 0\r\n");
    const std::string chunked = "Transfer-Encoding: chunked\r\n";
    const std::vector<InvalidInput> inputs{
        {"both lengths", head("h0", chunked + "Content-Length: 4\r\n") + "0\r\n\r\n" + hidden},
        {"two lengths", head("h1", "Content-Length: 0\r\nContent-Length: 5\r\n") + hidden},
        {"negative length", head("h2", "Content-Length: -1\r\n") + hidden},
        {"huge length", head("h3", "Content-Length: 99999999999999999999999\r\n") + hidden},
        {"length that is not a decimal number", head("h4", "Content-Length: 0x10\r\n") + hidden},
        {"unknown encoding", head("h5", "Transfer-Encoding: xchunked\r\n") + "0\r\n\r\n" + hidden},
        {"bad chunk", head("h6", chunked) + "zz\r\n\r\n" + hidden},
        {"no host", "POST /unsafe/x HTTP/1.1\r\nX-Attempt-Id: h7\r\nContent-Length: 0\r\n\r\n" + hidden},
        {"two hosts", head("h8", "Host: b\r\nContent-Length: 0\r\n") + hidden},
        {"header without a colon", head("h9", "no colon\r\nContent-Length: 0\r\n") + hidden},
        {"space before the colon", head("h10", "Content-Length : 0\r\n") + hidden},
        {"folded header", head("h11", "Folded: a\r\n b\r\nContent-Length : 0\r\n") + hidden},
        {"not HTTP", "\x16\x03\x01\x02 hello\r\n\r\n" + hidden},
        {"unknown version", "GET /safe/x HTTP/9.9\r\nHost: a\r\n\r\n" + hidden}};
    for (const InvalidInput& input : inputs) {
        const auto answer = answerTo(input.bytes);
        ASSERT_TRUE(answer.has_value()) << input.name << ": the connection stays open";
        EXPECT_TRUE(answer->starts_with("HTTP/1.1 400")) << input.name << ": " << *answer;
        EXPECT_EQ(answer->find("HTTP/1.1", 1), std::string::npos) << input.name << ": " << *answer;
    }
    EXPECT_EQ(deployment().executions("hidden"), 0);
    for (int i = 0; i < 12; ++i)
        EXPECT_EQ(deployment().executions(fmt::format("h{}", i)), 0) << i;
    expectInstanceServes();
}

// Guards against a crash or a hang on requests in which a few bytes were changed.
TEST(CallerInput, MutatedRequestsDoNoHarm)
{
    const std::string whole = head("mutated",
                                  "Connection: close\r\nX-Model: m0\r\nX-Token-Count: 100,40\r\n"
                                  "X-Prompt-Prefix: 5c:80,9f:20\r\nContent-Length: 4\r\n")
        + "body";
    std::mt19937_64 random(20261204);
    for (int round = 0; round < 600; ++round) {
        std::string bytes = whole;
        const std::size_t changes = 1 + random() % 4;
        for (std::size_t i = 0; i < changes; ++i)
            bytes[random() % bytes.size()] = static_cast<char>(random());
        RawConnection connection(callers());
        connection.write(bytes);
        connection.finishSending();
        EXPECT_TRUE(connection.readUntilClosed().has_value()) << "round " << round << ": the connection stays open";
    }
    expectInstanceServes();
}

} // namespace
} // namespace lychee::test
