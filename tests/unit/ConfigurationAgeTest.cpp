#include "fleet/ConfigurationAge.h"

#include <gtest/gtest.h>

namespace lychee::fleet {
namespace {

using namespace std::chrono_literals;

constexpr RevocationOptions strict{true, 5s};
constexpr Duration accepted = strict.limit - ConfigurationAge::margin;
const InstanceId owner("owner");
const RowVersion row(7);

TimePoint at(Duration time) { return TimePoint(time); }

// Has `reader` queried at `sentAt`, and lets it hear at `answeredAt` what `peer` knows.
void ask(ConfigurationAge& reader, const ConfigurationAge& peer, Duration sentAt, Duration answeredAt,
    RowVersion peerRow = row, RowVersion ownRow = row)
{
    const std::uint64_t call = reader.querySent(owner, at(sentAt));
    reader.peerAnswered(owner, call, {peer.age(at(answeredAt)).value_or(Duration::max()), peerRow}, ownRow);
}

// Guards against keys that are accepted before anything is known, or longer than the limit after the last read.
TEST(ConfigurationAge, AReadConfirmsAsOfWhenItWasSent)
{
    ConfigurationAge age(strict);
    EXPECT_FALSE(age.acceptsKeys(at(0s)));
    EXPECT_EQ(age.age(at(0s)), std::nullopt);
    age.readAnswered(at(10s));
    EXPECT_TRUE(age.acceptsKeys(at(10s + accepted)));
    EXPECT_FALSE(age.acceptsKeys(at(10s + accepted + 1ns)));
    age.readAnswered(at(8s));
    EXPECT_EQ(age.age(at(11s)), Duration(1s)) << "an earlier read that is answered later takes nothing back";
}

// Guards against instances that keep each other's old knowledge alive after the last one has lost the store.
TEST(ConfigurationAge, AChainOfStaleReadersDoesNotBecomeYounger)
{
    ConfigurationAge first(strict);
    ConfigurationAge second(strict);
    ConfigurationAge third(strict);
    first.readAnswered(at(0s));
    for (Duration time = 100ms; time < 10s; time += 100ms) {
        ask(second, first, time, time + 5ms);
        ask(third, second, time, time + 5ms);
        ask(first, third, time, time + 5ms);
        for (const ConfigurationAge* age : {&first, &second, &third}) {
            EXPECT_GE(age->age(at(time)), time);
            EXPECT_FALSE(time > accepted && age->acceptsKeys(at(time)));
        }
    }
    EXPECT_LE(second.age(at(10s)), Duration(10s + 50ms)) << "the statements of the first one count";
}

// Guards against a confirmation that counts from when the response arrives. A slow link, or a freeze of the querying
// instance between its query and the response, would make old knowledge look recent.
TEST(ConfigurationAge, ADelayedResponseCountsFromItsQuery)
{
    ConfigurationAge age(strict);
    const std::uint64_t call = age.querySent(owner, at(1s));
    // The response states 2 s and is read after a freeze of 30 s.
    age.peerAnswered(owner, call, {2s, row}, row);
    EXPECT_EQ(age.age(at(31s)), Duration(32s));
    EXPECT_FALSE(age.acceptsKeys(at(31s)));
    EXPECT_TRUE(age.isQueryDue(at(31s)));
}

// Guards against an instance that goes on accepting keys after it was frozen.
TEST(ConfigurationAge, AFrozenInstanceRefusesUntilItIsConfirmedAgain)
{
    ConfigurationAge age(strict);
    ConfigurationAge peer(strict);
    age.readAnswered(at(1s));
    EXPECT_FALSE(age.acceptsKeys(at(20s)));
    peer.readAnswered(at(19s));
    ask(age, peer, 20s, 20s + 10ms);
    EXPECT_TRUE(age.acceptsKeys(at(20s + 10ms)));
}

// Guards against the confirmation of a configuration that this instance does not have.
TEST(ConfigurationAge, ANewerRowOfThePeerConfirmsNothing)
{
    ConfigurationAge age(strict);
    ConfigurationAge peer(strict);
    peer.readAnswered(at(1s));
    ask(age, peer, 1s, 1s, RowVersion(8), RowVersion(7));
    EXPECT_FALSE(age.acceptsKeys(at(1s)));
    EXPECT_TRUE(age.isUnhelpful(owner));
    ask(age, peer, 1s, 1s, RowVersion(7), RowVersion(8));
    EXPECT_TRUE(age.acceptsKeys(at(1s))) << "an older row that was the newest at that time";
}

// Guards against messages that were not asked for, and against a response that is counted twice.
TEST(ConfigurationAge, OnlyResponsesToQueriesConfirm)
{
    ConfigurationAge age(strict);
    age.peerAnswered(owner, 1, {0ms, row}, row);
    const std::uint64_t call = age.querySent(owner, at(1s));
    age.peerAnswered(InstanceId("another"), call, {0ms, row}, row);
    age.peerAnswered(owner, call + 1, {0ms, row}, row);
    EXPECT_EQ(age.age(at(1s)), std::nullopt);
    age.peerAnswered(owner, call, {Duration::max(), row}, row);
    age.peerAnswered(owner, call, {0ms, row}, row);
    EXPECT_EQ(age.age(at(1s)), std::nullopt) << "the peer itself is not confirmed";
}

// Guards against queries by instances that read the store, and against a single lost response that leads to refusals.
TEST(ConfigurationAge, QueriesOnlyWhenReadsDoNotConfirm)
{
    ConfigurationAge age(strict);
    age.readAnswered(at(10s));
    EXPECT_FALSE(age.isQueryDue(at(12500ms)));
    EXPECT_TRUE(age.isQueryDue(at(12501ms)));
    const std::uint64_t call = age.querySent(owner, at(13s));
    EXPECT_FALSE(age.isQueryDue(at(13300ms)));
    EXPECT_TRUE(age.isQueryDue(at(13400ms))) << "no response in time";
    EXPECT_TRUE(age.isUnhelpful(owner));
    age.peerAnswered(owner, call, {2s, row}, row);
    EXPECT_FALSE(age.isQueryDue(at(13900ms)));
    EXPECT_TRUE(age.isQueryDue(at(14s)));
    age.querySent(owner, at(20s));
    EXPECT_FALSE(age.isQueryDue(at(20900ms))) << "once a second is enough while keys are refused anyway";
}

// Guards against reads that are held so long that those who rely on them refuse keys, and against long reads that go on
// when the peers no longer confirm.
TEST(ConfigurationAge, ReadsAreHeldForAFifthOfTheLimitAtMost)
{
    ConfigurationAge age(strict);
    EXPECT_EQ(age.maxReadWait(at(0s)), Duration(0));
    age.readAnswered(at(0s));
    EXPECT_EQ(age.maxReadWait(at(3500ms)), Duration(1s));
    EXPECT_FALSE(age.needsOwnRead(at(3500ms)));
    EXPECT_TRUE(age.needsOwnRead(at(3501ms)));
    EXPECT_EQ(age.maxReadWait(at(3501ms)), Duration(0));
}

// Guards against deployments that refuse keys, query peers or read the store more often without asking for it.
TEST(ConfigurationAge, WithoutStrictRevocationNothingChanges)
{
    const ConfigurationAge age(RevocationOptions{false, 5s});
    EXPECT_TRUE(age.acceptsKeys(at(1h)));
    EXPECT_FALSE(age.isQueryDue(at(1h)));
    EXPECT_FALSE(age.needsOwnRead(at(1h)));
    EXPECT_EQ(age.maxReadWait(at(1h)), Duration::max());
}

} // namespace
} // namespace lychee::fleet
