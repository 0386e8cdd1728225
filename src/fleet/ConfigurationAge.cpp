#include "fleet/ConfigurationAge.h"

#include <algorithm>

namespace lychee::fleet {

bool ConfigurationAge::acceptsKeys(TimePoint now) const
{
    if (!options_.isStrict)
        return true;
    const std::optional<Duration> current = age(now);
    return current && *current <= options_.limit - margin;
}

std::optional<Duration> ConfigurationAge::age(TimePoint now) const
{
    const Duration::rep asOf = confirmedAsOf_.load();
    if (asOf == never)
        return std::nullopt;
    // The confirmation may have been recorded by another thread after the caller took the time.
    return std::max(now.time_since_epoch() - Duration(asOf), Duration(0));
}

void ConfigurationAge::readAnswered(TimePoint sentAt)
{
    lastReadAt_ = sentAt;
    confirm(sentAt);
}

Duration ConfigurationAge::maxReadWait(TimePoint now) const
{
    if (!options_.isStrict)
        return Duration::max();
    return needsOwnRead(now) ? Duration(0) : readWait();
}

bool ConfigurationAge::needsOwnRead(TimePoint now) const
{
    return options_.isStrict && age(now).value_or(Duration::max()) > maxForwardedAge();
}

bool ConfigurationAge::isQueryDue(TimePoint now) const
{
    if (!options_.isStrict || (lastReadAt_ && now - *lastReadAt_ <= maxReaderAge()))
        return false;
    if (!lastQueryAt_ || now - *lastQueryAt_ >= queryInterval())
        return true;
    return !lastQueryHelped_ && acceptsKeys(now) && now - *lastQueryAt_ >= responseTimeout();
}

std::uint64_t ConfigurationAge::querySent(const InstanceId& peer, TimePoint now)
{
    std::erase_if(queries_, [&](const auto& query) { return now - query.second.sentAt > options_.limit; });
    lastQueryAt_ = now;
    lastPeer_ = peer;
    lastQueryHelped_ = false;
    queries_.emplace(++lastCall_, Query{peer, now});
    return lastCall_;
}

void ConfigurationAge::peerAnswered(
    const InstanceId& peer, std::uint64_t call, const ConfigurationStatement& statement, RowVersion ownRow)
{
    const auto found = queries_.find(call);
    if (found == queries_.end() || found->second.peer != peer)
        return;
    const TimePoint sentAt = found->second.sentAt;
    queries_.erase(found);
    if (statement.row > ownRow || statement.age > options_.limit)
        return;
    confirm(sentAt - statement.age);
    if (call == lastCall_)
        lastQueryHelped_ = statement.age <= maxReaderAge();
}

void ConfigurationAge::confirm(TimePoint asOf)
{
    confirmedAsOf_.store(std::max(confirmedAsOf_.load(), asOf.time_since_epoch().count()));
}

} // namespace lychee::fleet
