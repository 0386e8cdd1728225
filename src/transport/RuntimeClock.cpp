#include "transport/RuntimeClock.h"

#include <ctime>

namespace lychee {

namespace {

Duration readClock(clockid_t id)
{
    timespec time{};
    clock_gettime(id, &time);
    return std::chrono::seconds(time.tv_sec) + std::chrono::nanoseconds(time.tv_nsec);
}

// How far the clock that counts suspension of the machine is ahead of the steady clock.
Duration suspensionLead() { return readClock(CLOCK_BOOTTIME) - readClock(CLOCK_MONOTONIC); }

} // namespace

std::shared_ptr<RuntimeClock> RuntimeClock::createRunning()
{
    std::shared_ptr<RuntimeClock> clock(new RuntimeClock);
    clock->resumedAt_ = std::chrono::steady_clock::now();
    clock->initialLead_ = suspensionLead();
    return clock;
}

std::shared_ptr<RuntimeClock> RuntimeClock::createPaused()
{
    std::shared_ptr<RuntimeClock> clock(new RuntimeClock);
    clock->paused_ = true;
    return clock;
}

TimePoint RuntimeClock::now() const
{
    std::scoped_lock lock(mutex_);
    if (paused_)
        return TimePoint(elapsed_);
    return TimePoint(elapsed_ + (std::chrono::steady_clock::now() - resumedAt_));
}

Duration RuntimeClock::suspended() const
{
    std::scoped_lock lock(mutex_);
    if (paused_)
        return playedSuspension_;
    return playedSuspension_ + suspensionLead() - initialLead_;
}

void RuntimeClock::addSuspension(Duration duration)
{
    std::scoped_lock lock(mutex_);
    playedSuspension_ += duration;
}

bool RuntimeClock::isPaused() const
{
    std::scoped_lock lock(mutex_);
    return paused_;
}

void RuntimeClock::pause()
{
    {
        std::scoped_lock lock(mutex_);
        if (paused_)
            return;
        elapsed_ += std::chrono::steady_clock::now() - resumedAt_;
        paused_ = true;
    }
    notifyListeners();
}

void RuntimeClock::resume()
{
    {
        std::scoped_lock lock(mutex_);
        if (!paused_)
            return;
        resumedAt_ = std::chrono::steady_clock::now();
        paused_ = false;
    }
    notifyListeners();
}

void RuntimeClock::advance(Duration step)
{
    {
        std::scoped_lock lock(mutex_);
        elapsed_ += step;
    }
    notifyListeners();
}

RuntimeClock::ListenerId RuntimeClock::addListener(std::function<void()> listener)
{
    std::scoped_lock lock(listenersMutex_);
    const ListenerId id = nextListener_++;
    listeners_.emplace(id, std::move(listener));
    return id;
}

void RuntimeClock::removeListener(ListenerId id)
{
    std::scoped_lock lock(listenersMutex_);
    listeners_.erase(id);
}

void RuntimeClock::notifyListeners()
{
    std::scoped_lock lock(listenersMutex_);
    for (const auto& [id, listener] : listeners_)
        listener();
}

std::int64_t wallClockMilliseconds()
{
    const auto sinceEpoch = std::chrono::system_clock::now().time_since_epoch();
    return std::chrono::duration_cast<std::chrono::milliseconds>(sinceEpoch).count();
}

} // namespace lychee
