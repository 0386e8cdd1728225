// Short forms of the steps that most process tests share.
#pragma once

#include "tests/support/Standins.h"

#include <thread>

namespace lychee::test {

// The longest wait for a condition that must come true. It bounds failing tests only.
constexpr std::chrono::milliseconds waitLimit{10000};

HttpRequest makeRequest(std::string method, std::string target, std::string body = "", HttpHeaders headers = {});

// Sends a request on a new connection. Throws std::runtime_error when there is no answer.
HttpResponse call(const Standin& standin, const HttpRequest& request);

// The JSON body of the answer. Throws as `call`, and nlohmann::json::exception on another body.
nlohmann::json callJson(const Standin& standin, const HttpRequest& request);

// Polls `condition` until it is true. Returns false after `within`.
template <typename Condition> bool eventually(const Condition& condition, std::chrono::milliseconds within = waitLimit)
{
    const auto deadline = std::chrono::steady_clock::now() + within;
    while (!condition()) {
        if (std::chrono::steady_clock::now() > deadline)
            return false;
        std::this_thread::sleep_for(std::chrono::milliseconds(2));
    }
    return true;
}

} // namespace lychee::test
