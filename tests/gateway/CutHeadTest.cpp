// Answers of which the connection ends in the middle of the head.
#include "platform/StoreClient.h"
#include "tests/gateway/RelayFixture.h"

namespace lychee::gateway {
namespace {

// The head of a sound answer; its connection ends after each of its bytes but the last.
struct CutHead {
    std::string name;
    std::string head;
    // Bytes before the head, such as an interim answer.
    std::string before;
    // The connection is reset instead of closed.
    bool reset = false;
    // The connection has carried a whole answer before.
    bool reused = false;
};

constexpr const char* sealedHead = "HTTP/1.1 200 OK\r\nX-Attempt-Id: id-1\r\nX-Response-Seal: seal\r\n";

class CutHeadTest : public RelayFixture, public testing::WithParamInterface<CutHead> {
protected:
    // Adds a target that ends the connection after the first `cut_` bytes of the head.
    void addCuttingTarget(const ServiceId& service)
    {
        addRawTarget(service, [this](RawTargetConnection& connection, const HttpRequest&) {
            if (GetParam().reused && connection.requestCount() == 1 && !isWarm_) {
                isWarm_ = true;
                connection.write(std::string(sealedHead) + "Content-Length: 2\r\n\r\nok");
                return;
            }
            connection.write(GetParam().before + GetParam().head.substr(0, cut_));
            if (GetParam().reset) {
                // Lets the bytes arrive before the reset discards them.
                sleepFor(2ms);
                return connection.reset();
            }
            connection.close();
        });
    }

    std::atomic<std::size_t> cut_{0};
    bool isWarm_ = false;
};

// Guards against a part of a head that is delivered as a whole answer with an empty or short body.
TEST_P(CutHeadTest, IsNoAnswer)
{
    addCuttingTarget(plainService);
    addCuttingTarget(engineService);
    start();
    for (cut_ = 0; cut_ < GetParam().head.size(); ++cut_) {
        for (const char* path : {"/unsafe/x", "/once/x"}) {
            isWarm_ = false;
            if (GetParam().reused && std::string_view(path) == "/unsafe/x") {
                const auto whole = client().send(request(path));
                ASSERT_TRUE(whole.ok()) << whole.status();
                ASSERT_EQ(whole->status, 200) << cut_;
            }
            isWarm_ = true;
            const auto answer = client().send(request(path));
            ASSERT_TRUE(answer.ok()) << answer.status() << " " << path << " cut after " << cut_;
            EXPECT_EQ(answer->status, 502) << path << " cut after " << GetParam().head.substr(0, cut_);
        }
    }
}

// Guards against a part of an answer of the store that is taken for an empty table.
TEST_P(CutHeadTest, OfTheStoreIsAnError)
{
    addCuttingTarget(plainService);
    isWarm_ = true;
    for (cut_ = 0; cut_ < GetParam().head.size(); ++cut_) {
        relayDuty_->run([&] {
            platform::StoreClient store({"127.0.0.1", rawTargets_.back()->port()});
            EXPECT_FALSE(store.list("servers", currentTime() + 500ms).ok()) << cut_;
        });
    }
}

std::string headWith(std::string_view framing) { return fmt::format("{}{}\r\n", sealedHead, framing); }

INSTANTIATE_TEST_SUITE_P(Heads, CutHeadTest,
    testing::Values(CutHead{"WithLength", headWith("Content-Length: 8\r\n"), ""},
        CutHead{"WithEmptyBody", headWith("Content-Length: 0\r\n"), ""},
        CutHead{"Chunked", headWith("Transfer-Encoding: chunked\r\n"), ""}, CutHead{"WithoutLength", headWith(""), ""},
        CutHead{"Closing", headWith("Connection: close\r\n"), ""},
        CutHead{"WithoutFields", "HTTP/1.1 204 No Content\r\n\r\n", ""},
        CutHead{"AfterAnInterimAnswer", headWith(""), "HTTP/1.1 100 Continue\r\n\r\n"},
        CutHead{"WithAReset", headWith("Content-Length: 8\r\n"), "", true},
        CutHead{"OnAReusedConnection", headWith("Content-Length: 8\r\n"), "", false, true}),
    [](const auto& info) { return info.param.name; });

} // namespace
} // namespace lychee::gateway
