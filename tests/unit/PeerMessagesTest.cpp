#include "protocol/PeerMessages.h"

#include "protocol/ProtocolError.h"
#include "tests/unit/SeededRandom.h"

#include <gtest/gtest.h>

#include <cmath>
#include <limits>

namespace lychee {
namespace {

constexpr std::uint64_t fuzzSeed = 41;
constexpr int fuzzRounds = 20000;

MemberRecord sampleMember()
{
    return {InstanceId("entry-1"), DataCentreId("dc-1"), "127.0.0.1", 8082, MemberState::Leaving, 7};
}

// One message of every type, in the order of the types.
std::vector<PeerMessage> samples()
{
    return {HelloMessage{sampleMember(), "nonce"}, ProofMessage{"proof"}, HeartbeatMessage{9},
        MembersMessage{{sampleMember(), sampleMember()}}, ConfigurationNotice{ConfigurationVersion(3), "hash"},
        ConfigurationRequest{ConfigurationVersion(2)},
        ConfigurationContent{ConfigurationVersion(3), "hash", std::string("any \0 bytes \xff", 12)},
        EnsureArtifact{5, TargetId("engine-1"), ArtifactId("river@1")}, EnsureResult{5, "memory is full"},
        DemandMessage{InstanceId("entry-1"), {{ArtifactId("river@1"), 0.25}}},
        GrantReleaseMessage{TargetId("engine-1"), "{}"}, CrashNoticeMessage{"notice"},
        FloodMessage{InstanceId("entry-1"), 11, encodePeerMessage(HeartbeatMessage{1})}};
}

// Guards against a field that one side writes and the other loses, in any type.
TEST(Access, EveryPeerMessageSurvivesTheWire)
{
    const std::vector<PeerMessage> messages = samples();
    ASSERT_EQ(messages.size(), std::variant_size_v<PeerMessage>);
    for (std::size_t type = 0; type < messages.size(); ++type) {
        ASSERT_EQ(messages[type].index(), type);
        const std::string encoded = encodePeerMessage(messages[type]);
        const auto decoded = decodePeerMessage(encoded);
        ASSERT_TRUE(decoded.ok()) << type << ": " << decoded.status();
        EXPECT_EQ(decoded->index(), type);
        // Encoding is a function of the fields, so equal encodings mean equal fields.
        EXPECT_EQ(encodePeerMessage(*decoded), encoded) << type;
    }
    const auto hello = std::get<HelloMessage>(*decodePeerMessage(encodePeerMessage(messages[0])));
    EXPECT_EQ(hello.self, sampleMember());
    EXPECT_EQ(hello.nonce, "nonce");
}

// Guards against a message that is read although a part of it is missing or follows it.
TEST(Access, TruncatedPeerMessagesAreMalformed)
{
    for (const PeerMessage& message : samples()) {
        const std::string encoded = encodePeerMessage(message);
        for (std::size_t length = 0; length < encoded.size(); ++length) {
            const auto decoded = decodePeerMessage(encoded.substr(0, length));
            EXPECT_EQ(errorOf<ProtocolError>(decoded.status()), ProtocolError::Malformed)
                << "type " << message.index() << " cut at " << length;
        }
        EXPECT_FALSE(decodePeerMessage(encoded + "x").ok()) << "type " << message.index();
    }
}

// Guards against a peer of another version, or a newer type, that is taken for something else.
TEST(Access, OtherVersionsAndTypesAreNamed)
{
    std::string message = encodePeerMessage(HeartbeatMessage{1});
    message[1] = 2;
    EXPECT_EQ(errorOf<ProtocolError>(decodePeerMessage(message).status()), ProtocolError::VersionUnsupported);
    message[1] = 1;
    message[2] = static_cast<char>(std::variant_size_v<PeerMessage>);
    EXPECT_EQ(errorOf<ProtocolError>(decodePeerMessage(message).status()), ProtocolError::UnknownType);
}

// Guards against a member state outside the enumeration, which later comparisons would take for a valid one.
TEST(Access, UnknownMemberStatesAreMalformed)
{
    MemberRecord record = sampleMember();
    record.state = static_cast<MemberState>(9);
    EXPECT_FALSE(decodePeerMessage(encodePeerMessage(MembersMessage{{record}})).ok());
}

// Guards against a load that lowers the demand of other instances, or makes the sum meaningless.
TEST(Access, ImpossibleLoadsAreMalformed)
{
    for (const double load : {-0.5, -2.0, std::numeric_limits<double>::infinity(), std::nan("")}) {
        const DemandMessage demand{InstanceId("entry-1"), {{ArtifactId("river@1"), load}}};
        EXPECT_FALSE(decodePeerMessage(encodePeerMessage(demand)).ok()) << load;
    }
}

// Guards against a crash, an exception or an allocation by a claimed size, on mutated and on random bytes.
TEST(Access, HostilePeerMessagesAreDecodedOrRefused)
{
    SeededRandom chance(fuzzSeed);
    const std::vector<PeerMessage> messages = samples();
    int accepted = 0;
    for (int round = 0; round < fuzzRounds; ++round) {
        std::string bytes;
        if (chance.percent(20)) {
            for (std::int64_t size = chance.between(0, 64); size > 0; --size)
                bytes += static_cast<char>(chance.between(0, 255));
        } else {
            bytes = encodePeerMessage(
                messages[static_cast<std::size_t>(chance.between(0, static_cast<std::int64_t>(messages.size()) - 1))]);
            for (std::int64_t changes = chance.between(1, 4); changes > 0; --changes) {
                const auto at
                    = static_cast<std::size_t>(chance.between(0, static_cast<std::int64_t>(bytes.size()) - 1));
                bytes[at] = static_cast<char>(chance.between(0, 255));
            }
        }
        const auto decoded = decodePeerMessage(bytes);
        if (!decoded.ok()) {
            EXPECT_TRUE(errorOf<ProtocolError>(decoded.status()).has_value()) << decoded.status();
            continue;
        }
        ++accepted;
        const auto again = decodePeerMessage(encodePeerMessage(*decoded));
        EXPECT_TRUE(again.ok()) << "round " << round << ", type " << decoded->index() << ": " << again.status();
    }
    // Mutations of text leave a message valid, so the fuzz reaches the fields and not only the frame.
    EXPECT_GT(accepted, 0);
}

} // namespace
} // namespace lychee
