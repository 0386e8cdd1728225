// Limits sends of a request to a further target, for each service. All instances share one allowance: in any window a
// part of the requests and a fixed number. Each instance takes the part of its own requests and an equal share of the
// fixed number, so the sum keeps the allowance without any talk.
#pragma once

#include "protocol/Ids.h"
#include "transport/RuntimeClock.h"

#include <array>
#include <unordered_map>

namespace lychee::fleet {

struct ServiceRetryBudgetOptions {
    // Further sends for each request in the window.
    double part = 0.2;
    // Further sends beyond that in one window, of this instance.
    double share = 5;
    Duration window = std::chrono::seconds(10);
};

class ServiceRetryBudget {
public:
    void setOptions(const ServiceRetryBudgetOptions& options) { options_ = options; }

    // Records the arrival of a request.
    void request(const ServiceId& service, TimePoint now);

    // Whether one more send is allowed.
    bool isAvailable(const ServiceId& service, TimePoint now);

    // Records a further send.
    void take(const ServiceId& service, TimePoint now);

private:
    // The window is counted in this many steps. The oldest step counts whole for sends and not at all for requests.
    static constexpr std::size_t steps = 20;

    struct Count {
        std::int64_t step = -1;
        double requests = 0;
        double sends = 0;
    };

    using Counts = std::array<Count, steps + 1>;

    std::int64_t stepOf(TimePoint now) const;
    Count& current(const ServiceId& service, TimePoint now);

    ServiceRetryBudgetOptions options_;
    std::unordered_map<ServiceId, Counts> services_;
};

} // namespace lychee::fleet
