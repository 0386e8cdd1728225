// Log channels: one fixed prefix for each part, one line of key=value pairs for each event, written to standard output
// by a thread of its own. Callers never block; when the queue is full the oldest lines are dropped.
#pragma once

#include <fmt/format.h>

#include <string_view>

namespace lychee {

enum class LogLevel {
    Debug,
    Info,
    Warning,
    Error,
};

// Sets the lowest level that is written. Thread-safe.
void setLogLevel(LogLevel level);

// The lowest level that is written.
LogLevel logLevel();

// Parses "debug", "info", "warning" or "error". Returns false on anything else.
bool parseLogLevel(std::string_view text, LogLevel& level);

// Lines that were dropped because the queue was full.
std::size_t droppedLogLines();

// Waits, for a bounded time, until the queued lines are written. For the end of the process.
void flushLog();

// A named source of log lines. Declare one at the top of each part's source file.
class LogChannel {
public:
    constexpr explicit LogChannel(std::string_view prefix)
        : prefix_(prefix)
    {
    }

    template <typename... Arguments> void debug(fmt::format_string<Arguments...> format, Arguments&&... arguments) const
    {
        log(LogLevel::Debug, format, fmt::make_format_args(arguments...));
    }

    template <typename... Arguments> void info(fmt::format_string<Arguments...> format, Arguments&&... arguments) const
    {
        log(LogLevel::Info, format, fmt::make_format_args(arguments...));
    }

    template <typename... Arguments>
    void warning(fmt::format_string<Arguments...> format, Arguments&&... arguments) const
    {
        log(LogLevel::Warning, format, fmt::make_format_args(arguments...));
    }

    template <typename... Arguments> void error(fmt::format_string<Arguments...> format, Arguments&&... arguments) const
    {
        log(LogLevel::Error, format, fmt::make_format_args(arguments...));
    }

private:
    void log(LogLevel level, fmt::string_view format, fmt::format_args arguments) const;

    std::string_view prefix_;
};

} // namespace lychee
