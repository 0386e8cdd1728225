#include "fleet/TargetPace.h"

#include <algorithm>
#include <cmath>

namespace lychee::fleet {

namespace {

using Seconds = std::chrono::duration<double>;

// Time in which the pace of a target changes. A report of age t still holds with the probability 1 - t / this time when
// changes are this far apart and the phase is unknown.
constexpr Duration changeInterval = std::chrono::milliseconds(600);

// Time constant of the long-run mean. Shorter ones follow the single changes; longer ones keep the pace of a machine
// that has become quiet for too long.
constexpr Seconds meanTime = std::chrono::seconds(30);

// Weight of one measured time in the averages. Single times vary by a factor of 2; with this weight the average of a
// target that reports correctly stays within 12%.
constexpr double measuredWeight = 0.05;

// One measured time counts as at most this far off, as a logarithm, so that single stalls do not dominate.
constexpr double maxMeasuredLog = 1.6;

// Ratios of measured to reported pace above which the measured pace is used, and below which the reports are used
// again. Logarithms of 1.5 and 1.2.
constexpr double contradictionBegins = 0.405;
constexpr double contradictionEnds = 0.182;

// How long a pace that a peer has measured counts. Peers repeat it with each status message, at least once a second.
constexpr Duration peerMeasuredLifetime = std::chrono::seconds(3);

// Smallest step of the running median, and the number of measured times after which it is used.
constexpr double medianStep = 0.02;
constexpr std::uint64_t minMeasuredTimes = 30;

// Probability that a report of this age still holds.
double weightAt(Duration age)
{
    return std::clamp(1 - Seconds(age).count() / Seconds(changeInterval).count(), 0.0, 1.0);
}

} // namespace

const char* nameOf(PaceSource source)
{
    switch (source) {
    case PaceSource::None:
        return "none";
    case PaceSource::Report:
        return "report";
    case PaceSource::PeerReport:
        return "peer";
    case PaceSource::Mean:
        return "mean";
    case PaceSource::Measured:
        return "measured";
    }
    return "unknown";
}

void TargetPace::record(const Report& report)
{
    if (newest_ && report.at < newest_->at)
        return;
    // A report stands for the time since the previous one, but for no longer than the figure holds.
    const Duration time = newest_ ? std::min(report.at - newest_->at, changeInterval) : changeInterval;
    mean_ += (1 - std::exp(-time / meanTime)) * (report.pace - mean_);
    newest_ = report;
}

void TargetPace::recordReport(double pace, TimePoint now)
{
    if (!isPace(pace))
        return;
    own_ = Report{pace, now, false};
    record(*own_);
}

void TargetPace::recordPeer(const PaceNews& news, TimePoint now)
{
    if (!isPace(news.pace) || news.age < Duration(0))
        return;
    if (!news.isMeasured)
        return record({news.pace, now - news.age, true});
    peerMeasured_ = news.pace;
    peerMeasuredUntil_ = now + peerMeasuredLifetime;
}

void TargetPace::recordMeasured(double multiple, double reported)
{
    if (!(multiple > 0) || !newest_)
        return;
    const double log = std::clamp(std::log(multiple), -maxMeasuredLog, maxMeasuredLog);
    measuredLog_ += measuredWeight * (log - measuredLog_);
    contradictionLog_ += measuredWeight * (log - std::log(reported) - contradictionLog_);
    contradicted_ = std::abs(contradictionLog_) > (contradicted_ ? contradictionEnds : contradictionBegins);
}

std::optional<double> TargetPace::measured(TimePoint now) const
{
    if (contradicted_)
        return std::clamp(std::exp(measuredLog_), minPace, maxPace);
    if (newest_ && now < peerMeasuredUntil_)
        return peerMeasured_;
    return std::nullopt;
}

double TargetPace::reportedAt(TimePoint now) const
{
    return newest_ ? mean_ + weightAt(now - newest_->at) * (newest_->pace - mean_) : 1;
}

double TargetPace::at(TimePoint now) const
{
    const auto replaced = measured(now);
    return replaced ? *replaced : reportedAt(now);
}

double TargetPace::meanOver(Duration time, TimePoint now) const
{
    const auto replaced = measured(now);
    return replaced ? *replaced : reportedOver(time, now);
}

double TargetPace::reportedOver(Duration time, TimePoint now) const
{
    if (!newest_)
        return 1;
    if (time <= Duration(0))
        return reportedAt(now);
    // The weight of the report falls linearly, so its mean over a part of the time is that of the ends of the part.
    const double first = weightAt(now - newest_->at);
    const double last = weightAt(now + time - newest_->at);
    const double heldPart = (first - last) * Seconds(changeInterval).count() / Seconds(time).count();
    return mean_ + heldPart * (first + last) / 2 * (newest_->pace - mean_);
}

PaceSource TargetPace::sourceAt(TimePoint now) const
{
    if (!newest_)
        return PaceSource::None;
    if (measured(now))
        return PaceSource::Measured;
    if (weightAt(now - newest_->at) <= 0)
        return PaceSource::Mean;
    return newest_->fromPeer ? PaceSource::PeerReport : PaceSource::Report;
}

std::optional<Duration> TargetPace::age(TimePoint now) const
{
    return newest_ ? std::optional<Duration>(now - newest_->at) : std::nullopt;
}

std::optional<PaceNews> TargetPace::news(TimePoint now) const
{
    if (contradicted_)
        return PaceNews{std::clamp(std::exp(measuredLog_), minPace, maxPace), Duration(0), true};
    if (!own_ || now - own_->at >= changeInterval)
        return std::nullopt;
    return PaceNews{own_->pace, now - own_->at, false};
}

std::optional<double> ExpectationBias::correct(double multiple, double reported)
{
    if (!(multiple > 0) || !isPace(reported))
        return std::nullopt;
    const bool isKnown = count_ >= minMeasuredTimes;
    const double corrected = multiple / std::exp(medianLog_);
    // The first steps are larger, so that the median is reached from any distance.
    const double step = std::max(medianStep, 1.0 / static_cast<double>(count_ + 1));
    medianLog_ += std::log(multiple / reported) > medianLog_ ? step : -step;
    ++count_;
    return isKnown ? std::optional<double>(corrected) : std::nullopt;
}

} // namespace lychee::fleet
