#include "gateway/CallerServer.h"

namespace lychee::gateway {

void boundSlowCallers(HttpServerOptions& options, const RelayContext& context)
{
    options.writeTimeout = RelayLimits::slowReaderTimeout;
    options.buffers = RelayLimits::callerBuffers;
    options.requestMemory = context.requestMemory;
}

LocalResponse faultResponse(HttpFault fault)
{
    switch (fault) {
    case HttpFault::HeaderTooLarge:
        return {431, "the request header is larger than the limit", std::nullopt};
    case HttpFault::BodyTooLarge:
        return {413, "the request body is larger than the limit", std::nullopt};
    case HttpFault::TimedOut:
        return {408, "the request was not received within the time limit", std::nullopt};
    case HttpFault::OutOfMemory:
        return {503, "the requests in progress use up the memory for them", RelayLimits::minAnswerTimeout};
    case HttpFault::Malformed:
        return {400, "the request is malformed", std::nullopt};
    }
    return {400, "the request is malformed", std::nullopt};
}

} // namespace lychee::gateway
