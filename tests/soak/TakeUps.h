// Callers whose streams break off and who take them up again, at any instance.
#pragma once

#include "tests/soak/Callers.h"

namespace lychee::test {

// A stream that one caller has begun and then taken up.
struct TakeUpRecord {
    std::string attempt;
    std::string resumingAttempt;
    // The workers that wrote the first part and the rest; empty for an answer of an instance, or for none.
    std::string begunBy;
    std::string resumedBy;
    // The answer to the take-up; 0 for none.
    int status = 0;
    Millis begunAt{0};
    Millis resumedAt{0};
    // What is wrong with the content of the rest; empty when nothing is.
    std::string wrong;

    // For reports.
    std::string text() const
    {
        return fmt::format("{} begun by {} at {}, taken up with {} at {}, status {} by {} {}", attempt, begunBy,
            begunAt.count(), resumingAttempt, resumedAt.count(), status, resumedBy, wrong);
    }
};

class TakeUps {
public:
    // Starts the threads. `deployment`, `clock` and `keys` must outlive this object.
    TakeUps(const GatewayDeployment& deployment, const RunClock& clock, const KeyRing& keys, std::uint64_t seed,
        std::size_t count);

    ~TakeUps() { stop(); }

    // Ends the threads after their present stream and returns what they saw.
    std::vector<TakeUpRecord> stop();

private:
    void run(std::uint64_t seed, std::size_t index);
    // Reads some events of a new stream. Returns nothing when there is no event, or when the stream has ended.
    std::optional<TakeUpRecord> begin(std::size_t instance, const std::string& attempt, int events);
    void resume(std::size_t instance, TakeUpRecord& record, int events);
    HttpRequest request(const std::string& attempt) const;

    const GatewayDeployment& deployment_;
    const RunClock& clock_;
    const KeyRing& keys_;
    std::atomic<bool> stopping_{false};
    std::mutex mutex_;
    std::vector<TakeUpRecord> records_;
    std::vector<std::thread> threads_;
};

} // namespace lychee::test
