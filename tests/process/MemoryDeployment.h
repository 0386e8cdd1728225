// A deployment for the tests of memory and reachability, in which only some of the models fit into memory twice.
#pragma once

#include "protocol/HeaderNames.h"
#include "tests/support/Deployment.h"

#include <gtest/gtest.h>

#include <set>

namespace lychee::test {

// The path at which engines accept orders.
inline constexpr std::string_view orderPath = "/control/orders";

// Time in which every model must answer again after a failure. Detection takes 2 s of silence on two connections, and
// then 3 s until a target or a suspected instance counts as lost. Loading takes at most 2.5 s, for 10 models at the
// store's rate of 4 per second. The rest is allowance for a busy machine.
inline constexpr std::chrono::milliseconds recoveryLimit{20000};

// Four engines of 100 GiB, two of which ignore fencing, hold 16 copies of 10 models of 22 GiB, so six models are
// resident twice. A fifth model exceeds the memory of an engine even without adapters.
inline DeploymentOptions memoryOptions()
{
    DeploymentOptions options;
    options.models = 10;
    options.modelBytes = 22ULL << 30;
    options.adapters = 4;
    options.services = 1;
    options.honoursFencing = [](int engine) { return engine < 2; };
    options.platformFlags = {"--weight-bytes-per-second=100000000000", "--weight-rate=4"};
    options.engineFlags = {"--tokens-per-second=1000", "--slots=16"};
    return options;
}

// Describes a fault in the form that the fault port of a stand-in accepts.
inline nlohmann::json fault(
    std::string_view path, std::string_view kind, int count, std::chrono::milliseconds delay = {})
{
    return {{"path", path}, {"kind", kind}, {"count", count}, {"delay_ms", delay.count()}};
}

inline std::string modelName(int i) { return fmt::format("model-{}", i); }

// The names of all models and adapters, as callers use them.
inline std::vector<std::string> callerNames(const DeploymentOptions& options)
{
    std::vector<std::string> names;
    names.reserve(static_cast<std::size_t>(options.models) + static_cast<std::size_t>(options.adapters));
    for (int i = 0; i < options.models; ++i)
        names.push_back(modelName(i));
    for (int i = 0; i < options.adapters; ++i)
        names.push_back(fmt::format("model-{}:adapter-{}", i % options.models, i));
    return names;
}

// Whether a model or adapter gives the expected answer within `patience`.
inline bool answersCorrectly(const Instance& instance, const std::string& name, std::chrono::milliseconds patience)
{
    HttpRequest request = Deployment::chat(name, "are you there", 3, false);
    request.headers.set(header::patience, std::to_string(patience.count()));
    const auto answer = TestHttpClient(instance.callers, patience + std::chrono::seconds(1)).send(request);
    return answer.ok() && answer->status == 200
        && completionText(answer->body) == Deployment::expectedText(name, "are you there", 3);
}

// A deployment whose engines are checked for overcommitted memory: each test calls awaitRecovery() after a failure.
// Must be used from one thread.
class MemoryDeployment {
public:
    MemoryDeployment()
        : deployment_(LYCHEE_BUILD_DIR, memoryOptions())
        , answersText_(deployment_.answers())
    {
        deployment_.configure();
    }

    Deployment& deployment() { return deployment_; }

    // Submits a configuration with the next version of two models, through a running instance.
    void changeTwoModels(int first, int second) { changeTwoModels(first, second, runningInstance()); }

    // The same through a given instance.
    void changeTwoModels(int first, int second, const Instance& through)
    {
        ++version_;
        for (const int model : {first, second})
            setVersion(model, version_);
        const std::string file = deployment_.write("changed.ini", answersText_).string();
        // The platform may lose the answer to the write itself; the operator then submits again.
        Deployment::await(
            "the changed answers are accepted",
            [&] {
                return deployment_.lycheectl(through, {"answers", "submit", file}).code == 0;
            },
            recoveryLimit);
        changedModels_ = {first, second};
    }

