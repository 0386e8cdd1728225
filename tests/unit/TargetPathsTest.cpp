// Whether connections to targets are opened directly or through a peer.
#include "fleet/TargetPaths.h"

#include <gtest/gtest.h>

namespace lychee::fleet {
namespace {

using namespace std::chrono_literals;

Endpoint targetAt(std::uint16_t number) { return {"10.0.0.1", number}; }

class TargetPathsTest : public testing::Test {
protected:
    void reachedOnlyByPeers(std::uint16_t number)
    {
        paths_.directFailed(targetAt(number), now_);
        paths_.peerOpened(targetAt(number), now_);
    }

    TargetPaths paths_;
    TimePoint now_ = TimePoint() + 100s;
};

// Guards against an instance that tries its broken links again with each request.
TEST_F(TargetPathsTest, TwoTargetsThatOnlyPeersReachShowThatItsOwnLinksAreLost)
{
    EXPECT_FALSE(paths_.startsAtPeer(targetAt(1)));
    reachedOnlyByPeers(1);
    EXPECT_TRUE(paths_.startsAtPeer(targetAt(1)));
    EXPECT_FALSE(paths_.startsAtPeer(targetAt(3)));
    reachedOnlyByPeers(2);
    EXPECT_TRUE(paths_.isDetached());
    EXPECT_TRUE(paths_.startsAtPeer(targetAt(3)));
}

// Guards against an instance that sends everything through peers because some targets have failed, or are out of its
// reach while it reaches others.
TEST_F(TargetPathsTest, TargetsThatFailedOrOthersThatAreReachedShowNoLoss)
{
    for (const std::uint16_t number : {1, 2, 3}) {
        paths_.directFailed(targetAt(number), now_);
        paths_.peersFailed(targetAt(number), now_);
    }
    EXPECT_FALSE(paths_.isDetached());
    reachedOnlyByPeers(1);
    now_ += 10ms;
    paths_.directOpened(targetAt(9), now_);
    now_ += 10ms;
    reachedOnlyByPeers(2);
    EXPECT_FALSE(paths_.isDetached());
    EXPECT_FALSE(paths_.startsAtPeer(targetAt(3)));
}

// Guards against requests that wait for peers each time a target has failed or a data centre is cut off.
TEST_F(TargetPathsTest, PeersAreNotAskedTimeAndAgainForWhatTheyDoNotReach)
{
    paths_.directFailed(targetAt(1), now_);
    EXPECT_TRUE(paths_.mayAskPeer(targetAt(1), now_));
    paths_.peersFailed(targetAt(1), now_);
    EXPECT_FALSE(paths_.mayAskPeer(targetAt(1), now_ + 1s));
    EXPECT_TRUE(paths_.mayAskPeer(targetAt(2), now_));
    paths_.peersSilent(targetAt(2), now_);
    EXPECT_FALSE(paths_.mayAskPeer(targetAt(3), now_));
    EXPECT_TRUE(paths_.mayAskPeer(targetAt(3), now_ + 1s));
    EXPECT_TRUE(paths_.mayAskPeer(targetAt(1), now_ + 2s));
}

// Guards against an instance that goes on using peers after its links have come back, and against one that goes back at
// the first sign.
TEST_F(TargetPathsTest, DirectWaysAreProbedInTurnUntilTwoWorkOneAfterAnother)
{
    reachedOnlyByPeers(1);
    reachedOnlyByPeers(2);
    const auto first = paths_.nextProbe();
    const auto second = paths_.nextProbe();
    ASSERT_TRUE(first && second);
    EXPECT_NE(*first, *second);
    paths_.directOpened(*first, now_);
    EXPECT_TRUE(paths_.isDetached());
    paths_.directFailed(*second, now_);
    paths_.directOpened(*second, now_);
    EXPECT_TRUE(paths_.isDetached());
    paths_.directOpened(*first, now_);
    EXPECT_FALSE(paths_.isDetached());
    EXPECT_EQ(paths_.nextProbe(), std::nullopt);
}

// Guards against an instance that stays detached although the targets by which it noticed the loss have left.
TEST_F(TargetPathsTest, TargetsThatHaveLeftAreNoProof)
{
    reachedOnlyByPeers(1);
    reachedOnlyByPeers(2);
    paths_.forget(targetAt(1));
    paths_.forget(targetAt(2));
    EXPECT_EQ(paths_.nextProbe(), std::nullopt);
    EXPECT_FALSE(paths_.isDetached());
}

} // namespace
} // namespace lychee::fleet
