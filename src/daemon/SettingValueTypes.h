// The kinds of values that settings take: how a value is parsed and which values are allowed.
#pragma once

#include "transport/HttpMessage.h"

#include <fmt/format.h>

#include <charconv>
#include <chrono>
#include <cstdint>
#include <filesystem>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lychee {

// A kind of value: has the type Value, a function parse() that returns nothing for values that are not allowed, and a
// function allowed() that describes the allowed values in words.
template <typename ValueType>
concept SettingValueType
    = requires(const ValueType& type, std::string_view text, const std::filesystem::path& directory)
{
    typename ValueType::Value;
    {
        type.parse(text, directory)
        } -> std::same_as<std::optional<typename ValueType::Value>>;
    {
        type.allowed()
        } -> std::same_as<std::string>;
};

// A whole number from `lowest` to `highest`; T is an unsigned integer or a duration in milliseconds.
template <typename T> struct NumberValueType {
    using Value = T;

    std::uint64_t lowest = 0;
    std::uint64_t highest = 0;

    std::optional<T> parse(std::string_view text, const std::filesystem::path&) const
    {
        std::uint64_t number = 0;
        const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
        if (error != std::errc() || end != text.data() + text.size() || number < lowest || number > highest)
            return std::nullopt;
        return T(number);
    }

    std::string allowed() const { return fmt::format("a whole number from {} to {}", lowest, highest); }
};

// A number from `lowest` to `highest`, with or without a fraction.
struct RealValueType {
    using Value = double;

    double lowest = 0;
    double highest = 0;

    std::optional<double> parse(std::string_view text, const std::filesystem::path& directory) const;
    std::string allowed() const;
};

// true or false.
struct SwitchValueType {
    using Value = bool;

    std::optional<bool> parse(std::string_view text, const std::filesystem::path& directory) const;
    std::string allowed() const;
};

// Like RealValueType, or empty, which counts as absent.
struct OptionalRealValueType {
    using Value = std::optional<double>;

    double lowest = 0;
    double highest = 0;

    std::optional<Value> parse(std::string_view text, const std::filesystem::path& directory) const;
    std::string allowed() const;
};

// A numeric IP address with a port.
struct EndpointValueType {
    using Value = Endpoint;

    std::optional<Endpoint> parse(std::string_view text, const std::filesystem::path& directory) const;
    std::string allowed() const;
};

// A non-empty name of the characters [a-z0-9-].
struct NameValueType {
    using Value = std::string;

    std::optional<std::string> parse(std::string_view text, const std::filesystem::path& directory) const;
    std::string allowed() const;
};

// A numeric IP address.
struct AddressValueType {
    using Value = std::string;

    std::optional<std::string> parse(std::string_view text, const std::filesystem::path& directory) const;
    std::string allowed() const;
};

// Numeric IP addresses with ports, separated by commas; may be empty.
struct EndpointListValueType {
    using Value = std::vector<Endpoint>;

    std::optional<Value> parse(std::string_view text, const std::filesystem::path& directory) const;
    std::string allowed() const;
};

// The content of a file that holds a token or key. It has no output operator, so that it cannot be logged by mistake.
class Secret {
public:
    Secret() = default;

    explicit Secret(std::string content)
        : content_(std::move(content))
    {
    }

    // For comparisons and digests only; never to be logged.
    const std::string& reveal() const { return content_; }

private:
    std::string content_;
};

// The path of a file that holds a token or key, relative to the directory of the settings file. Leading and trailing
// whitespace of the content is removed.
struct SecretFileValueType {
    using Value = Secret;

    std::optional<Secret> parse(std::string_view text, const std::filesystem::path& directory) const;
    std::string allowed() const;
};

} // namespace lychee
