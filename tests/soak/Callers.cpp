#include "tests/soak/Callers.h"

#include <random>

namespace lychee::test {

namespace {

// Callers wait longer than their requests may last, so that a late end is seen.
constexpr Millis patience{9000};
constexpr int longestPauseMillis = 60;

// A caller changes its instance with one call in so many, and asks for a model that has to be loaded as often.
constexpr std::uint64_t rareDraw = 12;

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

void Callers::run(std::uint64_t seed, std::size_t index)
{
    std::mt19937_64 random(seed * 1000 + index);
    std::size_t instance = index % deployment_.instanceCount();
    TestHttpClient client(deployment_.callersOf(instance), patience);
    for (int number = 0; !stopping_; ++number) {
        if (random() % rareDraw == 0) {
            instance = random() % deployment_.instanceCount();
            client = TestHttpClient(deployment_.callersOf(instance), patience);
        }
        const std::string attempt = fmt::format("c{}-{}", index, number);
        CallRecord record = call(deployment_, clock_, instance, pickPath(random()), attempt, client);
        {
            const std::lock_guard lock(mutex_);
            records_.push_back(std::move(record));
        }
        std::this_thread::sleep_for(Millis(random() % longestPauseMillis));
    }
}

} // namespace lychee::test
