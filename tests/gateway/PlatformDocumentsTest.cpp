#include "gateway/GatewaySettings.h"
#include "platform/Documents.h"
#include "platform/Headers.h"

#include <gtest/gtest.h>

#include <random>

namespace lychee::platform {
namespace {

using namespace std::chrono_literals;

const std::string configuration
    = R"({"version":7,"routes":[{"name":"r1","host":"a.example","prefix":"/x/","kind":"streaming","timeoutMs":6000,)"
      R"("targetLatencyMs":1000,"priority":2,"split":[{"service":"s1","weight":90},{"service":"s2","weight":10}],)"
      R"("attempts":2,"sticky":true,"resumable":true,"gapTargetMs":600},{"name":"r2","host":"a.example","prefix":"/y/",)"
      R"("kind":"non_idempotent","timeoutMs":800,"service":"s2","attempts":1}],"services":[{"name":"s1","engine":{)"
      R"("slots":64,"kvCapacity":232000,"models":[{"name":"m","weightsMb":65100.5,"loadS":5.0,"adapters":37,)"
      R"("adapterMb":12.0,"warmS":0.38,"diskLoadS":1.0}],"weightsMb":200000.0,"adapterSlots":5,"loadsPerS":2.1}},)"
      R"({"name":"s2","healthPath":"/health","maxConnections":96}],"limits":{"headerBytes":16384,)"
      R"("maxBodyBytes":4194304,"headerTimeoutMs":3000,"idleTimeoutMs":15000}})";

// Guards against fields of a configuration that are lost or confused with others.
TEST(PlatformDocuments, ReadsAConfiguration)
{
    const auto table = decodeConfiguration(configuration);
    ASSERT_TRUE(table.ok()) << table.status();
    EXPECT_EQ((*table)->version(), ConfigurationVersion(7));
    const fleet::Route* route = (*table)->match("a.example", "/x/1");
    ASSERT_NE(route, nullptr);
    EXPECT_TRUE(route->isRepeatable());
    EXPECT_EQ(route->attempts, 2);
    EXPECT_EQ(route->eventGapObjective, Duration(600ms));
    EXPECT_EQ(route->services.size(), 2u);
    EXPECT_FALSE((*table)->match("a.example", "/y/")->isRepeatable());
    const fleet::Service* service = (*table)->service(ServiceId("s1"));
    ASSERT_TRUE(service && service->engine);
    const fleet::Model* model = service->engine->find(ModelId("m"));
    ASSERT_NE(model, nullptr);
    EXPECT_EQ(model->memoryLoad, Duration(380ms));
    EXPECT_EQ(model->storeLoad, Duration(5s));
    EXPECT_EQ(service->engine->adapterSlots, 5);
    EXPECT_FALSE((*table)->service(ServiceId("s2"))->engine.has_value());
    EXPECT_EQ((*table)->limits().idleTimeout, Duration(15s));
}

// Guards against requests of an unknown kind that are sent twice.
TEST(PlatformDocuments, RequestsOfUnknownKindAreNotRepeatable)
{
    std::string text = configuration;
    text.replace(text.find("streaming"), 9, "something");
    const auto table = decodeConfiguration(text);
    ASSERT_TRUE(table.ok());
    EXPECT_FALSE((*table)->match("a.example", "/x/1")->isRepeatable());
}

// Guards against a row by another writer that crashes the process or is accepted as a target.
TEST(PlatformDocuments, RejectsRowsThatDescribeNoTarget)
{
    const std::string good
        = R"({"service":"s","address":"10.1.0.9:8080","zone":"a","slots":64,"state":"ready",)"
          R"("born":1786215518120,"sequence":4,"models":[{"name":"m","version":1,"adapters":["a1"]}],)"
          R"("available":{"inMemory":["m"],"onDisk":["n"]}})";
    const auto record = decodeTarget("i-1", good);
    ASSERT_TRUE(record.ok()) << record.status();
    EXPECT_EQ(record->incarnation, fleet::TargetIncarnation(1786215518120));
    EXPECT_TRUE(record->holdings.find(ModelId("m"))->adapters.contains(AdapterId("a1")));
    EXPECT_TRUE(record->weightsOnDisk.contains(ModelId("n")));
    for (const std::string bad : {"", "no json", "[]", "{}", R"({"service":7})",
             R"({"service":"s","address":"nowhere","zone":"a","slots":64,"state":"ready"})",
             R"({"service":"s","address":"10.1.0.9:0","zone":"a","slots":64,"state":"ready"})",
             R"({"service":"s","address":"10.1.0.9:80","zone":"a","slots":"many","state":"ready"})",
             R"({"service":"s","address":"10.1.0.9:80","zone":"a","slots":64,"state":"sleeping"})",
             R"({"service":"s","address":"10.1.0.9:80","zone":"a","slots":64,"state":"ready","models":3})"})
        EXPECT_FALSE(decodeTarget("i-1", bad).ok()) << bad;
    std::mt19937 random(7);
    for (int i = 0; i < 3000; ++i) {
        std::string mutated = i % 2 == 0 ? good : configuration;
        for (std::uint32_t edits = random() % 4 + 1; edits > 0; --edits)
            mutated[random() % mutated.size()] = static_cast<char>(random() % 256);
        static_cast<void>(decodeTarget("i-1", mutated).ok());
        static_cast<void>(decodeConfiguration(mutated).ok());
        static_cast<void>(decodeReport(mutated).ok());
    }
}

// Guards against a row by another writer that ends the process, or that is used although one of its values cannot be
// that of a target.
TEST(PlatformDocuments, RejectsRowsWithValuesOutOfRange)
{
    const auto decodeWith = [](const std::string& address, const std::string& slots, const std::string& more) {
        return decodeTarget("i-1",
            fmt::format(
                R"({{"service":"s","address":{},"zone":"a","slots":{},"state":"ready"{}}})", address, slots, more));
    };
    const std::string sound = R"("10.1.0.9:80")";
    ASSERT_TRUE(decodeWith(sound, "64", R"(,"born":1786215518120,"sequence":4)").ok());
    for (const char* address : {R"("10.1.0.9:0")", R"("10.1.0.9:65536")", R"("10.1.0.9:-1")", R"("10.1.0.9:1e3")",
             R"("10.1.0.9:99999999999999999999")", R"("10.1.0.9")", R"("10.1.0:80")", R"("host.example:80")",
             R"(":80")", R"("10.1.0.9:80\r\nX: 1")", R"("")", "7", "null", "{}"})
        EXPECT_FALSE(decodeWith(address, "64", "").ok()) << address;
    for (const char* slots :
        {"0", "-1", "1e400", "-1e400", "1180591620717411303424", "1000000000", "1.5", "\"64\"", "null", "[64]"})
        EXPECT_FALSE(decodeWith(sound, slots, "").ok()) << slots;
    for (const char* field : {"born", "sequence"}) {
        for (const char* value : {"-1", "1e400", "1180591620717411303424", "1.5", "\"7\"", "{}"})
            EXPECT_FALSE(decodeWith(sound, "64", fmt::format(R"(,"{}":{})", field, value)).ok()) << field << value;
    }
    for (const std::string open : {"[", "{\"a\":"}) {
        std::string nested;
        for (int level = 0; level < 100000; ++level)
            nested += open;
        EXPECT_FALSE(decodeTarget("i-1", nested).ok());
        EXPECT_FALSE(decodeWith(sound, "64", R"(,"models":)" + nested).ok());
    }
    EXPECT_FALSE(decodeWith("\"10.1.0.9:80\xff\"", "64", "").ok());
    EXPECT_FALSE(decodeWith(sound, "64", ",\"note\":\"\xc3\x28\"").ok());
    const std::string good = R"({"service":"s","address":"10.1.0.9:80","zone":"a","slots":64,"state":"ready"})";
    // The key becomes a header of each request to the target.
    for (const char* key : {"", "i 1", "i-1\r\nX-Hold: h", "i-\xc3\xa9"})
        EXPECT_FALSE(decodeTarget(key, good).ok()) << key;
}

HttpRequest callerRequest()
{
    HttpRequest request;
    request.method = "POST";
    request.target = "/x/1?q=2";
    request.headers
        = {{"Host", "a.example"}, {"X-Attempt-Id", "id-1"}, {"X-Model", "m/a3"}, {"X-Token-Count", "1460,80"},
            {"X-Prompt-Prefix", "5c1e07a2:800,91bd3f06:410"}, {"X-Deadline-Ms", "6000"}, {"Last-Event-Id", "12"},
            {"X-Hold", "stolen"}, {"X-Pin-Ms", "4000"}, {"Kv-From", "10.0.0.1:1/h"}, {"X-Target-Instance", "other"},
            {"Connection", "keep-alive, X-Hop"}, {"X-Hop", "1"}, {"X-Other", "a"}, {"X-Other", "b"}};
    request.body = "body";
    return request;
}

// Guards against forwarded headers by which a caller could control a target, and against forwarded hop-by-hop headers.
TEST(PlatformHeaders, ForwardsOnlyHeadersOfTheCaller)
{
    const fleet::CallerRequest caller = CallerDialect::readRequest(callerRequest());
    EXPECT_EQ(caller.attempt, RequestId("id-1"));
    EXPECT_EQ(caller.patience, Duration(6s));
    EXPECT_EQ(caller.resumeAfter, 12u);
    ASSERT_TRUE(caller.generation.has_value());
    EXPECT_EQ(caller.generation->adapter, AdapterId("a3"));
    EXPECT_EQ(caller.generation->parts.size(), 2u);
    EXPECT_EQ(caller.generation->maxOutputTokens, TokenCount(80));
    const HttpRequest sent
        = CallerDialect::targetRequest(callerRequest(), {TargetId("i-1"), 1500ms, fleet::Urgency(2), {}});
    EXPECT_EQ(sent.headers.find("X-Target-Instance"), "i-1");
    EXPECT_EQ(sent.headers.find("X-Deadline-Ms"), "1500");
    EXPECT_EQ(sent.headers.find("Last-Event-Id"), "12");
    EXPECT_EQ(sent.headers.find("Host"), "a.example");
    for (const char* name : {"X-Hold", "X-Pin-Ms", "Kv-From", "Connection", "X-Hop"})
        EXPECT_FALSE(sent.headers.find(name).has_value()) << name;
    const auto others = std::count_if(sent.headers.fields().begin(), sent.headers.fields().end(),
        [](const HttpHeaders::Field& field) { return field.name == "X-Other"; });
    EXPECT_EQ(others, 2);
    EXPECT_EQ(sent.target, "/x/1?q=2");
    EXPECT_EQ(sent.body, "body");
}

// Guards against an answer without a seal that is taken for that of a target, and against a refusal that is not
// recognized.
TEST(PlatformHeaders, RecognizesSealsAndRefusals)
{
    EXPECT_TRUE(CallerDialect::readAnswer(200, {{"X-Response-Seal", "s"}}).genuine);
    EXPECT_FALSE(CallerDialect::readAnswer(200, {}).genuine);
    EXPECT_FALSE(CallerDialect::readAnswer(200, {{"X-Response-Seal", "s"}, {"Content-Encoding", "gzip"}}).genuine);
    EXPECT_TRUE(CallerDialect::readAnswer(503, {{"X-Not-Executed", "1"}}).notRun);
    EXPECT_FALSE(CallerDialect::readAnswer(503, {}).notRun);
    EXPECT_TRUE(CallerDialect::readAnswer(421, {}).notRun);
    for (const ConnectionUse use : {ConnectionUse::First, ConnectionUse::Reused}) {
        EXPECT_TRUE(CallerDialect::belongs({{"X-Attempt-Id", "id-1"}}, RequestId("id-1"), use));
        EXPECT_FALSE(CallerDialect::belongs({{"X-Attempt-Id", "id-0"}}, RequestId("id-1"), use));
    }
    EXPECT_TRUE(CallerDialect::belongs({}, RequestId("id-1"), ConnectionUse::First));
    EXPECT_FALSE(CallerDialect::belongs({}, RequestId("id-1"), ConnectionUse::Reused));
}

// Guards against an instance that does not start with the settings that the platform's template renders.
TEST(GatewaySettings, ReadsWhatTheTemplateRenders)
{
    const std::string text = "[instance]\nid = front-bahir-a-1\ndata_centre = bahir-a\nregion = "
                             "amhara\n[process]\nmemory_mb = 260\nprocessor_share = 0.12\n"
                             "[callers]\nendpoint = 10.1.0.38:8149\n[readiness]\nendpoint = 10.1.0.38:8141\n"
                             "[peers]\naddress = 10.1.0.38\nport = 7380\n[metrics]\nport = 7395\n"
                             "[platform]\nendpoint = 10.200.1.7:8142\n"
                             "[retries]\npart = 0.2\nslack = 52\nwindow_s = 10\n"
                             "[limits]\nwindow_s = 8\novershoot = 0.1\nslack =\n"
                             "[placement]\nlease_ms = 3000\n[stop]\ngrace_s = 8\n";
    const auto loaded = gateway::GatewaySettings::parse(text, "settings");
    ASSERT_TRUE(loaded.ok()) << loaded.errors.front();
    EXPECT_EQ(loaded.settings->callers.endpoint().port, 8149);
    EXPECT_EQ(loaded.settings->retries.slack(), 52);
    EXPECT_EQ(loaded.settings->process.processorShare(), 0.12);
    EXPECT_EQ(loaded.settings->placement.lease(), 3s);
    EXPECT_FALSE(loaded.settings->revocation.strict());
    const auto strict = gateway::GatewaySettings::parse(text + "\n[revocation]\nstrict = true\nlimit_ms = \n", "");
    ASSERT_TRUE(strict.ok()) << strict.errors.front();
    EXPECT_TRUE(strict.settings->revocation.strict());
    EXPECT_EQ(strict.settings->revocation.limit(), 5s) << "a value that the deployment does not have";
    EXPECT_EQ(loaded.settings->limits.overshoot(), 0.1);
    EXPECT_EQ(loaded.settings->limits.slack(), std::nullopt);
}

// Guards against a start with invalid settings, and against error messages that name only the first of several errors.
TEST(GatewaySettings, ReportsAllErrorsAtOnce)
{
    const auto loaded = gateway::GatewaySettings::parse("[instance]\nid = a\ncolour = red\n[callers]\nendpoint = here\n"
                                                        "[retries]\npart = 7\n[nonsense]\nx = 1\n",
        "settings");
    ASSERT_FALSE(loaded.ok());
    EXPECT_GE(loaded.errors.size(), 6u);
    const std::string all = fmt::format("{}", fmt::join(loaded.errors, "\n"));
    for (const char* part : {"colour", "endpoint", "part", "nonsense", "data_centre"})
        EXPECT_NE(all.find(part), std::string::npos) << part << "\n" << all;
}

// Guards against a load that is rejected because of its fourth number, and against a pace that is no pace.
TEST(PlatformDocuments, ReadsTheLoadAndPaceOfATarget)
{
    const auto paceIn = [](std::string_view text) {
        const auto answer = CallerDialect::readAnswer(200, {{"X-Server-Load", std::string(text)}});
        EXPECT_TRUE(answer.load && answer.load->running == 3 && answer.load->waiting == 1) << text;
        return answer.load ? answer.load->pace : std::nullopt;
    };
    EXPECT_EQ(paceIn("3,1,6,250"), 2.5);
    EXPECT_EQ(paceIn("3,1,6,100"), 1);
    EXPECT_EQ(paceIn("3,1,6,10,9"), 0.1);
    EXPECT_EQ(paceIn("3,1,6,10000"), 100);
    for (const std::string_view text : {"3,1", "3,1,6", "3,1,6,", "3,1,6,x", "3,1,6,9.9", "3,1,6,10001", "3,1,6,0",
             "3,1,6,-250", "3,1,6,nan", "3,1,6,inf", "3,1,6,250x", "3,1,6,,250"})
        EXPECT_FALSE(paceIn(text)) << text;
}

// Guards against requests of plain services that count other tokens than they declare.
TEST(CallerDialect, ReadsDeclaredTokensOfAllRequests)
{
    const auto declared = [](const HttpHeaders& headers) {
        return CallerDialect::readRequest({"POST", "/", headers, ""}).declaredTokens;
    };
    EXPECT_EQ(declared({{"X-Token-Count", "100,40"}}), TokenCount(140));
    EXPECT_EQ(declared({{"X-Model", "m"}, {"X-Token-Count", "100,40"}}), TokenCount(140));
    EXPECT_EQ(declared({{"X-Token-Count", "100"}}), TokenCount(100));
    EXPECT_EQ(declared({{"X-Token-Count", "many"}}), std::nullopt);
    EXPECT_EQ(declared({}), std::nullopt);
    EXPECT_GT(declared({{"X-Token-Count", "18446744073709551615,18446744073709551615"}}), TokenCount(1'000'000));
}

// Guards against keys, priorities and limits of customers that are lost or given to another one.
TEST(PlatformDocuments, ReadsCustomers)
{
    std::string text = configuration;
    text.replace(text.find("\"attempts\":1"), 12, "\"attempts\":1,\"authExempt\":true");
    text.insert(text.size() - 1,
        R"(,"tenants":[{"name":"t1","apiKeys":["k1","k2"],"priority":1,"unit":"token_stream","plainTokens":200,)"
        R"("ratePerS":6000,"burst":9000},{"name":"t2","apiKeys":["k3"],"ratePerS":0}])");
    const auto table = decodeConfiguration(text);
    ASSERT_TRUE(table.ok()) << table.status();
    EXPECT_TRUE((*table)->match("a.example", "/y/")->acceptsAnonymous);
    EXPECT_FALSE((*table)->match("a.example", "/x/")->acceptsAnonymous);
    const fleet::Customer* first = (*table)->customers().findByKey("k2");
    ASSERT_NE(first, nullptr);
    EXPECT_EQ(first->id, fleet::CustomerId("t1"));
    EXPECT_EQ(first->priority, 1);
    EXPECT_EQ(first->limit, (fleet::CustomerLimit{6000, 9000, fleet::LimitUnit::Tokens, 200}));
    const fleet::Customer* second = (*table)->customers().findByKey("k3");
    ASSERT_NE(second, nullptr);
    EXPECT_FALSE(second->priority || second->limit);
}

// Guards against a key that reaches a target, and against a caller that names the customer itself.
TEST(CallerDialect, TargetsGetTheNameOfTheCustomerAndNoKey)
{
    const HttpRequest request{"POST", "/x/",
        {{"X-Attempt-Id", "id"}, {"x-credential", "key-1"}, {"X-CREDENTIAL", "key-2"}, {"x-tenant", "other"}}, ""};
    EXPECT_EQ(CallerDialect::readRequest(request).credential.count, 2u);
    EXPECT_EQ(CallerDialect::readRequest(request).credential.key, "key-1");
    gateway::ForwardParameters parameters{TargetId("t")};
    EXPECT_FALSE(CallerDialect::targetRequest(request, parameters).headers.find("X-Tenant").has_value());
    parameters.customer = fleet::CustomerId("north");
    const HttpRequest sent = CallerDialect::targetRequest(request, parameters);
    EXPECT_FALSE(sent.headers.find("X-Credential").has_value());
    EXPECT_EQ(sent.headers.find("X-Tenant"), "north");
}

} // namespace
} // namespace lychee::platform
