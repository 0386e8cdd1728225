#include "fleet/SlotShare.h"

#include <algorithm>

namespace lychee::fleet {

namespace {

// The load that the instances aim for when the demand exceeds the slots: one waiting request for each running one. It
// keeps every slot busy while the news of the load is up to a second old, and a request waits about as long as it runs.
// In simulations at 1.0 and 1.3 of the capacity, 1.5 left slots idle and 2.5 made more answers late.
constexpr double wantedLoad = 2;

// By how much the fraction falls for each request per slot above the wanted load. The load answers to the fraction up
// to a second later, so a much larger gain lets both swing.
constexpr double gain = 0.25;

// The same for the part that follows slowly, for each second. Without it the load stays above the wanted one for as
// long as the demand exceeds the capacity: in a simulation at 1.3 of it, 0.72 instead of 0.76 were in time.
constexpr double baseGainPerSecond = 0.1;

// Bounds of the slow part. The excess over 1 keeps short bursts below capacity from being refused.
constexpr double minBase = 0.1;
constexpr double maxBase = 1.3;

// A load that is older says nothing about the present one.
constexpr Duration maxLoadAge = std::chrono::seconds(1);

// Time until the next try when all requests are admitted, and the smallest fraction that lengthens it. A try succeeds
// with the probability of the fraction.
constexpr Duration minRetryAfter = std::chrono::milliseconds(200);
constexpr double minRetryFraction = 0.2;

} // namespace

void SlotShare::recordLoad(double loadPerSlot, TimePoint now)
{
    const Duration time = std::clamp(now - recordedAt_, Duration(0), maxLoadAge);
    base_ += baseGainPerSecond * std::chrono::duration<double>(time).count() * (wantedLoad - loadPerSlot);
    base_ = std::clamp(base_, minBase, maxBase);
    loadPerSlot_ = loadPerSlot;
    recordedAt_ = now;
}

double SlotShare::fraction(TimePoint now) const
{
    if (now - recordedAt_ > maxLoadAge)
        return 1;
    return std::clamp(base_ - gain * (loadPerSlot_ - wantedLoad), 0.0, 1.0);
}

Duration SlotShare::retryAfter(TimePoint now) const
{
    return std::chrono::duration_cast<Duration>(minRetryAfter / std::max(fraction(now), minRetryFraction));
}

} // namespace lychee::fleet
