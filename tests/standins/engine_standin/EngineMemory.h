// Artifacts in accelerator memory, the orders that change them, and fencing.
#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <condition_variable>
#include <cstdint>
#include <deque>
#include <functional>
#include <map>
#include <mutex>
#include <optional>
#include <set>
#include <string>

namespace lychee::standin {

struct Order {
    // Number or string, returned as received.
    nlohmann::json id;
    std::uint64_t fence = 0;
    std::string operation;
    std::string artifact;
    std::uint64_t bytes = 0;
    std::string role;

    // Throws nlohmann::json::exception on a malformed order.
    static Order parse(const nlohmann::json& json);
};

// Transfers an artifact from the weight store. Returns false when that fails.
using Transfer = std::function<bool(const std::string& artifact, std::uint64_t bytes)>;

// The memory of one engine. It applies every order that is not refused and counts overcommitment instead of
// preventing it, so that tests detect every mistake of the system under test. Thread-safe.
class EngineMemory {
public:
    EngineMemory(std::uint64_t capacityBytes, bool honourFencing, Transfer transfer);

    // Applies an order and waits until it is complete. Returns nothing on success, else the reason of the refusal.
    std::optional<std::string> apply(const Order& order);

    void setHonourFencing(bool honour);

    // Finds the resident artifact for an artifact name or caller name and protects it from an unload until `release`.
    std::optional<std::string> use(const std::string& model);

    // Whether a request for `model` could run now.
    bool has(const std::string& model) const;

    void release(const std::string& artifact);

    // Adds the report fields to which the report lag does not apply.
    void addToReport(nlohmann::json& report) const;

    // Adds overcommitment, peak and order counts.
    void addToStats(nlohmann::json& stats) const;

private:
    enum class State {
        Loading,
        Resident,
        Unloading,
    };

    struct Artifact {
        std::uint64_t bytes = 0;
        State state = State::Loading;
        std::uint64_t loadNumber = 0;
        std::uint64_t fence = 0;
        int users = 0;
    };

    using Lock = std::unique_lock<std::mutex>;
    using Refusal = std::optional<std::string>;

    Refusal applyOperation(Lock& lock, const Order& order);
    Refusal load(Lock& lock, const Order& order);
    Refusal unload(Lock& lock, const Order& order);
    Refusal raiseFence(const Order& order);
    bool isFenced(const Order& order) const;
    void waitUntilSettled(Lock& lock, const std::string& artifact);
    void reserve(const Order& order, std::uint64_t loadNumber);
    bool isResident(const std::string& artifact) const;
    bool hasAdapters(const std::string& model) const;
    std::uint64_t usedBytes() const;
    std::optional<std::string> findResident(const std::string& model) const;
    void record(const Order& order, bool applied);

    const std::uint64_t capacityBytes_;
    const Transfer transfer_;
    mutable std::mutex mutex_;
    std::condition_variable changed_;
    bool honourFencing_;
    std::uint64_t fence_ = 0;
    std::string role_;
    std::map<std::string, Artifact> artifacts_;
    std::uint64_t lastLoad_ = 0;
    std::uint64_t peakBytes_ = 0;
    std::uint64_t overcommits_ = 0;
    std::uint64_t changes_ = 0;
    std::uint64_t fenced_ = 0;
    std::uint64_t duplicateOrders_ = 0;
    std::set<std::string> seenOrders_;
    std::deque<nlohmann::json> appliedOrders_;
    std::deque<nlohmann::json> refusedOrders_;
};

// The model part of an artifact name: `M@V:A@W` gives `M@V`.
std::string modelOf(const std::string& artifact);

} // namespace lychee::standin
