#include "fleet/ServiceRetryBudget.h"

namespace lychee::fleet {

namespace {

// Part of the allowance that is used. The rest covers sends whose requests leave the window before them, where load
// comes in waves.
constexpr double usedPart = 0.9;

} // namespace

std::int64_t ServiceRetryBudget::stepOf(TimePoint now) const
{
    return now.time_since_epoch() / (options_.window / static_cast<std::int64_t>(steps));
}

ServiceRetryBudget::Count& ServiceRetryBudget::current(const ServiceId& service, TimePoint now)
{
    const std::int64_t step = stepOf(now);
    Count& count = services_[service][static_cast<std::size_t>(step) % (steps + 1)];
    if (count.step != step)
        count = {step, 0, 0};
    return count;
}

void ServiceRetryBudget::request(const ServiceId& service, TimePoint now) { current(service, now).requests += 1; }

bool ServiceRetryBudget::isAvailable(const ServiceId& service, TimePoint now)
{
    const std::int64_t step = stepOf(now);
    double requests = 0;
    double sends = 0;
    for (const Count& count : services_[service]) {
        const std::int64_t age = step - count.step;
        if (count.step < 0 || age > static_cast<std::int64_t>(steps))
            continue;
        sends += count.sends;
        if (age < static_cast<std::int64_t>(steps))
            requests += count.requests;
    }
    return sends + 1 <= usedPart * (options_.part * requests + options_.share);
}

void ServiceRetryBudget::take(const ServiceId& service, TimePoint now) { current(service, now).sends += 1; }

} // namespace lychee::fleet
