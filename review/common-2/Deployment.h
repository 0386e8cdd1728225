// Starts instances of the daemon with the command of the deploy file, and what the cases share besides: the record, the
// configuration, clients, and child processes that end with the case.
#pragma once

#include "review/common-2/Store.h"

#include <csignal>
#include <cstdio>
#include <cstdlib>
#include <fcntl.h>
#include <fstream>
#include <set>
#include <sys/prctl.h>
#include <sys/stat.h>
#include <sys/wait.h>

namespace review {

inline std::int64_t clockMs()
{
    return std::chrono::duration_cast<Milliseconds>(Clock::now().time_since_epoch()).count();
}

// The start of the case on the steady clock, which its child processes get as a variable.
inline std::int64_t caseStart()
{
    static const std::int64_t start = [] {
        const char* given = std::getenv("REVIEW_START");
        return given ? std::atoll(given) : clockMs();
    }();
    return start;
}

// Milliseconds since the start of the case.
inline std::int64_t steadyMs() { return clockMs() - caseStart(); }

inline std::int64_t epochMs()
{
    return std::chrono::duration_cast<Milliseconds>(std::chrono::system_clock::now().time_since_epoch()).count();
}

// Appends lines to record.txt, each with the milliseconds since the start of the case.
class Record {
public:
    static Record& get()
    {
        static Record record;
        return record;
    }

    void open(const std::string& path)
    {
        caseStart();
        file_.open(path, std::ios::trunc);
    }

    void line(const std::string& text)
    {
        const std::lock_guard lock(mutex_);
        file_ << steadyMs() << " " << text << std::endl;
    }

private:
    std::mutex mutex_;
    std::ofstream file_;
};

inline void note(const std::string& text) { Record::get().line(text); }

// Child processes, ended by their ids when the case ends.
class Children {
public:
    static Children& get()
    {
        static Children children;
        return children;
    }

    pid_t start(const std::vector<std::string>& command, std::vector<std::string> environment, const std::string& log)
    {
        environment.push_back("REVIEW_START=" + std::to_string(caseStart()));
        std::vector<char*> arguments;
        for (const std::string& word : command)
            arguments.push_back(const_cast<char*>(word.c_str()));
        arguments.push_back(nullptr);
        std::vector<char*> variables;
        for (const std::string& variable : environment)
            variables.push_back(const_cast<char*>(variable.c_str()));
        variables.push_back(nullptr);
        const pid_t parent = ::getpid();
        const pid_t id = ::fork();
        if (id == 0) {
            ::prctl(PR_SET_PDEATHSIG, SIGKILL);
            if (::getppid() != parent)
                ::_exit(1);
            const int out = ::open(log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0644);
            ::dup2(out, 1);
            ::dup2(out, 2);
            ::execve(arguments[0], arguments.data(), variables.data());
            ::_exit(127);
        }
        const std::lock_guard lock(mutex_);
        running_.insert(id);
        return id;
    }

    void signal(pid_t id, int number)
    {
        const std::lock_guard lock(mutex_);
        if (running_.contains(id))
            ::kill(id, number);
    }

    void kill(pid_t id)
    {
        const std::lock_guard lock(mutex_);
        if (running_.erase(id) == 0)
            return;
        ::kill(id, SIGKILL);
        ::waitpid(id, nullptr, 0);
    }

    // Whether the process runs; one that has ended by itself is reaped.
    bool isRunning(pid_t id)
    {
        const std::lock_guard lock(mutex_);
        if (!running_.contains(id))
            return false;
        if (::waitpid(id, nullptr, WNOHANG) == 0)
            return true;
        running_.erase(id);
        return false;
    }

