// Entry point of engine_standin.
#include "tests/standins/engine_standin/Engine.h"

#include <absl/flags/flag.h>
#include <fmt/format.h>

#include <random>
#include <thread>

ABSL_FLAG(std::uint64_t, memory_bytes, 80'000'000'000, "Accelerator memory.");
ABSL_FLAG(int, slots, 8, "Requests that make tokens at once.");
ABSL_FLAG(int, queue_limit, 64, "Requests that wait for a slot; further ones are answered as not run.");
ABSL_FLAG(double, tokens_per_second, 100, "Tokens a second of each slot.");
ABSL_FLAG(bool, honour_fencing, true, "Refuse orders with an old fence.");
ABSL_FLAG(std::string, platform, "", "ADDRESS:PORT of the weight store; without it a load takes a fixed time.");
ABSL_FLAG(int, load_ms, 0, "Time of a model load without a weight store.");
ABSL_FLAG(int, adapter_load_ms, 0, "Time of an adapter load without a weight store.");
ABSL_FLAG(int, report_lag_ms, 0, "Age of the load numbers in reports.");
ABSL_FLAG(int, event_lag_ms, 0, "Delay after which cache events become visible.");
ABSL_FLAG(double, event_gap, 0, "Share of cache events that are dropped, 0 to 1.");
ABSL_FLAG(std::uint64_t, cache_blocks, 4096, "Blocks in the prefix cache.");
ABSL_FLAG(int, prefill_ms, 0, "Time before the first token for each prefix block that is not cached.");
ABSL_FLAG(std::uint64_t, answer_tokens, 16, "Tokens of an answer without max_tokens.");
ABSL_FLAG(std::string, incarnation, "", "Incarnation in reports; random by default.");

namespace lychee::standin {
namespace {

bool simulateTransfer(const std::string& artifact)
{
    const bool isAdapter = modelOf(artifact) != artifact;
    const int time = isAdapter ? absl::GetFlag(FLAGS_adapter_load_ms) : absl::GetFlag(FLAGS_load_ms);
    std::this_thread::sleep_for(std::chrono::milliseconds(time));
    return true;
}

bool transfer(const std::string& artifact, std::uint64_t bytes)
{
    const std::string platform = absl::GetFlag(FLAGS_platform);
    const std::size_t colon = platform.rfind(':');
    if (colon == std::string::npos)
        return simulateTransfer(artifact);
    const auto port = static_cast<std::uint16_t>(std::strtoul(platform.c_str() + colon + 1, nullptr, 10));
    return httpGet(platform.substr(0, colon), port, fmt::format("/weights/{}?bytes={}", artifact, bytes)) == 200;
}

std::string randomIncarnation()
{
    std::random_device random;
    return fmt::format("{:08x}{:08x}", random(), random());
}

EngineOptions optionsFromFlags()
{
    using std::chrono::milliseconds;
    EngineOptions options;
    options.memoryBytes = absl::GetFlag(FLAGS_memory_bytes);
    options.slots = absl::GetFlag(FLAGS_slots);
    options.queueLimit = absl::GetFlag(FLAGS_queue_limit);
    options.tokensPerSecond = absl::GetFlag(FLAGS_tokens_per_second);
    options.honourFencing = absl::GetFlag(FLAGS_honour_fencing);
    options.reportLag = milliseconds(absl::GetFlag(FLAGS_report_lag_ms));
    options.eventLag = milliseconds(absl::GetFlag(FLAGS_event_lag_ms));
    options.eventGap = absl::GetFlag(FLAGS_event_gap);
    options.cacheBlocks = absl::GetFlag(FLAGS_cache_blocks);
    options.prefillPerBlock = milliseconds(absl::GetFlag(FLAGS_prefill_ms));
    options.answerTokens = absl::GetFlag(FLAGS_answer_tokens);
    const std::string incarnation = absl::GetFlag(FLAGS_incarnation);
    options.incarnation = incarnation.empty() ? randomIncarnation() : incarnation;
    return options;
}

} // namespace
} // namespace lychee::standin

int main(int argc, char** argv)
{
    using namespace lychee::standin;
    parseFlags(argc, argv);
    Engine engine(optionsFromFlags(), transfer);
    return runStandin(engine);
}
