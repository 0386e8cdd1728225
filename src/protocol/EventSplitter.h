// Cuts a stream of events at the ends of events, so that a stream can be continued elsewhere without loss or repeat.
#pragma once

#include <cstdint>
#include <optional>
#include <string>
#include <string_view>

namespace lychee {

class EventSplitter {
public:
    // Adds bytes of the stream. Returns the bytes up to the end of the last complete event, unchanged.
    std::string feed(std::string_view piece);

    // Bytes after the last complete event.
    const std::string& rest() const { return pending_; }

    // Drops the bytes after the last complete event.
    void dropRest() { pending_.clear(); }

    // Id of the last complete event that has one.
    std::optional<std::uint64_t> lastEventId() const { return lastEventId_; }

private:
    void readIds(std::string_view events);

    std::string pending_;
    std::optional<std::uint64_t> lastEventId_;
};

} // namespace lychee
