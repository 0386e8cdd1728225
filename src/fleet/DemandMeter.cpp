#include "fleet/DemandMeter.h"

#include <cmath>

namespace lychee::fleet {

namespace {

// Time constants of the averages, in seconds. The short one is well below the time in which demand moves between models
// on the deployments (4 to 6 s), and still covers some twenty requests of a busy model.
constexpr double fastSeconds = 1.2;
constexpr double slowSeconds = 3;

// Demand below this is left out: less than one short request a minute.
constexpr double negligibleWork = 0.0005;

// Engine time for each prompt token in prefill, 38.7 tokens a millisecond according to the deployments' data sheets.
constexpr double secondsPerPromptToken = 1 / 38700.0;

// Duration of a decoding step, which gives one output token to each request in the batch, and the time from the end of
// prefill to the first token.
constexpr double secondsPerStep = 0.0055;
constexpr double secondsToFirstToken = 0.04;

// Fraction of the shared prompt tokens that is missing from the cache of the chosen engine.
constexpr double uncachedSharedFraction = 0.35;

} // namespace

double engineSeconds(const GenerationNeed& need, int slots)
{
    const double total = static_cast<double>(need.promptTokens.value());
    const double own = need.parts.empty() ? total : static_cast<double>(need.parts.back().tokens.value());
    const double read = own + uncachedSharedFraction * std::max(total - own, 0.0);
    const TokenCount output = std::min(need.outputHint.value_or(need.maxOutputTokens), need.maxOutputTokens);
    const double prefill = read * secondsPerPromptToken;
    const double inSlot = prefill + secondsToFirstToken + static_cast<double>(output.value()) * secondsPerStep;
    return std::max(prefill, inSlot / std::max(slots, 1));
}

void DemandMeter::decay(Rate& rate, TimePoint now)
{
    const double seconds = std::chrono::duration<double>(now - rate.updated).count();
    rate.fast *= std::exp(-seconds / fastSeconds);
    rate.slow *= std::exp(-seconds / slowSeconds);
    rate.updated = now;
}

void DemandMeter::record(const GenerationNeed& need, int slots, TimePoint now)
{
    Rate& rate = rates_[need.model];
    decay(rate, now);
    const double work = engineSeconds(need, slots);
    rate.fast += work / fastSeconds;
    rate.slow += work / slowSeconds;
}

std::vector<ModelDemand> DemandMeter::read(TimePoint now)
{
    std::vector<ModelDemand> demand;
    for (auto& [model, rate] : rates_) {
        decay(rate, now);
        const double work = std::max(rate.fast, rate.slow);
        if (work > negligibleWork)
            demand.push_back({model, work});
    }
    return demand;
}

} // namespace lychee::fleet
