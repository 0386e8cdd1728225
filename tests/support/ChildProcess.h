// A program that a test starts and ends by its process id.
#pragma once

#include <absl/status/statusor.h>

#include <chrono>
#include <filesystem>
#include <optional>
#include <string>
#include <vector>

#include <sys/types.h>

namespace lychee::test {

// How a process ended.
struct ExitStatus {
    // Exit code, or nothing when a signal ended the process.
    std::optional<int> code;
    // Signal that ended the process, or 0.
    int signal = 0;

    bool operator==(const ExitStatus&) const = default;
};

// Used by one thread. Movable; the destructor kills and reaps the process.
class ChildProcess {
public:
    // Starts `program`; standard output and error are appended to `log`.
    static absl::StatusOr<ChildProcess> start(
        const std::filesystem::path& program, std::vector<std::string> arguments, const std::filesystem::path& log);

    ChildProcess(ChildProcess&& other) noexcept;
    ChildProcess& operator=(ChildProcess&& other) noexcept;
    ~ChildProcess();

    pid_t id() const { return id_; }

    // Whether the process has not ended yet.
    bool isRunning();

    // Sends SIGTERM and waits up to `limit`.
    absl::StatusOr<ExitStatus> stop(std::chrono::milliseconds limit);

    // Sends SIGTERM without waiting.
    void terminate();

    // Sends SIGHUP.
    void reload();

    // Sends SIGKILL and reaps the process.
    void kill();

    // Stops the process without ending it (SIGSTOP) and waits until it is stopped.
    void freeze();

    // Continues a frozen process.
    void resume();

    // Waits up to `limit` for the process to end. Error: kDeadlineExceeded.
    absl::StatusOr<ExitStatus> wait(std::chrono::milliseconds limit);

    // Everything the process has written so far.
    std::string logText() const;

private:
    ChildProcess(pid_t id, std::filesystem::path log);

    void signal(int number);
    void record(int status);

    pid_t id_ = -1;
    std::filesystem::path log_;
    std::optional<ExitStatus> exit_;
};

} // namespace lychee::test
