#include "gateway/ConfigurationConfirmation.h"

#include "gateway/StoreEra.h"
#include "transport/Duty.h"
#include "transport/Log.h"

namespace lychee::gateway {

namespace {

constexpr LogChannel logChannel("confirmation");

std::int64_t milliseconds(Duration duration)
{
    return std::chrono::duration_cast<std::chrono::milliseconds>(duration).count();
}

} // namespace

void ConfigurationConfirmation::run()
{
    while (age_.options().isStrict && !Duty::current()->isStopping()) {
        const TimePoint now = clock_->nowWithSuspension();
        logChange(now);
        if (age_.isQueryDue(now))
            query(now);
        sleepFor(reviewInterval);
    }
}

void ConfigurationConfirmation::handle(const InstanceId& peer, const MeshConfirmationQuery& query)
{
    const fleet::ConfigurationStatement own{ageOfRow(), handlers_.ownRow()};
    handlers_.send(peer, toMessage(query.call, own));
}

void ConfigurationConfirmation::handle(const InstanceId& peer, const MeshConfirmation& answer)
{
    const fleet::ConfigurationStatement statement = fromMessage(answer);
    const RowVersion ownRow = handlers_.ownRow();
    // A row of another era may have been acknowledged before or after the one that this instance has.
    if (eraOf(statement.row) == eraOf(ownRow))
        age_.peerAnswered(peer, answer.call, statement, ownRow);
}

Duration ConfigurationConfirmation::ageOfRow() const
{
    const Duration known = age().value_or(Duration::max());
    const bool concernsRow = !restoredAt_ || known < clock_->nowWithSuspension() - *restoredAt_;
    return concernsRow ? known : Duration::max();
}

void ConfigurationConfirmation::query(TimePoint now)
{
    const InstanceId peer = choosePeer();
    if (!peer.empty())
        handlers_.send(peer, MeshConfirmationQuery{age_.querySent(peer, now)});
}

InstanceId ConfigurationConfirmation::choosePeer()
{
    InstanceId owner = handlers_.owner();
    if (!owner.empty() && !age_.isUnhelpful(owner))
        return owner;
    const std::vector<InstanceId> others = handlers_.otherPeers();
    return others.empty() ? owner : others[turn_++ % others.size()];
}

void ConfigurationConfirmation::logChange(TimePoint now)
{
    const bool accepts = age_.acceptsKeys(now);
    if (accepts == accepted_)
        return;
    accepted_ = accepts;
    const std::int64_t ageMs = milliseconds(age_.age(now).value_or(Duration(0)));
    const std::int64_t limitMs = milliseconds(age_.options().limit);
    if (accepts) {
        logChannel.info("state=confirmed age_ms={} limit_ms={} after_ms={} row={}", ageMs, limitMs,
            milliseconds(now - changedAt_), handlers_.ownRow());
    } else {
        logChannel.warning("state=unconfirmed age_ms={} limit_ms={} row={} requests with keys are refused", ageMs,
            limitMs, handlers_.ownRow());
    }
    changedAt_ = now;
}

} // namespace lychee::gateway
