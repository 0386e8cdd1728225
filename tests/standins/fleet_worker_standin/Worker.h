// Simulates a worker of the users' platform: registers itself in the store, serves requests and, when it holds models,
// applies orders.
#pragma once

#include "tests/standins/common/Standin.h"

#include <fstream>
#include <map>
#include <mutex>
#include <set>
#include <thread>

namespace lychee::standin {

struct WorkerOptions {
    std::string id;
    std::string service;
    std::string zone;
    // Version of the software, as the entry in the store states it.
    std::string softwareVersion = "v1";
    // Address and port of the store.
    std::string storeAddress;
    std::uint16_t storePort = 0;
    // Port that the entry in the store names; 0 for the port where the worker serves.
    std::uint16_t advertisedPort = 0;
    // File to which each run and each order is appended as it begins, so that the record survives a crash of the
    // process. Empty for no record.
    std::string record;
    // Models that are held at the start; a worker without models serves plain requests.
    std::set<std::string> models;
    std::size_t maxModels = 2;
    std::size_t maxAdapters = 2;
    // Events of a stream, and the time between two.
    int events = 10;
    std::chrono::milliseconds eventTime{20};
    std::chrono::milliseconds loadTime{200};
    std::chrono::milliseconds registrationInterval{300};
    // Requests per second that answers say the worker takes from all instances; 0 for answers without a limit.
    double requestLimit = 0;
    // Answers state the load.
    bool reportsLoad = false;
    // When not 0, streams take 2.5 times as long in some periods of 600 ms, which are drawn from this seed, and the
    // stated load has the pace as its fourth number.
    std::uint64_t paceSeed = 0;
};

class Worker final : public Application {
public:
    explicit Worker(WorkerOptions options);

    // Starts the periodic registration in the store; `port` is where it serves.
    void listening(std::uint16_t port) override;

    void handle(const Request& request, Connection& connection) override;

    void refused(const Request& request, int retryAfterSeconds) override;

    nlohmann::json stats() override;

private:
    bool servesModels() const { return servesModels_; }

    void order(const Request& request, Connection& connection);
    void serve(const Request& request, Connection& connection);
    // Returns whether the whole answer was written.
    bool stream(const Request& request, Connection& connection, std::vector<HeaderField> headers);
    // Whether the model and adapter that the request names are loaded.
    bool holds(const Request& request);
    Response applyOrder(const nlohmann::json& order);
    void completeLoad();
    nlohmann::json state();
    // Appends a line when the request carries a key, or does not name the customer that its attempt id states.
    void checkIdentity(const Request& request);
    // How long work takes now, in percent of the usual time.
    int pace() const;
    // The numbers of running and waiting requests and of slots, and the pace if it changes. The caller holds the lock.
    std::string load() const;
    // Headers of the answer to a request that runs. The caller holds the lock.
    std::vector<HeaderField> answerHeaders(const std::string& attempt) const;
    void registrationLoop(std::uint16_t port);
    // Counts an overcommitment when `required` exceeds `capacity`.
    void checkCapacity(std::size_t required, std::size_t capacity);
    // Appends one line to the record; the caller holds the lock.
    void appendRecord(const std::string& line);

    const WorkerOptions options_;
    const bool servesModels_;
    std::mutex mutex_;
    std::map<std::string, std::set<std::string>> models_;
    std::string loading_;
    std::chrono::steady_clock::time_point loadedAt_;
    std::uint64_t sequence_ = 0;
    std::uint64_t overcommits_ = 0;
    std::int64_t startedMs_ = 0;
    std::ofstream record_;
    std::map<std::string, int> executions_;
    std::map<std::string, std::uint64_t> holders_;
    std::uint64_t running_ = 0;
    std::uint64_t cancelled_ = 0;
    std::uint64_t identityViolations_ = 0;
};

} // namespace lychee::standin
