// Randomized soak: plays one run for each seed and counts the promises that were checked and broken.
#include "tests/soak/SoakRun.h"

#include <absl/flags/flag.h>
#include <absl/flags/parse.h>

#include <cstdio>
#include <fstream>

ABSL_FLAG(std::string, build_dir, "build", "Folder with the built programs.");
ABSL_FLAG(std::uint64_t, first_seed, 1, "Seed of the first run.");
ABSL_FLAG(int, seeds, 1, "Number of runs.");
ABSL_FLAG(std::string, seed_file, "", "Also plays the seeds at the beginning of the lines of this file.");
ABSL_FLAG(int, seconds, 12, "Length of the troubles of each run.");
ABSL_FLAG(int, instances, 3, "Instances of each run.");
ABSL_FLAG(bool, verbose, false, "Print the troubles of each run, and its calls that were not served.");
ABSL_FLAG(std::string, log_dir, "", "Where the logs of runs that break a promise are kept.");

namespace lychee::test {
namespace {

struct Totals {
    std::size_t runs = 0;
    std::size_t calls = 0;
    std::size_t served = 0;
    std::size_t checked = 0;
    std::size_t violations = 0;
};

void keepLogs(std::uint64_t seed, const std::vector<std::string>& violations, const RunRecord& record, SoakRun& run)
{
    const std::string directory = absl::GetFlag(FLAGS_log_dir);
    if (directory.empty())
        return;
    std::ofstream file(std::filesystem::path(directory) / fmt::format("soak-{}.log", seed));
    for (const std::string& text : violations)
        file << text << '\n';
    for (const Trouble& trouble : record.troubles)
        file << trouble.text() << '\n';
    file << run.logs();
}

void printRun(const RunRecord& record)
{
    for (const Trouble& trouble : record.troubles)
        fmt::print("  {}\n", trouble.text());
    for (const CallRecord& call : record.calls) {
        if (!call.isServed())
            fmt::print("  not served: {}\n", call.text());
    }
}

void playSeed(std::uint64_t seed, Totals& totals)
{
    SoakOptions options;
    options.buildDirectory = absl::GetFlag(FLAGS_build_dir);
    options.seed = seed;
    options.length = std::chrono::seconds(absl::GetFlag(FLAGS_seconds));
    options.instances = absl::GetFlag(FLAGS_instances);
    SoakRun run(options);
    const RunRecord record = run.play();
    Promises promises(record);
    const std::vector<std::string> violations = promises.violations();
    const auto served = static_cast<std::size_t>(std::count_if(
        record.calls.begin(), record.calls.end(), [](const CallRecord& call) { return call.isServed(); }));
    fmt::print("seed {:6}  {:3} troubles  {:5} calls  {:5} served  {:6} checks  {} broken\n", seed,
        record.troubles.size(), record.calls.size(), served, promises.checked(), violations.size());
    const auto resumed = std::count_if(
        record.takeUps.begin(), record.takeUps.end(), [](const TakeUpRecord& takeUp) { return takeUp.status == 200; });
    fmt::print("  {} of {} streams taken up, {} software versions\n", resumed, record.takeUps.size(),
        record.softwareVersions.size() + 1);
    for (const std::string& text : violations)
        fmt::print("  {}\n", text);
    if (absl::GetFlag(FLAGS_verbose))
        printRun(record);
    std::fflush(stdout);
    if (!violations.empty())
        keepLogs(seed, violations, record, run);
    ++totals.runs;
    totals.calls += record.calls.size();
    totals.served += served;
    totals.checked += promises.checked();
    totals.violations += violations.size();
}

std::vector<std::uint64_t> seeds()
{
    std::vector<std::uint64_t> list;
    std::ifstream file(absl::GetFlag(FLAGS_seed_file));
    for (std::string line; std::getline(file, line);) {
        if (!line.empty() && line.front() != '#')
            list.push_back(std::stoull(line));
    }
    for (int i = 0; i < absl::GetFlag(FLAGS_seeds); ++i)
        list.push_back(absl::GetFlag(FLAGS_first_seed) + static_cast<std::uint64_t>(i));
    return list;
}

int runSoak()
{
    Totals totals;
    for (const std::uint64_t seed : seeds())
        playSeed(seed, totals);
    fmt::print("{} runs, {} calls, {} served, {} checks of promises, {} broken\n", totals.runs, totals.calls,
        totals.served, totals.checked, totals.violations);
    return totals.violations == 0 && totals.served > 0 ? 0 : 1;
}

} // namespace
} // namespace lychee::test

int main(int argc, char** argv)
{
    absl::ParseCommandLine(argc, argv);
    try {
        return lychee::test::runSoak();
    } catch (const std::exception& error) {
        fmt::print(stderr, "soak: {}\n", error.what());
        return 2;
    }
}
