#include "coordination/TargetRow.h"

#include "protocol/BoundedJson.h"
#include "protocol/JsonText.h"
#include "protocol/ProtocolError.h"

namespace lychee {

namespace {

constexpr std::size_t maxRowBytes = 1024 * 1024;
constexpr std::uint64_t maxFence = std::uint64_t{1} << 53;

auto lowerBound(auto& resident, const ArtifactId& artifact)
{
    return std::lower_bound(resident.begin(), resident.end(), artifact,
        [](const ArtifactSize& item, const ArtifactId& wanted) { return item.artifact < wanted; });
}

std::vector<EngineOrder> readOrders(FieldReader& reader)
{
    std::vector<EngineOrder> orders;
    // The release of a target adds the orders of the grant to those of the row, so the decoder accepts more than
    // maxRecordedOrders.
    for (const nlohmann::json& item : reader.array("orders", maxListedArtifacts)) {
        FieldReader fields(item);
        orders.push_back(orderFromJson(fields));
        if (!fields.ok())
            reader.fail("an order of the row is wrong");
    }
    return orders;
}

} // namespace

bool TargetRow::isResident(const ArtifactId& artifact) const
{
    const auto found = lowerBound(resident, artifact);
    return found != resident.end() && found->artifact == artifact;
}

void TargetRow::addResident(const ArtifactSize& item)
{
    const auto found = lowerBound(resident, item.artifact);
    if (found != resident.end() && found->artifact == item.artifact)
        found->bytes = std::max(found->bytes, item.bytes);
    else
        resident.insert(found, item);
}

void TargetRow::removeResident(const ArtifactId& artifact)
{
    const auto found = lowerBound(resident, artifact);
    if (found != resident.end() && found->artifact == artifact)
        resident.erase(found);
}

const EngineOrder* TargetRow::order(const OrderId& id) const
{
    const auto found
        = std::find_if(orders.begin(), orders.end(), [&](const EngineOrder& order) { return order.id == id; });
    return found == orders.end() ? nullptr : &*found;
}

bool TargetRow::hasUnresolvedLoad(const ArtifactId& artifact) const
{
    return std::any_of(orders.begin(), orders.end(), [&](const EngineOrder& order) {
        return order.operation == OrderOperation::Load && order.artifact == artifact;
    });
}

bool TargetRow::isGrantInherited() const { return grant > Bytes{} && grantFence != fence; }

std::string encodeTargetRow(const TargetRow& row)
{
    nlohmann::json orders = nlohmann::json::array();
    for (const EngineOrder& order : row.orders)
        orders.push_back(orderToJson(order));
    return writeJson({{"owner", row.owner}, {"fence", row.fence}, {"nonce", row.nonce},
        {"capacity_bytes", row.capacity}, {"incarnation", row.incarnation}, {"resident", artifactsToJson(row.resident)},
        {"orders", orders}, {"grant_bytes", row.grant}, {"grant_fence", row.grantFence}});
}

absl::StatusOr<TargetRow> decodeTargetRow(std::string_view document)
{
    const auto json = parseBoundedJson(document, maxRowBytes);
    if (!json.ok())
        return json.status();
    FieldReader reader(*json);
    TargetRow row;
    row.owner = InstanceId(reader.text("owner"));
    row.fence = FencingNumber(reader.number("fence", maxFence));
    row.nonce = Nonce(reader.name("nonce"));
    row.capacity = Bytes(reader.number("capacity_bytes", maxDocumentAmount));
    row.incarnation = EngineIncarnation(reader.name("incarnation"));
    row.resident = artifactsFromJson(reader, "resident");
    std::ranges::sort(row.resident, {}, &ArtifactSize::artifact);
    row.orders = readOrders(reader);
    row.grant = Bytes(reader.number("grant_bytes", maxDocumentAmount));
    row.grantFence = FencingNumber(reader.number("grant_fence", maxFence));
    if (!reader.ok())
        return reader.status();
    return row;
}

} // namespace lychee
