#include "tests/soak/Callers.h"

#include <random>

namespace lychee::test {

namespace {

// Callers wait longer than their requests may last, so that a late end is seen.
constexpr Millis patience{9000};
constexpr int longestPauseMillis = 60;

// A caller changes its instance with one call in so many, and asks for a model that has to be loaded as often.
constexpr std::uint64_t rareDraw = 12;

// A caller leaves its connection idle before one call in so many, for a share of the limit in thousandths.
constexpr std::uint64_t idleDraw = 16;
constexpr std::int64_t shortestIdleShare = 300;
constexpr std::int64_t longestIdleShare = 800;
constexpr std::int64_t wholeShare = 1000;
constexpr auto idleShares = static_cast<std::uint64_t>(longestIdleShare - shortestIdleShare);
// Callers end soon after the run, whatever the limit.
constexpr Millis longestIdle{2400};

// Limit of configurations that set none, and the time in which instances apply a new one.
constexpr Millis defaultIdleLimit{15000};
constexpr Millis configurationBound{2000};

void readEvents(TestEventStream& stream, CallRecord& record)
{
    std::string body;
    while (true) {
        const auto event = stream.next();
        if (!event.ok())
            break;
        if (!event->has_value()) {
            record.complete = true;
            break;
        }
        body += fmt::format("id: {}\ndata: {}\n\n", (*event)->id, (*event)->data);
    }
    const std::string expected = GatewayDeployment::expectedEvents();
    if (!expected.starts_with(body))
        record.wrong = "events are lost, repeated or changed";
    else if (record.complete && body != expected)
        record.wrong = "a stream ends as complete before its last event";
}

void callStream(TestHttpClient& client, const HttpRequest& request, CallRecord& record)
{
    const auto stream = client.open(request);
    if (!stream.ok())
        return;
    record.status = (*stream)->status();
    record.sealed = (*stream)->headers().find("X-Response-Seal").has_value();
    if (record.isSuccess())
        readEvents(**stream, record);
    else
        record.complete = (*stream)->readBody().ok();
}

void callPlain(TestHttpClient& client, const HttpRequest& request, CallRecord& record)
{
    const auto answer = client.send(request);
    if (!answer.ok())
        return;
    record.status = answer->status;
    record.complete = true;
    record.sealed = answer->headers.find("X-Response-Seal").has_value();
    if (!record.isSuccess())
        return;
    const auto body = nlohmann::json::parse(answer->body, nullptr, false);
    if (answer->headers.find("X-Attempt-Id") != record.attempt)
        record.wrong = "the answer belongs to another request";
    else if (!body.is_object() || body.value("body", "") != request.body || body.value("target", "") != request.target)
        record.wrong = "the body is not what the worker sent, or the request was changed";
}

} // namespace

CallRecord call(const GatewayDeployment& deployment, const RunClock& clock, std::size_t instance,
    const std::string& path, const std::string& attempt, TestHttpClient& client)
{
    CallRecord record;
    record.attempt = attempt;
    record.path = path;
    record.instance = instance;
    const bool rare = std::hash<std::string>()(attempt) % rareDraw == 0;
    HttpRequest request = GatewayDeployment::request(path, attempt, rare ? "m2" : "m0");
    request.body = "body of " + attempt;
    record.sentAt = clock.now();
    if (record.isStream()) {
        TestHttpClient own(deployment.callersOf(instance), patience);
        callStream(own, request, record);
    } else {
        callPlain(client, request, record);
    }
    record.endedAt = clock.now();
    return record;
}

void IdleLimits::add(Millis limit)
{
    const std::lock_guard lock(mutex_);
    entries_.push_back({limit, Millis::max()});
}

void IdleLimits::acknowledge(Millis now)
{
    const std::lock_guard lock(mutex_);
    for (std::size_t i = 0; i + 1 < entries_.size(); ++i)
        entries_[i].until = std::min(entries_[i].until, now + configurationBound);
}

Millis IdleLimits::lowestSince(Millis begin)
{
    const std::lock_guard lock(mutex_);
    Millis lowest = defaultIdleLimit;
    for (const Entry& entry : entries_) {
        if (entry.until >= begin)
            lowest = std::min(lowest, entry.limit);
    }
    return lowest;
}

Callers::Callers(const GatewayDeployment& deployment, const RunClock& clock, std::uint64_t seed, std::size_t count)
    : deployment_(deployment)
    , clock_(clock)
{
    for (std::size_t i = 0; i < count; ++i)
        threads_.emplace_back([this, seed, i] { run(seed, i); });
}

void Callers::addPath(const std::string& path)
{
    const std::lock_guard lock(mutex_);
    paths_.push_back(path);
}

std::vector<CallRecord> Callers::stop()
{
    stopping_ = true;
    for (std::thread& thread : threads_) {
        if (thread.joinable())
            thread.join();
    }
    return std::move(records_);
}

std::string Callers::pickPath(std::uint64_t draw)
{
    const std::lock_guard lock(mutex_);
    return paths_[draw % paths_.size()];
}

void Callers::stayIdle(std::int64_t share)
{
    std::this_thread::sleep_for(std::min(idleLimits_.lowestSince(clock_.now()) * share / wholeShare, longestIdle));
}

void Callers::checkIdle(TestHttpClient& client, Millis idleSince, CallRecord& record)
{
    if (!client.isOpen())
        return;
    const bool closed = client.isClosedByPeer();
    const bool allowed
        = (clock_.now() - idleSince) * wholeShare <= idleLimits_.lowestSince(idleSince) * longestIdleShare;
    record.idleSince = idleSince;
    record.closedEarly = allowed && closed;
    if (!allowed || closed)
        client.close();
}

void Callers::run(std::uint64_t seed, std::size_t index)
{
    std::mt19937_64 random(seed * 1000 + index);
    std::size_t instance = index % deployment_.instanceCount();
    TestHttpClient client(deployment_.callersOf(instance), patience);
    // Streams use connections of their own, and leave this one idle.
    Millis idleSince = clock_.now();
    for (int number = 0; !stopping_; ++number) {
        if (random() % rareDraw == 0) {
            instance = random() % deployment_.instanceCount();
            client = TestHttpClient(deployment_.callersOf(instance), patience);
        }
        if (random() % idleDraw == 0)
            stayIdle(shortestIdleShare + static_cast<std::int64_t>(random() % idleShares));
        CallRecord idle;
        checkIdle(client, idleSince, idle);
        const std::string attempt = fmt::format("c{}-{}", index, number);
        CallRecord record = call(deployment_, clock_, instance, pickPath(random()), attempt, client);
        if (!record.isStream())
            idleSince = record.endedAt;
        record.idleSince = idle.idleSince;
        record.closedEarly = idle.closedEarly;
        {
            const std::lock_guard lock(mutex_);
            records_.push_back(std::move(record));
        }
        std::this_thread::sleep_for(Millis(random() % longestPauseMillis));
    }
}

} // namespace lychee::test
