// The list of targets from the platform's table. Keeps targets for a while whose entries expired in an outage of the
// table, because the targets may still be running.
#pragma once

#include "fleet/TargetRecord.h"
#include "gateway/RowStore.h"
#include "gateway/StoreAvailability.h"

#include <map>

namespace lychee::gateway {

class TargetList {
public:
    struct Handlers {
        std::function<absl::StatusOr<fleet::TargetRecord>(const std::string& key, std::string_view value)> decode;
        std::function<void(const fleet::TargetRecord&)> updated;
        std::function<void(const TargetId&)> removed;
    };

    TargetList(const StoreAvailability& availability, Handlers handlers)
        : availability_(availability)
        , handlers_(std::move(handlers))
    {
    }

    // Applies changed rows.
    void apply(const std::vector<StoredRow>& rows, TimePoint now);

    // Removes targets whose entries did not return in time after an outage. Called several times a second.
    void removeExpired(TimePoint now);

    const std::map<TargetId, fleet::TargetRecord>& targets() const { return targets_; }

private:
    void remove(const TargetId& id, std::string_view reason);

    const StoreAvailability& availability_;
    Handlers handlers_;
    std::map<TargetId, fleet::TargetRecord> targets_;
    // Targets whose entries disappeared around an outage, with the time at which they are removed.
    std::map<TargetId, TimePoint> missing_;
};

} // namespace lychee::gateway
