// What an instance adds to calls and streams, measured with real processes on one machine.
#include "bench/common/Bounds.h"
#include "tests/support/Deployment.h"
#include "tests/support/GatewayDeployment.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <atomic>
#include <fstream>
#include <sstream>
#include <thread>

#include <unistd.h>

ABSL_FLAG(std::string, bounds, "", "File with the bounds; a miss makes the exit code 1.");
ABSL_FLAG(std::string, build_dir, "build", "Folder with the built programs.");

namespace lychee::test {

namespace {

using namespace std::chrono_literals;
using Clock = std::chrono::steady_clock;

constexpr auto requestLimit = 30000ms;
constexpr int latencySamples = 400;
constexpr int streamThreads = 8;
constexpr int streamTokens = 4000;
constexpr int callThreads = 8;
constexpr auto callTime = 3s;

double seconds(Clock::duration duration) { return std::chrono::duration<double>(duration).count(); }

// Processor time that a process has used, in seconds.
double processorTime(pid_t id)
{
    std::ifstream file(fmt::format("/proc/{}/stat", id));
    std::string text;
    std::getline(file, text);
    // Fields 14 and 15, counted from 1, follow the name in parentheses, which is field 2.
    std::istringstream fields(text.substr(text.rfind(')') + 2));
    std::string skipped;
    for (int field = 3; field < 14; ++field)
        fields >> skipped;
    double user = 0;
    double system = 0;
    fields >> user >> system;
    return (user + system) / static_cast<double>(sysconf(_SC_CLK_TCK));
}

double median(std::vector<double> values)
{
    std::nth_element(values.begin(), values.begin() + static_cast<std::ptrdiff_t>(values.size() / 2), values.end());
    return values[values.size() / 2];
}

// Median time of a call, in seconds.
double callLatency(TestHttpClient& client, const HttpRequest& request)
{
    std::vector<double> samples;
    for (int i = 0; i < latencySamples; ++i) {
        const auto start = Clock::now();
        const auto response = client.send(request);
        if (!response.ok() || response->status != 200)
            throw std::runtime_error("a call failed");
        samples.push_back(seconds(Clock::now() - start));
    }
    return median(std::move(samples));
}

// Median time to the first event of a stream, in seconds.
double firstTokenLatency(TestHttpClient& client, const HttpRequest& request)
{
    std::vector<double> samples;
    for (int i = 0; i < latencySamples; ++i) {
        const auto start = Clock::now();
        const auto stream = client.open(request);
        if (!stream.ok() || (*stream)->status() != 200 || !(*stream)->next().ok())
            throw std::runtime_error("a stream failed");
        samples.push_back(seconds(Clock::now() - start));
    }
    return median(std::move(samples));
}

class RelayBenchmark {
public:
    explicit RelayBenchmark(const std::filesystem::path& buildDirectory)
        : buildDirectory_(buildDirectory)
        , deployment_(buildDirectory, options())
    {
        deployment_.configure();
    }

    std::map<std::string, double> run()
    {
        measureLatency();
        measureTokens();
        measurePlatformTokens();
        measureCalls();
        return results_;
    }

private:
    static DeploymentOptions options()
    {
        DeploymentOptions options;
        options.dataCentres = 1;
        options.instancesPerDataCentre = 1;
        options.enginesPerDataCentre = 1;
        options.services = 1;
        options.models = 1;
        options.adapters = 0;
        options.engineFlags = {"--tokens-per-second=100000", "--slots=64"};
        return options;
    }

    TestHttpClient throughInstance() { return {deployment_.instance(0).callers, requestLimit}; }

    void measureLatency()
    {
        TestHttpClient through = throughInstance();
        TestHttpClient service = deployment_.service(0).client();
        TestHttpClient engine = deployment_.engine(0).client();
        const double directCall = callLatency(service, {"GET", "/stock/item"});
        results_["added_call_us"] = 1e6 * (callLatency(through, Deployment::stock("item")) - directCall);
        const HttpRequest chat = Deployment::chat("model-0", "hello", 2, true);
        const double directToken = firstTokenLatency(engine, chat);
        results_["added_first_token_us"] = 1e6 * (firstTokenLatency(through, chat) - directToken);
        results_["direct_call_us"] = 1e6 * directCall;
        results_["direct_first_token_us"] = 1e6 * directToken;
    }

