// Requests that crash the targets which run them.
#include "tests/gateway/RelayFixture.h"
#include "tests/support/GatewayDeployment.h"

namespace lychee::gateway {
namespace {

class CrashingPromptTest : public RelayFixture {
protected:
    static constexpr const char* crashingPart = ",7:";

    // Adds a target that ends when it receives a prompt with the crashing part, and streams events otherwise.
    void addFragileTarget()
    {
        const std::size_t number = targets_.size();
        addTarget(engineService, [this, number](ScriptedTarget& target, HttpExchange& exchange) {
            const auto prefix = exchange.request().headers.find("X-Prompt-Prefix").value_or("");
            if (prefix.find(crashingPart) == std::string_view::npos)
                return events(5)(target, exchange);
            ++crashes_;
            targets_[number]->server->close();
            sleepFor(100ms);
        });
    }

    HttpResponse send(int number, const std::string& prefix)
    {
        HttpRequest sent = request("/stream/x");
        sent.headers.set("X-Attempt-Id", fmt::format("id-{}", number));
        sent.headers.set("X-Prompt-Prefix", prefix);
        sent.body = fmt::format("body {}", number);
        const auto answer = client().send(sent);
        return answer.ok() ? *answer : HttpResponse{0, {}, std::string(answer.status().message())};
    }

