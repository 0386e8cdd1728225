// Seeded random choices for tests.
#pragma once

#include <cstdint>
#include <random>

namespace lychee {

// Random choices that are the same on every run with the same seed.
class SeededRandom {
public:
    explicit SeededRandom(std::uint64_t seed)
        : engine_(seed)
    {
    }

    // A number from `low` to `high`, both included.
    std::int64_t between(std::int64_t low, std::int64_t high)
    {
        return low + static_cast<std::int64_t>(engine_() % static_cast<std::uint64_t>(high - low + 1));
    }

    // True with a probability of `share` percent.
    bool percent(int share) { return between(1, 100) <= share; }

private:
    std::mt19937_64 engine_;
};

} // namespace lychee
