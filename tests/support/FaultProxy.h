// A TCP relay on the loopback address that disturbs the connections through it.
#pragma once

#include "transport/HttpMessage.h"

#include <memory>

namespace lychee::test {

// What happens to bytes and connections. `Down` is the way from the target to the side that has connected.
enum class LinkFault {
    None,
    // Bytes are held back for a while.
    Delay,
    // Bytes are taken and dropped, so that both sides see silence.
    Silence,
    SilenceUp,
    SilenceDown,
    // Connections are reset, new ones too.
    Reset,
    // New connections are refused; open ones live on.
    Refuse,
    // Connections are closed regularly, new ones after they were accepted.
    Close,
    // Attempts to connect get no answer, and bytes of open connections are dropped.
    Unanswered,
};

// All functions are thread-safe.
class FaultProxy {
public:
    // Listens on a free port. Throws std::exception when that fails.
    FaultProxy();

    // Closes all connections and ends the threads.
    ~FaultProxy();

    // Where to connect instead of to the target.
    Endpoint endpoint() const;

    // Connections that are accepted before the target is set are reset.
    void setTarget(const Endpoint& target);

    // Closes connections regularly when the target cannot be reached, instead of resetting them.
    void closeWithoutTarget();

    // Applies to open connections too. A connection on which bytes were dropped is reset when the fault ends, as its
    // peers would have given it up.
    void setFault(LinkFault fault);

    // Drops the bytes of the connections that are open now, for good and without an end; new connections work.
    void silenceOpenConnections();

private:
    class Link;
    class State;

    std::shared_ptr<State> state_;
};

} // namespace lychee::test
