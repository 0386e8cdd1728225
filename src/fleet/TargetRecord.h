// What a target says of itself.
#pragma once

#include "protocol/Ids.h"
#include "transport/HttpMessage.h"
#include "transport/RuntimeClock.h"

#include <set>
#include <string>
#include <vector>

namespace lychee::fleet {

// Names one run of a target process; grows with each restart.
using TargetIncarnation = StrongNumber<struct TargetIncarnationTag, std::int64_t>;

// Number of orders that a target has accepted since its start.
using OrderSequence = StrongNumber<struct OrderSequenceTag>;

// A model with the adapters that are ready beside it.
struct HeldModel {
    ModelId model;
    std::uint64_t version = 0;
    std::set<AdapterId> adapters;

    bool operator==(const HeldModel&) const = default;
};

// What is in an engine's memory after `sequence` orders.
struct Holdings {
    OrderSequence sequence;
    std::vector<HeldModel> models;
    // Adapters on their way; they take a place already.
    std::set<std::pair<ModelId, AdapterId>> arriving;
    // An order is being carried out.
    bool busy = false;
    // The model that the placement owner has ordered, and when it will be there at the latest estimate. On the clock
    // of this process.
    std::optional<std::pair<ModelId, TimePoint>> loading;

    // Null when the model is not held.
    const HeldModel* find(const ModelId& id) const;

    // Places taken by adapters, the arriving ones included.
    std::size_t adapterCount() const;

    bool operator==(const Holdings&) const = default;
};

// An entry of the list of targets.
struct TargetRecord {
    TargetId id;
    ServiceId service;
    Endpoint endpoint;
    DataCentreId dataCentre;
    TargetIncarnation incarnation;
    int slots = 1;
    // Takes no new work; it leaves soon.
    bool draining = false;
    Holdings holdings;
    // Models with a copy of their weights in the target's memory or on its disk: loading these is fast and does not
    // count as a load from the weight store.
    std::set<ModelId> weightsInMemory;
    std::set<ModelId> weightsOnDisk;

    bool operator==(const TargetRecord&) const = default;
};

// An engine's own state, read from the engine.
struct EngineReport {
    TargetIncarnation incarnation;
    Holdings holdings;
    std::set<ModelId> weightsInMemory;
    std::set<ModelId> weightsOnDisk;
};

} // namespace lychee::fleet
