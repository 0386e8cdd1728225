#include "transport/Log.h"

#include "transport/RuntimeClock.h"

#include <spdlog/async.h>
#include <spdlog/sinks/stdout_sinks.h>

#include <array>
#include <atomic>

namespace lychee {

namespace {

// Lines that may wait for the output; above this the oldest are dropped and counted, so that logging never blocks.
constexpr std::size_t queuedLines = 8192;

std::atomic<LogLevel> lowestLevel{LogLevel::Info};

constexpr std::array<std::string_view, 4> levelNames{"debug", "info", "warning", "error"};

// The thread that writes the lines and the queue in front of it.
struct Writer {
    std::shared_ptr<spdlog::details::thread_pool> pool = std::make_shared<spdlog::details::thread_pool>(queuedLines, 1);
    std::shared_ptr<spdlog::async_logger> logger = std::make_shared<spdlog::async_logger>("lychee",
        std::make_shared<spdlog::sinks::stdout_sink_mt>(), pool, spdlog::async_overflow_policy::overrun_oldest);

    Writer()
    {
        logger->set_pattern("%v");
        // A pipe is written to in blocks otherwise, and the lines before a crash would be lost.
        logger->flush_on(spdlog::level::info);
    }
};

// Never destroyed, because threads may log until the process ends.
Writer& writer()
{
    static auto* const instance = new Writer;
    return *instance;
}

} // namespace

void setLogLevel(LogLevel level) { lowestLevel.store(level, std::memory_order_relaxed); }

LogLevel logLevel() { return lowestLevel.load(std::memory_order_relaxed); }

bool parseLogLevel(std::string_view text, LogLevel& level)
{
    for (std::size_t i = 0; i < levelNames.size(); ++i) {
        if (levelNames[i] != text)
            continue;
        level = static_cast<LogLevel>(i);
        return true;
    }
    return false;
}

std::size_t droppedLogLines() { return writer().pool->overrun_counter(); }

void flushLog()
{
    constexpr auto limit = std::chrono::milliseconds(200);
    const auto end = std::chrono::steady_clock::now() + limit;
    while (writer().pool->queue_size() > 0 && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
    writer().logger->flush();
}

void LogChannel::log(LogLevel level, fmt::string_view format, fmt::format_args arguments) const
{
    if (level < logLevel())
        return;
    const std::int64_t now = wallClockMilliseconds();
    std::string line = fmt::format(
        "ts={}.{:03} level={} part={} ", now / 1000, now % 1000, levelNames[static_cast<std::size_t>(level)], prefix_);
    line += fmt::vformat(format, arguments);
    writer().logger->log(spdlog::level::info, line);
}

} // namespace lychee
