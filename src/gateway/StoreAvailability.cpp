#include "gateway/StoreAvailability.h"

namespace lychee::gateway {

namespace {

constexpr LogChannel logChannel("store");

// Failures that last at least this long are an outage.
constexpr Duration outageThreshold = std::chrono::milliseconds(400);

// What a peer has said of the store counts for this time; peers send it at least once a second.
constexpr Duration maxPeerAge = std::chrono::milliseconds(1500);

// By which the messages of one peer may differ in their delay.
constexpr Duration peerDelaySlack = std::chrono::milliseconds(500);

} // namespace

void StoreAvailability::succeeded(TimePoint now)
{
    if (!firstReachedAt_) {
        logChannel.info("dependency=store state=reached");
        firstReachedAt_ = now;
    }
    if (!failingSince_)
        return;
    if (now - *failingSince_ >= outageThreshold) {
        recoveredAt_ = now;
        logChannel.info("dependency=store state=regained after_ms={}",
            std::chrono::duration_cast<std::chrono::milliseconds>(now - *failingSince_).count());
    }
    failingSince_.reset();
}

void StoreAvailability::failed(TimePoint now, std::string_view reason)
{
    if (failingSince_)
        return;
    failingSince_ = now;
    logChannel.warning("dependency=store state=lost reason=\"{}\"", reason);
}

void StoreAvailability::restored(TimePoint now)
{
    recoveredAt_ = now;
    restoredAt_ = now;
    logChannel.warning("dependency=store state=restored its last changes are lost");
}

bool StoreAvailability::isAvailable(TimePoint now) const
{
    return firstReachedAt_ && (!failingSince_ || now - *failingSince_ < outageThreshold);
}

bool StoreAvailability::wasUnavailable(TimePoint now, Duration before) const
{
    // A peer may not know yet that the store was restored.
    if (restoredAt_ && now - *restoredAt_ < before)
        return true;
    return (failingSince_ || (recoveredAt_ && now - *recoveredAt_ < before)) && !peersReached(now, before);
}

Duration StoreAvailability::reachedFor(TimePoint now) const
{
    if (!firstReachedAt_ || failingSince_)
        return Duration(0);
    return now - std::max(*firstReachedAt_, recoveredAt_.value_or(*firstReachedAt_));
}

void StoreAvailability::peerReached(Duration reachedFor, TimePoint now)
{
    const TimePoint since = now - reachedFor;
    if (reachedFor == Duration(0))
        return;
    const bool isOutdated = !peerReachedSince_ || now - peerHeardAt_ > maxPeerAge;
    if (isOutdated)
        peersHeardSince_ = now;
    if (!isOutdated && since > *peerReachedSince_ + peerDelaySlack)
        return;
    peerReachedSince_ = since;
    peerHeardAt_ = now;
}

bool StoreAvailability::peersReached(TimePoint now, Duration time) const
{
    return peerReachedSince_ && now - peerHeardAt_ <= maxPeerAge && peerHeardAt_ - *peerReachedSince_ >= time
        && now - *peersHeardSince_ >= time;
}

} // namespace lychee::gateway
