// Which software versions may begin streams, and at which version the streams of this instance were begun. Used on the
// duty that relays requests.
#pragma once

#include "protocol/Ids.h"
#include "transport/RuntimeClock.h"

#include <deque>
#include <map>
#include <optional>
#include <set>
#include <unordered_map>
#include <vector>

namespace lychee::fleet {

// The software version that began a stream, which the attempt of its caller that got the first event names.
struct StreamOrigin {
    ServiceId service;
    RequestId attempt;
    SoftwareVersion version;
    // Until when the stream can be resumed.
    TimePoint expiresAt;
};

class StreamOrigins {
public:
    // From now on, streams begin only at versions that are listed.
    void requireListing() { requiresListing_ = true; }

    // Sets the versions of a service that may begin streams, and whether the origins of its streams have to be
    // recorded, which is so while several versions are listed. Returns the streams in progress of which the origin has
    // to be recorded from now on.
    std::vector<StreamOrigin> setVersions(
        const ServiceId& service, std::set<SoftwareVersion> versions, bool mustRecord, TimePoint now);

    // The versions that may begin a stream of the service; null for any.
    const std::set<SoftwareVersion>* versionsToBegin(const ServiceId& service) const;

    // Records a stream that has begun. Returns whether its origin has to be recorded where other instances find it.
    bool begun(const StreamOrigin& origin, TimePoint now);

    // Returns nothing for a stream that was not begun by this instance.
    std::optional<SoftwareVersion> find(const ServiceId& service, const RequestId& attempt) const;

private:
    void removeExpired(TimePoint now);

    bool requiresListing_ = false;
    std::map<ServiceId, std::set<SoftwareVersion>> versions_;
    // The services whose origins have to be recorded.
    std::set<ServiceId> recorded_;
    std::unordered_map<RequestId, StreamOrigin> origins_;
    // In the order of their beginning.
    std::deque<RequestId> order_;
};

} // namespace lychee::fleet
