// A bound on the memory that all messages in progress hold together.
//
// Each message may hold a small part without asking, so that short ones are never refused. When the rest is used up,
// the message that holds the most has to give up. A message that is being delivered is spared for a while, so that
// memory is taken from readers that are slow before it is taken from others.
#pragma once

#include "transport/Duty.h"

#include <cstddef>
#include <functional>
#include <memory>
#include <optional>
#include <set>

namespace lychee {

// Used on one duty. Must outlive its shares.
class MemoryBudget {
public:
    // The memory of one message; returned to the budget when the share is destroyed.
    class Share {
    public:
        ~Share();

        // Sets how many bytes the message holds. Returns false when it has to give up.
        bool resize(std::size_t bytes);

        // The message is complete and in use: it is no longer asked to give up.
        void keep() { isKept_ = true; }

        // The message is complete and being delivered. From `time` on its reader counts as slow, and the message is
        // asked to give up, by `onRevoked`, before others are.
        void deliverUntil(TimePoint time, std::function<void()> onRevoked);

        // Whether the message has to give up.
        bool isRevoked() const { return isRevoked_; }

    private:
        friend class MemoryBudget;

        Share(MemoryBudget& budget, std::function<void()> onRevoked);

        MemoryBudget& budget_;
        // Wakes the fiber of the message. Must not suspend.
        std::function<void()> onRevoked_;
        // Bytes in addition to the part that is free for each message.
        std::size_t counted_ = 0;
        bool isKept_ = false;
        // From when on the reader of a message that is being delivered counts as slow.
        std::optional<TimePoint> slowFrom_;
        bool isRevoked_ = false;
    };

    // `capacity` is in bytes, in addition to `freePart` bytes for each message.
    MemoryBudget(std::size_t capacity, std::size_t freePart, std::function<TimePoint()> now = currentTime)
        : capacity_(capacity)
        , freePart_(freePart)
        , now_(std::move(now))
    {
    }

    void setCapacity(std::size_t bytes) { capacity_ = bytes; }

    // `onRevoked` is called when the message has to give up because of another one.
    std::unique_ptr<Share> open(std::function<void()> onRevoked);

    // Bytes that the messages hold together, without their free parts.
    std::size_t used() const { return used_; }

private:
    void revoke(Share& share);
    // The share that has to give up so that `grown` can have its bytes.
    Share& chooseVictim(Share& grown);
    bool isSlow(const Share& share) const { return share.slowFrom_ && now_() >= *share.slowFrom_; }

    std::size_t capacity_;
    std::size_t freePart_;
    std::function<TimePoint()> now_;
    std::size_t used_ = 0;
    std::set<Share*> shares_;
};

// The memory of the machine, in bytes.
std::size_t machineMemory();

} // namespace lychee
