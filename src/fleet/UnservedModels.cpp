#include "fleet/UnservedModels.h"

namespace lychee::fleet {

UnservedTimes UnservedModels::update(std::span<const ModelDemand> demand, const std::set<ModelId>& held, TimePoint now)
{
    UnservedTimes times;
    for (const ModelDemand& entry : demand) {
        if (held.contains(entry.model) || entry.work <= 0)
            continue;
        Wait& wait = waits_.try_emplace(entry.model, Wait{now, now}).first->second;
        wait.askedAt = now;
        times[entry.model] = now - wait.since;
    }
    std::erase_if(
        waits_, [&](const auto& wait) { return held.contains(wait.first) || now - wait.second.askedAt > maxPause; });
    return times;
}

} // namespace lychee::fleet
