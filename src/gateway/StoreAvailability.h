// Tracks whether the platform's store answers this instance, and when its last outage ended.
#pragma once

#include "transport/Log.h"
#include "transport/RuntimeClock.h"

#include <string_view>

namespace lychee::gateway {

class StoreAvailability {
public:
    void succeeded(TimePoint now);

    void failed(TimePoint now, std::string_view reason);

    // Records that the store was restored from a copy, which counts as the end of an outage however short it was.
    void restored(TimePoint now);

    // Whether the last call failed.
    bool isFailing() const { return failingSince_.has_value(); }

    // Whether the store has answered before and is not in an outage. Failures shorter than the outage threshold do not
    // count as one.
    bool isAvailable(TimePoint now) const;

    // The end of the last outage; empty until the first one has ended.
    std::optional<TimePoint> recoveredAt() const { return recoveredAt_; }

    // Whether calls are failing now, or an outage ended less than `before` ago.
    bool wasUnavailable(TimePoint now, Duration before) const;

private:
    std::optional<TimePoint> failingSince_;
    std::optional<TimePoint> recoveredAt_;
    bool everAvailable_ = false;
};

} // namespace lychee::gateway