    std::atomic<int> crashes_{0};
};

// Guards against targets that crash one after another on different requests with the same prompt part, and against
// sound requests that are refused with them.
TEST_F(CrashingPromptTest, RequestsWithAPartThatCrashesTargetsAreRefused)
{
    for (int i = 0; i < 8; ++i)
        addFragileTarget();
    start();
    constexpr int rounds = 6;
    for (int i = 1; i <= rounds; ++i) {
        const HttpResponse tainted = send(i, fmt::format("1:10{}20,{:x}:5", crashingPart, 100 + i));
        EXPECT_EQ(tainted.status, i <= 2 ? 502 : 503) << i;
        EXPECT_EQ(tainted.headers.find("Retry-After").has_value(), i > 2) << i;
        const HttpResponse sound = send(50 + i, fmt::format("1:10,8:20,{:x}:5", 200 + i));
        EXPECT_EQ(sound.status, 200) << i;
        EXPECT_EQ(sound.body, expectedEvents(5)) << i;
    }
    EXPECT_EQ(crashes_, 3);
}

// Guards against a lost connection to a running target that counts as a crash.
TEST_F(CrashingPromptTest, LostConnectionsToRunningTargetsBlockNothing)
{
    for (int i = 0; i < 2; ++i)
        addTarget(engineService, [](ScriptedTarget&, HttpExchange& exchange) { exchange.abort(); });
    start();
    for (int i = 1; i <= 5; ++i)
        EXPECT_EQ(send(i, "1:10,7:20,64:5").status, 502) << i;
    EXPECT_EQ(receivedRequests(), 10u);
}

// Guards against lookups of the same path that are taken for one request: their answers clear the one that crashes
// targets, and its block refuses them all.
TEST_F(CrashingPromptTest, ALookupIsToldFromOthersByItsQuery)
{
    for (std::size_t number = 0; number < 10; ++number) {
        addTarget(plainService, [this, number](ScriptedTarget& target, HttpExchange& exchange) {
            if (exchange.request().target != "/safe/lookup?item=666")
                return answerWhole(target, exchange);
            ++crashes_;
            targets_[number]->server->close();
        });
    }
    start();
    const auto lookUp = [this](int number, int item) {
        HttpRequest sent = request(fmt::format("/safe/lookup?item={}", item));
        sent.method = "GET";
        sent.body.clear();
        sent.headers.set("X-Attempt-Id", fmt::format("id-{}", number));
        const auto answer = client().send(sent);
        return answer.ok() ? answer->status : 0;
    };
    for (int i = 1; i <= 6; ++i) {
        EXPECT_EQ(lookUp(i, 666), i == 1 ? 502 : 503) << i;
        EXPECT_EQ(lookUp(100 + i, i), 200) << i;
    }
    EXPECT_EQ(crashes_, 2);
}

// A moment of an answer at which a target crashes.
struct CrashMoment {
    std::string name;
    // The bytes of the answer before it.
    std::function<std::string(const HttpRequest&)> bytes;
    std::string path;
    const ServiceId& service;
};

std::string answerHead(const HttpRequest& request, std::string_view framing)
{
    return fmt::format("HTTP/1.1 200 OK\r\nX-Attempt-Id: {}\r\nX-Response-Seal: seal\r\n{}\r\n\r\n",
        request.headers.find("X-Attempt-Id").value_or(""), framing);
}

// A chunked stream that breaks off after the given number of events.
std::string streamOf(const HttpRequest& request, int events)
{
    std::string bytes = answerHead(request, "Transfer-Encoding: chunked");
    const int after = std::stoi(std::string(request.headers.find("Last-Event-Id").value_or("0")));
    for (int id = after + 1; id <= after + events; ++id) {
        const std::string event = fmt::format("id: {}\ndata: e{}\n\n", id, id);
        bytes += fmt::format("{:x}\r\n{}\r\n", event.size(), event);
    }
    return bytes;
}

CrashMoment inStream(std::string name, int events)
{
    return {std::move(name), [events](const HttpRequest& request) { return streamOf(request, events); }, "/stream/x",
        engineService};
}

CrashMoment inPlainAnswer(std::string name, std::string_view body)
{
    return {std::move(name),
        [body](const HttpRequest& request) { return answerHead(request, "Content-Length: 10") + std::string(body); },
        "/safe/x", plainService};
}

class CrashMomentTest : public CrashingPromptTest, public testing::WithParamInterface<CrashMoment> {
protected:
    // Adds a target that ends in the middle of its answer to a request with the body "crash".
    void addTargetThatCrashes()
    {
        const std::size_t number = rawTargets_.size();
        addRawTarget(GetParam().service, [this, number](RawTargetConnection& connection, const HttpRequest& request) {
            if (request.body != "crash") {
                connection.write(streamOf(request, 3) + "0\r\n\r\n");
                return;
            }
            ++crashes_;
            connection.write(GetParam().bytes(request));
            sleepFor(30ms);
            rawTargets_[number]->close();
        });
    }
};

// Guards against a request that crashes one target after another because a part of its answer arrives each time.
TEST_P(CrashMomentTest, RepeatsOfTheRequestAreRefused)
{
    for (int i = 0; i < 10; ++i)
        addTargetThatCrashes();
    start();
    int refused = 0;
    for (int i = 1; i <= 6; ++i) {
        HttpRequest sent = request(GetParam().path);
        sent.headers.set("X-Attempt-Id", fmt::format("id-{}", i));
        sent.body = "crash";
        const auto answer = client().send(sent);
        refused += answer.ok() && answer->status == 503;
        sent.body = fmt::format("sound {}", i);
        sent.headers.set("X-Attempt-Id", fmt::format("sound-{}", i));
        const auto sound = client().send(sent);
        ASSERT_TRUE(sound.ok()) << i;
        EXPECT_EQ(sound->status, 200) << i;
    }
    EXPECT_LE(crashes_, 3);
    EXPECT_GE(refused, 4);
}

INSTANTIATE_TEST_SUITE_P(Moments, CrashMomentTest,
    testing::Values(
        CrashMoment{"BeforeTheHead", [](const HttpRequest&) { return std::string(); }, "/stream/x", engineService},
        inStream("BeforeTheFirstEvent", 0), inStream("AfterOneEvent", 1), inStream("AfterTwoEvents", 2),
        inStream("AfterTenEvents", 10), inPlainAnswer("BeforeTheBody", ""), inPlainAnswer("InTheBody", "half")),
    [](const auto& info) { return info.param.name; });

// Guards against sound streams that are refused because they went on at the targets that a bad request ended next.
TEST_F(CrashingPromptTest, SoundStreamsThatShareTheCrashesOfABadRequestAreNotRefused)
{
    constexpr int targetCount = 6;
    constexpr int soundCount = 24;
    for (std::size_t number = 0; number < targetCount; ++number) {
        addTarget(engineService, [this, number](ScriptedTarget& target, HttpExchange& exchange) {
            if (exchange.request().body != "crash")
                return events(150)(target, exchange);
            exchange.beginStream(200, sealedHeaders(exchange.request())).IgnoreError();
            for (int id = 1; id <= 3; ++id)
                exchange.write(fmt::format("id: {}\ndata: e{}\n\n", id, id)).IgnoreError();
            sleepFor(30ms);
            ++crashes_;
            targets_[number]->server->close();
            exchange.abort();
        });
    }
    start();
    std::atomic<int> refused{0};
    std::vector<std::jthread> callers;
    callers.reserve(soundCount);
    for (int i = 0; i < soundCount; ++i) {
        callers.emplace_back([this, i, &refused] {
            // A caller whose stream broke off sends the request again.
            for (int attempt = 0; attempt < 3; ++attempt) {
                HttpRequest sent = request("/stream/x");
                sent.headers.set("X-Attempt-Id", fmt::format("sound-{}-{}", i, attempt));
                sent.body = fmt::format("sound {}", i);
                const auto answer = client().send(sent);
                refused += answer.ok() && answer->body.find("crashed") != std::string::npos;
                if (answer.ok())
                    return;
            }
        });
    }
    for (int i = 1; i <= 5; ++i) {
        std::this_thread::sleep_for(100ms);
        HttpRequest sent = request("/stream/x");
        sent.headers.set("X-Attempt-Id", fmt::format("bad-{}", i));
        sent.body = "crash";
        static_cast<void>(client().send(sent));
    }
    callers.clear();
    EXPECT_EQ(refused, 0);
    EXPECT_LE(crashes_, 4);
}

class ResumedCrashTest : public CrashingPromptTest {
protected:
    static constexpr int eventsInAll = 12;

