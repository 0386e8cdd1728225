#include "transport/FiberScheduler.h"

namespace lychee {

void FiberScheduler::awakened(boost::fibers::context* fiber) noexcept
{
    fiber->ready_link(queue_);
    if (!fiber->is_context(boost::fibers::type::dispatcher_context))
        ++*readyCount_;
}

boost::fibers::context* FiberScheduler::pick_next() noexcept
{
    if (queue_.empty())
        return nullptr;
    boost::fibers::context* fiber = &queue_.front();
    queue_.pop_front();
    if (!fiber->is_context(boost::fibers::type::dispatcher_context))
        --*readyCount_;
    return fiber;
}

bool FiberScheduler::has_ready_fibers() const noexcept { return !queue_.empty(); }

} // namespace lychee
