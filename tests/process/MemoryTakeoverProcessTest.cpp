// Accelerator memory when the owner of a target is killed, with real processes.
#include "tests/process/MemoryDeployment.h"

#include <thread>

namespace lychee::test {
namespace {

using namespace std::chrono_literals;

// Guards against a lost load of a killed owner that its successor does not count, with writes of rows lost as well.
TEST(MemoryBound, OrdersOfAKilledOwnerAreKept)
{
    MemoryDeployment memory;
    Deployment& deployment = memory.deployment();
    const std::optional<std::size_t> owner = memory.ownerOfEngine(3, deployment.instance(0));
    ASSERT_TRUE(owner.has_value());
    // The orders arrive after a successor has taken over, which takes about 6 s: 1 s until a peer is silent, time to
    // connect anew, 3 s until it is dead, and the takeover itself.
    constexpr auto orderDelay = 11000ms;
    memory.postFaultToEngines(fault(orderPath, "delay", 2, orderDelay));
    const auto start = std::chrono::steady_clock::now();
    memory.changeTwoModels(1, 6);
    std::this_thread::sleep_for(700ms);
    memory.killInstance(*owner);
    // Orders on their way stay delayed; those of the successor are not.
    memory.clearFaults();
    deployment.platform().postFault(fault("/tables/transact", "drop_answer", 6));
    // The successor wants other versions than those that may still be loaded by the orders on their way.
    memory.changeTwoModels(1, 6);
    memory.awaitRecovery("owner killed during a swap");
    std::this_thread::sleep_until(start + orderDelay + 2000ms);
    EXPECT_EQ(memory.overcommits(), 0U) << "after the late orders";
}

} // namespace
} // namespace lychee::test
