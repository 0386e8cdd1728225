#include "coordination/Membership.h"

#include "tests/unit/SeededRandom.h"

#include <fmt/format.h>
#include <gtest/gtest.h>

#include <set>

namespace lychee {
namespace {

using namespace std::chrono_literals;

constexpr std::uint64_t orderSeed = 47;

TimePoint at(Duration time) { return TimePoint(time); }

MemberRecord member(
    int number, MemberState state = MemberState::Live, std::uint64_t refutation = 0, int dataCentres = 1)
{
    return {InstanceId(fmt::format("entry-{}", number)), DataCentreId(fmt::format("dc-{}", number % dataCentres)),
        "127.0.0.1", static_cast<std::uint16_t>(10000 + number), state, refutation};
}

std::optional<MemberState> stateOf(const Membership& membership, int number)
{
    const auto record = membership.find(member(number).id);
    return record.has_value() ? std::optional(record->state) : std::nullopt;
}

// Guards against instances whose views differ because messages arrived in different orders or twice.
TEST(Membership, TheOrderOfMergesDoesNotMatter)
{
    SeededRandom chance(orderSeed);
    for (int round = 0; round < 200; ++round) {
        constexpr int recordCount = 30;
        std::vector<MemberRecord> records;
        records.reserve(recordCount);
        for (int i = 0; i < recordCount; ++i)
            records.push_back(member(static_cast<int>(chance.between(1, 6)),
                static_cast<MemberState>(chance.between(0, 3)), static_cast<std::uint64_t>(chance.between(0, 3))));
        std::optional<std::vector<MemberRecord>> expected;
        for (int order = 0; order < 4; ++order) {
            Membership membership(member(0), {});
            for (std::size_t i = records.size(); i > 1; --i)
                std::swap(records[i - 1],
                    records[static_cast<std::size_t>(chance.between(0, static_cast<std::int64_t>(i) - 1))]);
            for (const MemberRecord& record : records)
                membership.merge(record, at(0s));
            for (const MemberRecord& record : records)
                EXPECT_FALSE(membership.merge(record, at(0s))) << "a repeated record changes the view";
            if (!expected.has_value())
                expected = membership.allRecords();
            EXPECT_EQ(membership.allRecords(), *expected) << "round " << round;
        }
    }
}

// Guards against a live instance that others consider dead.
TEST(Membership, AnInstanceRefutesAWorseRecordOfItself)
{
    Membership self(member(0), {});
    Membership other(member(1), {});
    other.merge(self.self(), at(0s));
    ASSERT_TRUE(other.suspect(member(0).id, at(1s)));
    EXPECT_TRUE(self.merge(*other.find(member(0).id), at(1s)));
    EXPECT_EQ(self.self().state, MemberState::Live);
    EXPECT_TRUE(other.merge(self.self(), at(2s)));
    EXPECT_EQ(stateOf(other, 0), MemberState::Live);
    EXPECT_TRUE(other.advance(at(1h)).empty());
    // A record that it is dead is refuted as well, and the refutation replaces the record of the dead instance.
    EXPECT_TRUE(self.merge(member(0, MemberState::Dead, self.self().refutation), at(2s)));
    EXPECT_TRUE(other.merge(member(0, MemberState::Dead, 1), at(2s)));
    EXPECT_TRUE(other.merge(self.self(), at(3s)));
    EXPECT_EQ(stateOf(other, 0), MemberState::Live);
}

// Guards against a dead instance that remains a member, and against one that counts as dead before the suspicion
// timeout.
TEST(Membership, AnUnrefutedSuspicionBecomesADeath)
{
    MembershipOptions options;
    options.suspicionTimeout = 3s;
    Membership membership(member(0), options);
    membership.merge(member(1), at(0s));
    EXPECT_TRUE(membership.suspect(member(1).id, at(1s)));
    EXPECT_FALSE(membership.suspect(member(1).id, at(2s))) << "a second suspicion must not prolong the first";
    EXPECT_TRUE(membership.advance(at(3999ms)).empty());
    EXPECT_EQ(membership.members().size(), 2U) << "a suspected instance is still a member";
    const std::vector<MemberRecord> dead = membership.advance(at(4s));
    ASSERT_EQ(dead.size(), 1U);
    EXPECT_EQ(dead.front().state, MemberState::Dead);
    EXPECT_EQ(membership.members().size(), 1U);
    EXPECT_FALSE(membership.merge(member(1), at(5s))) << "a late message must not bring the dead instance back";
    EXPECT_TRUE(membership.advance(at(4s + options.tombstoneRetention + 1s)).empty());
    EXPECT_FALSE(membership.find(member(1).id).has_value());
}

// Guards against an instance that gets new work although it said that it is leaving.
TEST(Membership, LeavingIsNotRevoked)
{
    Membership leaving(member(0), {});
    Membership other(member(1), {});
    const MemberRecord before = leaving.self();
    leaving.leave();
    EXPECT_TRUE(other.merge(leaving.self(), at(0s)));
    EXPECT_FALSE(other.merge(before, at(1s))) << "the older record of the platform's list must not win";
    EXPECT_EQ(stateOf(other, 0), MemberState::Leaving);
    const std::vector<InstanceId> working = rankMembers(other.members(), "key");
    EXPECT_EQ(working, std::vector<InstanceId>{member(1).id});
    // It stays leaving when it refutes a suspicion.
    EXPECT_TRUE(other.suspect(member(0).id, at(2s)));
    EXPECT_TRUE(leaving.merge(*other.find(member(0).id), at(2s)));
    EXPECT_TRUE(other.merge(leaving.self(), at(3s)));
    EXPECT_EQ(stateOf(other, 0), MemberState::Leaving);
}

// Number of instances that a flood from instance 0 reaches; a link exists if either end chose the other as neighbour.
std::size_t reachedByFlood(int count, int dataCentres, const std::set<int>& dead)
{
    std::map<InstanceId, std::set<InstanceId>> links;
    for (int i = 0; i < count; ++i) {
        if (dead.contains(i))
            continue;
        Membership membership(member(i, MemberState::Live, 0, dataCentres), {});
        for (int other = 0; other < count; ++other) {
            if (other != i)
                membership.merge(
                    member(other, dead.contains(other) ? MemberState::Dead : MemberState::Live, 0, dataCentres),
                    at(0s));
        }
        const std::vector<MemberRecord> neighbours = membership.neighbours();
        const MembershipOptions defaults;
        EXPECT_LE(neighbours.size(), defaults.degree + defaults.remoteDegree);
        for (const MemberRecord& neighbour : neighbours) {
            links[membership.self().id].insert(neighbour.id);
            links[neighbour.id].insert(membership.self().id);
        }
    }
    std::set<InstanceId> reached{member(0).id};
    std::vector<InstanceId> open{member(0).id};
    while (!open.empty()) {
        const InstanceId id = open.back();
        open.pop_back();
        for (const InstanceId& next : links[id]) {
            if (reached.insert(next).second)
                open.push_back(next);
        }
    }
    return reached.size();
}

// Guards against instances that no flood reaches, in deployments of 2 to 200 instances, and after the loss of every
// third instance.
TEST(Membership, NeighboursConnectAllInstances)
{
    for (const int dataCentres : {1, 3, 4, 11}) {
        for (const int count : {2, 7, 24, 200}) {
            EXPECT_EQ(reachedByFlood(count, dataCentres, {}), static_cast<std::size_t>(count))
                << count << " instances, " << dataCentres << " data centres";
        }
    }
    std::set<int> dead;
    for (int i = 1; i < 200; i += 3)
        dead.insert(i);
    EXPECT_EQ(reachedByFlood(200, 11, dead), 200 - dead.size());
}

} // namespace
} // namespace lychee
