// Exit codes of lycheectl, as documented by --help.
#pragma once

namespace lychee {

enum class ExitCode {
    Ok = 0,
    // The instance rejected the request, or the command failed.
    Failed = 1,
    // Wrong usage or invalid input.
    Usage = 2,
    // The instance could not be reached, or sent no complete response.
    Unreachable = 3,
    // The configuration has changed since the base version of the submitted answers.
    VersionConflict = 4,
};

} // namespace lychee
