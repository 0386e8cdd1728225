#include "daemon/MetricsSink.h"

namespace lychee {

namespace {

constexpr std::size_t sampleCapacity = 65536;
constexpr std::size_t inboxCapacity = 16;

// Samples are collected at this interval, because a receiver that waits for each sample would be woken for every token.
constexpr Duration collectInterval = std::chrono::milliseconds(20);

} // namespace

void MetricsSink::collectSamples(Ring<Sample>& samples, Metrics& metrics)
{
    while (const std::optional<Sample> sample = samples.tryPop())
        std::visit([&](const auto& value) { metrics.add(value); }, *sample);
}

MetricsSink::MetricsSink(Duty& duty)
    : samples_(Ring<Sample>::create(duty, sampleCapacity))
    , inbox_(Inbox::create(duty, inboxCapacity))
{
    duty.spawn([metrics = metrics_, samples = samples_] {
        while (!samples->isClosed()) {
            collectSamples(*samples, *metrics);
            sleepFor(collectInterval);
        }
    });
}

MetricsSink::~MetricsSink()
{
    samples_->close();
    inbox_->close();
}

void MetricsSink::latency(LatencyKind kind, const TeamId& team, const CallerClassId& callerClass, Duration value)
{
    push(LatencySample{kind, team, callerClass, value});
}

void MetricsSink::count(Counter counter, const TeamId& team, std::string label, std::uint64_t increment)
{
    push(CounterSample{counter, team, std::move(label), increment});
}

void MetricsSink::push(Sample sample)
{
    if (!samples_->push(std::move(sample)).ok())
        ++dropped_;
}

std::string MetricsSink::prometheusText(const std::vector<Gauge>& gauges)
{
    std::vector<Gauge> all = gauges;
    all.push_back({"dropped_samples", static_cast<double>(dropped_.load())});
    const absl::StatusOr<std::string> text
        = callOn(*inbox_, [metrics = metrics_, samples = samples_, all = std::move(all)] {
              collectSamples(*samples, *metrics);
              return metrics->prometheusText(all);
          });
    return text.ok() ? *text : std::string();
}

} // namespace lychee
