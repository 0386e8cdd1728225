// Answers without a length that are cut because the process of their target ends.
#include "tests/gateway/UndelimitedAnswerFixture.h"

namespace lychee::test {
namespace {

using CutByTargetProcessTest = UndelimitedAnswerFixture;

// Guards against cut answers that end as complete because a relay accepts connections for a target that has crashed.
TEST_F(CutByTargetProcessTest, ATargetIsKilledBehindARelay)
{
    start(withRelays());
    send({0, 1, 2});
    deployment().worker("e0").process().kill();
    deployment().worker("d0").process().kill();
    expectCutAnswersAreBroken();
}

// Guards against the same without a relay, where the address of the target refuses connections.
TEST_F(CutByTargetProcessTest, ATargetIsKilled)
{
    start(options());
    send({0, 1, 2});
    deployment().worker("e0").process().kill();
    deployment().worker("d0").process().kill();
    expectCutAnswersAreBroken();
}

// Guards against cut answers that end as complete because the next start of their target, under another id, accepts.
TEST_F(CutByTargetProcessTest, ATargetIsStartedAgainBehindARelayUnderANewId)
{
    start(withRelays());
    send({0, 1, 2});
    for (const char* id : {"e0", "d0"}) {
        deployment().worker(id).process().kill();
        deployment().worker(id).restart({fmt::format("--id={}-next", id)});
    }
    expectCutAnswersAreBroken();
}

// Guards against the same where the next start has the same id, so that only its birth tells it from the one before.
TEST_F(CutByTargetProcessTest, ATargetIsStartedAgainBehindARelayUnderTheSameId)
{
    start(withRelays());
    send({0, 1, 2});
    for (const char* id : {"e0", "d0"}) {
        deployment().worker(id).process().kill();
        deployment().worker(id).restart();
    }
    expectCutAnswersAreBroken();
}

// Guards against the same without a relay: the next process under a new id listens before the one before has ended.
TEST_F(CutByTargetProcessTest, ATargetIsReplacedUnderANewId)
{
    GatewayDeploymentOptions shared = options();
    shared.workersSharePorts = true;
    start(shared);
    send({0, 1, 2});
    for (const char* id : {"e0", "d0"})
        deployment().worker(id).replace({fmt::format("--id={}-next", id)});
    expectCutAnswersAreBroken();
}

// Guards against the same without a relay and under the same id.
TEST_F(CutByTargetProcessTest, ATargetIsReplacedUnderTheSameId)
{
    GatewayDeploymentOptions shared = options();
    shared.workersSharePorts = true;
    start(shared);
    send({0, 1, 2});
    for (const char* id : {"e0", "d0"})
        deployment().worker(id).replace();
    expectCutAnswersAreBroken();
}

} // namespace
} // namespace lychee::test
