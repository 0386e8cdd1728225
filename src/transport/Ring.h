// Bounded ring that carries typed messages to a duty.
#pragma once

#include "transport/Duty.h"
#include "transport/FiberEvent.h"
#include "transport/TransportError.h"

#include <boost/asio/post.hpp>

#include <mutex>
#include <optional>
#include <vector>

namespace lychee {

// Many senders on any thread, one receiving fiber on the duty that owns the ring. Create with Ring::create; the ring
// is held by shared pointers, so that either side may end first.
template <typename Message> class Ring : public std::enable_shared_from_this<Ring<Message>> {
public:
    // Returns a ring of `capacity` messages whose receiver runs on `receiver`.
    static std::shared_ptr<Ring> create(Duty& receiver, std::size_t capacity)
    {
        return std::shared_ptr<Ring>(new Ring(receiver, capacity));
    }

    // Appends a message. Fails with RingFull, which the sender passes on as backpressure, or Stopped after close().
    absl::Status push(Message message)
    {
        {
            std::scoped_lock lock(mutex_);
            if (closed_)
                return makeError(TransportError::Stopped, "ring is closed");
            if (size_ == slots_.size())
                return makeError(TransportError::RingFull, "ring has no free slot");
            slots_[(head_ + size_) % slots_.size()] = std::move(message);
            ++size_;
        }
        wakeReceiver();
        return absl::OkStatus();
    }

    // Appends a message from a fiber; waits for a free slot until `deadline`.
    absl::Status pushBefore(const Message& message, TimePoint deadline)
    {
        while (true) {
            const absl::Status status = push(message);
            if (errorOf<TransportError>(status) != TransportError::RingFull || currentTime() >= deadline)
                return status;
            sleepFor(fullRetryInterval);
        }
    }

    // Takes the next message, suspending the calling fiber. Returns nothing when `deadline` has passed, or when the
    // ring is closed and empty.
    std::optional<Message> pop(TimePoint deadline = TimePoint::max())
    {
        while (true) {
            {
                std::scoped_lock lock(mutex_);
                if (size_ > 0)
                    return takeLocked();
                if (closed_)
                    return std::nullopt;
                receiverWaits_ = true;
            }
            if (deadline == TimePoint::max()) {
                arrived_.wait();
                continue;
            }
            if (currentTime() >= deadline || !arrived_.waitUntil(Duty::current()->timers(), deadline))
                return tryPop();
        }
    }

    // Takes the next message if there is one.
    std::optional<Message> tryPop()
    {
        std::scoped_lock lock(mutex_);
        if (size_ == 0)
            return std::nullopt;
        return takeLocked();
    }

    // Lets no further message in and wakes the receiver.
    void close()
    {
        {
            std::scoped_lock lock(mutex_);
            closed_ = true;
        }
        wakeReceiver();
    }

    bool isClosed() const
    {
        std::scoped_lock lock(mutex_);
        return closed_;
    }

private:
    // How often a sender that waits for a free slot looks again.
    static constexpr Duration fullRetryInterval = std::chrono::milliseconds(1);

    Ring(Duty& receiver, std::size_t capacity)
        : receiver_(receiver)
        , slots_(capacity)
    {
    }

    Message takeLocked()
    {
        Message message = std::move(*slots_[head_]);
        slots_[head_].reset();
        head_ = (head_ + 1) % slots_.size();
        --size_;
        return message;
    }

    void wakeReceiver()
    {
        {
            std::scoped_lock lock(mutex_);
            if (!receiverWaits_)
                return;
            receiverWaits_ = false;
        }
        if (Duty::current() == &receiver_) {
            arrived_.notify();
            return;
        }
        boost::asio::post(receiver_.io(), [self = this->shared_from_this()] { self->arrived_.notify(); });
    }

    Duty& receiver_;
    FiberEvent arrived_;
    mutable std::mutex mutex_;
    std::vector<std::optional<Message>> slots_;
    std::size_t head_ = 0;
    std::size_t size_ = 0;
    bool closed_ = false;
    bool receiverWaits_ = false;
};

} // namespace lychee
