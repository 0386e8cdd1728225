// The bound on the memory of all messages in progress.
#include "transport/MemoryBudget.h"

#include <gtest/gtest.h>

#include <vector>

namespace lychee {
namespace {

// Guards against a short message that is refused because long ones have used up the budget.
TEST(MemoryBudget, ShortMessagesAreNeverRefused)
{
    MemoryBudget budget(1000, 100);
    const auto large = budget.open([] {});
    EXPECT_TRUE(large->resize(1100));
    for (int i = 0; i < 100; ++i) {
        const auto small = budget.open([] {});
        EXPECT_TRUE(small->resize(100));
    }
    EXPECT_FALSE(large->isRevoked());
    EXPECT_EQ(budget.used(), 1000u);
}

// Guards against messages without end that take the place of sound ones.
TEST(MemoryBudget, TheLargestGivesUpFirst)
{
    MemoryBudget budget(1000, 0);
    int woken = 0;
    const auto endless = budget.open([&] { ++woken; });
    const auto sound = budget.open([] {});
    EXPECT_TRUE(endless->resize(800));
    EXPECT_TRUE(sound->resize(300));
    EXPECT_TRUE(endless->isRevoked());
    EXPECT_EQ(woken, 1);
    EXPECT_FALSE(endless->resize(801)) << "a message that has to give up gets nothing more";
    EXPECT_EQ(budget.used(), 300u);
    EXPECT_FALSE(sound->resize(1001)) << "a single message is bounded too";
}

// Guards against an answer that a target has completed and that is dropped while its caller reads it slowly.
TEST(MemoryBudget, ACompleteMessageIsKept)
{
    MemoryBudget budget(1000, 0);
    const auto complete = budget.open([] {});
    EXPECT_TRUE(complete->resize(800));
    complete->keep();
    const auto other = budget.open([] {});
    EXPECT_FALSE(other->resize(300));
    EXPECT_FALSE(complete->isRevoked());
}

// Guards against slow readers that keep the memory of all others: their answers give up first, but not before their
// time.
TEST(MemoryBudget, SlowReadersGiveUpFirst)
{
    TimePoint now;
    MemoryBudget budget(1000, 0, [&] { return now; });
    int cutOff = 0;
    const auto slow = budget.open([] {});
    EXPECT_TRUE(slow->resize(300));
    slow->deliverUntil(now + std::chrono::seconds(1), [&] { ++cutOff; });
    const auto sound = budget.open([] {});
    EXPECT_TRUE(sound->resize(600));
    const auto other = budget.open([] {});
    EXPECT_TRUE(other->resize(100));
    now += std::chrono::milliseconds(999);
    EXPECT_FALSE(budget.open([] {})->resize(700)) << "a reader is spared until its time";
    now += std::chrono::milliseconds(1);
    EXPECT_TRUE(other->resize(200));
    EXPECT_EQ(cutOff, 1);
    EXPECT_FALSE(sound->isRevoked());
    EXPECT_EQ(budget.used(), 800u);
}

// Guards against memory that stays counted after its message has ended.
TEST(MemoryBudget, EndedMessagesReturnTheirPart)
{
    MemoryBudget budget(1000, 10);
    for (int i = 0; i < 10; ++i) {
        const auto share = budget.open([] {});
        EXPECT_TRUE(share->resize(900));
        EXPECT_TRUE(share->resize(20));
        EXPECT_EQ(budget.used(), 10u);
    }
    EXPECT_EQ(budget.used(), 0u);
}

} // namespace
} // namespace lychee
