// What an instance that is parted from its targets concludes of them.
#include "tests/gateway/UndelimitedAnswerFixture.h"

namespace lychee::test {
namespace {

using PartedInstanceProcessTest = UndelimitedAnswerFixture;

// Guards against whole answers that are broken off for good because an instance whose links refused connections, while
// no peer could help, has taken live targets for crashed ones.
TEST_F(PartedInstanceProcessTest, LiveTargetsAreNotTakenForCrashed)
{
    start(withTargetLinks());
    detach(0);
    send({0});
    for (const std::size_t peer : {1, 2})
        deployment().instance(peer).process->kill();
    join();
    forgetAnswers();
    deployment().setTargetLinks(0, LinkFault::None);
    for (const std::size_t peer : {1, 2})
        deployment().launchInstance(peer);
    // Direct ways are found again, and the peers know what the others know.
    std::this_thread::sleep_for(4s);
    send({0, 1, 2});
    join();
    expectAllWholeAtOnce();
}

} // namespace
} // namespace lychee::test
