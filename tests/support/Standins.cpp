#include "tests/support/Standins.h"

#include "tests/support/FreePort.h"
#include "tests/support/PortsFile.h"

#include <stdexcept>

namespace lychee::test {

namespace {

constexpr const char* loopback = "127.0.0.1";

} // namespace

Standin::Standin(
    std::filesystem::path program, std::vector<std::string> flags, std::filesystem::path directory, std::string name)
    : program_(std::move(program))
    , flags_(std::move(flags))
    , directory_(std::move(directory))
    , name_(std::move(name))
    , endpoint_{loopback, freePort()}
    , faultEndpoint_{loopback, freePort()}
{
    launch();
}

void Standin::restart(const std::vector<std::string>& flags)
{
    if (process_->isRunning())
        throw std::runtime_error(name_ + " still runs");
    flags_.insert(flags_.end(), flags.begin(), flags.end());
    launch();
}

void Standin::replace(const std::vector<std::string>& flags)
{
    flags_.insert(flags_.end(), flags.begin(), flags.end());
    std::optional<ChildProcess> replaced = std::exchange(process_, std::nullopt);
    launch();
    replaced->kill();
}

void Standin::postFault(const nlohmann::json& fault) { callFaultPort("POST", "/faults", fault.dump()); }

void Standin::clearFaults() { callFaultPort("DELETE", "/faults", ""); }

nlohmann::json Standin::stats() { return callFaultPort("GET", "/stats", ""); }

TestHttpClient Standin::client(std::chrono::milliseconds limit) const { return {endpoint_, limit}; }

void Standin::launch()
{
    // A name for each launch, so that the file of an earlier one is never read.
    const std::filesystem::path portsFile = directory_ / fmt::format("{}.{}.ports", name_, ++launches_);
    std::vector<std::string> arguments{"--ports-file=" + portsFile.string(), fmt::format("--port={}", endpoint_.port),
        fmt::format("--fault-port={}", faultEndpoint_.port)};
    arguments.insert(arguments.end(), flags_.begin(), flags_.end());
    auto process = ChildProcess::start(program_, std::move(arguments), directory_ / (name_ + ".log"));
    if (!process.ok())
        throw std::runtime_error(std::string(process.status().message()));
    process_.emplace(std::move(*process));
    const auto ports = PortsFile::await(portsFile, defaultLimit, &*process_);
    if (!ports.ok())
        throw std::runtime_error(std::string(ports.status().message()));
    endpoint_.port = ports->port("port");
    faultEndpoint_.port = ports->port("fault_port");
}

nlohmann::json Standin::callFaultPort(const std::string& method, const std::string& target, const std::string& body)
{
    HttpRequest request;
    request.method = method;
    request.target = target;
    request.body = body;
    const auto response = TestHttpClient(faultEndpoint_, defaultLimit).send(request);
    if (!response.ok())
        throw std::runtime_error(fmt::format("{} {}: {}", name_, target, std::string(response.status().message())));
    if (response->status != 200)
        throw std::runtime_error(fmt::format("{} {}: {} {}", name_, target, response->status, response->body));
    return nlohmann::json::parse(response->body);
}

Standins::Standins(std::filesystem::path buildDirectory)
    : buildDirectory_(std::move(buildDirectory))
{
}

Standin& Standins::startFleetStore(std::vector<std::string> flags)
{
    return start("fleet_store_standin", std::move(flags));
}

Standin& Standins::startFleetWorker(std::vector<std::string> flags)
{
    return start("fleet_worker_standin", std::move(flags));
}

Standin& Standins::startPlatform(std::vector<std::string> flags) { return start("platform_standin", std::move(flags)); }

Standin& Standins::startEngine(std::vector<std::string> flags) { return start("engine_standin", std::move(flags)); }

Standin& Standins::startService(std::vector<std::string> flags) { return start("service_standin", std::move(flags)); }

Standin& Standins::start(const std::string& program, std::vector<std::string> flags)
{
    const std::string name = fmt::format("{}-{}", program, standins_.size());
    standins_.push_back(
        std::make_unique<Standin>(buildDirectory_ / program, std::move(flags), directory_.path(), name));
    return *standins_.back();
}

} // namespace lychee::test
