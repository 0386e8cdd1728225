// Latency histograms by team and caller class, and counters.
#pragma once

#include "protocol/Ids.h"
#include "transport/RuntimeClock.h"

#include <memory>
#include <string>
#include <vector>

namespace lychee {

enum class LatencyKind {
    // From arrival to the first byte from a target.
    Wait,
    FirstToken,
    BetweenTokens,
    // From arrival to the end of the answer.
    WholeAnswer,
};

enum class Counter {
    Requests,
    // Requests answered within their caller's patience.
    InTime,
    Late,
    Refusals,
    Retries,
    Resumes,
    UnknownOutcomes,
    Claims,
    ReplayedAnswers,
    Moves,
};

// One measured duration.
struct LatencySample {
    LatencyKind kind = LatencyKind::Wait;
    TeamId team;
    CallerClassId callerClass;
    Duration value{0};
};

// One event to count.
struct CounterSample {
    Counter counter = Counter::Requests;
    TeamId team;
    // Distinguishes events of one counter, for example by the reason of a refusal; may be empty.
    std::string label;
    std::uint64_t increment = 1;
};

// A value that is read when the metrics are exported.
struct Gauge {
    std::string name;
    double value = 0;
    // For example `target="a"`; empty for a gauge with a single value. Gauges of one name must follow one another.
    std::string labels;
};

// Collects samples. Not thread-safe; used on the thread of the metrics only.
class Metrics {
public:
    Metrics();
    ~Metrics();

    void add(const LatencySample& sample);

    void add(const CounterSample& sample);

    // All histograms and counters in the Prometheus text format, followed by `gauges`.
    std::string prometheusText(const std::vector<Gauge>& gauges) const;

private:
    struct State;

    std::unique_ptr<State> state_;
};

} // namespace lychee
