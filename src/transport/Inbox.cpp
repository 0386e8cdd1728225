#include "transport/Inbox.h"

namespace lychee {

std::shared_ptr<Inbox> Inbox::create(Duty& duty, std::size_t capacity)
{
    std::shared_ptr<Inbox> inbox(new Inbox(duty, capacity));
    duty.spawn([inbox] { inbox->takeTasks(); });
    return inbox;
}

Inbox::Inbox(Duty& duty, std::size_t capacity)
    : duty_(duty)
    , ring_(Ring<Task>::create(duty, capacity))
    , capacity_(capacity)
{
}

absl::Status Inbox::submit(Task task) { return ring_->push(std::move(task)); }

void Inbox::takeTasks()
{
    while (std::optional<Task> task = ring_->pop()) {
        while (running_ >= capacity_)
            taskEnded_.wait();
        ++running_;
        duty_.spawn([self = shared_from_this(), task = *std::move(task)] {
            task();
            --self->running_;
            self->taskEnded_.notify();
        });
    }
}

} // namespace lychee
