// Two instances of the daemon on the users' platform, with stand-ins of its store, two engines and a plain worker.
#pragma once

#include "tests/support/Standins.h"

#include <functional>
#include <map>

namespace lychee::test {

// One running instance of the daemon.
struct GatewayInstance {
    std::optional<ChildProcess> process;
    Endpoint callers;
    Endpoint readiness;
    Endpoint metrics;
};

// Functions throw std::runtime_error when the deployment cannot be set up.
class GatewayDeployment {
public:
    // Starts everything and waits until both instances serve.
    explicit GatewayDeployment(std::filesystem::path buildDirectory);

    // Whether a condition holds within a time.
    static bool eventually(
        const std::function<bool()>& condition, std::chrono::milliseconds within = std::chrono::milliseconds(10000));

    // Writes a configuration with these route prefixes, as the operator does. "/stream/" leads to the engines, the
    // others to the plain worker; "/unsafe/" must not be repeated.
    void writeConfiguration(int version, const std::vector<std::string>& prefixes);

    // The answer of an instance; status 0 when there is none.
    HttpResponse send(
        std::size_t instance, const std::string& target, const std::string& attempt, const std::string& model = "m0");

    // Runs of an attempt over all workers.
    int executions(const std::string& attempt);

    // Loads beyond the places of a worker, over all workers.
    std::uint64_t overcommits();

    // The body of a whole stream.
    static std::string expectedEvents();

    // The status of a GET, 0 when there is no answer.
    static int statusOf(const Endpoint& endpoint, const std::string& target);

    GatewayInstance& instance(std::size_t index) { return instances_[index]; }

    Standin& worker(const std::string& id) { return *workers_.at(id); }

    Standin& store() { return *store_; }

private:
    void addWorker(const std::string& id, const std::string& service, const std::string& models);
    void writeRow(const std::string& table, const std::string& key, const std::string& value);
    void startInstance(int index);

    std::filesystem::path buildDirectory_;
    Standins standins_;
    Standin* store_ = nullptr;
    std::map<std::string, Standin*> workers_;
    std::vector<GatewayInstance> instances_;
};

} // namespace lychee::test
