// Entry point of lycheecoursed.
#include "daemon/Daemon.h"
#include "gateway/Gateway.h"
#include "platform/Platform.h"
#include "transport/Log.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <absl/flags/usage.h>

#include <cstdio>
#include <cstdlib>

ABSL_FLAG(std::string, settings, "", "Path of the settings file, which is INI text.");
ABSL_FLAG(std::string, interface, "own",
    "Interface to callers, targets and the platform: own (described in docs/design.md) or platform (described in "
    "docs/platform.md).");
ABSL_FLAG(bool, check, false, "Check the settings and exit.");
ABSL_FLAG(bool, describe_settings, false, "Print all settings as Markdown and exit.");
ABSL_FLAG(std::string, ports_file, "", "File to write the bound ports to.");
ABSL_FLAG(std::string, log_level, "info", "Lowest level to log: debug, info, warning or error.");

namespace {

constexpr int exitFailed = 1;
constexpr int exitInvalidInput = 2;

// Accepts flags with dashes as well as underscores, since Abseil's flag names cannot contain dashes.
void replaceDashes(char* argument)
{
    if (std::string_view(argument).substr(0, 2) != "--")
        return;
    for (char* c = argument + 2; *c != '\0' && *c != '='; ++c) {
        if (*c == '-')
            *c = '_';
    }
}

// The environment variable with the path of the settings file, used when --settings is not given. The users' platform
// sets it.
constexpr const char* settingsVariable = "LYCHEECOURSE_CONFIG";

std::string settingsPath()
{
    std::string path = absl::GetFlag(FLAGS_settings);
    if (path.empty()) {
        if (const char* value = std::getenv(settingsVariable))
            path = value;
    }
    return path;
}

// Exits without running destructors: fibers that wait for messages cannot be ended, and the process has no state to
// save.
[[noreturn]] void exitProcess(int code)
{
    lychee::flushLog();
    std::fflush(stderr);
    std::_Exit(code);
}

[[noreturn]] void failToStart(const absl::Status& status)
{
    fmt::print(stderr, "lycheecoursed: {}\n", lychee::messageOf(status));
    exitProcess(exitFailed);
}

void runDaemon(std::shared_ptr<const lychee::Settings> settings)
{
    absl::StatusOr<std::unique_ptr<lychee::Daemon>> daemon = lychee::Daemon::start(std::move(settings));
    if (!daemon.ok())
        failToStart(daemon.status());
    const std::string portsFile = absl::GetFlag(FLAGS_ports_file);
    if (!portsFile.empty()) {
        const absl::Status status = (*daemon)->writePorts(portsFile);
        if (!status.ok())
            failToStart(status);
    }
    exitProcess((*daemon)->waitForStop());
}

void runGateway(std::shared_ptr<const lychee::gateway::GatewaySettings> settings, const std::string& file)
{
    auto gateway = lychee::gateway::Gateway<lychee::platform::Platform>::start(std::move(settings), file);
    if (!gateway.ok())
        failToStart(gateway.status());
    exitProcess((*gateway)->waitForStop());
}

// Loads the settings and calls `run` with them; with --check it only validates them. Prints every error. Returns the
// exit code when the process has not been ended by `run`.
template <typename SettingsType, typename Run> int loadAndRun(Run run)
{
    const std::string path = settingsPath();
    auto loaded = SettingsType::load(path);
    if (!loaded.ok()) {
        for (const std::string& error : loaded.errors)
            fmt::print(stderr, "{}\n", error);
        return exitInvalidInput;
    }
    if (absl::GetFlag(FLAGS_check)) {
        fmt::print("{}: ok\n", path);
        return 0;
    }
    run(std::move(loaded.settings), path);
    return exitFailed;
}

} // namespace

int main(int argc, char** argv)
{
    absl::SetProgramUsageMessage("Serves callers' requests from shared targets.\n"
                                 "Example: lycheecoursed --settings=/etc/lycheecourse/instance.ini");
    std::for_each(argv, argv + argc, replaceDashes);
    absl::ParseCommandLine(argc, argv);
    lychee::LogLevel level = lychee::LogLevel::Info;
    if (!lychee::parseLogLevel(absl::GetFlag(FLAGS_log_level), level)) {
        fmt::print(stderr, "lycheecoursed: --log_level must be debug, info, warning or error\n");
        return exitInvalidInput;
    }
    lychee::setLogLevel(level);
    const std::string interface = absl::GetFlag(FLAGS_interface);
    if (interface != "own" && interface != "platform") {
        fmt::print(stderr, "lycheecoursed: --interface must be own or platform\n");
        return exitInvalidInput;
    }
    const bool onPlatform = interface == "platform";
    if (absl::GetFlag(FLAGS_describe_settings)) {
        fmt::print("{}", onPlatform ? lychee::gateway::GatewaySettings::describe() : lychee::Settings::describe());
        return 0;
    }
    if (onPlatform)
        return loadAndRun<lychee::gateway::GatewaySettings>(runGateway);
    return loadAndRun<lychee::Settings>(
        [](std::shared_ptr<const lychee::Settings> settings, const std::string&) { runDaemon(std::move(settings)); });
}
