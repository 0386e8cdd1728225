#include "gateway/EngineSlot.h"

#include "transport/Duty.h"
#include "transport/TransportError.h"

namespace lychee::gateway {

void AdapterWish::finish(absl::Status result)
{
    done = true;
    status = std::move(result);
    for (FiberEvent* event : waiting)
        event->notify();
}

absl::Status AdapterWish::await(std::shared_ptr<AdapterWish> wish, TimePoint deadline)
{
    FiberEvent event;
    wish->waiting.push_back(&event);
    while (!wish->done && event.waitUntil(Duty::current()->timers(), deadline)) { }
    std::erase(wish->waiting, &event);
    return wish->done ? wish->status
                      : makeError(TransportError::TimedOut, "the adapter was not loaded before the deadline");
}

void EngineSlot::failRequests(std::string_view reason)
{
    for (const std::shared_ptr<AdapterWish>& wish : wishes)
        wish->finish(makeError(TransportError::Stopped, reason));
    wishes.clear();
    plannedOrder.reset();
}

} // namespace lychee::gateway
