// Errors of the transport layer.
#pragma once

#include "transport/ErrorPayload.h"

namespace lychee {

// Failures of connections, clocks and rings.
enum class TransportError {
    AddressInvalid,
    BindFailed,
    // The endpoint refuses connections.
    ConnectFailed,
    // No connection could be tried, or it failed on the way.
    Unreachable,
    ConnectionClosed,
    TimedOut,
    FrameTooLong,
    FrameTruncated,
    MessageMalformed,
    MessageTooLarge,
    RingFull,
    Stopped,
};

template <> struct ErrorTraits<TransportError> {
    static constexpr const char* typeUrl = "lychee/transport";

    static constexpr std::string_view name(TransportError error)
    {
        switch (error) {
        case TransportError::AddressInvalid:
            return "address invalid";
        case TransportError::BindFailed:
            return "bind failed";
        case TransportError::ConnectFailed:
            return "connect failed";
        case TransportError::Unreachable:
            return "unreachable";
        case TransportError::ConnectionClosed:
            return "connection closed";
        case TransportError::TimedOut:
            return "timed out";
        case TransportError::FrameTooLong:
            return "frame too long";
        case TransportError::FrameTruncated:
            return "frame truncated";
        case TransportError::MessageMalformed:
            return "message malformed";
        case TransportError::MessageTooLarge:
            return "message too large";
        case TransportError::RingFull:
            return "ring full";
        case TransportError::Stopped:
            return "stopped";
        }
        return "unknown transport error";
    }

    static constexpr absl::StatusCode code(TransportError error)
    {
        switch (error) {
        case TransportError::AddressInvalid:
        case TransportError::MessageMalformed:
            return absl::StatusCode::kInvalidArgument;
        case TransportError::TimedOut:
            return absl::StatusCode::kDeadlineExceeded;
        case TransportError::FrameTooLong:
        case TransportError::MessageTooLarge:
        case TransportError::RingFull:
            return absl::StatusCode::kResourceExhausted;
        case TransportError::FrameTruncated:
            return absl::StatusCode::kDataLoss;
        case TransportError::Stopped:
            return absl::StatusCode::kCancelled;
        default:
            return absl::StatusCode::kUnavailable;
        }
    }
};

} // namespace lychee