    void killAll()
    {
        const std::lock_guard lock(mutex_);
        for (const pid_t id : running_) {
            ::kill(id, SIGKILL);
            ::waitpid(id, nullptr, 0);
        }
        running_.clear();
    }

private:
    std::mutex mutex_;
    std::set<pid_t> running_;
};

[[noreturn]] inline void finish(int code)
{
    Children::get().killAll();
    ::_exit(code);
}

[[noreturn]] inline void cannotRun(const std::string& reason)
{
    note("cannot run: " + reason);
    std::fprintf(stderr, "cannot run: %s\n", reason.c_str());
    finish(2);
}

struct Instance {
    std::string name;
    int front = 0;
    int ready = 0;
    int peers = 0;
    int metrics = 0;
    std::string settings;
    std::string log;
    pid_t process = 0;
};

struct Client {
    bool answered = false;
    // The answer ended as HTTP says it must.
    bool whole = false;
    Message answer;
    // Times of the pieces of the body, in milliseconds since the start of the case.
    std::int64_t endedAt = 0;
};

// Sends one request on a connection of its own.
inline Client send(int port, const std::string& method, const std::string& target,
    const std::vector<std::pair<std::string, std::string>>& headers, const std::string& body,
    Milliseconds limit = Milliseconds(16000))
{
    Client result;
    const auto connection = Connection::open(port);
    if (!connection)
        return result;
    std::string text = method + " " + target + " HTTP/1.1\r\n";
    for (const auto& [name, value] : headers)
        text += name + ": " + value + "\r\n";
    text += "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
    connection->write(text);
    const auto until = Clock::now() + limit;
    result.answered = connection->readHead(result.answer, true, until);
    result.whole = result.answered && connection->readBody(result.answer, true, until);
    result.endedAt = steadyMs();
    return result;
}

class Deployment {
public:
    // `sections` are added to the settings, as the template does where a deployment has tenants.
    Deployment(std::string folder, std::string scratch, std::string sections = {})
        : folder_(std::move(folder))
        , scratch_(std::move(scratch))
        , sections_(std::move(sections))
    {
    }

    Store store;

    Instance& addInstance(const std::string& name, const std::string& zone)
    {
        auto instance = std::make_unique<Instance>();
        instance->name = name;
        instance->front = freePort();
        instance->ready = freePort();
        // The port after that for peers is the one for tunnels.
        instance->peers = freePort();
        instance->metrics = freePort();
        instance->settings = scratch_ + "/" + name + ".ini";
        instance->log = scratch_ + "/" + name + ".log";
        const auto address = [](int port) { return "127.0.0.1:" + std::to_string(port); };
        std::ofstream(instance->settings)
            << "[instance]\nid = " << name << "\ndata_centre = " << zone
            << "\nregion = cardiff\n\n[callers]\nendpoint = " << address(instance->front)
            << "\n\n[readiness]\nendpoint = " << address(instance->ready)
            << "\n\n[peers]\naddress = 127.0.0.1\nport = " << instance->peers
            << "\n\n[metrics]\nport = " << instance->metrics << "\n\n[platform]\nendpoint = " << address(store.port())
            << "\n\n[retries]\npart = 0.2\nslack = 54\nwindow_s = 10\n\n"
            << "[placement]\nlease_ms = 3000\n\n[stop]\ngrace_s = 8\n"
            << sections_;
        instances.push_back(std::move(instance));
        return *instances.back();
    }

    // Starts the process of an instance, with the command of the deploy file.
    void start(Instance& instance)
    {
        instance.process = Children::get().start({folder_ + "/target/lycheecoursed", "--interface=platform"},
            {"LYCHEECOURSE_CONFIG=" + instance.settings, "PATH=/usr/bin:/bin"}, instance.log);
        note("start " + instance.name);
    }

    bool isReady(const Instance& instance) const
    {
        return send(instance.ready, "GET", "/v1/readiness", {{"Host", "x"}}, "", Milliseconds(1000)).answer.status
            == 200;
    }

    void awaitReady()
    {
        for (const auto& instance : instances) {
            for (int i = 0; !isReady(*instance); ++i) {
                if (i == 150)
                    cannotRun(instance->name + " is not ready");
                sleepMs(100);
            }
        }
    }

    std::vector<std::unique_ptr<Instance>> instances;

private:
    std::string folder_;
    std::string scratch_;
    std::string sections_;
};

} // namespace review
