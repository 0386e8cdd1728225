// Simulates a back end that counts the executions of its calls.
#pragma once

#include "tests/standins/common/Standin.h"

#include <map>
#include <mutex>

namespace lychee::standin {

class Service final : public Application {
public:
    // `slots` is the number of calls that run at once, 0 for no limit; further ones are answered as not run.
    Service(std::chrono::milliseconds workTime, int slots);

    void handle(const Request& request, Connection& connection) override;

    nlohmann::json stats() override;

private:
    using Counts = std::map<std::string, std::uint64_t>;

    // Counts the start of an execution and returns its answer, or nothing when all slots are taken.
    std::optional<nlohmann::json> begin(const Request& request);

    const std::chrono::milliseconds workTime_;
    const int slots_;
    std::mutex mutex_;
    int running_ = 0;
    std::uint64_t total_ = 0;
    std::uint64_t notRun_ = 0;
    Counts byKey_;
    Counts byPath_;
    Counts byKeyAndPath_;
};

} // namespace lychee::standin
