#include "gateway/StreamBinding.h"

namespace lychee::gateway {

absl::Status StreamBinding::start(
    const fleet::CallerRequest& caller, const fleet::Route& route, const ServiceId& service, TimePoint deadline)
{
    if (!route.isResumableStream())
        return absl::OkStatus();
    caller_ = &caller;
    route_ = &route;
    service_ = service;
    if (!isTakeUp() || !context_.findOrigin)
        return absl::OkStatus();
    if (const auto own = context_.origins.find(service_, caller.resumedAttempt)) {
        version_ = {*own};
        return absl::OkStatus();
    }
    const absl::StatusOr<SoftwareVersion> found = context_.findOrigin(
        service_, caller.resumedAttempt, std::min(deadline, currentTime() + RelayLimits::originTimeout));
    if (found.ok())
        version_ = {*found};
    return found.status();
}

void StreamBinding::firstEventFrom(const fleet::ChosenTarget& target)
{
    if (!route_)
        return;
    const bool begins = !isBound() && !isTakeUp();
    version_ = {target.softwareVersion};
    if (!begins)
        return;
    const TimePoint now = currentTime();
    const fleet::StreamOrigin origin{
        service_, caller_->attempt, target.softwareVersion, now + fleet::streamLife(*route_)};
    if (context_.origins.begun(origin, now))
        context_.recordOrigins({origin});
}

const std::set<SoftwareVersion>* StreamBinding::allowedVersions() const
{
    if (isBound())
        return &version_;
    return route_ ? context_.origins.versionsToBegin(service_) : nullptr;
}

bool StreamBinding::isTakeUp() const { return caller_->resumeAfter || !caller_->resumedAttempt.empty(); }

} // namespace lychee::gateway
