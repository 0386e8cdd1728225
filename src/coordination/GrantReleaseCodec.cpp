#include "coordination/GrantReleaseCodec.h"

#include "protocol/BoundedJson.h"
#include "protocol/JsonText.h"

namespace lychee {

std::string encodeGrantRelease(const GrantRelease& release)
{
    nlohmann::json orders = nlohmann::json::array();
    for (const EngineOrder& order : release.contents.orders)
        orders.push_back(orderToJson(order));
    return writeJson({{"fence", release.grantFence}, {"incarnation", release.incarnation},
        {"resident", artifactsToJson(release.contents.resident)}, {"orders", std::move(orders)}});
}

absl::StatusOr<GrantRelease> decodeGrantRelease(std::string_view document)
{
    const absl::StatusOr<nlohmann::json> json = parseBoundedJson(document, maxReportBytes);
    if (!json.ok())
        return json.status();
    FieldReader reader(*json);
    GrantRelease release;
    release.grantFence = FencingNumber(reader.number("fence", std::numeric_limits<std::int64_t>::max()));
    release.incarnation = EngineIncarnation(reader.name("incarnation"));
    release.contents.resident = artifactsFromJson(reader, "resident");
    for (const nlohmann::json& item : reader.array("orders", maxListedArtifacts)) {
        FieldReader fields(item);
        release.contents.orders.push_back(orderFromJson(fields));
        if (!fields.ok())
            return fields.status();
    }
    if (!reader.ok())
        return reader.status();
    return release;
}

} // namespace lychee
