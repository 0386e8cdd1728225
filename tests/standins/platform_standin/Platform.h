// Simulates the platform: tables, objects, the instance list and the weight store over HTTP.
#pragma once

#include "tests/standins/common/Standin.h"
#include "tests/standins/platform_standin/Instances.h"
#include "tests/standins/platform_standin/TableService.h"
#include "tests/standins/platform_standin/WeightStore.h"

#include <atomic>

namespace lychee::standin {

class Platform final : public Application {
public:
    Platform(std::chrono::milliseconds instanceLag, const WeightLimits& limits);

    void handle(const Request& request, Connection& connection) override;

    nlohmann::json stats() override;

private:
    Response answer(const Request& request);
    Response answerTables(const Request& request, const std::string& path);
    Response answerObjects(const Request& request, const std::string& key);
    Response answerInstances(const Request& request, const std::string& path);
    Response answerWeights(const Request& request, const std::string& artifact);

    TableService tables_;
    Instances instances_;
    WeightStore weights_;
    std::mutex objectsMutex_;
    std::map<std::string, std::string> objects_;
    std::atomic<std::uint64_t> reads_{0};
    std::atomic<std::uint64_t> writes_{0};
};

} // namespace lychee::standin
