// Answers without a length that are cut on their way through the tunnel of a peer.
#include "tests/gateway/UndelimitedAnswerFixture.h"

namespace lychee::test {
namespace {

using CutByTunnelProcessTest = UndelimitedAnswerFixture;

// Guards against answers that end as complete because the peer that carries their tunnel was killed.
TEST_F(CutByTunnelProcessTest, APeerThatCarriesTunnelsIsKilled)
{
    start(withTargetLinks());
    detach(0);
    send({0});
    deployment().instance(1).process->kill();
    expectCutAnswersAreBroken();
}

// Guards against answers that end as complete because the grace time of the peer that carries their tunnel is over.
TEST_F(CutByTunnelProcessTest, APeerThatCarriesTunnelsIsStopped)
{
    GatewayDeploymentOptions slow = withTargetLinks();
    slow.eventPause = 150ms;
    slow.grace = 3s;
    start(slow);
    detach(0);
    send({0});
    EXPECT_TRUE(deployment().instance(1).process->stop(5s).ok());
    join();
    expectNoneCutAsComplete();
    expectSomeCut(once);
    expectAllWhole(resumable);
}

// Guards against the reset of a target that arrives as a regular end at the other side of a tunnel.
TEST_F(CutByTunnelProcessTest, ATargetResetsItsAnswersBehindATunnel)
{
    start(withTargetLinks());
    detach(0);
    for (const char* id : {"e0", "d0"})
        deployment().worker(id).postFault({{"kind", "drop_answer"}, {"count", -1}, {"after_events", events / 2}});
    send({0});
    join();
    expectNoneCutAsComplete();
    expectSomeCut(once);
    expectSomeCut(plainOnce);
}

} // namespace
} // namespace lychee::test
