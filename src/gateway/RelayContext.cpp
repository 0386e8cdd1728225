#include "gateway/RelayContext.h"

#include "transport/Log.h"

namespace lychee::gateway {

namespace {

constexpr LogChannel logChannel("relay");

std::string modelName(const fleet::CallerRequest& caller)
{
    if (!caller.generation)
        return "-";
    const auto& adapter = caller.generation->adapter;
    return caller.generation->model.value() + (adapter ? "/" + adapter->value() : std::string());
}

} // namespace

std::string_view nameOf(RelayOutcome outcome)
{
    switch (outcome) {
    case RelayOutcome::Delivered:
        return "delivered";
    case RelayOutcome::Refused:
        return "refused";
    case RelayOutcome::Failed:
        return "failed";
    case RelayOutcome::BrokenOff:
        return "broken off";
    case RelayOutcome::CallerLeft:
        return "caller left";
    case RelayOutcome::Rejected:
        return "rejected";
    }
    return "unknown";
}

fleet::EpochTime RelayContext::epochTime() const
{
    const auto elapsed = Duty::current()->clock()->nowWithSuspension().time_since_epoch();
    return fleet::EpochTime(epochAtStart + std::chrono::duration_cast<std::chrono::milliseconds>(elapsed).count());
}

void RelayContext::endWaits()
{
    for (const std::function<void()>* end : waits)
        (*end)();
}

void recordOutcome(const RelayRecord& record, MetricsSink* metrics)
{
    const auto milliseconds
        = [](Duration time) { return std::chrono::duration_cast<std::chrono::milliseconds>(time).count(); };
    logChannel.info(
        "request={} route={} customer={} model={} config={} end=\"{}\" status={} target={} sends={} runs={} ms={} "
        "first_ms={} gap_ms={} reason=\"{}\"",
        record.caller->attempt, record.route ? record.route->id.value() : std::string("-"),
        record.customer.empty() ? std::string("-") : record.customer.value(), modelName(*record.caller),
        record.configuration, nameOf(record.outcome), record.status, record.target, record.sends, record.possibleRuns,
        milliseconds(record.total), record.firstEvent ? milliseconds(*record.firstEvent) : -1,
        milliseconds(record.longestGap),
        record.outcome == RelayOutcome::Delivered ? std::string_view() : record.problem);
    if (!record.route || !metrics)
        return;
    const TeamId team(record.service ? record.service->id.value() : std::string());
    const CallerClassId callerClass(record.route->id.value());
    metrics->count(Counter::Requests, team, std::string(nameOf(record.outcome)));
    if (record.firstEvent)
        metrics->latency(LatencyKind::FirstToken, team, callerClass, *record.firstEvent);
    if (record.outcome == RelayOutcome::Delivered)
        metrics->latency(LatencyKind::WholeAnswer, team, callerClass, record.total);
}

} // namespace lychee::gateway
