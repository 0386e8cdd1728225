// Whether the platform's store answers this instance, and since when.
#pragma once

#include "transport/Log.h"
#include "transport/RuntimeClock.h"

#include <string_view>

namespace lychee::gateway {

class StoreAvailability {
public:
    void succeeded(TimePoint now);

    void failed(TimePoint now, std::string_view reason);

    // Whether the last call failed.
    bool isFailing() const { return failingSince_.has_value(); }

    // Whether calls are answered. A single failed call does not count as an outage.
    bool isReached(TimePoint now) const;

    // End of the last outage; nothing before the first one has ended.
    std::optional<TimePoint> returnedAt() const { return returnedAt_; }

    // Whether the store may have been away at this time or until shortly before it.
    bool wasAway(TimePoint now, Duration before) const;

private:
    std::optional<TimePoint> failingSince_;
    std::optional<TimePoint> returnedAt_;
    bool everReached_ = false;
};

} // namespace lychee::gateway
