#include "gateway/GrantExchange.h"

#include "transport/Log.h"

namespace lychee::gateway {

namespace {

constexpr LogChannel logChannel("grants");

} // namespace

fleet::RequestGrant GrantExchange::request(const TargetId& target, fleet::TargetIncarnation incarnation,
    double perSecond, Duration maxWait, TimePoint deadline)
{
    std::vector<InstanceId> instances = handlers_.peers();
    instances.push_back(self_);
    const InstanceId& granter = fleet::granterOf(target, instances);
    if (granter == self_)
        return grants_.take(target, incarnation, perSecond, maxWait, currentTime());
    const std::uint64_t call = ++lastCall_;
    Pending pending;
    pending.granter = granter;
    pending_.emplace(call, &pending);
    const absl::Status sent
        = handlers_.send(granter, MeshGrantQuery{call, target, incarnation, perSecond, toMilliseconds(maxWait)});
    if (sent.ok())
        pending.done.waitUntil(Duty::current()->timers(), deadline);
    pending_.erase(call);
    logChannel.debug("target={} granter={} granted={}", target, granter, pending.grant.isGranted);
    return pending.grant;
}

void GrantExchange::handle(const InstanceId& peer, const MeshGrantQuery& query)
{
    const fleet::RequestGrant grant = grants_.take(
        query.target, query.incarnation, query.perSecond, fromMilliseconds(query.maxWaitMs), currentTime());
    handlers_.send(peer, toMessage(query.call, grant)).IgnoreError();
}

void GrantExchange::handle(const InstanceId& peer, const MeshGrant& answer)
{
    const auto found = pending_.find(answer.call);
    if (found == pending_.end() || found->second->granter != peer)
        return;
    found->second->grant = fromMessage(answer);
    found->second->done.notify();
}

void GrantExchange::lost(const InstanceId& peer)
{
    for (auto& [call, pending] : pending_) {
        if (pending->granter == peer)
            pending->done.notify();
    }
}

} // namespace lychee::gateway
