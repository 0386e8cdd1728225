// Answers of the store with unusual rows.
#include "platform/StoreClient.h"
#include "coordination/CoordinationError.h"
#include "tests/gateway/RelayFixture.h"

#include <absl/strings/escaping.h>

namespace lychee::gateway {
namespace {

class StoreClientTest : public RelayFixture {
protected:
    // Lists a table of a store that gives these bodies one after another.
    absl::StatusOr<RowPage> list(std::vector<std::string> bodies, Duration limit = 500ms)
    {
        const auto answered = std::make_shared<std::size_t>(0);
        addRawTarget(
            plainService, [this, bodies, answered](RawTargetConnection& connection, const HttpRequest& request) {
                targetsOfRequests_.push_back(request.target);
                connection.write(rawAnswer("200 OK\r\n", bodies[std::min((*answered)++, bodies.size() - 1)]));
            });
        absl::StatusOr<RowPage> page;
        relayDuty_->run([&] {
            platform::StoreClient store({"127.0.0.1", rawTargets_.back()->port()});
            page = store.list("servers", currentTime() + limit);
        });
        return page;
    }

    std::vector<std::string> targetsOfRequests_;
};

// Guards against a table that cannot be read any more because the last key of a page has a character that is not
// allowed in a URL.
TEST_F(StoreClientTest, ContinuesAfterAKeyWithAnyCharacters)
{
    const auto page = list({R"({"rows":[{"key":"a b&c=%","rowVersion":3,"value":""}],"hasMore":true,"rowVersion":5})",
        R"({"rows":[{"key":"b","rowVersion":4,"value":""}],"hasMore":false,"rowVersion":5})"});
    ASSERT_TRUE(page.ok()) << page.status();
    EXPECT_EQ(page->rows.size(), 2u);
    ASSERT_EQ(targetsOfRequests_.size(), 2u);
    EXPECT_TRUE(targetsOfRequests_[1].ends_with("&from=a%20b%26c%3D%25%00")) << targetsOfRequests_[1];
}

// Guards against a process that ends because a field of an answer has another type.
TEST_F(StoreClientTest, FieldsOfAnotherTypeAreAnError)
{
    for (const char* version : {R"("5")", "-1", "1.5", "null", "[]", "1180591620717411303424"})
        EXPECT_FALSE(list({fmt::format(R"({{"rows":[],"hasMore":false,"rowVersion":{}}})", version)}).ok()) << version;
    EXPECT_FALSE(list({R"({"rows":[],"hasMore":"no","rowVersion":5})"}).ok());
}

// Guards against a store whose pages never end.
TEST_F(StoreClientTest, ATableWithoutEndIsAnError)
{
    const std::string value(absl::Base64Escape(std::string(3000000, 'x')));
    const auto page = list(
        {fmt::format(R"({{"rows":[{{"key":"a","rowVersion":3,"value":"{}"}}],"hasMore":true,"rowVersion":5}})", value)},
        5s);
    EXPECT_FALSE(page.ok());
    EXPECT_LE(targetsOfRequests_.size(), 12u);
}

// Guards against a table that can never be read on a slow link, because its transfer takes longer than the store may
// take to answer; and against a body that stops on the way and is awaited without end.
TEST_F(StoreClientTest, ABodyMayTakeLongerThanTheAnswerWhileItArrives)
{
    const std::string body = R"({"rows":[{"key":"a","rowVersion":3,"value":""}],"hasMore":false,"rowVersion":5})";
    const std::string answer = rawAnswer("200 OK\r\n", body);
    const auto stopsAt = std::make_shared<std::atomic<std::size_t>>(answer.size());
    addRawTarget(plainService, [=](RawTargetConnection& connection, const HttpRequest&) {
        const std::size_t head = answer.size() - body.size();
        connection.write(answer.substr(0, head));
        for (std::size_t i = head; i < *stopsAt; i += 10) {
            sleepFor(100ms);
            connection.write(std::string_view(answer).substr(i, 10));
        }
    });
    const auto read = [&] {
        absl::StatusOr<RowPage> page;
        relayDuty_->run([&] {
            platform::StoreClient store({"127.0.0.1", rawTargets_.back()->port()});
            page = store.list("servers", currentTime() + 300ms);
        });
        return page;
    };
    const auto page = read();
    ASSERT_TRUE(page.ok()) << page.status();
    EXPECT_EQ(page->rows.size(), 1u);
    *stopsAt = answer.size() - 10;
    const auto begin = std::chrono::steady_clock::now();
    EXPECT_FALSE(read().ok());
    EXPECT_LT(std::chrono::steady_clock::now() - begin, 4s);
}

// Guards against rows that hide the others of their page.
TEST_F(StoreClientTest, RowsThatCannotBeReadDoNotHideOthers)
{
    const auto page
        = list({R"({"rows":[7,null,{},{"key":5,"rowVersion":1},{"key":"x","rowVersion":-1},)"
                R"({"key":"n","rowVersion":2,"value":"%%% no base64"},{"key":"t","rowVersion":3,"value":[]},)"
                R"({"key":"good","rowVersion":4,"value":"e30="}],"hasMore":false,"rowVersion":5})"});
    ASSERT_TRUE(page.ok()) << page.status();
    ASSERT_EQ(page->rows.size(), 3u);
    EXPECT_TRUE(page->rows[0].value.empty());
    EXPECT_TRUE(page->rows[1].value.empty());
    EXPECT_EQ(page->rows[2].value, "{}");
}

// Guards against changes that are missed because the store has restored a copy and counts its versions anew: its answer
// to a read of changes looks like any other.
TEST_F(StoreClientTest, ChangesSinceAnEarlierEraAreStale)
{
    addRawTarget(plainService, [](RawTargetConnection& connection, const HttpRequest&) {
        connection.write(rawAnswer("200 OK\r\nStore-Era: 3\r\n", R"({"rows":[],"hasMore":false,"rowVersion":9})"));
    });
    relayDuty_->run([&] {
        platform::StoreClient store({"127.0.0.1", rawTargets_.back()->port()});
        const auto changes = [&](std::uint64_t era) {
            return store.changes("servers", rowVersionIn(StoreEra(era), 8), 100ms, currentTime() + 1s, nullptr);
        };
        EXPECT_EQ(errorOf<CoordinationError>(changes(2).status()), CoordinationError::VersionStale);
        ASSERT_TRUE(changes(3).ok());
        EXPECT_EQ(changes(3)->version, rowVersionIn(StoreEra(3), 9));
        const auto write = [&](RowVersion expected) {
            return store.write("placement", "owner", expected, "x", currentTime() + 1s).outcome;
        };
        EXPECT_EQ(write(rowVersionIn(StoreEra(3), 8)), RowWrite::Outcome::Written);
        EXPECT_EQ(write(rowVersionIn(StoreEra(2), 8)), RowWrite::Outcome::Unknown)
            << "the condition was met by a version that was given out twice";
    });
}

} // namespace
} // namespace lychee::gateway
