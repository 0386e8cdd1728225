// The instance list, whose changes become visible to readers after a configurable lag.
#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <deque>
#include <map>
#include <mutex>
#include <string>

namespace lychee::standin {

// Thread-safe.
class Instances {
public:
    explicit Instances(std::chrono::milliseconds lag);

    // Adds or replaces an instance; `description` holds the fields other than `id`.
    void put(const std::string& id, nlohmann::json description);

    void remove(const std::string& id);

    // The list as it was one lag ago, as `{"instances":[...]}`.
    nlohmann::json list();

private:
    using Clock = std::chrono::steady_clock;
    using List = std::map<std::string, nlohmann::json>;

    struct Change {
        Clock::time_point visible;
        List list;
    };

    const std::chrono::milliseconds lag_;
    std::mutex mutex_;
    List current_;
    List visible_;
    std::deque<Change> changes_;
};

} // namespace lychee::standin
