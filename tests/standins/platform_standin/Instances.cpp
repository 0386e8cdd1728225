#include "tests/standins/platform_standin/Instances.h"

namespace lychee::standin {

Instances::Instances(std::chrono::milliseconds lag)
    : lag_(lag)
{
}

void Instances::put(const std::string& id, nlohmann::json description)
{
    const std::lock_guard lock(mutex_);
    description["id"] = id;
    current_[id] = std::move(description);
    changes_.push_back({Clock::now() + lag_, current_});
}

void Instances::remove(const std::string& id)
{
    const std::lock_guard lock(mutex_);
    current_.erase(id);
    changes_.push_back({Clock::now() + lag_, current_});
}

nlohmann::json Instances::list()
{
    const std::lock_guard lock(mutex_);
    while (!changes_.empty() && changes_.front().visible <= Clock::now()) {
        visible_ = std::move(changes_.front().list);
        changes_.pop_front();
    }
    nlohmann::json instances = nlohmann::json::array();
    for (const auto& [id, description] : visible_)
        instances.push_back(description);
    return {{"instances", std::move(instances)}};
}

} // namespace lychee::standin
