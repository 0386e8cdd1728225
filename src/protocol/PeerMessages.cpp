#include "protocol/PeerMessages.h"

#include "protocol/MessageCodec.h"

namespace lychee {

template <> struct LastEnumerator<MemberState> {
    static constexpr MemberState value = MemberState::Dead;
};

std::string encodePeerMessage(const PeerMessage& message) { return MessageCodec::encode(peerProtocolVersion, message); }

absl::StatusOr<PeerMessage> decodePeerMessage(std::string_view payload)
{
    return MessageCodec::decode<PeerMessage>(peerProtocolVersion, payload);
}

} // namespace lychee
