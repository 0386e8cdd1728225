// Asks the instance that grants the requests to a limited target, and answers such questions of peers. Used on the
// control duty.
#pragma once

#include "fleet/RequestGrants.h"
#include "gateway/MeshMessages.h"
#include "transport/Duty.h"
#include "transport/FiberEvent.h"

#include <functional>
#include <map>

namespace lychee::gateway {

class GrantExchange {
public:
    // What is needed of the control plane.
    struct Handlers {
        // The connected peers.
        std::function<std::vector<InstanceId>()> peers;
        std::function<absl::Status(const InstanceId&, const MeshMessage&)> send;
    };

    GrantExchange(InstanceId self, Handlers handlers)
        : self_(std::move(self))
        , handlers_(std::move(handlers))
    {
    }

    // Asks for one request to a target, which may wait for `maxWait`. Suspends the fiber, at most until `deadline`;
    // without an answer the request is not granted.
    fleet::RequestGrant request(const TargetId& target, fleet::TargetIncarnation incarnation, double perSecond,
        Duration maxWait, TimePoint deadline);

    void handle(const InstanceId& peer, const MeshGrantQuery& query);

    void handle(const InstanceId& peer, const MeshGrant& answer);

    // Records that the connection to a peer has ended, which will not answer.
    void lost(const InstanceId& peer);

private:
    // After this time, a granting instance that did not answer may be back, or another one may grant.
    static constexpr Duration unansweredPause = std::chrono::milliseconds(500);

    struct Pending {
        InstanceId granter;
        FiberEvent done;
        fleet::RequestGrant grant{false, unansweredPause};
    };

    InstanceId self_;
    Handlers handlers_;
    fleet::RequestGrants grants_;
    std::map<std::uint64_t, Pending*> pending_;
    std::uint64_t lastCall_ = 0;
};

} // namespace lychee::gateway
