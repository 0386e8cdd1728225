#include "state/TargetLoad.h"

#include <cmath>

namespace lychee {

namespace {

// Weight of a new observation in the running means of service times.
constexpr double serviceWeight = 0.05;
constexpr double routeServiceWeight = 0.1;
// How long a target is left out after a failure, unless a report arrives earlier.
constexpr Duration failureExclusion = std::chrono::seconds(2);
// Without reports the changes would grow without limit; the oldest are then folded into the base.
constexpr std::size_t maxChanges = 8192;

std::size_t clampPriority(int priority) { return static_cast<std::size_t>(std::clamp(priority, 0, 9)); }

double seconds(Duration duration) { return std::chrono::duration<double>(duration).count(); }

Duration fromSeconds(double value)
{
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(value));
}

} // namespace

void TargetLoad::report(const LoadReport& report)
{
    if (reported_ && report.measuredAt < last_.measuredAt)
        return;
    last_ = report;
    last_.slots = std::max<std::uint32_t>(1, report.slots);
    reported_ = true;
    while (!changes_.empty() && changes_.front().at <= report.measuredAt) {
        changeSum_ -= changes_.front().step;
        changes_.pop_front();
    }
    if (excludedUntil_ > TimePoint::min() && report.measuredAt + failureExclusion > excludedUntil_)
        excludedUntil_ = TimePoint::min();
}

void TargetLoad::addChange(TimePoint now, int step)
{
    if (changes_.size() == maxChanges) {
        changeSum_ -= changes_.front().step;
        changes_.pop_front();
    }
    changes_.push_back({now, step});
    changeSum_ += step;
}

void TargetLoad::sent(TimePoint now, int priority)
{
    ++inFlight_;
    ++byPriority_[clampPriority(priority)];
    addChange(now, 1);
}

void TargetLoad::finished(TimePoint now, std::optional<Duration> service, int priority)
{
    std::uint32_t& count = byPriority_[clampPriority(priority)];
    count -= std::min<std::uint32_t>(count, 1);
    inFlight_ -= std::min<std::uint32_t>(inFlight_, 1);
    addChange(now, -1);
    if (!service)
        return;
    if (meanServiceSeconds_ == 0)
        meanServiceSeconds_ = seconds(*service);
    else
        meanServiceSeconds_ += serviceWeight * (seconds(*service) - meanServiceSeconds_);
}

void TargetLoad::failed(TimePoint now) { excludedUntil_ = now + failureExclusion; }

double TargetLoad::occupancy(double ownFactor) const
{
    const double reported = static_cast<double>(last_.running) + last_.queued;
    if (ownFactor <= 0)
        return reported;
    return std::max<double>(inFlight_, reported + ownFactor * changeSum_);
}

double TargetLoad::urgentPart(int priority) const
{
    if (inFlight_ == 0)
        return 1;
    std::uint32_t urgent = 0;
    for (std::size_t i = clampPriority(priority); i < byPriority_.size(); ++i)
        urgent += byPriority_[i];
    return static_cast<double>(urgent) / inFlight_;
}

Duration TargetLoad::predictedWait(double ownFactor, int priority) const
{
    const double queued = occupancy(ownFactor) - last_.slots;
    if (queued + 1 <= 0)
        return Duration(0);
    const double ahead = std::max(0.0, queued) * urgentPart(priority) + std::min(1.0, queued + 1);
    return fromSeconds(ahead * meanServiceSeconds_ / last_.slots);
}

LoadTable::LoadTable(const Catalogue& catalogue)
    : targets_(catalogue.targetCount())
    , service_(catalogue.routeCount(), Duration(0))
{
}

void LoadTable::adopt(const Catalogue& previous, const Catalogue& next)
{
    LoadTable adopted(next);
    const Configuration& old = previous.configuration();
    for (std::uint32_t i = 0; i < old.targets.size(); ++i) {
        if (const auto target = next.target(old.targets[i].id))
            adopted.of(*target) = std::move(targets_[i]);
    }
    for (std::uint32_t i = 0; i < old.models.size(); ++i) {
        if (const auto route = next.model(old.models[i].id))
            adopted.service_[route->value()] = service_[i];
    }
    for (std::uint32_t i = 0; i < old.adapters.size(); ++i) {
        if (const auto route = next.adapter(old.adapters[i].model, old.adapters[i].id))
            adopted.service_[route->value()] = service_[old.models.size() + i];
    }
    for (std::uint32_t i = 0; i < old.services.size(); ++i) {
        if (const auto route = next.service(old.services[i].id))
            adopted.service_[route->value()] = service_[previous.artifactCount() + i];
    }
    adopted.ownFactor_ = ownFactor_;
    *this = std::move(adopted);
}

void LoadTable::setSenderCount(std::size_t count)
{
    ownFactor_ = std::sqrt(std::max<double>(1, static_cast<double>(count)));
}

void LoadTable::recordServiceTime(RouteIndex route, Duration service)
{
    Duration& mean = service_[route.value()];
    if (mean == Duration(0))
        mean = service;
    else
        mean = fromSeconds(seconds(mean) + routeServiceWeight * (seconds(service) - seconds(mean)));
}

} // namespace lychee
