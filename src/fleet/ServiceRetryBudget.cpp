#include "fleet/ServiceRetryBudget.h"

namespace lychee::fleet {

namespace {

// Fraction of the limit that is used. The rest covers retries that are still in the window when their requests no
// longer are, which matters where load comes in waves.
constexpr double usableFraction = 0.9;

} // namespace

void ServiceRetryBudget::setOptions(const ServiceRetryBudgetOptions& options)
{
    options_ = options;
    formerShares_.clear();
}

void ServiceRetryBudget::updateOptions(const ServiceRetryBudgetOptions& options, TimePoint now)
{
    if (options.share != options_.share)
        formerShares_.push_back({options_.share, now});
    options_ = options;
}

double ServiceRetryBudget::usableShare(TimePoint now)
{
    while (!formerShares_.empty() && now - formerShares_.front().until >= options_.window)
        formerShares_.pop_front();
    double share = options_.share;
    for (const FormerShare& former : formerShares_)
        share = std::min(share, former.share);
    return share;
}

std::int64_t ServiceRetryBudget::stepOf(TimePoint now) const
{
    return now.time_since_epoch() / (options_.window / static_cast<std::int64_t>(stepsInWindow));
}

ServiceRetryBudget::Count& ServiceRetryBudget::current(const ServiceId& service, TimePoint now)
{
    const std::int64_t step = stepOf(now);
    Count& count = services_[service][static_cast<std::size_t>(step) % (stepsInWindow + 1)];
    if (count.step != step)
        count = {step, 0, 0};
    return count;
}

void ServiceRetryBudget::request(const ServiceId& service, TimePoint now) { current(service, now).requests += 1; }

bool ServiceRetryBudget::isAvailable(const ServiceId& service, TimePoint now, int count)
{
    const std::int64_t step = stepOf(now);
    double requests = 0;
    double retries = 0;
    for (const Count& counted : services_[service]) {
        const std::int64_t age = step - counted.step;
        if (counted.step < 0 || age > static_cast<std::int64_t>(stepsInWindow))
            continue;
        retries += counted.retries;
        if (age < static_cast<std::int64_t>(stepsInWindow))
            requests += counted.requests;
    }
    return retries + count <= usableFraction * (options_.part * requests + usableShare(now));
}

void ServiceRetryBudget::take(const ServiceId& service, TimePoint now) { current(service, now).retries += 1; }

} // namespace lychee::fleet
