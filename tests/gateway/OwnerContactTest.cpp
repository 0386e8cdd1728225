#include "gateway/OwnerContact.h"

#include <gtest/gtest.h>

namespace lychee::gateway {
namespace {

using namespace std::chrono_literals;

const InstanceId owner("owner");

TimePoint at(Duration time) { return TimePoint(time); }

// Guards against taking an owner that serves others for one that does not answer.
TEST(OwnerContact, LateAnswerIsNoSilenceWhileOtherMessagesArrive)
{
    OwnerContact contact;
    EXPECT_FALSE(contact.heard(owner, at(1s)));
    EXPECT_FALSE(contact.heard(owner, at(1200ms)));
    EXPECT_FALSE(contact.callUnanswered(owner, at(1500ms)));
    EXPECT_FALSE(contact.isSilent(owner));
}

// Guards against requests that all wait for a frozen owner, and against refusing them after it is heard again.
TEST(OwnerContact, OwnerThatSendsNothingIsSilentUntilItIsHeard)
{
    OwnerContact contact;
    contact.heard(owner, at(1s));
    EXPECT_TRUE(contact.callUnanswered(owner, at(1s + ControlLimits::maxOwnerCallSilence)));
    EXPECT_TRUE(contact.isSilent(owner));
    EXPECT_FALSE(contact.isSilent(InstanceId("other")));
    EXPECT_TRUE(contact.heard(owner, at(3s)));
    EXPECT_FALSE(contact.isSilent(owner));
    EXPECT_FALSE(contact.heard(owner, at(4s)));
}

// Guards against calls for every engine to a holder of the lease that may not send orders yet.
TEST(OwnerContact, HolderThatMayNotSendOrdersIsLeftAloneForAMoment)
{
    OwnerContact contact;
    contact.heard(owner, at(1s));
    EXPECT_TRUE(contact.isAvailable(owner, at(1s)));
    EXPECT_TRUE(contact.declined(owner, at(1s)));
    EXPECT_FALSE(contact.declined(owner, at(1s))) << "the same news twice";
    contact.heard(owner, at(1100ms));
    EXPECT_FALSE(contact.isAvailable(owner, at(1100ms)));
    EXPECT_FALSE(contact.isSilent(owner));
    EXPECT_TRUE(contact.isAvailable(InstanceId("successor"), at(1100ms)));
    EXPECT_TRUE(contact.isAvailable(owner, at(1s + ControlLimits::ownerDeclinePause)));
    contact.declined(owner, at(2s));
    contact.lost(owner);
    EXPECT_TRUE(contact.isAvailable(owner, at(2s)));
}

// Guards against an owner that stays silent on a connection that has replaced the one on which it was.
TEST(OwnerContact, NewConnectionEndsTheSilence)
{
    OwnerContact contact;
    contact.heard(owner, at(1s));
    ASSERT_TRUE(contact.callUnanswered(owner, at(9s)));
    contact.lost(owner);
    EXPECT_FALSE(contact.isSilent(owner));
    EXPECT_FALSE(contact.callUnanswered(owner, at(9s))) << "the end of the connection says it already";
}

} // namespace
} // namespace lychee::gateway
