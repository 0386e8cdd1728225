#include "tests/support/ChildProcess.h"

#include <fmt/format.h>

#include <cerrno>
#include <csignal>
#include <cstring>
#include <fcntl.h>
#include <fstream>
#include <spawn.h>
#include <sstream>
#include <sys/wait.h>
#include <thread>
#include <unistd.h>

namespace lychee::test {

namespace {

constexpr std::chrono::milliseconds pollPeriod{2};

// The child starts with default signal handling, whatever the test's own is, and without the test's sockets, which
// would stay open in it after the test has closed them.
class SpawnSettings {
public:
    explicit SpawnSettings(const std::filesystem::path& log)
    {
        posix_spawn_file_actions_init(&actions);
        posix_spawn_file_actions_addopen(&actions, STDIN_FILENO, "/dev/null", O_RDONLY, 0);
        posix_spawn_file_actions_addopen(&actions, STDOUT_FILENO, log.c_str(), O_WRONLY | O_CREAT | O_APPEND, 0600);
        posix_spawn_file_actions_adddup2(&actions, STDOUT_FILENO, STDERR_FILENO);
        posix_spawn_file_actions_addclosefrom_np(&actions, STDERR_FILENO + 1);
        posix_spawnattr_init(&attributes);
        sigset_t none;
        sigemptyset(&none);
        posix_spawnattr_setsigmask(&attributes, &none);
        sigset_t defaults;
        sigemptyset(&defaults);
        for (const int number : {SIGTERM, SIGINT, SIGPIPE, SIGHUP})
            sigaddset(&defaults, number);
        posix_spawnattr_setsigdefault(&attributes, &defaults);
        posix_spawnattr_setflags(&attributes, POSIX_SPAWN_SETSIGMASK | POSIX_SPAWN_SETSIGDEF);
    }

    SpawnSettings(const SpawnSettings&) = delete;
    SpawnSettings& operator=(const SpawnSettings&) = delete;

    ~SpawnSettings()
    {
        posix_spawn_file_actions_destroy(&actions);
        posix_spawnattr_destroy(&attributes);
    }

    posix_spawn_file_actions_t actions;
    posix_spawnattr_t attributes;
};

} // namespace

absl::StatusOr<ChildProcess> ChildProcess::start(
    const std::filesystem::path& program, std::vector<std::string> arguments, const std::filesystem::path& log)
{
    const SpawnSettings settings(log);
    std::string name = program.string();
    std::vector<char*> pointers{name.data()};
    for (std::string& argument : arguments)
        pointers.push_back(argument.data());
    pointers.push_back(nullptr);
    pid_t id = -1;
    const int error = posix_spawn(&id, name.c_str(), &settings.actions, &settings.attributes, pointers.data(), environ);
    if (error != 0)
        return absl::InternalError(fmt::format("cannot start {}: {}", name, std::strerror(error)));
    return ChildProcess(id, log);
}

ChildProcess::ChildProcess(pid_t id, std::filesystem::path log)
    : id_(id)
    , log_(std::move(log))
{
}

ChildProcess::ChildProcess(ChildProcess&& other) noexcept
    : id_(std::exchange(other.id_, -1))
    , log_(std::move(other.log_))
    , exit_(std::move(other.exit_))
{
}

ChildProcess& ChildProcess::operator=(ChildProcess&& other) noexcept
{
    if (this != &other) {
        kill();
        id_ = std::exchange(other.id_, -1);
        log_ = std::move(other.log_);
        exit_ = std::move(other.exit_);
    }
    return *this;
}

ChildProcess::~ChildProcess() { kill(); }

bool ChildProcess::isRunning()
{
    if (id_ < 0 || exit_)
        return false;
    int status = 0;
    if (::waitpid(id_, &status, WNOHANG) == id_)
        record(status);
    return !exit_.has_value();
}

absl::StatusOr<ExitStatus> ChildProcess::stop(std::chrono::milliseconds limit)
{
    terminate();
    return wait(limit);
}

void ChildProcess::terminate() { signal(SIGTERM); }

void ChildProcess::reload() { signal(SIGHUP); }

void ChildProcess::kill()
{
    if (!isRunning())
        return;
    signal(SIGKILL);
    int status = 0;
    while (::waitpid(id_, &status, 0) < 0 && errno == EINTR) { }
    record(status);
}

void ChildProcess::freeze()
{
    signal(SIGSTOP);
    if (id_ < 0 || exit_)
        return;
    int status = 0;
    while (::waitpid(id_, &status, WUNTRACED) < 0 && errno == EINTR) { }
    if (!WIFSTOPPED(status))
        record(status);
}

void ChildProcess::resume() { signal(SIGCONT); }

absl::StatusOr<ExitStatus> ChildProcess::wait(std::chrono::milliseconds limit)
{
    const auto deadline = std::chrono::steady_clock::now() + limit;
    while (isRunning()) {
        if (std::chrono::steady_clock::now() >= deadline)
            return absl::DeadlineExceededError(fmt::format("process {} still runs after {} ms", id_, limit.count()));
        std::this_thread::sleep_for(pollPeriod);
    }
    if (!exit_)
        return absl::FailedPreconditionError("no process");
    return *exit_;
}

std::string ChildProcess::logText() const
{
    std::ostringstream text;
    text << std::ifstream(log_).rdbuf();
    return text.str();
}

// The process id stays reserved until it is reaped here, so that no other process can receive the signal.
void ChildProcess::signal(int number)
{
    if (isRunning())
        ::kill(id_, number);
}

void ChildProcess::record(int status)
{
    if (WIFEXITED(status))
        exit_ = ExitStatus{WEXITSTATUS(status), 0};
    else
        exit_ = ExitStatus{std::nullopt, WTERMSIG(status)};
}

} // namespace lychee::test
