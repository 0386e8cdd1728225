#include "tests/soak/Promises.h"

#include <algorithm>

namespace lychee::test {

namespace {

// Bounds of the users' pages and of the deployment's settings.
constexpr Millis inTouchAfter{3000};
constexpr Millis configurationBound{2000};
constexpr Millis downgradeSlack{250};
constexpr Millis routeTimeout{5000};
constexpr Millis lateBy{500};
constexpr Millis lease{500};
constexpr Millis drainTime{2000};
// A worker has read a request and written it down within this time.
constexpr Millis arrivalTime{100};
// A worker that asks for a pause gets this many requests at most, from so long after its answer.
constexpr std::ptrdiff_t requestsInPause = 2;
constexpr Millis pauseSlack{500};
// A request that meets the close of its connection and was not passed on ends within this time.
constexpr Millis lossSlack{200};
constexpr Millis thawSlack{300};
// Workers on which one attempt may run.
constexpr int attempts = 2;
// Late ends are a break from this number on, when they are also more than a quarter.
constexpr std::size_t lateEnds = 8;

bool isRefusal(int status) { return status == 408 || status == 421 || status == 429 || status == 503; }

} // namespace

std::vector<std::string> Promises::violations()
{
    checkRuns();
    checkAnswers();
    checkTakeUps();
    checkTimes();
    checkStops();
    checkLosses();
    checkIdleConnections();
    checkConfiguration();
    checkIdentity();
    checkHolders();
    checkLeavingWorkers();
    checkRefusingWorkers();
    expect(run_.overcommits == 0, fmt::format("{} loads beyond the places of a worker", run_.overcommits));
    for (const std::string& text : run_.badEnds)
        expect(false, text);
    for (const std::string& text : run_.notRecovered)
        expect(false, text);
    return std::move(violations_);
}

// A stream goes on only at the software version that began it.
void Promises::checkTakeUps()
{
    const auto versionOf = [this](const std::string& worker) {
        const auto found = run_.softwareVersions.find(worker);
        return found == run_.softwareVersions.end() ? std::string() : found->second;
    };
    for (const TakeUpRecord& record : run_.takeUps) {
        if (record.status != 200)
            continue;
        expect(record.wrong.empty(), "content: " + record.text());
        expect(versionOf(record.begunBy) == versionOf(record.resumedBy), "joined versions: " + record.text());
    }
}

void Promises::expect(bool holds, std::string_view text)
{
    ++checked_;
    if (!holds)
        violations_.emplace_back(text);
}

void Promises::expect(bool holds, std::string_view text, const CallRecord& call)
{
    ++checked_;
    if (!holds)
        violations_.push_back(fmt::format("{}: {}", text, describe(call)));
}

std::string Promises::describe(const CallRecord& call) const
{
    return fmt::format("{} runs {}", call.text(), runsOf(call));
}

int Promises::runsOf(const CallRecord& call) const
{
    const auto found = run_.runs.find(call.attempt);
    return found == run_.runs.end() ? 0 : found->second;
}

template <typename Predicate> bool Promises::disturbed(Millis begin, Millis end, Millis after, Predicate matters) const
{
    return std::any_of(run_.troubles.begin(), run_.troubles.end(), [&](const Trouble& trouble) {
        return matters(trouble) && trouble.begin <= end && trouble.end + after >= begin;
    });
}

bool Promises::isCalm(Millis begin, Millis end) const
{
    return !disturbed(begin, end, inTouchAfter, [](const Trouble& trouble) { return !isHarmless(trouble.kind); });
}

bool Promises::isInstanceDisturbed(std::size_t instance, Millis begin, Millis end, Millis after) const
{
    return disturbed(begin, end, after, [&](const Trouble& trouble) {
        const bool ofInstance = trouble.kind == TroubleKind::InstanceKilled
            || trouble.kind == TroubleKind::InstanceStopped || trouble.kind == TroubleKind::InstanceFrozen
            || trouble.kind == TroubleKind::StoreLink;
        return ofInstance && trouble.subject == instance;
    });
}

// At most once, refusals that are true, and no more workers than allowed.
void Promises::checkRuns()
{
    for (const CallRecord& call : run_.calls) {
        const int runs = runsOf(call);
        expect(!call.isUnsafe() || runs <= 1, "ran more than once", call);
        expect(runs <= attempts, "ran on more workers than allowed", call);
        expect(!isRefusal(call.status) || call.sealed || runs == 0, "refused and has run", call);
    }
}

void Promises::checkAnswers()
{
    for (const CallRecord& call : run_.calls) {
        const int runs = runsOf(call);
        expect(call.wrong.empty(), call.wrong + "", call);
        expect(!call.isSuccess() || call.sealed, "success without a worker's proof", call);
        expect(!call.isSuccess() || runs > 0, "success without a run", call);
        const bool known = call.status != 400 && call.status != 404;
        expect(known || call.path.starts_with("/extra"), "proper request denied", call);
    }
}

void Promises::checkTimes()
{
    std::size_t reached = 0;
    std::vector<std::string> late;
    for (const CallRecord& call : run_.calls) {
        const Millis took = call.endedAt - call.sentAt;
        if (took < routeTimeout || call.readsSlowly
            || isInstanceDisturbed(call.instance, call.sentAt, call.endedAt, inTouchAfter))
            continue;
        ++reached;
        if (took > routeTimeout + lateBy)
            late.push_back(describe(call));
    }
    expect(late.size() < lateEnds || late.size() * 4 <= reached,
        fmt::format("{} of {} requests held beyond the time of their route, first {}", late.size(), reached,
            late.empty() ? "" : late.front()));
}

// A planned stop without other troubles loses no request that was passed on.
void Promises::checkStops()
{
    for (const Trouble& stop : run_.troubles) {
        if (stop.kind != TroubleKind::InstanceStopped)
            continue;
        for (const CallRecord& call : run_.calls) {
            if (call.instance != stop.subject || call.endedAt < stop.begin || call.sentAt > stop.end)
                continue;
            const Millis begin = std::min(call.sentAt, stop.begin);
            const bool alone = !disturbed(begin, call.endedAt, inTouchAfter,
                [&](const Trouble& trouble) { return &trouble != &stop && !changesConfiguration(trouble.kind); });
            const int runs = runsOf(call);
            expect(!alone || call.complete || call.readsSlowly || runs == 0, "lost at a planned stop", call);
        }
    }
}

// Around planned work and pauses of sound workers, each request gets a complete answer before its time is over.
void Promises::checkLosses()
{
    for (const CallRecord& call : run_.calls) {
        const Millis took = call.endedAt - call.sentAt;
        if (took >= routeTimeout || call.readsSlowly || !isCalm(call.sentAt, call.endedAt))
            continue;
        const bool crossedClose = runsOf(call) == 0 && took <= lossSlack;
        expect(call.complete || crossedClose, "lost without an unplanned trouble", call);
    }
}

// An instance that is not stopped keeps idle connections for as long as the limit allows.
void Promises::checkIdleConnections()
{
    for (const CallRecord& call : run_.calls) {
        if (!call.idleSince || !isCalm(*call.idleSince, call.sentAt))
            continue;
        const bool stopped = disturbed(*call.idleSince, call.sentAt, Millis(0), [&](const Trouble& trouble) {
            return trouble.kind == TroubleKind::InstanceStopped && trouble.subject == call.instance;
        });
        expect(!call.closedEarly || stopped, "idle connection closed before its limit", call);
    }
}

bool Promises::isStoreDisturbed(Millis begin, Millis end) const
{
    return disturbed(begin, end, inTouchAfter, [](const Trouble& trouble) {
        return trouble.kind == TroubleKind::StoreFrozen || trouble.kind == TroubleKind::StoreSlow
            || trouble.kind == TroubleKind::StoreAnswersLost || trouble.kind == TroubleKind::StoreRefuses;
    });
}

bool Promises::hasConfigurationSince(std::size_t instance, Millis since, Millis at) const
{
    const Millis begin = at - configurationBound;
    return begin > since && !isInstanceDisturbed(instance, begin, at, inTouchAfter) && !isStoreDisturbed(begin, at);
}

// No request without a valid key runs, and the worker is told whose key it was.
void Promises::checkIdentity()
{
    ++checked_;
    for (const IdentityViolation& violation : run_.identityViolations)
        expect(false, fmt::format("a request to {} {}", violation.worker, violation.text));
    if (!run_.hasCustomers)
        return;
    std::map<std::string, const KeyRecord*> keys;
    for (const KeyRecord& key : run_.keys)
        keys[key.key] = &key;
    for (const CallRecord& call : run_.calls) {
        if (call.key.isInvalid())
            checkInvalidKey(call);
        else if (call.key.use == KeyUse::Held)
            checkHeldKey(call, *keys.at(call.key.key));
        else
            expect(call.status != 401, "denied on a route that needs no key", call);
    }
}

void Promises::checkInvalidKey(const CallRecord& call)
{
    expect(runsOf(call) == 0, "ran without a valid key", call);
    // 404 where the route is not known yet, and 503 where no configuration is.
    const bool unknown = call.status == 404 && call.path.starts_with("/extra");
    const bool restarted
        = call.status == 503 && isInstanceDisturbed(call.instance, call.sentAt, call.endedAt, inTouchAfter);
    expect(!call.complete || call.status == 401 || unknown || restarted, "answered otherwise than by 401", call);
}

void Promises::checkHeldKey(const CallRecord& call, const KeyRecord& key)
{
    const bool isNew = key.addedAt != Millis(0);
    const bool inForce = !isNew || (key.addedAt && hasConfigurationSince(call.instance, *key.addedAt, call.sentAt));
    const bool kept = !key.removalBeganAt || call.endedAt < *key.removalBeganAt;
    expect(call.status != 401 || !inForce || !kept, "a valid key was refused", call);
    if (!key.removedAt)
        return;
    const bool strict = run_.strictRevocation && call.sentAt > *key.removedAt + *run_.strictRevocation;
    const bool inTouch = hasConfigurationSince(call.instance, *key.removedAt, call.sentAt);
    expect((!strict && !inTouch) || runsOf(call) == 0, "ran with a key that was taken away", call);
    expect(!inTouch || !call.complete || call.status == 401 || call.status == 404,
        "a key that was taken away was not refused", call);
}

void Promises::checkConfiguration()
{
    for (const ConfigurationRecord& configuration : run_.configurations) {
        // Since when each instance has shown that it knows the path.
        std::map<std::size_t, Millis> shown;
        for (const CallRecord& call : run_.calls) {
            if (call.path == configuration.path && call.isSuccess()) {
                const auto entry = shown.try_emplace(call.instance, call.endedAt).first;
                entry->second = std::min(entry->second, call.endedAt);
            }
        }
        for (const CallRecord& call : run_.calls) {
            if (call.path != configuration.path)
                continue;
            const Millis due = configuration.acknowledgedAt + configurationBound;
            const bool bound = call.sentAt > due
                && !isInstanceDisturbed(call.instance, configuration.acknowledgedAt, call.sentAt, inTouchAfter)
                && !isStoreDisturbed(configuration.acknowledgedAt, call.sentAt);
            expect(!bound || call.status != 404, "configuration not in force in time", call);
            const auto known = shown.find(call.instance);
            const bool restarted = disturbed(Millis(0), call.endedAt, Millis(0), [&](const Trouble& trouble) {
                return trouble.subject == call.instance
                    && (trouble.kind == TroubleKind::InstanceKilled || trouble.kind == TroubleKind::InstanceStopped);
            });
            const bool regressed = known != shown.end() && !restarted && call.sentAt > known->second + downgradeSlack
                && call.status == 404;
            expect(!regressed, "went back to an older configuration", call);
        }
    }
}

// Two instances do not take turns in giving orders to one worker within a lease.
void Promises::checkHolders()
{
    std::map<std::string, OrderRecord> last;
    for (const OrderRecord& order : run_.orders) {
        const auto previous = last.find(order.worker);
        if (previous != last.end() && previous->second.holder != order.holder) {
            const bool healed = disturbed(previous->second.at, order.at, thawSlack, [](const Trouble& trouble) {
                return trouble.kind == TroubleKind::InstanceFrozen || trouble.kind == TroubleKind::WorkerFrozen
                    || trouble.kind == TroubleKind::WorkerLink;
            });
            expect(healed || order.at - previous->second.at >= lease,
                fmt::format("{} and {} gave orders to {} within {} ms at {}", previous->second.holder, order.holder,
                    order.worker, (order.at - previous->second.at).count(), order.at.count()));
        }
        last[order.worker] = order;
    }
}

std::vector<std::pair<ArrivalRecord, CallRecord>> Promises::arrivalsAt(std::size_t worker) const
{
    std::map<std::string, const CallRecord*> calls;
    for (const CallRecord& call : run_.calls)
        calls[call.attempt] = &call;
    std::vector<std::pair<ArrivalRecord, CallRecord>> result;
    for (const ArrivalRecord& arrival : run_.arrivals) {
        const auto call = calls.find(arrival.attempt);
        if (arrival.worker == run_.workers[worker] && call != calls.end())
            result.emplace_back(arrival, *call->second);
    }
    return result;
}

bool Promises::isRestartedOrFrozen(std::size_t instance, Millis begin, Millis end) const
{
    return std::any_of(run_.troubles.begin(), run_.troubles.end(), [&](const Trouble& trouble) {
        const bool ended = trouble.kind == TroubleKind::InstanceKilled || trouble.kind == TroubleKind::InstanceStopped;
        const bool restarted = ended && trouble.end >= begin && trouble.end <= end;
        const bool frozen = trouble.kind == TroubleKind::InstanceFrozen && trouble.begin <= end && trouble.end >= begin;
        return trouble.subject == instance && (restarted || frozen);
    });
}

// An instance that has passed on an answer of a worker that leaves sends it nothing more after the drain time.
void Promises::checkLeavingWorkers()
{
    for (const Trouble& trouble : run_.troubles) {
        if (trouble.kind != TroubleKind::WorkerLeaving)
            continue;
        const auto arrivals = arrivalsAt(trouble.subject);
        // When each instance had passed on such an answer.
        std::map<std::size_t, Millis> told;
        for (const auto& [arrival, call] : arrivals) {
            const bool leaving = arrival.at > trouble.inForceFrom + arrivalTime && arrival.at < trouble.inForceUntil;
            if (!leaving || !call.complete || !call.sealed || runsOf(call) != 1)
                continue;
            const auto entry = told.try_emplace(call.instance, call.endedAt).first;
            entry->second = std::min(entry->second, call.endedAt);
        }
        for (const auto& [arrival, call] : arrivals) {
            const auto since = told.find(call.instance);
            if (since == told.end() || call.sentAt <= since->second + drainTime || arrival.at >= trouble.inForceUntil)
                continue;
            expect(isRestartedOrFrozen(call.instance, since->second, arrival.at),
                "sent to a worker that leaves, after the drain time", call);
        }
    }
}

bool Promises::isPauseExcused(std::size_t worker, std::size_t instance, Millis begin, Millis end) const
{
    const bool workerChanged = disturbed(begin, end, Millis(0), [&](const Trouble& trouble) {
        return trouble.subject == worker
            && (trouble.kind == TroubleKind::WorkerKilled || trouble.kind == TroubleKind::WorkerLeaving
                || trouble.kind == TroubleKind::WorkerFrozen || trouble.freezesWorker());
    });
    const bool cut = disturbed(begin, end, inTouchAfter,
        [&](const Trouble& trouble) { return trouble.kind == TroubleKind::WorkerLink && trouble.subject == worker; });
    return workerChanged || cut || isRestartedOrFrozen(instance, begin, end);
}

// A worker that has turned a request away with Retry-After is left alone for that time.
void Promises::checkRefusingWorkers()
{
    for (std::size_t worker = 0; worker < run_.workers.size(); ++worker) {
        const auto arrivals = arrivalsAt(worker);
        for (const auto& [refusal, refused] : arrivals) {
            if (refusal.pause == Millis(0))
                continue;
            const std::size_t instance = refused.instance;
            const Millis begin = refusal.at + pauseSlack;
            const Millis end = refusal.at + refusal.pause;
            const auto count = std::count_if(arrivals.begin(), arrivals.end(), [&](const auto& other) {
                return other.second.instance == instance && other.first.at > begin && other.first.at < end;
            });
            expect(count <= requestsInPause || isPauseExcused(worker, instance, refusal.at, end),
                fmt::format("{} requests to {} within its Retry-After", count, refusal.worker), refused);
        }
    }
}

} // namespace lychee::test
