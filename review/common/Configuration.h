// The operator's configuration as it lies in the store.
#pragma once

#include <nlohmann/json.hpp>

namespace review {

struct RouteOptions {
    std::string prefix;
    std::string service;
    std::string kind;
    int timeoutMs = 4000;
    int targetLatencyMs = 300;
    int attempts = 1;
    bool resumable = false;
};

inline constexpr const char* routeHost = "desk.example";

inline nlohmann::json route(const RouteOptions& options)
{
    nlohmann::json route{{"name", "r-" + options.prefix.substr(1, options.prefix.size() - 2)}, {"host", routeHost},
        {"prefix", options.prefix}, {"kind", options.kind}, {"timeoutMs", options.timeoutMs},
        {"targetLatencyMs", options.targetLatencyMs}, {"priority", 1}, {"service", options.service},
        {"attempts", options.attempts}};
    if (options.kind == "streaming") {
        route["sticky"] = true;
        route["resumable"] = options.resumable;
        route["gapTargetMs"] = 600;
    }
    return route;
}

inline nlohmann::json plainService(const std::string& name)
{
    return {{"name", name}, {"healthPath", "/health"}, {"maxConnections", 100}, {"protocol", "h1"}, {"tls", false}};
}

// A service of engines with one model.
inline nlohmann::json engineService(const std::string& name, const std::string& model)
{
    nlohmann::json service = plainService(name);
    service["maxConnections"] = 360;
    service["engine"] = {{"slots", 64}, {"kvCapacity", 232000}, {"weightsMb", 200000}, {"adapterSlots", 8},
        {"loadsPerS", 2.1}, {"stride", 4},
        {"models",
            {{{"name", model}, {"weightsMb", 65100}, {"loadS", 3.8}, {"adapters", 0}, {"adapterMb", 12},
                {"warmS", 0.38}, {"diskLoadS", 0.76}}}}};
    return service;
}

inline nlohmann::json configuration(int version, nlohmann::json routes, nlohmann::json services)
{
    return {{"version", version}, {"routes", std::move(routes)}, {"services", std::move(services)},
        {"limits",
            {{"headerBytes", 16384}, {"maxBodyBytes", 4194304}, {"headerTimeoutMs", 5000}, {"idleTimeoutMs", 30000}}}};
}

} // namespace review
