// Paces loads from the weight store, which all targets share.
#pragma once

#include "transport/RuntimeClock.h"

namespace lychee::fleet {

// A token bucket. Starts empty, because a predecessor may have used the store to its limit just before.
class LoadRateLimiter {
public:
    LoadRateLimiter(double perSecond, TimePoint now)
        : perSecond_(perSecond)
        , updated_(now)
    {
    }

    // Whether a load may start now.
    bool isAvailable(TimePoint now);

    // Records that a load has started, or may have.
    void take(TimePoint now);

private:
    void refill(TimePoint now);

    double perSecond_;
    double saved_ = 0;
    TimePoint updated_;
};

} // namespace lychee::fleet
