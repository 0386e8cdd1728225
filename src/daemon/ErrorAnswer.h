// Error answers to callers and operators.
#pragma once

#include "protocol/RunOutcome.h"
#include "transport/HttpMessage.h"

#include <chrono>
#include <optional>
#include <string_view>

namespace lychee {

// An error that this instance answers with, instead of an answer of a target.
struct ErrorAnswer {
    int status = 500;
    // A fixed code that programs can match.
    std::string_view code;
    // An explanation for people.
    std::string message;
    RunOutcome run = RunOutcome::No;
    std::optional<std::chrono::seconds> retryAfter;
};

// Encodes the error as JSON, with the headers Lychee-Run and, if set, Retry-After.
HttpResponse toResponse(const ErrorAnswer& error);

// Builds a response whose body is `document`.
HttpResponse jsonResponse(int status, const nlohmann::json& document);

} // namespace lychee
