#include "tests/standins/platform_standin/WeightStore.h"

#include <algorithm>
#include <thread>

namespace lychee::standin {

namespace {

constexpr std::chrono::milliseconds transferStep{2};

bool isAdapter(const std::string& artifact) { return artifact.find(':') != std::string::npos; }

} // namespace

WeightStore::WeightStore(const WeightLimits& limits)
    : limits_(limits)
    , nextStart_(Clock::now())
{
}

void WeightStore::transfer(const std::string& artifact, double bytes)
{
    if (isAdapter(artifact)) {
        const double seconds = std::chrono::duration<double>(limits_.adapterTime).count();
        run(seconds, limits_.adaptersConcurrent, adaptersInFlight_, counts_.adaptersPeak);
        const std::lock_guard lock(mutex_);
        ++counts_.adapterLoads;
        return;
    }
    waitForStart();
    run(bytes / limits_.bytesPerSecond, limits_.concurrent, modelsInFlight_, counts_.modelsPeak);
    const std::lock_guard lock(mutex_);
    ++counts_.modelLoads;
}

WeightCounts WeightStore::counts() const
{
    const std::lock_guard lock(mutex_);
    return counts_;
}

void WeightStore::waitForStart()
{
    std::unique_lock lock(mutex_);
    const Clock::time_point now = Clock::now();
    const Clock::time_point start = std::max(now, nextStart_);
    nextStart_ = start + std::chrono::duration_cast<Clock::duration>(std::chrono::duration<double>(1 / limits_.rate));
    if (start > now)
        ++counts_.delayedStarts;
    lock.unlock();
    std::this_thread::sleep_until(start);
}

void WeightStore::run(double seconds, int concurrent, int& inFlight, int& peak)
{
    std::unique_lock lock(mutex_);
    ++inFlight;
    peak = std::max(peak, inFlight);
    Clock::time_point last = Clock::now();
    while (seconds > 0) {
        const double share = std::min(1.0, static_cast<double>(concurrent) / inFlight);
        const auto wait
            = std::min<std::chrono::duration<double>>(transferStep, std::chrono::duration<double>(seconds / share));
        lock.unlock();
        std::this_thread::sleep_for(wait);
        lock.lock();
        const Clock::time_point now = Clock::now();
        seconds -= std::chrono::duration<double>(now - last).count() * share;
        last = now;
    }
    --inFlight;
}

} // namespace lychee::standin
