// Tests, with real processes, that accelerator memory is not overcommitted when the owner of a target is killed.
#include "tests/process/MemoryDeployment.h"

#include <thread>

namespace lychee::test {
namespace {

using namespace std::chrono_literals;

// Guards against a delayed load order of a killed owner that the new owner does not count, while answers to writes of
// table rows are lost as well.
TEST(MemoryBound, OrdersOfAKilledOwnerAreKept)
{
    MemoryDeployment memory;
    Deployment& deployment = memory.deployment();
    const std::optional<std::size_t> owner = memory.ownerOfEngine(3, deployment.instance(0));
    ASSERT_TRUE(owner.has_value());
    // The orders are applied after another instance has taken over, which takes about 6 s: 1 s until the connection
    // counts as silent, the time of a reconnection attempt, 3 s until the instance is dead, and the takeover itself.
    constexpr auto orderDelay = 11000ms;
    memory.postFaultToEngines(fault(orderPath, "delay", 2, orderDelay));
    const auto start = std::chrono::steady_clock::now();
    memory.changeTwoModels(1, 6);
    std::this_thread::sleep_for(700ms);
    memory.killInstance(*owner);
    // Orders that were already sent stay delayed; those of the new owner are not delayed.
    memory.clearFaults();
    deployment.platform().postFault(fault("/tables/transact", "drop_answer", 6));
    // The new owner loads other versions than those that delayed orders may still load.
    memory.changeTwoModels(1, 6);
    memory.awaitRecovery("owner killed during a replacement of models");
    std::this_thread::sleep_until(start + orderDelay + 2000ms);
    EXPECT_EQ(memory.overcommits(), 0U) << "after the delayed orders were applied";
}

} // namespace
} // namespace lychee::test
