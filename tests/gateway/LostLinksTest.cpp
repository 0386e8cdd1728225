// An instance that has lost its links to the targets while a peer reaches them.
#include "tests/gateway/RelayFixture.h"

namespace lychee::gateway {
namespace {

class LostLinksTest : public RelayFixture {
protected:
    ~LostLinksTest() override
    {
        callers_.reset();
        tunnels_.reset();
    }

    // Adds a target whose listed endpoint refuses connections of this instance; the peer reaches it.
    void addLostTarget(const ServiceId& service, const Script& script)
    {
        addTarget(service, script);
        const auto listed = recordOf(targets_.size() - 1).endpoint;
        const Endpoint unreachable{"127.0.0.1", unusedPort()};
        reached_[unreachable] = listed;
        registerTarget(service, fmt::format("t{}", targets_.size() - 1), unreachable.port);
    }

    void startPeer()
    {
        TunnelServerOptions options;
        options.connect = [this](const Endpoint& target, TimePoint deadline) {
            ++asked_;
            const auto found = reached_.find(target);
            const Endpoint& endpoint = found == reached_.end() ? target : found->second;
            return connectSocket(endpoint.address, endpoint.port, deadline);
        };
        tunnels_ = TunnelServer::listen(*targetDuty_, {"127.0.0.1", 0}, options).value();
        relayDuty_->run([&] {
            context_.dialer.peerUpdated(
                InstanceId("peer"), {{"127.0.0.1", tunnels_->port()}, DataCentreId("b"), 1, 0, true});
        });
    }

    bool isDetached()
    {
        bool detached = false;
        relayDuty_->run([&] { detached = context_.dialer.isDetached(); });
        return detached;
    }

    // A request with an id of its own, so that requests are spread over the targets.
    HttpRequest nextRequest(const std::string& path)
    {
        HttpRequest next = request(path);
        next.headers.set("X-Attempt-Id", fmt::format("id-{}", ++sent_));
        return next;
    }

    // A port on which nothing listens.
    std::uint16_t unusedPort()
    {
        const auto acceptor = openAcceptor(targetDuty_->io(), "127.0.0.1", 0).value();
        return acceptor.local_endpoint().port();
    }

    std::map<Endpoint, Endpoint> reached_;
    std::atomic<int> asked_{0};
    int sent_ = 0;
    std::unique_ptr<TunnelServer> tunnels_;
};

// Guards against callers who are refused because the instance that they reach has lost its links to the targets, and
// against requests that run twice on the way through a peer.
TEST_F(LostLinksTest, RequestsAreServedThroughAPeer)
{
    for (int i = 0; i < 3; ++i)
        addLostTarget(plainService, answerWhole);
    for (int i = 0; i < 2; ++i)
        addLostTarget(engineService, events(12));
    startPeer();
    start();
    for (int i = 0; i < 8; ++i) {
        for (const char* path : {"/unsafe/x", "/safe/x"}) {
            const auto answer = client().send(nextRequest(path));
            ASSERT_TRUE(answer.ok()) << answer.status();
            EXPECT_EQ(answer->status, 200) << path << answer->body;
            EXPECT_EQ(answer->body, "answer to the body");
        }
    }
    const auto stream = client().open(nextRequest("/stream/x"));
    ASSERT_TRUE(stream.ok()) << stream.status();
    EXPECT_EQ((*stream)->readBody().value_or(""), expectedEvents(12));
    EXPECT_EQ(receivedRequests(), 17u);
    EXPECT_TRUE(isDetached());
}

// Guards against an instance that goes on through peers after its links work again, and that keeps their connections.
TEST_F(LostLinksTest, GoesBackToDirectConnectionsOnceTheyWork)
{
    for (int i = 0; i < 2; ++i)
        addLostTarget(plainService, answerWhole);
    startPeer();
    start();
    for (int i = 0; i < 10; ++i)
        EXPECT_EQ(client().send(nextRequest("/safe/x"))->status, 200);
    ASSERT_TRUE(isDetached());
    std::vector<boost::asio::ip::tcp::acceptor> healed;
    targetDuty_->run([&] {
        for (const auto& [unreachable, real] : reached_)
            healed.push_back(openAcceptor(targetDuty_->io(), "127.0.0.1", unreachable.port).value());
    });
    const auto begin = std::chrono::steady_clock::now();
    while (isDetached() && std::chrono::steady_clock::now() - begin < 5s)
        std::this_thread::sleep_for(50ms);
    EXPECT_FALSE(isDetached());
    targetDuty_->run([&] { healed.clear(); });
}

// Guards against a peer that cannot stop because idle connections through it stay open.
TEST_F(LostLinksTest, IdleConnectionsThroughAPeerThatLeavesAreClosed)
{
    for (int i = 0; i < 2; ++i)
        addLostTarget(plainService, answerWhole);
    startPeer();
    start();
    for (int i = 0; i < 10; ++i)
        EXPECT_EQ(client().send(nextRequest("/safe/x"))->status, 200);
    EXPECT_GT(tunnels_->active(), 0u);
    relayDuty_->run([&] {
        context_.dialer.peerLost(InstanceId("peer"));
        context_.http.closeRetired();
    });
    const auto begin = std::chrono::steady_clock::now();
    while (tunnels_->active() > 0 && std::chrono::steady_clock::now() - begin < 2s)
        std::this_thread::sleep_for(10ms);
    EXPECT_EQ(tunnels_->active(), 0u);
}

// Guards against a target that has crashed and is taken for a lost link.
TEST_F(LostLinksTest, ATargetThatNoPeerReachesIsNotAskedForTimeAndAgain)
{
    addTarget(plainService, answerWhole);
    for (int i = 0; i < 3; ++i)
        registerTarget(plainService, fmt::format("dead{}", i), unusedPort());
    startPeer();
    start();
    for (int i = 0; i < 20; ++i)
        EXPECT_EQ(client().send(nextRequest("/unsafe/x"))->status, 200);
    EXPECT_FALSE(isDetached());
    EXPECT_LE(asked_.load(), 3);
}

// Guards against a target that goes on working for a caller that has left, because the tunnel stays open.
TEST_F(LostLinksTest, ACallerThatLeavesEndsTheRequestAtTheTarget)
{
    addLostTarget(plainService, [](ScriptedTarget& target, HttpExchange& exchange) {
        for (int i = 0; i < 100 && !exchange.isPeerGone(); ++i)
            sleepFor(20ms);
        target.cancelled += exchange.isPeerGone() ? 1 : 0;
    });
    startPeer();
    start();
    EXPECT_FALSE(test::TestHttpClient({"127.0.0.1", callers_->port()}, 300ms).send(request("/unsafe/x")).ok());
    const auto begin = std::chrono::steady_clock::now();
    while (targets_[0]->cancelled == 0 && std::chrono::steady_clock::now() - begin < 1s)
        std::this_thread::sleep_for(10ms);
    EXPECT_EQ(targets_[0]->cancelled, 1);
}

} // namespace
} // namespace lychee::gateway
