#include "gateway/PaceReview.h"

#include <gtest/gtest.h>

namespace lychee::gateway {
namespace {

using namespace std::chrono_literals;

fleet::TargetRegistry createRegistry(int targets)
{
    fleet::TargetRegistry registry;
    for (int i = 0; i < targets; ++i) {
        fleet::TargetRecord record;
        record.id = TargetId(fmt::format("t{}", i));
        record.service = ServiceId("desk");
        registry.update(record);
    }
    return registry;
}

// Guards against metrics that grow with the deployment, and against values for targets that report no pace.
TEST(PaceReview, ShowsABoundedNumberOfTheSlowestTargets)
{
    constexpr int targets = 200;
    fleet::TargetRegistry registry = createRegistry(targets);
    EXPECT_TRUE(PaceReview::gauges(registry, TimePoint(1s)).empty());
    for (int i = 0; i < targets; ++i)
        registry.recordLoad(TargetId(fmt::format("t{}", i)), {0, 0, i == 7 ? 2.5 : 1}, TimePoint(1s));
    const std::vector<Gauge> gauges = PaceReview::gauges(registry, TimePoint(1100ms));
    EXPECT_EQ(gauges.size(), 128u);
    EXPECT_EQ(gauges.front().labels, "target=\"t7\",source=\"report\"");
    EXPECT_GT(gauges.front().value, 2);
    Metrics metrics;
    EXPECT_NE(
        metrics.prometheusText(gauges).find("lychee_target_pace_age_seconds{target=\"t7\"} 0.1\n"), std::string::npos);
}

} // namespace
} // namespace lychee::gateway
