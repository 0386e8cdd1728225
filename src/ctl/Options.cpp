#include "ctl/Options.h"

#include <absl/flags/flag.h>
#include <absl/flags/reflection.h>
#include <absl/strings/ascii.h>
#include <absl/strings/numbers.h>

#include <algorithm>
#include <array>
#include <cstdlib>
#include <filesystem>
#include <fstream>

ABSL_FLAG(std::string, instance, "", "Operator address of any instance, as ADDRESS:PORT");
ABSL_FLAG(std::string, token_file, "", "File with the operators' token; default: environment LYCHEE_OPERATOR_TOKEN");
ABSL_FLAG(std::string, base_version, "", "Version that the submitted answers are based on");
ABSL_FLAG(bool, json, false, "Print JSON instead of tables");

namespace lychee {

namespace {

// Only these flags are accepted: Abseil registers further ones, which are not part of this tool's interface.
constexpr std::array<std::string_view, 4> acceptedFlags{"instance", "token_file", "base_version", "json"};

constexpr std::size_t maxTokenBytes = 4096;

// Parses the arguments. absl::ParseCommandLine() is not used because it ends the process with code 1 on an error, while
// wrong usage is code 2 here, and because it does not accept dashes in flag names.
class ArgumentReader {
public:
    explicit ArgumentReader(const std::vector<std::string>& arguments)
        : arguments_(arguments)
    {
    }

    absl::Status read(Options& options)
    {
        while (next_ < arguments_.size()) {
            const std::string argument = arguments_[next_++];
            if (argument == "--help" || argument == "-h") {
                options.help = true;
            } else if (argument.starts_with("--")) {
                if (const absl::Status status = readFlag(argument.substr(2)); !status.ok())
                    return status;
            } else {
                options.positionals.push_back(argument);
            }
        }
        return absl::OkStatus();
    }

private:
    absl::Status readFlag(const std::string& text)
    {
        const std::size_t equals = text.find('=');
        std::string name = text.substr(0, equals);
        std::replace(name.begin(), name.end(), '-', '_');
        absl::CommandLineFlag* flag = nullptr;
        if (std::find(acceptedFlags.begin(), acceptedFlags.end(), name) != acceptedFlags.end())
            flag = absl::FindCommandLineFlag(name);
        if (!flag)
            return absl::InvalidArgumentError(fmt::format("unknown option --{}", text.substr(0, equals)));
        std::string value;
        if (equals != std::string::npos)
            value = text.substr(equals + 1);
        else if (flag->IsOfType<bool>())
            value = "true";
        else if (next_ < arguments_.size())
            value = arguments_[next_++];
        else
            return absl::InvalidArgumentError(fmt::format("option --{} needs a value", text));
        std::string error;
        if (!flag->ParseFrom(value, &error))
            return absl::InvalidArgumentError(fmt::format("option --{}: {}", text, error));
        return absl::OkStatus();
    }

    const std::vector<std::string>& arguments_;
    std::size_t next_ = 0;
};

absl::Status readToken(Options& options)
{
    const std::string path = absl::GetFlag(FLAGS_token_file);
    if (path.empty()) {
        if (const char* variable = std::getenv("LYCHEE_OPERATOR_TOKEN"))
            options.token = variable;
    } else {
        std::error_code error;
        std::ifstream file;
        if (std::filesystem::is_regular_file(path, error))
            file.open(path, std::ios::binary);
        if (!file.is_open())
            return absl::InvalidArgumentError(fmt::format("cannot read the token file {}", path));
        options.token.resize(maxTokenBytes);
        file.read(options.token.data(), maxTokenBytes);
        options.token.resize(static_cast<std::size_t>(file.gcount()));
    }
    absl::StripAsciiWhitespace(&options.token);
    // A control character, such as a line break, could add header fields to the request.
    const bool visible
        = std::all_of(options.token.begin(), options.token.end(), [](char c) { return c > ' ' && c <= '~'; });
    return visible
        ? absl::OkStatus()
        : absl::InvalidArgumentError("the operators' token must consist of visible ASCII characters without blanks");
}

absl::Status readTypedFlags(Options& options)
{
    options.json = absl::GetFlag(FLAGS_json);
    if (const std::string text = absl::GetFlag(FLAGS_instance); !text.empty()) {
        options.instance = Endpoint::parse(text);
        if (!options.instance || options.instance->port == 0)
            return absl::InvalidArgumentError("--instance must be a numeric ADDRESS:PORT");
    }
    if (const std::string text = absl::GetFlag(FLAGS_base_version); !text.empty()) {
        std::uint64_t version = 0;
        if (!absl::SimpleAtoi(text, &version))
            return absl::InvalidArgumentError("--base-version must be a whole number");
        options.baseVersion = version;
    }
    return readToken(options);
}

constexpr std::string_view help = R"(lycheectl: the operators' tool of lycheecourse

Usage: lycheectl COMMAND [OPTIONS]

Commands
  answers check FILE     check a file of answers and list every error
  answers plan FILE      show what would change, and whether everything fits
  answers explain FILE   show from which answer each generated value comes
  answers submit FILE    put answers into force everywhere
  answers show           print the answers in force, to be edited and submitted
  status                 show instances, targets, models and adapters
  config show            show the configuration in force
  config history         list the accepted configurations
  request TEAM KEY       show the state of an idempotency key
  drain                  let the instance finish its requests and stop
  questionnaire [FILE]   ask for the answers and write FILE (default answers.ini);
                         stop with Ctrl-D and start again to continue

Options
  --instance ADDRESS:PORT  operator address of any instance
  --token-file FILE        file with the operators' token
                           (default: environment LYCHEE_OPERATOR_TOKEN)
  --base-version N         version that the submitted answers are based on (default: the
                           version noted in FILE by "answers show", else the one in force)
  --json                   print JSON instead of tables
  --help                   print this text

Exit codes
  0  done
  1  refused or failed
  2  wrong usage or invalid input
  3  the instance is unreachable
  4  another operator's change was accepted first; the difference is printed

Examples
  lycheectl answers check examples/cwmtaf.ini
  lycheectl answers show --instance 127.0.0.1:8081 --token-file token > answers.ini
  lycheectl answers plan answers.ini --instance 127.0.0.1:8081 --token-file token
  lycheectl answers submit answers.ini --instance 127.0.0.1:8081 --token-file token
  lycheectl request bookings order-4711 --instance 127.0.0.1:8081 --token-file token
)";

} // namespace

absl::StatusOr<Options> parseOptions(const std::vector<std::string>& arguments)
{
    Options options;
    if (const absl::Status status = ArgumentReader(arguments).read(options); !status.ok())
        return status;
    if (options.help)
        return options;
    if (const absl::Status status = readTypedFlags(options); !status.ok())
        return status;
    return options;
}

std::string helpText() { return std::string(help); }

} // namespace lychee
