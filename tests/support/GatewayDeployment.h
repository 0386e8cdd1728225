// A deployment of daemon instances on the users' platform with stand-ins for the store, two engines and plain workers.
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
    // Proxy between the instance and the store; null without `proxies`.
    std::unique_ptr<FaultProxy> storeProxy;
    // Proxies on the ways from this instance alone to each worker; empty without `targetLinks`.
    std::map<std::string, std::unique_ptr<FaultProxy>> targetLinks;
};

struct GatewayDeploymentOptions {
    int instances = 2;
    int plainWorkers = 1;
    // Puts a FaultProxy between each instance and the store, and in front of each worker.
    bool proxies = false;
    // Puts a FaultProxy on the way from each instance to each worker. The library connect_redirect leads the
    // connections of the instance there; all instances know a worker by the same address.
    bool targetLinks = false;
    // Workers let another process bind their ports (Standin::replace).
    bool workersSharePorts = false;
    std::chrono::milliseconds routeTimeout{5000};
    // Time for which an instance that is stopped goes on with its requests.
    std::chrono::seconds grace{8};
    // One answer in so many of each worker has neither a length nor chunks; 0 for none. Plain ones of them pause in
    // their middle.
    int withoutLengthEvery = 0;
    std::chrono::milliseconds pauseInside{0};
    // Number of events of a stream, and the time between two events.
    int events = 20;
    std::chrono::milliseconds eventPause{20};
    // Window of the retry budget. An instance has its share of the fixed number of retries one window after its start.
    std::chrono::seconds retryWindow{10};
    // Limit of strict key revocation; without it, old configurations stay in force.
    std::optional<std::chrono::milliseconds> revocationLimit;
    // The `tenants` array of the first configuration, and one of its keys, which the deployment's own requests carry.
    nlohmann::json customers = nlohmann::json::array();
    std::string key;
    // Routes have several priorities, and "/stream/y" one of its own.
    bool priorities = false;
    // Prefix of an additional route that accepts requests without a key; empty for none.
    std::string exemptPrefix;
    // Requests per second that the plain workers say they take; 0 for no limit.
    double plainRequestLimit = 0;
    // Software versions of workers by their ids; the others have the usual one.
    std::map<std::string, std::string> softwareVersions;
    // When not 0, all workers state their load, and every other one works at a changing pace drawn from this seed.
    std::uint64_t paceSeed = 0;
};

// Member functions throw std::runtime_error when a part of the deployment cannot be started or configured.
class GatewayDeployment {
public:
    // Starts the deployment and waits until all instances serve requests.
    explicit GatewayDeployment(std::filesystem::path buildDirectory, GatewayDeploymentOptions options = {});

    // Writes a configuration with these route prefixes to the store, as the operator does. "/stream/" and "/once/" lead
    // to the engines, all others to the plain workers; streams of "/once/" are not resumable, "/unsafe/" is not
    // idempotent and "/open/" needs no key.
    void writeConfiguration(
        int version, const std::vector<std::string>& prefixes, const nlohmann::json& tenants = nlohmann::json::array());

    // Writes a row to the table of the workers, as another writer may.
    void writeWorkerRow(const std::string& key, const std::string& value) { writeRow("servers", key, value); }

    // The same with a value that need not be valid base64.
    void writeEncodedWorkerRow(const std::string& key, const std::string& encoded)
    {
        writeEncodedRow("servers", key, encoded);
    }

    // Removes the row of a worker that has ended, as the store does after a time.
    void removeWorkerRow(const std::string& key);

    // Sets the `limits` object of the configurations that are written from now on.
    void setCallerLimits(nlohmann::json limits) { callerLimits_ = std::move(limits); }

    // Sets the `tenants` list of the configurations that are written from now on.
    void setCustomers(nlohmann::json customers) { customers_ = std::move(customers); }

    // Sends a request to an instance and returns the answer, with status 0 when there is none.
    HttpResponse send(
        std::size_t instance, const std::string& target, const std::string& attempt, const std::string& model = "m0");

    // How often all workers together have run the request with this attempt id.
    int executions(const std::string& attempt);

    // Number of loads that exceeded the capacity of a worker, over all workers.
    std::uint64_t overcommits();

    // The body of a complete stream with the default number of events.
    static std::string expectedEvents();

    // Sends a GET and returns the status of the answer, 0 when there is none.
    static int statusOf(const Endpoint& endpoint, const std::string& target);

    // The request that `send` sends.
    static HttpRequest request(const std::string& target, const std::string& attempt, const std::string& model = "m0");

    GatewayInstance& instance(std::size_t index) { return instances_[index]; }

    const Endpoint& callersOf(std::size_t instance) const { return instances_[instance].callers; }

    std::size_t instanceCount() const { return instances_.size(); }

    // Starts the process of an instance on its ports. Also restarts one that has ended.
    void launchInstance(std::size_t index);

    std::vector<std::string> workerIds() const;

    // Applies a fault to the ways from an instance to all workers.
    void setTargetLinks(std::size_t instance, LinkFault fault);

    // The proxy in front of a worker.
    FaultProxy& workerProxy(const std::string& id) { return *workerProxies_.at(id); }

    // Lines that a worker has recorded since its first start: "run ATTEMPT MILLISECONDS FORM" with the form "delimited"
    // or "undelimited", "whole ATTEMPT MILLISECONDS" for an answer that it has written to its end, "refused ATTEMPT
    // MILLISECONDS RETRY_AFTER_SECONDS", "order MILLISECONDS HOLDER FENCE", "overcommit" and "violation ATTEMPT TEXT".
    std::vector<std::string> readRecord(const std::string& worker) const;

    Standin& worker(const std::string& id) { return *workers_.at(id); }

    Standin& store() { return *store_; }

private:
    void addWorker(const std::string& id, const std::string& service, const std::string& models);
    void writeRow(const std::string& table, const std::string& key, const std::string& value);
    void transact(const nlohmann::json& body);
    void writeEncodedRow(const std::string& table, const std::string& key, const std::string& encoded);
    void startInstance(int index);
    void addTargetLinks(GatewayInstance& instance, const std::filesystem::path& table);
    int priorityOf(const std::string& prefix) const;
    std::filesystem::path redirectTable(std::size_t index) const;
    std::filesystem::path recordPath(const std::string& worker) const;

    std::filesystem::path buildDirectory_;
    GatewayDeploymentOptions options_;
    Standins standins_;
    Standin* store_ = nullptr;
    std::map<std::string, Standin*> workers_;
    std::map<std::string, std::unique_ptr<FaultProxy>> workerProxies_;
    std::vector<GatewayInstance> instances_;
    nlohmann::json callerLimits_ = nlohmann::json::object();
    nlohmann::json customers_;
};

} // namespace lychee::test
