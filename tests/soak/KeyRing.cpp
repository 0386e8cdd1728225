#include "tests/soak/KeyRing.h"

#include <fmt/format.h>

#include <algorithm>
#include <array>

namespace lychee::test {

namespace {

// Makes the stream of the features differ from that of the troubles.
constexpr std::uint64_t featureStream = 0x6b65797300000000;
constexpr std::uint64_t restorationStream = 0x5eed0f57;

// One seed in so many has a store that is restored from a copy of this age.
constexpr std::uint64_t restorationSeeds = 3;
constexpr Millis shortestCopyAge{500};
constexpr std::uint64_t copyAgeSpan = 2500;

// One seed in so many has each of the features, drawn one by one.
constexpr std::uint64_t featureSeeds = 2;

constexpr std::size_t maxSlowCallers = 3;
constexpr int maxKeyChanges = 4;
constexpr Millis quietEdge{500};

constexpr std::array customerNames{"alder", "birch", "cedar"};
// The first customer has a priority of its own.
constexpr int urgentPriority = 0;

// One call in so many carries no valid key, and one in so many a key that was taken away, once there is one.
constexpr std::uint64_t invalidDraw = 8;
constexpr std::uint64_t takenAwayDraw = 4;
constexpr std::size_t overlongBytes = 257;

constexpr std::array invalidUses{KeyUse::Missing, KeyUse::Empty, KeyUse::Unknown, KeyUse::Duplicated, KeyUse::Overlong};

constexpr std::array headerNames{"X-Credential", "x-credential", "X-CREDENTIAL", "x-cREDENTIAL"};

} // namespace

std::string_view nameOf(KeyUse use)
{
    switch (use) {
    case KeyUse::NotNeeded:
        return "not needed";
    case KeyUse::Held:
        return "held";
    case KeyUse::Missing:
        return "missing";
    case KeyUse::Empty:
        return "empty";
    case KeyUse::Unknown:
        return "unknown";
    case KeyUse::Duplicated:
        return "duplicated";
    case KeyUse::Overlong:
        return "overlong";
    }
    return "unknown use";
}

namespace {

// Has a stream of its own, so that what earlier seeds draw stays the same.
std::optional<Trouble> drawRestoration(std::uint64_t seed, Millis length)
{
    std::mt19937_64 random(seed ^ restorationStream);
    if (isHarmlessSeed(seed) || random() % restorationSeeds != 0)
        return std::nullopt;
    const Millis age = shortestCopyAge + Millis(static_cast<std::int64_t>(random() % copyAgeSpan));
    const auto span = static_cast<std::uint64_t>((length - 2 * quietEdge - age).count());
    Trouble trouble;
    trouble.kind = TroubleKind::StoreRestored;
    trouble.begin = quietEdge + Millis(static_cast<std::int64_t>(random() % span));
    trouble.end = trouble.begin + age;
    return trouble;
}

} // namespace

RunFeatures drawFeatures(std::uint64_t seed, Millis length)
{
    std::mt19937_64 random(seed ^ featureStream);
    RunFeatures features;
    features.storeRestored = drawRestoration(seed, length);
    features.twoVersions = seed % 2 == 0;
    features.customers = random() % featureSeeds == 0;
    features.priorities = random() % featureSeeds == 0;
    features.paceSeed = random() % featureSeeds == 0 ? random() | 1 : 0;
    features.slowCallers = random() % (maxSlowCallers + 1);
    if (!features.customers)
        return features;
    const auto changes = 1 + random() % maxKeyChanges;
    const auto span = static_cast<std::uint64_t>((length - 2 * quietEdge).count());
    for (std::uint64_t i = 0; i < changes; ++i) {
        Trouble change;
        change.kind = TroubleKind::KeyReplaced;
        change.begin = quietEdge + Millis(static_cast<std::int64_t>(random() % span));
        change.end = change.begin + Millis(1);
        change.variant = random();
        features.keyChanges.push_back(change);
    }
    return features;
}

KeyRing::KeyRing(bool hasCustomers)
    : hasCustomers_(hasCustomers)
{
    if (!hasCustomers)
        return;
    for (const char* customer : customerNames) {
        for (int i = 0; i < 2; ++i)
            records_.push_back({fmt::format("key-{}-{}", customer, i), customer, Millis(0), {}, {}});
    }
}

nlohmann::json KeyRing::tenants() const
{
    const std::lock_guard lock(mutex_);
    nlohmann::json result = nlohmann::json::array();
    if (!hasCustomers_)
        return result;
    for (const char* customer : customerNames) {
        nlohmann::json keys = nlohmann::json::array();
        for (const KeyRecord& record : records_) {
            if (record.customer == customer && !record.removalBeganAt)
                keys.push_back(record.key);
        }
        result.push_back({{"name", customer}, {"apiKeys", keys}});
    }
    result.front()["priority"] = urgentPriority;
    return result;
}

std::string KeyRing::lastingKey() const { return lastingUse().key; }

UsedKey KeyRing::lastingUse() const
{
    const std::lock_guard lock(mutex_);
    if (!hasCustomers_)
        return {};
    return {KeyUse::Held, records_.front().key, records_.front().customer, headerNames.front()};
}

void KeyRing::replaceKey(std::uint64_t draw, Millis now)
{
    const std::lock_guard lock(mutex_);
    std::vector<KeyRecord*> held;
    // The first one is never taken away.
    for (std::size_t i = 1; i < records_.size(); ++i) {
        if (!records_[i].removalBeganAt)
            held.push_back(&records_[i]);
    }
    KeyRecord& taken = *held[draw % held.size()];
    taken.removalBeganAt = now;
    records_.push_back({fmt::format("key-{}-new-{}", taken.customer, ++added_), taken.customer, {}, {}, {}});
}

void KeyRing::acknowledge(Millis now)
{
    const std::lock_guard lock(mutex_);
    for (KeyRecord& record : records_) {
        if (!record.addedAt)
            record.addedAt = now;
        if (record.removalBeganAt && !record.removedAt)
            record.removedAt = now;
    }
}

UsedKey KeyRing::heldKey(std::mt19937_64& random, bool takenAway) const
{
    std::vector<const KeyRecord*> candidates;
    for (const KeyRecord& record : records_) {
        if (record.removalBeganAt.has_value() == takenAway)
            candidates.push_back(&record);
    }
    if (candidates.empty())
        return heldKey(random, false);
    const KeyRecord& record = *candidates[random() % candidates.size()];
    return {KeyUse::Held, record.key, record.customer, {}};
}

UsedKey KeyRing::draw(std::mt19937_64& random, bool isExempt) const
{
    const std::lock_guard lock(mutex_);
    UsedKey used;
    if (!hasCustomers_) {
        // Such a key must not reach a target either.
        if (random() % invalidDraw == 0)
            used = {KeyUse::NotNeeded, "key-of-nobody", {}, {}};
    } else if (random() % invalidDraw == 0) {
        used.use = invalidUses[random() % invalidUses.size()];
        if (used.use == KeyUse::Unknown)
            used.key = "key-of-nobody";
        else if (used.use == KeyUse::Duplicated)
            used.key = records_.front().key;
        else if (used.use == KeyUse::Overlong)
            used.key = std::string(overlongBytes, 'k');
    } else {
        used = heldKey(random, random() % takenAwayDraw == 0);
    }
    used.header = headerNames[random() % headerNames.size()];
    if (isExempt) {
        used.use = KeyUse::NotNeeded;
        used.customer.clear();
    }
    return used;
}

std::vector<KeyRecord> KeyRing::records() const
{
    const std::lock_guard lock(mutex_);
    return records_;
}

} // namespace lychee::test
