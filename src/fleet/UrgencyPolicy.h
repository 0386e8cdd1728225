// Decides with which urgency requests are sent to engines, which run more urgent requests first and preempt others for
// them.
#pragma once

#include "fleet/Customer.h"

#include <set>
#include <unordered_map>

namespace lychee::fleet {

struct Route;

// Urgency of a request at an engine; 0 goes first.
using Urgency = StrongNumber<struct UrgencyTag, int>;

class UrgencyPolicy {
public:
    static constexpr Urgency standard{5};
    static constexpr Urgency least{9};

    UrgencyPolicy() = default;

    // The urgency follows the priorities of the routes of a service only where a more urgent route never has a looser
    // latency objective than a less urgent one. Elsewhere requests that can wait would pass those that cannot.
    UrgencyPolicy(const std::vector<Route>& routes, const CustomerDirectory& customers);

    // Whether requests of any service differ in urgency, so that scarce capacity is to be divided among them.
    bool isActive() const;

    // Returns nothing where all requests are equally urgent. `customer` may be null; its priority goes before that of
    // the route.
    std::optional<Urgency> urgencyOf(const Route& route, const ServiceId& service, const Customer* customer) const;

private:
    // Distinct priorities of the customers, and of the routes of each service whose priorities count.
    std::set<int> customerPriorities_;
    std::unordered_map<ServiceId, std::set<int>> routePriorities_;
};

} // namespace lychee::fleet
