// Runs the main job with real processes and checks every answer.
#include "tests/support/Deployment.h"
#include "tests/support/GatewayDeployment.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <atomic>
#include <cstdio>
#include <thread>

ABSL_FLAG(std::string, build_dir, "build", "Folder with the built programs.");

namespace lychee::test {

namespace {

using namespace std::chrono_literals;

constexpr auto requestLimit = 30000ms;
constexpr int longAnswerTokens = 200;
constexpr int loadThreads = 6;
constexpr int loadTokens = 60;

// What one check showed.
struct Row {
    std::string name;
    bool passed = false;
    std::string detail;
};

class Demo {
public:
    explicit Demo(const std::filesystem::path& buildDirectory)
        : buildDirectory_(buildDirectory)
        , deployment_(buildDirectory, options())
    {
    }

    // Returns whether all checks passed.
    bool run()
    {
        deployment_.configure();
        check("configuration generated from answers and in force", true, "4 instances, 2 data centres");
        checkStream();
        checkAdapter();
        checkStock();
        checkOrder();
        checkInstancesLeaving();
        check("no accelerator memory overcommitted", deployment_.overcommits() == 0,
            fmt::format("{} overcommitments counted by the engines", deployment_.overcommits()));
        checkPlatform();
        return print();
    }

private:
    // The same daemon on the users' platform: its store, two engines and a plain worker are stand-ins.
    void checkPlatform()
    {
        GatewayDeployment platform(buildDirectory_);
        const bool stream = platform.send(0, "/stream/x", "demo-stream").body == GatewayDeployment::expectedEvents();
        check("platform: streamed answer is whole", stream, "2 instances, 3 workers");
        const bool once
            = platform.send(1, "/unsafe/x", "demo-order").status == 200 && platform.executions("demo-order") == 1;
        check("platform: order runs once", once, "1 execution");
        const bool loaded = eventually([&] { return platform.send(0, "/stream/x", "demo-rare", "m2").status == 200; });
        check("platform: model that nobody held is loaded", loaded && platform.overcommits() == 0,
            "0 loads beyond memory");
    }

    static DeploymentOptions options()
    {
        DeploymentOptions options;
        options.honoursFencing = [](int engine) { return engine % 2 == 0; };
        options.engineFlags = {"--tokens-per-second=100", "--slots=16"};
        options.platformFlags = {"--instance-lag-ms=5000", "--weight-bytes-per-second=100000000000"};
        options.settings = "[stop]\nno_work_after_ms = 1000\n";
        return options;
    }

    void check(std::string name, bool passed, std::string detail)
    {
        rows_.push_back({std::move(name), passed, std::move(detail)});
    }

    TestHttpClient client(std::size_t instance) { return {deployment_.instance(instance).callers, requestLimit}; }

    void checkStream()
    {
        TestHttpClient caller = client(0);
        const auto stream = caller.open(Deployment::chat("model-0", "plan the ride", longAnswerTokens, true));
        const auto text = stream.ok() ? readCompletion(**stream) : stream.status();
        const bool whole = text.ok() && *text == Deployment::expectedText("model-0", "plan the ride", longAnswerTokens);
        check("long streamed answer is whole", whole, fmt::format("{} tokens", longAnswerTokens));
    }

    void checkAdapter()
    {
        const auto answer = client(1).send(Deployment::chat("model-1:adapter-1", "kit list", 20, false));
        const bool whole = answer.ok() && answer->status == 200
            && completionText(answer->body) == Deployment::expectedText("model-1:adapter-1", "kit list", 20);
        check("adapter is reached by its name", whole, "model-1:adapter-1");
    }

    void checkStock()
    {
        const auto answer = client(2).send(Deployment::stock("helmet"));
        check("stock check is answered", answer.ok() && answer->status == 200, "GET /stock/helmet");
    }

