// Calls from a fiber of one duty into another duty, through a bounded ring.
#pragma once

#include "transport/Ring.h"

#include <functional>
#include <memory>

namespace lychee {

// Takes tasks for a duty and runs each in a fiber there.
class Inbox : public std::enable_shared_from_this<Inbox> {
public:
    using Task = std::function<void()>;

    // Starts to take tasks for `duty`. At most `capacity` wait and at most `capacity` run at a time.
    static std::shared_ptr<Inbox> create(Duty& duty, std::size_t capacity);

    // Hands over a task. Fails with RingFull or Stopped; the task is not run then. Thread-safe.
    absl::Status submit(Task task);

    // Takes no further tasks. Thread-safe.
    void close() { ring_->close(); }

    Duty& duty() { return duty_; }

private:
    Inbox(Duty& duty, std::size_t capacity);

    void takeTasks();

    Duty& duty_;
    std::shared_ptr<Ring<Task>> ring_;
    std::size_t capacity_;
    std::size_t running_ = 0;
    FiberEvent taskEnded_;
};

// Runs `function` in a fiber on the inbox's duty and suspends the calling fiber until it has returned. Fails with the
// status of submit() when the function was not run.
template <typename Function> auto callOn(Inbox& inbox, Function function) -> absl::StatusOr<decltype(function())>
{
    using Result = decltype(function());
    if (Duty::current() == &inbox.duty())
        return function();
    struct Call {
        std::optional<Result> result;
        FiberEvent done;
    };
    auto call = std::make_shared<Call>();
    Duty& caller = *Duty::current();
    const absl::Status status = inbox.submit([call, &caller, function = std::move(function)]() mutable {
        call->result.emplace(function());
        boost::asio::post(caller.io(), [call] { call->done.notify(); });
    });
    if (!status.ok())
        return status;
    call->done.wait();
    return *std::move(call->result);
}

} // namespace lychee
