// Decides which of its requests an instance may send to a plain service that has fewer slots than there are instances.
//
// An instance that has less than one slot to itself cannot count the slots that it uses: most of the time it uses none.
// It therefore admits a fraction of its own requests. All instances derive nearly the same fraction from the load that
// the targets report, which instances pass on to each other, so that together they keep the targets busy without long
// queues. Below capacity the fraction is 1.
#pragma once

#include "transport/RuntimeClock.h"

namespace lychee::fleet {

class SlotShare {
public:
    // Records the newest known load of the targets of the service: running and waiting requests for each slot. A target
    // that rejects a request reports its load too, so rejections need no record of their own.
    void recordLoad(double loadPerSlot, TimePoint now);

    // Whether a request may be sent now. `draw` is a number in [0, 1) that stays the same while the request is held.
    bool admits(double draw, TimePoint now) const { return draw < fraction(now); }

    // Returns the fraction of the requests that are admitted at present.
    double fraction(TimePoint now) const;

    // Returns after which time a refused request is worth another try.
    Duration retryAfter(TimePoint now) const;

private:
    double loadPerSlot_ = 0;
    TimePoint recordedAt_;
    // The part of the fraction that follows the load slowly; above 1 while the service has capacity left.
    double base_ = 1;
};

} // namespace lychee::fleet
