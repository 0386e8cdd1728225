// Carries out the actions of the ownership machine of one target.
#pragma once

#include "coordination/OwnershipStateMachine.h"
#include "daemon/PlatformGateway.h"
#include "daemon/TargetControl.h"

namespace lychee {

// What the driver needs from the rest of the control duty.
struct OwnershipCallbacks {
    std::function<void(const InstanceId& newOwner, const TargetId&, const GrantRelease&)> releaseGrant;
    std::function<void(const TargetId&, const EngineOrder&)> orderApplied;
};

// Runs on the control duty. Reads, writes and orders run in fibers of their own, so that one that hangs does not hold
// up the others.
class OwnershipDriver : public std::enable_shared_from_this<OwnershipDriver> {
public:
    static std::shared_ptr<OwnershipDriver> create(Target target, OwnershipOptions options, PlatformGateway& platform,
        TargetControl& control, OwnershipCallbacks callbacks);

    const Target& target() const { return target_; }

    const OwnershipStateMachine& machine() const { return machine_; }

    // Passes an event to the machine and starts what it asks for.
    template <typename What> void handle(What what) { process(OwnershipEvent{currentTime(), std::move(what)}); }

    // Actions that are in progress.
    std::size_t pending() const { return pending_; }

private:
    OwnershipDriver(Target target, OwnershipOptions options, PlatformGateway& platform, TargetControl& control,
        OwnershipCallbacks callbacks);

    void process(const OwnershipEvent& event);
    void perform(const ReadRow& action);
    void perform(const CompareAndSetRow& action);
    void perform(const SendOrder& action);
    void perform(const RequestReport& action);
    void perform(const PublishResidency& action);
    void perform(const ReleaseGrant& action);
    void inFiber(std::function<void()> body);
    RowKey rowKey() const;

    Target target_;
    OwnershipStateMachine machine_;
    PlatformGateway& platform_;
    TargetControl& control_;
    OwnershipCallbacks callbacks_;
    std::size_t pending_ = 0;
};

// The row of a target, or nothing if it is absent. Fails when the value is malformed.
absl::StatusOr<std::optional<VersionedRow>> parseTargetRow(const Row& row);

} // namespace lychee
