#include "transport/Log.h"

#include "transport/RuntimeClock.h"

#include <spdlog/async.h>
#include <spdlog/sinks/base_sink.h>

#include <array>
#include <atomic>
#include <cstdio>

namespace lychee {

namespace {

// Lines that may wait for the output; above this the oldest are dropped and counted, so that logging never blocks.
constexpr std::size_t queuedLines = 8192;

std::atomic<LogLevel> lowestLevel{LogLevel::Info};

constexpr std::array<std::string_view, 4> levelNames{"debug", "info", "warning", "error"};

// Writes lines to standard output and counts those that were written to the end.
class CountingSink : public spdlog::sinks::base_sink<std::mutex> {
public:
    std::size_t written() const { return written_.load(std::memory_order_acquire); }

protected:
    void sink_it_(const spdlog::details::log_msg& message) override
    {
        spdlog::memory_buf_t line;
        formatter_->format(message, line);
        std::fwrite(line.data(), 1, line.size(), stdout);
        // A pipe is written to in blocks otherwise, and the lines before a crash would be lost.
        std::fflush(stdout);
        written_.fetch_add(1, std::memory_order_release);
    }

    void flush_() override { std::fflush(stdout); }

private:
    std::atomic<std::size_t> written_{0};
};

// The thread that writes the lines and the queue in front of it.
struct Writer {
    std::shared_ptr<spdlog::details::thread_pool> pool = std::make_shared<spdlog::details::thread_pool>(queuedLines, 1);
    std::shared_ptr<CountingSink> sink = std::make_shared<CountingSink>();
    std::shared_ptr<spdlog::async_logger> logger
        = std::make_shared<spdlog::async_logger>("lychee", sink, pool, spdlog::async_overflow_policy::overrun_oldest);
    std::atomic<std::size_t> submitted{0};

    Writer() { logger->set_pattern("%v"); }
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
    const std::size_t submitted = writer().submitted.load();
    // An empty queue is not enough: the writer thread takes a line out of the queue before it writes it.
    while (writer().sink->written() + droppedLogLines() < submitted && std::chrono::steady_clock::now() < end)
        std::this_thread::sleep_for(std::chrono::milliseconds(1));
}

void LogChannel::log(LogLevel level, fmt::string_view format, fmt::format_args arguments) const
{
    if (level < logLevel())
        return;
    const std::int64_t now = wallClockMilliseconds();
    std::string line = fmt::format(
        "ts={}.{:03} level={} part={} ", now / 1000, now % 1000, levelNames[static_cast<std::size_t>(level)], prefix_);
    line += fmt::vformat(format, arguments);
    writer().submitted.fetch_add(1);
    writer().logger->log(spdlog::level::info, line);
}

} // namespace lychee
