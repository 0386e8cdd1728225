#include "gateway/TargetList.h"

#include "transport/ErrorPayload.h"

namespace lychee::gateway {

namespace {

constexpr LogChannel logChannel("targets");

// A running target restores its entry within about this time after the end of an outage.
constexpr Duration entryReturnTime = std::chrono::milliseconds(2200);

} // namespace

void TargetList::apply(const std::vector<StoredRow>& rows, TimePoint now)
{
    for (const StoredRow& row : rows) {
        const TargetId id(row.key);
        if (row.removed) {
            if (!targets_.contains(id))
                continue;
            if (availability_.wasUnavailable(now, entryReturnTime)) {
                const bool lasts = availability_.isFailing() || !availability_.recoveredAt();
                missing_.emplace(id, (lasts ? now : *availability_.recoveredAt()) + entryReturnTime);
                logChannel.info(
                    "target={} row={} entry removed around a store outage, waiting for it to return", id, row.version);
            } else {
                remove(id, "entry removed");
            }
            continue;
        }
        missing_.erase(id);
        absl::StatusOr<fleet::TargetRecord> record = handlers_.decode(row.key, row.value);
        if (!record.ok()) {
            logChannel.warning(
                "target={} row={} entry cannot be decoded: {}", id, row.version, messageOf(record.status()));
            remove(id, "entry cannot be decoded");
            continue;
        }
        const auto found = targets_.find(id);
        if (found != targets_.end() && found->second == *record)
            continue;
        if (found != targets_.end() && record->incarnation < found->second.incarnation) {
            logChannel.info("target={} row={} born={} ignored, the target has restarted since this entry", id,
                row.version, record->incarnation);
            continue;
        }
        const bool known = found != targets_.end();
        if (!known || found->second.incarnation != record->incarnation || found->second.draining != record->draining) {
            logChannel.info("target={} row={} service={} address={} born={} state={}", id, row.version, record->service,
                record->endpoint.toString(), record->incarnation, record->draining ? "draining" : "ready");
        }
        handlers_.updated(*record);
        targets_[id] = *std::move(record);
    }
}

void TargetList::removeExpired(TimePoint now)
{
    // The outage may turn out to be none: the failures were short, or a peer reached the store all the while.
    const bool wasUnavailable = availability_.wasUnavailable(now, entryReturnTime);
    std::vector<TargetId> due;
    for (const auto& [id, time] : missing_) {
        if (now >= time || !wasUnavailable)
            due.push_back(id);
    }
    for (const TargetId& id : due)
        remove(id, "entry did not return after a store outage");
}

void TargetList::remove(const TargetId& id, std::string_view reason)
{
    missing_.erase(id);
    if (targets_.erase(id) == 0)
        return;
    logChannel.info("target={} state=gone reason=\"{}\"", id, reason);
    handlers_.removed(id);
}

} // namespace lychee::gateway
