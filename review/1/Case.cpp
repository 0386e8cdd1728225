// A request that ends each worker that runs it, after the first events of its stream, and that comes again.
#include "../common/Configuration.h"
#include "../common/Deployment.h"
#include "../common/Worker.h"

#include <cstdio>
#include <cstdlib>

namespace {

using namespace review;

constexpr int exitHeld = 0;
constexpr int exitBroken = 1;
constexpr int exitCouldNotRun = 2;

constexpr const char* model = "m0";
constexpr const char* crashingBody = "a request that ends each worker that runs it";
// With CRASHING_PART=1, requests that are no two alike share this part of their prompt, which ends the workers.
constexpr const char* crashingPart = "dead1:100";
constexpr milliseconds contact{3000};

// The machines, zones and engines of cwmtaf-hire.
constexpr std::array<int, 7> zoneOfFront{1, 1, 2, 2, 3, 3, 4};
constexpr int zones = 4;
constexpr int engines = 18;

// Traffic starts 10 s after the machines.
constexpr milliseconds lead{10000};
constexpr milliseconds repeatInterval{2000};
constexpr int repeats = 16;

Headers requestHeaders(const std::string& attempt, const std::string& parts)
{
    return {{"Host", routeHost}, {"X-Attempt-Id", attempt}, {"X-Model", model}, {"X-Token-Count", "890,52"},
        {"X-Prompt-Prefix", parts}, {"X-Deadline-Ms", "6000"}};
}

struct Observations {
    std::mutex mutex;
    // When each attempt of the crashing request was sent.
    std::map<std::string, std::int64_t> crashingSent;
    int others = 0;
    int othersServed = 0;
};

int environmentNumber(const char* name, int otherwise)
{
    const char* text = std::getenv(name);
    return text ? std::atoi(text) : otherwise;
}

// Reads back what the workers have written: runs of the crashing request and the times of the crashes.
struct Runs {
    std::vector<std::int64_t> crashes;
    // The first run of each attempt.
    std::map<std::string, std::int64_t> firstRun;
};

Runs readRuns(const std::string& path)
{
    Runs runs;
    std::ifstream file(path);
    for (std::string line; std::getline(file, line);) {
        std::istringstream words(line);
        std::int64_t time = 0;
        std::string kind;
        std::string attempt;
        words >> time >> kind >> attempt;
        if (kind == "crash")
            runs.crashes.push_back(time);
        else if (kind == "run")
            runs.firstRun.emplace(attempt.substr(attempt.find('=') + 1), time);
    }
    return runs;
}

int play(const std::string& repository, const std::string& directory, const std::string& recordPath)
{
    const bool trouble = environmentNumber("TROUBLE", 1) != 0;
    const bool byPart = environmentNumber("CRASHING_PART", 0) != 0;
    // Requests are counted from `contact` after this crash on.
    const std::size_t countedCrash = byPart ? 5 : 3;
    Record record(recordPath);
    Store store;
    const std::uint16_t storePort = store.start();
    store.put("op", "config",
        configuration(1, nlohmann::json::array({route({"/pack/", "model-desk", "streaming", 6000, 1000, 2, true})}),
            nlohmann::json::array({engineService("model-desk", model)}))
            .dump());
    std::vector<std::unique_ptr<Worker>> workers;
    for (int i = 0; i < engines; ++i) {
        WorkerOptions options;
        options.name = "e" + std::to_string(i);
        options.service = "model-desk";
        options.zone = "bay-" + std::to_string(i % zones + 1);
        options.slots = 64;
        options.models = {model};
        if (trouble)
            (byPart ? options.crashingPart : options.crashingBody) = byPart ? crashingPart : crashingBody;
        options.eventsBeforeCrash = environmentNumber("EVENTS_BEFORE_CRASH", 2);
        workers.push_back(std::make_unique<Worker>(store, record, options));
        workers.back()->start();
    }
    Deployment deployment(repository, directory, record);
    for (std::size_t i = 0; i < zoneOfFront.size(); ++i) {
        const int zone = zoneOfFront[i];
        deployment.start(
            deployment.addFront("front-" + std::to_string(i + 1), "bay-" + std::to_string(zone), zone, storePort));
    }
    if (!deployment.awaitReady(milliseconds(15000)))
        return exitCouldNotRun;
    std::this_thread::sleep_for(lead);

    Observations observations;
    std::atomic<bool> ending{false};
    std::vector<std::thread> callers;
    for (const auto& front : deployment.fronts()) {
        callers.emplace_back([&, front = front.get()] {
            for (int i = 0; !ending; ++i) {
                const std::string attempt = front->name + "-" + std::to_string(i);
                const Answer answer = send(front->address, deployment.callerPort(), "POST", "/pack/x",
                    requestHeaders(attempt, "5c1e07a2:800," + std::to_string(i + 10) + ":90"), "pack " + attempt,
                    milliseconds(6000));
                record.line("answered attempt=" + attempt + " status=" + std::to_string(answer.status)
                    + (answer.complete ? " complete" : " broken off"));
                {
                    const std::lock_guard lock(observations.mutex);
                    ++observations.others;
                    observations.othersServed += answer.status == 200 && answer.complete;
                }
                std::this_thread::sleep_for(milliseconds(200));
            }
        });
    }
    std::vector<std::thread> repeating;
    for (int i = 0; i < repeats; ++i) {
        const Front& front = *deployment.fronts()[static_cast<std::size_t>(i) % deployment.fronts().size()];
        repeating.emplace_back([&, i, &front = front] {
            const std::string attempt = "crashing-" + std::to_string(i);
            {
                const std::lock_guard lock(observations.mutex);
                observations.crashingSent[attempt] = record.now();
            }
            record.line("sent attempt=" + attempt + " machine=" + front.name);
            const Answer answer = send(front.address, deployment.callerPort(), "POST", "/pack/x",
                requestHeaders(attempt,
                    byPart ? "5c1e07a2:700," + std::string(crashingPart) + "," + std::to_string(i + 10) + ":90"
                           : "aa11:800,bb22:90"),
                byPart ? "pack " + attempt : crashingBody, milliseconds(6000));
            record.line("answered attempt=" + attempt + " status=" + std::to_string(answer.status)
                + (answer.complete ? " complete" : " broken off"));
        });
        std::this_thread::sleep_for(repeatInterval);
    }
    ending = true;
    for (std::thread& thread : repeating)
        thread.join();
    for (std::thread& thread : callers)
        thread.join();

    const Runs runs = readRuns(recordPath);
    int late = 0;
    if (runs.crashes.size() >= countedCrash) {
        for (const auto& [attempt, sentAt] : observations.crashingSent)
            late += sentAt > runs.crashes[countedCrash - 1] + contact.count() && runs.firstRun.contains(attempt);
    }
    record.line("result crashes=" + std::to_string(runs.crashes.size())
        + " retries_that_reached_workers_later_than_3_s_after_crash_" + std::to_string(countedCrash) + "="
        + std::to_string(late) + " others=" + std::to_string(observations.others)
        + " others_served=" + std::to_string(observations.othersServed));
    if (trouble && runs.crashes.size() < countedCrash)
        return exitCouldNotRun;
    return late > 3 ? exitBroken : exitHeld;
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
