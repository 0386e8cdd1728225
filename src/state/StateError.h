// Errors of the state layer.
#pragma once

#include "transport/ErrorPayload.h"

namespace lychee {

// Errors of the state layer.
enum class StateError {
    AnswersInvalid,
    ConfigurationInvalid,
    UnknownModel,
    UnknownService,
    NoTarget,
    Overloaded,
    PatienceExceeded,
    Quarantined,
};

template <> struct ErrorTraits<StateError> {
    static constexpr const char* typeUrl = "lychee/state";

    static constexpr std::string_view name(StateError error)
    {
        switch (error) {
        case StateError::AnswersInvalid:
            return "answers invalid";
        case StateError::ConfigurationInvalid:
            return "configuration invalid";
        case StateError::UnknownModel:
            return "unknown model";
        case StateError::UnknownService:
            return "unknown service";
        case StateError::NoTarget:
            return "no target";
        case StateError::Overloaded:
            return "overloaded";
        case StateError::PatienceExceeded:
            return "patience exceeded";
        case StateError::Quarantined:
            return "quarantined";
        }
        return "unknown error";
    }

    static constexpr absl::StatusCode code(StateError error)
    {
        switch (error) {
        case StateError::AnswersInvalid:
        case StateError::ConfigurationInvalid:
            return absl::StatusCode::kInvalidArgument;
        case StateError::UnknownModel:
        case StateError::UnknownService:
            return absl::StatusCode::kNotFound;
        case StateError::NoTarget:
            return absl::StatusCode::kUnavailable;
        case StateError::Overloaded:
            return absl::StatusCode::kResourceExhausted;
        case StateError::PatienceExceeded:
            return absl::StatusCode::kDeadlineExceeded;
        case StateError::Quarantined:
            return absl::StatusCode::kFailedPrecondition;
        }
        return absl::StatusCode::kInternal;
    }
};

} // namespace lychee
