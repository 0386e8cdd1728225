// Implements the commands of lycheectl.
#pragma once

#include "ctl/ExitCode.h"
#include "ctl/OperatorClient.h"
#include "ctl/Options.h"
#include "state/Answers.h"
#include "state/Configuration.h"

#include <absl/status/statusor.h>

#include <optional>
#include <string>

namespace lychee {

// Runs one command; results go to standard output, errors to standard error.
class Commands {
public:
    explicit Commands(Options options)
        : options_(std::move(options))
    {
    }

    ExitCode run();

private:
    ExitCode runAnswers();

    ExitCode runConfig();

    ExitCode checkAnswers();

    ExitCode planAnswers();

    ExitCode explainAnswers();

    ExitCode submitAnswers();

    ExitCode showAnswers();

    ExitCode showConfiguration();

    // Sends a request to the instance and prints the response as a report; with --json, prints the body unchanged.
    ExitCode showReport(
        const std::string& method, const std::string& target, std::string (*report)(const nlohmann::json&));

    ExitCode runQuestionnaire();

    // Reads and validates a file of answers. Prints every error and returns std::nullopt when there is one.
    std::optional<Answers> readAnswers(const std::string& path);

    // Sends a request to the instance. Returns std::nullopt and sets `code` when the instance or the token is not given
    // (Usage), or when there is no complete response (Unreachable).
    std::optional<HttpResponse> call(
        const std::string& method, const std::string& target, const std::string& body, ExitCode& code);

    // The configuration in force. std::nullopt with `code` unchanged means that there is none yet; on failure, `code`
    // is set to the exit code.
    std::optional<Configuration> fetchConfiguration(ExitCode& code);

    // Prints an error response and returns the exit code for it.
    ExitCode reportRejection(const HttpResponse& response) const;

    ExitCode reportUsageError(const std::string& message) const;

    Options options_;
};

} // namespace lychee
