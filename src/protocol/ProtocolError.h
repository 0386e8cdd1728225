// Errors of the protocol layer.
#pragma once

#include "transport/ErrorPayload.h"

namespace lychee {

// Errors of the protocol layer.
enum class ProtocolError {
    Malformed,
    UnknownType,
    VersionUnsupported,
    TooLarge,
    UnexpectedStatus,
};

template <> struct ErrorTraits<ProtocolError> {
    static constexpr const char* typeUrl = "lychee/protocol";

    static constexpr std::string_view name(ProtocolError error)
    {
        switch (error) {
        case ProtocolError::Malformed:
            return "malformed";
        case ProtocolError::UnknownType:
            return "unknown type";
        case ProtocolError::VersionUnsupported:
            return "version unsupported";
        case ProtocolError::TooLarge:
            return "too large";
        case ProtocolError::UnexpectedStatus:
            return "unexpected status";
        }
        return "unknown error";
    }

    static constexpr absl::StatusCode code(ProtocolError error)
    {
        switch (error) {
        case ProtocolError::Malformed:
        case ProtocolError::UnknownType:
            return absl::StatusCode::kInvalidArgument;
        case ProtocolError::VersionUnsupported:
            return absl::StatusCode::kFailedPrecondition;
        case ProtocolError::TooLarge:
            return absl::StatusCode::kResourceExhausted;
        case ProtocolError::UnexpectedStatus:
            return absl::StatusCode::kUnavailable;
        }
        return absl::StatusCode::kInternal;
    }
};

} // namespace lychee
