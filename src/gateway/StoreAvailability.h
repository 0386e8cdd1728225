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

    // Whether the store may have been in an outage less than `before` ago: calls of this instance are failing now, or
    // have failed until then, and no peer has reached the store all the while.
    bool wasUnavailable(TimePoint now, Duration before) const;

    // How long the store has answered this instance without an outage; zero while calls fail.
    Duration reachedFor(TimePoint now) const;

    // Records that a peer, heard at `now`, has reached the store without an outage for the given time.
    void peerReached(Duration reachedFor, TimePoint now);

private:
    // Whether peers have reached the store without an outage for at least the given time, and were heard all the while:
    // an instance that was cut off together with targets does not know which of them are about to return.
    bool peersReached(TimePoint now, Duration time) const;

    std::optional<TimePoint> failingSince_;
    std::optional<TimePoint> recoveredAt_;
    std::optional<TimePoint> restoredAt_;
    std::optional<TimePoint> firstReachedAt_;
    // Since when peers that reach the store have been heard without a pause.
    std::optional<TimePoint> peersHeardSince_;
    // Of the peer that has reached the store for the longest time: since when, and when it was last heard.
    std::optional<TimePoint> peerReachedSince_;
    TimePoint peerHeardAt_;
};

} // namespace lychee::gateway
