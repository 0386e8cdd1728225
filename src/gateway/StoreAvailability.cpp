#include "gateway/StoreAvailability.h"

namespace lychee::gateway {

namespace {

constexpr LogChannel logChannel("store");

// Failures for longer than this are an outage.
constexpr Duration outageAfter = std::chrono::milliseconds(400);

} // namespace

void StoreAvailability::succeeded(TimePoint now)
{
    if (!everReached_)
        logChannel.info("dependency=store state=reached");
    everReached_ = true;
    if (!failingSince_)
        return;
    if (now - *failingSince_ >= outageAfter) {
        returnedAt_ = now;
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

bool StoreAvailability::isReached(TimePoint now) const
{
    return everReached_ && (!failingSince_ || now - *failingSince_ < outageAfter);
}

bool StoreAvailability::wasAway(TimePoint now, Duration before) const
{
    return failingSince_ || (returnedAt_ && now - *returnedAt_ < before);
}

} // namespace lychee::gateway
