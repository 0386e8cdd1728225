// Simulates an inference engine that serves the engine protocol over HTTP.
#pragma once

#include "tests/standins/common/Standin.h"
#include "tests/standins/engine_standin/BatchScheduler.h"
#include "tests/standins/engine_standin/EngineMemory.h"
#include "tests/standins/engine_standin/PrefixCache.h"

#include <atomic>

namespace lychee::standin {

struct EngineOptions {
    std::uint64_t memoryBytes = 0;
    int slots = 8;
    int queueLimit = 64;
    // Tokens a second of each slot.
    double tokensPerSecond = 100;
    bool honourFencing = true;
    std::chrono::milliseconds reportLag{0};
    std::chrono::milliseconds eventLag{0};
    double eventGap = 0;
    std::size_t cacheBlocks = 4096;
    // Time before the first token for each prefix block that is not cached.
    std::chrono::milliseconds prefillPerBlock{0};
    std::uint64_t answerTokens = 16;
    std::string incarnation;
};

// A request after its body was parsed.
struct Generation {
    std::string id;
    std::string model;
    std::string content;
    std::uint64_t tokens = 0;
    std::uint64_t resumeAfter = 0;
    int priority = 0;
    bool chat = false;
    bool stream = false;
};

class Engine final : public Application {
public:
    Engine(const EngineOptions& options, Transfer transfer);

    void handle(const Request& request, Connection& connection) override;

    nlohmann::json stats() override;

    void setFencingFault(FaultKind kind) override;

    void clearFencingFault() override;

private:
    using Clock = std::chrono::steady_clock;
    using CancelFlag = std::shared_ptr<std::atomic<bool>>;

    struct LoadSample {
        Clock::time_point at;
        BatchLoad load;
    };

    Response answerControl(const Request& request);
    Response answerOrder(const Request& request);
    Response answerReport();
    Response answerCancel(const std::string& id);
    Generation parseGeneration(const Request& request) const;
    void generate(const Request& request, Connection& connection);
    void runInSlot(const Generation& generation, const std::string& artifact, Connection& connection,
        const std::function<bool()>& isCancelled);
    bool stream(const Generation& generation, const std::string& artifact, Connection& connection,
        const std::function<bool()>& isCancelled);
    bool answerWhole(const Generation& generation, const std::string& artifact, Connection& connection,
        const std::function<bool()>& isCancelled);
    bool waitUntil(Clock::time_point due, const std::function<bool()>& isCancelled) const;
    Clock::time_point dueTime(Clock::time_point start, std::uint64_t tokens) const;
    void prefill(const Generation& generation, const std::function<bool()>& isCancelled);
    LoadSample laggedLoad();
    void sampleLoad();

    const EngineOptions options_;
    EngineMemory memory_;
    BatchScheduler scheduler_;
    PrefixCache cache_;
    std::mutex cancelMutex_;
    std::multimap<std::string, CancelFlag> cancelFlags_;
    std::mutex samplesMutex_;
    std::deque<LoadSample> samples_;
    std::atomic<std::uint64_t> requests_{0};
    std::atomic<std::uint64_t> completed_{0};
    std::atomic<std::uint64_t> cutOff_{0};
    std::atomic<std::uint64_t> notRun_{0};
    std::atomic<std::uint64_t> tokens_{0};
    // Streams of which a part has been sent.
    std::atomic<std::uint64_t> streaming_{0};
};

} // namespace lychee::standin
