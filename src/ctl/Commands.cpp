#include "ctl/Commands.h"

#include "ctl/Questionnaire.h"
#include "ctl/Reports.h"
#include "ctl/Table.h"
#include "state/ConfigurationGenerator.h"

#include <absl/strings/numbers.h>

#include <filesystem>
#include <fstream>
#include <iostream>

namespace lychee {

namespace {

using Json = nlohmann::json;

// Start of the comment line that "answers show" prints above the answers. "answers submit" takes the base version
// from it.
constexpr std::string_view baseVersionPrefix = "; lycheectl base-version ";

bool isSuccess(const HttpResponse& response) { return response.status >= 200 && response.status < 300; }

// Reads at most one byte more than the size limit of answers; the parser rejects a text of that length.
std::optional<std::string> readFile(const std::string& path)
{
    std::error_code error;
    std::ifstream file;
    if (std::filesystem::is_regular_file(path, error))
        file.open(path, std::ios::binary);
    if (!file.is_open())
        return std::nullopt;
    std::string text(Answers::textLimit + 1, '\0');
    file.read(text.data(), static_cast<std::streamsize>(text.size()));
    text.resize(static_cast<std::size_t>(file.gcount()));
    return text;
}

std::optional<std::uint64_t> parseBaseVersion(std::string_view text)
{
    if (!text.starts_with(baseVersionPrefix))
        return std::nullopt;
    text.remove_prefix(baseVersionPrefix.size());
    text = text.substr(0, text.find_first_of("\r\n"));
    std::uint64_t version = 0;
    if (!absl::SimpleAtoi(absl::string_view(text.data(), text.size()), &version))
        return std::nullopt;
    return version;
}

// Removes the comment line with the base version, if there is one.
std::string withoutBaseVersion(const std::string& text)
{
    if (!text.starts_with(baseVersionPrefix))
        return text;
    const std::size_t end = text.find('\n');
    return end == std::string::npos ? "" : text.substr(end + 1);
}

Json fitToJson(const MemoryFit& fit)
{
    return {{"engine_memory_bytes", fit.engineMemory}, {"needed_once_bytes", fit.neededOnce}, {"models", fit.models},
        {"models_twice", fit.modelsTwice}, {"spare_bytes", fit.spare}};
}

std::string fitReport(const MemoryFit& fit)
{
    return fmt::format("everything fits: one copy of {} models with their adapters needs {} of {}; {} models also fit "
                       "twice, then {} are spare\n",
        fit.models, formatSize(fit.neededOnce), formatSize(fit.engineMemory), fit.modelsTwice, formatSize(fit.spare));
}

} // namespace

ExitCode Commands::run()
{
    if (options_.help) {
        std::cout << helpText();
        return ExitCode::Ok;
    }
    if (options_.positionals.empty())
        return reportUsageError("a command is missing");
    const std::string& command = options_.positionals.front();
    const std::size_t count = options_.positionals.size();
    if (command == "answers" && count >= 2)
        return runAnswers();
    if (command == "config" && count == 2)
        return runConfig();
    if (command == "status" && count == 1)
        return showReport("GET", "/operator/v1/status", statusReport);
    if (command == "request" && count == 3) {
        const std::string team = encodePathSegment(options_.positionals[1]);
        return showReport("GET",
            fmt::format("/operator/v1/requests/{}/{}", team, encodePathSegment(options_.positionals[2])),
            requestReport);
    }
    if (command == "drain" && count == 1) {
        return showReport("POST", "/operator/v1/drain",
            [](const Json&) { return std::string("the instance finishes its requests and stops\n"); });
    }
    if (command == "questionnaire" && count <= 2)
        return runQuestionnaire();
    return reportUsageError(
        fmt::format("unknown command or wrong number of arguments: {}", fmt::join(options_.positionals, " ")));
}

ExitCode Commands::runAnswers()
{
    const std::string& command = options_.positionals[1];
    const std::size_t count = options_.positionals.size();
    if (command == "show" && count == 2)
        return showAnswers();
    if (command == "check" && count == 3)
        return checkAnswers();
    if (command == "plan" && count == 3)
        return planAnswers();
    if (command == "explain" && count == 3)
        return explainAnswers();
    if (command == "submit" && count == 3)
        return submitAnswers();
    return reportUsageError(
        fmt::format("unknown command or wrong number of arguments: {}", fmt::join(options_.positionals, " ")));
}

ExitCode Commands::runConfig()
{
    if (options_.positionals[1] == "show")
        return showConfiguration();
    if (options_.positionals[1] == "history")
        return showReport("GET", "/operator/v1/config/history", historyReport);
    return reportUsageError(fmt::format("unknown command: {}", fmt::join(options_.positionals, " ")));
}

ExitCode Commands::checkAnswers()
{
    const auto answers = readAnswers(options_.positionals[2]);
    if (!answers)
        return ExitCode::Usage;
    // The instance checks the answers as well, because it may run another release with different rules.
    if (options_.instance) {
        ExitCode code = ExitCode::Ok;
        const auto response = call("POST", "/operator/v1/answers/check", answers->text(), code);
        if (!response)
            return code;
        if (!isSuccess(*response))
            return reportRejection(*response);
    }
    if (options_.json)
        std::cout << Json{{"errors", Json::array()}, {"fit", fitToJson(answers->fit())}}.dump() << "\n";
    else
        std::cout << fitReport(answers->fit());
    return ExitCode::Ok;
}

ExitCode Commands::planAnswers()
{
    const auto answers = readAnswers(options_.positionals[2]);
    if (!answers)
        return ExitCode::Usage;
    std::optional<Configuration> inForce;
    if (options_.instance) {
        ExitCode code = ExitCode::Ok;
        inForce = fetchConfiguration(code);
        if (code != ExitCode::Ok)
            return code;
    }
    std::vector<std::string> changes;
    if (inForce)
        changes = difference(*inForce, generateConfiguration(*answers, inForce->version.next()));
    if (options_.json) {
        Json json{{"fit", fitToJson(answers->fit())}, {"compared", inForce.has_value()}, {"difference", changes}};
        if (inForce)
            json["base_version"] = inForce->version;
        std::cout << json.dump() << "\n";
        return ExitCode::Ok;
    }
    std::cout << fitReport(answers->fit());
    if (!inForce) {
        std::cout << (options_.instance ? "no configuration is in force yet\n"
                                        : "not compared: give --instance to see what would change\n");
        return ExitCode::Ok;
    }
    std::cout << fmt::format("{} changes against version {}\n", changes.size(), inForce->version);
    for (const std::string& line : changes)
        std::cout << "  " << printable(line) << "\n";
    return ExitCode::Ok;
}

ExitCode Commands::explainAnswers()
{
    const auto answers = readAnswers(options_.positionals[2]);
    if (!answers)
        return ExitCode::Usage;
    Json list = Json::array();
    for (const ValueOrigin& origin : explain(*answers)) {
        if (options_.json) {
            list.push_back({{"path", origin.path}, {"value", origin.value}, {"section", origin.section},
                {"key", origin.key}, {"line", origin.line}});
        } else {
            std::cout << toString(origin) << "\n";
        }
    }
    if (options_.json)
        std::cout << list.dump() << "\n";
    return ExitCode::Ok;
}

ExitCode Commands::submitAnswers()
{
    const auto answers = readAnswers(options_.positionals[2]);
    if (!answers)
        return ExitCode::Usage;
    std::optional<std::uint64_t> base = options_.baseVersion;
    if (!base)
        base = parseBaseVersion(answers->text());
    ExitCode code = ExitCode::Ok;
    if (!base) {
        const auto inForce = fetchConfiguration(code);
        if (code != ExitCode::Ok)
            return code;
        base = inForce ? inForce->version.value() : 0;
    }
    const auto response = call(
        "POST", fmt::format("/operator/v1/answers?base_version={}", *base), withoutBaseVersion(answers->text()), code);
    if (!response)
        return code;
    const Json body = Json::parse(response->body, nullptr, false);
    if (response->status == 409) {
        std::cerr << (options_.json ? response->body + "\n" : conflictReport(body));
        return ExitCode::VersionConflict;
    }
    if (!isSuccess(*response))
        return reportRejection(*response);
    if (options_.json)
        std::cout << response->body << "\n";
    else if (body.is_object() && body.contains("version"))
        std::cout << fmt::format("accepted as version {}\n", body["version"].dump());
    return ExitCode::Ok;
}

ExitCode Commands::showAnswers()
{
    // The configuration holds the answers and their version together, so that the base version printed
    // above the answers always matches them.
    ExitCode code = ExitCode::Ok;
    const auto inForce = fetchConfiguration(code);
    if (code != ExitCode::Ok)
        return code;
    if (!inForce) {
        std::cerr << "lycheectl: no configuration is in force yet\n";
        return ExitCode::Failed;
    }
    if (options_.json)
        std::cout << Json{{"version", inForce->version}, {"answers", inForce->answers}}.dump() << "\n";
    else
        std::cout << baseVersionPrefix << inForce->version << "\n" << inForce->answers;
    return ExitCode::Ok;
}

ExitCode Commands::showConfiguration()
{
    ExitCode code = ExitCode::Ok;
    const auto inForce = fetchConfiguration(code);
    if (code != ExitCode::Ok)
        return code;
    if (!inForce) {
        std::cerr << "lycheectl: no configuration is in force yet\n";
        return ExitCode::Failed;
    }
    std::cout << (options_.json ? encodeConfiguration(*inForce) + "\n" : configurationReport(*inForce));
    return ExitCode::Ok;
}

ExitCode Commands::showReport(
    const std::string& method, const std::string& target, std::string (*report)(const nlohmann::json&))
{
    ExitCode code = ExitCode::Ok;
    const auto response = call(method, target, "", code);
    if (!response)
        return code;
    if (!isSuccess(*response))
        return reportRejection(*response);
    if (options_.json) {
        std::cout << response->body << "\n";
        return ExitCode::Ok;
    }
    std::cout << report(Json::parse(response->body, nullptr, false));
    return ExitCode::Ok;
}

ExitCode Commands::runQuestionnaire()
{
    const std::string path = options_.positionals.size() == 2 ? options_.positionals[1] : "answers.ini";
    return Questionnaire(path, std::cin, std::cout).run();
}

std::optional<Answers> Commands::readAnswers(const std::string& path)
{
    const auto text = readFile(path);
    AnswersResult result;
    if (text)
        result = Answers::parse(*text);
    else
        result.errors.push_back({0, "", "", "must be a readable regular file"});
    if (result.ok())
        return std::move(result.answers);
    if (options_.json) {
        std::cerr << Json{{"errors", result.errors}}.dump(-1, ' ', false, Json::error_handler_t::replace) << "\n";
    } else {
        for (const AnswerError& error : result.errors)
            std::cerr << path << ": " << printable(toString(error)) << "\n";
    }
    return std::nullopt;
}

std::optional<HttpResponse> Commands::call(
    const std::string& method, const std::string& target, const std::string& body, ExitCode& code)
{
    if (!options_.instance || options_.token.empty()) {
        code = reportUsageError(options_.instance ? "the command needs --token-file or LYCHEE_OPERATOR_TOKEN"
                                                  : "the command needs --instance ADDRESS:PORT");
        return std::nullopt;
    }
    auto response = OperatorClient(*options_.instance, options_.token).call(method, target, body);
    if (response.ok())
        return std::move(*response);
    std::cerr << "lycheectl: " << response.status().message() << "\n";
    code = ExitCode::Unreachable;
    return std::nullopt;
}

std::optional<Configuration> Commands::fetchConfiguration(ExitCode& code)
{
    const auto response = call("GET", "/operator/v1/config", "", code);
    if (!response)
        return std::nullopt;
    if (response->status == 404)
        return std::nullopt;
    if (!isSuccess(*response)) {
        code = reportRejection(*response);
        return std::nullopt;
    }
    auto configuration = decodeConfiguration(response->body);
    if (configuration.ok())
        return std::move(*configuration);
    std::cerr << "lycheectl: " << configuration.status().message() << "\n";
    code = ExitCode::Failed;
    return std::nullopt;
}

ExitCode Commands::reportRejection(const HttpResponse& response) const
{
    const Json body = Json::parse(response.body, nullptr, false);
    if (options_.json)
        std::cerr << response.body << "\n";
    else
        std::cerr << fmt::format("lycheectl: the instance rejected the request with status {}\n", response.status)
                  << errorReport(body);
    // Only a rejection that lists errors in the answers counts as invalid input; any other one is a failed command.
    const bool invalidInput = response.status == 400 && body.is_object() && body.contains("errors");
    return invalidInput ? ExitCode::Usage : ExitCode::Failed;
}

ExitCode Commands::reportUsageError(const std::string& message) const
{
    std::cerr << "lycheectl: " << message << "; see lycheectl --help\n";
    return ExitCode::Usage;
}

} // namespace lychee
