// Real processes before engines of two software versions: callers whose streams broke off take them up again.
#include "tests/support/GatewayDeployment.h"

#include <gtest/gtest.h>

#include <thread>

namespace lychee::test {
namespace {

using namespace std::chrono_literals;

class SoftwareVersionProcessTest : public testing::Test {
protected:
    struct BrokenStream {
        std::string attempt;
        std::string engine;
        std::string lastEvent;
    };

    static GatewayDeploymentOptions twoVersions()
    {
        GatewayDeploymentOptions options;
        options.softwareVersions["e1"] = "v2";
        options.eventPause = 50ms;
        return options;
    }

    // The engine that wrote an answer; empty for an answer of the instance.
    static std::string engineOf(const HttpHeaders& headers)
    {
        const std::string seal(headers.find("X-Response-Seal").value_or(""));
        return seal.substr(0, seal.find('.'));
    }

    // Begins a stream and leaves it after its first events.
    BrokenStream breakStream(std::size_t instance)
    {
        BrokenStream broken;
        broken.attempt = fmt::format("begun{}", ++attempts_);
        TestHttpClient client(deployment_.callersOf(instance), waitLimit);
        const auto stream = client.open(GatewayDeployment::request("/stream/x", broken.attempt));
        if (!stream.ok() || (*stream)->status() != 200)
            return broken;
        broken.engine = engineOf((*stream)->headers());
        for (int i = 0; i < 2; ++i) {
            const auto event = (*stream)->next();
            if (event.ok() && event->has_value())
                broken.lastEvent = (*event)->id;
        }
        return broken;
    }

    std::vector<BrokenStream> breakStreams(std::size_t instance)
    {
        constexpr int count = 12;
        std::vector<BrokenStream> broken;
        broken.reserve(count);
        for (int i = 0; i < count; ++i)
            broken.push_back(breakStream(instance));
        return broken;
    }

    HttpResponse takeUp(std::size_t instance, const BrokenStream& broken)
    {
        HttpRequest request = GatewayDeployment::request("/stream/x", fmt::format("resumed{}", ++attempts_));
        request.headers.set("Last-Event-Id", broken.lastEvent);
        request.headers.set("Resumes", broken.attempt);
        const auto answer = TestHttpClient(deployment_.callersOf(instance), waitLimit).send(request);
        return answer.ok() ? *answer : HttpResponse{0, {}, std::string(answer.status().message())};
    }

    static std::set<std::string> enginesOf(const std::vector<BrokenStream>& streams)
    {
        std::set<std::string> engines;
        for (const BrokenStream& stream : streams)
            engines.insert(stream.engine);
        return engines;
    }

    GatewayDeployment deployment_{LYCHEE_BUILD_DIR, twoVersions()};
    int attempts_ = 0;
};

// Guards against streams that are joined from what two software versions write, and against take-ups that are refused
// although the version is known.
TEST_F(SoftwareVersionProcessTest, AStreamIsTakenUpAtTheVersionThatBeganIt)
{
    const std::vector<BrokenStream> streams = breakStreams(0);
    ASSERT_EQ(enginesOf(streams), (std::set<std::string>{"e0", "e1"}));
    for (const BrokenStream& stream : streams) {
        const HttpResponse answer = takeUp(1, stream);
        EXPECT_EQ(answer.status, 200) << answer.body;
        EXPECT_EQ(engineOf(answer.headers), stream.engine);
    }
}

// Guards against joined streams when all instances were killed at once, and against a restart that makes all take-ups
// fail.
TEST_F(SoftwareVersionProcessTest, ARestartOfAllInstancesJoinsNoVersions)
{
    const std::vector<BrokenStream> streams = breakStreams(0);
    std::this_thread::sleep_for(200ms);
    for (std::size_t i = 0; i < deployment_.instanceCount(); ++i)
        deployment_.instance(i).process->kill();
    for (std::size_t i = 0; i < deployment_.instanceCount(); ++i)
        deployment_.launchInstance(i);
    ASSERT_TRUE(eventually([&] { return GatewayDeployment::statusOf(deployment_.instance(1).readiness, "/") == 200; }));
    int resumed = 0;
    for (const BrokenStream& stream : streams) {
        const HttpResponse answer = takeUp(1, stream);
        if (answer.status != 200)
            continue;
        ++resumed;
        EXPECT_EQ(engineOf(answer.headers), stream.engine);
    }
    EXPECT_EQ(resumed, static_cast<int>(streams.size()));
}

// Guards against a stream that goes on at a newer version when its own has left, and against a caller that waits for
// it.
TEST_F(SoftwareVersionProcessTest, AStreamWhoseVersionHasLeftIsRefusedAtOnce)
{
    const std::vector<BrokenStream> streams = breakStreams(0);
    deployment_.worker("e0").process().kill();
    deployment_.removeWorkerRow("e0");
    std::this_thread::sleep_for(1500ms);
    for (const BrokenStream& stream : streams) {
        const auto begin = std::chrono::steady_clock::now();
        const HttpResponse answer = takeUp(1, stream);
        EXPECT_EQ(answer.status, stream.engine == "e0" ? 503 : 200) << answer.body;
        const auto limit = stream.engine == "e0" ? 500ms : 5s;
        EXPECT_LT(std::chrono::steady_clock::now() - begin, limit);
    }
}

// Guards against a take-up that is sent anywhere because its request does not say which stream it resumes.
TEST_F(SoftwareVersionProcessTest, AnUnknownStreamIsNotResumedBesideTwoVersions)
{
    EXPECT_EQ(takeUp(0, {"never-begun", "", "3"}).status, 503);
    EXPECT_EQ(takeUp(0, {"", "", "3"}).status, 503);
}

} // namespace
} // namespace lychee::test
