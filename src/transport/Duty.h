// A thread with one duty: its io_context, its timers and its fibers.
#pragma once

#include "transport/RuntimeClock.h"
#include "transport/Timers.h"

#include <boost/asio/executor_work_guard.hpp>
#include <boost/asio/io_context.hpp>

#include <absl/status/statusor.h>

#include <atomic>
#include <functional>
#include <memory>
#include <string>
#include <thread>

namespace lychee {

// Runs fibers over an io_context on a thread of its own.
class Duty {
public:
    // Starts the thread. `name` names it (15 characters at most are visible to the system).
    static absl::StatusOr<std::unique_ptr<Duty>> start(std::string name, std::shared_ptr<RuntimeClock> clock);

    // Stops the thread. All timed waits end at once; servers, clients and rings must have been closed, because every
    // fiber has to end before the thread can.
    ~Duty();

    Duty(const Duty&) = delete;
    Duty& operator=(const Duty&) = delete;

    const std::string& name() const { return name_; }

    boost::asio::io_context& io() { return io_; }

    // Timers of this duty; only for code that runs on it.
    Timers& timers() { return *timers_; }

    const std::shared_ptr<RuntimeClock>& clock() const { return clock_; }

    // Starts a fiber on this duty. Thread-safe.
    void spawn(std::function<void()> body);

    // Runs `body` in a fiber on this duty and blocks the calling thread until it ends. Not for the duty's own thread.
    void run(std::function<void()> body);

    // Number of fibers started by spawn() that have not ended. Thread-safe.
    std::size_t fiberCount() const { return fibers_.load(); }

    // Whether the duty is being stopped; loops that sleep end when it is.
    bool isStopping() const { return stopping_.load(); }

    // The duty of the calling thread, or null.
    static Duty* current();

private:
    Duty(std::string name, std::shared_ptr<RuntimeClock> clock);

    void threadMain();
    void launch(std::function<void()> body);
    void drainFibers();

    std::string name_;
    std::shared_ptr<RuntimeClock> clock_;
    boost::asio::io_context io_;
    boost::asio::executor_work_guard<boost::asio::io_context::executor_type> work_;
    std::unique_ptr<Timers> timers_;
    std::size_t readyFibers_ = 0;
    std::atomic<std::size_t> fibers_{0};
    std::atomic<bool> stopping_{false};
    std::thread thread_;
};

// Suspends the calling fiber for `duration` on the runtime clock.
void sleepFor(Duration duration);

// Time of the calling duty's clock.
TimePoint currentTime();

} // namespace lychee
