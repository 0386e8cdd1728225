// HTTP client for the operator interface of an instance.
#pragma once

#include "transport/HttpMessage.h"

#include <absl/status/statusor.h>

#include <chrono>
#include <string>

namespace lychee {

// Sends blocking requests, each over a new connection.
class OperatorClient {
public:
    // Timeout of a whole call, from connecting to the end of the response. A change is in force on all instances within
    // 5 s, and accepting it takes less time than that.
    static constexpr std::chrono::seconds callTimeout{15};

    OperatorClient(Endpoint instance, std::string token);

    // Sends one request and returns the response, whatever its status code. Fails with a TransportError when there is
    // no complete response.
    absl::StatusOr<HttpResponse> call(const std::string& method, const std::string& target, const std::string& body);

private:
    Endpoint instance_;
    std::string token_;
};

// Percent-encodes a text as one segment of a URL path.
std::string encodePathSegment(std::string_view text);

} // namespace lychee
