// Timers of one duty on the runtime clock.
#pragma once

#include "transport/RuntimeClock.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/steady_timer.hpp>

#include <cstdint>
#include <functional>
#include <map>
#include <memory>

namespace lychee {

// Names a scheduled callback; zero names none.
enum class TimerId : std::uint64_t { None = 0 };

// Runs callbacks on the duty's thread once the runtime clock reaches their time. Not thread-safe, apart from the
// reaction to jumps of the clock.
class Timers {
public:
    Timers(boost::asio::io_context& io, std::shared_ptr<RuntimeClock> clock);
    ~Timers();

    Timers(const Timers&) = delete;
    Timers& operator=(const Timers&) = delete;

    TimePoint now() const { return clock_->now(); }

    // Schedules `callback`; it must not suspend a fiber.
    TimerId at(TimePoint due, std::function<void()> callback);

    // Drops a callback that has not run yet.
    void cancel(TimerId id);

    // Number of callbacks that have not run yet.
    std::size_t pending() const { return callbacks_.size(); }

    // Runs every callback now, as if its time had come; used to end waiting fibers when the duty stops.
    void expireAll();

private:
    using Key = std::pair<TimePoint, std::uint64_t>;

    void arm();
    void runDue();
    void runFirst();

    boost::asio::io_context& io_;
    std::shared_ptr<RuntimeClock> clock_;
    boost::asio::steady_timer systemTimer_;
    TimePoint armedFor_ = TimePoint::max();
    std::uint64_t nextId_ = 1;
    std::map<Key, std::function<void()>> callbacks_;
    std::map<std::uint64_t, TimePoint> dueById_;
    RuntimeClock::ListenerId listener_ = 0;
    std::shared_ptr<bool> alive_ = std::make_shared<bool>(true);
};

} // namespace lychee
