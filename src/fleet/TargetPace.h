// The pace of one target: how long work currently takes there, relative to its usual time. 2.5 means 2.5 times as long.
//
// A target states its pace with its answers, and instances pass these reports on to their peers. A report loses its
// weight within the time in which the figure changes; after that the estimate is the long-run mean of the target. The
// instance also compares how long the target takes with what was expected. Where that contradicts the reports for long,
// the measured pace replaces them. Without any report the pace is exactly 1.
#pragma once

#include "protocol/Ids.h"
#include "transport/RuntimeClock.h"

#include <cstdint>
#include <optional>

namespace lychee::fleet {

// What a pace can be; a report outside of these bounds is ignored.
inline constexpr double minPace = 0.1;
inline constexpr double maxPace = 100;

inline bool isPace(double value) { return value >= minPace && value <= maxPace; }

// Where the present estimate comes from.
enum class PaceSource {
    // The target has never reported a pace.
    None,
    Report,
    PeerReport,
    // Only the long-run mean is known at present.
    Mean,
    // The measured times contradict the reports.
    Measured,
};

const char* nameOf(PaceSource source);

// What an instance tells its peers about the pace of a target.
struct PaceNews {
    double pace = 1;
    Duration age{0};
    // The pace was measured and contradicts what the target reports.
    bool isMeasured = false;

    bool operator==(const PaceNews&) const = default;
};

class TargetPace {
public:
    // Records what the target has reported with an answer to this instance.
    void recordReport(double pace, TimePoint now);

    // Records what a peer has told. It counts only if it is newer than what is known.
    void recordPeer(const PaceNews& news, TimePoint now);

    // Records how long the target took, as a multiple of the time that a target of pace 1 would have taken. `reported`
    // is the value of reportedOver() for this time.
    void recordMeasured(double multiple, double reported);

    // Returns the pace at `now`.
    double at(TimePoint now) const;

    // Returns the mean pace that is expected over a time that begins at `now`.
    double meanOver(Duration time, TimePoint now) const;

    // Returns the same according to the reports alone.
    double reportedOver(Duration time, TimePoint now) const;

    PaceSource sourceAt(TimePoint now) const;

    // Time since the newest report; none if there was no report.
    std::optional<Duration> age(TimePoint now) const;

    // Returns what is worth telling peers: a recent report that the target made to this instance, or a measured pace
    // that contradicts the reports.
    std::optional<PaceNews> news(TimePoint now) const;

private:
    struct Report {
        double pace = 1;
        TimePoint at;
        bool fromPeer = false;
    };

    void record(const Report& report);
    double reportedAt(TimePoint now) const;
    // Returns the measured pace where it replaces the reports.
    std::optional<double> measured(TimePoint now) const;

    // The newest report, and the newest one that the target made to this instance.
    std::optional<Report> newest_;
    std::optional<Report> own_;
    // Time-weighted moving average of the reports.
    double mean_ = 1;
    // Moving averages of the logarithms of the measured pace and of its ratio to the reported pace.
    double measuredLog_ = 0;
    double contradictionLog_ = 0;
    bool contradicted_ = false;
    // What a peer has measured in contradiction to the reports, and until when it counts.
    double peerMeasured_ = 1;
    TimePoint peerMeasuredUntil_;
};

// What the times measured at all targets of a service have in common: how far the expectation itself is off. Only the
// deviation of one target from it says something about this target.
class ExpectationBias {
public:
    // Records a measured time as a multiple of what is expected at pace 1, and returns this multiple without the bias.
    // `reported` is the pace that the target reported for this time. Returns nothing until the bias is known.
    std::optional<double> correct(double multiple, double reported);

private:
    // Running median of the logarithms, which a few targets of another pace hardly move.
    double medianLog_ = 0;
    std::uint64_t count_ = 0;
};

} // namespace lychee::fleet
