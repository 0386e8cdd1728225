// Faults that tests post to a stand-in, matched by path prefix.
#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <condition_variable>
#include <mutex>
#include <optional>
#include <string>
#include <vector>

namespace lychee::standin {

enum class FaultKind {
    Delay,
    DropAnswer,
    Refuse,
    Freeze,
    CrashOnBody,
    IgnoreFencing,
    HonourFencing,
    Silence,
    NotRun,
    NoLength,
    Leaving,
};

struct Fault {
    std::string path = "/";
    FaultKind kind = FaultKind::Delay;
    // Remaining requests to which the fault applies; -1 means until cleared.
    int count = 1;
    std::chrono::milliseconds delay{0};
    // `CrashOnBody` applies to requests whose body contains this text.
    std::string body;
    // `Delay` applies before the answer instead of before the effect.
    bool afterEffect = false;
    // Events of a stream that are sent before `DropAnswer`, `Silence` or `Delay` after the effect applies.
    int afterEvents = 0;
    // `DropAnswer` sends half of the next event of a stream first.
    bool insideEvent = false;
    // `DropAnswer` ends the connection of an answer without length regularly instead of resetting it.
    bool regularEnd = false;
    // `NotRun` asks for so many seconds without requests, when positive.
    int retryAfterSeconds = 0;
    // `Silence` applies to the connections that are open now instead of to requests.
    bool openConnections = false;

    // Parses the body of `POST /faults`, or returns nothing when it is malformed.
    static std::optional<Fault> parse(const std::string& text);
};

// The active faults. Thread-safe.
class FaultTable {
public:
    void add(const Fault& fault);

    // Removes all faults and wakes requests held by `Freeze`.
    void clear();

    // Returns the first matching fault of each kind and decrements its count.
    std::vector<Fault> take(const std::string& path, const std::string& body);

    // Number of faults returned by `take` so far, which tells a test that a fault was applied to a request.
    std::uint64_t taken() const;

    // Waits until the faults are cleared, or for `limit` when it is positive.
    void waitUntilCleared(std::chrono::milliseconds limit);

private:
    mutable std::mutex mutex_;
    std::condition_variable cleared_;
    std::uint64_t generation_ = 0;
    std::uint64_t taken_ = 0;
    std::vector<Fault> faults_;
};

} // namespace lychee::standin
