#include "transport/Log.h"

#include <gtest/gtest.h>

#include <array>
#include <fcntl.h>
#include <thread>
#include <unistd.h>

namespace lychee {
namespace {

using namespace std::chrono_literals;

constexpr LogChannel testLog("test");

constexpr int pipeBytes = 4096;

// Makes reads or writes of a descriptor return at once for the lifetime of the object.
class NonBlocking {
public:
    explicit NonBlocking(int descriptor)
        : descriptor_(descriptor)
        , flags_(fcntl(descriptor, F_GETFL))
    {
        fcntl(descriptor_, F_SETFL, flags_ | O_NONBLOCK);
    }

    ~NonBlocking() { fcntl(descriptor_, F_SETFL, flags_); }

    NonBlocking(const NonBlocking&) = delete;
    NonBlocking& operator=(const NonBlocking&) = delete;

private:
    int descriptor_;
    int flags_;
};

// Replaces standard output by a pipe with the smallest possible buffer for the lifetime of the object.
class CapturedOutput {
public:
    CapturedOutput()
        : saved_(dup(STDOUT_FILENO))
    {
        EXPECT_EQ(pipe(ends_.data()), 0);
        EXPECT_GT(fcntl(ends_[1], F_SETPIPE_SZ, pipeBytes), 0);
        EXPECT_GE(dup2(ends_[1], STDOUT_FILENO), 0);
    }

    ~CapturedOutput()
    {
        dup2(saved_, STDOUT_FILENO);
        for (const int descriptor : {saved_, ends_[0], ends_[1]})
            close(descriptor);
    }

    CapturedOutput(const CapturedOutput&) = delete;
    CapturedOutput& operator=(const CapturedOutput&) = delete;

    // Fills the buffer of the pipe, so that the next write blocks until something is read. Returns the bytes in it.
    std::size_t fill()
    {
        const NonBlocking guard(ends_[1]);
        std::size_t count = 0;
        while (write(ends_[1], ".", 1) == 1)
            ++count;
        return count;
    }

    // Reads at most `limit` bytes of what is in the pipe, without waiting for more.
    std::string readAvailable(std::size_t limit)
    {
        const NonBlocking guard(ends_[0]);
        std::string text(limit, '\0');
        text.resize(static_cast<std::size_t>(std::max<ssize_t>(0, read(ends_[0], text.data(), limit))));
        return text;
    }

private:
    int saved_;
    std::array<int, 2> ends_{};
};

// Guards against a process that exits before its last line is written: the writer thread takes a line out of the queue
// before it writes it, so an empty queue does not show that the line was written.
TEST(Log, FlushWaitsForTheLineThatIsBeingWritten)
{
    CapturedOutput output;
    const std::size_t filled = output.fill();
    testLog.info("the last line");
    // The writer thread now blocks in its write.
    std::this_thread::sleep_for(20ms);
    std::thread reader([&] {
        std::this_thread::sleep_for(50ms);
        output.readAvailable(filled);
    });
    flushLog();
    const bool complete = output.readAvailable(pipeBytes).find("the last line") != std::string::npos;
    reader.join();
    EXPECT_TRUE(complete);
}

} // namespace
} // namespace lychee
