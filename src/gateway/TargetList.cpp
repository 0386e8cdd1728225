#include "gateway/TargetList.h"

#include "transport/ErrorPayload.h"

namespace lychee::gateway {

namespace {

constexpr LogChannel logChannel("targets");

// The entry of a target that lives is back within about this time of the end of an outage.
constexpr Duration entryReturnTime = std::chrono::milliseconds(2200);

} // namespace

void TargetList::apply(const std::vector<StoredRow>& rows, TimePoint now)
{
    for (const StoredRow& row : rows) {
        const TargetId id(row.key);
        if (row.removed) {
            if (!targets_.contains(id))
                continue;
            if (reach_.wasAway(now, entryReturnTime)) {
                missing_.emplace(id, reach_.returnedAt().value_or(now) + entryReturnTime);
                logChannel.info("target={} row={} entry missing after an outage of the store", id, row.version);
            } else {
                remove(id, "entry removed");
            }
            continue;
        }
        missing_.erase(id);
        absl::StatusOr<fleet::TargetRecord> record = handlers_.decode(row.key, row.value);
        if (!record.ok()) {
            logChannel.warning("target={} row={} entry not usable: {}", id, row.version, messageOf(record.status()));
            remove(id, "entry not usable");
            continue;
        }
        const auto found = targets_.find(id);
        if (found != targets_.end() && found->second == *record)
            continue;
        const bool known = found != targets_.end();
        if (!known || found->second.incarnation != record->incarnation || found->second.draining != record->draining) {
            logChannel.info("target={} row={} service={} address={} born={} state={}", id, row.version, record->service,
                record->endpoint.toString(), record->incarnation, record->draining ? "draining" : "ready");
        }
        handlers_.listed(*record);
        targets_[id] = *std::move(record);
    }
}

void TargetList::tick(TimePoint now)
{
    std::vector<TargetId> due;
    for (const auto& [id, time] : missing_) {
        if (now >= time)
            due.push_back(id);
    }
    for (const TargetId& id : due)
        remove(id, "entry has not come back");
}

void TargetList::remove(const TargetId& id, std::string_view reason)
{
    missing_.erase(id);
    if (targets_.erase(id) == 0)
        return;
    logChannel.info("target={} state=gone reason=\"{}\"", id, reason);
    handlers_.gone(id);
}

} // namespace lychee::gateway
