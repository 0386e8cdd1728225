// Authentication of callers, operators and peers, and the handling of malformed input.
#include "protocol/Digest.h"
#include "protocol/HeaderNames.h"
#include "protocol/PeerMessages.h"
#include "tests/support/Deployment.h"
#include "tests/support/RawConnection.h"
#include "transport/FrameConnection.h"

#include <gtest/gtest.h>

namespace lychee::test {
namespace {

using namespace std::chrono_literals;

constexpr std::chrono::milliseconds requestLimit = 10000ms;

// The deployment that all tests of this file share. No test may crash or block one of its processes.
Deployment& deployment()
{
    static const std::unique_ptr<Deployment> started = [] {
        DeploymentOptions options;
        options.dataCentres = 1;
        options.enginesPerDataCentre = 1;
        options.models = 1;
        options.adapters = 1;
        options.services = 1;
        options.platformFlags = {"--weight-bytes-per-second=100000000000"};
        options.settings = "";
        auto created = std::make_unique<Deployment>(LYCHEE_BUILD_DIR, options);
        created->configure();
        return created;
    }();
    return *started;
}

HttpResponse call(const Endpoint& endpoint, const HttpRequest& request)
{
    const auto answer = TestHttpClient(endpoint, requestLimit).send(request);
    if (!answer.ok())
        throw std::runtime_error(std::string(answer.status().message()));
    return *answer;
}

// Checks that a request was refused: status, JSON error with code and message, and a header saying that nothing ran.
void expectRefused(const HttpResponse& answer, int status, std::string_view code)
{
    EXPECT_EQ(answer.status, status) << answer.body;
    EXPECT_EQ(answer.headers.find(header::run).value_or(""), "no") << answer.body;
    const nlohmann::json body = nlohmann::json::parse(answer.body, nullptr, false);
    ASSERT_TRUE(body.is_object() && body.contains("error")) << answer.body;
    EXPECT_EQ(body["error"].value("code", ""), code);
    EXPECT_FALSE(body["error"].value("message", "").empty());
}

// Checks that every instance still runs, is ready, and answers service calls and completions.
void expectServing()
{
    for (std::size_t i = 0; i < deployment().instanceCount(); ++i) {
        Instance& instance = deployment().instance(i);
        ASSERT_TRUE(instance.process->isRunning()) << instance.process->logText();
        EXPECT_TRUE(deployment().isReady(instance));
        EXPECT_EQ(call(instance.callers, Deployment::stock("helmet")).status, 200);
        const HttpResponse chat = call(instance.callers, Deployment::chat("model-0", "hello", 3, false));
        EXPECT_EQ(completionText(chat.body), Deployment::expectedText("model-0", "hello", 3));
    }
}

HttpRequest withToken(HttpRequest request, std::string_view token)
{
    request.headers.set(header::authorization, fmt::format("Bearer {}", token));
    return request;
}

std::string frameHeader(std::size_t length)
{
    std::string header;
    for (int shift = 24; shift >= 0; shift -= 8)
        header += static_cast<char>((length >> shift) & 0xffU);
    return header;
}

std::string frame(const std::string& payload) { return frameHeader(payload.size()) + payload; }

std::string receiveFrame(RawConnection& connection)
{
    std::size_t length = 0;
    for (const char byte : connection.read(4))
        length = (length << 8U) | static_cast<unsigned char>(byte);
    return connection.read(std::min(length, maxFrameBytes));
}

// The hello of a peer that is no instance of the deployment. It names a data centre without targets, so that no target
// is ever assigned to this peer.
HelloMessage helloOfOutsider(const std::string& id)
{
    return {{InstanceId(id), DataCentreId("dc-far"), "127.0.0.1", 1, MemberState::Leaving, 0}, "nonce-" + id};
}

// Performs the peer handshake as initiator, with a proof computed from the given key.
void performHandshake(RawConnection& connection, const std::string& id, std::string_view key)
{
    const HelloMessage own = helloOfOutsider(id);
    connection.write(frame(encodePeerMessage(own)));
    const auto answer = decodePeerMessage(receiveFrame(connection));
    ASSERT_TRUE(answer.ok()) << answer.status();
    const auto* hello = std::get_if<HelloMessage>(&*answer);
    ASSERT_NE(hello, nullptr);
    const std::string proof = hmacSha256Hex(
        key, fmt::format("initiator\n{}\n{}\n{}\n{}", own.nonce, hello->nonce, own.self.id, hello->self.id));
    connection.write(frame(encodePeerMessage(ProofMessage{proof})));
    receiveFrame(connection);
}

// Checks that a connection was closed without any message that is sent only after an accepted proof. The close alone
// does not show this: an admitted member is sent such messages first, and its connection is closed later for its
// silence.
void expectNotAdmitted(const std::optional<std::string>& received, const std::string& what)
{
    ASSERT_TRUE(received.has_value()) << what << ": the instance did not close the connection";
    std::string_view rest = *received;
    constexpr std::size_t headerSize = 4;
    while (rest.size() >= headerSize) {
        std::size_t length = 0;
        for (const char byte : rest.substr(0, headerSize))
            length = (length << 8U) | static_cast<unsigned char>(byte);
        rest.remove_prefix(headerSize);
        const auto message = decodePeerMessage(rest.substr(0, length));
        ASSERT_TRUE(message.ok()) << what << ": " << message.status();
        EXPECT_TRUE(std::holds_alternative<HelloMessage>(*message) || std::holds_alternative<ProofMessage>(*message))
            << what << ": admitted, message type " << message->index();
        rest.remove_prefix(std::min(length, rest.size()));
    }
}

bool isMember(const Instance& instance, const std::string& id)
{
    const nlohmann::json status = deployment().status(instance);
    return std::any_of(status["instances"].begin(), status["instances"].end(),
        [&](const nlohmann::json& member) { return member["id"] == id; });
}

// Replaces the protocol version of an encoded message, which is the first item of the array.
std::string withProtocolVersion(std::string message, std::uint8_t version)
{
    message[1] = static_cast<char>(version);
    return message;
}

std::string messageOfUnknownType()
{
    // [1, 99, []]
    return {"\x93\x01\x63\x90", 4};
}

struct HostileInput {
    std::string name;
    std::string bytes;
    // Whether the sender closes its sending side afterwards, as needed after a truncated frame.
    bool finish = false;
};

std::vector<HostileInput> hostileFrames()
{
    const std::string heartbeat = encodePeerMessage(HeartbeatMessage{1});
    return {{"frame that is too long", frameHeader(maxFrameBytes + 1) + "x"}, {"huge length", "\xff\xff\xff\xff"},
        {"text of another protocol", "GET / HTTP/1.1\r\nHost: x\r\n\r\n"},
        {"truncated frame", frameHeader(100) + "half", true}, {"truncated length", std::string("\0\0", 2), true},
        {"empty frame", frame("")}, {"unknown type", frame(messageOfUnknownType())},
        {"other protocol version", frame(withProtocolVersion(heartbeat, 2))},
        {"truncated message", frame(heartbeat.substr(0, 2))}, {"not MessagePack", frame("\xc1\xc1\xc1")}};
}

// Guards against serving a request whose token is not valid for the port or the team.
TEST(Access, TokensOpenOnlyTheirOwnPortAndTeam)
{
    const Instance& instance = deployment().instance(0);
    const HttpRequest chat = Deployment::chat("model-0", "hello", 3, false);
    const HttpRequest order = Deployment::order("access-1", "two poles");
    HttpRequest without = chat;
    without.headers.remove(header::authorization);
    expectRefused(call(instance.callers, without), 401, "unauthorized");
    expectRefused(call(instance.callers, withToken(chat, "unknown-token")), 401, "unauthorized");
    expectRefused(call(instance.callers, withToken(chat, operatorToken)), 401, "unauthorized");
    expectRefused(call(instance.callers, withToken(order, operatorToken)), 401, "unauthorized");
    HttpRequest basic = chat;
    basic.headers.set(header::authorization, fmt::format("Basic {}", deskToken));
    expectRefused(call(instance.callers, basic), 401, "unauthorized");
    expectRefused(call(instance.callers, withToken(chat, std::string(4000, 'a'))), 401, "unauthorized");
    expectRefused(call(instance.callers, withToken(chat, ordersToken)), 404, "unknown_model");
    expectRefused(call(instance.callers, withToken(order, deskToken)), 404, "unknown_service");
    EXPECT_EQ(deployment().executions("access-1"), 0U);
    for (const char* path : {"/operator/v1/status", "/operator/v1/answers", "/operator/v1/config"}) {
        const HttpRequest request{"GET", path, {}, {}};
        expectRefused(call(instance.operators, request), 401, "unauthorized");
        expectRefused(call(instance.operators, withToken(request, deskToken)), 401, "unauthorized");
        EXPECT_EQ(call(instance.operators, withToken(request, operatorToken)).status, 200) << path;
    }
    expectRefused(call(instance.operators, {"POST", "/operator/v1/drain", {}, {}}), 401, "unauthorized");
    expectServing();
}

// Guards against a team reading the claims of another team.
TEST(Access, ATeamSeesOnlyItsOwnClaims)
{
    const Instance& instance = deployment().instance(0);
    EXPECT_EQ(call(instance.callers, Deployment::order("access-2", "two poles")).status, 200);
    const HttpRequest state{"GET", "/v1/requests/access-2", {}, {}};
    EXPECT_EQ(call(instance.callers, withToken(state, ordersToken)).status, 200);
    EXPECT_EQ(call(instance.callers, withToken(state, deskToken)).status, 404);
}

// Guards against admitting a peer that does not have the key, and against a crash or hang on malformed handshakes.
TEST(Access, PeersWithoutTheKeyAreClosed)
{
    const Instance& instance = deployment().instance(0);
    std::vector<HostileInput> inputs = hostileFrames();
    inputs.push_back({"message before the handshake", frame(encodePeerMessage(HeartbeatMessage{1}))});
    inputs.push_back({"end of stream after the hello", frame(encodePeerMessage(helloOfOutsider("stranger"))), true});
    inputs.push_back({"wrong proof",
        frame(encodePeerMessage(helloOfOutsider("stranger"))) + frame(encodePeerMessage(ProofMessage{"wrong"}))});
    inputs.push_back({"empty proof",
        frame(encodePeerMessage(helloOfOutsider("stranger"))) + frame(encodePeerMessage(ProofMessage{}))});
    for (const HostileInput& input : inputs) {
        RawConnection connection(instance.peers);
        connection.write(input.bytes);
        if (input.finish)
            connection.finishSending();
        expectNotAdmitted(connection.readUntilClosed(), input.name);
    }
    RawConnection wrongKey(instance.peers);
    performHandshake(wrongKey, "stranger", "another-key-of-peers");
    expectNotAdmitted(wrongKey.readUntilClosed(), "another key");
    EXPECT_FALSE(isMember(instance, "stranger"));
    expectServing();
}

// Guards against a reflection attack: a peer without the key sends the instance's own proof back to it.
TEST(Access, AReflectedProofIsRefused)
{
    const Instance& instance = deployment().instance(0);
    RawConnection connection(instance.peers);
    connection.write(frame(encodePeerMessage(helloOfOutsider("mirror"))));
    receiveFrame(connection);
    const std::string proof = receiveFrame(connection);
    connection.write(frame(proof));
    expectNotAdmitted(connection.readUntilClosed(), "reflected proof");
    EXPECT_FALSE(isMember(instance, "mirror"));
}

// Guards against a crash or hang on malformed frames from a peer that has the key.
TEST(Access, MalformedFramesOfAPeerCloseItsConnection)
{
    const Instance& instance = deployment().instance(0);
    int number = 0;
    for (const HostileInput& input : hostileFrames()) {
        RawConnection connection(instance.peers);
        const std::string id = fmt::format("member-{}", ++number);
        performHandshake(connection, id, peerKey);
        Deployment::await(id + " is a member", [&] { return isMember(instance, id); });
        connection.write(input.bytes);
        if (input.finish)
            connection.finishSending();
        EXPECT_TRUE(connection.readUntilClosed().has_value())
            << input.name << ": the instance did not close the connection";
    }
    expectServing();
}

// Guards against a crash, a hang or a success response on input that is not HTTP or exceeds the limits.
TEST(Access, MalformedHttpIsRefused)
{
    const Instance& instance = deployment().instance(0);
    const std::vector<HostileInput> inputs{{"not HTTP", "\x16\x03\x01\x02 hello\r\n\r\n"},
        {"bad version", "GET / HTTP/9.9\r\n\r\n"}, {"bad header", "GET / HTTP/1.1\r\nno colon\r\n\r\n"},
        {"bad length", "POST / HTTP/1.1\r\nContent-Length: many\r\n\r\n"},
        {"bad chunk", "POST / HTTP/1.1\r\nTransfer-Encoding: chunked\r\n\r\nzz\r\n"},
        {"long header", "GET / HTTP/1.1\r\nLong: " + std::string(20000, 'a') + "\r\n\r\n"},
        {"long body", "POST / HTTP/1.1\r\nContent-Length: 99999999999\r\n\r\n"}};
    for (const Endpoint& endpoint : {instance.callers, instance.operators}) {
        for (const HostileInput& input : inputs) {
            RawConnection connection(endpoint);
            connection.write(input.bytes);
            connection.finishSending();
            const std::optional<std::string> answer = connection.readUntilClosed();
            ASSERT_TRUE(answer.has_value()) << input.name << ": the instance did not close the connection";
            EXPECT_TRUE(answer->starts_with("HTTP/1.1 4")) << input.name << ": " << *answer;
            EXPECT_NE(answer->find("Lychee-Run: no"), std::string::npos) << input.name;
            EXPECT_NE(answer->find(R"({"error":)"), std::string::npos) << input.name;
        }
    }
    expectServing();
}

// Guards against running requests that are valid HTTP, but have invalid content or headers.
TEST(Access, InvalidRequestsAreRefused)
{
    const Instance& instance = deployment().instance(0);
    const auto chatWith = [](const std::string& body) {
        HttpRequest request = Deployment::chat("model-0", "hello", 3, false);
        request.body = body;
        return request;
    };
    const std::string deeplyNested = std::string(5000, '[') + std::string(5000, ']');
    for (const std::string& body : std::vector<std::string>{"", "{", "[]", "null", "\xff\xfe", deeplyNested,
             R"({"model":1,"messages":[]})", R"({"model":"model-0"})", R"({"model":"model-0","messages":[]})",
             R"({"model":"model-0","messages":[{"role":"user","content":)" + deeplyNested + "}]}",
             R"({"model":"model-0","stream":"yes","messages":[{"role":"user","content":"x"}]})"})
        expectRefused(call(instance.callers, chatWith(body)), 400, "invalid_request");
    expectRefused(call(instance.callers, Deployment::chat("no-model", "hello", 3, false)), 404, "unknown_model");
    expectRefused(
        call(instance.callers, Deployment::chat("model-0:no-adapter", "hello", 3, false)), 404, "unknown_model");
    expectRefused(call(instance.callers, withToken({"GET", "/nowhere", {}, {}}, deskToken)), 404, "unknown_path");
    for (const char* patience : {"0", "-5", "1e3", "soon", "", "99999999999999999999", "86400001"}) {
        HttpRequest chat = Deployment::chat("model-0", "hello", 3, false);
        chat.headers.set(header::patience, patience);
        expectRefused(call(instance.callers, chat), 400, "invalid_patience");
        HttpRequest order = Deployment::order("access-3", "two poles");
        order.headers.set(header::patience, patience);
        expectRefused(call(instance.callers, order), 400, "invalid_patience");
    }
    HttpRequest keyless = Deployment::order("access-3", "two poles");
    keyless.headers.remove(header::idempotencyKey);
    expectRefused(call(instance.callers, keyless), 400, "idempotency_key_required");
    expectRefused(
        call(instance.callers, Deployment::order(std::string(300, 'k'), "")), 400, "idempotency_key_required");
    expectRefused(call(instance.callers, Deployment::order("two words", "")), 400, "idempotency_key_required");
    HttpRequest undeclared = Deployment::order("access-3", "two poles");
    undeclared.target = "/v1/services/orders/undeclared";
    expectRefused(call(instance.callers, undeclared), 404, "undeclared_call");
    EXPECT_EQ(deployment().executions("access-3"), 0U);
    expectServing();
}

} // namespace
} // namespace lychee::test
