#include "state/TargetLoad.h"

#include <cmath>

namespace lychee {

namespace {

// Weight of a new observation in the moving averages of service times, per target and per route.
constexpr double targetServiceWeight = 0.05;
constexpr double routeServiceWeight = 0.1;
// How long a target gets no requests after a failure, unless it makes a load report in the meantime.
constexpr Duration failureExclusion = std::chrono::seconds(2);
// Without reports the list of changes would grow without limit; beyond this number the oldest are dropped.
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
        changeSum_ -= changes_.front().delta;
        changes_.pop_front();
    }
    if (excludedUntil_ > TimePoint::min() && report.measuredAt + failureExclusion > excludedUntil_)
        excludedUntil_ = TimePoint::min();
}

void TargetLoad::addChange(TimePoint now, int delta)
{
    if (changes_.size() == maxChanges) {
        changeSum_ -= changes_.front().delta;
        changes_.pop_front();
    }
    changes_.push_back({now, delta});
    changeSum_ += delta;
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
        meanServiceSeconds_ += targetServiceWeight * (seconds(*service) - meanServiceSeconds_);
}

void TargetLoad::failed(TimePoint now) { excludedUntil_ = now + failureExclusion; }

double TargetLoad::occupancy(double senderFactor) const
{
    const double reported = static_cast<double>(last_.running) + last_.queued;
    if (senderFactor <= 0)
        return reported;
    return std::max<double>(inFlight_, reported + senderFactor * changeSum_);
}

double TargetLoad::urgentFraction(int priority) const
{
    if (inFlight_ == 0)
        return 1;
    std::uint32_t urgent = 0;
    for (std::size_t i = clampPriority(priority); i < byPriority_.size(); ++i)
        urgent += byPriority_[i];
    return static_cast<double>(urgent) / inFlight_;
}

Duration TargetLoad::predictedWait(double senderFactor, int priority) const
{
    const double queued = occupancy(senderFactor) - last_.slots;
    if (queued + 1 <= 0)
        return Duration(0);
    const double ahead = std::max(0.0, queued) * urgentFraction(priority) + std::min(1.0, queued + 1);
    return fromSeconds(ahead * meanServiceSeconds_ / last_.slots);
}

LoadTable::LoadTable(const Catalogue& catalogue)
    : targets_(catalogue.targetCount())
    , routeService_(catalogue.routeCount(), Duration(0))
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
            adopted.routeService_[route->value()] = routeService_[i];
    }
    for (std::uint32_t i = 0; i < old.adapters.size(); ++i) {
        if (const auto route = next.adapter(old.adapters[i].model, old.adapters[i].id))
            adopted.routeService_[route->value()] = routeService_[old.models.size() + i];
    }
    for (std::uint32_t i = 0; i < old.services.size(); ++i) {
        if (const auto route = next.service(old.services[i].id))
            adopted.routeService_[route->value()] = routeService_[previous.artifactCount() + i];
    }
    adopted.senderFactor_ = senderFactor_;
    *this = std::move(adopted);
}

void LoadTable::setSenderCount(std::size_t count)
{
    senderFactor_ = std::sqrt(std::max<double>(1, static_cast<double>(count)));
}

void LoadTable::recordServiceTime(RouteIndex route, Duration service)
{
    Duration& mean = routeService_[route.value()];
    if (mean == Duration(0))
        mean = service;
    else
        mean = fromSeconds(seconds(mean) + routeServiceWeight * (seconds(service) - seconds(mean)));
}

} // namespace lychee
