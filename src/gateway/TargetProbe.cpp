#include "gateway/TargetProbe.h"

namespace lychee::gateway {

std::string_view nameOf(TargetLife life)
{
    switch (life) {
    case TargetLife::Alive:
        return "alive";
    case TargetLife::Ended:
        return "ended";
    case TargetLife::Unknown:
        return "unknown";
    }
    return "unknown";
}

TargetLife lifeOf(const TargetIdentity& identity, const fleet::ChosenTarget& target)
{
    if (!identity.isStated)
        return TargetLife::Unknown;
    if (identity.misdirected)
        return TargetLife::Ended;
    // A target whose entry states no start is known by its name only.
    const bool knowsStart = target.incarnation != fleet::TargetIncarnation();
    const bool isOther = (identity.target && *identity.target != target.target)
        || (knowsStart && identity.incarnation && *identity.incarnation != target.incarnation);
    return isOther ? TargetLife::Ended : TargetLife::Alive;
}

} // namespace lychee::gateway
