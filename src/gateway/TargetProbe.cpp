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
    // A target whose entry states no start is known by its name only.
    const bool knowsStart = target.incarnation != fleet::TargetIncarnation();
    if (identity.misdirected || (identity.target && *identity.target != target.target)
        || (knowsStart && identity.incarnation && *identity.incarnation != target.incarnation))
        return TargetLife::Ended;
    return identity.isStated ? TargetLife::Alive : TargetLife::Unknown;
}

} // namespace lychee::gateway
