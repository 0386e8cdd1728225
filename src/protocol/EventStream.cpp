#include "protocol/EventStream.h"

#include "protocol/ProtocolError.h"

#include <charconv>

namespace lychee {

absl::StatusOr<std::vector<ServerEvent>> EventStreamParser::feed(std::string_view piece)
{
    pending_ += piece;
    std::vector<ServerEvent> events;
    std::size_t start = 0;
    while (true) {
        const std::size_t end = pending_.find('\n', start);
        if (end == std::string::npos)
            break;
        std::string_view line = std::string_view(pending_).substr(start, end - start);
        if (!line.empty() && line.back() == '\r')
            line.remove_suffix(1);
        const absl::Status status = parseLine(line, events);
        if (!status.ok())
            return status;
        start = end + 1;
    }
    pending_.erase(0, start);
    if (pending_.size() + event_.data.size() > maxEventBytes)
        return makeError(ProtocolError::TooLarge, "event");
    return events;
}

absl::Status EventStreamParser::parseLine(std::string_view line, std::vector<ServerEvent>& events)
{
    if (line.empty()) {
        if (hasData_)
            events.push_back(std::move(event_));
        event_ = {};
        hasData_ = false;
        return absl::OkStatus();
    }
    const std::size_t colon = line.find(':');
    const std::string_view field = line.substr(0, colon);
    std::string_view value = colon == std::string_view::npos ? std::string_view() : line.substr(colon + 1);
    if (!value.empty() && value.front() == ' ')
        value.remove_prefix(1);
    if (field == "data") {
        if (hasData_)
            event_.data += '\n';
        event_.data += value;
        hasData_ = true;
    } else if (field == "id") {
        const auto result = std::from_chars(value.data(), value.data() + value.size(), event_.id);
        if (result.ec != std::errc() || result.ptr != value.data() + value.size())
            return makeError(ProtocolError::Malformed, "event id is not a number");
    }
    return absl::OkStatus();
}

std::string formatEvent(const ServerEvent& event)
{
    if (event.id == 0)
        return fmt::format("data: {}\n\n", event.data);
    return fmt::format("id: {}\ndata: {}\n\n", event.id, event.data);
}

} // namespace lychee
