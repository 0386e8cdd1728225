// Limits of the server for callers, and its answers to requests that break them.
#pragma once

#include "gateway/RelayContext.h"
#include "gateway/RelayDialect.h"

namespace lychee::gateway {

// Sets the limits by which the server stays bounded when callers read or send slowly.
void boundSlowCallers(HttpServerOptions& options, const RelayContext& context);

LocalResponse faultResponse(HttpFault fault);

} // namespace lychee::gateway
