// Targets and stores that write bytes without end until the connection is closed.
#include "platform/EngineClient.h"
#include "platform/StoreClient.h"
#include "tests/gateway/RelayFixture.h"

#include <fstream>

namespace lychee::gateway {
namespace {

// Highest resident memory of this process since the last reset.
std::size_t peakMegabytes()
{
    std::ifstream file("/proc/self/status");
    std::string field;
    while (file >> field && field != "VmHWM:") { }
    std::size_t kilobytes = 0;
    file >> kilobytes;
    return kilobytes / 1024;
}

class EndlessAnswerTest : public RelayFixture {
protected:
    // Writes `head` to each request and then `part` for ever.
    RawTarget::Script endless(const std::string& head, const std::string& part, Duration pause = Duration(0))
    {
        return [this, head, part, pause](RawTargetConnection& connection, const HttpRequest&) {
            ++received_;
            std::string piece;
            while (pause == Duration(0) && piece.size() < 65536)
                piece += part;
            if (pause != Duration(0))
                piece = part;
            bool open = connection.write(head);
            while (open && !stopped_) {
                open = connection.write(piece);
                if (open && pause != Duration(0))
                    sleepFor(pause);
            }
            if (!open)
                ++closed_;
        };
    }

    // Sends one request and expects the status within the limit, the connection of the target closed and little memory
    // used.
    void expectAnswer(const std::string& path, int status, std::chrono::milliseconds limit)
    {
        std::ofstream("/proc/self/clear_refs") << "5";
        const std::size_t before = peakMegabytes();
        const auto begin = std::chrono::steady_clock::now();
        const auto answer = client().send(request(path));
        ASSERT_TRUE(answer.ok()) << answer.status();
        EXPECT_EQ(answer->status, status);
        EXPECT_LT(std::chrono::steady_clock::now() - begin, limit);
        const auto end = std::chrono::steady_clock::now() + 500ms;
        while (closed_ != received_ && std::chrono::steady_clock::now() < end)
            std::this_thread::sleep_for(5ms);
        EXPECT_EQ(closed_, received_);
        stopped_ = true;
        EXPECT_LT(peakMegabytes() - before, maxMemoryMegabytes);
    }

    static constexpr std::size_t maxMemoryMegabytes = 100;
    static constexpr const char* sealed = "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nX-Response-Seal: seal\r\n";

    std::atomic<int> received_{0};
    std::atomic<int> closed_{0};
    std::atomic<bool> stopped_{false};
};

TEST_F(EndlessAnswerTest, BytesThatAreNoHeader)
{
    addRawTarget(plainService, endless("", "x"));
    start();
    expectAnswer("/unsafe/x", 502, 800ms);
}

TEST_F(EndlessAnswerTest, HeaderFields)
{
    addRawTarget(plainService, endless("HTTP/1.1 200 OK\r\n", "X-Field: value\r\n"));
    start();
    expectAnswer("/unsafe/x", 502, 800ms);
}

TEST_F(EndlessAnswerTest, InterimAnswers)
{
    addRawTarget(plainService, endless("", "HTTP/1.1 100 Continue\r\n\r\n"));
    start();
    expectAnswer("/unsafe/x", 502, 800ms);
}

TEST_F(EndlessAnswerTest, SlowInterimAnswersEndAtTheDeadline)
{
    addRawTarget(plainService, endless("", "HTTP/1.1 102 Processing\r\n\r\n", 400ms));
    start();
    expectAnswer("/unsafe/x", 504, 1300ms);
}

TEST_F(EndlessAnswerTest, BodyWithoutLength)
{
    addRawTarget(plainService, endless(fmt::format("{}\r\n", sealed), "body"));
    start();
    expectAnswer("/unsafe/x", 502, 1300ms);
}

// Guards against a field behind the last chunk, longer than the HTTP library can keep, that ends the process.
TEST_F(EndlessAnswerTest, LongFieldBehindTheLastChunk)
{
    const std::string answer = fmt::format(
        "{}Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\nX-Late: {}\r\n\r\n", sealed, std::string(70000, 'v'));
    addRawTarget(plainService, [this, answer](RawTargetConnection& connection, const HttpRequest&) {
        ++received_;
        connection.write(answer);
        if (!connection.readRequest())
            ++closed_;
    });
    start();
    expectAnswer("/unsafe/x", 502, 800ms);
}

class ManyEndlessAnswersTest : public EndlessAnswerTest {
protected:
    // Sends many requests to targets that answer without end, and sound ones beside them, and expects that the sound
    // ones are answered and little memory is used.
    void expectSoundAnswersBesideEndless(const std::string& endlessPath, const std::string& soundPath, int count)
    {
        std::ofstream("/proc/self/clear_refs") << "5";
        const std::size_t before = peakMegabytes();
        std::vector<std::jthread> callers;
        callers.reserve(static_cast<std::size_t>(count));
        for (int i = 0; i < count; ++i) {
            callers.emplace_back([this, endlessPath] { static_cast<void>(client().send(request(endlessPath))); });
        }
        for (int i = 0; i < 10; ++i) {
            const auto answer = client().send(request(soundPath));
            ASSERT_TRUE(answer.ok()) << answer.status();
            EXPECT_EQ(answer->status, 200) << answer->body.substr(0, 100);
            EXPECT_EQ(answer->body.size(), soundBytes);
        }
        callers.clear();
        stopped_ = true;
        EXPECT_LT(peakMegabytes() - before, maxMemoryMegabytes);
    }