    enum class Framing { Chunks, None };

    // Adds a target that ends while it runs "crash" after the given number of events, if the stream has more of them.
    // Other requests get all events.
    void addTargetThatCrashesAfter(int events)
    {
        const std::size_t number = rawTargets_.size();
        addRawTarget(
            engineService, [this, number, events](RawTargetConnection& connection, const HttpRequest& request) {
                const int after = std::stoi(std::string(request.headers.find("Last-Event-Id").value_or("0")));
                const bool crashes = request.body == "crash" && after + events < eventsInAll;
                const bool chunked = framing_ == Framing::Chunks;
                connection.write(answerHead(request, chunked ? "Transfer-Encoding: chunked" : "Connection: close"));
                for (int id = after + 1; id <= (crashes ? after + events : eventsInAll); ++id) {
                    const std::string event = fmt::format("id: {}\ndata: e{}\n\n", id, id);
                    connection.write(chunked ? fmt::format("{:x}\r\n{}\r\n", event.size(), event) : event);
                    sleepFor(3ms);
                }
                if (crashes) {
                    ++crashes_;
                    rawTargets_[number]->close();
                } else if (chunked) {
                    connection.write("0\r\n\r\n");
                } else {
                    connection.close();
                }
            });
    }

    void startWithTargetsThatCrashAfter(int events)
    {
        for (int i = 0; i < 10; ++i)
            addTargetThatCrashesAfter(events);
        start();
        relayDuty_->run([this] {
            context_.crashes.setOutputs({[](const auto&) {}, [this](const auto&) { ++clearings_; }});
        });
    }

    // Sends the crashing request, from its beginning or as a caller that has read some events. Returns the status; 0 if
    // the answer is not complete.
    int sendCrashing(const std::string& path, std::optional<int> lastEvent = std::nullopt)
    {
        HttpRequest sent = request(path);
        sent.headers.set("X-Attempt-Id", fmt::format("id-{}", ++attempts_));
        sent.headers.set("X-Prompt-Prefix", "1:10,7:20,64:5");
        if (lastEvent)
            sent.headers.set("Last-Event-Id", std::to_string(*lastEvent));
        sent.body = "crash";
        const auto answer = client().send(sent);
        return answer.ok() ? answer->status : 0;
    }

