// Real processes before a worker that limits how many requests it takes from all instances.
#include "tests/support/GatewayDeployment.h"

#include <gtest/gtest.h>

#include <sstream>
#include <thread>

namespace lychee::test {
namespace {

using namespace std::chrono_literals;

// The most runs in a window of this length, from `settleMs` after the first run on.
int mostRuns(const std::vector<std::string>& record, std::int64_t windowMs, std::int64_t settleMs)
{
    std::vector<std::int64_t> times;
    for (const std::string& line : record) {
        std::istringstream words(line);
        std::string kind;
        std::string attempt;
        std::int64_t time = 0;
        if (words >> kind >> attempt >> time && kind == "run")
            times.push_back(time);
    }
    std::ptrdiff_t most = 0;
    for (auto first = times.begin(); first != times.end(); ++first) {
        if (*first < times.front() + settleMs)
            continue;
        const auto end = std::upper_bound(first, times.end(), *first + windowMs);
        most = std::max(most, end - first);
    }
    return static_cast<int>(most);
}

// Guards against a target in need that gets more than the requests that it has said it takes, because each instance
// uses the whole limit, and against one that gets none.
TEST(TargetLimitProcessTest, InstancesTogetherSendNoMoreThanATargetTakes)
{
    constexpr double perSecond = 2;
    constexpr int windowSeconds = 4;
    GatewayDeploymentOptions options;
    options.instances = 3;
    options.plainRequestLimit = perSecond;
    GatewayDeployment deployment(LYCHEE_BUILD_DIR, options);
    int sent = 0;
    int refusedWithoutTime = 0;
    const auto end = std::chrono::steady_clock::now() + 10s;
    while (std::chrono::steady_clock::now() < end) {
        for (std::size_t instance = 0; instance < deployment.instanceCount(); ++instance) {
            const HttpResponse answer = deployment.send(instance, "/safe/x", fmt::format("a{}", ++sent));
            refusedWithoutTime += answer.status == 503 && !answer.headers.find("Retry-After") ? 1 : 0;
        }
        std::this_thread::sleep_for(50ms);
    }
    const std::vector<std::string> record = deployment.readRecord("d0");
    EXPECT_LE(mostRuns(record, windowSeconds * 1000, 4000), 1.5 * perSecond * windowSeconds + 5);
    EXPECT_GE(mostRuns(record, windowSeconds * 1000, 4000), perSecond * windowSeconds / 2);
    EXPECT_EQ(refusedWithoutTime, 0);
}

} // namespace
} // namespace lychee::test
