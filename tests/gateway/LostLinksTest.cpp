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
        targetDuty_->run([&] { reserved_.clear(); });
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
        announcePeer(tunnels_->port());
    }

    // Makes a peer known whose tunnel server listens on this port.
    void announcePeer(std::uint16_t port)
    {
        relayDuty_->run([&] {
            context_.dialer.peerUpdated(InstanceId("peer"), {{"127.0.0.1", port}, DataCentreId("b"), 1, 0, true});
        });
    }

    // Adds targets that only a peer reaches, which writes `body` as the answer of any of them, without a length. The
    // peer then ends the connection regularly and confirms the end with `confirmation`.
    void startPeerThatAnswers(const ServiceId& service, const std::string& body, const std::string& confirmation)
    {
        for (int i = 0; i < 2; ++i)
            registerTarget(service, fmt::format("lost{}", i), unusedPort());
        const auto script = [body, confirmation, head = undelimitedHead_](
                                RawTargetConnection& connection, const HttpRequest& request) {
            if (request.method == "CONNECT") {
                connection.write("HTTP/1.1 200 OK\r\nTunnel-Id: a-1\r\n\r\n");
                return;
            }
            connection.write(request.target.starts_with("/tunnels/") ? confirmation : head + body);
            connection.close();
        };
        const auto peer = std::make_shared<RawTarget>(*targetDuty_, script, RawTarget::Reads::Whole);
        rawTargets_.push_back(peer);
        targetDuty_->spawn([peer] { peer->acceptLoop(); });
        announcePeer(peer->port());
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

    // A port on which nothing listens. It is not given to anything else that takes a free port.
    std::uint16_t unusedPort()
    {
        std::uint16_t port = 0;
        // On the duty, whose fibers may be opening sockets meanwhile.
        targetDuty_->run([&] {
            boost::asio::ip::tcp::socket socket(targetDuty_->io(), boost::asio::ip::tcp::v4());
            // Another socket may listen on the port if it asks for it.
            socket.set_option(boost::asio::socket_base::reuse_address(true));
            socket.bind({boost::asio::ip::address_v4::loopback(), 0});
            port = socket.local_endpoint().port();
            reserved_.push_back(std::move(socket));
        });
        return port;
    }

    std::vector<boost::asio::ip::tcp::socket> reserved_;
    std::map<Endpoint, Endpoint> reached_;
    std::atomic<int> asked_{0};
    int sent_ = 0;
    std::unique_ptr<TunnelServer> tunnels_;
    const std::string undelimitedHead_
        = "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nX-Response-Seal: seal\r\nConnection: close\r\n\r\n";
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

// Guards against a stream and an answer that were cut by the end of the peer and reach the caller as complete.
TEST_F(LostLinksTest, AnAnswerThatEndsWithItsPeerIsCut)
{
    startPeerThatAnswers(engineService, expectedEvents(3), "HTTP/1.1 404 Not Found\r\n\r\n");
    start();
    const auto stream = client().open(request("/once/x"));
    ASSERT_TRUE(stream.ok()) << stream.status();
    EXPECT_FALSE((*stream)->readBody().ok());
    callers_.reset();
    startPeerThatAnswers(plainService, "a part", "HTTP/1.1 404 Not Found\r\n\r\n");
    start();
    EXPECT_EQ(client().send(request("/unsafe/x"))->status, 502);
}

// Guards against answers that were cut with the direct way to their target, and reach the caller as complete because a
// peer still reaches the target.
TEST_F(LostLinksTest, AnAnswerThatEndsWithTheDirectWayIsCut)
{
    const auto addLinks = [this](const ServiceId& service, const std::string& cut) {
        callers_.reset();
        relayDuty_->run([this] { context_.registry = {}; });
        addTarget(service, answerWhole);
        const Endpoint target = recordOf(targets_.size() - 1).endpoint;
        relayDuty_->run([this] { context_.registry = {}; });
        const std::size_t index = rawTargets_.size();
        addRawTarget(service, [this, cut, index](RawTargetConnection& connection, const HttpRequest&) {
            connection.write(undelimitedHead_ + cut);
            sleepFor(20ms);
            rawTargets_[index]->close();
        });
        reached_[{"127.0.0.1", rawTargets_.back()->port()}] = target;
        startPeer();
        start();
    };
    addLinks(engineService, expectedEvents(3));
    const auto stream = client().open(request("/once/x"));
    ASSERT_TRUE(stream.ok()) << stream.status();
    EXPECT_FALSE((*stream)->readBody().ok());
    addLinks(plainService, "a part");
    EXPECT_EQ(client().send(request("/unsafe/x"))->status, 502);
    EXPECT_GT(asked_.load(), 0);
}

// Guards against a whole answer without a length that is taken for a cut one because it came through a peer.
TEST_F(LostLinksTest, AWholeAnswerWithoutLengthThroughAPeerIsComplete)
{
    for (int i = 0; i < 2; ++i) {
        addRawTarget(engineService, [this](RawTargetConnection& connection, const HttpRequest&) {
            connection.write(undelimitedHead_ + expectedEvents(6));
            connection.close();
        });
        const Endpoint unreachable{"127.0.0.1", unusedPort()};
        reached_[unreachable] = {"127.0.0.1", rawTargets_.back()->port()};
        registerTarget(engineService, fmt::format("raw{}", i), unreachable.port);
    }
    startPeer();
    start();
    const auto stream = client().open(request("/once/x"));
    ASSERT_TRUE(stream.ok()) << stream.status();
    EXPECT_EQ((*stream)->readBody().value_or("cut"), expectedEvents(6));
    EXPECT_GT(asked_.load(), 0);
}

} // namespace
} // namespace lychee::gateway
