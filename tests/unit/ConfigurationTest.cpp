#include "state/ConfigurationGenerator.h"

#include "protocol/Digest.h"
#include "state/StateError.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <filesystem>
#include <fstream>
#include <random>
#include <set>
#include <sstream>

namespace lychee {
namespace {

Answers example(const std::string& name)
{
    std::ifstream file(std::filesystem::path(LYCHEE_SOURCE_DIR) / "examples" / name, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    const AnswersResult result = Answers::parse(text.str());
    EXPECT_TRUE(result.ok()) << result.status().ToString();
    return *result.answers;
}

Configuration cwmtaf() { return generateConfiguration(example("cwmtaf.ini"), ConfigurationVersion(7)); }

// Picks one of the items of a list that is not empty.
template <typename Item> const Item& pick(const std::vector<Item>& items)
{
    return items[*rc::gen::inRange<std::size_t>(0, items.size())];
}

// Fills a list with items that have distinct ids; the order is that of the ids.
template <typename Item, typename Fill> std::vector<Item> someItems(const std::string& prefix, Fill fill)
{
    std::vector<Item> items(*rc::gen::inRange<std::size_t>(1, 6));
    for (std::size_t i = 0; i < items.size(); ++i) {
        items[i].id = decltype(items[i].id)(fmt::format("{}-{}", prefix, i));
        fill(items[i]);
    }
    return items;
}

std::uint32_t anyCount() { return *rc::gen::inRange<std::uint32_t>(1, 1'000'000); }

Bytes anyBytes() { return Bytes(*rc::gen::inRange<std::uint64_t>(0, std::uint64_t{1} << 62)); }

// A share with many decimal digits, so that rounding is noticed.
double anyShare() { return anyCount() / 7.0; }

Configuration anyConfiguration()
{
    Configuration result;
    result.version = ConfigurationVersion(*rc::gen::arbitrary<std::uint64_t>());
    result.deployment = "shop";
    result.moveWeight = anyCount() / 1e6;
    result.store = {anyShare(), anyCount(), anyCount()};
    result.dataCentres = someItems<DataCentre>("centre", [](DataCentre& item) { item.region = "wales"; });
    result.teams = someItems<Team>("team", [](Team& item) {
        item.tokenSha256 = sha256Hex(item.id.value());
        item.share = anyShare();
    });
    result.classes = someItems<CallerClass>("class", [&](CallerClass& item) {
        item.team = pick(result.teams).id;
        item.patience = std::chrono::milliseconds(anyCount());
        item.priority = *rc::gen::inRange(0, 10);
    });
    result.models = someItems<Model>("model", [&](Model& item) {
        item.teams = {pick(result.teams).id};
        item.callerClass = pick(result.classes).id;
        item.version = "1.0";
        item.bytes = anyBytes();
        item.share = anyShare();
    });
    result.adapters = someItems<Adapter>("adapter", [&](Adapter& item) {
        item.model = pick(result.models).id;
        item.version = "2";
        item.bytes = anyBytes();
    });
    result.services = someItems<Service>("service", [&](Service& item) {
        const bool idempotent = *rc::gen::arbitrary<bool>();
        item.calls = {{"call", "POST", "/\"quoted\"\\", idempotent, pick(result.classes).id}};
    });
    result.targets = someItems<Target>("target", [&](Target& item) {
        item.kind = *rc::gen::element(TargetKind::Engine, TargetKind::Service);
        if (item.kind == TargetKind::Service)
            item.service = pick(result.services).id;
        item.dataCentre = pick(result.dataCentres).id;
        const auto port = static_cast<std::uint16_t>(*rc::gen::inRange(1, 65536));
        item.endpoint = {*rc::gen::element<std::string>("127.0.0.1", "::1"), port};
        item.memory = anyBytes();
        item.accelerators = anyCount();
        item.checksOwner = *rc::gen::arbitrary<bool>();
        item.honoursFencing = *rc::gen::arbitrary<bool>();
    });
    result.answers = *rc::gen::container<std::string>(rc::gen::inRange<char>(1, 127));
    return result;
}

// Guards against a member that is lost or rounded when a configuration is sent to another instance.
TEST(Configuration, DecodingReversesEncoding)
{
    EXPECT_TRUE(rc::check([] {
        const Configuration configuration = anyConfiguration();
        const auto decoded = decodeConfiguration(encodeConfiguration(configuration));
        RC_ASSERT(decoded.ok());
        RC_ASSERT(*decoded == configuration);
    }));
}

// Guards against a difference that omits a change, or reports one where there is none.
TEST(Configuration, DifferenceIsEmptyOnlyForEqualConfigurations)
{
    EXPECT_TRUE(rc::check([] {
        const Configuration from = anyConfiguration();
        Configuration to = from;
        to.version = from.version.next();
        RC_ASSERT(difference(from, to).empty());
        to.models.front().bytes = from.models.front().bytes + Bytes(1);
        to.targets.pop_back();
        RC_ASSERT(difference(from, to).size() == 2u);
    }));
}

// Guards against lines that do not say what changed.
TEST(Configuration, DifferenceNamesEachChange)
{
    const Configuration from = cwmtaf();
    Configuration to = from;
    to.moveWeight = 0.5;
    to.models.erase(to.models.begin());
    to.services.front().calls.front().idempotent = true;
    to.dataCentres.push_back({DataCentreId("newport"), "gwent"});
    const std::vector<std::string> expected{"changed move_weight: 0.8 -> 0.5",
        "added data_centres/newport: {\"id\":\"newport\",\"region\":\"gwent\"}",
        "removed models/" + from.models.front().id.value(),
        "changed services/bookings/calls/charge-deposit/idempotent: false -> true"};
    std::vector<std::string> lines = difference(from, to);
    EXPECT_TRUE(std::is_permutation(lines.begin(), lines.end(), expected.begin(), expected.end()))
        << fmt::format("{}", fmt::join(lines, "\n"));
}

// Guards against wrong generated values, in particular non-idempotent calls that would be retried.
TEST(Configuration, GeneratedValuesFollowTheAnswers)
{
    const Configuration configuration = cwmtaf();
    EXPECT_EQ(configuration.version, ConfigurationVersion(7));
    EXPECT_EQ(configuration.moveWeight, 0.8);
    EXPECT_EQ(configuration.targets.size(), 24u);
    const Service* service = configuration.service(ServiceId("bookings"));
    ASSERT_NE(service, nullptr);
    for (const ServiceCall& call : service->calls)
        EXPECT_EQ(call.idempotent, call.method == "GET") << call.name;
    const Target* engine = configuration.target(TargetId("engine-04"));
    ASSERT_NE(engine, nullptr);
    EXPECT_FALSE(engine->honoursFencing);
    EXPECT_TRUE(engine->checksOwner);
    EXPECT_EQ(engine->memory, Bytes(80 * gibibyte.value()));
    EXPECT_EQ(configuration.callerClass(CallerClassId("stock-screen"))->patience, std::chrono::seconds(2));
}

// Guards against lookups that miss items, also in lists that were not generated in order.
TEST(Configuration, LookupsFindEveryItemInAnyOrder)
{
    Configuration configuration = cwmtaf();
    for (int round = 0; round < 2; ++round) {
        for (const Model& model : configuration.models)
            EXPECT_EQ(configuration.model(model.id), &model);
        for (const Adapter& adapter : configuration.adapters)
            EXPECT_EQ(configuration.adapter(adapter.id), &adapter);
        EXPECT_EQ(configuration.model(ModelId("absent")), nullptr);
        std::reverse(configuration.models.begin(), configuration.models.end());
        std::reverse(configuration.adapters.begin(), configuration.adapters.end());
    }
    const Adapter& adapter = configuration.adapters.front();
    EXPECT_EQ(configuration.artifactOf(adapter).value(),
        fmt::format("{}@2026.1:{}@{}", adapter.model, adapter.id, adapter.version));
    // Guards against a new version of an adapter whose artifact has the name of the old one and is therefore never
    // loaded.
    Adapter next = adapter;
    next.version += "-next";
    EXPECT_NE(configuration.artifactOf(next), configuration.artifactOf(adapter));
}

// Adds the path of every value of the document to `paths`; elements of lists are named by their id, as in explain().
void collectPaths(const std::string& path, const nlohmann::json& json, std::set<std::string>& paths)
{
    const bool items = json.is_array() && !json.empty() && json.front().is_object();
    if (json.is_object() && !json.contains("port")) {
        for (const auto& [key, value] : json.items())
            collectPaths(path.empty() ? key : fmt::format("{}/{}", path, key), value, paths);
    } else if (items) {
        for (const auto& item : json)
            collectPaths(fmt::format("{}/{}", path, item["id"].get<std::string>()), item, paths);
    } else {
        paths.insert(path);
    }
}

// Guards against generated values that cannot be traced to an answer, and against wrong lines.
TEST(Configuration, EveryValueIsExplainedByItsAnswer)
{
    for (const std::string name : {"cwmtaf.ini", "abay.ini"}) {
        const Answers answers = example(name);
        std::vector<std::string> lines{""};
        std::istringstream text(answers.text());
        for (std::string line; std::getline(text, line);)
            lines.push_back(line);
        std::set<std::string> explained;
        for (const ValueOrigin& origin : explain(answers)) {
            EXPECT_TRUE(explained.insert(origin.path).second) << origin.path;
            if (origin.line > 0) {
                const std::string expected
                    = origin.key.empty() ? "[" + origin.section + "]" : origin.key + " = " + origin.value;
                EXPECT_EQ(lines[origin.line], expected);
            }
        }
        std::set<std::string> generated;
        const std::string document = encodeConfiguration(generateConfiguration(answers, ConfigurationVersion(1)));
        collectPaths("", nlohmann::json::parse(document), generated);
        generated.erase("version");
        generated.erase("answers");
        EXPECT_EQ(generated, explained);
    }
}

// Guards against malicious documents that crash an instance or exhaust its memory instead of being refused.
TEST(Access, HostileDocumentsAreRefused)
{
    const std::string document = encodeConfiguration(cwmtaf());
    nlohmann::json json = nlohmann::json::parse(document);
    json["models"][0]["class"] = "absent";
    const std::string unknownClass = json.dump();
    json = nlohmann::json::parse(document);
    json["targets"][1]["id"] = json["targets"][0]["id"];
    const std::string duplicate = json.dump();
    json = nlohmann::json::parse(document);
    json["targets"][0]["address"]["port"] = 65536;
    const std::string port = json.dump();
    json = nlohmann::json::parse(document);
    json["teams"][0]["share"] = -1;
    const std::string share = json.dump();
    // Valid except for their depth and length.
    const std::string deep
        = "{\"extra\":" + std::string(10'000, '[') + std::string(10'000, ']') + "," + document.substr(1);
    const std::string tooLong = document + std::string(64 << 20, ' ');
    const std::vector<std::string> hostile{deep, tooLong, "", "null", "[]", "{}", "{\"version\":1}",
        std::string(1 << 20, '['), std::string(1 << 20, '{'), "{\"version\":\"\xff\xfe\"}", document + "x",
        unknownClass, duplicate, port, share};
    for (const std::string& text : hostile) {
        const auto decoded = decodeConfiguration(text);
        ASSERT_FALSE(decoded.ok()) << text.substr(0, 100);
        EXPECT_EQ(errorOf<StateError>(decoded.status()), StateError::ConfigurationInvalid);
    }
}

// Guards against exceptions and crashes on documents that are almost valid. The fuzz test has a fixed seed, so that
// failures are reproducible.
TEST(Access, MutatedDocumentsNeverCrash)
{
    constexpr int rounds = 1500;
    std::mt19937 random(20261204);
    Configuration small = cwmtaf();
    small.answers.clear();
    small.adapters.resize(2);
    small.targets.resize(2);
    small.models.resize(2);
    small.adapters[0].model = small.models[0].id;
    small.adapters[1].model = small.models[0].id;
    const std::string document = encodeConfiguration(small);
    ASSERT_TRUE(decodeConfiguration(document).ok());
    for (int round = 0; round < rounds; ++round) {
        std::string text = document;
        const std::size_t changes = random() % 6;
        for (std::size_t i = 0; i < changes; ++i)
            text[random() % text.size()] = static_cast<char>(random());
        text.resize(round % 3 == 0 ? random() % text.size() : text.size());
        const auto decoded = decodeConfiguration(text);
        EXPECT_TRUE(!decoded.ok() || decodeConfiguration(encodeConfiguration(*decoded)).ok());
    }
}

} // namespace
} // namespace lychee
