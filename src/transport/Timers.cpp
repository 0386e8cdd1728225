#include "transport/Timers.h"

#include <boost/asio/post.hpp>

namespace lychee {

Timers::Timers(boost::asio::io_context& io, std::shared_ptr<RuntimeClock> clock)
    : io_(io)
    , clock_(std::move(clock))
    , systemTimer_(io)
{
    listener_ = clock_->addListener([this] {
        boost::asio::post(io_, [this, alive = std::weak_ptr<bool>(alive_)] {
            if (!alive.lock())
                return;
            armedFor_ = TimePoint::max();
            runDue();
        });
    });
}

Timers::~Timers()
{
    clock_->removeListener(listener_);
    alive_.reset();
}

TimerId Timers::at(TimePoint due, std::function<void()> callback)
{
    const std::uint64_t id = nextId_++;
    callbacks_.emplace(Key{due, id}, std::move(callback));
    dueById_.emplace(id, due);
    arm();
    return static_cast<TimerId>(id);
}

void Timers::cancel(TimerId id)
{
    const auto entry = dueById_.find(static_cast<std::uint64_t>(id));
    if (entry == dueById_.end())
        return;
    callbacks_.erase(Key{entry->second, entry->first});
    dueById_.erase(entry);
}

void Timers::arm()
{
    if (callbacks_.empty() || clock_->isPaused())
        return;
    const TimePoint due = callbacks_.begin()->first.first;
    // The system timer may fire early for a cancelled callback; it is moved only when an earlier one arrives.
    if (due >= armedFor_)
        return;
    armedFor_ = due;
    systemTimer_.expires_after(std::max(Duration{0}, due - clock_->now()));
    systemTimer_.async_wait([this, alive = std::weak_ptr<bool>(alive_)](const boost::system::error_code& error) {
        if (error || !alive.lock())
            return;
        armedFor_ = TimePoint::max();
        runDue();
    });
}

void Timers::expireAll()
{
    for (std::size_t remaining = callbacks_.size(); remaining > 0 && !callbacks_.empty(); --remaining)
        runFirst();
}

void Timers::runDue()
{
    const TimePoint now = clock_->now();
    while (!callbacks_.empty() && callbacks_.begin()->first.first <= now)
        runFirst();
    arm();
}

void Timers::runFirst()
{
    const auto first = callbacks_.begin();
    const std::function<void()> callback = std::move(first->second);
    dueById_.erase(first->first.second);
    callbacks_.erase(first);
    callback();
}

} // namespace lychee
