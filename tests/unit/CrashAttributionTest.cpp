// Attribution of crashes to what requests share.
#include "fleet/CrashAttribution.h"
#include "tests/unit/SeededRandom.h"

#include <gtest/gtest.h>

namespace lychee::fleet {
namespace {

using namespace std::chrono_literals;

constexpr TimePoint start{1h};

TargetCrash crashOf(std::uint64_t number)
{
    return {TargetId(fmt::format("t{}", number)), TargetIncarnation(static_cast<std::int64_t>(number))};
}

RequestTraits request(std::uint64_t content, std::vector<std::uint64_t> parts)
{
    RequestTraits traits{RequestTrait(content), {}};
    for (const std::uint64_t part : parts)
        traits.promptParts.emplace_back(part);
    return traits;
}

std::uint64_t below(SeededRandom& random, std::uint64_t limit)
{
    return static_cast<std::uint64_t>(random.between(0, static_cast<std::int64_t>(limit) - 1));
}

// Guards against targets that crash one after another on requests of which no two are alike but share a prompt part.
TEST(CrashAttribution, BlocksThePromptPartThatSeveralCrashesShare)
{
    CrashAttribution attribution;
    EXPECT_TRUE(attribution.recordSuspect({crashOf(1), request(11, {1, 7})}, true, start).empty());
    attribution.recordAnswered(request(50, {1, 2}));
    EXPECT_TRUE(attribution.recordSuspect({crashOf(2), request(12, {1, 7})}, true, start).empty());
    attribution.recordAnswered(request(51, {1, 3}));
    EXPECT_EQ(attribution.recordSuspect({crashOf(3), request(13, {1, 7})}, true, start), std::vector{RequestTrait(7)});
    EXPECT_TRUE(attribution.isBlocked(request(14, {2, 7}), start));
    EXPECT_FALSE(attribution.isBlocked(request(15, {1, 2}), start));
}

// Guards against a sound prompt part that is blocked because it happened to be on the targets that crashed.
TEST(CrashAttribution, APartThatWasAnsweredMeanwhileIsNotBlocked)
{
    CrashAttribution attribution;
    for (std::uint64_t i = 1; i <= 20; ++i) {
        EXPECT_TRUE(attribution.recordSuspect({crashOf(i), request(100 + i, {1})}, true, start).empty());
        attribution.recordAnswered(request(200 + i, {1}));
    }
    EXPECT_FALSE(attribution.isBlocked(request(300, {1}), start));
}

// Guards against a prompt part that is blocked for the crashes of a single request, which is sent again and again.
TEST(CrashAttribution, RepeatsOfOneRequestBlockThatRequestOnly)
{
    CrashAttribution attribution;
    attribution.recordSuspect({crashOf(1), request(11, {1})}, true, start);
    EXPECT_EQ(attribution.recordSuspect({crashOf(2), request(11, {1})}, true, start), std::vector{RequestTrait(11)});
    attribution.recordSuspect({crashOf(3), request(11, {1})}, true, start);
    attribution.recordSuspect({crashOf(4), request(11, {1})}, true, start);
    EXPECT_TRUE(attribution.isBlocked(request(11, {1}), start));
    EXPECT_FALSE(attribution.isBlocked(request(12, {1}), start));
}

// Guards against one crash that counts several times because several requests or instances report it.
TEST(CrashAttribution, EachCrashCountsOnce)
{
    CrashAttribution attribution;
    for (std::uint64_t i = 0; i < 10; ++i)
        EXPECT_TRUE(attribution.recordSuspect({crashOf(1), request(11 + i, {7})}, i % 2 == 0, start).empty());
    EXPECT_FALSE(attribution.isBlocked(request(50, {7}), start));
}

// Guards against parts that are blocked for crashes of which the cause is known already.
TEST(CrashAttribution, CrashesOfABlockedPartAreNoEvidenceAgainstOthers)
{
    CrashAttribution attribution;
    for (std::uint64_t i = 1; i <= 2; ++i)
        attribution.recordSuspect({crashOf(i), request(10 + i, {7})}, true, start);
    attribution.recordSuspect({crashOf(3), request(30, {8})}, true, start);
    attribution.recordSuspect({crashOf(3), request(13, {7})}, true, start);
    for (std::uint64_t i = 4; i <= 5; ++i) {
        attribution.recordSuspect({crashOf(i), request(10 + i, {7})}, true, start);
        EXPECT_TRUE(attribution.recordSuspect({crashOf(i), request(30 + i, {8})}, true, start).empty());
    }
    EXPECT_FALSE(attribution.isBlocked(request(50, {8}), start));
}

// Guards against a sound request that is refused because it was twice on a target that a known cause crashed.
TEST(CrashAttribution, CrashesOfABlockedPartAreNoEvidenceAgainstRequestsBesideIt)
{
    CrashAttribution attribution;
    attribution.recordSuspect({crashOf(1), request(21, {8})}, true, start);
    for (std::uint64_t i = 1; i <= 3; ++i)
        attribution.recordSuspect({crashOf(i), request(10 + i, {7})}, true, start);
    EXPECT_TRUE(attribution.recordSuspect({crashOf(4), request(21, {8})}, true, start).empty());
    EXPECT_EQ(attribution.admit(request(21, {8}), start), CrashAdmission::Allowed);
}

// Guards against instances that block different parts because notices reach them in different order.
TEST(CrashAttribution, TheOrderOfNoticesDoesNotMatter)
{
    std::vector<CrashSuspect> suspects;
    for (std::uint64_t i = 1; i <= 4; ++i) {
        suspects.push_back({crashOf(i), request(10 + i, {1, 7})});
        suspects.push_back({crashOf(i), request(20 + i, {30 + i})});
    }
    SeededRandom random(7);
    for (int round = 0; round < 50; ++round) {
        CrashAttribution attribution;
        for (std::size_t i = suspects.size(); i > 1; --i)
            std::swap(suspects[i - 1], suspects[below(random, i)]);
        for (const CrashSuspect& suspect : suspects)
            attribution.recordSuspect(suspect, false, start);
        EXPECT_TRUE(attribution.isBlocked(request(50, {7}), start));
        for (std::uint64_t part = 31; part <= 34; ++part)
            EXPECT_FALSE(attribution.isBlocked(request(50, {part}), start));
    }
}

// Guards against a block that never ends although its requests have become harmless, and against trials by every
// instance, each of which costs a target while they are not.
TEST(CrashAttribution, OnlyTheObserverSendsTrialsAtGrowingIntervals)
{
    CrashAttribution observer;
    CrashAttribution peer;
    for (std::uint64_t i = 1; i <= 3; ++i) {
        observer.recordSuspect({crashOf(i), request(10 + i, {7})}, true, start);
        peer.recordSuspect({crashOf(i), request(10 + i, {7})}, false, start);
    }
    int trials = 0;
    TimePoint lastTrial = start;
    Duration lastInterval{0};
    for (TimePoint now = start; now < start + 5min; now += 1s) {
        EXPECT_EQ(peer.admit(request(60, {7}), now), CrashAdmission::Blocked);
        if (observer.admit(request(61, {7}), now) != CrashAdmission::Trial)
            continue;
        ++trials;
        EXPECT_GT(now - lastTrial, lastInterval);
        lastInterval = now - lastTrial;
        lastTrial = now;
    }
    EXPECT_GE(trials, 3);
    EXPECT_LE(trials, 4);
    const auto cleared = observer.recordAnswered(request(61, {7}));
    EXPECT_EQ(cleared, std::vector{RequestTrait(7)});
    peer.clear(cleared);
    EXPECT_EQ(observer.admit(request(62, {7}), lastTrial), CrashAdmission::Allowed);
    EXPECT_EQ(peer.admit(request(62, {7}), lastTrial), CrashAdmission::Allowed);
}

// Guards against an instance that joins and sends requests that all others refuse.
TEST(CrashAttribution, AnInstanceThatJoinsLearnsWhatIsSuspectedAndBlocked)
{
    CrashAttribution known;
    for (std::uint64_t i = 1; i <= 3; ++i)
        known.recordSuspect({crashOf(i), request(10 + i, {7})}, true, start);
    known.recordSuspect({crashOf(4), request(21, {8})}, true, start);
    known.recordSuspect({crashOf(5), request(22, {8})}, true, start);
    CrashAttribution joined;
    for (const CrashSuspect& suspect : known.suspects(start + 10s))
        joined.recordSuspect(suspect, false, start + 10s);
    for (const BlockedTrait& blocked : known.blockedTraits(start + 10s))
        joined.block(blocked, start + 10s);
    EXPECT_TRUE(joined.isBlocked(request(50, {7}), start + 10s));
    EXPECT_EQ(joined.recordSuspect({crashOf(6), request(23, {8})}, true, start + 10s), std::vector{RequestTrait(8)});
}

// Guards against a part that goes on crashing targets because its crashes were put down to another part, which turned
// out to be sound.
TEST(CrashAttribution, EvidenceCountsAgainWhenTheBlockThatExplainedItEnds)
{
    CrashAttribution attribution;
    attribution.recordSuspect({crashOf(4), request(14, {1})}, true, start);
    for (std::uint64_t i = 1; i <= 3; ++i)
        attribution.recordSuspect({crashOf(i), request(10 + i, {1, 7})}, true, start);
    EXPECT_TRUE(attribution.isBlocked(request(50, {1}), start));
    attribution.recordAnswered(request(51, {1}));
    EXPECT_FALSE(attribution.isBlocked(request(50, {1}), start));
    attribution.recordSuspect({crashOf(5), request(15, {7})}, true, start);
    EXPECT_TRUE(attribution.isBlocked(request(52, {7}), start));
}

CrashSuspect suspectOf(std::uint64_t crash, std::uint64_t content, Duration ran)
{
    return {crashOf(crash), request(content, {}), true, ran, {}};
}

// Guards against a request that crashes targets in the middle of its answers and is never recognized.
TEST(CrashAttribution, BlocksARequestThatCrashesTargetsInItsAnswers)
{
    CrashAttribution attribution;
    EXPECT_TRUE(attribution.recordSuspect(suspectOf(1, 11, 60ms), true, start).empty());
    EXPECT_TRUE(attribution.recordSuspect(suspectOf(2, 11, 60ms), true, start + 100ms).empty());
    EXPECT_EQ(attribution.recordSuspect(suspectOf(3, 11, 60ms), true, start + 2s), std::vector{RequestTrait(11)});
}

// Guards against sound requests that are blocked because they were sent again to the next target that a bad one ended.
TEST(CrashAttribution, ASoundRequestWithTheCrashesOfABadOneIsNotBlocked)
{
    constexpr std::uint64_t bad = 11;
    for (const bool badIsReportedLast : {false, true}) {
        CrashAttribution attribution;
        TimePoint now = start;
        for (std::uint64_t crash = 1; crash <= 4; ++crash) {
            std::vector<CrashSuspect> suspects;
            if (!badIsReportedLast)
                suspects.push_back(suspectOf(crash, bad, 60ms));
            // Fewer and fewer sound streams are on the same target again.
            for (std::uint64_t sound = 0; sound < 40; ++sound) {
                if (crash <= 1 + sound % 3)
                    suspects.push_back(suspectOf(crash, 100 + sound, 90ms));
            }
            if (badIsReportedLast)
                suspects.push_back(suspectOf(crash, bad, 60ms));
            for (const CrashSuspect& suspect : suspects) {
                attribution.recordSuspect(suspect, true, now);
                now += 1ms;
            }
            now += 100ms;
        }
        EXPECT_TRUE(attribution.isBlocked(request(bad, {}), now)) << badIsReportedLast;
        for (std::uint64_t sound = 0; sound < 40; ++sound)
            EXPECT_FALSE(attribution.isBlocked(request(100 + sound, {}), now)) << sound << badIsReportedLast;
    }
}

// Guards against requests and prompt parts that are blocked because many targets end at once for a reason of their own,
// such as a restart of a data centre.
TEST(CrashAttribution, CrashesAtTheSameTimeAreOnePieceOfEvidence)
{
    CrashAttribution attribution;
    for (std::uint64_t crash = 1; crash <= 12; ++crash) {
        const TimePoint now = start + crash * 30ms;
        for (std::uint64_t i = 0; i < 20; ++i) {
            const CrashSuspect suspect{crashOf(crash), request(crash % 2 == 0 ? 7 : 100 * crash + i, {1, 2 + i % 3}),
                i % 4 != 0, 2s + i * 10ms, {}};
            EXPECT_TRUE(attribution.recordSuspect(suspect, true, now).empty());
        }
    }
}

// Guards against an instance that sends a request which crashed two targets in a row elsewhere, because the reports of
// both crashes reached it together.
TEST(CrashAttribution, ReportsThatArriveTogetherAreStillASequence)
{
    CrashAttribution attribution;
    for (std::uint64_t crash = 1; crash <= 2; ++crash)
        attribution.recordSuspect({crashOf(crash), request(11, {}), false, 1ms, {}}, false, start);
    EXPECT_TRUE(attribution.isBlocked(request(11, {}), start));
}

// Guards against a prompt part that is never recognized because each request with it begins to answer.
TEST(CrashAttribution, BlocksAPromptPartThatCrashesTargetsInTheAnswers)
{
    CrashAttribution attribution;
    for (std::uint64_t crash = 1; crash <= 5; ++crash) {
        const TimePoint now = start + crash * 1s;
        attribution.recordSuspect({crashOf(crash), request(10 + crash / 2, {1, 7}), true, 60ms, {}}, true, now);
        attribution.recordAnswered(request(1000 + crash, {1, 3}));
    }
    EXPECT_TRUE(attribution.isBlocked(request(50, {7}), start + 6s));
    EXPECT_FALSE(attribution.isBlocked(request(51, {1, 4}), start + 6s));
}

// Guards against an instance that joins and takes the crashes that it is told of for one event.
TEST(CrashAttribution, AnInstanceThatJoinsLearnsWhenTheCrashesHappened)
{
    CrashAttribution known;
    known.recordSuspect(suspectOf(1, 11, 60ms), true, start);
    known.recordSuspect(suspectOf(2, 11, 60ms), true, start + 1s);
    CrashAttribution joined;
    const TimePoint now = start + 3s;
    joined.recordSuspects(known.suspects(now), false, now);
    EXPECT_EQ(joined.recordSuspect(suspectOf(3, 11, 60ms), true, now + 1s), std::vector{RequestTrait(11)});
}

// Guards against old evidence that costs time with each request, and that an instance that joins takes for new.
TEST(CrashAttribution, EvidenceExpiresWithoutFurtherCrashes)
{
    CrashAttribution attribution;
    attribution.recordSuspect({crashOf(1), request(11, {7})}, true, start);
    EXPECT_FALSE(attribution.isEmpty(start + 30s));
    EXPECT_EQ(attribution.suspects(start + 30s).size(), 1u);
    EXPECT_TRUE(attribution.suspects(start + 2min).empty());
    EXPECT_TRUE(attribution.isEmpty(start + 2min));
}

// Guards against blocks of sound requests while targets crash for another reason.
TEST(CrashAttribution, UnrelatedCrashesBlockNothing)
{
    SeededRandom random(20261205);
    CrashAttribution attribution;
    TimePoint now = start;
    std::uint64_t content = 1000;
    for (std::uint64_t crash = 1; crash <= 60; ++crash) {
        for (int suspect = 0; suspect < 3; ++suspect)
            attribution.recordSuspect(
                {crashOf(crash), request(++content, {below(random, 3), 10 + below(random, 25)})}, true, now);
        for (int answered = 0; answered < 20; ++answered)
            attribution.recordAnswered(request(++content, {below(random, 3), 10 + below(random, 25)}));
        now += 1s;
    }
    EXPECT_TRUE(attribution.blockedTraits(now).empty());
}

// Guards against parts that are told apart by their place or their size instead of their identity, and against a
// prompt whose last part, which no other request has, counts as shared.
TEST(CrashAttribution, TraitsAreTheSharedPartsAndTheContent)
{
    GenerationNeed first;
    first.parts = {{1, TokenCount(10)}, {2, TokenCount(20)}, {3, TokenCount(30)}};
    GenerationNeed second;
    second.parts = {{2, TokenCount(25)}, {9, TokenCount(5)}};
    const RequestTraits left = traitsOf("/a", "body", &first);
    const RequestTraits right = traitsOf("/a", "other", &second);
    ASSERT_EQ(left.promptParts.size(), 2u);
    ASSERT_EQ(right.promptParts.size(), 1u);
    EXPECT_EQ(left.promptParts[1], right.promptParts[0]);
    EXPECT_NE(left.content, right.content);
    EXPECT_NE(left.content, traitsOf("/b", "body", nullptr).content);
    EXPECT_EQ(left.content, traitsOf("/a", "body", nullptr).content);
}

} // namespace
} // namespace lychee::fleet
