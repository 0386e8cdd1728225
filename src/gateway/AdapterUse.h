// Records which adapters requests use at present, for the placement owner.
#pragma once

#include "gateway/RelayContext.h"

namespace lychee::gateway {

// Counts the adapter of a request as in use for the lifetime of the object.
class AdapterUse {
public:
    AdapterUse(RelayContext& context, const TargetId& target, const std::optional<fleet::GenerationNeed>& need)
        : context_(context)
    {
        if (!need || !need->adapter)
            return;
        entry_.emplace(target, need->model, *need->adapter);
        ++context_.adaptersInUse[*entry_];
        context_.recentlyUsedAdapters.insert(*entry_);
    }

    ~AdapterUse()
    {
        if (entry_ && --context_.adaptersInUse[*entry_] == 0)
            context_.adaptersInUse.erase(*entry_);
    }

    AdapterUse(const AdapterUse&) = delete;
    AdapterUse& operator=(const AdapterUse&) = delete;

private:
    RelayContext& context_;
    std::optional<RelayContext::AdapterOnTarget> entry_;
};

} // namespace lychee::gateway
