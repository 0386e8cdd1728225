#include "fleet/RouteTable.h"

#include <absl/strings/ascii.h>

namespace lychee::fleet {

namespace {

std::string prefixKey(std::string_view host, std::string_view prefix)
{
    std::string key(host);
    absl::AsciiStrToLower(&key);
    key += '\0';
    key += prefix;
    return key;
}

} // namespace

std::optional<Duration> Engine::cacheTransferTime(double tokens) const
{
    constexpr double bitsPerByte = 8;
    constexpr double bitsPerMegabit = 1e6;
    if (cacheTokenBytes <= 0 || linkMegabitsPerSecond <= 0)
        return std::nullopt;
    const double seconds = tokens * cacheTokenBytes * bitsPerByte / (linkMegabitsPerSecond * bitsPerMegabit);
    return std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds));
}

const Model* Engine::find(const ModelId& id) const
{
    const auto found = std::find_if(models.begin(), models.end(), [&](const Model& model) { return model.id == id; });
    return found == models.end() ? nullptr : &*found;
}

std::shared_ptr<const RouteTable> RouteTable::create(ConfigurationVersion version, std::vector<Route> routes,
    std::vector<Service> services, CallerLimits limits, CustomerDirectory customers)
{
    std::shared_ptr<RouteTable> table(new RouteTable());
    table->version_ = version;
    table->routes_ = std::move(routes);
    table->services_ = std::move(services);
    table->limits_ = limits;
    table->customers_ = std::move(customers);
    table->urgency_ = UrgencyPolicy(table->routes_, table->customers_);
    for (std::size_t i = 0; i < table->routes_.size(); ++i)
        table->byPrefix_.emplace(prefixKey(table->routes_[i].host, table->routes_[i].prefix), i);
    for (std::size_t i = 0; i < table->services_.size(); ++i)
        table->byService_.emplace(table->services_[i].id, i);
    return table;
}

const Route* RouteTable::match(std::string_view host, std::string_view path) const
{
    std::string key = prefixKey(host.substr(0, host.find(':')), path);
    const std::size_t pathStart = key.size() - path.size();
    // Prefixes end with a slash, so only the leading sections of the path that end with a slash can match.
    while (key.size() > pathStart) {
        if (key.back() == '/') {
            if (const auto found = byPrefix_.find(key); found != byPrefix_.end())
                return &routes_[found->second];
        }
        key.pop_back();
    }
    return nullptr;
}

const Service* RouteTable::service(const ServiceId& id) const
{
    const auto found = byService_.find(id);
    return found == byService_.end() ? nullptr : &services_[found->second];
}

const ServiceId* pickService(const Route& route, double draw)
{
    double total = 0;
    for (const WeightedService& candidate : route.services)
        total += candidate.weight;
    double left = draw * total;
    for (const WeightedService& candidate : route.services) {
        left -= candidate.weight;
        if (left < 0)
            return &candidate.service;
    }
    return route.services.empty() ? nullptr : &route.services.back().service;
}

} // namespace lychee::fleet
