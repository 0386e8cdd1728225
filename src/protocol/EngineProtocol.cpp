#include "protocol/EngineProtocol.h"

#include "protocol/BoundedJson.h"
#include "protocol/JsonText.h"

#include <array>
#include <limits>
#include <set>

namespace lychee {

namespace {

constexpr std::uint64_t maxCount = std::numeric_limits<std::uint32_t>::max();
// Fencing numbers grow by one with each change of owner, so a larger one is an error.
constexpr std::uint64_t maxFence = std::uint64_t{1} << 53;

constexpr std::array operations{
    OrderOperation::Load, OrderOperation::Unload, OrderOperation::Fence, OrderOperation::SetRole};

std::uint32_t readCount(FieldReader& reader, const char* field)
{
    return static_cast<std::uint32_t>(reader.number(field, maxCount));
}

OrderOperation readOperation(FieldReader& reader)
{
    const std::string name = reader.name("op");
    for (const OrderOperation operation : operations) {
        if (operationName(operation) == name)
            return operation;
    }
    reader.fail("unknown operation");
    return OrderOperation::Load;
}

void checkOrder(FieldReader& reader, const EngineOrder& order)
{
    const bool moves = order.operation == OrderOperation::Load || order.operation == OrderOperation::Unload;
    if (moves && order.artifact.empty())
        reader.fail("the order names no artifact");
    if (order.operation == OrderOperation::SetRole && order.role.empty())
        reader.fail("the order names no role");
}

std::vector<OrderId> readOrderIds(FieldReader& reader, const char* field)
{
    std::vector<OrderId> ids;
    for (const nlohmann::json& item : reader.array(field, maxListedArtifacts)) {
        const auto* text = item.get_ptr<const std::string*>();
        if (!text || text->empty() || text->size() > maxNameBytes) {
            reader.fail("an order id is not a short string");
            return {};
        }
        ids.emplace_back(*text);
    }
    return ids;
}

} // namespace

std::string_view operationName(OrderOperation operation)
{
    switch (operation) {
    case OrderOperation::Load:
        return "load";
    case OrderOperation::Unload:
        return "unload";
    case OrderOperation::Fence:
        return "fence";
    case OrderOperation::SetRole:
        return "set_role";
    }
    return "unknown";
}

bool isAdapter(const ArtifactId& artifact) { return artifact.value().find(':') != std::string::npos; }

nlohmann::json orderToJson(const EngineOrder& order)
{
    return {{"order_id", order.id}, {"fence", order.fence}, {"op", operationName(order.operation)},
        {"artifact", order.artifact}, {"bytes", order.bytes}, {"role", order.role}};
}

EngineOrder orderFromJson(FieldReader& reader)
{
    EngineOrder order;
    order.id = OrderId(reader.name("order_id"));
    order.fence = FencingNumber(reader.number("fence", maxFence));
    order.operation = readOperation(reader);
    order.artifact = ArtifactId(reader.optionalName("artifact"));
    order.bytes = Bytes(reader.optionalNumber("bytes", maxDocumentAmount));
    order.role = reader.optionalName("role");
    checkOrder(reader, order);
    return order;
}

nlohmann::json artifactsToJson(const std::vector<ArtifactSize>& artifacts)
{
    nlohmann::json json = nlohmann::json::array();
    for (const ArtifactSize& item : artifacts)
        json.push_back({{"artifact", item.artifact}, {"bytes", item.bytes}});
    return json;
}

std::vector<ArtifactSize> artifactsFromJson(FieldReader& reader, const char* field)
{
    std::vector<ArtifactSize> artifacts;
    std::set<ArtifactId> seen;
    for (const nlohmann::json& item : reader.array(field, maxListedArtifacts)) {
        FieldReader fields(item);
        const ArtifactId artifact(fields.name("artifact"));
        const Bytes bytes(fields.number("bytes", maxDocumentAmount));
        if (!fields.ok() || !seen.insert(artifact).second) {
            reader.fail(fmt::format("an item of {} is wrong or repeated", field));
            return {};
        }
        artifacts.push_back({artifact, bytes});
    }
    return artifacts;
}

std::string encodeOrder(const EngineOrder& order) { return writeJson(orderToJson(order)); }

absl::StatusOr<EngineOrder> decodeOrder(std::string_view document)
{
    const auto json = parseBoundedJson(document, maxOrderBytes);
    if (!json.ok())
        return json.status();
    FieldReader reader(*json);
    EngineOrder order = orderFromJson(reader);
    if (!reader.ok())
        return reader.status();
    return order;
}

std::string encodeOrderAnswer(const OrderAnswer& answer)
{
    const bool applied = answer.state == OrderState::Applied;
    nlohmann::json json{{"order_id", answer.id}, {"state", applied ? "applied" : "refused"}};
    if (!applied)
        json["reason"] = answer.reason;
    return writeJson(json);
}

absl::StatusOr<OrderAnswer> decodeOrderAnswer(std::string_view document)
{
    const auto json = parseBoundedJson(document, maxOrderBytes);
    if (!json.ok())
        return json.status();
    FieldReader reader(*json);
    OrderAnswer answer;
    answer.id = OrderId(reader.name("order_id"));
    const std::string state = reader.name("state");
    if (state != "applied" && state != "refused")
        reader.fail("unknown order state");
    answer.state = state == "applied" ? OrderState::Applied : OrderState::Refused;
    answer.reason = reader.optionalName("reason");
    if (!reader.ok())
        return reader.status();
    return answer;
}

std::string encodeReport(const EngineReport& report)
{
    return writeJson({{"incarnation", report.incarnation}, {"fence", report.fence}, {"capacity_bytes", report.capacity},
        {"used_bytes", report.used}, {"resident", artifactsToJson(report.resident)},
        {"applied_orders", report.appliedOrders}, {"running", report.running}, {"queued", report.queued},
        {"slots", report.slots}, {"tokens_per_second", report.tokensPerSecond}, {"age_ms", report.age.count()}});
}

absl::StatusOr<EngineReport> decodeReport(std::string_view document)
{
    const auto json = parseBoundedJson(document, maxReportBytes);
    if (!json.ok())
        return json.status();
    FieldReader reader(*json);
    EngineReport report;
    report.incarnation = EngineIncarnation(reader.name("incarnation"));
    report.fence = FencingNumber(reader.number("fence", maxFence));
    report.capacity = Bytes(reader.number("capacity_bytes", maxDocumentAmount));
    report.used = Bytes(reader.number("used_bytes", maxDocumentAmount));
    report.resident = artifactsFromJson(reader, "resident");
    report.appliedOrders = readOrderIds(reader, "applied_orders");
    report.running = readCount(reader, "running");
    report.queued = readCount(reader, "queued");
    report.slots = readCount(reader, "slots");
    report.tokensPerSecond = reader.real("tokens_per_second");
    report.age = std::chrono::milliseconds(readCount(reader, "age_ms"));
    if (!reader.ok())
        return reader.status();
    return report;
}

} // namespace lychee
