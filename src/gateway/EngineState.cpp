#include "gateway/EngineState.h"

#include "transport/Duty.h"
#include "transport/TransportError.h"

namespace lychee::gateway {

void AdapterRequest::finish(absl::Status result)
{
    done = true;
    status = std::move(result);
    for (FiberEvent* event : waiting)
        event->notify();
}

absl::Status AdapterRequest::await(std::shared_ptr<AdapterRequest> wish, TimePoint deadline)
{
    FiberEvent event;
    wish->waiting.push_back(&event);
    while (!wish->done && event.waitUntil(Duty::current()->timers(), deadline)) { }
    std::erase(wish->waiting, &event);
    return wish->done ? wish->status : makeError(TransportError::TimedOut, "the adapter was not loaded in time");
}

void EngineState::failAll(std::string_view reason)
{
    for (const std::shared_ptr<AdapterRequest>& wish : wishes)
        wish->finish(makeError(TransportError::Stopped, reason));
    wishes.clear();
    planned.reset();
}

} // namespace lychee::gateway
