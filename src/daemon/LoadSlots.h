// Holds this instance's slots of the weight store in table `load_slots`, and paces loads by them.
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
    // Interval of reading the table.
    Duration interval = std::chrono::milliseconds(500);
};

// Runs on the control duty. While the platform is down, the slots that are held stay held.
class LoadSlots {
public:
    LoadSlots(Duty& duty, LoadSlotsOptions options, PlatformGateway& platform);

    // Starts to take and give up slots; runs until the duty stops.
    void start();

    // Takes over the limits and the data centres.
    void adopt(const Configuration& configuration);

    void setMembers(const std::vector<MemberRecord>& members) { members_ = members; }

    // Gives up all slots, as far as no load needs them.
    void leave() { leaving_ = true; }

    // Loads that a plan may contain: those that may start now, and those that were started but are not ordered yet.
    LoadAllowance allowance() const;

    // Whether a load may be listed for its target. A load that was allowed stays allowed until it is resolved.
    bool start(const PacedLoad& load);

    // The engine has answered the order.
    void finish(const PacedLoad& load);

    // Compares the loads in progress with `unresolved`, those with an order of unknown outcome, and `listed`, those
    // that wait for their order. Ends the others, and counts unresolved loads of previous owners.
    void reconcile(const std::set<PacedLoad>& unresolved, const std::set<PacedLoad>& listed);

    std::vector<LoadSlot> heldSlots() const { return pacer_.heldSlots(); }

private:
    // A row of the table as last read; its version is 0 when it is absent.
    struct SlotRow {
        RowVersion version;
        LoadSlotRow row;
    };

    void refresh();
    std::optional<std::map<LoadSlot, SlotRow>> readRows();
    void dropLost(const std::map<LoadSlot, SlotRow>& rows);
    void giveUpUnwanted(const std::vector<LoadSlot>& wanted, const std::map<LoadSlot, SlotRow>& rows);
    void take(LoadSlot slot, const SlotRow& found);
    bool mayReplace(LoadSlot slot, const InstanceId& holder);
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
    // The nonce of the latest write that takes a slot. A row of ours with another nonce may still be changed by a
    // delayed write that gives it up, so it is written anew before the slot is used.
    std::map<LoadSlot, Nonce> takeNonces_;
    // Since when the recorded holder of a slot is not a member.
    std::map<LoadSlot, std::pair<InstanceId, TimePoint>> holderGone_;
    std::set<PacedLoad> started_;
    std::set<PacedLoad> inherited_;
    std::set<PacedLoad> unresolved_;
};

} // namespace lychee
