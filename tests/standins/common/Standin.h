// The code shared by all stand-ins: flags, the two ports, the faults and the exit on SIGTERM.
#pragma once

#include "tests/standins/common/FaultTable.h"
#include "tests/standins/common/Http.h"

namespace lychee::standin {

// The interface that each stand-in implements. All functions may be called concurrently.
class Application {
public:
    virtual ~Application() = default;

    // Applies one request and writes its answer.
    virtual void handle(const Request& request, Connection& connection) = 0;

    // The body of `GET /stats`.
    virtual nlohmann::json stats() = 0;

    // Called for each request that `NotRun` refuses; 0 without a Retry-After.
    virtual void refused(const Request&, int /*retryAfterSeconds*/) { }

    // Called once with the bound service port, before the ports file is written.
    virtual void listening(std::uint16_t) { }

    // Called for `IgnoreFencing` and `HonourFencing`, which are modes rather than faults of a request.
    virtual void setFencingFault(FaultKind) { }

    // Called when the faults are cleared.
    virtual void clearFencingFault() { }
};

// Parses Abseil flags after replacing '-' by '_' in their names, because Abseil accepts only
// C++ identifiers as flag names.
void parseFlags(int argc, char** argv);

// Serves `application` on the ports of the common flags until SIGTERM, then ends the process. Returns 1 when a port
// cannot be bound.
int runStandin(Application& application);

} // namespace lychee::standin
