// A prompt part that crashes workers. After the system has learnt it, all processes of the system are killed at once.
#include "review/common-2/Deployment.h"

using namespace review;

namespace {

constexpr int contactMs = 3000;
constexpr int workerCount = 8;
constexpr const char* crashingPart = "dead0001";

// The workers of the service. One that has crashed is back after 3 s as another worker; its entry is removed after
// three heartbeats.
class Workers {
public:
    Workers(Deployment& deployment, std::string root, std::string scratch)
        : deployment_(deployment)
        , root_(std::move(root))
        , scratch_(std::move(scratch))
    {
        // A child process ends with the thread that has started it.
        std::thread([this] {
            {
                const std::lock_guard lock(mutex_);
                for (int i = 0; i < workerCount; ++i)
                    start();
            }
            watch();
        }).detach();
    }

    // The times of the runs that match, in the order of their sending, over all workers.
    std::vector<std::pair<std::int64_t, std::string>> lines(const std::string& word)
    {
        const std::lock_guard lock(mutex_);
        std::vector<std::pair<std::int64_t, std::string>> found;
        for (int i = 0; i < started_; ++i) {
            std::ifstream file(scratch_ + "/i-" + std::to_string(i) + ".record");
            for (std::string line; std::getline(file, line);) {
                if (line.find(" " + word) != std::string::npos)
                    found.emplace_back(std::atoll(line.c_str()), "i-" + std::to_string(i) + ":" + line);
            }
        }
        std::sort(found.begin(), found.end());
        return found;
    }

private:
    void start()
    {
        const std::string id = "i-" + std::to_string(started_++);
        const pid_t process = Children::get().start(
            {root_ + "/target/review-2/worker", "--id", id, "--service", "model-desk", "--store",
                std::to_string(deployment_.store.port()), "--models", "m0", "--events", "13", "--event-ms", "20",
                "--crash-part", crashingPart, "--record", scratch_ + "/" + id + ".record"},
            {"PATH=/usr/bin:/bin"}, scratch_ + "/" + id + ".log");
        running_[process] = id;
    }

    void watch()
    {
        std::vector<std::pair<std::int64_t, std::string>> crashed;
        while (true) {
            sleepMs(50);
            const std::lock_guard lock(mutex_);
            for (auto entry = running_.begin(); entry != running_.end();) {
                if (Children::get().isRunning(entry->first)) {
                    ++entry;
                    continue;
                }
                note("worker " + entry->second + " has crashed");
                crashed.emplace_back(steadyMs(), entry->second);
                entry = running_.erase(entry);
            }
            for (auto& [time, id] : crashed) {
                if (time > 0 && steadyMs() - time >= 3000) {
                    time = -time;
                    start();
                } else if (time < 0 && steadyMs() + time >= 3600) {
                    deployment_.store.remove("servers", id);
                    time = 0;
                }
            }
        }
    }

    Deployment& deployment_;
    std::string root_;
    std::string scratch_;
    std::mutex mutex_;
    std::map<pid_t, std::string> running_;
    int started_ = 0;
};

Client ask(const Instance& instance, const std::string& attempt, const std::string& parts)
{
    Client client = send(instance.front, "POST", "/puxa403/2f",
        {{"Host", "ficu95.example"}, {"X-Attempt-Id", attempt}, {"X-Model", "m0"}, {"X-Token-Count", "826,52"},
            {"X-Prompt-Prefix", parts}, {"X-Deadline-Ms", "15000"}},
        "prompt of " + attempt);
    note(attempt + " at " + instance.name + " status=" + std::to_string(client.answer.status)
        + " whole=" + std::to_string(client.whole));
    return client;
}

std::string hex(int number)
{
    char text[16];
    std::snprintf(text, sizeof text, "%x", number);
    return text;
}

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
    const json models = json::array({{{"name", "m0"}, {"weightsMb", 65000}, {"loadS", 3.8}, {"adapters", 0}}});
    deployment.store.put("op", "config",
        {{"version", 10},
            {"routes",
                {{{"name", "briefing"}, {"host", "ficu95.example"}, {"prefix", "/puxa403/"}, {"kind", "streaming"},
                    {"timeoutMs", 15000}, {"targetLatencyMs", 2000}, {"gapTargetMs", 600}, {"priority", 0},
                    {"attempts", 2}, {"service", "model-desk"}, {"resumable", true}, {"sticky", true}}}},
            {"services",
                {{{"name", "model-desk"}, {"healthPath", "/health"}, {"maxConnections", 360},
                    {"engine",
                        {{"slots", 64}, {"kvCapacity", 232000}, {"weightsMb", 200000}, {"adapterSlots", 8},
                            {"loadsPerS", 2.1}, {"models", models}}}}}},
            {"limits",
                {{"headerBytes", 16384}, {"maxBodyBytes", 4194304}, {"headerTimeoutMs", 5000},
                    {"idleTimeoutMs", 20000}}}});
    Workers workers(deployment, root, scratch);
    for (int i = 0; i < 3; ++i)
        deployment.start(deployment.addInstance("front-" + std::to_string(i), "bay-a"));
    deployment.awaitReady();
    // The retry budget of a process begins one window after its start.
    sleepMs(11000);

