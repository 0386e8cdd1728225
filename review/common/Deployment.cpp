#include "Deployment.h"

#include <fcntl.h>
#include <signal.h>
#include <sys/prctl.h>
#include <sys/wait.h>
#include <unistd.h>

#include <random>
#include <sstream>
#include <stdexcept>

namespace review {

namespace {

namespace asio = boost::asio;

// Bounds of the small deployment cwmtaf-hire.
const Headers bounds{{"bounds.retryBudgetRatio", "0.2"}, {"bounds.retrySlack", "54"}, {"bounds.budgetWindowS", "10"},
    {"bounds.leaseMs", "3000"}, {"bounds.graceS", "8"}};

// `graceS` of the deployment.
constexpr milliseconds graceTime{8000};

std::string readFile(const std::string& path)
{
    std::ifstream file(path);
    if (!file)
        throw std::runtime_error("cannot read " + path);
    std::stringstream text;
    text << file.rdbuf();
    return text.str();
}

// The value of a key of deploy/system.toml that holds a text on one line.
std::string deployValue(const std::string& text, const std::string& key)
{
    const std::string start = "\n" + key + " = \"";
    const std::size_t at = text.find(start);
    if (at == std::string::npos)
        throw std::runtime_error("deploy/system.toml has no " + key);
    const std::size_t begin = at + start.size();
    return text.substr(begin, text.find('"', begin) - begin);
}

bool isFree(const std::string& address, std::uint16_t port)
{
    asio::io_context context;
    tcp::acceptor acceptor(context);
    boost::system::error_code error;
    acceptor.open(tcp::v4());
    acceptor.bind(tcp::endpoint(asio::ip::make_address(address), port), error);
    return !error;
}

} // namespace

Deployment::Deployment(std::string repository, std::string directory, Record& record)
    : repository_(std::move(repository))
    , directory_(std::move(directory))
    , record_(record)
{
    chooseFreePorts();
}

Deployment::~Deployment()
{
    for (const auto& front : fronts_) {
        if (front->process != 0)
            kill(*front);
    }
}

void Deployment::chooseFreePorts()
{
    // Below the range from which the system takes ports of outgoing connections.
    std::mt19937 random(std::random_device{}());
    std::uniform_int_distribution<int> base(12000, 30000);
    while (true) {
        const auto first = static_cast<std::uint16_t>(base(random));
        bool free = true;
        for (std::uint16_t i = 0; i < ports_.size(); ++i) {
            ports_[i] = static_cast<std::uint16_t>(first + i);
            free = free && isFree("0.0.0.0", ports_[i]);
        }
        if (free)
            return;
    }
}

Front& Deployment::addFront(const std::string& name, const std::string& zone, int zoneNumber, std::uint16_t storePort)
{
    auto front = std::make_unique<Front>();
    front->name = name;
    front->zone = zone;
    front->address = "127.1." + std::to_string(zoneNumber) + "." + std::to_string(fronts_.size() + 1);
    storePorts_[name] = storePort;
    fronts_.push_back(std::move(front));
    return *fronts_.back();
}

std::string Deployment::render(const Front& front, std::uint16_t storePort) const
{
    Headers values = bounds;
    values["nodeName"] = front.name;
    values["zone"] = front.zone;
    values["region"] = "cardiff";
    values["ip"] = front.address;
    values["listen.front"] = front.address + ":" + std::to_string(ports_[0]);
    values["listen.readyAddress"] = front.address + ":" + std::to_string(ports_[1]);
    values["internalPorts.0"] = std::to_string(ports_[2]);
    values["internalPorts.1"] = std::to_string(ports_[3]);
    values["platform.address"] = "127.0.0.1:" + std::to_string(storePort);
    const std::string deploy = readFile(repository_ + "/deploy/system.toml");
    std::string text = readFile(repository_ + "/" + deployValue(deploy, "template"));
    for (std::size_t at = text.find("{{"); at != std::string::npos; at = text.find("{{", at)) {
        const std::size_t end = text.find("}}", at);
        const std::string name = text.substr(at + 2, end - at - 2);
        const auto found = values.find(name);
        if (found == values.end())
            throw std::runtime_error("the template uses the unknown field " + name);
        text.replace(at, end + 2 - at, found->second);
    }
    return text;
}

void Deployment::start(Front& front)
{
    const std::string settings = directory_ + "/" + front.name + ".ini";
    std::ofstream(settings) << render(front, storePorts_.at(front.name));
    const std::string log = directory_ + "/" + front.name + ".log";
    const std::string variable = "LYCHEECOURSE_CONFIG=" + settings;
    std::vector<std::string> words;
    std::istringstream run(deployValue(readFile(repository_ + "/deploy/system.toml"), "run"));
    for (std::string word; run >> word;)
        words.push_back(word);
    std::vector<char*> arguments;
    for (std::string& word : words)
        arguments.push_back(word.data());
    arguments.push_back(nullptr);
    const std::string path = std::string("PATH=") + (::getenv("PATH") ? ::getenv("PATH") : "/usr/bin:/bin");
    std::array<char*, 3> environment{const_cast<char*>(path.c_str()), const_cast<char*>(variable.c_str()), nullptr};
    front.startedAt = record_.now();
    const pid_t child = ::fork();
    if (child == 0) {
        // The process ends with the script that has started it.
        ::prctl(PR_SET_PDEATHSIG, SIGKILL);
        const int output = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        ::dup2(output, STDOUT_FILENO);
        ::dup2(output, STDERR_FILENO);
        if (::chdir(repository_.c_str()) != 0)
            ::_exit(127);
        ::execve(arguments[0], arguments.data(), environment.data());
        ::_exit(127);
    }
    front.process = child;
    record_.line("start machine=" + front.name);
}

void Deployment::stop(Front& front)
{
    ::kill(front.process, SIGTERM);
    record_.line("stop machine=" + front.name);
    const auto limit = Clock::now() + graceTime;
    while (Clock::now() < limit) {
        if (::waitpid(front.process, nullptr, WNOHANG) == front.process) {
            front.process = 0;
            record_.line("stopped machine=" + front.name);
            return;
        }
        std::this_thread::sleep_for(milliseconds(20));
    }
    kill(front);
}

void Deployment::kill(Front& front)
{
    ::kill(front.process, SIGKILL);
    ::waitpid(front.process, nullptr, 0);
    front.process = 0;
    record_.line("kill machine=" + front.name);
}

bool Deployment::isReady(const Front& front) const
{
    return send(front.address, ports_[1], "GET", "/v1/readiness", {{"Host", "ready"}}, "", milliseconds(500)).status
        == 200;
}

bool Deployment::awaitReady(milliseconds limit) const
{
    const auto deadline = Clock::now() + limit;
    for (const auto& front : fronts_) {
        while (!isReady(*front)) {
            if (Clock::now() >= deadline)
                return false;
            std::this_thread::sleep_for(milliseconds(50));
        }
    }
    return true;
}

} // namespace review
