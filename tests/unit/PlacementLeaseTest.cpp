#include "fleet/PlacementLease.h"

#include <gtest/gtest.h>

#include <map>
#include <random>

namespace lychee::fleet {
namespace {

using namespace std::chrono_literals;

TimePoint at(Duration time) { return TimePoint(time); }

// The row in the platform's table, with compare-and-set.
struct Table {
    std::optional<LeaseRow> row;
    std::uint64_t version = 0;
    // How often the table was restored from a copy.
    std::uint64_t era = 0;

    bool write(RowVersion expected, const LeaseRow& next)
    {
        if (expected.value() != version)
            return false;
        row = next;
        ++version;
        return true;
    }
};

void read(PlacementLease& lease, const Table& table, TimePoint now)
{
    lease.observed(table.row, RowVersion(table.version), table.era, now);
}

// Performs one step of an instance; its calls to the table take no time.
void step(PlacementLease& lease, Table& table, TimePoint now, std::uint64_t knownEra = 0)
{
    switch (lease.next(now)) {
    case LeaseStep::Wait:
        return;
    case LeaseStep::Read:
        return read(lease, table, now);
    case LeaseStep::Write:
        // A restored store may find the condition met by a version that it has given out twice; its era shows that.
        if (const bool written = table.write(lease.expectedVersion(), lease.row()); written && table.era > knownEra)
            lease.failed(now);
        else if (written)
            lease.written(RowVersion(table.version), now, now);
        else
            read(lease, table, now);
        return;
    }
}

// Guards against a first start at which no instance may send orders for seconds although none has sent any before.
TEST(PlacementLease, FirstHolderActsAtOnce)
{
    Table table;
    PlacementLease lease(InstanceId("a"), {});
    step(lease, table, at(1s));
    EXPECT_FALSE(lease.maySendOrders(at(1s)));
    step(lease, table, at(1s));
    EXPECT_TRUE(lease.maySendOrders(at(1s)));
    EXPECT_EQ(lease.fence(), FencingNumber(1));
}

// Guards against orders of two holders to one target within one lease: the successor of a crashed holder waits until
// the last order that the crashed one could have sent is one lease old.
TEST(PlacementLease, SuccessorWaitsOutTheLastOrder)
{
    Table table;
    const PlacementLeaseOptions options;
    PlacementLease first(InstanceId("a"), options);
    PlacementLease second(InstanceId("b"), options);
    step(first, table, at(1s));
    step(first, table, at(1s));
    const TimePoint lastOrder = at(1s) + options.orderWindow - 1ms;
    ASSERT_TRUE(first.maySendOrders(lastOrder));
    ASSERT_FALSE(first.maySendOrders(at(1s) + options.orderWindow));
    // The first instance has crashed: it takes no further step.
    TimePoint now = at(1s);
    while (!second.maySendOrders(now)) {
        step(second, table, now);
        now += 50ms;
        ASSERT_LT(now, at(20s)) << "the lease is never taken over";
    }
    EXPECT_GE(now - lastOrder, options.lease);
    EXPECT_EQ(second.fence(), FencingNumber(2));
}

// Guards against a holder that continues to send orders after a pause or suspension in which others acquired the lease.
TEST(PlacementLease, HolderThatPausedDoesNotAct)
{
    Table table;
    PlacementLease first(InstanceId("a"), {});
    PlacementLease second(InstanceId("b"), {});
    step(first, table, at(1s));
    step(first, table, at(1s));
    for (TimePoint now = at(1s); now < at(9s); now += 50ms)
        step(second, table, now);
    ASSERT_TRUE(second.maySendOrders(at(9s)));
    EXPECT_FALSE(first.maySendOrders(at(9s)));
    step(first, table, at(9s));
    EXPECT_FALSE(first.isHolder());
    EXPECT_FALSE(first.maySendOrders(at(9s)));
}

// Guards against orders too early after a write whose answer was lost: the row is read again, and if the write took
// effect, its sender waits as long as the lease of the previous holder requires.
TEST(PlacementLease, LostAnswerIsReadBack)
{
    Table table;
    table.row = LeaseRow{InstanceId("dead"), FencingNumber(4)};
    table.version = 7;
    PlacementLease lease(InstanceId("a"), {});
    read(lease, table, at(1s));
    TimePoint now = at(1s);
    while (lease.next(now) != LeaseStep::Write) {
        if (lease.next(now) == LeaseStep::Read)
            read(lease, table, now);
        now += 50ms;
    }
    ASSERT_TRUE(table.write(lease.expectedVersion(), lease.row()));
    lease.failed(now);
    EXPECT_FALSE(lease.maySendOrders(now));
    now += 600ms;
    ASSERT_EQ(lease.next(now), LeaseStep::Read);
    read(lease, table, now);
    EXPECT_TRUE(lease.isHolder());
    const TimePoint known = now;
    while (!lease.maySendOrders(now)) {
        step(lease, table, now);
        now += 50ms;
        ASSERT_LT(now, at(30s));
    }
    EXPECT_GE(now - known, PlacementLeaseOptions().lease);
}

// Guards against two holders that send orders within one lease, in random sequences of steps, pauses and lost answers
// of the table.
TEST(PlacementLease, NeverHasTwoHoldersWithinALease)
{
    constexpr int seeds = 200;
    for (int seed = 0; seed < seeds; ++seed) {
        std::mt19937 random(static_cast<std::uint32_t>(seed));
        Table table;
        PlacementLeaseOptions options;
        std::vector<PlacementLease> leases;
        std::vector<TimePoint> pausedUntil(3);
        for (int i = 0; i < 3; ++i) {
            options.acquireDelay = std::chrono::milliseconds(random() % 300);
            leases.emplace_back(InstanceId(fmt::format("instance-{}", i)), options);
        }
        std::optional<std::size_t> lastActor;
        TimePoint lastAct;
        for (TimePoint now = at(1s); now < at(60s); now += 20ms) {
            for (std::size_t i = 0; i < leases.size(); ++i) {
                if (now < pausedUntil[i])
                    continue;
                if (random() % 400 == 0)
                    pausedUntil[i] = now + std::chrono::milliseconds(random() % 6000);
                PlacementLease& lease = leases[i];
                const LeaseStep next = lease.next(now);
                if (next == LeaseStep::Write && random() % 10 == 0) {
                    // Half of the writes without an answer take effect.
                    if (random() % 2 == 0)
                        table.write(lease.expectedVersion(), lease.row());
                    lease.failed(now);
                } else {
                    step(lease, table, now);
                }
                if (!lease.maySendOrders(now))
                    continue;
                if (lastActor && *lastActor != i) {
                    ASSERT_GE(now - lastAct, options.lease) << "seed " << seed;
                }
                lastActor = i;
                lastAct = now;
            }
        }
        EXPECT_TRUE(lastActor.has_value()) << "seed " << seed;
    }
}

// Guards against a second in which no instance may send orders, because the others wait for the silence of a holder
// that has already said that it cannot renew the lease.
TEST(PlacementLease, RowOfAHolderThatCannotRenewIsReadAtOnce)
{
    Table table;
    table.row = LeaseRow{InstanceId("holder"), FencingNumber(4)};
    table.version = 7;
    PlacementLease lease(InstanceId("a"), {});
    read(lease, table, at(1s));
    lease.heardFromHolder(at(9800ms), true);
    EXPECT_EQ(lease.next(at(10s)), LeaseStep::Wait);
    table.version = 27;
    lease.heardFromHolder(at(10s), false);
    EXPECT_EQ(lease.next(at(10s)), LeaseStep::Read);
    TimePoint now = at(10s);
    for (; !lease.maySendOrders(now); now += 10ms) {
        step(lease, table, now);
        ASSERT_LT(now, at(20s));
    }
    const PlacementLeaseOptions options;
    EXPECT_GE(now - at(10s), options.orderWindow + options.lease);
    EXPECT_LE(now - at(10s), options.orderWindow + options.lease + 20ms);
}

// Runs instances until one has the lease and returns its index. `shares` are their parts of a processor; later ones
// read the table `lag` after those before them.
std::size_t takerOf(Table& table, const std::vector<double>& shares, Duration lag)
{
    std::vector<PlacementLease> leases;
    for (std::size_t i = 0; i < shares.size(); ++i) {
        PlacementLeaseOptions options;
        options.smallMachineDelay = smallMachineDelay(shares[i]);
        leases.emplace_back(InstanceId(fmt::format("instance-{}", i)), options);
    }
    for (TimePoint now = at(1s); now < at(20s); now += 10ms) {
        for (std::size_t i = 0; i < leases.size(); ++i) {
            if (now - at(1s) >= static_cast<int>(i) * lag)
                step(leases[i], table, now);
            if (leases[i].isHolder())
                return i;
        }
    }
    return shares.size();
}

// Guards against an owner on a small machine while there are larger ones: it cannot answer the calls of all instances.
TEST(PlacementLease, LargerMachineTakesTheLeaseFirst)
{
    Table first;
    EXPECT_EQ(takerOf(first, {0.12, 0.25, 0.12, 0.5}, 100ms), 3u);
    Table released;
    released.row = LeaseRow{InstanceId(), FencingNumber(4)};
    released.version = 7;
    EXPECT_EQ(takerOf(released, {0.12, 0.25, 0.12, 0.5}, 100ms), 3u);
    Table crashed;
    crashed.row = LeaseRow{InstanceId("dead"), FencingNumber(4)};
    crashed.version = 7;
    EXPECT_EQ(takerOf(crashed, {0.12, 0.25, 0.12, 0.5}, 100ms), 3u);
}

// Guards against small machines that leave placement without an owner, or without orders for longer than the lease
// requires.
TEST(PlacementLease, SmallMachineTakesTheLeaseBeforeOrdersMayBeSent)
{
    Table table;
    table.row = LeaseRow{InstanceId("dead"), FencingNumber(4)};
    table.version = 7;
    PlacementLeaseOptions options;
    options.acquireDelay = 300ms;
    options.smallMachineDelay = smallMachineDelay(0);
    PlacementLease lease(InstanceId("small"), options);
    TimePoint now = at(1s);
    for (; !lease.maySendOrders(now); now += 10ms) {
        step(lease, table, now);
        ASSERT_LT(now, at(20s));
    }
    EXPECT_LE(now - at(1s), options.orderWindow + options.lease + 20ms);
    EXPECT_EQ(smallMachineDelay(0.5), Duration(0));
    EXPECT_EQ(smallMachineDelay(4), Duration(0));
}

// Guards against a shutdown of the holder that leaves placement without an owner for longer than needed.
TEST(PlacementLease, ReleasedLeaseIsTakenSooner)
{
    Table table;
    PlacementLease first(InstanceId("a"), {});
    PlacementLease second(InstanceId("b"), {});
    step(first, table, at(1s));
    step(first, table, at(1s));
    step(second, table, at(1s));
    first.release();
    EXPECT_FALSE(first.maySendOrders(at(1s)));
    step(first, table, at(1100ms));
    EXPECT_TRUE(first.isReleased());
    TimePoint now = at(1200ms);
    while (!second.isHolder()) {
        step(second, table, now);
        now += 50ms;
        ASSERT_LT(now, at(3s));
    }
}

// Guards against a holder whose orders reach no target and that keeps all others from sending any; and against one that
// never takes the lease again.
TEST(PlacementLease, AHolderThatIsNoCandidateGivesTheLeaseUp)
{
    Table table;
    PlacementLease holder(InstanceId("a"), {});
    PlacementLease other(InstanceId("b"), {});
    Duration now = 0s;
    const auto run = [&](Duration time) {
        for (const Duration end = now + time; now < end; now += 50ms) {
            step(holder, table, at(now));
            step(other, table, at(now + 10ms));
        }
    };
    run(1s);
    ASSERT_TRUE(holder.maySendOrders(at(now)));
    holder.setCandidate(false);
    EXPECT_FALSE(holder.maySendOrders(at(now)));
    run(8s);
    EXPECT_TRUE(other.maySendOrders(at(now)));
    EXPECT_EQ(table.row->holder, InstanceId("b"));
    other.setCandidate(false);
    run(8s);
    EXPECT_TRUE(table.row->holder.empty());
    holder.setCandidate(true);
    run(8s);
    EXPECT_TRUE(holder.maySendOrders(at(now)));
}

// Guards against orders of two holders within one lease, and against a fencing number that is given out twice, after
// the store was restored from a copy: the row names a former holder, and the last one is not in it.
TEST(PlacementLease, ARestoredRowGivesNobodyTheRightToSendOrders)
{
    Table table;
    const PlacementLeaseOptions options;
    PlacementLease former(InstanceId("a"), options);
    step(former, table, at(1s));
    step(former, table, at(1s));
    ASSERT_TRUE(former.maySendOrders(at(1s)));
    const Table copy = table;
    PlacementLease last(InstanceId("b"), options);
    TimePoint now = at(1s);
    while (!last.maySendOrders(now)) {
        step(last, table, now);
        now += 50ms;
        ASSERT_LT(now, at(20s));
    }
    const FencingNumber lastFence = last.fence();
    const TimePoint restoredAt = now;
    table = copy;
    ++table.era;
    // The last holder sends orders until it learns of the restoration or its window ends.
    const TimePoint lastOrder = restoredAt + options.orderWindow;
    PlacementLease started(InstanceId("c"), options);
    std::map<PlacementLease*, std::uint64_t> knownEras{{&former, 0}, {&last, 0}, {&started, table.era}};
    bool resumed = false;
    for (now += 50ms; now < restoredAt + 20s; now += 50ms) {
        for (PlacementLease* lease : {&former, &last, &started}) {
            step(*lease, table, now, std::exchange(knownEras[lease], table.era));
            // The last holder may go on until its next call to the store.
            if (!lease->maySendOrders(now) || (lease == &last && lease->fence() == lastFence))
                continue;
            resumed = true;
            EXPECT_GE(now, restoredAt + options.lease);
            EXPECT_GE(now - lastOrder, options.lease - 100ms);
            EXPECT_GT(lease->fence(), lastFence);
        }
        EXPECT_FALSE(last.fence() == lastFence && last.maySendOrders(now) && now > lastOrder);
    }
    EXPECT_TRUE(resumed) << "the lease is never taken again";
}

// Guards against a former holder that takes the restored row for a lease of its own when it reads it once more, before
// it may take the lease anew; and against the same of one that starts after the restoration under the name in the row.
TEST(PlacementLease, AFormerHolderStaysWithoutRightWhileItReadsTheRestoredRow)
{
    for (const bool restarts : {false, true}) {
        Table table;
        PlacementLeaseOptions options;
        options.acquireDelay = 2s;
        PlacementLease former(InstanceId("a"), options);
        step(former, table, at(1s));
        step(former, table, at(1s));
        ASSERT_TRUE(former.maySendOrders(at(1s)));
        const FencingNumber formerFence = former.fence();
        // In the time that is lost, another instance takes the lease with the next fence and sends orders.
        ++table.era;
        std::uint64_t knownEra = 0;
        if (restarts) {
            former = PlacementLease(InstanceId("a"), options);
            knownEra = table.era;
        }
        bool resumed = false;
        for (TimePoint now = at(2s); now < at(20s); now += 50ms) {
            step(former, table, now, std::exchange(knownEra, table.era));
            // Until its next call to the store.
            if (!former.maySendOrders(now) || now < at(4s))
                continue;
            resumed = true;
            ASSERT_GT(former.fence(), formerFence.next()) << restarts;
        }
        EXPECT_TRUE(resumed) << "the lease is never taken again";
    }
}

} // namespace
} // namespace lychee::fleet
