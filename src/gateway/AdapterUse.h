// Records which adapters requests use at present, for the placement owner.
#pragma once

#include "gateway/RelayParts.h"

namespace lychee::gateway {

// Counts the adapter of a request as in use for the lifetime of the object.
class AdapterUse {
public:
    AdapterUse(RelayParts& parts, const TargetId& target, const std::optional<fleet::GenerationNeed>& need)
        : parts_(parts)
    {
        if (!need || !need->adapter)
            return;
        entry_.emplace(target, need->model, *need->adapter);
        ++parts_.adaptersInUse[*entry_];
        parts_.adaptersUsed.insert(*entry_);
    }

    ~AdapterUse()
    {
        if (entry_ && --parts_.adaptersInUse[*entry_] == 0)
            parts_.adaptersInUse.erase(*entry_);
    }

    AdapterUse(const AdapterUse&) = delete;
    AdapterUse& operator=(const AdapterUse&) = delete;

private:
    RelayParts& parts_;
    std::optional<RelayParts::AdapterOnTarget> entry_;
};

} // namespace lychee::gateway
