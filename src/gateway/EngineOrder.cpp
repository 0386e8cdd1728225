#include "gateway/EngineOrder.h"

namespace lychee::gateway {

std::string_view nameOf(OrderAnswer answer)
{
    switch (answer) {
    case OrderAnswer::Accepted:
        return "accepted";
    case OrderAnswer::Done:
        return "done";
    case OrderAnswer::Conflict:
        return "conflict";
    case OrderAnswer::Fenced:
        return "fenced";
    case OrderAnswer::Misdirected:
        return "misdirected";
    case OrderAnswer::Rejected:
        return "rejected";
    case OrderAnswer::Unanswered:
        return "unanswered";
    case OrderAnswer::NotSent:
        return "not sent";
    }
    return "unknown";
}

} // namespace lychee::gateway