    void measureTokens()
    {
        const pid_t id = deployment_.instance(0).process->id();
        const double before = processorTime(id);
        const auto start = Clock::now();
        std::vector<std::thread> threads;
        threads.reserve(streamThreads);
        for (int i = 0; i < streamThreads; ++i) {
            threads.emplace_back([this, i] {
                TestHttpClient client = throughInstance();
                const auto stream
                    = client.open(Deployment::chat("model-0", fmt::format("stream {}", i), streamTokens, true));
                if (stream.ok())
                    readCompletion(**stream).IgnoreError();
            });
        }
        for (std::thread& thread : threads)
            thread.join();
        const double tokens = streamThreads * streamTokens;
        results_["token_cpu_us"] = 1e6 * (processorTime(id) - before) / tokens;
        results_["tokens_per_second"] = tokens / seconds(Clock::now() - start);
    }

    // The same on the users' platform, whose streams are relayed without a look into their events' data.
    void measurePlatformTokens()
    {
        GatewayDeploymentOptions platformOptions;
        platformOptions.instances = 1;
        platformOptions.events = streamTokens;
        platformOptions.eventPause = 0ms;
        GatewayDeployment platform(buildDirectory_, platformOptions);
        const pid_t id = platform.instance(0).process->id();
        const double before = processorTime(id);
        std::atomic<int> events{0};
        std::vector<std::thread> threads;
        threads.reserve(streamThreads);
        for (int i = 0; i < streamThreads; ++i) {
            threads.emplace_back([&, i] {
                TestHttpClient client(platform.callersOf(0), requestLimit);
                const auto stream = client.open(GatewayDeployment::request("/stream/x", fmt::format("stream-{}", i)));
                while (stream.ok()) {
                    const auto event = (*stream)->next();
                    if (!event.ok() || !event->has_value())
                        break;
                    ++events;
                }
            });
        }
        for (std::thread& thread : threads)
            thread.join();
        if (events != streamThreads * streamTokens)
            throw std::runtime_error("a stream on the platform's path is not whole");
        results_["platform_token_cpu_us"] = 1e6 * (processorTime(id) - before) / events;
        results_["platform_to_own"] = results_["platform_token_cpu_us"] / results_["token_cpu_us"];
    }

    void measureCalls()
    {
        const pid_t id = deployment_.instance(0).process->id();
        const double before = processorTime(id);
        std::atomic<int> calls{0};
        const auto end = Clock::now() + callTime;
        std::vector<std::thread> threads;
        threads.reserve(callThreads);
        for (int i = 0; i < callThreads; ++i) {
            threads.emplace_back([&] {
                TestHttpClient client = throughInstance();
                while (Clock::now() < end) {
                    const auto response = client.send(Deployment::stock("item"));
                    if (response.ok() && response->status == 200)
                        ++calls;
                }
            });
        }
        for (std::thread& thread : threads)
            thread.join();
        results_["calls_per_second"] = calls / seconds(callTime);
        results_["calls_per_core_second"] = calls / (processorTime(id) - before);
    }

    std::filesystem::path buildDirectory_;
    Deployment deployment_;
    std::map<std::string, double> results_;
};

} // namespace

} // namespace lychee::test

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    lychee::test::RelayBenchmark benchmark(absl::GetFlag(FLAGS_build_dir));
    std::map<std::string, double> results = benchmark.run();
    for (const auto& [name, value] : results)
        fmt::print("{:<24} {:12.2f}\n", name, value);
    lychee::bench::Bounds bounds(absl::GetFlag(FLAGS_bounds), "relay");
    bounds.atMost("token_cpu_microseconds", "processor time for one relayed token", results["token_cpu_us"]);
    bounds.atMost("platform_to_own", "the same on the platform's path, to the own one", results["platform_to_own"]);
    return bounds.misses() == 0 ? 0 : 1;
}
