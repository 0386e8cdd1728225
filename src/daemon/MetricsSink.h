// Transfers metric samples from any duty to the metrics duty.
#pragma once

#include "state/Metrics.h"
#include "transport/Inbox.h"

#include <atomic>
#include <variant>

namespace lychee {

// Recording a sample never blocks: when the ring is full, the sample is dropped and counted as dropped. Thread-safe.
class MetricsSink {
public:
    // `duty` is the metrics duty, on which samples are collected.
    explicit MetricsSink(Duty& duty);

    // Closes the ring, so that no further sample is accepted and the collecting fiber ends.
    ~MetricsSink();

    void latency(LatencyKind kind, const TeamId& team, const CallerClassId& callerClass, Duration value);

    void count(Counter counter, const TeamId& team, std::string label = {}, std::uint64_t increment = 1);

    // The current metrics in the Prometheus text format; empty when the metrics duty cannot answer. Must be called from
    // a fiber, of any duty.
    std::string prometheusText(const std::vector<Gauge>& gauges);

private:
    using Sample = std::variant<LatencySample, CounterSample>;

    static void collectSamples(Ring<Sample>& samples, Metrics& metrics);
    void push(Sample sample);

    std::shared_ptr<Metrics> metrics_ = std::make_shared<Metrics>();
    std::shared_ptr<Ring<Sample>> samples_;
    std::shared_ptr<Inbox> inbox_;
    std::atomic<std::uint64_t> dropped_{0};
};

} // namespace lychee
