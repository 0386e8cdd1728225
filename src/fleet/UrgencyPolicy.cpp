#include "fleet/UrgencyPolicy.h"

#include "fleet/RouteTable.h"

namespace lychee::fleet {

namespace {

// Whether a more urgent route never has a looser objective than a less urgent one. The routes are in the order of their
// priority.
bool objectivesFollowPriorities(const std::multimap<int, Duration>& objectives)
{
    Duration loosest{0};
    for (auto group = objectives.begin(); group != objectives.end();) {
        const auto next = objectives.upper_bound(group->first);
        Duration loosestOfGroup{0};
        for (; group != next; ++group) {
            if (group->second < loosest)
                return false;
            loosestOfGroup = std::max(loosestOfGroup, group->second);
        }
        loosest = loosestOfGroup;
    }
    return true;
}

int rankOf(const std::set<int>& priorities, int priority)
{
    return static_cast<int>(std::distance(priorities.begin(), priorities.lower_bound(priority)));
}

} // namespace

UrgencyPolicy::UrgencyPolicy(const std::vector<Route>& routes, const CustomerDirectory& customers)
{
    for (const Customer& customer : customers.customers()) {
        if (customer.priority)
            customerPriorities_.insert(*customer.priority);
    }
    std::map<ServiceId, std::multimap<int, Duration>> objectives;
    for (const Route& route : routes) {
        for (const WeightedService& target : route.services)
            objectives[target.service].emplace(route.priority, route.latencyObjective);
    }
    for (const auto& [service, ofService] : objectives) {
        if (!objectivesFollowPriorities(ofService))
            continue;
        for (const auto& [priority, objective] : ofService)
            routePriorities_[service].insert(priority);
    }
}

bool UrgencyPolicy::isActive() const
{
    return !customerPriorities_.empty()
        || std::any_of(routePriorities_.begin(), routePriorities_.end(),
            [](const auto& service) { return service.second.size() > 1; });
}

std::optional<Urgency> UrgencyPolicy::urgencyOf(
    const Route& route, const ServiceId& service, const Customer* customer) const
{
    const bool customerCounts = customer && customer->priority;
    const auto ofService = routePriorities_.find(service);
    const std::size_t levels = ofService == routePriorities_.end() ? 1 : ofService->second.size();
    if (!customerCounts && levels < 2)
        return std::nullopt;
    const int routeRank = levels < 2 ? 0 : rankOf(ofService->second, route.priority);
    const int customerRank = customerCounts ? rankOf(customerPriorities_, *customer->priority) : 0;
    return std::min(least, Urgency(customerRank * static_cast<int>(levels) + routeRank));
}

} // namespace lychee::fleet
