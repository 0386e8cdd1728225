// Divides the load limits of the weight store among instances: decides which instance may start a load, and when.
#pragma once

#include "protocol/Ids.h"
#include "transport/RuntimeClock.h"

#include <absl/status/statusor.h>

#include <map>
#include <set>
#include <string>
#include <string_view>
#include <tuple>
#include <vector>

namespace lychee {

// Name of the table; the key of a row is the number of the slot in decimal.
inline constexpr std::string_view loadSlotsTable = "load_slots";

// Number of a slot, from 0.
using LoadSlot = StrongNumber<struct LoadSlotTag, std::uint32_t>;

// Value of one row of table `load_slots`. It changes only by compare-and-set.
struct LoadSlotRow {
    // Empty when the holder has released the slot.
    InstanceId holder;
    // Random value of the writer of this version; a writer recognizes its own write by it.
    Nonce nonce;

    bool operator==(const LoadSlotRow&) const = default;
};

// Writes the row as one JSON document.
std::string encodeLoadSlotRow(const LoadSlotRow& row);

// Reads a row. Fails with ProtocolError::Malformed.
absl::StatusOr<LoadSlotRow> decodeLoadSlotRow(std::string_view document);

// Limits of one weight store, over all instances.
struct LoadLimits {
    double modelLoadsPerSecond = 2;
    std::uint32_t modelLoadsAtOnce = 8;
    std::uint32_t adapterLoadsAtOnce = 60;
};

// Settings of the pacer of one instance.
struct LoadPacerOptions {
    InstanceId self;
    DataCentreId dataCentre;
    // All data centres of the deployment.
    std::vector<DataCentreId> dataCentres;
    LoadLimits limits;
    // An unresolved load of a previous owner stops counting after this time. It covers an order that is applied a
    // minute late and the transfer itself. Without this timeout, a lost order would occupy a slot for ever.
    std::chrono::milliseconds inheritedLoadTimeout{120'000};
};

// One load in progress.
struct PacedLoad {
    TargetId target;
    ArtifactId artifact;

    bool operator==(const PacedLoad&) const = default;

    // Orders by target, then by artifact.
    bool operator<(const PacedLoad& other) const
    {
        return std::tie(target, artifact) < std::tie(other.target, other.artifact);
    }
};

// Decides which slots to hold and which loads may start. A slot allows one model load at a time, one start of a model
// load per interval, and a fixed number of concurrent adapter loads.
class LoadPacer {
public:
    explicit LoadPacer(LoadPacerOptions options);

    // The slots that this instance should hold, given the live members of its data centre, itself included. Every
    // member computes the same division, and the numbers of slots differ by one at most.
    std::vector<LoadSlot> wantedSlots(const std::vector<InstanceId>& liveMembers) const;

    // Call it when a write that makes this instance the holder was committed. The first model load has to wait for one
    // interval, because the previous holder may have started one just before.
    void addSlot(LoadSlot slot, TimePoint now);

    // Call it when the slot has another holder, or its row could not be confirmed.
    void removeSlot(LoadSlot slot);

    // Slots held, in ascending order.
    std::vector<LoadSlot> heldSlots() const;

    // Records the start of a load if the limits allow it, and returns whether its order may be sent. The order of a
    // load in progress may be sent again.
    bool start(const PacedLoad& load, TimePoint now);

    // Number of loads that start() would allow now.
    std::uint32_t startableModelLoads(TimePoint now) const;
    std::uint32_t startableAdapterLoads(TimePoint now) const;

    // Call it when the outcome of a load is known, or its order was never sent.
    void finish(const PacedLoad& load);

    // Counts an unresolved load of a target that this instance has taken over, even if that exceeds the limits.
    void addInheritedLoad(const PacedLoad& load, TimePoint now);

    std::size_t modelLoadsInProgress(TimePoint now) const;
    std::size_t adapterLoadsInProgress(TimePoint now) const;

    // Minimum time between two starts of model loads on one slot.
    Duration startInterval() const;

    // Number of concurrent adapter loads that one slot allows.
    std::uint32_t adapterLoadsPerSlot() const;

private:
    std::size_t countLoads(bool adapters, TimePoint now) const;
    // Starts the interval of a slot whose previous interval has passed; returns whether there was one.
    bool takeDueSlot(TimePoint now);

    LoadPacerOptions options_;
    // Earliest next start of a model load, by slot held.
    std::map<LoadSlot, TimePoint> nextStart_;
    std::set<PacedLoad> started_;
    // Time at which each inherited load stops counting.
    std::map<PacedLoad, TimePoint> inheritedUntil_;
};

} // namespace lychee
