// Tests, with real processes, that accelerator memory is not overcommitted when orders fail or an owner is paused.
#include "tests/process/MemoryDeployment.h"
#include "tests/unit/SeededRandom.h"

#include <thread>

namespace lychee::test {
namespace {

using namespace std::chrono_literals;

// Guards against a second use of memory that an unresolved order may still fill. Orders are lost, applied without an
// answer, and applied seconds late while two models are replaced on nearly full engines.
TEST(MemoryBound, HoldsWhileOrdersAreLostLateAndUnanswered)
{
    MemoryDeployment memory;
    constexpr std::uint64_t seed = 31;
    SeededRandom chance(seed);
    memory.postFaultToEngines(fault(orderPath, "drop_answer", static_cast<int>(chance.between(1, 2))));
    memory.postFaultToEngines(fault(orderPath, "delay", 2, std::chrono::milliseconds(chance.between(1000, 3000))));
    memory.deployment().engine(static_cast<std::size_t>(chance.between(0, 3))).postFault(fault(orderPath, "refuse", 1));
    memory.changeTwoModels(static_cast<int>(chance.between(0, 4)), static_cast<int>(chance.between(5, 9)));
    memory.awaitRecovery(fmt::format("seed {}: orders lost, late and unanswered", seed));
}

// Guards against orders of an owner that was paused and does not know that it was replaced, and against a replacement
// of models that uses memory of the previous owner's unresolved orders.
TEST(MemoryBound, APausedOwnerThatResumesChangesNothing)
{
    MemoryDeployment memory;
    Deployment& deployment = memory.deployment();
    // Engine 3 ignores fencing, so only the owner's own checks protect its memory.
    std::optional<std::size_t> owner;
    Deployment::await("engine 3 has an owner", [&] {
        owner = memory.ownerOfEngine(3, deployment.instance(0));
        return owner.has_value();
    });
    const Instance& observer = deployment.instance(*owner == 0 ? 1 : 0);
    memory.postFaultToEngines(fault(orderPath, "delay", 2, 4000ms));
    memory.changeTwoModels(0, 5);
    std::this_thread::sleep_for(500ms);
    deployment.instance(*owner).process->freeze();
    Deployment::await(
        "another owner of engine 3",
        [&] {
            const auto now = memory.ownerOfEngine(3, observer);
            return now.has_value() && now != owner;
        },
        recoveryLimit);
    // The new owner loads other versions than those that delayed orders may still load.
    memory.changeTwoModels(0, 5, observer);
    std::this_thread::sleep_for(2000ms);
    deployment.instance(*owner).process->resume();
    memory.clearFaults();
    memory.awaitRecovery("owner paused during a replacement of models and resumed");
}

} // namespace
} // namespace lychee::test
