#include "fleet/TargetRecord.h"

namespace lychee::fleet {

const HeldModel* Holdings::find(const ModelId& id) const
{
    const auto found
        = std::find_if(models.begin(), models.end(), [&](const HeldModel& held) { return held.model == id; });
    return found == models.end() ? nullptr : &*found;
}

std::size_t Holdings::adapterCount() const
{
    std::size_t count = arriving.size();
    for (const HeldModel& held : models)
        count += held.adapters.size();
    return count;
}

} // namespace lychee::fleet
