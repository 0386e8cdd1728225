// What the three stand-ins share: flags, the two ports, the faults and the end by SIGTERM.
#pragma once

#include "tests/standins/common/FaultTable.h"
#include "tests/standins/common/Http.h"

namespace lychee::standin {

// The part that differs between the stand-ins. All functions are called by many threads.
class Application {
public:
    virtual ~Application() = default;

    // Applies one request and writes its answer.
    virtual void handle(const Request& request, Connection& connection) = 0;

    // The body of `GET /stats`.
    virtual nlohmann::json stats() = 0;

    // Called once with the port of the service before it is announced.
    virtual void listening(std::uint16_t) { }

    // Called for `IgnoreFencing` and `HonourFencing`, which are modes rather than faults of a request.
    virtual void setFencingFault(FaultKind) { }

    // Called when the faults are cleared.
    virtual void clearFencingFault() { }
};

// Parses Abseil flags after replacing '-' by '_' in their names, because Abseil knows only names of C++ identifiers.
void parseFlags(int argc, char** argv);

// Serves `application` on the ports of the common flags until SIGTERM, then ends the process. Returns 1 when a port
// cannot be bound.
int runStandin(Application& application);

} // namespace lychee::standin
