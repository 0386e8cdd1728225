#include "daemon/Settings.h"

#include <gtest/gtest.h>

#include <unistd.h>

#include <filesystem>
#include <fstream>
#include <sstream>

namespace lychee {
namespace {

std::string readFile(const std::filesystem::path& path)
{
    std::ifstream file(path, std::ios::binary);
    std::ostringstream text;
    text << file.rdbuf();
    return text.str();
}

// Creates a directory with a token file and a key file for each test, and removes it afterwards.
class SettingsTest : public testing::Test {
protected:
    SettingsTest()
    {
        std::filesystem::create_directory(directory_);
        std::ofstream(directory_ / "token") << "operator-secret\n";
        std::ofstream(directory_ / "key") << "peer-secret-key";
    }

    ~SettingsTest() override { std::filesystem::remove_all(directory_); }

    SettingsResult parse(std::string_view text) const { return Settings::parse(text, directory_ / "settings.ini"); }

    std::filesystem::path directory_ = std::filesystem::path(LYCHEE_BUILD_DIR) / fmt::format("settings-{}", getpid());
};

constexpr std::string_view valid = "[instance]\nid = a\ndata_centre = cardiff-bay\n"
                                   "[operators]\ntoken_file = token\nport = 0\n"
                                   "[peers]\nkey_file = key\nseeds = 127.0.0.1:9, [::1]:10\n"
                                   "[platform]\nport = 9000\n";

// Guards against values that are stored in the wrong member, and against missing defaults.
TEST_F(SettingsTest, ReadsValuesAndDefaults)
{
    const SettingsResult result = parse(valid);
    ASSERT_TRUE(result.ok()) << result.errors.front();
    const Settings& settings = *result.settings;
    EXPECT_EQ(settings.instance.dataCentre(), "cardiff-bay");
    EXPECT_EQ(settings.operators.port(), 0);
    EXPECT_EQ(settings.operators.tokenFile().reveal(), "operator-secret");
    EXPECT_EQ(settings.peers.keyFile().reveal(), "peer-secret-key");
    EXPECT_EQ(settings.peers.seeds(), (std::vector<Endpoint>{{"127.0.0.1", 9}, {"::1", 10}}));
    EXPECT_EQ(settings.peers.degree(), 6u);
    EXPECT_EQ(settings.stop.noWorkAfter(), std::chrono::seconds(3));
}

// Guards against reporting only the first error, and against error messages without the position or the allowed values.
TEST_F(SettingsTest, ReportsEveryErrorInOneLine)
{
    const SettingsResult result = parse("[instance]\nid = UPPER\ncolour = red\n"
                                        "[callers]\nport = 65536\naddress = localhost\n"
                                        "[operators]\ntoken_file = absent\n"
                                        "[peers]\nkey_file = key\nheartbeat_ms = 2000\n"
                                        "[rockets]\n"
                                        "[platform]\nport = 0\n");
    const std::string file = (directory_ / "settings.ini").string();
    const std::vector<std::string> expected{
        ": line 2: [instance] id: must be a name",
        ": line 3: [instance] colour: unknown key, must be one of id, data_centre, region",
        ": line 5: [callers] port: must be a whole number from 0 to 65535",
        ": line 6: [callers] address: must be a numeric IP address",
        ": line 8: [operators] token_file: must be a readable file of 8 to 4096 bytes",
        ": line 12: [rockets] unknown section, must be one of instance, callers",
        ": line 14: [platform] port: must be a whole number from 1 to 65535",
        ": line 1: [instance] data_centre: the key is missing, must be a name",
        ": line 9: [peers] silence_ms: must be at least twice heartbeat_ms, 4000",
    };
    ASSERT_EQ(result.errors.size(), expected.size()) << fmt::format("{}", fmt::join(result.errors, "\n"));
    for (std::size_t i = 0; i < expected.size(); ++i)
        EXPECT_TRUE(result.errors[i].starts_with(file + expected[i])) << result.errors[i];
    EXPECT_EQ(result.settings, nullptr);
}

// Guards against reading a directory or a missing file as empty settings.
TEST_F(SettingsTest, RefusesUnreadableFiles)
{
    for (const auto& path : {directory_, directory_ / "absent"}) {
        const SettingsResult result = Settings::load(path);
        ASSERT_EQ(result.errors.size(), 1u);
        EXPECT_TRUE(result.errors.front().starts_with(path.string() + ": ")) << result.errors.front();
    }
}

// Guards against a default outside the allowed range of its setting, which would silently become zero.
TEST_F(SettingsTest, EveryDefaultIsAllowed)
{
    const Settings settings;
    for (const SettingSection* section : settings.sections()) {
        for (SettingBase* setting : section->members()) {
            const auto& declaration = setting->declaration();
            EXPECT_TRUE(!declaration.fallback || setting->assign(*declaration.fallback, {})) << declaration.key;
        }
    }
}

// Guards against a docs/settings.md that differs from the code; regenerate it with lycheecoursed --describe-settings.
TEST_F(SettingsTest, PageMatchesTheCode)
{
    EXPECT_EQ(readFile(std::filesystem::path(LYCHEE_SOURCE_DIR) / "docs/settings.md"), Settings::describe());
}

} // namespace
} // namespace lychee