    std::atomic<Framing> framing_{Framing::Chunks};
    std::atomic<int> clearings_{0};
    int attempts_ = 0;
};

// Guards against a request that crashes one target after another because its resumed streams are short enough to end
// whole at the next target, which clears it on all instances.
TEST_F(ResumedCrashTest, TheRemainderOfAResumedStreamDoesNotClearItsRequest)
{
    startWithTargetsThatCrashAfter(10);
    for (int i = 1; i <= 6; ++i)
        EXPECT_EQ(sendCrashing("/stream/x"), i <= 2 ? 200 : i == 3 ? 0 : 503) << i;
    EXPECT_EQ(crashes_, 3);
    EXPECT_EQ(clearings_, 0);
}

// Guards against the same where the caller resumes the stream itself.
TEST_F(ResumedCrashTest, TheRemainderThatACallerAsksForDoesNotClearItsRequest)
{
    startWithTargetsThatCrashAfter(10);
    for (int i = 1; i <= 6; ++i) {
        EXPECT_EQ(sendCrashing("/once/x"), i <= 3 ? 0 : 503) << i;
        EXPECT_EQ(sendCrashing("/once/x", 10), i <= 2 ? 200 : 503) << i;
    }
    EXPECT_EQ(crashes_, 3);
    EXPECT_EQ(clearings_, 0);
}

// Guards against a trial that shows nothing, and takes the place of one that would, because its caller resumes.
TEST_F(ResumedCrashTest, ARequestForARemainderIsNoTrial)
{
    startWithTargetsThatCrashAfter(10);
    for (int i = 1; i <= 4; ++i)
        EXPECT_EQ(sendCrashing("/once/x"), i <= 3 ? 0 : 503) << i;
    clock_->advance(21s);
    EXPECT_EQ(sendCrashing("/once/x", 10), 503);
    EXPECT_EQ(crashes_, 3);
    EXPECT_EQ(sendCrashing("/once/x"), 0);
    EXPECT_EQ(crashes_, 4);
    EXPECT_EQ(sendCrashing("/once/x"), 503);
}

// Guards against a crash between two events of a stream without length or chunks that is taken for its end and clears
// the request.
TEST_F(ResumedCrashTest, AStreamWithoutLengthThatEndsWithItsTargetDoesNotClearItsRequest)
{
    startWithTargetsThatCrashAfter(10);
    EXPECT_EQ(sendCrashing("/once/x"), 0);
    framing_ = Framing::None;
    for (int i = 2; i <= 6; ++i)
        EXPECT_EQ(sendCrashing("/once/x"), i <= 3 ? 0 : 503) << i;
    EXPECT_EQ(crashes_, 3);
    EXPECT_EQ(clearings_, 0);
}

// Guards against sound requests that are never cleared because their answers have neither a length nor chunks.
TEST_F(ResumedCrashTest, AStreamWithoutLengthWhoseTargetGoesOnClearsItsRequest)
{
    startWithTargetsThatCrashAfter(10);
    for (int i = 1; i <= 2; ++i)
        EXPECT_EQ(sendCrashing("/once/x"), 0) << i;
    EXPECT_EQ(crashes_, 2);
    for (int i = 0; i < 2; ++i)
        addTargetThatCrashesAfter(eventsInAll);
    relayDuty_->run([this] {
        for (int i = 0; i < 10; ++i)
            context_.registry.remove(TargetId(fmt::format("raw{}", i)));
    });
    framing_ = Framing::None;
    EXPECT_EQ(sendCrashing("/once/x"), 200);
    EXPECT_EQ(clearings_, 1);
}

// Guards against sound streams, and requests with the same prompt part, that are refused because they were resumed
// after several crashes in a row and their remainders do not clear them.
TEST_F(CrashingPromptTest, SoundStreamsThatAreResumedAfterSeveralCrashesAreNotRefused)
{
    constexpr int targetCount = 16;
    constexpr int soundCount = 24;
    std::atomic<int> resumed{0};
    for (std::size_t number = 0; number < targetCount; ++number) {
        addTarget(engineService, [this, number, &resumed](ScriptedTarget& target, HttpExchange& exchange) {
            if (!exchange.request().body.starts_with("crash")) {
                resumed += exchange.request().headers.find("Last-Event-Id").has_value();
                return events(20)(target, exchange);
            }
            exchange.beginStream(200, sealedHeaders(exchange.request())).IgnoreError();
            for (int id = 1; id <= 10; ++id) {
                exchange.write(fmt::format("id: {}\ndata: e{}\n\n", id, id)).IgnoreError();
                sleepFor(3ms);
            }
            ++crashes_;
            targets_[number]->server->close();
            exchange.abort();
        });
    }
    start();
    std::atomic<bool> stop{false};
    std::atomic<int> refused{0};
    std::atomic<int> whole{0};
    std::vector<std::jthread> callers;
    callers.reserve(soundCount);
    for (int i = 0; i < soundCount; ++i) {
        callers.emplace_back([&, i] {
            for (int attempt = 0; !stop; ++attempt) {
                HttpRequest sent = request("/stream/x");
                sent.headers.set("X-Attempt-Id", fmt::format("sound-{}-{}", i, attempt));
                sent.headers.set("X-Prompt-Prefix", fmt::format("5:50,{:x}:5", 100 + i));
                sent.body = fmt::format("sound {}", i);
                const auto answer = client().send(sent);
                refused += answer.ok() && answer->body.find("crashed") != std::string::npos;
                whole += answer.ok() && answer->body == expectedEvents(20);
            }
        });
    }
    for (const char* body : {"crash one", "crash two"}) {
        for (int i = 1; i <= 4; ++i) {
            std::this_thread::sleep_for(200ms);
            HttpRequest sent = request("/stream/x");
            sent.headers.set("X-Attempt-Id", fmt::format("{}-{}", body, i));
            sent.headers.set("X-Prompt-Prefix", "5:50,64:5");
            sent.body = body;
            static_cast<void>(client().send(sent));
        }
    }
    const int wholeBefore = whole;
    std::this_thread::sleep_for(300ms);
    EXPECT_GE(whole - wholeBefore, soundCount);
    stop = true;
    callers.clear();
    EXPECT_EQ(refused, 0);
    EXPECT_GE(resumed, 6);
    EXPECT_GE(crashes_, 6);
    EXPECT_LE(crashes_, 9);
}

} // namespace
} // namespace lychee::gateway