    static constexpr std::size_t soundBytes = 300000;
};

// Guards against a process that runs out of memory, though each answer stays within its own limit.
TEST_F(ManyEndlessAnswersTest, BodiesAtOnce)
{
    const std::string chunk = fmt::format("{:x}\r\n{}\r\n", 60000, std::string(60000, 'x'));
    const std::string head = fmt::format("{}Transfer-Encoding: chunked\r\n\r\n", sealed);
    addRawTarget(plainService, [this, head, chunk](RawTargetConnection& connection, const HttpRequest& received) {
        if (received.target == "/safe/x") {
            connection.write(
                rawAnswer("200 OK\r\nX-Attempt-Id: id-1\r\nX-Response-Seal: seal\r\n", std::string(soundBytes, 's')));
            return;
        }
        endless(head, chunk, 5ms)(connection, received);
    });
    start();
    expectSoundAnswersBesideEndless("/unsafe/x", "/safe/x", 60);
}

TEST_F(EndlessAnswerTest, ChunkExtension)
{
    addRawTarget(plainService, endless(fmt::format("{}Transfer-Encoding: chunked\r\n\r\n4;", sealed), "x"));
    start();
    expectAnswer("/unsafe/x", 502, 800ms);
}

TEST_F(EndlessAnswerTest, ChunkTrailer)
{
    addRawTarget(plainService,
        endless(fmt::format("{}Transfer-Encoding: chunked\r\n\r\n4\r\nbody\r\n0\r\n", sealed), "X-Field: value\r\n"));
    start();
    expectAnswer("/unsafe/x", 502, 800ms);
}

TEST_F(EndlessAnswerTest, EventWithoutEnd)
{
    addRawTarget(engineService, endless(fmt::format("{}\r\n", sealed), "data: x\n"));
    start();
    expectAnswer("/once/x", 502, 800ms);
}

// The refusal itself is complete with its header; its body is of no use.
TEST_F(EndlessAnswerTest, BodyOfARefusal)
{
    addRawTarget(plainService, endless("HTTP/1.1 503 Full\r\nX-Attempt-Id: id-1\r\nX-Not-Executed: 1\r\n\r\n", "full"));
    start();
    expectAnswer("/unsafe/x", 503, 500ms);
}

TEST_F(EndlessAnswerTest, SlowBodyOfARefusal)
{
    addRawTarget(plainService,
        endless("HTTP/1.1 503 Full\r\nX-Attempt-Id: id-1\r\nX-Not-Executed: 1\r\nContent-Length: 100000\r\n\r\n",
            "full", 20ms));
    start();
    expectAnswer("/unsafe/x", 503, 500ms);
}

TEST_F(EndlessAnswerTest, BodyOfAnAnswerToAnotherRequest)
{
    addRawTarget(plainService,
        endless("HTTP/1.1 200 OK\r\nX-Attempt-Id: id-0\r\nTransfer-Encoding: chunked\r\n\r\n",
            "fa0\r\n" + std::string(4000, 'x') + "\r\n"));
    start();
    expectAnswer("/unsafe/x", 502, 800ms);
}

TEST_F(EndlessAnswerTest, AnswersToOtherRequests)
{
    addRawTarget(plainService, endless("", "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-0\r\nContent-Length: 1\r\n\r\nx"));
    start();
    expectAnswer("/unsafe/x", 502, 800ms);
}

// An interim answer precedes the answer and is none itself.
TEST_F(EndlessAnswerTest, OneInterimAnswerIsSkipped)
{
    addRawTarget(plainService, [](RawTargetConnection& connection, const HttpRequest& request) {
        connection.write("HTTP/1.1 100 Continue\r\n\r\n");
        connection.write(rawAnswer("200 OK\r\nX-Attempt-Id: id-1\r\nX-Response-Seal: seal\r\n", request.body));
    });
    start();
    for (int i = 0; i < 2; ++i) {
        const auto answer = client().send(request("/unsafe/x"));
        ASSERT_TRUE(answer.ok()) << answer.status();
        EXPECT_EQ(answer->status, 200);
        EXPECT_EQ(answer->body, "the body");
    }
}

// Guards against a store or an engine whose endless answer holds a call beyond its deadline or fills the memory.
TEST_F(EndlessAnswerTest, AnswersToCallsOfTheSystem)
{
    for (const std::string head :
        {"", "HTTP/1.1 200 OK\r\n\r\n", "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n1;",
            "HTTP/1.1 200 OK\r\nTransfer-Encoding: chunked\r\n\r\n0\r\n"}) {
        addRawTarget(plainService, endless(head, "X-Field: value\r\n"));
        std::ofstream("/proc/self/clear_refs") << "5";
        const std::size_t before = peakMegabytes();
        relayDuty_->run([&] {
            const Endpoint endpoint{"127.0.0.1", rawTargets_.back()->port()};
            const TimePoint begin = currentTime();
            platform::StoreClient store(endpoint);
            EXPECT_FALSE(store.list("servers", currentTime() + 300ms).ok());
            EXPECT_FALSE(store.changes("servers", RowVersion(1), 100ms, currentTime() + 300ms, nullptr).ok());
            EXPECT_EQ(
                store.write("t", "k", RowVersion(), "v", currentTime() + 300ms).outcome, RowWrite::Outcome::Unknown);
            platform::EngineClient engine;
            fleet::TargetRecord target;
            target.id = TargetId("e");
            target.endpoint = endpoint;
            EXPECT_FALSE(engine.report(target, currentTime() + 300ms).ok());
            EXPECT_LT(currentTime() - begin, 1600ms);
        });
        EXPECT_LT(peakMegabytes() - before, maxMemoryMegabytes);
    }
    stopped_ = true;
}

} // namespace
} // namespace lychee::gateway
