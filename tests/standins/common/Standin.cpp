#include "tests/standins/common/Standin.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>
#include <fmt/format.h>

#include <atomic>
#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fstream>
#include <thread>
#include <unistd.h>

ABSL_FLAG(std::string, address, "127.0.0.1", "Address of both ports.");
ABSL_FLAG(std::uint16_t, port, 0, "Port of the service; 0 binds any free port.");
ABSL_FLAG(std::uint16_t, fault_port, 0, "Port for faults and statistics; 0 binds any free port.");
ABSL_FLAG(bool, share_ports, false, "Lets another process bind the same ports, which takes over when this one ends.");
ABSL_FLAG(int, without_length_every, 0,
    "One answer in so many has neither a length nor chunks and ends with its connection; 0 for none.");
ABSL_FLAG(int, pause_inside_ms, 0, "Pause in the middle of each plain answer of that kind.");
ABSL_FLAG(std::string, ports_file, "", "File that receives the bound ports.");

namespace lychee::standin {

namespace {

constexpr int crashExitCode = 9;

// Connections that are open, so that a fault can silence all of them.
class OpenConnections {
public:
    void add(const std::shared_ptr<Connection>& connection)
    {
        const std::lock_guard lock(mutex_);
        std::erase_if(connections_, [](const auto& entry) { return entry.expired(); });
        connections_.push_back(connection);
    }

    void silence()
    {
        const std::lock_guard lock(mutex_);
        for (const auto& entry : connections_) {
            if (const auto connection = entry.lock())
                connection->silence();
        }
    }

private:
    std::mutex mutex_;
    std::vector<std::weak_ptr<Connection>> connections_;
};

// Both ports of one stand-in.
class Server {
public:
    explicit Server(Application& application)
        : application_(application)
    {
    }

    void serveRequests(const std::shared_ptr<Connection>& connection)
    {
        connections_.add(connection);
        Request request;
        while (connection->read(request)) {
            if (connection->isSilent())
                continue;
            if (applyFaults(request, *connection))
                application_.handle(request, *connection);
        }
    }

    void serveFaults(const std::shared_ptr<Connection>& connection)
    {
        Request request;
        while (connection->read(request))
            connection->write(answerFaultPort(request));
    }

private:
    // Applies the faults that act before the effect. Returns false when the request must not be handled.
    bool applyFaults(const Request& request, Connection& connection)
    {
        AnswerFault answerFault;
        if (isWithoutLength(request.path())) {
            answerFault.noLength = true;
            answerFault.pauseInside = std::chrono::milliseconds(absl::GetFlag(FLAGS_pause_inside_ms));
        }
        bool handled = true;
        for (const Fault& fault : faults_.take(request.path(), request.body)) {
            switch (fault.kind) {
            case FaultKind::Delay:
                if (fault.afterEffect) {
                    answerFault.delay = fault.delay;
                    answerFault.delayAfterEvents = fault.afterEvents;
                } else {
                    std::this_thread::sleep_for(fault.delay);
                }
                break;
            case FaultKind::DropAnswer:
                answerFault.drop = true;
                answerFault.afterEvents = fault.afterEvents;
                answerFault.insideEvent = fault.insideEvent;
                answerFault.regularEnd = fault.regularEnd;
                break;
            case FaultKind::NoLength:
                answerFault.noLength = true;
                answerFault.pauseInside = fault.delay;
                break;
            case FaultKind::Silence:
                answerFault.silence = true;
                answerFault.afterEvents = fault.afterEvents;
                break;
            case FaultKind::Freeze:
                faults_.waitUntilCleared(fault.delay);
                break;
            case FaultKind::CrashOnBody:
                crashAfter(fault.delay);
                break;
            case FaultKind::Refuse:
                connection.close();
                handled = false;
                break;
            case FaultKind::NotRun:
                refuse(request, fault, connection);
                handled = false;
                break;
            case FaultKind::Leaving:
                answerFault.headers.push_back({"Server-Leaving", "1"});
                break;
            case FaultKind::IgnoreFencing:
            case FaultKind::HonourFencing:
                break;
            }
        }
        connection.setAnswerFault(answerFault);
        return handled;
    }

    // Orders, reports and health checks always have a length.
    bool isWithoutLength(const std::string& path)
    {
        const int every = absl::GetFlag(FLAGS_without_length_every);
        if (every == 0 || path.starts_with("/v1/") || path == "/health")
            return false;
        return answers_++ % static_cast<std::uint64_t>(every) == 0;
    }

