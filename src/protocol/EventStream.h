// Server-sent events, as engines and callers exchange them.
#pragma once

#include <absl/status/statusor.h>

#include <cstdint>
#include <string>
#include <string_view>
#include <vector>

namespace lychee {

// Data of the event that ends a complete stream.
inline constexpr std::string_view streamEndMarker = "[DONE]";

struct ServerEvent {
    // The number of the token; 0 when the event has no id.
    std::uint64_t id = 0;
    std::string data;

    bool isEndMarker() const { return data == streamEndMarker; }
};

// Splits a body that arrives in pieces into events.
class EventStreamParser {
public:
    // Longest accepted event, in bytes.
    static constexpr std::size_t maxEventBytes = std::size_t{256} * 1024;

    // Adds a piece and returns the events that it completes. Fails with ProtocolError::TooLarge or Malformed.
    absl::StatusOr<std::vector<ServerEvent>> feed(std::string_view piece);

private:
    absl::Status parseLine(std::string_view line, std::vector<ServerEvent>& events);

    std::string pending_;
    ServerEvent event_;
    bool hasData_ = false;
};

// Writes one event.
std::string formatEvent(const ServerEvent& event);

} // namespace lychee
