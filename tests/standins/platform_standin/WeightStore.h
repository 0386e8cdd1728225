// The rate-limited weight store.
#pragma once

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <mutex>
#include <string>

namespace lychee::standin {

struct WeightLimits {
    // Starts of model transfers a second.
    double rate = 2;
    // Model transfers that run at full speed; a larger number shares this capacity evenly.
    int concurrent = 8;
    // Speed of one model transfer.
    double bytesPerSecond = 1e9;
    // Time of an adapter transfer, of which `adaptersConcurrent` run at full speed.
    std::chrono::milliseconds adapterTime{5};
    int adaptersConcurrent = 60;
};

struct WeightCounts {
    int modelLoads = 0;
    int adapterLoads = 0;
    int modelsPeak = 0;
    int adaptersPeak = 0;
    // Starts that had to wait because of the rate.
    int delayedStarts = 0;
};

// Simulates transfers in real time. Thread-safe.
class WeightStore {
public:
    explicit WeightStore(const WeightLimits& limits);

    // Returns when the transfer of the artifact is complete.
    void transfer(const std::string& artifact, double bytes);

    WeightCounts counts() const;

private:
    using Clock = std::chrono::steady_clock;

    void waitForStart();
    void run(double seconds, int concurrent, int& inFlight, int& peak);

    const WeightLimits limits_;
    mutable std::mutex mutex_;
    Clock::time_point nextStart_;
    int modelsInFlight_ = 0;
    int adaptersInFlight_ = 0;
    WeightCounts counts_;
};

} // namespace lychee::standin
