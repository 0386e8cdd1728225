// Requests of customers that have a limit.
#include "gateway/MeshMessages.h"
#include "tests/gateway/RelayFixture.h"

namespace lychee::gateway {
namespace {

class CustomerLimitTest : public RelayFixture {
protected:
    // Puts a limit into force that admits one request and another one after less than a second.
    void startWithLimit()
    {
        start();
        fleet::Customer customer;
        customer.id = fleet::CustomerId("north");
        customer.keys = {"key-1"};
        customer.limit = fleet::CustomerLimit{200, 200, fleet::LimitUnit::Tokens, 1};
        const auto current = context_.routes->read();
        const auto table = fleet::RouteTable::create(ConfigurationVersion(2), current->routes(), current->services(),
            current->limits(), fleet::CustomerDirectory({customer}));
        relayDuty_->run([&] {
            context_.limits.listedUpdated(1);
            context_.limits.configurationChanged(*table);
        });
        context_.routes->publish(table);
        std::this_thread::sleep_for(1200ms);
    }

    HttpResponse ask(const std::string& path)
    {
        HttpRequest sent = request(path);
        sent.headers.add("X-Credential", "key-1");
        sent.headers.set("X-Attempt-Id", fmt::format("id-{}", ++asked_));
        return client().send(sent).value();
    }

    double admittedCost()
    {
        std::vector<fleet::CustomerUse> uses;
        relayDuty_->run([&] { uses = context_.limits.report(); });
        return uses.empty() ? 0 : uses.front().admitted;
    }

    // Whether all costs are given back. The caller may have its answer just before.
    bool costsAreGivenBack()
    {
        for (int polls = 0; polls < 100 && admittedCost() > 0; ++polls)
            std::this_thread::sleep_for(10ms);
        return admittedCost() == 0;
    }

private:
    int asked_ = 0;
};

// Guards against a limit without effect, and against refusals that do not say when there is room again.
TEST_F(CustomerLimitTest, ARequestBeyondTheLimitIsToldWhenThereIsRoom)
{
    addTarget(plainService, answerWhole);
    startWithLimit();
    EXPECT_EQ(ask("/safe/1").status, 200);
    EXPECT_EQ(admittedCost(), 140);
    const HttpResponse refused = ask("/safe/2");
    EXPECT_EQ(refused.status, 429);
    const double seconds = std::stod(std::string(refused.headers.find("Retry-After").value_or("0")));
    EXPECT_GT(seconds, 0);
    EXPECT_EQ(receivedRequests(), 1u);
    EXPECT_EQ(admittedCost(), 140);
    std::this_thread::sleep_for(std::chrono::duration<double>(seconds));
    EXPECT_EQ(ask("/safe/3").status, 200);
}

// Guards against customers that pay for requests that never reached a target, or that a target declined.
TEST_F(CustomerLimitTest, ARequestThatDidNotRunCostsNothing)
{
    startWithLimit();
    EXPECT_EQ(ask("/safe/1").status, 503);
    EXPECT_TRUE(costsAreGivenBack());
    addTarget(plainService, [](ScriptedTarget&, HttpExchange& exchange) {
        HttpHeaders headers = sealedHeaders(exchange.request());
        headers.add("X-Not-Executed", "1");
        exchange.respond({503, headers, ""}).IgnoreError();
    });
    EXPECT_EQ(ask("/safe/2").status, 503);
    EXPECT_GT(receivedRequests(), 0u);
    EXPECT_TRUE(costsAreGivenBack());
}

// Guards against costs that are given back although a target may have run the request.
TEST_F(CustomerLimitTest, ARequestThatMayHaveRunKeepsItsCost)
{
    addTarget(plainService, [](ScriptedTarget&, HttpExchange& exchange) { exchange.abort(); });
    startWithLimit();
    EXPECT_EQ(ask("/unsafe/1").status, 502);
    // The cost would be given back shortly after the answer.
    std::this_thread::sleep_for(200ms);
    EXPECT_EQ(admittedCost(), 140);
}

// Guards against use that is lost between the instances.
TEST(MeshStatusMessage, CarriesTheUseOfCustomers)
{
    const std::vector<fleet::CustomerUse> uses{{fleet::CustomerId("north"), 123456789.0, 250.5}};
    MeshStatus status;
    status.customerUse = toMessage(uses);
    const auto decoded = decodeMeshMessage(encodeMeshMessage(status));
    ASSERT_TRUE(decoded.ok());
    EXPECT_EQ(fromMessage(std::get<MeshStatus>(*decoded).customerUse), uses);
}

} // namespace
} // namespace lychee::gateway
