#include "protocol/EventSplitter.h"

#include <algorithm>
#include <charconv>

namespace lychee {

namespace {

// Length of the longest line ends that close an event.
constexpr std::size_t maxEventEndBytes = 3;

// Position after the last empty line; zero when there is none. Lines end with LF or CR LF.
std::size_t endOfLastEvent(std::string_view text)
{
    const std::size_t plain = text.rfind("\n\n");
    const std::size_t withReturn = text.rfind("\n\r\n");
    const std::size_t afterPlain = plain == std::string_view::npos ? 0 : plain + 2;
    const std::size_t afterReturn = withReturn == std::string_view::npos ? 0 : withReturn + 3;
    return std::max(afterPlain, afterReturn);
}

} // namespace

std::string EventSplitter::feed(std::string_view piece)
{
    // The rest of earlier pieces has no end of an event, except for one that the new piece completes.
    const std::size_t from = pending_.size() - std::min(pending_.size(), maxEventEndBytes);
    pending_ += piece;
    const std::size_t endInPiece = endOfLastEvent(std::string_view(pending_).substr(from));
    const std::size_t end = endInPiece == 0 ? 0 : from + endInPiece;
    std::string events = pending_.substr(0, end);
    pending_.erase(0, end);
    readIds(events);
    return events;
}

void EventSplitter::readIds(std::string_view events)
{
    constexpr std::string_view field = "id:";
    while (!events.empty()) {
        std::string_view line = events.substr(0, events.find('\n'));
        events.remove_prefix(std::min(events.size(), line.size() + 1));
        if (line.substr(0, field.size()) != field)
            continue;
        line.remove_prefix(field.size());
        if (!line.empty() && line.front() == ' ')
            line.remove_prefix(1);
        std::uint64_t id = 0;
        if (std::from_chars(line.data(), line.data() + line.size(), id).ec == std::errc())
            lastEventId_ = id;
    }
}

} // namespace lychee
