#include "tests/standins/engine_standin/PrefixCache.h"

namespace lychee::standin {

namespace {

constexpr std::size_t maxRetainedEvents = 65536;

} // namespace

PrefixCache::PrefixCache(std::size_t blocks, std::chrono::milliseconds lag, double gap)
    : blocks_(blocks)
    , lag_(lag)
    , gap_(gap)
{
}

std::size_t PrefixCache::store(const std::string& model, const std::vector<std::string>& hashes)
{
    const std::lock_guard lock(mutex_);
    std::size_t absent = 0;
    for (const std::string& hash : hashes) {
        if (const auto found = index_.find(hash); found != index_.end()) {
            lruBlocks_.splice(lruBlocks_.begin(), lruBlocks_, found->second);
            continue;
        }
        ++absent;
        lruBlocks_.push_front({model, hash});
        index_[hash] = lruBlocks_.begin();
        publish(lruBlocks_.front(), true);
        if (lruBlocks_.size() > blocks_) {
            publish(lruBlocks_.back(), false);
            index_.erase(lruBlocks_.back().hash);
            lruBlocks_.pop_back();
        }
    }
    return absent;
}

nlohmann::json PrefixCache::events(std::uint64_t after) const
{
    const std::lock_guard lock(mutex_);
    nlohmann::json events = nlohmann::json::array();
    const Clock::time_point now = Clock::now();
    for (const Event& event : events_) {
        if (event.sequence <= after || event.visible > now)
            continue;
        events.push_back({{"sequence", event.sequence}, {"prefix_hash", event.block.hash}, {"model", event.block.model},
            {"kind", event.stored ? "stored" : "evicted"}});
    }
    return {{"events", std::move(events)}};
}

void PrefixCache::publish(const Block& block, bool stored)
{
    const std::uint64_t sequence = ++lastSequence_;
    if (std::uniform_real_distribution<double>(0, 1)(random_) < gap_)
        return;
    events_.push_back({sequence, Clock::now() + lag_, block, stored});
    if (events_.size() > maxRetainedEvents)
        events_.pop_front();
}

} // namespace lychee::standin
