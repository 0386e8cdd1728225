#include "state/Answers.h"

#include "protocol/Digest.h"
#include "state/MemoryPacking.h"
#include "state/StateError.h"

#include <gtest/gtest.h>
#include <rapidcheck.h>

#include <filesystem>
#include <fstream>
#include <random>
#include <sstream>

namespace lychee {
namespace {

// A complete small set of answers; line numbers in the tests below refer to it.
const std::string valid = "[deployment]\n" // 1
                          "name = shop\n"
                          "[data_centre west]\n"
                          "region = wales\n"
                          "[team riders]\n" // 5
                          "token_sha256 = "
    + sha256Hex("riders-token")
    + "\n"
      "[class desk]\n"
      "team = riders\n"
      "patience_ms = 2000\n"
      "[model packs]\n" // 10
      "teams = riders\n"
      "class = desk\n"
      "version = 1.0\n"
      "bytes = 10 GiB\n"
      "[adapter packs-club]\n" // 15
      "model = packs\n"
      "version = 2\n"
      "bytes = 1 GiB\n"
      "[service bookings]\n"
      "teams = riders\n" // 20
      "[call book]\n"
      "service = bookings\n"
      "method = POST\n"
      "path_prefix = /bookings\n"
      "idempotent = no\n" // 25
      "class = desk\n"
      "[target engine-1]\n"
      "kind = engine\n"
      "data_centre = west\n"
      "address = 127.0.0.1:9001\n" // 30
      "memory_bytes = 16 GiB\n"
      "[target bookings-1]\n"
      "kind = service\n"
      "service = bookings\n"
      "data_centre = west\n" // 35
      "address = [::1]:9002\n";

// The valid answers with one text replaced by another.
std::string changed(const std::string& from, const std::string& to)
{
    std::string text = valid;
    const std::size_t place = text.find(from);
    EXPECT_NE(place, std::string::npos) << from;
    return text.replace(place, from.size(), to);
}

std::string readExample(const std::string& name)
{
    std::ifstream file(std::filesystem::path(LYCHEE_SOURCE_DIR) / "examples" / name, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

std::string messages(const AnswersResult& result)
{
    std::string text;
    for (const AnswerError& error : result.errors)
        text += toString(error) + "\n";
    return text;
}

// Guards against valid answers that are refused, or whose line numbers or defaults are lost.
TEST(Answers, ReadsValuesLinesAndDefaults)
{
    const AnswersResult result = Answers::parse(valid);
    ASSERT_TRUE(result.ok()) << messages(result);
    const AnswerSection* model = result.answers->find("model", "packs");
    ASSERT_NE(model, nullptr);
    EXPECT_EQ(model->size("bytes"), Bytes(10 * gibibyte.value()));
    EXPECT_EQ(model->value("bytes")->line, 14u);
    EXPECT_EQ(model->value("share")->line, 0u);
    EXPECT_EQ(model->real("share"), 1);
    EXPECT_EQ(result.answers->single("store").count("model_loads_at_once"), 8u);
    EXPECT_EQ(result.answers->find("model", "absent"), nullptr);
    EXPECT_TRUE(result.status().ok());
}

struct Fault {
    std::string from;
    std::string to;
    std::size_t line;
    std::string section;
    std::string key;
    std::string reason;
};

// Guards against a rule that is not enforced, or whose error lacks its line, section, key or allowed range.
TEST(Answers, EachFaultIsReportedWithItsPlace)
{
    const std::string digest = sha256Hex("riders-token");
    const std::vector<Fault> faults{
        {"name = shop", "name = Shop!", 2, "deployment", "name", "must be a name of [a-z0-9-]"},
        {"name = shop", "name = shop\nmove_weight = 1.5", 3, "deployment", "move_weight", "a number from 0 to 1"},
        {"name = shop", "name = shop\nmove_weight = nan", 3, "deployment", "move_weight", "a number from 0 to 1"},
        {"name = shop", "name = shop\nname = shed", 3, "deployment", "name", "given twice"},
        {"name = shop", "colour = red\nname = shop", 2, "deployment", "colour", "must be one of name, move_weight"},
        {"name = shop", "name", 2, "deployment", "", "KEY = VALUE"},
        {"[deployment]", "x = 1\n[deployment]", 1, "", "x", "before the first section"},
        {"[data_centre west]", "[data_centre west", 3, "deployment", "", "[NAME] alone on its line"},
        {"[team riders]", "[team riders]\n[team riders]", 6, "team riders", "", "declared twice"},
        {"[team riders]", "[team  riders]", 5, "team  riders", "", "must be written as [team riders]"},
        {"[team riders]", "[gang x]\n[team riders]", 5, "gang x", "", "must begin with one of deployment, store"},
        {"[team riders]", "[store x]\n[team riders]", 5, "store x", "", "without a name"},
        {"[team riders]", "[class]\n[team riders]", 5, "class", "", "[class NAME]"},
        {digest, "secret", 6, "team riders", "token_sha256", "SHA-256 as 64"},
        {"team = riders", "team = rowers", 8, "class desk", "team", "there is no [team rowers]"},
        {"patience_ms = 2000", "patience_ms = 0", 9, "class desk", "patience_ms", "from 1 to 86400000"},
        {"patience_ms = 2000", "patience_ms = 99999999999999999999", 9, "class desk", "patience_ms", "from 1 to"},
        {"patience_ms = 2000", "patience_ms = 2000\npriority = 10", 10, "class desk", "priority", "from 0 to 9"},
        {"teams = riders\nclass", "teams = riders, riders\nclass", 11, "model packs", "teams", "listed twice"},
        {"teams = riders\nclass", "teams = riders,\nclass", 11, "model packs", "teams", "separated by commas"},
        {"class = desk", "class = shelf", 12, "model packs", "class", "there is no [class shelf]"},
        {"version = 1.0", "version = 1@0", 13, "model packs", "version", "[A-Za-z0-9._-]"},
        {"version = 1.0\n", "", 10, "model packs", "version", "the key is missing, must be a version"},
        {"bytes = 10 GiB", "bytes = 20 GiB", 14, "model packs", "bytes",
            "the largest engine, which has 16 GiB; 5 GiB are missing"},
        {"bytes = 10 GiB", "bytes = 20 GB", 14, "model packs", "bytes", "KiB, MiB, GiB or TiB"},
        {"model = packs", "model = bags", 16, "adapter packs-club", "model", "there is no [model bags]"},
        {"method = POST", "method = post", 23, "call book", "method", "one of GET,HEAD,POST"},
        {"path_prefix = /bookings", "path_prefix = /a?b", 24, "call book", "path_prefix", "begins with /"},
        {"idempotent = no", "idempotent = maybe", 25, "call book", "idempotent", "yes or no"},
        {"idempotent = no\n", "", 21, "call book", "idempotent", "the key is missing, must be yes or no"},
        {"kind = engine", "kind = oven", 28, "target engine-1", "kind", "one of engine,service"},
        {"kind = engine", "kind = engine\nservice = bookings", 29, "target engine-1", "service", "must be left out"},
        {"address = 127.0.0.1:9001", "address = localhost:1", 30, "target engine-1", "address", "numeric IP address"},
        {"address = 127.0.0.1:9001", "address = 127.0.0.1:0", 30, "target engine-1", "address", "from 1 to 65535"},
        {"address = [::1]:9002", "address = 127.0.0.1:9001", 30, "target engine-1", "address", "must differ"},
        {"memory_bytes = 16 GiB", "fencing = true\nmemory_bytes = 16 GiB", 31, "target engine-1", "fencing",
            "yes or no"},
        {"memory_bytes = 16 GiB\n", "", 27, "target engine-1", "memory_bytes", "the key is missing, must be a size"},
        {"kind = service\nservice = bookings\n", "kind = service\n", 32, "target bookings-1", "service",
            "the key is missing"},
    };
    for (const Fault& fault : faults) {
        const AnswersResult result = Answers::parse(changed(fault.from, fault.to));
        const bool found = std::any_of(result.errors.begin(), result.errors.end(), [&](const AnswerError& error) {
            return error.line == fault.line && error.section == fault.section && error.key == fault.key
                && error.reason.find(fault.reason) != std::string::npos;
        });
        EXPECT_TRUE(found && !result.ok()) << fault.to << " gave:\n" << messages(result);
    }
}

// Guards against errors that hide each other: all errors are collected in one pass, in order of their lines.
TEST(Answers, CollectsAllErrorsAtOnce)
{
    std::string text = changed("name = shop", "name = Shop!");
    text.replace(text.find("idempotent = no"), 15, "idempotent = ??");
    text += "nonsense\n[call free]\nservice = cellar\n";
    const AnswersResult result = Answers::parse(text);
    std::vector<std::size_t> lines;
    for (const AnswerError& error : result.errors)
        lines.push_back(error.line);
    EXPECT_EQ(lines, (std::vector<std::size_t>{2, 25, 37, 38, 38, 38, 38, 39})) << messages(result);
    EXPECT_EQ(errorOf<StateError>(result.status()), StateError::AnswersInvalid);
}

// Guards against a class of one team whose patience would apply to the callers of another.
TEST(Answers, ClassBelongsToATeamThatUsesIt)
{
    const std::string other = "[team rowers]\ntoken_sha256 = " + sha256Hex("rowers-token")
        + "\n[class boat]\nteam = rowers\npatience_ms = 5\n";
    for (const auto& [from, section] :
        {std::pair{"class = desk\nversion", "model packs"}, std::pair{"idempotent = no\nclass = desk", "call book"}}) {
        std::string replacement = from;
        replacement.replace(replacement.find("desk"), 4, "boat");
        const AnswersResult result = Answers::parse(changed(from, replacement) + other);
        ASSERT_EQ(result.errors.size(), 1u) << messages(result);
        EXPECT_EQ(result.errors[0].section, section);
        EXPECT_EQ(result.errors[0].key, "class");
    }
}

// Guards against two teams with the same token, which the system could not distinguish.
TEST(Answers, TokensDiffer)
{
    const AnswersResult result
        = Answers::parse(valid + "[team rowers]\ntoken_sha256 = " + sha256Hex("riders-token") + "\n");
    ASSERT_EQ(result.errors.size(), 1u) << messages(result);
    EXPECT_EQ(result.errors[0].key, "token_sha256");
}

// Guards against a declared service or model that no target could ever serve.
TEST(Answers, EverythingDeclaredCanBeServed)
{
    const std::string withoutTarget = valid.substr(0, valid.find("[target bookings-1]"));
    EXPECT_NE(messages(Answers::parse(withoutTarget)).find("no [target NAME] runs the service"), std::string::npos);
    const std::string lonely = valid + "[service lonely]\nteams = riders\n";
    EXPECT_NE(messages(Answers::parse(lonely)).find("the service has no [call NAME]"), std::string::npos);
    const std::string second = valid + "[model extra]\nteams = riders\nclass = desk\nversion = 1\nbytes = 6 GiB\n";
    const AnswersResult result = Answers::parse(second);
    ASSERT_EQ(result.errors.size(), 1u) << messages(result);
    EXPECT_NE(result.errors[0].reason.find("1 of 2 models do not fit, 6 GiB are missing"), std::string::npos)
        << messages(result);
}

// Guards against examples that no longer parse, or whose memory no longer fits one copy of each model and a second copy
// of some.
TEST(Answers, ExamplesParseAndFit)
{
    const std::vector<std::pair<std::string, std::size_t>> examples{{"cwmtaf.ini", 30}, {"abay.ini", 25}};
    for (const auto& [name, models] : examples) {
        const AnswersResult result = Answers::parse(readExample(name));
        ASSERT_TRUE(result.ok()) << messages(result);
        EXPECT_EQ(result.answers->sections("model").size(), models);
        EXPECT_EQ(result.answers->sections("adapter").size(), 100u);
        EXPECT_EQ(result.answers->fit().models, models);
        EXPECT_GT(result.answers->fit().modelsTwice, 0u);
        EXPECT_LT(result.answers->fit().modelsTwice, models);
    }
}

// Guards against a token hash in an example that does not match the documented token.
TEST(Answers, ExampleTokensMatchTheirHashes)
{
    const AnswersResult result = Answers::parse(readExample("cwmtaf.ini"));
    ASSERT_TRUE(result.ok());
    EXPECT_EQ(result.answers->find("team", "rides")->text("token_sha256"), sha256Hex("rides-example-token"));
}

// Guards against a second copy on the same engine, which would not survive the engine's loss.
TEST(Answers, SecondCopiesUseAnotherEngine)
{
    EXPECT_EQ(packMemory({Bytes(10)}, {Bytes(100)}).placedTwice, 0u);
    EXPECT_EQ(packMemory({Bytes(10)}, {Bytes(100), Bytes(10)}).placedTwice, 1u);
}

// Guards against a packing that overcommits the memory of an engine or leaves out a model without reporting it.
TEST(Answers, PackingNeverOvercommits)
{
    EXPECT_TRUE(rc::check([] {
        const auto sizes = *rc::gen::container<std::vector<std::uint64_t>>(rc::gen::inRange<std::uint64_t>(1, 100));
        const auto rooms = *rc::gen::container<std::vector<std::uint64_t>>(rc::gen::inRange<std::uint64_t>(1, 200));
        const std::vector<Bytes> items(sizes.begin(), sizes.end());
        const std::vector<Bytes> bins(rooms.begin(), rooms.end());
        const MemoryPacking packing = packMemory(items, bins);
        std::uint64_t total = 0;
        for (const std::uint64_t room : rooms)
            total += room;
        std::uint64_t placed = 0;
        for (const std::uint64_t size : sizes)
            placed += size;
        for (const std::size_t item : packing.unplaced)
            placed -= sizes[item];
        RC_ASSERT(placed + packing.spare.value() <= total);
        RC_ASSERT(packing.placedTwice + packing.unplaced.size() <= items.size());
        RC_ASSERT(packing.placedTwice > 0 || placed + packing.spare.value() == total);
    }));
}

// Guards against crashes, hangs and an unbounded number of errors on malicious text.
TEST(Access, HostileAnswersAreRefused)
{
    const std::vector<std::string> hostile{std::string(Answers::textLimit + 1, 'a'),
        std::string(Answers::lineLimit + 1, 'a'), std::string("[deployment]\nname = a\0b\n", 24),
        "[deployment]\nname = \xff\xfe\n", "[deployment]\nname = a\x1b[31m\n", std::string(100'000, '['),
        std::string(100'000, '\n') + "[", "=\n=\n", "[]\n", ""};
    for (const std::string& text : hostile)
        EXPECT_FALSE(Answers::parse(text).ok());
    for (const std::string comment : {"; \xff\n", "; \x1b[31m\n"})
        EXPECT_FALSE(Answers::parse(valid + comment).ok());
    std::string lines;
    for (int i = 0; i < 100'000; ++i)
        lines += "x\n";
    EXPECT_LE(Answers::parse(lines).errors.size(), Answers::errorLimit + 1);
    std::string sections;
    for (std::size_t i = 0; i <= Answers::sectionLimit; ++i)
        sections += fmt::format("[team t{}]\n", i);
    const AnswersResult tooMany = Answers::parse(sections);
    EXPECT_FALSE(tooMany.ok());
    EXPECT_LE(tooMany.errors.size(), Answers::errorLimit + 1);
}

// Guards against crashes on text that is almost valid. The fuzz test has a fixed seed, so that failures are
// reproducible.
TEST(Access, MutatedAnswersNeverCrash)
{
    constexpr int rounds = 2000;
    std::mt19937 random(20261204);
    for (int round = 0; round < rounds; ++round) {
        std::string text = valid;
        const std::size_t changes = 1 + random() % 8;
        for (std::size_t i = 0; i < changes; ++i)
            text[random() % text.size()] = static_cast<char>(random());
        text.resize(random() % 4 == 0 ? random() % text.size() : text.size());
        const AnswersResult result = Answers::parse(text);
        EXPECT_EQ(result.ok(), result.errors.empty());
        for (const AnswerError& error : result.errors)
            EXPECT_FALSE(error.reason.empty());
    }
}

} // namespace
} // namespace lychee
