// The prompt tokens that wait to be prefilled at one target, by the urgency of their requests. Engines prefill the
// prompts of more urgent requests first.
#pragma once

#include "fleet/UrgencyPolicy.h"

#include <algorithm>
#include <array>
#include <numeric>

namespace lychee::fleet {

class PrefillQueue {
public:
    static constexpr std::size_t levels = static_cast<std::size_t>(UrgencyPolicy::least.value()) + 1;

    void add(Urgency urgency, double tokens) { at(urgency) += tokens; }

    void remove(Urgency urgency, double tokens) { at(urgency) = std::max(0.0, at(urgency) - tokens); }

    // Adds the tokens of another queue, weighted by `factor`.
    void add(const PrefillQueue& other, double factor)
    {
        for (std::size_t level = 0; level < levels; ++level)
            tokens_[level] += factor * other.tokens_[level];
    }

    double total() const { return std::accumulate(tokens_.begin(), tokens_.end(), 0.0); }

    // Tokens that are prefilled before a request that arrives now with this urgency.
    double aheadOf(Urgency urgency) const
    {
        return std::accumulate(tokens_.begin(), tokens_.begin() + index(urgency) + 1, 0.0);
    }

    double ofUrgency(Urgency urgency) const { return tokens_[static_cast<std::size_t>(index(urgency))]; }

private:
    static std::ptrdiff_t index(Urgency urgency)
    {
        return std::clamp(urgency.value(), 0, UrgencyPolicy::least.value());
    }

    double& at(Urgency urgency) { return tokens_[static_cast<std::size_t>(index(urgency))]; }

    std::array<double, levels> tokens_{};
};

} // namespace lychee::fleet
