// The prefix cache of an engine and its events, which can be delayed and partly dropped.
#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <deque>
#include <list>
#include <mutex>
#include <random>
#include <string>
#include <unordered_map>
#include <vector>

namespace lychee::standin {

// A bounded cache that evicts the least recently used block. Thread-safe.
class PrefixCache {
public:
    // `gap` is the share of events that are dropped; `lag` is the delay until an event becomes visible.
    PrefixCache(std::size_t blocks, std::chrono::milliseconds lag, double gap);

    // Stores the blocks of a request. Returns how many of them were absent.
    std::size_t store(const std::string& model, const std::vector<std::string>& hashes);

    // Events with a sequence above `after`, as `{"events":[...]}`.
    nlohmann::json events(std::uint64_t after) const;

private:
    using Clock = std::chrono::steady_clock;

    struct Block {
        std::string model;
        std::string hash;
    };

    struct Event {
        std::uint64_t sequence = 0;
        Clock::time_point visible;
        Block block;
        bool stored = false;
    };

    void publish(const Block& block, bool stored);

    const std::size_t blocks_;
    const std::chrono::milliseconds lag_;
    const double gap_;
    mutable std::mutex mutex_;
    std::list<Block> lruBlocks_;
    std::unordered_map<std::string, std::list<Block>::iterator> index_;
    std::deque<Event> events_;
    std::uint64_t lastSequence_ = 0;
    // A fixed seed makes the gaps of a test repeatable.
    std::minstd_rand random_{1};
};

} // namespace lychee::standin
