#include "fleet/SharedRateLimit.h"

#include <algorithm>
#include <cmath>

namespace lychee::fleet {

namespace {

// Time constant of the averages of demand. With 0.7 s, 11 of 4,000 requests of small customers were refused below the
// limit instead of 3 (both with a drain of 1 s and less headroom).
constexpr double demandSeconds = 1;

// The bucket is emptied no faster than with this time constant. Reports of peers are up to a second old; a much shorter
// time would let all instances spend the same tokens before they hear of each other. With 1.5 s, more requests of small
// customers were refused below the limit (8 instead of 2 of 4,000 in a trial with less headroom)
// and the use after a rise was the same.
constexpr double drainSeconds = 0.8;

// Part of the tolerated overshoot that is the depth of a bucket. The rest covers the headroom and the errors of the
// estimates.
constexpr double depthPart = 0.25;

// Part of the tolerated slack that may be used before requests are refused, and its bound in seconds of the limit. It
// covers the noise of the estimated demand: with a quarter of the overshoot and slack and 1 s, 14 of 43,000 requests of
// small customers were refused below the limit, with these values none.
constexpr double headroomPart = 0.6;
constexpr double headroomSeconds = 1.5;

// Part of the tolerated overshoot that a single request may use beyond an empty bucket.
constexpr double lumpPart = 0.5;

// Part of the tolerated overshoot rate at which a negative level recovers in addition to the limit. Without it, an
// instance that started with an empty bucket while those of its peers were full would admit nothing as long as the
// overload lasts.
constexpr double recoveryPart = 0.5;

// A peer without a report for this time is not heard. Peers report at least once a second. With 2.5 s, instances that
// lose all contact at the moment at which the demand rises exceed the bound.
constexpr Duration maxSilence = std::chrono::milliseconds(1600);
constexpr Duration silenceCheckInterval = std::chrono::milliseconds(250);

// What a peer has reported is kept for this time after it was last heard, and a removed limit after its last use.
constexpr Duration memoryOfPeers = std::chrono::minutes(1);
constexpr Duration memoryOfLimits = std::chrono::minutes(10);

constexpr double negligibleDemand = 1e-3;

// The average of demand of a new bucket is divided by the part of the time constant that it covers, at least by that of
// this time. Without that, restarted instances underestimate the demand and admit too much.
constexpr double minDemandAge = 0.3;

// Bounds of the time after which a refused request may be sent again, in seconds.
constexpr double minRetrySeconds = 0.05;
constexpr double maxRetrySeconds = 60;

double secondsOf(Duration duration) { return std::chrono::duration<double>(duration).count(); }

bool isAmount(double value) { return std::isfinite(value) && value >= 0; }

} // namespace

SharedRateLimit::Bucket* SharedRateLimit::find(const CustomerId& customer)
{
    const auto found = buckets_.find(customer);
    return found == buckets_.end() || !found->second.limit ? nullptr : &found->second;
}

// Use above the limit that all instances together may make in one window.
// A limit allows `perSecond` for the length of the window and `burst` besides in each window. A bucket that fills at
// that rate only would refuse a steady demand which stays within it, so the burst is spread over the window. What is
// left as the depth of the bucket is covered by the tolerated overshoot.
CustomerLimit SharedRateLimit::spread(const CustomerLimit& limit) const
{
    const double window = secondsOf(options_.window);
    const double tolerated = options_.overshoot * (limit.perSecond * window + limit.burst) + options_.slack;
    if (tolerated <= 0)
        return limit;
    CustomerLimit result = limit;
    result.perSecond += limit.burst / window;
    result.burst = std::min(limit.burst, depthPart * tolerated);
    return result;
}

double SharedRateLimit::tolerance(const Bucket& bucket) const
{
    return options_.overshoot * (bucket.limit->perSecond * secondsOf(options_.window) + bucket.limit->burst)
        + options_.slack;
}

double SharedRateLimit::headroom(const Bucket& bucket) const
{
    // Only estimates of the demand of many instances need it: those that are alone get almost none.
    return share_ * share_ * std::min(headroomPart * options_.slack, headroomSeconds * bucket.limit->perSecond);
}

// The rate at which all instances that are heard may admit requests now.
double SharedRateLimit::spendableRate(const Bucket& bucket) const
{
    return std::max(rate(bucket) + (bucket.level + headroom(bucket)) / drainSeconds, 0.0);
}

double SharedRateLimit::ownDemand(const Bucket& bucket, TimePoint now)
{
    const double age = std::max(secondsOf(now - bucket.createdAt), minDemandAge);
    const double recent = bucket.recentDemand * std::exp(-secondsOf(now - bucket.demandAt) / demandSeconds);
    return recent / demandSeconds / (1 - std::exp(-age / demandSeconds));
}

double SharedRateLimit::totalDemand(const Bucket& bucket, TimePoint now)
{
    return ownDemand(bucket, now) + bucket.peerDemand;
}

void SharedRateLimit::refill(const Bucket& bucket, PartLevel& part, TimePoint now) const
{
    const double instances = static_cast<double>(listed_);
    const double rate = bucket.limit->perSecond / instances;
    part.level = std::clamp(part.level + rate * secondsOf(now - part.updated), -rate * secondsOf(options_.window),
        bucket.limit->burst / instances);
    part.updated = now;
}

// What is left of the parts of this instance and of those that it hears.
double SharedRateLimit::levelOfParts(const CustomerId& customer, Bucket& bucket, TimePoint now)
{
    refill(bucket, bucket.part, now);
    double sum = bucket.part.level;
    for (auto& [id, peer] : peers_) {
        if (!peer.isHeard)
            continue;
        PeerUse& use = peer.uses[customer];
        refill(bucket, use.part, now);
        sum += use.part.level;
    }
    return sum;
}

// Brings the level of a bucket to `now`.
void SharedRateLimit::advance(Bucket& bucket, TimePoint now)
{
    const double seconds = secondsOf(now - bucket.updated);
    if (seconds <= 0)
        return;
    bucket.updated = now;
    const double recovery = std::min(
        recoveryPart * options_.overshoot * rate(bucket) * seconds, std::max(-bucket.level - headroom(bucket), 0.0));
    bucket.level += rate(bucket) * seconds + recovery - bucket.peerDemand * bucket.fraction * seconds;
    bucket.fractionSeconds += bucket.fraction * seconds;
    // After one window without admissions, what was used before does not count any more.
    bucket.level = std::clamp(bucket.level, -rate(bucket) * secondsOf(options_.window), capacity(bucket));
    const double demand = totalDemand(bucket, now);
    bucket.fraction = demand > 0 ? std::min(spendableRate(bucket) / demand, 1.0) : 1;
}

void SharedRateLimit::advanceAll(TimePoint now)
{
    for (auto& [customer, bucket] : buckets_) {
        if (bucket.limit)
            advance(bucket, now);
    }
}

void SharedRateLimit::setCustomers(const CustomerDirectory& directory, TimePoint now)
{
    advanceAll(now);
    std::map<CustomerId, std::optional<CustomerLimit>> limits;
    for (const Customer& customer : directory.customers()) {
        if (customer.limit)
            limits.emplace(customer.id, customer.limit);
    }
    isActive_ = !limits.empty();
    for (auto entry = buckets_.begin(); entry != buckets_.end();) {
        Bucket& bucket = entry->second;
        if (!limits.contains(entry->first))
            bucket.limit.reset();
        entry = !bucket.limit && now - bucket.usedAt > memoryOfLimits ? buckets_.erase(entry) : std::next(entry);
    }
    for (const auto& [customer, limit] : limits) {
        Bucket& bucket = buckets_[customer];
        const bool continues = bucket.limit && bucket.limit->unit == limit->unit;
        bucket.limit = spread(*limit);
        if (continues) {
            bucket.level = std::min(bucket.level, capacity(bucket));
            continue;
        }
        // The headroom is not there to be used by each new process.
        bucket.level = -headroom(bucket);
        bucket.part = {0, now};
        bucket.updated = now;
        bucket.createdAt = now;
        bucket.recentDemand = 0;
        bucket.demandAt = now;
        bucket.usedAt = now;
        bucket.credit = phase_;
        bucket.fraction = 1;
        bucket.peerDemand = 0;
        for (auto& [peer, known] : peers_)
            known.uses.erase(customer);
    }
}

void SharedRateLimit::setInstances(std::size_t listed, std::size_t reached, TimePoint now)
{
    listed_ = std::max<std::size_t>(listed, 1);
    reached_ = std::max<std::size_t>(reached, 1);
    dropSilentPeers(now);
    updateShare(now);
}

// Follows the number of instances that are heard. When it falls, the level is divided between those that are heard and
// the others. As the others may have used more than is known, the more of them there are, the more the level is bounded
// by what is left of the parts of those that are heard.
void SharedRateLimit::updateShare(TimePoint now)
{
    const std::size_t heard = std::min(heard_, reached_);
    const double share = std::min(static_cast<double>(heard) / static_cast<double>(listed_), 1.0);
    if (share == share_)
        return;
    advanceAll(now);
    const double kept = share / share_;
    share_ = share;
    for (auto& [customer, bucket] : buckets_) {
        if (!bucket.limit)
            continue;
        if (kept > 1) {
            // The part that is added starts empty.
            bucket.level -= headroom(bucket) * (1 - 1 / (kept * kept));
            continue;
        }
        const double divided = bucket.level * kept;
        const double bounded = std::min(divided, levelOfParts(customer, bucket, now));
        bucket.level = std::min(kept * divided + (1 - kept) * bounded, capacity(bucket));
    }
}

void SharedRateLimit::stopHearing(Peer& peer, TimePoint now)
{
    if (!std::exchange(peer.isHeard, false))
        return;
    --heard_;
    endExtrapolation(peer, now);
}

void SharedRateLimit::endExtrapolation(Peer& peer, TimePoint now)
{
    for (auto& [customer, use] : peer.uses) {
        Bucket* bucket = find(customer);
        if (!bucket)
            continue;
        advance(*bucket, now);
        use.extrapolated += use.demand * (bucket->fractionSeconds - use.reportedAt);
        bucket->peerDemand = std::max(bucket->peerDemand - use.demand, 0.0);
        use.demand = 0;
        use.reportedAt = bucket->fractionSeconds;
    }
}

void SharedRateLimit::dropSilentPeers(TimePoint now)
{
    silenceCheckedAt_ = now;
    for (auto entry = peers_.begin(); entry != peers_.end();) {
        if (now - entry->second.heardAt > maxSilence)
            stopHearing(entry->second, now);
        entry = now - entry->second.heardAt > memoryOfPeers ? peers_.erase(entry) : std::next(entry);
    }
    if (heard_ == 1) {
        // Removes what rounding has left of the sums.
        for (auto& [customer, bucket] : buckets_)
            bucket.peerDemand = 0;
    }
}

LimitAdmission SharedRateLimit::admit(const CustomerId& customer, double cost, TimePoint now)
{
    Bucket* bucket = find(customer);
    if (!bucket || !isAmount(cost))
        return {};
    // After a pause of the process, the reports of peers are outdated before the first one is read.
    if (now - silenceCheckedAt_ > silenceCheckInterval) {
        dropSilentPeers(now);
        updateShare(now);
    }
    bucket->recentDemand = bucket->recentDemand * std::exp(-secondsOf(now - bucket->demandAt) / demandSeconds)
        + std::min(cost, capacity(*bucket) + rate(*bucket) * secondsOf(options_.window));
    bucket->demandAt = now;
    bucket->usedAt = now;
    advance(*bucket, now);
    const double demand = totalDemand(*bucket, now);
    bucket->fraction = demand > 0 ? std::min(spendableRate(*bucket) / demand, 1.0) : 1;
    // A request that is larger than the burst can be admitted when the bucket is full.
    const double debt
        = std::max(lumpPart * tolerance(*bucket), std::min(cost, bucket->limit->burst)) + headroom(*bucket);
    const bool fits = bucket->level - cost >= -debt
        || (bucket->level >= capacity(*bucket)
            && cost <= bucket->limit->burst + bucket->limit->perSecond * secondsOf(options_.window));
    if (fits) {
        bucket->credit += bucket->fraction;
        if (bucket->fraction >= 1 || bucket->credit >= 1) {
            if (bucket->credit >= 1)
                bucket->credit -= 1;
            refill(*bucket, bucket->part, now);
            bucket->part.level -= cost;
            bucket->level -= cost;
            bucket->admitted += cost;
            bucket->isUsed = true;
            return {};
        }
    }
    const double missing = cost + std::max(-bucket->level, 0.0);
    const double share = std::max(std::min(rate(*bucket) / std::max(demand, negligibleDemand), 1.0), 1e-6);
    const double seconds = std::clamp(missing / rate(*bucket) / share, minRetrySeconds, maxRetrySeconds);
    return {false, std::chrono::duration_cast<Duration>(std::chrono::duration<double>(seconds))};
}

void SharedRateLimit::giveBack(const CustomerId& customer, double cost, TimePoint now)
{
    Bucket* bucket = find(customer);
    if (!bucket || !isAmount(cost))
        return;
    advance(*bucket, now);
    // A limit may have been replaced by one of another unit since the request was admitted.
    const double returned = std::min(cost, bucket->admitted);
    bucket->admitted -= returned;
    // The caller will ask again.
    bucket->recentDemand = std::max(bucket->recentDemand - returned, 0.0);
    bucket->part.level += returned;
    bucket->level = std::min(bucket->level + returned, capacity(*bucket));
}

std::vector<CustomerUse> SharedRateLimit::report(TimePoint now)
{
    std::vector<CustomerUse> uses;
    if (!isActive_)
        return uses;
    dropSilentPeers(now);
    updateShare(now);
    for (auto& [customer, bucket] : buckets_) {
        if (!bucket.limit)
            continue;
        advance(bucket, now);
        const double demand = ownDemand(bucket, now);
        if (bucket.isUsed || demand > negligibleDemand)
            uses.push_back({customer, bucket.admitted, demand > negligibleDemand ? demand : 0});
    }
    return uses;
}

void SharedRateLimit::recordPeer(const InstanceId& peer, const std::vector<CustomerUse>& reported, TimePoint now)
{
    if (!isActive_)
        return;
    const auto [entry, isNew] = peers_.try_emplace(peer);
    Peer& known = entry->second;
    const TimePoint before = known.heardAt;
    known.heardAt = now;
    if (!std::exchange(known.isHeard, true)) {
        ++heard_;
        updateShare(now);
    }
    // What was extrapolated is replaced by the reported use below.
    endExtrapolation(known, now);
    for (const CustomerUse& report : reported) {
        Bucket* bucket = find(report.customer);
        if (!bucket || !isAmount(report.admitted) || !isAmount(report.demand))
            continue;
        advance(*bucket, now);
        const auto [used, isFirst] = known.uses.try_emplace(report.customer);
        PeerUse& use = used->second;
        // Customers that a peer has used nothing of are not listed, so a new entry of a known peer counts from zero.
        if (isFirst && (isNew || before < bucket->createdAt))
            use.admitted = report.admitted;
        bucket->level
            = std::min(bucket->level + use.extrapolated - (report.admitted - use.admitted), capacity(*bucket));
        refill(*bucket, use.part, now);
        use.part.level -= report.admitted - use.admitted;
        use.admitted = report.admitted;
        use.demand = report.demand;
        use.reportedAt = bucket->fractionSeconds;
        use.extrapolated = 0;
        bucket->peerDemand += report.demand;
    }
}

void SharedRateLimit::forgetPeer(const InstanceId& peer, TimePoint now)
{
    const auto entry = peers_.find(peer);
    if (entry == peers_.end())
        return;
    stopHearing(entry->second, now);
    updateShare(now);
}

std::optional<LimitState> SharedRateLimit::state(const CustomerId& customer, TimePoint now)
{
    Bucket* bucket = find(customer);
    if (!bucket)
        return std::nullopt;
    advance(*bucket, now);
    return LimitState{bucket->fraction, bucket->level, totalDemand(*bucket, now), share_};
}

} // namespace lychee::fleet
