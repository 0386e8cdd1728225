// A worker that truncates its streams inside an event.
#include "review/common-2/Deployment.h"

using namespace review;

namespace {

constexpr int events = 60;
constexpr int streamsOfEach = 12;

struct Stream {
    std::string attempt;
    std::string path;
    int instance = 0;
    Client client;
};

int lastId(const std::string& body)
{
    const std::size_t at = body.rfind("id: ");
    return at == std::string::npos ? 0 : std::atoi(body.c_str() + at + 4);
}

json route(const std::string& name, const std::string& prefix, bool resumable)
{
    return {{"name", name}, {"host", "ficu95.example"}, {"prefix", prefix}, {"kind", "streaming"}, {"timeoutMs", 15000},
        {"targetLatencyMs", 2000}, {"gapTargetMs", 600}, {"priority", 0}, {"attempts", 2}, {"service", "model-desk"},
        {"resumable", resumable}, {"sticky", true}};
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
        {{"version", 10}, {"routes", {route("briefing", "/puxa403/", true), route("once", "/lohu930/", false)}},
            {"services",
                {{{"name", "model-desk"}, {"healthPath", "/health"}, {"maxConnections", 360},
                    {"engine",
                        {{"slots", 64}, {"kvCapacity", 232000}, {"weightsMb", 200000}, {"adapterSlots", 8},
                            {"loadsPerS", 2.1}, {"models", models}}}}}},
            {"limits",
                {{"headerBytes", 16384}, {"maxBodyBytes", 4194304}, {"headerTimeoutMs", 5000},
                    {"idleTimeoutMs", 20000}}}});
    for (int i = 0; i < 4; ++i) {
        const std::string id = "i-" + std::to_string(i);
        Children::get().start(
            {root + "/target/review-2/worker", "--id", id, "--service", "model-desk", "--store",
                std::to_string(deployment.store.port()), "--models", "m0", "--events", std::to_string(events),
                "--event-ms", "100", "--break-after", std::to_string(i == 0 && hasTrouble ? 5 : 0), "--record",
                scratch + "/" + id + ".record"},
            {"PATH=/usr/bin:/bin"}, scratch + "/" + id + ".log");
    }
    for (int i = 0; i < 2; ++i)
        deployment.start(deployment.addInstance("front-" + std::to_string(i), "bay-a"));
    deployment.awaitReady();
    sleepMs(1500);

    std::vector<std::unique_ptr<Stream>> streams;
    std::vector<std::thread> threads;
    for (int i = 0; i < 2 * streamsOfEach; ++i) {
        auto stream = std::make_unique<Stream>();
        stream->attempt = "attempt-" + std::to_string(i);
        stream->path = i % 2 == 0 ? "/puxa403/2f" : "/lohu930/2f";
        stream->instance = i / 2 % 2;
        threads.emplace_back([&deployment, stream = stream.get()] {
            note("send " + stream->attempt + " " + stream->path);
            stream->client
                = send(deployment.instances[static_cast<std::size_t>(stream->instance)]->front, "POST", stream->path,
                    {{"Host", "ficu95.example"}, {"X-Attempt-Id", stream->attempt}, {"X-Model", "m0"},
                        {"X-Token-Count", "826,300"}, {"X-Deadline-Ms", "15000"}},
                    "prompt " + stream->attempt);
            note("end " + stream->attempt + " status=" + std::to_string(stream->client.answer.status)
                + " whole=" + std::to_string(stream->client.whole)
                + " last_event=" + std::to_string(lastId(stream->client.answer.body)));
        });
        streams.push_back(std::move(stream));
    }
    for (std::thread& thread : threads)
        thread.join();

    int broken = 0;
    int served = 0;
    for (const auto& stream : streams) {
        const Client& client = stream->client;
        const bool isSuccess = client.answer.status == 200 && client.whole;
        served += isSuccess && lastId(client.answer.body) == events ? 1 : 0;
        if (isSuccess && lastId(client.answer.body) < events) {
            ++broken;
            note("BROKEN " + stream->attempt + " " + stream->path + ": status 200 and a regular end after event "
                + std::to_string(lastId(client.answer.body)) + " of " + std::to_string(events));
        }
    }
    note("streams=" + std::to_string(streams.size()) + " served_whole=" + std::to_string(served)
        + " ended_as_complete_too_early=" + std::to_string(broken));
    if (served == 0)
        cannotRun("no stream was served");
    finish(broken > 0 ? 1 : 0);
}
