#include "gateway/MeshMessages.h"

#include <gtest/gtest.h>

namespace lychee::gateway {
namespace {

using namespace std::chrono_literals;

// Guards against news of a pace or a load that gets lost between instances, and against those of targets without any.
TEST(MeshMessages, CarryPacesAndLoadsOnlyOfTargetsThatHaveThem)
{
    fleet::TargetWork work{4, {}, 6};
    work.prefill.add(fleet::Urgency(0), 5);
    work.prefill.add(fleet::Urgency(9), 7);
    const std::vector<fleet::TargetWorkReport> reports{{TargetId("a"), {1, {}, 3}, std::nullopt},
        {TargetId("b"), {}, fleet::PaceNews{2.5, 150ms, false}, fleet::AgedLoad{0, 20ms}},
        {TargetId("c"), work, fleet::PaceNews{0.1, 0ms, true}}};
    MeshStatus status;
    status.work = toMessage(reports);
    const auto decoded = decodeMeshMessage(encodeMeshMessage(status));
    ASSERT_TRUE(decoded.ok()) << decoded.status();
    const auto received = fromMessage(std::get<MeshStatus>(*decoded).work);
    ASSERT_EQ(received.size(), reports.size());
    for (std::size_t i = 0; i < reports.size(); ++i) {
        EXPECT_EQ(received[i].target, reports[i].target);
        EXPECT_EQ(received[i].work.running, reports[i].work.running);
        for (const int level : {0, 5, 9})
            EXPECT_EQ(received[i].work.prefill.ofUrgency(fleet::Urgency(level)),
                reports[i].work.prefill.ofUrgency(fleet::Urgency(level)));
        EXPECT_EQ(received[i].pace, reports[i].pace) << i;
        EXPECT_EQ(received[i].load, reports[i].load) << i;
    }
}

} // namespace
} // namespace lychee::gateway
