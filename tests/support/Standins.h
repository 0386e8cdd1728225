// Starts the stand-ins for the systems around the daemon and controls their faults.
#pragma once

#include "tests/support/ChildProcess.h"
#include "tests/support/TemporaryDirectory.h"
#include "tests/support/TestHttpClient.h"

#include <nlohmann/json.hpp>

namespace lychee::test {

// One running stand-in. Functions that talk to the fault port throw std::runtime_error on failure, so that a test that
// posts a fault never runs without it.
class Standin {
public:
    // Starts `program` with `flags` and any free ports. Throws std::runtime_error on failure.
    Standin(std::filesystem::path program, std::vector<std::string> flags, std::filesystem::path directory,
        std::string name);

    const Endpoint& endpoint() const { return endpoint_; }

    const Endpoint& faultEndpoint() const { return faultEndpoint_; }

    ChildProcess& process() { return *process_; }

    // Starts the program anew on the same ports, after its process has ended. `flags` come after those of before, from
    // now on.
    void restart(const std::vector<std::string>& flags = {});

    // Starts a second process on the same ports and then kills the first one, so that the ports never refuse a
    // connection. The flags must contain `--share-ports`.
    void replace(const std::vector<std::string>& flags = {});

    // Posts a fault: the JSON of section 4.5.
    void postFault(const nlohmann::json& fault);

    void clearFaults();

    nlohmann::json stats();

    // A client for the service port.
    TestHttpClient client(std::chrono::milliseconds limit = defaultLimit) const;

    static constexpr std::chrono::milliseconds defaultLimit{10000};

private:
    void launch();
    nlohmann::json callFaultPort(const std::string& method, const std::string& target, const std::string& body);

    std::filesystem::path program_;
    std::vector<std::string> flags_;
    std::filesystem::path directory_;
    std::string name_;
    int launches_ = 0;
    Endpoint endpoint_;
    Endpoint faultEndpoint_;
    std::optional<ChildProcess> process_;
};

// All stand-ins of one test, with their logs in one temporary directory.
class Standins {
public:
    explicit Standins(std::filesystem::path buildDirectory);

    // References stay valid as long as this object.
    Standin& startPlatform(std::vector<std::string> flags = {});
    Standin& startEngine(std::vector<std::string> flags = {});
    Standin& startService(std::vector<std::string> flags = {});
    Standin& startFleetStore(std::vector<std::string> flags = {});
    Standin& startFleetWorker(std::vector<std::string> flags = {});

    const TemporaryDirectory& directory() const { return directory_; }

private:
    Standin& start(const std::string& program, std::vector<std::string> flags);

    std::filesystem::path buildDirectory_;
    TemporaryDirectory directory_;
    std::vector<std::unique_ptr<Standin>> standins_;
};

} // namespace lychee::test
