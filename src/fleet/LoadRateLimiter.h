// Limits the rate of model loads from the weight store, which all targets share.
#pragma once

#include "transport/RuntimeClock.h"

namespace lychee::fleet {

// A token bucket. It starts empty, because the previous placement owner may have used up the limit of the store just
// before.
//
// The store counts a load when it begins, which may be long after its order was sent if the answer was lost. So each
// load whose order has no answer yet lowers the burst by one: it may begin together with the loads that the bucket
// allows later.
class LoadRateLimiter {
public:
    LoadRateLimiter(double loadsPerSecond, TimePoint now)
        : loadsPerSecond_(loadsPerSecond)
        , updated_(now)
    {
    }

    // Sets the rate from `now` on. Tokens and unanswered loads are kept.
    void setRate(double loadsPerSecond, TimePoint now);

    // Number of loads that may start now.
    int available(TimePoint now);

    // Records that a load has started.
    void take(TimePoint now);

    // Records that a load is ordered and may start from now on. confirm() or cancel() must follow.
    void order(TimePoint now);

    // Records that an ordered load has started, or can no longer start.
    void confirm(TimePoint now);

    // Records that an ordered load has not started and will not, and returns its token.
    void cancel(TimePoint now);

private:
    void refill(TimePoint now);

    double loadsPerSecond_;
    double tokens_ = 0;
    int unanswered_ = 0;
    TimePoint updated_;
};

} // namespace lychee::fleet
