// Names of the HTTP headers that the system reads and writes.
#pragma once

#include <string_view>

namespace lychee::header {

inline constexpr const char* requestId = "Lychee-Request-Id";
inline constexpr const char* run = "Lychee-Run";
inline constexpr const char* retryAfter = "Retry-After";
inline constexpr const char* authorization = "Authorization";
inline constexpr const char* contentType = "Content-Type";
inline constexpr const char* idempotencyKey = "Idempotency-Key";
// How long the caller waits for the whole answer, in milliseconds.
inline constexpr const char* patience = "Lychee-Patience-Ms";
inline constexpr const char* callerClass = "Lychee-Class";
inline constexpr const char* attempt = "Lychee-Attempt";
inline constexpr const char* priority = "Lychee-Priority";
// The last token that was received before a stream broke.
inline constexpr const char* resumeAfter = "Lychee-Resume-After";

} // namespace lychee::header
