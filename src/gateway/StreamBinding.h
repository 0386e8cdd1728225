// Binds a stream to the software version that began it, for one request of a caller. Used on the relay duty.
#pragma once

#include "fleet/VersionListing.h"
#include "gateway/RelayContext.h"

namespace lychee::gateway {

class StreamBinding {
public:
    explicit StreamBinding(RelayContext& context)
        : context_(context)
    {
    }

    // Takes what the request is, and finds the version if its caller goes on with a stream that an earlier attempt has
    // begun; suspends the fiber then. Fails with CoordinationError::NotFound when nothing is known of that stream, and
    // with other errors when this cannot be told before the deadline. The objects must outlive this one.
    absl::Status start(
        const fleet::CallerRequest& caller, const fleet::Route& route, const ServiceId& service, TimePoint deadline);

    // Records that a target has sent the first event of the answer. A stream that begins with it can be taken up from
    // now on, here and at other instances.
    void firstEventFrom(const fleet::ChosenTarget& target);

    // The software versions whose targets may get the request; null for all.
    const std::set<SoftwareVersion>* allowedVersions() const;

    // Whether the version is known at which the stream has to go on.
    bool isBound() const { return !version_.empty(); }

private:
    bool isTakeUp() const;

    RelayContext& context_;
    const fleet::CallerRequest* caller_ = nullptr;
    // Null unless the route allows streams to be resumed.
    const fleet::Route* route_ = nullptr;
    ServiceId service_;
    // The version that began the stream, once it is known.
    std::set<SoftwareVersion> version_;
};

} // namespace lychee::gateway
