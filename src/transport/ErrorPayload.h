// Carries the error enum of a layer inside an absl::Status, so that the layer above can convert it.
#pragma once

#include <absl/status/status.h>
#include <fmt/format.h>

#include <optional>
#include <string>
#include <string_view>

namespace lychee {

// Describes an error enum: specializations give `typeUrl`, `name(E)` and `code(E)`.
template <typename E> struct ErrorTraits;

// An enum with an ErrorTraits specialization.
template <typename E>
concept LayerError = requires(E error)
{
    {
        ErrorTraits<E>::typeUrl
        } -> std::convertible_to<std::string_view>;
    {
        ErrorTraits<E>::name(error)
        } -> std::convertible_to<std::string_view>;
    {
        ErrorTraits<E>::code(error)
        } -> std::same_as<absl::StatusCode>;
};

// Returns a status that carries `error`, with the message "NAME: DETAIL".
template <LayerError E> absl::Status makeError(E error, std::string_view detail)
{
    const std::string message = fmt::format("{}: {}", ErrorTraits<E>::name(error), detail);
    absl::Status status(ErrorTraits<E>::code(error), message);
    status.SetPayload(ErrorTraits<E>::typeUrl, absl::Cord(std::to_string(static_cast<int>(error))));
    return status;
}

// The message of a status as a standard string view; Debian's Abseil has a string view of its own.
inline std::string_view messageOf(const absl::Status& status)
{
    return {status.message().data(), status.message().size()};
}

// Returns the error of enum E that `status` carries, if any.
template <LayerError E> std::optional<E> errorOf(const absl::Status& status)
{
    const auto payload = status.GetPayload(ErrorTraits<E>::typeUrl);
    if (!payload.has_value())
        return std::nullopt;
    return static_cast<E>(std::stoi(std::string(*payload)));
}

} // namespace lychee
