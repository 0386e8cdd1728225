// Sends orders to engines from the targets duty, on connections that are known to lead to the intended incarnation of
// the engine.
#pragma once

#include "protocol/EngineProtocol.h"
#include "state/Configuration.h"
#include "transport/HttpClient.h"
#include "transport/Inbox.h"

#include <set>

namespace lychee {

// Whether an order was delivered.
enum class OrderDelivery {
    Answered,
    // The order may have been sent, and no valid answer arrived.
    OutcomeUnknown,
    NotSent,
};

struct OrderResult {
    OrderDelivery delivery = OrderDelivery::NotSent;
    OrderAnswer answer;
};

// A report and the time at which it was requested.
struct TimedReport {
    TimePoint requestedAt;
    EngineReport report;
};

// May be called from fibers of any duty.
class TargetControl {
public:
    // `inbox` belongs to the targets duty.
    explicit TargetControl(std::shared_ptr<Inbox> inbox);

    // Sends an order once, on a connection on which the engine has just reported `incarnation`.
    OrderResult send(const Target& target, const EngineOrder& order, const EngineIncarnation& incarnation);

    // Requests a report of an engine; returns nothing when the request fails.
    std::optional<TimedReport> report(const Target& target);

private:
    std::shared_ptr<Inbox> inbox_;
};

} // namespace lychee
