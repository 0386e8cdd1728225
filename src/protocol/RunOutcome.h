// What an answer says about the execution of its request (header Lychee-Run).
#pragma once

#include <string_view>

namespace lychee {

// What is known about the execution of a request.
enum class RunOutcome {
    Yes,
    No,
    Unknown,
};

// The value of the header Lychee-Run.
constexpr std::string_view runOutcomeText(RunOutcome run)
{
    switch (run) {
    case RunOutcome::Yes:
        return "yes";
    case RunOutcome::No:
        return "no";
    case RunOutcome::Unknown:
        return "unknown";
    }
    return "unknown";
}

} // namespace lychee
