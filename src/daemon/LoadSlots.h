// Acquires slots for loads from the weight store in table `load_slots`, and limits the loads that this instance starts
// by the slots that it holds.
#pragma once

#include "coordination/LoadPacer.h"
#include "coordination/OwnershipStateMachine.h"
#include "daemon/PlatformGateway.h"
#include "protocol/PeerMessages.h"
#include "state/Configuration.h"
#include "state/Placement.h"

namespace lychee {

struct LoadSlotsOptions {
    InstanceId instance;
    DataCentreId dataCentre;
    // Interval between reads of the table.
    Duration interval = std::chrono::milliseconds(500);
};

// Runs on the control duty. While the platform is down, the instance keeps the slots that it holds.
class LoadSlots {
public:
    LoadSlots(Duty& duty, LoadSlotsOptions options, PlatformGateway& platform);

    // Starts to acquire and release slots; runs until the duty stops.
    void start();

    // Switches to the limits and data centres of a configuration.
    void adopt(const Configuration& configuration);

    void setMembers(const std::vector<MemberRecord>& members) { members_ = members; }

    // Starts to release all slots; a slot is released once no load in progress needs it.
    void leave() { leaving_ = true; }

    // How many loads a plan may contain: those that may start now, and those that were started but not yet ordered from
    // an engine.
    LoadAllowance allowance() const;

    // Starts a load if the limits allow it. Returns true again for a load that was started and has not ended.
    bool start(const PacedLoad& load);

    // Ends a load whose order the engine has answered.
    void finish(const PacedLoad& load);

    // Ends the loads in progress that are neither in `unresolved`, the loads with an order of unknown outcome, nor in
    // `listed`, the loads that wait for their order. Counts unresolved loads of previous owners as in progress.
    void reconcile(const std::set<PacedLoad>& unresolved, const std::set<PacedLoad>& listed);

    std::vector<LoadSlot> heldSlots() const { return pacer_.heldSlots(); }

private:
    // A row of the table as last read. Its version is 0 if the row is absent.
    struct SlotRow {
        RowVersion version;
        LoadSlotRow row;
    };

    void refresh();
    std::optional<std::map<LoadSlot, SlotRow>> readRows();
    void dropLost(const std::map<LoadSlot, SlotRow>& rows);
    void releaseUnwanted(const std::vector<LoadSlot>& wanted, const std::map<LoadSlot, SlotRow>& rows);
    void acquire(LoadSlot slot, const SlotRow& found);
    bool mayTakeOver(LoadSlot slot, const InstanceId& holder);
    std::vector<InstanceId> liveMembers() const;
    WriteOutcome write(LoadSlot slot, RowVersion expected, const LoadSlotRow& row);
    LoadPacerOptions pacerOptions() const;

    Duty& duty_;
    LoadSlotsOptions options_;
    PlatformGateway& platform_;
    StoreLimits limits_;
    std::vector<DataCentreId> dataCentres_;
    LoadPacer pacer_;
    std::vector<MemberRecord> members_;
    bool leaving_ = false;
    // The nonce of the latest write that acquires each slot. A row that names this instance with another nonce may
    // still be changed by a delayed write that releases it, so it is written again before the slot is used.
    std::map<LoadSlot, Nonce> acquireNonces_;
    // The recorded holder of a slot that is not a member, and since when it is missing.
    std::map<LoadSlot, std::pair<InstanceId, TimePoint>> holderMissingSince_;
    std::set<PacedLoad> started_;
    std::set<PacedLoad> inherited_;
    std::set<PacedLoad> unresolved_;
};

} // namespace lychee
