// Limits retries, which are sends of a request to a further target, for each service. All instances together may use a
// fraction of the requests in any window plus a fixed number of retries. Each instance takes that fraction of its own
// requests and an equal share of the fixed number, so the total keeps to the limit without communication between
// instances. A share that grows can be used only after one window, because until then the part that was added may have
// been used by the instance that had it before: one that is gone, or the predecessor of this process.
#pragma once

#include "protocol/Ids.h"
#include "transport/RuntimeClock.h"

#include <array>
#include <deque>
#include <unordered_map>

namespace lychee::fleet {

struct ServiceRetryBudgetOptions {
    // Retries allowed for each request in the window.
    double part = 0.2;
    // Retries allowed to this instance in one window in addition to that.
    double share = 5;
    Duration window = std::chrono::seconds(10);
};

class ServiceRetryBudget {
public:
    // Sets the options at once, a larger share included.
    void setOptions(const ServiceRetryBudgetOptions& options);

    // Sets the options at `now`, but for a larger share, which takes effect one window later.
    void updateOptions(const ServiceRetryBudgetOptions& options, TimePoint now);

    // Records the arrival of a request.
    void request(const ServiceId& service, TimePoint now);

    // Whether this many more retries are allowed.
    bool isAvailable(const ServiceId& service, TimePoint now, int count = 1);

    // Records a retry.
    void take(const ServiceId& service, TimePoint now);

private:
    // Number of steps into which the window is divided. The window begins within the oldest step, which is counted in
    // full for retries and not at all for requests, so that the result errs on the safe side.
    static constexpr std::size_t stepsInWindow = 20;

    struct Count {
        std::int64_t step = -1;
        double requests = 0;
        double retries = 0;
    };

    using Counts = std::array<Count, stepsInWindow + 1>;

    // A share and when it was replaced by the next one.
    struct FormerShare {
        double share = 0;
        TimePoint until;
    };

    std::int64_t stepOf(TimePoint now) const;
    Count& current(const ServiceId& service, TimePoint now);

    // The smallest share of the window that ends at `now`.
    double usableShare(TimePoint now);

    ServiceRetryBudgetOptions options_;
    std::deque<FormerShare> formerShares_;
    std::unordered_map<ServiceId, Counts> services_;
};

} // namespace lychee::fleet
