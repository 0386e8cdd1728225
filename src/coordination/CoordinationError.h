// Errors of the coordination layer.
#pragma once

#include "transport/ErrorPayload.h"

namespace lychee {

// Errors of the coordination layer.
enum class CoordinationError {
    Conflict,
    NotFound,
    OutcomeUnknown,
    PlatformUnreachable,
    NotOwner,
    MemoryExhausted,
    VersionStale,
    PeerRejected,
};

template <> struct ErrorTraits<CoordinationError> {
    static constexpr const char* typeUrl = "lychee/coordination";

    static constexpr std::string_view name(CoordinationError error)
    {
        switch (error) {
        case CoordinationError::Conflict:
            return "conflict";
        case CoordinationError::NotFound:
            return "not found";
        case CoordinationError::OutcomeUnknown:
            return "outcome unknown";
        case CoordinationError::PlatformUnreachable:
            return "platform unreachable";
        case CoordinationError::NotOwner:
            return "not owner";
        case CoordinationError::MemoryExhausted:
            return "memory exhausted";
        case CoordinationError::VersionStale:
            return "version stale";
        case CoordinationError::PeerRejected:
            return "peer rejected";
        }
        return "unknown error";
    }

    static constexpr absl::StatusCode code(CoordinationError error)
    {
        switch (error) {
        case CoordinationError::Conflict:
        case CoordinationError::VersionStale:
            return absl::StatusCode::kAborted;
        case CoordinationError::NotFound:
            return absl::StatusCode::kNotFound;
        case CoordinationError::OutcomeUnknown:
            return absl::StatusCode::kUnknown;
        case CoordinationError::PlatformUnreachable:
            return absl::StatusCode::kUnavailable;
        case CoordinationError::NotOwner:
            return absl::StatusCode::kFailedPrecondition;
        case CoordinationError::MemoryExhausted:
            return absl::StatusCode::kResourceExhausted;
        case CoordinationError::PeerRejected:
            return absl::StatusCode::kPermissionDenied;
        }
        return absl::StatusCode::kInternal;
    }
};

} // namespace lychee