    // Sound requests all the while, which share their first part with the others.
    std::atomic<bool> ends{false};
    std::atomic<int> served{0};
    std::vector<std::thread> clients;
    for (int i = 0; i < 3; ++i) {
        clients.emplace_back([&, i] {
            for (int n = 0; !ends; ++n) {
                const std::string attempt = "sound-" + std::to_string(i) + "-" + std::to_string(n);
                const std::string parts
                    = "5c1e07a2:198,91bd" + hex(n % 16) + ":200," + hex(0x10000 + i * 4096 + n) + ":428";
                const Client client = ask(*deployment.instances[static_cast<std::size_t>(i)], attempt, parts);
                served += client.answer.status == 200 && client.whole ? 1 : 0;
                sleepMs(100);
            }
        });
    }
    std::atomic<int> number{0};
    const auto crashing = [&](int instance) {
        const int n = ++number;
        const std::string parts
            = std::string("5c1e07a2:198,") + crashingPart + ":200,77a" + hex(n) + ":100," + hex(0x900000 + n) + ":328";
        ask(*deployment.instances[static_cast<std::size_t>(instance % 3)], "crashing-" + std::to_string(n), parts);
    };

    // The system learns.
    for (int round = 0; round < 2; ++round) {
        std::vector<std::thread> burst;
        for (int i = 0; i < 3; ++i)
            burst.emplace_back([&, i] { crashing(i); });
        for (std::thread& thread : burst)
            thread.join();
        sleepMs(5000);
    }
    for (int i = 0; i < 3; ++i)
        crashing(i);
    auto crashes = workers.lines("crash ");
    if (crashes.size() < 5)
        cannotRun("only " + std::to_string(crashes.size()) + " crashes");
    const std::int64_t fifthCrash = crashes[4].first;
    const std::size_t before = workers.lines("run crashing-").size();
    note("fifth crash at " + std::to_string(fifthCrash) + ", crashes so far " + std::to_string(crashes.size()));

    std::int64_t inTouchFrom = fifthCrash + contactMs;
    if (hasTrouble) {
        note("SIGKILL to all instances");
        for (const auto& instance : deployment.instances)
            Children::get().kill(instance->process);
        sleepMs(500);
        for (const auto& instance : deployment.instances)
            deployment.start(*instance);
        inTouchFrom = steadyMs() + contactMs;
        deployment.awaitReady();
    }
    sleepMs(std::max<std::int64_t>(0, inTouchFrom + 500 - steadyMs()));
    note("all machines have been in touch for contactMs");
    // Such requests come at two machines at a time.
    for (int i = 0; i < 5; ++i) {
        std::thread other([&, i] { crashing(i + 1); });
        crashing(i);
        other.join();
        sleepMs(4500);
    }
    ends = true;
    for (std::thread& client : clients)
        client.join();

    const auto runs = workers.lines("run crashing-");
    int late = 0;
    for (const auto& [time, line] : runs) {
        if (time <= inTouchFrom)
            continue;
        ++late;
        note("run later than contactMs after the fifth crash, sent by a machine in touch: " + line);
    }
    note("crashes=" + std::to_string(workers.lines("crash ").size()) + " runs_before=" + std::to_string(before)
        + " runs_later_than_contactMs_after_the_fifth_crash=" + std::to_string(late)
        + " allowed=3 sound_served=" + std::to_string(served.load()));
    if (served == 0)
        cannotRun("no sound request was served");
    finish(late > 3 ? 1 : 0);
}
