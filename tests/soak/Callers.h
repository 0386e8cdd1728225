// Callers that keep using their connections, each in a thread of its own.
#pragma once

#include "tests/soak/CallRecord.h"
#include "tests/support/GatewayDeployment.h"

#include <atomic>
#include <mutex>
#include <thread>

namespace lychee::test {

// The clock of one run.
class RunClock {
public:
    Millis now() const { return std::chrono::duration_cast<Millis>(std::chrono::steady_clock::now() - begin_); }

    // Time of the steady clock at the begin of the run, as workers write it into their records.
    Millis beginOnSteadyClock() const { return std::chrono::duration_cast<Millis>(begin_.time_since_epoch()); }

private:
    std::chrono::steady_clock::time_point begin_ = std::chrono::steady_clock::now();
};

// What the operator allows callers as idle time of a connection. Thread-safe.
class IdleLimits {
public:
    // A limit that is about to be written.
    void add(Millis limit);

    // The limit that was added last is acknowledged; earlier ones hold until instances have to apply it.
    void acknowledge(Millis now);

    // The lowest limit that may have been in force at some time since then.
    Millis lowestSince(Millis begin);

private:
    struct Entry {
        Millis limit;
        Millis until;
    };

    std::mutex mutex_;
    std::vector<Entry> entries_;
};

class Callers {
public:
    // Starts the threads: `count` of them, and in addition `slow` ones that read streams slowly. `deployment`, `clock`
    // and `keys` must outlive this object.
    Callers(const GatewayDeployment& deployment, const RunClock& clock, const KeyRing& keys, std::uint64_t seed,
        std::size_t count, std::size_t slow);

    ~Callers() { stop(); }

    // Calls may go to this path too from now on. Thread-safe.
    void addPath(const std::string& path);

    IdleLimits& idleLimits() { return idleLimits_; }

    // Ends the threads after their present call and returns what they saw.
    std::vector<CallRecord> stop();

private:
    void run(std::uint64_t seed, std::size_t index);
    void runSlowly(std::uint64_t seed, std::size_t index);
    void add(CallRecord record);
    // Pauses for a share of the limit of idle connections, in thousandths.
    void stayIdle(std::int64_t share);
    // Closes a connection that was idle for longer than the limit allows or that the instance has closed, and fills in
    // what `record` says of it.
    void checkIdle(TestHttpClient& client, Millis idleSince, CallRecord& record);
    std::string pickPath(std::uint64_t draw);

    const GatewayDeployment& deployment_;
    const RunClock& clock_;
    const KeyRing& keys_;
    IdleLimits idleLimits_;
    std::atomic<bool> stopping_{false};
    std::mutex mutex_;
    std::vector<std::string> paths_{"/unsafe/x", "/unsafe/y", "/safe/x", "/stream/x", "/stream/y"};
    std::vector<CallRecord> records_;
    std::vector<std::thread> threads_;
};

// What a caller sends.
struct CallInput {
    std::size_t instance = 0;
    std::string path;
    // The attempt id, without the name of the customer that is appended to it for the workers.
    std::string attempt;
    UsedKey key;
    // Pause of a slow caller before each event of a stream, whose events are then padded.
    Millis readPause{0};
    // A slow caller stops to read for longer than its request may last.
    bool stalls = false;
};

// Sends one request to an instance over `client`, or over a connection of its own for streams.
CallRecord call(
    const GatewayDeployment& deployment, const RunClock& clock, const CallInput& input, TestHttpClient& client);

} // namespace lychee::test
