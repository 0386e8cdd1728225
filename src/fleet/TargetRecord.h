// What a target reports about itself.
#pragma once

#include "protocol/Ids.h"
#include "transport/HttpMessage.h"
#include "transport/RuntimeClock.h"

#include <set>
#include <string>
#include <vector>

namespace lychee::fleet {

// Identifies one run of a target process by its start, in milliseconds since the epoch; increases with each restart.
using TargetIncarnation = StrongNumber<struct TargetIncarnationTag, std::int64_t>;

// Milliseconds since the epoch.
using EpochTime = StrongNumber<struct EpochTimeTag, std::int64_t>;

// Number of orders that a target has accepted since its start.
using OrderSequence = StrongNumber<struct OrderSequenceTag>;

// A model in an engine's memory, with the adapters that are loaded for it.
struct HeldModel {
    ModelId model;
    std::uint64_t version = 0;
    std::set<AdapterId> adapters;

    bool operator==(const HeldModel&) const = default;
};

// The models and adapters in an engine's memory after it has accepted `sequence` orders.
struct Holdings {
    OrderSequence sequence;
    std::vector<HeldModel> models;
    // Adapters that are being loaded; each occupies an adapter slot already.
    std::set<std::pair<ModelId, AdapterId>> arriving;
    // Whether an order is in progress.
    bool busy = false;
    // The model that the placement owner has ordered to be loaded, and the latest estimate of when it will be ready, on
    // the clock of this process.
    std::optional<std::pair<ModelId, TimePoint>> loading;

    // Returns null when the model is not held.
    const HeldModel* find(const ModelId& id) const;

    // Number of adapter slots in use, including those of adapters that are being loaded.
    std::size_t adapterCount() const;

    bool operator==(const Holdings&) const = default;
};

// An entry of the platform's list of targets.
struct TargetRecord {
    TargetId id;
    ServiceId service;
    Endpoint endpoint;
    DataCentreId dataCentre;
    TargetIncarnation incarnation;
    SoftwareVersion softwareVersion;
    int slots = 1;
    // Accepts no new requests; the target is about to stop.
    bool draining = false;
    Holdings holdings;
    // Models whose weights are cached in the target's memory or on its disk. Loading these is fast and does not count
    // as a load from the weight store.
    std::set<ModelId> weightsInMemory;
    std::set<ModelId> weightsOnDisk;

    bool operator==(const TargetRecord&) const = default;
};

// The state of an engine as the engine itself reports it.
struct EngineReport {
    TargetIncarnation incarnation;
    Holdings holdings;
    std::set<ModelId> weightsInMemory;
    std::set<ModelId> weightsOnDisk;
};

} // namespace lychee::fleet
