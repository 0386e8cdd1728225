// Connections to the store go silent. Later the holder of the placement lease is restarted, and the configuration
// changes.
#include "../common/Configuration.h"
#include "../common/Deployment.h"
#include "../common/SilencingProxy.h"
#include "../common/Worker.h"

#include <cstdio>
#include <cstdlib>

namespace {

using namespace review;

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitCouldNotRun = 2;

// `contactMs` and `configApplyMs` of cwmtaf-hire.
constexpr std::int64_t contactMs = 3000;
constexpr std::int64_t configApplyMs = 2000;

// The machines and zones of cwmtaf-hire.
constexpr std::array<int, 7> zoneOfFront{1, 1, 2, 2, 3, 3, 4};

// Traffic starts 10 s after the machines.
constexpr milliseconds lead{10000};
// Longer than `contactMs`, so that all machines are in touch again.
constexpr milliseconds silenceToStop{4000};
// From the stop of the holder to the change; another machine holds the lease by then.
constexpr milliseconds stopToChange{6000};
constexpr milliseconds observed{30000};

nlohmann::json configurationWith(int version, const std::string& service)
{
    return configuration(version,
        nlohmann::json::array({route({"/moved/", service, "idempotent", 4000, 300, 2, false})}),
        nlohmann::json::array({plainService("booking-old"), plainService("booking-new")}));
}

// The name of the machine that holds the placement lease. The row's value is a number, a space and the process's id,
// which begins with the name of its machine.
std::string leaseHolder(Store& store)
{
    const std::string value = store.get("placement", "owner");
    const std::size_t space = value.find(' ');
    return space == std::string::npos ? std::string() : value.substr(space + 1, value.find('~') - space - 1);
}

struct Sent {
    std::int64_t at = 0;
    std::string machine;
};

int play(const std::string& repository, const std::string& directory, const std::string& recordPath)
{
    const char* text = std::getenv("TROUBLE");
    const bool trouble = !text || std::atoi(text) != 0;
    Record record(recordPath);
    Store store;
    const std::uint16_t storePort = store.start();
    store.put("op", "config", configurationWith(1, "booking-old").dump());
    std::vector<std::unique_ptr<Worker>> workers;
    for (const char* service : {"booking-old", "booking-new"}) {
        for (int i = 1; i <= 4; ++i) {
            WorkerOptions options;
            options.name = std::string(service) + "-" + std::to_string(i);
            options.service = service;
            options.zone = "bay-" + std::to_string(i);
            options.slots = 6;
            workers.push_back(std::make_unique<Worker>(store, record, options));
            workers.back()->start();
        }
    }
    Deployment deployment(repository, directory, record);
    std::vector<std::unique_ptr<SilencingProxy>> proxies;
    for (std::size_t i = 0; i < zoneOfFront.size(); ++i) {
        proxies.push_back(std::make_unique<SilencingProxy>(storePort));
        const int zone = zoneOfFront[i];
        deployment.start(deployment.addFront(
            "front-" + std::to_string(i + 1), "bay-" + std::to_string(zone), zone, proxies.back()->port()));
    }
    if (!deployment.awaitReady(milliseconds(15000)))
        return exitCouldNotRun;
    std::this_thread::sleep_for(lead);

    std::mutex mutex;
    std::map<std::string, Sent> sent;
    std::atomic<bool> ending{false};
    std::vector<std::thread> callers;
    for (const auto& front : deployment.fronts()) {
        callers.emplace_back([&, front = front.get()] {
            for (int i = 0; !ending; ++i) {
                const std::string attempt = front->name + "-" + std::to_string(i);
                {
                    const std::lock_guard lock(mutex);
                    sent[attempt] = {record.now(), front->name};
                }
                const Answer answer = send(front->address, deployment.callerPort(), "GET", "/moved/x",
                    {{"Host", routeHost}, {"X-Attempt-Id", attempt}, {"X-Deadline-Ms", "4000"}}, "",
                    milliseconds(4000));
                const auto by = answer.headers.find("X-Run-By");
                record.line("answered attempt=" + attempt + " status=" + std::to_string(answer.status)
                    + " by=" + (by == answer.headers.end() ? "-" : by->second));
                std::this_thread::sleep_for(milliseconds(200));
            }
        });
    }
    std::this_thread::sleep_for(milliseconds(2000));
    std::int64_t silencedAt = record.now();
    if (trouble) {
        int count = 0;
        for (const auto& proxy : proxies)
            count += proxy->silenceOpenConnections();
        record.line("silence open_connections_to_the_store=" + std::to_string(count));
    }
    std::this_thread::sleep_for(silenceToStop);
    const std::string holder = leaseHolder(store);
    Front* restarted = nullptr;
    for (const auto& front : deployment.fronts()) {
        if (front->name == holder)
            restarted = front.get();
    }
    if (!restarted)
        return exitCouldNotRun;
    const auto stoppedAt = Clock::now();
    deployment.stop(*restarted);
    deployment.start(*restarted);
    std::this_thread::sleep_until(stoppedAt + stopToChange);
    record.line("lease holder_before=" + holder + " holder_now=" + leaseHolder(store));
    store.put("op", "config", configurationWith(2, "booking-new").dump());
    const std::int64_t acknowledgedAt = record.now();
    record.line("configuration version=2 acknowledged");
    std::this_thread::sleep_for(observed);
    ending = true;
    for (std::thread& thread : callers)
        thread.join();

    // The machines in touch: all but the one that was restarted, from `contactMs` after the silence on.
    int judged = 0;
    int stale = 0;
    std::int64_t lastStale = 0;
    std::set<std::string> staleMachines;
    std::ifstream file(recordPath);
    for (std::string line; std::getline(file, line);) {
        std::istringstream words(line);
        std::int64_t time = 0;
        std::string kind;
        std::string attempt;
        std::string worker;
        std::string service;
        words >> time >> kind >> attempt >> worker >> service;
        if (kind != "run")
            continue;
        const auto found = sent.find(attempt.substr(attempt.find('=') + 1));
        if (found == sent.end() || found->second.machine == restarted->name
            || found->second.at <= acknowledgedAt + configApplyMs || found->second.at <= silencedAt + contactMs)
            continue;
        ++judged;
        if (service != "service=booking-old")
            continue;
        ++stale;
        staleMachines.insert(found->second.machine);
        lastStale = std::max(lastStale, found->second.at - acknowledgedAt);
    }
    record.line("result judged=" + std::to_string(judged) + " run_by_the_old_service=" + std::to_string(stale)
        + " machines=" + std::to_string(staleMachines.size())
        + " last_sent_ms_after_the_acknowledgement=" + std::to_string(lastStale));
    if (judged == 0)
        return exitCouldNotRun;
    return stale > 0 ? exitBroken : exitHeld;
}

} // namespace

int main(int argc, char** argv)
{
    if (argc != 4) {
        std::fprintf(stderr, "usage: case REPOSITORY DIRECTORY RECORD\n");
        return exitCouldNotRun;
    }
    int code = exitCouldNotRun;
    try {
        code = play(argv[1], argv[2], argv[3]);
    } catch (const std::exception& exception) {
        std::fprintf(stderr, "%s\n", exception.what());
    }
    // Threads of closed connections may still run.
    std::fflush(nullptr);
    std::_Exit(code);
}
