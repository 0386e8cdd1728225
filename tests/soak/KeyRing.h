// The customers of one run, their keys, and how callers use them.
#pragma once

#include "tests/soak/Schedule.h"

#include <nlohmann/json.hpp>

#include <mutex>
#include <optional>
#include <random>
#include <string>
#include <vector>

namespace lychee::test {

// What of a run belongs to customers and scheduling. Drawn from a stream of its own, so that the troubles of a seed
// stay what they were before this was added.
struct RunFeatures {
    bool customers = false;
    bool priorities = false;
    // 0 when all workers work at the usual pace.
    std::uint64_t paceSeed = 0;
    // Callers that read streams slowly.
    std::size_t slowCallers = 0;
    // Planned replacements of a key, none without customers.
    std::vector<Trouble> keyChanges;
    std::optional<Trouble> storeRestored;
    // The workers of one service have two software versions.
    bool twoVersions = false;
};

RunFeatures drawFeatures(std::uint64_t seed, Millis length);

enum class KeyUse {
    // The configuration has no customers, or the route is exempt.
    NotNeeded,
    // A key that the configuration holds or held.
    Held,
    Missing,
    Empty,
    Unknown,
    // Two headers, both with a key that is valid.
    Duplicated,
    Overlong,
};

std::string_view nameOf(KeyUse use);

// The key of one call.
struct UsedKey {
    KeyUse use = KeyUse::NotNeeded;
    std::string key;
    // Name that the target must get; empty for none.
    std::string customer;
    // Spelling of the header's name.
    std::string header;

    // Whether no instance may run the request, whatever configuration it has.
    bool isInvalid() const { return use != KeyUse::NotNeeded && use != KeyUse::Held; }
};

// One key and the times of the run at which it was added and taken away.
struct KeyRecord {
    std::string key;
    std::string customer;
    // When the configuration that adds it was acknowledged; nothing while that is not known.
    std::optional<Millis> addedAt;
    // When the first write of a configuration without it began.
    std::optional<Millis> removalBeganAt;
    // When such a write was acknowledged.
    std::optional<Millis> removedAt;
};

// Holds the keys of all customers. Thread-safe.
class KeyRing {
public:
    // Customers are in force from the beginning of the run, or there are none.
    explicit KeyRing(bool hasCustomers);

    bool hasCustomers() const { return hasCustomers_; }

    // The `tenants` array of a configuration with the keys that are held now.
    nlohmann::json tenants() const;

    // A key that is never taken away; empty without customers.
    std::string lastingKey() const;

    // The key with which callers reach every route: the lasting key.
    UsedKey lastingUse() const;

    // Takes a key away and adds another one for the same customer, in the configuration that is written next.
    void replaceKey(std::uint64_t draw, Millis now);

    // A configuration with the present keys was acknowledged.
    void acknowledge(Millis now);

    // Draws the key of a call.
    UsedKey draw(std::mt19937_64& random, bool isExempt) const;

    std::vector<KeyRecord> records() const;

private:
    UsedKey heldKey(std::mt19937_64& random, bool takenAway) const;

    const bool hasCustomers_;
    mutable std::mutex mutex_;
    std::vector<KeyRecord> records_;
    int added_ = 0;
};

} // namespace lychee::test
