// The forms of settings: how a value is parsed and which values are allowed.
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

// A form of setting has a type Value, a function parse() and a readable allowed range.
template <typename ValueType>
concept SettingValueType
    = requires(const ValueType& form, std::string_view text, const std::filesystem::path& directory)
{
    typename ValueType::Value;
    {
        form.parse(text, directory)
        } -> std::same_as<std::optional<typename ValueType::Value>>;
    {
        form.allowed()
        } -> std::same_as<std::string>;
};

// A whole number between bounds; T is an unsigned integer or a duration in milliseconds.
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

// A number between bounds, with or without a fraction.
struct RealValueType {
    using Value = double;

    double lowest = 0;
    double highest = 0;

    std::optional<double> parse(std::string_view text, const std::filesystem::path& directory) const;
    std::string allowed() const;
};

// A numeric address with a port.
struct EndpointValueType {
    using Value = Endpoint;

    std::optional<Endpoint> parse(std::string_view text, const std::filesystem::path& directory) const;
    std::string allowed() const;
};

// A name of [a-z0-9-].
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

// Numeric addresses with ports, separated by commas; may be empty.
struct EndpointListValueType {
    using Value = std::vector<Endpoint>;

    std::optional<Value> parse(std::string_view text, const std::filesystem::path& directory) const;
    std::string allowed() const;
};

// The content of a file that holds a token or key. Not printable, so that no log line contains it by mistake.
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

// A file, relative to the directory of the settings, that holds a token or key without blanks at its ends.
struct SecretFileValueType {
    using Value = Secret;

    std::optional<Secret> parse(std::string_view text, const std::filesystem::path& directory) const;
    std::string allowed() const;
};

} // namespace lychee
