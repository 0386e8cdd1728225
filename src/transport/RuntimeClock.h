// The clock of the runtime. Every timeout uses it; tests pause and advance it.
#pragma once

#include <chrono>
#include <cstdint>
#include <functional>
#include <map>
#include <memory>
#include <mutex>

namespace lychee {

using Duration = std::chrono::nanoseconds;

// A clock shared by all duties of a process. Thread-safe.
class RuntimeClock {
public:
    using duration = Duration;
    using rep = duration::rep;
    using period = duration::period;
    using time_point = std::chrono::time_point<RuntimeClock, Duration>;

    using ListenerId = std::uint64_t;

    // Returns a clock that follows the steady clock of the system, starting at zero.
    static std::shared_ptr<RuntimeClock> createRunning();

    // Returns a clock that stands at zero and moves only by advance().
    static std::shared_ptr<RuntimeClock> createPaused();

    // Time since the clock was created, without the periods in which it was paused.
    time_point now() const;

    // Like now(), with the time added during which the machine was suspended. For leases: while a machine is suspended,
    // others go on.
    time_point nowWithSuspension() const { return now() + suspended(); }

    // Lets a test play a suspension of the machine.
    void addSuspension(Duration duration);

    bool isPaused() const;

    void pause();

    void resume();

    // Moves the clock forward and tells every listener.
    void advance(Duration step);

    // Registers a function that is called, on the thread of the caller, when the clock jumps, pauses or resumes.
    ListenerId addListener(std::function<void()> listener);

    void removeListener(ListenerId id);

private:
    RuntimeClock() = default;

    void notifyListeners();

    Duration suspended() const;

    mutable std::mutex mutex_;
    // How far the clock that counts suspension is ahead of the one that does not, when this clock was created.
    Duration initialLead_{0};
    Duration playedSuspension_{0};
    bool paused_ = false;
    std::chrono::steady_clock::time_point resumedAt_;
    Duration elapsed_{0};
    std::mutex listenersMutex_;
    ListenerId nextListener_ = 1;
    std::map<ListenerId, std::function<void()>> listeners_;
};

using TimePoint = RuntimeClock::time_point;

// Milliseconds since the epoch of the system's wall clock, for records that people read.
std::int64_t wallClockMilliseconds();

} // namespace lychee
