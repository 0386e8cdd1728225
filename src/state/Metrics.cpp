#include "state/Metrics.h"

#include <boost/histogram.hpp>

#include <tuple>

namespace lychee {

namespace {

namespace bh = boost::histogram;

// Buckets from 1 ms to 1000 s, four per factor of ten.
constexpr int bucketCount = 24;
constexpr double lowestSeconds = 0.001;
constexpr double highestSeconds = 1000;

using LatencyAxis = bh::axis::regular<double, bh::axis::transform::log>;

std::string_view kindName(LatencyKind kind)
{
    switch (kind) {
    case LatencyKind::Wait:
        return "wait";
    case LatencyKind::FirstToken:
        return "first_token";
    case LatencyKind::BetweenTokens:
        return "between_tokens";
    case LatencyKind::WholeAnswer:
        return "whole_answer";
    }
    return "unknown";
}

std::string_view counterName(Counter counter)
{
    switch (counter) {
    case Counter::Requests:
        return "requests";
    case Counter::InTime:
        return "in_time";
    case Counter::Late:
        return "late";
    case Counter::Refusals:
        return "refusals";
    case Counter::Retries:
        return "retries";
    case Counter::Resumes:
        return "resumes";
    case Counter::UnknownOutcomes:
        return "unknown_outcomes";
    case Counter::Claims:
        return "claims";
    case Counter::ReplayedAnswers:
        return "replayed_answers";
    case Counter::Moves:
        return "moves";
    }
    return "unknown";
}

// A latency histogram and the sum of its samples, which the Prometheus format requires.
struct LatencyHistogram {
    decltype(bh::make_histogram(LatencyAxis(bucketCount, lowestSeconds, highestSeconds))) histogram
        = bh::make_histogram(LatencyAxis(bucketCount, lowestSeconds, highestSeconds));
    double sum = 0;
};

} // namespace

struct Metrics::State {
    std::map<std::tuple<LatencyKind, TeamId, CallerClassId>, LatencyHistogram> latencies;
    std::map<std::tuple<Counter, TeamId, std::string>, std::uint64_t> counters;
};

Metrics::Metrics()
    : state_(std::make_unique<State>())
{
}

Metrics::~Metrics() = default;

void Metrics::add(const LatencySample& sample)
{
    LatencyHistogram& latency = state_->latencies[{sample.kind, sample.team, sample.callerClass}];
    const double seconds = std::chrono::duration<double>(sample.value).count();
    latency.histogram(seconds);
    latency.sum += seconds;
}

void Metrics::add(const CounterSample& sample)
{
    state_->counters[{sample.counter, sample.team, sample.label}] += sample.increment;
}

std::string Metrics::prometheusText(const std::vector<Gauge>& gauges) const
{
    std::string text;
    std::string lastName;
    // The type of a metric is written once, before its first value.
    const auto writeType = [&](const std::string& name, std::string_view type) {
        if (name != lastName)
            text += fmt::format("# TYPE {} {}\n", name, type);
        lastName = name;
    };
    for (const auto& [key, latency] : state_->latencies) {
        const auto& [kind, team, callerClass] = key;
        const std::string name = fmt::format("lychee_{}_seconds", kindName(kind));
        writeType(name, "histogram");
        const std::string labels = fmt::format("team=\"{}\",class=\"{}\"", team, callerClass);
        double cumulative = 0;
        for (const auto& bucket : bh::indexed(latency.histogram, bh::coverage::all)) {
            cumulative += *bucket;
            // The last bucket holds the samples above the highest bound and becomes "+Inf" below.
            if (bucket.index() >= bucketCount)
                continue;
            text += fmt::format("{}_bucket{{{},le=\"{:.6g}\"}} {}\n", name, labels, bucket.bin().upper(), cumulative);
        }
        text += fmt::format("{}_bucket{{{},le=\"+Inf\"}} {}\n", name, labels, cumulative);
        text += fmt::format("{}_sum{{{}}} {}\n", name, labels, latency.sum);
        text += fmt::format("{}_count{{{}}} {}\n", name, labels, cumulative);
    }
    for (const auto& [key, value] : state_->counters) {
        const auto& [counter, team, label] = key;
        const std::string name = fmt::format("lychee_{}_total", counterName(counter));
        writeType(name, "counter");
        text += fmt::format("{}{{team=\"{}\",label=\"{}\"}} {}\n", name, team, label, value);
    }
    for (const Gauge& gauge : gauges) {
        const std::string name = "lychee_" + gauge.name;
        writeType(name, "gauge");
        if (gauge.labels.empty())
            text += fmt::format("{} {}\n", name, gauge.value);
        else
            text += fmt::format("{}{{{}}} {}\n", name, gauge.labels, gauge.value);
    }
    return text;
}

} // namespace lychee
