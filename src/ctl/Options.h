// Parses the command line of lycheectl.
#pragma once

#include "transport/HttpMessage.h"

#include <absl/status/statusor.h>

#include <optional>
#include <string>
#include <vector>

namespace lychee {

struct Options {
    // The command and its arguments.
    std::vector<std::string> positionals;
    std::optional<Endpoint> instance;
    // Bearer token of the operator interface; never printed.
    std::string token;
    std::optional<std::uint64_t> baseVersion;
    bool json = false;
    bool help = false;
};

// Parses the arguments after the program's name. Fails with InvalidArgument and a message for the user.
absl::StatusOr<Options> parseOptions(const std::vector<std::string>& arguments);

// The text of --help.
std::string helpText();

} // namespace lychee
