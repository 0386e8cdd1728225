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

void recordEnd(const RelayRecord& record, MetricsSink* metrics)
{
    logChannel.info("request={} route={} model={} config={} end=\"{}\" status={} target={} sends={} runs={} ms={} "
                    "reason=\"{}\"",
        record.caller->attempt, record.route ? record.route->id.value() : std::string("-"), modelName(*record.caller),
        record.configuration, nameOf(record.end), record.status, record.target, record.sends, record.possibleRuns,
        std::chrono::duration_cast<std::chrono::milliseconds>(record.total).count(),
        record.end == RelayEnd::Delivered ? std::string_view() : record.problem);
    if (!record.route || !metrics)
        return;
    const TeamId team(record.service ? record.service->id.value() : std::string());
    const CallerClassId callerClass(record.route->id.value());
    metrics->count(Counter::Requests, team, std::string(nameOf(record.end)));
    if (record.firstEvent)
        metrics->latency(LatencyKind::FirstToken, team, callerClass, *record.firstEvent);
    if (record.end == RelayEnd::Delivered)
        metrics->latency(LatencyKind::WholeAnswer, team, callerClass, record.total);
}

} // namespace lychee::gateway