namespace lychee::test {
namespace {

using namespace std::chrono_literals;

int statusOfCrashing(GatewayDeployment& deployment, std::size_t instance, const std::string& attempt)
{
    HttpRequest request = GatewayDeployment::request("/stream/x", attempt);
    request.body = "poison";
    const auto answer = TestHttpClient(deployment.callersOf(instance), 10s).send(request);
    return answer.ok() ? answer->status : 0;
}

// Guards against a request that crashes targets through each instance anew, or through one that has just started.
TEST(CrashNotices, ARequestThatCrashedTargetsIsRefusedByAllInstances)
{
    GatewayDeploymentOptions options;
    options.retryWindow = 1s;
    GatewayDeployment deployment(LYCHEE_BUILD_DIR, options);
    // From then on the first request may be sent again, to the second engine.
    std::this_thread::sleep_for(options.retryWindow);
    const auto armEngines = [&] {
        for (const char* id : {"e0", "e1"})
            deployment.worker(id).postFault(
                {{"path", "/stream"}, {"kind", "crash_on_body"}, {"body", "poison"}, {"count", -1}});
    };
    armEngines();
    for (std::size_t instance = 0; instance < 2; ++instance) {
        EXPECT_TRUE(eventually([&] {
            return deployment.instance(instance).process->logText().find("instances=2") != std::string::npos;
        })) << instance;
    }
    EXPECT_EQ(statusOfCrashing(deployment, 0, "first"), 502);
    for (const char* id : {"e0", "e1"}) {
        EXPECT_TRUE(eventually([&] { return !deployment.worker(id).process().isRunning(); })) << id;
        deployment.worker(id).restart();
    }
    armEngines();
    EXPECT_TRUE(eventually([&] { return deployment.send(1, "/stream/x", "sound").status == 200; }));
    EXPECT_EQ(statusOfCrashing(deployment, 1, "second"), 503) << deployment.instance(0).process->logText();
    deployment.instance(1).process->kill();
    deployment.launchInstance(1);
    EXPECT_TRUE(eventually([&] { return deployment.send(1, "/stream/x", "sound-again").status == 200; }));
    std::this_thread::sleep_for(1s);
    EXPECT_EQ(statusOfCrashing(deployment, 1, "third"), 503);
    for (const char* id : {"e0", "e1"})
        EXPECT_TRUE(deployment.worker(id).process().isRunning()) << id;
}

} // namespace
} // namespace lychee::test
