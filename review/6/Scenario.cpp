// One worker of four spoils one in fifty of its answers by wrong bytes behind them. Clients keep their connections.
#include "review/common-2/Deployment.h"

using namespace review;

namespace {

constexpr int spoilEach = 50;
constexpr int clientsOfEach = 8;
constexpr int runSeconds = 40;

struct Lost {
    std::string attempt;
    std::string instance;
};

} // namespace

// Arguments: the repository, the folder of the case, a scratch folder.
int main(int, char** argv)
{
    const std::string root = argv[1];
    const std::string scratch = argv[3];
    const char* setting = std::getenv("TROUBLE");
    const bool hasTrouble = !setting || std::string(setting) != "0";
    Record::get().open(std::string(argv[2]) + "/record.txt");
    Deployment deployment(root, scratch);
    const auto route = [](const std::string& name, const std::string& prefix, const std::string& kind) {
        return json{{"name", name}, {"host", "ficu95.example"}, {"prefix", prefix}, {"kind", kind}, {"timeoutMs", 4000},
            {"targetLatencyMs", 300}, {"priority", 2}, {"attempts", kind == "idempotent" ? 2 : 1},
            {"service", "booking-app"}};
    };
    deployment.store.put("op", "config",
        {{"version", 10},
            {"routes", {route("stock", "/puxa403/", "idempotent"), route("booking", "/lohu930/", "non_idempotent")}},
            {"services", {{{"name", "booking-app"}, {"healthPath", "/health"}, {"maxConnections", 100}}}},
            {"limits",
                {{"headerBytes", 16384}, {"maxBodyBytes", 4194304}, {"headerTimeoutMs", 3000},
                    {"idleTimeoutMs", 15000}}}});
    for (int i = 0; i < 4; ++i) {
        const std::string id = "i-" + std::to_string(i);
        Children::get().start(
            {root + "/target/review-2/worker", "--id", id, "--service", "booking-app", "--store",
                std::to_string(deployment.store.port()), "--slots", "6", "--work-ms", "120", "--spoil-each",
                std::to_string(i == 0 && hasTrouble ? spoilEach : 0), "--record", scratch + "/" + id + ".record"},
            {"PATH=/usr/bin:/bin"}, scratch + "/" + id + ".log");
    }
    for (int i = 0; i < 2; ++i)
        deployment.start(deployment.addInstance("front-" + std::to_string(i), "bay-a"));
    deployment.awaitReady();
    sleepMs(1500);

    std::atomic<bool> ends{false};
    std::atomic<int> answered{0};
    std::atomic<int> number{0};
    std::mutex mutex;
    std::vector<Lost> lost;
    std::vector<std::thread> clients;
    for (int i = 0; i < 2 * clientsOfEach; ++i) {
        clients.emplace_back([&, i] {
            const Instance& instance = *deployment.instances[static_cast<std::size_t>(i % 2)];
            const std::string path = i % 4 < 2 ? "/puxa403/2f" : "/lohu930/2f";
            std::unique_ptr<Connection> connection;
            int used = 0;
            while (!ends) {
                if (!connection || !connection->isOpen()) {
                    connection = Connection::open(instance.front);
                    used = 0;
                    if (!connection) {
                        sleepMs(100);
                        continue;
                    }
                }
                const std::string attempt = "attempt-" + std::to_string(++number);
                connection->write("POST " + path + " HTTP/1.1\r\nHost: ficu95.example\r\nX-Attempt-Id: " + attempt
                    + "\r\nX-Deadline-Ms: 4000\r\nContent-Length: 4\r\n\r\nbody");
                Message answer;
                const auto until = Clock::now() + Milliseconds(4500);
                if (connection->readHead(answer, true, until) && connection->readBody(answer, true, until)) {
                    ++answered;
                    ++used;
                    if (answer.status != 200)
                        note(attempt + " at " + instance.name + " status=" + std::to_string(answer.status));
                    if (answer.header("Connection") == "close")
                        connection = nullptr;
                    sleepMs(50 + (used * 31 + i * 17) % 100);
                    continue;
                }
                note(attempt + " at " + instance.name
                    + ": connection closed without an answer, requests on it before: " + std::to_string(used));
                if (used > 0) {
                    const std::lock_guard lock(mutex);
                    lost.push_back({attempt, instance.name});
                }
                connection = nullptr;
            }
        });
    }
    int ownEnds = 0;
    const std::int64_t endAt = steadyMs() + runSeconds * 1000;
    while (steadyMs() < endAt) {
        sleepMs(50);
        for (const auto& instance : deployment.instances) {
            if (Children::get().isRunning(instance->process))
                continue;
            ++ownEnds;
            note("the process of " + instance->name + " has ended by itself");
            // The platform restarts a process that ends after a short delay.
            sleepMs(300);
            deployment.start(*instance);
        }
    }
    ends = true;
    for (std::thread& client : clients)
        client.join();

    // Requests that a sound worker got, and whose kept connection was closed without an answer.
    std::set<std::string> atSoundWorkers;
    for (int i = 1; i < 4; ++i) {
        std::ifstream file(scratch + "/i-" + std::to_string(i) + ".record");
        for (std::string line; std::getline(file, line);) {
            if (const std::size_t at = line.find(" run "); at != std::string::npos)
                atSoundWorkers.insert(line.substr(at + 5, line.find(' ', at + 5) - at - 5));
        }
    }
    std::map<std::string, int> broken;
    for (const Lost& request : lost) {
        if (!atSoundWorkers.contains(request.attempt))
            continue;
        ++broken[request.instance];
        note("LOST " + request.attempt + ": " + request.instance
            + " passed it on to a sound worker and closed its kept connection without an answer");
    }
    int most = 0;
    for (const auto& [name, count] : broken) {
        most = std::max(most, count);
        note(name + " lost=" + std::to_string(count));
    }
    note("answered=" + std::to_string(answered.load()) + " processes_ended_by_themselves=" + std::to_string(ownEnds)
        + " lost_at_one_machine=" + std::to_string(most) + " allowed=3");
    if (answered == 0)
        cannotRun("nothing was served");
    finish(most > 3 ? 1 : 0);
}
