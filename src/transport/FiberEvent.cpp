#include "transport/FiberEvent.h"

#include "transport/Timers.h"

#include <boost/fiber/context.hpp>

namespace lychee {

void FiberEvent::wait()
{
    while (!notified_) {
        waiter_ = boost::fibers::context::active();
        waiter_->suspend();
        waiter_ = nullptr;
    }
    notified_ = false;
}

bool FiberEvent::waitUntil(Timers& timers, TimePoint deadline)
{
    if (notified_) {
        notified_ = false;
        return true;
    }
    bool expired = false;
    const TimerId timer = timers.at(deadline, [this, &expired] {
        expired = true;
        notify();
    });
    wait();
    timers.cancel(timer);
    return !expired;
}

void FiberEvent::notify()
{
    if (notified_)
        return;
    notified_ = true;
    if (waiter_)
        boost::fibers::context::active()->schedule(waiter_);
}

} // namespace lychee
