#include "gateway/StoreAvailability.h"

namespace lychee::gateway {

namespace {

constexpr LogChannel logChannel("store");

// Failures that last at least this long are an outage.
constexpr Duration outageThreshold = std::chrono::milliseconds(400);

} // namespace

void StoreAvailability::succeeded(TimePoint now)
{
    if (!everAvailable_)
        logChannel.info("dependency=store state=reached");
    everAvailable_ = true;
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
    logChannel.warning("dependency=store state=restored its last changes are lost");
}

bool StoreAvailability::isAvailable(TimePoint now) const
{
    return everAvailable_ && (!failingSince_ || now - *failingSince_ < outageThreshold);
}

bool StoreAvailability::wasUnavailable(TimePoint now, Duration before) const
{
    return failingSince_ || (recoveredAt_ && now - *recoveredAt_ < before);
}

} // namespace lychee::gateway