    void checkOrder()
    {
        const auto first = client(0).send(Deployment::order("order-1", R"({"poles":2})"));
        const auto second = client(3).send(Deployment::order("order-1", R"({"poles":2})"));
        const bool same = first.ok() && second.ok() && first->status == 200 && second->body == first->body;
        const std::uint64_t executions = deployment_.executions("order-1");
        check("pole order sent twice runs once", same && executions == 1,
            fmt::format("{} execution, the second caller got the same answer", executions));
    }

    // Callers send streamed requests as through a balancer: they try another instance when one does not accept, and
    // they repeat a request whose instance was killed.
    void runCaller(int number, const std::atomic<bool>& stop, std::atomic<int>& wrong, std::atomic<int>& answered)
    {
        for (int i = 0; !stop.load(); ++i) {
            const std::string prompt = fmt::format("caller {} request {}", number, i);
            const std::string model = fmt::format("model-{}", i % deployment_.options().models);
            bool whole = false;
            for (std::size_t attempt = 0; attempt < 2 * deployment_.instanceCount() && !whole; ++attempt) {
                const std::size_t instance = (static_cast<std::size_t>(number) + attempt) % deployment_.instanceCount();
                TestHttpClient caller = client(instance);
                const auto stream = caller.open(Deployment::chat(model, prompt, loadTokens, true));
                if (!stream.ok() || (*stream)->status() != 200)
                    continue;
                const auto text = readCompletion(**stream);
                if (!text.ok()) {
                    cutByInstance_[instance]++;
                    continue;
                }
                if (*text != Deployment::expectedText(model, prompt, loadTokens))
                    ++wrong;
                whole = true;
            }
            if (whole)
                ++answered;
            else
                ++wrong;
        }
    }

    void checkInstancesLeaving()
    {
        std::atomic<bool> stop{false};
        std::atomic<int> wrong{0};
        std::atomic<int> answered{0};
        std::vector<std::thread> callers;
        callers.reserve(loadThreads);
        for (int i = 0; i < loadThreads; ++i)
            callers.emplace_back([&, i] { runCaller(i, stop, wrong, answered); });
        std::this_thread::sleep_for(1500ms);
        deployment_.instance(3).process->kill();
        std::this_thread::sleep_for(1500ms);
        const Deployment::ToolResult drained = deployment_.lycheectl(deployment_.instance(2), {"drain"});
        const auto exit = deployment_.instance(2).process->wait(20000ms);
        std::this_thread::sleep_for(500ms);
        stop = true;
        for (std::thread& caller : callers)
            caller.join();
        check("one instance killed under load: no answer lost", wrong == 0,
            fmt::format("{} answers, {} lost or wrong", answered.load(), wrong.load()));
        const bool graceful = drained.code == 0 && exit.ok() && exit->code == 0 && cutByInstance_[2] == 0;
        check("one instance drained under load: nothing cut off", graceful,
            fmt::format(
                "exit code {}, {} streams cut", exit.ok() ? exit->code.value_or(-1) : -1, cutByInstance_[2].load()));
        Deployment::await(
            "models resident after the changes", [&] { return deployment_.isAllResident(deployment_.instance(0)); });
        check("every model and adapter is still resident", true, "as seen by entry-1");
    }

    bool print()
    {
        bool passed = true;
        for (const Row& row : rows_) {
            fmt::print("{:<6} {:<52} {}\n", row.passed ? "ok" : "WRONG", row.name, row.detail);
            passed = passed && row.passed;
        }
        return passed;
    }

    std::filesystem::path buildDirectory_;
    Deployment deployment_;
    std::vector<Row> rows_;
    std::array<std::atomic<int>, 8> cutByInstance_{};
};

} // namespace

} // namespace lychee::test

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    try {
        lychee::test::Demo demo(absl::GetFlag(FLAGS_build_dir));
        if (!demo.run()) {
            fmt::print("demo: failed\n");
            return 1;
        }
    } catch (const std::exception& exception) {
        fmt::print("demo: failed: {}\n", exception.what());
        return 1;
    }
    fmt::print("demo: ok\n");
    return 0;
}
