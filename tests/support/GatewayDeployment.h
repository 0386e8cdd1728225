// Instances of the daemon on the users' platform, with stand-ins of its store, two engines and plain workers.
#pragma once

#include "tests/support/FaultProxy.h"
#include "tests/support/TestRequests.h"

#include <map>

namespace lychee::test {

// One running instance of the daemon.
struct GatewayInstance {
    std::optional<ChildProcess> process;
    Endpoint callers;
    Endpoint readiness;
    Endpoint metrics;
    // On the way to the store; null without proxies.
    std::unique_ptr<FaultProxy> storeProxy;
};

struct GatewayDeploymentOptions {
    int instances = 2;
    int plainWorkers = 1;
    // Puts a FaultProxy between each instance and the store, and in front of each worker.
    bool proxies = false;
    // Events of a stream, and the pause between two.
    int events = 20;
    std::chrono::milliseconds eventPause{20};
};

// Functions throw std::runtime_error when the deployment cannot be set up.
class GatewayDeployment {
public:
    // Starts everything and waits until all instances serve.
    explicit GatewayDeployment(std::filesystem::path buildDirectory, GatewayDeploymentOptions options = {});

    // Writes a configuration with these route prefixes, as the operator does. "/stream/" leads to the engines, the
    // others to the plain worker; "/unsafe/" must not be repeated.
    void writeConfiguration(int version, const std::vector<std::string>& prefixes);

    // The limits for callers in the configurations that are written from now on, as the operator writes them.
    void setCallerLimits(nlohmann::json limits) { callerLimits_ = std::move(limits); }

    // The answer of an instance; status 0 when there is none.
    HttpResponse send(
        std::size_t instance, const std::string& target, const std::string& attempt, const std::string& model = "m0");

    // Runs of an attempt over all workers.
    int executions(const std::string& attempt);

    // Loads beyond the places of a worker, over all workers.
    std::uint64_t overcommits();

    // The body of a whole stream with the default number of events.
    static std::string expectedEvents();

    // The status of a GET, 0 when there is no answer.
    static int statusOf(const Endpoint& endpoint, const std::string& target);

    // A request as the callers of `send` make it.
    static HttpRequest request(const std::string& target, const std::string& attempt, const std::string& model = "m0");

    GatewayInstance& instance(std::size_t index) { return instances_[index]; }

    const Endpoint& callersOf(std::size_t instance) const { return instances_[instance].callers; }

    std::size_t instanceCount() const { return instances_.size(); }

    // Starts the process of an instance on its ports, also anew after it has ended.
    void launchInstance(std::size_t index);

    // Ids of all workers.
    std::vector<std::string> workerIds() const;

    // The proxy in front of a worker.
    FaultProxy& workerProxy(const std::string& id) { return *workerLinks_.at(id); }

    // Lines "run ATTEMPT", "order MILLISECONDS HOLDER FENCE" and "overcommit" of a worker, over all its starts.
    std::vector<std::string> readRecord(const std::string& worker) const;

    Standin& worker(const std::string& id) { return *workers_.at(id); }

    Standin& store() { return *store_; }

private:
    void addWorker(const std::string& id, const std::string& service, const std::string& models);
    void writeRow(const std::string& table, const std::string& key, const std::string& value);
    void startInstance(int index);
    std::filesystem::path recordPath(const std::string& worker) const;

    std::filesystem::path buildDirectory_;
    GatewayDeploymentOptions options_;
    Standins standins_;
    Standin* store_ = nullptr;
    std::map<std::string, Standin*> workers_;
    std::map<std::string, std::unique_ptr<FaultProxy>> workerLinks_;
    std::vector<GatewayInstance> instances_;
    nlohmann::json callerLimits_ = nlohmann::json::object();
};

} // namespace lychee::test
