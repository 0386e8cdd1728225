// The written form of the heads of HTTP messages.
#pragma once

#include "transport/HttpMessage.h"

#include <cstddef>

namespace lychee {

// The end of a body, as its head says it.
enum class BodyFraming { None, Length, Chunks };

// The head of a request with a body of the size that it has. The length and the encoding of the body are not taken from
// its headers.
std::string requestHead(const HttpRequest& request, const Endpoint& endpoint);

// The head of an answer. Whether the connection is kept, and the length and the encoding of the body, are not taken
// from `headers`.
std::string responseHead(
    int status, const HttpHeaders& headers, bool keepAlive, BodyFraming framing, std::size_t bodyBytes);

// Whether an answer with this status can have a body.
bool mayHaveBody(int status);

} // namespace lychee
