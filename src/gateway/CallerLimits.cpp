#include "gateway/CallerLimits.h"

#include "transport/Duty.h"
#include "transport/Log.h"

namespace lychee::gateway {

namespace {

constexpr LogChannel logChannel("limits");

} // namespace

LimitTicket::~LimitTicket()
{
    if (limits_ && possibleRuns_ <= 0)
        limits_->giveBack(customer_, cost_);
}

void CallerLimits::configurationChanged(const fleet::RouteTable& table)
{
    const TimePoint now = currentTime();
    limit_.setInstances(listed_, reached_, now);
    limit_.setCustomers(table.customers(), now);
    for (const fleet::Customer& customer : table.customers().customers()) {
        std::optional<fleet::CustomerLimit>& known = knownLimits_[customer.id];
        if (known == customer.limit)
            continue;
        known = customer.limit;
        logChannel.info("customer={} config={} limit_per_s={:.0f} burst={:.0f}", customer.id, table.version(),
            known ? known->perSecond : 0, known ? known->burst : 0);
    }
}

void CallerLimits::listedUpdated(std::size_t listed)
{
    listed_ = std::max(listed, reached_);
    limit_.setInstances(listed_, reached_, currentTime());
}

void CallerLimits::reachedUpdated(std::size_t reached)
{
    reached_ = reached;
    // The table is read once a minute; instances that were started since are connected before.
    listed_ = std::max(listed_, reached_);
    if (limit_.isActive())
        limit_.setInstances(listed_, reached_, currentTime());
}

std::variant<LimitTicket, Duration> CallerLimits::admit(
    const fleet::Customer* customer, const std::optional<TokenCount>& declaredTokens, MetricsSink* metrics)
{
    if (!customer || !customer->limit)
        return LimitTicket();
    const double cost = fleet::costOf(*customer->limit, declaredTokens);
    const fleet::LimitAdmission admission = limit_.admit(customer->id, cost, currentTime());
    if (admission.admitted)
        return LimitTicket(*this, customer->id, cost);
    recordRefusal(*customer, cost, admission.retryAfter, metrics);
    return admission.retryAfter;
}

void CallerLimits::giveBack(const fleet::CustomerId& customer, double cost)
{
    limit_.giveBack(customer, cost, currentTime());
}

std::vector<fleet::CustomerUse> CallerLimits::report()
{
    const TimePoint now = currentTime();
    endQuietRefusals(now);
    return limit_.report(now);
}

void CallerLimits::peerReported(const InstanceId& peer, const std::vector<fleet::CustomerUse>& uses)
{
    limit_.recordPeer(peer, uses, currentTime());
}

void CallerLimits::peerLost(const InstanceId& peer) { limit_.forgetPeer(peer, currentTime()); }

void CallerLimits::recordRefusal(
    const fleet::Customer& customer, double cost, Duration retryAfter, MetricsSink* metrics)
{
    const TimePoint now = currentTime();
    Limited& limited = limited_[customer.id];
    limited.lastRefusal = now;
    if (limited.refusals++ == 0)
        logState(customer.id, "begins", 1, now);
    logChannel.debug("customer={} refused cost={} retry_after_ms={}", customer.id, cost,
        std::chrono::duration_cast<std::chrono::milliseconds>(retryAfter).count());
    if (!metrics)
        return;
    if (counted_.size() < maxCountedCustomers)
        counted_.insert(customer.id);
    const std::string name = counted_.contains(customer.id) ? customer.id.value() : "other";
    metrics->count(Counter::Refusals, TeamId(name), "customer limit");
}

void CallerLimits::endQuietRefusals(TimePoint now)
{
    for (auto entry = limited_.begin(); entry != limited_.end();) {
        if (now - entry->second.lastRefusal < quietTime) {
            ++entry;
            continue;
        }
        logState(entry->first, "ends", entry->second.refusals, now);
        entry = limited_.erase(entry);
    }
}

void CallerLimits::logState(
    const fleet::CustomerId& customer, std::string_view event, std::uint64_t refusals, TimePoint now)
{
    const fleet::LimitState state = limit_.state(customer, now).value_or(fleet::LimitState());
    logChannel.info("customer={} limiting={} refusals={} admitted_part={:.3f} level={:.0f} demand={:.0f} share={:.3f} "
                    "listed={} reached={}",
        customer, event, refusals, state.fraction, state.level, state.demand, state.share, listed_, reached_);
}

} // namespace lychee::gateway
