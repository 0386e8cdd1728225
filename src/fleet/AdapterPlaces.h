// Decides which adapters hold the few places of an engine. When more adapters are in demand than there are places,
// those in frequent use are never idle; without a limit on the time that they hold their places, others would never be
// served.
#pragma once

#include "protocol/Ids.h"
#include "transport/RuntimeClock.h"

#include <absl/functional/function_ref.h>

#include <map>
#include <optional>
#include <set>
#include <span>
#include <utility>

namespace lychee::fleet {

// An adapter with the model that it belongs to.
using AdapterName = std::pair<ModelId, AdapterId>;

enum class YieldReason {
    // The adapter was not used recently.
    Idle,
    // The adapter may be in use, but another one has waited too long.
    Turn,
};

std::string_view nameOf(YieldReason reason);

// An adapter that is to be unloaded to make room for another.
struct AdapterYield {
    AdapterName adapter;
    YieldReason reason = YieldReason::Idle;
};

// Keeps the uses of the adapters of one service and the requests for adapters that were not served. Time is a
// parameter.
class AdapterPlaces {
public:
    // An adapter last used within this time may still be in use, if instances report used adapters five times a second.
    static constexpr Duration useWindow = std::chrono::milliseconds(400);
    // An adapter that is asked for and not served for this time gets a place from an adapter in use.
    static constexpr Duration maxWait = std::chrono::milliseconds(1500);
    // The same for an adapter that another engine holds, but that no engine serves.
    static constexpr Duration maxWaitWhenHeld = std::chrono::seconds(4);
    // An adapter in use keeps its place for at least this time.
    static constexpr Duration minHoldTime = std::chrono::milliseconds(2500);
    // Shortest time between two adapters in use that yield on one engine.
    static constexpr Duration minTurnInterval = std::chrono::seconds(2);
    // An adapter for which one in use yields has no further ones yield on other engines for this time.
    static constexpr Duration turnTime = std::chrono::seconds(3);
    // An adapter that was loaded for requests that have gone keeps its place for this time until their callers retry.
    static constexpr Duration retryWindow = std::chrono::milliseconds(1500);
    // The caller of a request that was not served probably retries within this time, and may come again within the
    // longer one, in which an adapter in use leaves its place.
    static constexpr Duration recentRequest = std::chrono::milliseconds(1500);
    static constexpr Duration requestAge = std::chrono::seconds(8);
    // Requests that were not served are forgotten after this time.
    static constexpr Duration waitMemory = std::chrono::seconds(60);
    static constexpr std::size_t maxWaiting = 4096;

    // The uses before `now` are unknown; all adapters count as used then.
    explicit AdapterPlaces(TimePoint now)
        : knownSince_(now)
    {
    }

    // Sets how long an adapter counts as in use after its last reported use.
    void setUseWindow(Duration window) { useWindow_ = window; }

    // A request is sent to an engine that holds its adapter.
    void recordUse(const TargetId& target, const AdapterName& adapter, TimePoint now);

    // An adapter is asked for on an engine that does not hold it.
    void recordRequest(const TargetId& target, const AdapterName& adapter, TimePoint now);

    // `awaitsRetry` says that the requests for the adapter have gone, and their callers may come again.
    void recordLoad(const TargetId& target, const AdapterName& adapter, bool awaitsRetry, TimePoint now);

    // An adapter in use begins to yield its place on the engine to `wanted`.
    void recordTurn(const TargetId& target, const AdapterName& wanted, TimePoint now);

    // An engine has accepted the unload of an adapter.
    void recordUnload(const TargetId& target, const AdapterName& adapter);

    void removeTarget(const TargetId& target);

    // When the adapter can be unloaded without waiting for requests, if no further use is reported.
    TimePoint idleFrom(const TargetId& target, const AdapterName& adapter) const;

    // How long the adapter has been asked for without being served; zero when it was served since the last request.
    Duration waited(const AdapterName& adapter, TimePoint now) const;

    // Which of the adapters on a full engine yields its place to `wanted`, or none. `heldElsewhere` says whether
    // another engine holds an adapter.
    std::optional<AdapterYield> yieldFor(const TargetId& target, const AdapterName& wanted,
        std::span<const AdapterName> resident, absl::FunctionRef<bool(const AdapterName&)> heldElsewhere,
        TimePoint now) const;

    // The adapter that gets a place of the engine that has become free: of those asked for there, and for which
    // `isEligible` holds, the one that has waited longest. Recent requests come first.
    std::optional<AdapterName> longestWaiting(
        const TargetId& target, absl::FunctionRef<bool(const AdapterName&)> isEligible, TimePoint now) const;

private:
    struct Residence {
        TimePoint usedAt;
        // Absent for adapters that an earlier placement owner loaded.
        std::optional<TimePoint> loadedAt;
        bool awaitsRetry = false;
    };

    struct Engine {
        std::map<AdapterName, Residence> residences;
        std::optional<TimePoint> lastTurn;
    };

    struct Wait {
        TimePoint since;
        TimePoint lastRequest;
        // When the adapter was last asked for on each engine.
        std::map<TargetId, TimePoint> requests;
        // When an adapter in use last began to yield its place to this one.
        std::optional<TimePoint> lastTurn;
    };

    TimePoint idleFrom(const Residence& residence) const;
    bool mayTakeTurn(const Engine* engine, const AdapterName& wanted,
        absl::FunctionRef<bool(const AdapterName&)> heldElsewhere, TimePoint now) const;
    const Engine* find(const TargetId& target) const;
    static const Residence* find(const Engine* engine, const AdapterName& adapter);
    std::optional<AdapterName> leastRecentlyUsed(
        const Engine* engine, std::span<const AdapterName> resident, TimePoint now) const;
    static std::optional<AdapterName> longestHeld(const Engine* engine, std::span<const AdapterName> resident,
        absl::FunctionRef<bool(const AdapterName&)> heldElsewhere, TimePoint now);
    void removeOldWaits(TimePoint now);

    TimePoint knownSince_;
    Duration useWindow_ = useWindow;
    std::map<TargetId, Engine> engines_;
    std::map<AdapterName, Wait> waits_;
};

} // namespace lychee::fleet
