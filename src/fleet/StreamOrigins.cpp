#include "fleet/StreamOrigins.h"

namespace lychee::fleet {

namespace {

// Streams that are remembered. An instance begins far fewer within the life of a stream.
constexpr std::size_t maxOrigins = 20'000;

} // namespace

std::vector<StreamOrigin> StreamOrigins::setVersions(
    const ServiceId& service, std::set<SoftwareVersion> versions, bool mustRecord, TimePoint now)
{
    std::vector<StreamOrigin> unrecorded;
    versions_[service] = std::move(versions);
    if (!mustRecord) {
        recorded_.erase(service);
    } else if (recorded_.insert(service).second) {
        for (const auto& [attempt, origin] : origins_) {
            if (origin.service == service && origin.expiresAt > now)
                unrecorded.push_back(origin);
        }
    }
    return unrecorded;
}

const std::set<SoftwareVersion>* StreamOrigins::versionsToBegin(const ServiceId& service) const
{
    static const std::set<SoftwareVersion> none;
    if (!requiresListing_)
        return nullptr;
    const auto found = versions_.find(service);
    return found == versions_.end() ? &none : &found->second;
}

bool StreamOrigins::begun(const StreamOrigin& origin, TimePoint now)
{
    removeExpired(now);
    if (origins_.emplace(origin.attempt, origin).second)
        order_.push_back(origin.attempt);
    return recorded_.contains(origin.service);
}

std::optional<SoftwareVersion> StreamOrigins::find(const ServiceId& service, const RequestId& attempt) const
{
    const auto found = origins_.find(attempt);
    if (found == origins_.end() || found->second.service != service)
        return std::nullopt;
    return found->second.version;
}

void StreamOrigins::removeExpired(TimePoint now)
{
    while (!order_.empty()) {
        const auto oldest = origins_.find(order_.front());
        if (oldest->second.expiresAt > now && origins_.size() < maxOrigins)
            return;
        origins_.erase(oldest);
        order_.pop_front();
    }
}

} // namespace lychee::fleet
