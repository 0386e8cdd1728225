// The one primitive by which fibers of a duty wait.
#pragma once

#include "transport/RuntimeClock.h"

namespace boost::fibers {
class context;
}

namespace lychee {

class Timers;

// A one-shot signal for a single waiting fiber. All calls come from the thread of the duty that the fiber runs on.
class FiberEvent {
public:
    // Suspends the calling fiber until notify(); returns at once if that came first. Resets the event.
    void wait();

    // Like wait(), with a limit. Returns false when `deadline` came first.
    bool waitUntil(Timers& timers, TimePoint deadline);

    // Wakes the waiting fiber, or lets the next wait return at once.
    void notify();

private:
    boost::fibers::context* waiter_ = nullptr;
    bool notified_ = false;
};

} // namespace lychee
