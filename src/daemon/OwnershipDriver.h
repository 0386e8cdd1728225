// Performs the actions of the OwnershipStateMachine of one target.
#pragma once

#include "coordination/OwnershipStateMachine.h"
#include "daemon/PlatformGateway.h"
#include "daemon/TargetControl.h"

namespace lychee {

// Functions that the rest of the control duty provides.
struct OwnershipCallbacks {
    std::function<void(const InstanceId& newOwner, const TargetId&, const GrantRelease&)> releaseGrant;
    std::function<void(const TargetId&, const EngineOrder&)> orderApplied;
};

// Runs on the control duty. Each read, write and order runs in its own fiber, so that one that hangs does not delay the
// others.
class OwnershipDriver : public std::enable_shared_from_this<OwnershipDriver> {
public:
    static std::shared_ptr<OwnershipDriver> create(Target target, OwnershipOptions options, PlatformGateway& platform,
        TargetControl& control, OwnershipCallbacks callbacks);

    const Target& target() const { return target_; }

    const OwnershipStateMachine& machine() const { return stateMachine_; }

    // Passes an event to the state machine and starts the actions that it returns.
    template <typename Event> void handle(Event event) { process(OwnershipEvent{currentTime(), std::move(event)}); }

    // Number of actions in progress.
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
    void runInFiber(std::function<void()> body);
    RowKey rowKey() const;

    Target target_;
    OwnershipStateMachine stateMachine_;
    PlatformGateway& platform_;
    TargetControl& control_;
    OwnershipCallbacks callbacks_;
    std::size_t pending_ = 0;
};

// Decodes the row of a target; nothing if it is absent. Fails when the value is malformed.
absl::StatusOr<std::optional<VersionedRow>> parseTargetRow(const Row& row);

} // namespace lychee
