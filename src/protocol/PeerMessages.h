// Messages between instances, encoded with msgpack.
#pragma once

#include "protocol/Ids.h"
#include "transport/HttpMessage.h"

#include <absl/status/statusor.h>

#include <string>
#include <tuple>
#include <variant>
#include <vector>

namespace lychee {

// Version of the protocol; peers with another version are refused.
inline constexpr std::uint64_t peerProtocolVersion = 1;

enum class MemberState : std::uint8_t {
    Live,
    // Takes no new work; finishes what it has.
    Leaving,
    // Did not answer on a new connection; dead unless it refutes that in time.
    Suspected,
    Dead,
};

// What is known of one instance. Of two records, the one with the higher refutation wins, then the worse state.
struct MemberRecord {
    InstanceId id;
    DataCentreId dataCentre;
    std::string address;
    std::uint16_t port = 0;
    MemberState state = MemberState::Live;
    // Raised by the instance itself whenever others hold a worse state of it than its own.
    std::uint64_t refutation = 0;

    Endpoint endpoint() const { return {address, port}; }
    auto fields() { return std::tie(id, dataCentre, address, port, state, refutation); }
    bool operator==(const MemberRecord&) const = default;
};

// First message on a connection, from both sides.
struct HelloMessage {
    MemberRecord self;
    std::string nonce;

    auto fields() { return std::tie(self, nonce); }
};

// Second message on a connection: shows that the sender holds the shared key.
struct ProofMessage {
    std::string proof;

    auto fields() { return std::tie(proof); }
};

struct HeartbeatMessage {
    std::uint64_t sequence = 0;

    auto fields() { return std::tie(sequence); }
};

// Everything that the sender knows, or what has changed.
struct MembersMessage {
    std::vector<MemberRecord> members;

    auto fields() { return std::tie(members); }
};

// The configuration that the sender has in force.
struct ConfigurationNotice {
    ConfigurationVersion version;
    std::string hash;

    auto fields() { return std::tie(version, hash); }
};

// Asks for the content of the configuration that the receiver has in force, if it is newer than `newerThan`.
struct ConfigurationRequest {
    ConfigurationVersion newerThan;

    auto fields() { return std::tie(newerThan); }
};

struct ConfigurationContent {
    ConfigurationVersion version;
    std::string hash;
    std::string document;

    auto fields() { return std::tie(version, hash, document); }
};

// Asks the owner of a target to load an artifact.
struct EnsureArtifact {
    std::uint64_t call = 0;
    TargetId target;
    ArtifactId artifact;

    auto fields() { return std::tie(call, target, artifact); }
};

// Answers EnsureArtifact; `reason` is empty when the artifact is resident.
struct EnsureResult {
    std::uint64_t call = 0;
    std::string reason;

    auto fields() { return std::tie(call, reason); }
};

// The load that the callers of one instance put on an artifact, in targets' worth of work.
struct ArtifactDemand {
    ArtifactId artifact;
    double load = 0;

    auto fields() { return std::tie(artifact, load); }
    bool operator==(const ArtifactDemand&) const = default;
};

// The demand at one instance; artifacts without demand are left out.
struct DemandMessage {
    InstanceId instance;
    std::vector<ArtifactDemand> demand;

    auto fields() { return std::tie(instance, demand); }
};

// Tells the new owner of a target that the previous one has stopped using its grant.
struct GrantReleaseMessage {
    TargetId target;
    std::string release;

    auto fields() { return std::tie(target, release); }
};

// A notice about a request that crashes targets, in the form of CrashNoticeCodec.
struct CrashNoticeMessage {
    std::string notice;

    auto fields() { return std::tie(notice); }
};

// A message that every instance forwards once.
struct FloodMessage {
    InstanceId origin;
    std::uint64_t sequence = 0;
    // An encoded message of another type.
    std::string payload;

    auto fields() { return std::tie(origin, sequence, payload); }
};

// The position of a type in this list is its number on the wire; new types go to the end.
using PeerMessage = std::variant<HelloMessage, ProofMessage, HeartbeatMessage, MembersMessage, ConfigurationNotice,
    ConfigurationRequest, ConfigurationContent, EnsureArtifact, EnsureResult, DemandMessage, GrantReleaseMessage,
    CrashNoticeMessage, FloodMessage>;

// Encodes a message as an array of protocol version, type and fields.
std::string encodePeerMessage(const PeerMessage& message);

// Decodes a message. Fails with ProtocolError::Malformed, UnknownType or VersionUnsupported.
absl::StatusOr<PeerMessage> decodePeerMessage(std::string_view payload);

} // namespace lychee