    void refuse(const Request& request, const Fault& fault, Connection& connection)
    {
        application_.refused(request, fault.retryAfterSeconds);
        std::vector<HeaderField> headers{{"Lychee-Run", "no"}};
        if (fault.retryAfterSeconds > 0) {
            headers.push_back({"X-Not-Executed", "1"});
            headers.push_back({"Retry-After", std::to_string(fault.retryAfterSeconds)});
        }
        if (const auto attempt = request.header("X-Attempt-Id"))
            headers.push_back({"X-Attempt-Id", *attempt});
        connection.write(Response::json(503, {{"error", {{"message", "refused by a fault"}}}}, std::move(headers)));
    }

    // Ends the process without cleanup, as a crash does. With a delay, the request runs until then.
    static void crashAfter(std::chrono::milliseconds delay)
    {
        if (delay.count() == 0)
            ::_exit(crashExitCode);
        std::thread([delay] {
            std::this_thread::sleep_for(delay);
            ::_exit(crashExitCode);
        }).detach();
    }

    Response answerFaultPort(const Request& request)
    {
        const std::string path = request.path();
        if (request.method == "GET" && path == "/stats")
            return answerStats();
        if (request.method == "POST" && path == "/faults")
            return postFault(request.body);
        if (request.method == "DELETE" && path == "/faults") {
            application_.clearFencingFault();
            faults_.clear();
            return Response::json(200, nlohmann::json::object());
        }
        return Response::json(404, {{"error", "unknown path"}});
    }

    Response answerStats()
    {
        nlohmann::json stats = application_.stats();
        stats["faults_taken"] = faults_.taken();
        return Response::json(200, stats);
    }

    Response postFault(const std::string& body)
    {
        const auto fault = Fault::parse(body);
        if (!fault)
            return Response::json(400, {{"error", "malformed fault"}});
        if (fault->kind == FaultKind::IgnoreFencing || fault->kind == FaultKind::HonourFencing)
            application_.setFencingFault(fault->kind);
        else if (fault->openConnections)
            connections_.silence();
        else
            faults_.add(*fault);
        return Response::json(200, nlohmann::json::object());
    }

    Application& application_;
    FaultTable faults_;
    std::atomic<std::uint64_t> answers_{0};
    OpenConnections connections_;
};

// Writes a temporary file and renames it, so that readers never see an incomplete file.
bool writePortsFile(const std::string& path, std::uint16_t port, std::uint16_t faultPort)
{
    const std::string temporary = path + ".new";
    std::ofstream(temporary) << fmt::format("port={}\nfault_port={}\n", port, faultPort);
    return std::rename(temporary.c_str(), path.c_str()) == 0;
}

} // namespace

void parseFlags(int argc, char** argv)
{
    std::vector<std::string> arguments(argv, argv + argc);
    for (std::string& argument : arguments) {
        if (!argument.starts_with("--"))
            continue;
        const auto end = argument.begin() + static_cast<std::ptrdiff_t>(std::min(argument.find('='), argument.size()));
        std::replace(argument.begin() + 2, end, '-', '_');
    }
    std::vector<char*> pointers;
    pointers.reserve(arguments.size() + 1);
    for (std::string& argument : arguments)
        pointers.push_back(argument.data());
    pointers.push_back(nullptr);
    absl::ParseCommandLine(argc, pointers.data());
}

int runStandin(Application& application)
{
    sigset_t signals;
    sigemptyset(&signals);
    sigaddset(&signals, SIGTERM);
    sigaddset(&signals, SIGINT);
    pthread_sigmask(SIG_BLOCK, &signals, nullptr);
    std::signal(SIGPIPE, SIG_IGN);

    Server server(application);
    std::shared_ptr<Listener> requests;
    std::shared_ptr<Listener> faults;
    try {
        const bool share = absl::GetFlag(FLAGS_share_ports);
        requests = Listener::bind(absl::GetFlag(FLAGS_address), absl::GetFlag(FLAGS_port), share);
        faults = Listener::bind(absl::GetFlag(FLAGS_address), absl::GetFlag(FLAGS_fault_port), share);
    } catch (const std::exception& error) {
        fmt::print(stderr, "standin: cannot bind the service port or the fault port: {}\n", error.what());
        return 1;
    }
    requests->serve([&server](const auto& connection) { server.serveRequests(connection); });
    faults->serve([&server](const auto& connection) { server.serveFaults(connection); });
    application.listening(requests->port());
    fmt::print(stderr, "standin: port {}, fault port {}\n", requests->port(), faults->port());
    const std::string portsFile = absl::GetFlag(FLAGS_ports_file);
    if (!portsFile.empty() && !writePortsFile(portsFile, requests->port(), faults->port())) {
        fmt::print(stderr, "standin: cannot write the ports file {}\n", portsFile);
        ::_exit(1);
    }
    int received = 0;
    sigwait(&signals, &received);
    // Connection threads still use these objects, so no destructor may run.
    ::_exit(0);
}

} // namespace lychee::standin
