// A bound on the memory that all messages in progress hold together.
//
// Each message may hold a small part without asking, so that short ones are never refused. When the rest is used up,
// the message that holds the most has to give up.
#pragma once

#include <cstddef>
#include <functional>
#include <memory>
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

        // The message is complete and only has to be delivered: it is no longer asked to give up.
        void keep() { isKept_ = true; }

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
        bool isRevoked_ = false;
    };

    // `capacity` is in bytes, in addition to `freePart` bytes for each message.
    MemoryBudget(std::size_t capacity, std::size_t freePart)
        : capacity_(capacity)
        , freePart_(freePart)
    {
    }

    void setCapacity(std::size_t bytes) { capacity_ = bytes; }

    // `onRevoked` is called when the message has to give up because of another one.
    std::unique_ptr<Share> open(std::function<void()> onRevoked);

    // Bytes that the messages hold together, without their free parts.
    std::size_t used() const { return used_; }

private:
    void revoke(Share& share);

    std::size_t capacity_;
    std::size_t freePart_;
    std::size_t used_ = 0;
    std::set<Share*> shares_;
};

// The memory of the machine, in bytes.
std::size_t machineMemory();

} // namespace lychee
