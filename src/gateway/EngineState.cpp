#include "gateway/EngineState.h"

#include "transport/Duty.h"
#include "transport/TransportError.h"

namespace lychee::gateway {

void AdapterRequest::finish(absl::Status result)
{
    done = true;
    status = std::move(result);
    for (FiberEvent* event : waitingFibers)
        event->notify();
}

absl::Status AdapterRequest::await(std::shared_ptr<AdapterRequest> request, TimePoint deadline)
{
    FiberEvent event;
    request->waitingFibers.push_back(&event);
    while (!request->done && event.waitUntil(Duty::current()->timers(), deadline)) { }
    std::erase(request->waitingFibers, &event);
    return request->done ? request->status
                         : makeError(TransportError::TimedOut, "the adapter was not loaded before the deadline");
}

void EngineState::failRequests(std::string_view reason)
{
    for (auto* requests : {&pendingAdapters, &placeRequests}) {
        for (const std::shared_ptr<AdapterRequest>& request : *requests)
            request->finish(makeError(TransportError::Stopped, reason));
        requests->clear();
    }
    steps.clear();
}

} // namespace lychee::gateway
