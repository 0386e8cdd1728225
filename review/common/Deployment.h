// Processes of lycheecoursed with the run command and the settings template of deploy/system.toml.
#pragma once

#include "Record.h"

#include <sys/types.h>

namespace review {

struct Front {
    std::string name;
    std::string zone;
    std::string address;
    pid_t process = 0;
    // When the process was started, in milliseconds of the record.
    std::int64_t startedAt = 0;
};

// Ports are the same on all machines; each machine has its own loopback address.
class Deployment {
public:
    // `repository` is the root of the repository, `directory` an existing folder for settings and logs.
    Deployment(std::string repository, std::string directory, Record& record);
    ~Deployment();

    // Adds a machine that reaches the store at this port, without starting its process.
    Front& addFront(const std::string& name, const std::string& zone, int zoneNumber, std::uint16_t storePort);

    void start(Front& front);

    // Sends SIGTERM and waits for the end; sends SIGKILL after the grace time.
    void stop(Front& front);

    // Sends SIGKILL and waits for the end.
    void kill(Front& front);

    std::vector<std::unique_ptr<Front>>& fronts() { return fronts_; }

    std::uint16_t callerPort() const { return ports_[0]; }

    bool isReady(const Front& front) const;

    // Waits until all machines report that they are ready.
    bool awaitReady(milliseconds limit) const;

private:
    void chooseFreePorts();
    std::string render(const Front& front, std::uint16_t storePort) const;

    std::string repository_;
    std::string directory_;
    Record& record_;
    std::vector<std::unique_ptr<Front>> fronts_;
    // Callers, readiness, peers and metrics.
    std::array<std::uint16_t, 4> ports_{};
    std::map<std::string, std::uint16_t> storePorts_;
};

} // namespace review
