// The list of targets as the platform's table shows it. Answers outages of the table in which entries lapse although
// their targets live.
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
        std::function<void(const fleet::TargetRecord&)> listed;
        std::function<void(const TargetId&)> gone;
    };

    TargetList(const StoreAvailability& reach, Handlers handlers)
        : reach_(reach)
        , handlers_(std::move(handlers))
    {
    }

    // Takes in changed rows.
    void apply(const std::vector<StoredRow>& rows, TimePoint now);

    // Drops targets whose entries have not come back in time. Call several times a second.
    void tick(TimePoint now);

    const std::map<TargetId, fleet::TargetRecord>& targets() const { return targets_; }

private:
    void remove(const TargetId& id, std::string_view reason);

    const StoreAvailability& reach_;
    Handlers handlers_;
    std::map<TargetId, fleet::TargetRecord> targets_;
    // Entries that went missing around an outage, and when their targets count as gone.
    std::map<TargetId, TimePoint> missing_;
};

} // namespace lychee::gateway
