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

// Between the attempt id and the name of the customer, by which workers check the name that they get.
constexpr char customerMark = '@';

// Callers in configurations with customers use the exempt route with one call in so many.
constexpr std::uint64_t exemptDraw = 12;

// The events of a slow caller are longer together than what sockets hold. It pauses before each one for up to
// the longest time, and may stall once for longer than the whole time of the request.
constexpr std::size_t slowEventBytes = 200000;
constexpr std::uint64_t longestReadPauseMillis = 400;
constexpr std::uint64_t stalledDraw = 4;
constexpr Millis stalledPause{6000};

void readEvents(TestEventStream& stream, CallRecord& record, const CallInput& input)
{
    std::string body;
    if (input.stalls)
        std::this_thread::sleep_for(stalledPause);
    while (true) {
        std::this_thread::sleep_for(input.readPause);
        const auto event = stream.next();
        if (!event.ok())
            break;
        if (!event->has_value()) {
            record.complete = true;
            break;
        }
        std::string data = (*event)->data;
        if (record.readsSlowly)
            data.resize(data.size() - std::min(data.size(), slowEventBytes));
        body += fmt::format("id: {}\ndata: {}\n\n", (*event)->id, data);
    }
    const std::string expected = GatewayDeployment::expectedEvents();
    if (!expected.starts_with(body))
        record.wrong = "events are lost, repeated or changed";
    else if (record.complete && body != expected)
        record.wrong = "a stream ends as complete before its last event";
}

void callStream(TestHttpClient& client, const HttpRequest& request, CallRecord& record, const CallInput& input)
{
    const auto stream = client.open(request);
    if (!stream.ok())
        return;
    record.status = (*stream)->status();
    record.sealed = (*stream)->headers().find("X-Response-Seal").has_value();
    if (record.isSuccess())
        readEvents(**stream, record, input);
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

CallRecord call(
    const GatewayDeployment& deployment, const RunClock& clock, const CallInput& input, TestHttpClient& client)
{
    CallRecord record;
    record.attempt = input.attempt + customerMark + input.key.customer;
    record.path = input.path;
    record.instance = input.instance;
    record.key = input.key;
    record.readsSlowly = input.readPause > Millis(0);
    const bool rare = std::hash<std::string>()(input.attempt) % rareDraw == 0;
    HttpRequest request = GatewayDeployment::request(input.path, record.attempt, rare ? "m2" : "m0");
    request.body = "body of " + record.attempt;
    if (record.readsSlowly)
        request.target += fmt::format("?pad={}", slowEventBytes);
    // A caller cannot name its customer itself.
    request.headers.set("X-Tenant", "somebody");
    if (input.key.use == KeyUse::Empty || !input.key.key.empty())
        request.headers.add(input.key.header, input.key.key);
    if (input.key.use == KeyUse::Duplicated)
        request.headers.add("X-Credential", input.key.key);
    record.sentAt = clock.now();
    if (record.isStream()) {
        TestHttpClient own(deployment.callersOf(input.instance), patience);
        callStream(own, request, record, input);
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

Callers::Callers(const GatewayDeployment& deployment, const RunClock& clock, const KeyRing& keys, std::uint64_t seed,
    std::size_t count, std::size_t slow)
    : deployment_(deployment)
    , clock_(clock)
    , keys_(keys)
{
    for (std::size_t i = 0; i < count; ++i)
        threads_.emplace_back([this, seed, i] { run(seed, i); });
    for (std::size_t i = 0; i < slow; ++i)
        threads_.emplace_back([this, seed, index = count + i] { runSlowly(seed, index); });
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
    // Keys come from a stream of their own, so that the other draws of a seed stay the same.
    std::mt19937_64 keyRandom(~(seed * 1000 + index));
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
        std::string path = pickPath(random());
        const bool isExempt = keys_.hasCustomers() && keyRandom() % exemptDraw == 0;
        if (isExempt)
            path = "/open/x";
        CallRecord record
            = call(deployment_, clock_, {instance, path, attempt, keys_.draw(keyRandom, isExempt)}, client);
        if (!record.isStream())
            idleSince = record.endedAt;
        record.idleSince = idle.idleSince;
        record.closedEarly = idle.closedEarly;
        add(std::move(record));
        std::this_thread::sleep_for(Millis(random() % longestPauseMillis));
    }
}

void Callers::runSlowly(std::uint64_t seed, std::size_t index)
{
    std::mt19937_64 random(seed * 1000 + index);
    for (int number = 0; !stopping_; ++number) {
        const std::size_t instance = random() % deployment_.instanceCount();
        TestHttpClient client(deployment_.callersOf(instance), patience);
        const CallInput input{instance, "/stream/x", fmt::format("s{}-{}", index, number), keys_.lastingUse(),
            Millis(1 + random() % longestReadPauseMillis), random() % stalledDraw == 0};
        add(call(deployment_, clock_, input, client));
        std::this_thread::sleep_for(Millis(random() % longestPauseMillis));
    }
}

void Callers::add(CallRecord record)
{
    const std::lock_guard lock(mutex_);
    records_.push_back(std::move(record));
}

} // namespace lychee::test