    // Waits until every model and adapter answers through every running instance and the changed models are resident in
    // their new version, and checks that no engine overcommitted its memory.
    void awaitRecovery(const std::string& failure)
    {
        const auto start = std::chrono::steady_clock::now();
        std::string missing;
        const auto recovered = [&] {
            missing.clear();
            for (std::size_t i = 0; i < deployment_.instanceCount(); ++i) {
                const Instance& instance = deployment_.instance(i);
                if (killedInstances_.contains(i))
                    continue;
                if (!hasChangedModels(instance))
                    missing += " changes at " + instance.id;
                for (const std::string& name : callerNames(deployment_.options())) {
                    if (missing.empty() && !answersCorrectly(instance, name, std::chrono::seconds(1)))
                        missing += " " + name + " at " + instance.id;
                }
            }
            return missing.empty();
        };
        try {
            Deployment::await("recovery", recovered, recoveryLimit);
        } catch (const std::runtime_error&) {
            ADD_FAILURE() << failure << ": did not recover within the limit; missing:" << missing << "\n"
                          << deployment_.status(runningInstance()).dump(1) << describeInstances();
        }
        fmt::print("{}: all models and adapters answer after {} ms\n", failure,
            std::chrono::duration_cast<std::chrono::milliseconds>(std::chrono::steady_clock::now() - start).count());
        EXPECT_EQ(overcommits(), 0U) << failure;
    }

    // Number of overcommitments that the engines counted, including killed engines.
    std::uint64_t overcommits() { return overcommitsOfKilledEngines_ + deployment_.overcommits(); }

    // Kills an engine after reading its statistics.
    void killEngine(std::size_t i)
    {
        overcommitsOfKilledEngines_ += deployment_.engine(i).stats()["overcommits"].get<std::uint64_t>();
        deployment_.engine(i).process().kill();
    }

    // Kills an instance; awaitRecovery() then ignores it.
    void killInstance(std::size_t i)
    {
        deployment_.instance(i).process->kill();
        killedInstances_.insert(i);
    }

    // An instance that was not killed.
    const Instance& runningInstance()
    {
        std::size_t i = 0;
        while (killedInstances_.contains(i))
            ++i;
        return deployment_.instance(i);
    }

    // The instance that owns an engine according to the status of `seenBy`.
    std::optional<std::size_t> ownerOfEngine(std::size_t engine, const Instance& seenBy)
    {
        const nlohmann::json status = deployment_.status(seenBy);
        if (!status.is_object())
            return std::nullopt;
        for (const nlohmann::json& target : status["targets"]) {
            if (target["id"] != fmt::format("engine-{}", engine))
                continue;
            // The name of an owner is the id of the instance, followed by a suffix for its process.
            const auto owner = target["owner"].get<std::string>();
            for (std::size_t i = 0; i < deployment_.instanceCount(); ++i) {
                if (owner.starts_with(deployment_.instance(i).id + "~"))
                    return i;
            }
        }
        return std::nullopt;
    }

    // Clears the faults of the platform and of all running engines.
    void clearFaults()
    {
        deployment_.platform().clearFaults();
        for (std::size_t i = 0; i < deployment_.engineCount(); ++i) {
            if (deployment_.engine(i).process().isRunning())
                deployment_.engine(i).clearFaults();
        }
    }

    // Posts a fault to all engines.
    void postFaultToEngines(const nlohmann::json& posted)
    {
        for (std::size_t i = 0; i < deployment_.engineCount(); ++i)
            deployment_.engine(i).postFault(posted);
    }

private:
    // Whether each instance runs, what it shows and the end of its log.
    std::string describeInstances()
    {
        constexpr std::size_t shownBytes = 20000;
        std::string text;
        for (std::size_t i = 0; i < deployment_.instanceCount(); ++i) {
            Instance& instance = deployment_.instance(i);
            const std::string log = instance.process->logText();
            text += fmt::format("\n{} {}: {}\n{}", instance.id, instance.process->isRunning() ? "runs" : "has ended",
                deployment_.status(instance).dump(), log.substr(log.size() - std::min(log.size(), shownBytes)));
        }
        return text;
    }

    void setVersion(int model, int version)
    {
        const std::size_t section = answersText_.find(fmt::format("[model {}]", modelName(model)));
        const std::size_t value = answersText_.find("version = ", section) + std::string_view("version = ").size();
        answersText_.replace(value, answersText_.find('\n', value) - value, std::to_string(version));
    }

    bool hasChangedModels(const Instance& instance) const
    {
        const nlohmann::json status = deployment_.status(instance);
        if (!status.is_object())
            return false;
        for (const nlohmann::json& model : status["models"]) {
            for (const int changed : changedModels_) {
                const std::string artifact = fmt::format("{}@{}", modelName(changed), version_);
                if (model["id"] == modelName(changed)
                    && (model["artifact"] != artifact || model["state"] != "resident"))
                    return false;
            }
        }
        return true;
    }

    Deployment deployment_;
    std::string answersText_;
    int version_ = 1;
    std::vector<int> changedModels_;
    std::set<std::size_t> killedInstances_;
    std::uint64_t overcommitsOfKilledEngines_ = 0;
};

} // namespace lychee::test
