#include "tests/support/GatewayDeployment.h"

#include "tests/support/FreePort.h"

#include <absl/strings/escaping.h>

#include <fstream>
#include <stdexcept>
#include <thread>

namespace lychee::test {

namespace {

using nlohmann::json;

constexpr std::string_view urgentStreams = "/stream/y";

} // namespace

GatewayDeployment::GatewayDeployment(std::filesystem::path buildDirectory, GatewayDeploymentOptions options)
    : buildDirectory_(buildDirectory)
    , options_(std::move(options))
    , standins_(std::move(buildDirectory))
    , customers_(options_.customers)
{
    store_ = &standins_.startFleetStore();
    addWorker("e0", "hall", "m0,m1");
    addWorker("e1", "hall", "m0");
    for (int i = 0; i < options_.plainWorkers; ++i)
        addWorker(fmt::format("d{}", i), "desk", "");
    writeConfiguration(1, {"/stream/", "/safe/", "/unsafe/"});
    for (int i = 0; i < options_.instances; ++i)
        startInstance(i);
    for (std::size_t i = 0; i < instances_.size(); ++i) {
        const bool serves = eventually(
            [&] { return statusOf(instances_[i].readiness, "/") == 200 && send(i, "/safe/x", "first").status == 200; });
        if (!serves)
            throw std::runtime_error("an instance does not serve requests within the time limit; its log:\n"
                + instances_[i].process->logText());
    }
}

void GatewayDeployment::addWorker(const std::string& id, const std::string& service, const std::string& models)
{
    std::vector<std::string> flags{"--id=" + id, "--service=" + service, "--models=" + models,
        fmt::format("--store-port={}", store_->endpoint().port), fmt::format("--events={}", options_.events),
        fmt::format("--event-ms={}", options_.eventPause.count()), "--record=" + recordPath(id).string()};
    if (const auto version = options_.softwareVersions.find(id); version != options_.softwareVersions.end())
        flags.push_back("--software_version=" + version->second);
    if (options_.plainRequestLimit > 0 && models.empty())
        flags.push_back(fmt::format("--request-limit={}", options_.plainRequestLimit));
    if (options_.withoutLengthEvery > 0) {
        flags.push_back(fmt::format("--without-length-every={}", options_.withoutLengthEvery));
        flags.push_back(fmt::format("--pause-inside-ms={}", options_.pauseInside.count()));
    }
    if (options_.workersSharePorts)
        flags.emplace_back("--share-ports");
    if (options_.paceSeed != 0) {
        flags.emplace_back("--report-load");
        if (workers_.size() % 2 == 0)
            flags.push_back(fmt::format("--pace-seed={}", options_.paceSeed));
    }
    if (!options_.proxies) {
        workers_[id] = &standins_.startFleetWorker(std::move(flags));
        return;
    }
    auto& proxy = workerProxies_[id] = std::make_unique<FaultProxy>();
    flags.push_back(fmt::format("--advertise-port={}", proxy->endpoint().port));
    workers_[id] = &standins_.startFleetWorker(std::move(flags));
    proxy->setTarget(workers_[id]->endpoint());
}

std::filesystem::path GatewayDeployment::recordPath(const std::string& worker) const
{
    return standins_.directory().file(worker + ".record");
}

std::vector<std::string> GatewayDeployment::readRecord(const std::string& worker) const
{
    std::vector<std::string> lines;
    std::ifstream file(recordPath(worker));
    for (std::string line; std::getline(file, line);)
        lines.push_back(line);
    return lines;
}

std::vector<std::string> GatewayDeployment::workerIds() const
{
    std::vector<std::string> ids;
    for (const auto& [id, worker] : workers_)
        ids.push_back(id);
    return ids;
}

void GatewayDeployment::writeRow(const std::string& table, const std::string& key, const std::string& value)
{
    writeEncodedRow(table, key, absl::Base64Escape(absl::string_view(value.data(), value.size())));
}

void GatewayDeployment::writeEncodedRow(const std::string& table, const std::string& key, const std::string& encoded)
{
    transact({{"expected", json::array()},
        {"setKeys", {{{"table", table}, {"part", ""}, {"key", key}, {"value", encoded}}}}, {"remove", json::array()}});
}

void GatewayDeployment::removeWorkerRow(const std::string& key)
{
    transact({{"expected", json::array()}, {"setKeys", json::array()},
        {"remove", {{{"table", "servers"}, {"part", ""}, {"key", key}}}}});
}

void GatewayDeployment::transact(const json& body)
{
    HttpRequest write;
    write.method = "POST";
    write.target = "/v1/rows-tx";
    write.body = body.dump();
    const auto answer = store_->client().send(write);
    if (!answer.ok() || answer->status != 200)
        throw std::runtime_error("the stand-in of the store did not accept a row");
}

// Priority of a route when routes have several: the most urgent one has the number 0.
int GatewayDeployment::priorityOf(const std::string& prefix) const
{
    if (!options_.priorities)
        return 1;
    return prefix == urgentStreams || prefix == "/unsafe/" ? 0 : 2;
}

void GatewayDeployment::writeConfiguration(int version, const std::vector<std::string>& prefixes, const json& tenants)
{
    json routes = json::array();
    std::vector<std::string> all = prefixes;
    if (options_.priorities)
        all.emplace_back(urgentStreams);
    if (!options_.exemptPrefix.empty())
        all.push_back(options_.exemptPrefix);
    for (const std::string& prefix : all) {
        const bool once = prefix.starts_with("/once/");
        const bool stream = once || prefix.starts_with("/stream/");
        routes.push_back({{"name", "r" + std::to_string(routes.size())}, {"host", "a"}, {"prefix", prefix},
            {"kind",
                stream                     ? "streaming"
                    : prefix == "/unsafe/" ? "non_idempotent"
                                           : "idempotent"},
            {"timeoutMs", options_.routeTimeout.count()}, {"targetLatencyMs", 500}, {"priority", priorityOf(prefix)},
            {"service", stream ? "hall" : "desk"}, {"attempts", 2}, {"resumable", stream && !once},
            {"gapTargetMs", 600}, {"authExempt", prefix == "/open/" || prefix == options_.exemptPrefix}});
    }
    json models = json::array();
    for (const char* model : {"m0", "m1", "m2"})
        models.push_back({{"name", model}, {"weightsMb", 90}, {"loadS", 0.2}, {"adapters", 3}, {"adapterMb", 1}});
    json document{{"version", version}, {"routes", routes}, {"limits", callerLimits_},
        {"services",
            {{{"name", "hall"},
                 {"engine",
                     {{"slots", 16}, {"kvCapacity", 100000}, {"models", models}, {"weightsMb", 200},
                         {"adapterSlots", 2}, {"loadsPerS", 5}}}},
                {{"name", "desk"}}}}};
    const json& customers = tenants.empty() ? customers_ : tenants;
    if (!customers.empty())
        document["tenants"] = customers;
    writeRow("op", "config", document.dump());
}

void GatewayDeployment::startInstance(int index)
{
    GatewayInstance instance;
    instance.callers = {"127.0.0.1", freePort()};
    instance.readiness = {"127.0.0.1", freePort()};
    instance.metrics = {"127.0.0.1", freePort()};
    Endpoint store = store_->endpoint();
    if (options_.proxies) {
        instance.storeProxy = std::make_unique<FaultProxy>();
        instance.storeProxy->setTarget(store);
        store = instance.storeProxy->endpoint();
    }
    const auto settings = standins_.directory().file(fmt::format("instance-{}.ini", index));
    std::ofstream(settings) << fmt::format(
        "[instance]\nid = front-{0}\ndata_centre = a\n[callers]\nendpoint = {1}\n[readiness]\nendpoint = {2}\n"
        "[peers]\naddress = 127.0.0.1\nport = {3}\ntunnel_port = {7}\n[metrics]\nport = {4}\n[platform]\nendpoint = "
        "{5}\n"
        "[retries]\nwindow_s = {6}\n[placement]\nlease_ms = 500\n[stop]\ngrace_s = {8}\n",
        index, instance.callers.toString(), instance.readiness.toString(), freePort(), instance.metrics.port,
        store.toString(), options_.retryWindow.count(), freePort(), options_.grace.count());
    if (options_.revocationLimit) {
        std::ofstream(settings, std::ios::app)
            << fmt::format("[revocation]\nstrict = true\nlimit_ms = {}\n", options_.revocationLimit->count());
    }
    if (options_.targetLinks)
        addTargetLinks(instance, redirectTable(index));
    instances_.push_back(std::move(instance));
    launchInstance(instances_.size() - 1);
}

std::filesystem::path GatewayDeployment::redirectTable(std::size_t index) const
{
    return standins_.directory().file(fmt::format("instance-{}.redirects", index));
}

void GatewayDeployment::addTargetLinks(GatewayInstance& instance, const std::filesystem::path& table)
{
    std::ofstream file(table);
    for (const auto& [id, worker] : workers_) {
        const auto proxy = workerProxies_.find(id);
        const Endpoint listed = proxy == workerProxies_.end() ? worker->endpoint() : proxy->second->endpoint();
        auto& link = instance.targetLinks[id] = std::make_unique<FaultProxy>();
        link->setTarget(listed);
        file << fmt::format("{} {}\n", listed.port, link->endpoint().port);
    }
}

void GatewayDeployment::setTargetLinks(std::size_t instance, LinkFault fault)
{
    for (const auto& [id, link] : instances_[instance].targetLinks)
        link->setFault(fault);
}

void GatewayDeployment::launchInstance(std::size_t index)
{
    const auto settings = standins_.directory().file(fmt::format("instance-{}.ini", index));
    const auto log = standins_.directory().file(fmt::format("instance-{}.log", index));
    std::filesystem::path program = buildDirectory_ / "lycheecoursed";
    std::vector<std::string> arguments{"--interface=platform", "--settings=" + settings.string()};
    if (options_.targetLinks) {
        // The sanitizers' runtime wants to be loaded first.
        const char* sanitizer = std::getenv("ASAN_OPTIONS");
        arguments.insert(arguments.begin(),
            {"LD_PRELOAD=" + std::filesystem::absolute(buildDirectory_ / "connect_redirect.so").string(),
                "CONNECT_REDIRECTS=" + redirectTable(index).string(),
                fmt::format("ASAN_OPTIONS={}:verify_asan_link_order=0", sanitizer ? sanitizer : ""),
                std::exchange(program, "/usr/bin/env").string()});
    }
    auto process = ChildProcess::start(program, std::move(arguments), log);
    if (!process.ok())
        throw std::runtime_error("the daemon process cannot be started");
    instances_[index].process = std::move(*process);
}

int GatewayDeployment::statusOf(const Endpoint& endpoint, const std::string& target)
{
    HttpRequest get;
    get.target = target;
    const auto answer = TestHttpClient(endpoint, std::chrono::milliseconds(1000)).send(get);
    return answer.ok() ? answer->status : 0;
}

HttpRequest GatewayDeployment::request(const std::string& target, const std::string& attempt, const std::string& model)
{
    return {"POST", target,
        {{"Host", "a"}, {"X-Attempt-Id", attempt}, {"X-Model", model}, {"X-Token-Count", "100,40"},
            {"X-Deadline-Ms", "5000"}},
        "body"};
}

HttpResponse GatewayDeployment::send(
    std::size_t instance, const std::string& target, const std::string& attempt, const std::string& model)
{
    HttpRequest sent = request(target, attempt, model);
    if (!options_.key.empty())
        sent.headers.set("X-Credential", options_.key);
    const auto answer = TestHttpClient(instances_[instance].callers, waitLimit).send(sent);
    return answer.ok() ? *answer : HttpResponse{0, {}, std::string(answer.status().message())};
}

int GatewayDeployment::executions(const std::string& attempt)
{
    int count = 0;
    for (const auto& [id, worker] : workers_)
        count += worker->stats()["executions"].value(attempt, 0);
    return count;
}

std::uint64_t GatewayDeployment::overcommits()
{
    std::uint64_t count = 0;
    for (const auto& [id, worker] : workers_)
        count += worker->stats()["overcommits"].get<std::uint64_t>();
    return count;
}

std::string GatewayDeployment::expectedEvents()
{
    std::string text;
    for (int id = 1; id <= GatewayDeploymentOptions().events; ++id)
        text += fmt::format("id: {}\ndata: token-{}\n\n", id, id);
    return text;
}

} // namespace lychee::test
