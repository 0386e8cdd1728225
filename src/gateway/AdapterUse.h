// Which adapters requests use now, for the placement owner.
#pragma once

#include "gateway/RelayContext.h"

namespace lychee::gateway {

// Keeps the adapter of a request known as used while the object lives.
class AdapterUse {
public:
    AdapterUse(RelayContext& parts, const TargetId& target, const std::optional<fleet::GenerationNeed>& need)
        : parts_(parts)
    {
        if (!need || !need->adapter)
            return;
        entry_.emplace(target, need->model, *need->adapter);
        ++parts_.adaptersInUse[*entry_];
        parts_.recentlyUsedAdapters.insert(*entry_);
    }

    ~AdapterUse()
    {
        if (entry_ && --parts_.adaptersInUse[*entry_] == 0)
            parts_.adaptersInUse.erase(*entry_);
    }

    AdapterUse(const AdapterUse&) = delete;
    AdapterUse& operator=(const AdapterUse&) = delete;

private:
    RelayContext& parts_;
    std::optional<RelayContext::AdapterOnTarget> entry_;
};

} // namespace lychee::gateway
