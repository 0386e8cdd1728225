// Boost.Fiber scheduling algorithm of a duty: a plain ready queue, driven by the thread that runs the io_context.
#pragma once

#include <boost/fiber/algo/algorithm.hpp>
#include <boost/fiber/context.hpp>
#include <boost/fiber/scheduler.hpp>

#include <chrono>
#include <cstddef>

namespace lychee {

// Keeps ready fibers in arrival order and counts them, so that the thread's main fiber knows whether it may block
// on I/O. Fibers wait only through FiberEvent; the timed waits of Boost.Fiber are not supported, because the thread
// sleeps in the io_context.
class FiberScheduler final : public boost::fibers::algo::algorithm {
public:
    explicit FiberScheduler(std::size_t* readyCount)
        : readyCount_(readyCount)
    {
    }

    void awakened(boost::fibers::context* fiber) noexcept override;

    boost::fibers::context* pick_next() noexcept override;

    bool has_ready_fibers() const noexcept override;

    void suspend_until(const std::chrono::steady_clock::time_point&) noexcept override { }

    void notify() noexcept override { }

private:
    boost::fibers::scheduler::ready_queue_type queue_;
    std::size_t* readyCount_;
};

} // namespace lychee
