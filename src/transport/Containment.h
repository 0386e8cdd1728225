// The boundary at which an exception ends the work for one peer in place of the process.
#pragma once

#include <cstdint>
#include <functional>
#include <string_view>

namespace lychee {

// Runs `body`, which works on the input of one peer. Returns false after an exception, which is logged with `doing` and
// counted; the caller then ends the connection or the call, whose state may be incomplete. std::bad_alloc passes:
// memory has run out, or a size was taken from broken state, and either concerns the whole process. Exceptions
// elsewhere, of timers or of loops that serve no peer, end the process too.
[[nodiscard]] bool runContained(std::string_view doing, const std::function<void()>& body);

// Number of exceptions that runContained() has caught in this process. Thread-safe.
std::uint64_t containedExceptions();

} // namespace lychee
