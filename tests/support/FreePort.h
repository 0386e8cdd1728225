// Ports for processes that tests start.
#pragma once

#include <cstdint>

namespace lychee::test {

// A port of the loopback address on which nothing listens now. It lies below the range from which the system takes the
// ports of outgoing connections, so no connection takes it before its process binds it, or while that restarts. Other
// tests do not get the same port while this process runs. Throws std::runtime_error when there is none.
std::uint16_t freePort();

} // namespace lychee::test
