// Answers without a length that are whole.
#include "tests/gateway/UndelimitedAnswerFixture.h"

namespace lychee::test {
namespace {

using UndelimitedAnswerProcessTest = UndelimitedAnswerFixture;

// Guards against whole answers that are taken for cut ones.
TEST_F(UndelimitedAnswerProcessTest, WholeAnswersAreComplete)
{
    start(options());
    send({0, 1, 2});
    join();
    expectAllWholeAtOnce();
}

// Guards against whole answers that are taken for cut ones behind a relay.
TEST_F(UndelimitedAnswerProcessTest, WholeAnswersAreCompleteBehindARelay)
{
    start(withRelays());
    send({0, 1, 2});
    join();
    expectAllWholeAtOnce();
}

// Guards against whole answers that are taken for cut ones at the other side of a tunnel.
TEST_F(UndelimitedAnswerProcessTest, WholeAnswersAreCompleteBehindATunnel)
{
    start(withTargetLinks());
    detach(0);
    send({0});
    join();
    expectAllWholeAtOnce();
}

} // namespace
} // namespace lychee::test
