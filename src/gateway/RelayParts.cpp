#include "gateway/RelayParts.h"

namespace lychee::gateway {

std::string_view nameOf(RelayEnd end)
{
    switch (end) {
    case RelayEnd::Delivered:
        return "delivered";
    case RelayEnd::Refused:
        return "refused";
    case RelayEnd::Failed:
        return "failed";
    case RelayEnd::BrokenOff:
        return "broken off";
    case RelayEnd::CallerLeft:
        return "caller left";
    case RelayEnd::Rejected:
        return "rejected";
    }
    return "unknown";
}

} // namespace lychee::gateway
