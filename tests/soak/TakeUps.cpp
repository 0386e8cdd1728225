#include "tests/soak/TakeUps.h"

#include <random>

namespace lychee::test {

namespace {

constexpr Millis patience{6000};
constexpr std::uint64_t longestPauseMillis = 400;
// A caller reads up to so many events before it leaves.
constexpr std::uint64_t mostEvents = 12;

std::string workerOf(const HttpHeaders& headers)
{
    const std::string seal(headers.find("X-Response-Seal").value_or(""));
    return seal.substr(0, seal.find('.'));
}

} // namespace

TakeUps::TakeUps(const GatewayDeployment& deployment, const RunClock& clock, const KeyRing& keys, std::uint64_t seed,
    std::size_t count)
    : deployment_(deployment)
    , clock_(clock)
    , keys_(keys)
{
    for (std::size_t i = 0; i < count; ++i)
        threads_.emplace_back([this, seed, i] { run(seed, i); });
}

std::vector<TakeUpRecord> TakeUps::stop()
{
    stopping_ = true;
    for (std::thread& thread : threads_) {
        if (thread.joinable())
            thread.join();
    }
    return std::move(records_);
}

void TakeUps::run(std::uint64_t seed, std::size_t index)
{
    std::mt19937_64 random(seed * 1000 + index);
    for (int number = 0; !stopping_; ++number) {
        const std::size_t first = random() % deployment_.instanceCount();
        const std::size_t second = random() % deployment_.instanceCount();
        const int events = static_cast<int>(1 + random() % mostEvents);
        const Millis pause(random() % longestPauseMillis);
        auto record = begin(first, fmt::format("t{}-{}", index, number), events);
        std::this_thread::sleep_for(pause);
        if (!record)
            continue;
        record->resumingAttempt = fmt::format("u{}-{}", index, number);
        resume(second, *record, events);
        const std::lock_guard lock(mutex_);
        records_.push_back(*std::move(record));
    }
}

HttpRequest TakeUps::request(const std::string& attempt) const
{
    HttpRequest request = GatewayDeployment::request("/stream/x", attempt);
    const UsedKey key = keys_.lastingUse();
    if (!key.key.empty())
        request.headers.add(key.header, key.key);
    return request;
}

std::optional<TakeUpRecord> TakeUps::begin(std::size_t instance, const std::string& attempt, int events)
{
    TakeUpRecord record;
    record.attempt = attempt;
    record.begunAt = clock_.now();
    TestHttpClient client(deployment_.callersOf(instance), patience);
    const auto stream = client.open(request(attempt));
    if (!stream.ok() || (*stream)->status() != 200)
        return std::nullopt;
    record.begunBy = workerOf((*stream)->headers());
    for (int i = 0; i < events; ++i) {
        const auto event = (*stream)->next();
        if (!event.ok() || !event->has_value())
            return std::nullopt;
    }
    return record;
}

void TakeUps::resume(std::size_t instance, TakeUpRecord& record, int events)
{
    record.resumedAt = clock_.now();
    HttpRequest resuming = request(record.resumingAttempt);
    resuming.headers.set("Last-Event-Id", std::to_string(events));
    resuming.headers.set("Resumes", record.attempt);
    TestHttpClient client(deployment_.callersOf(instance), patience);
    const auto answer = client.send(resuming);
    if (!answer.ok())
        return;
    record.status = answer->status;
    record.resumedBy = workerOf(answer->headers);
    if (record.status != 200)
        return;
    const std::string rest = GatewayDeployment::expectedEvents();
    const std::size_t begin = rest.find(fmt::format("id: {}\n", events + 1));
    if (answer->body != rest.substr(begin))
        record.wrong = "the rest of the stream is not whole";
}

} // namespace lychee::test
