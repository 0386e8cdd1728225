#include "daemon/SettingValueTypes.h"

#include "state/AnswerSchema.h"

#include <absl/strings/ascii.h>

#include <boost/asio/ip/address.hpp>

#include <fstream>

namespace lychee {

namespace {

constexpr std::size_t maxEndpoints = 64;

// Shorter tokens and keys are too easy to guess.
constexpr std::size_t minSecretBytes = 8;
constexpr std::size_t maxSecretBytes = 4096;

} // namespace

std::optional<double> RealValueType::parse(std::string_view text, const std::filesystem::path&) const
{
    double number = 0;
    const auto [end, error] = std::from_chars(text.data(), text.data() + text.size(), number);
    // Written as a negation so that NaN is rejected as well.
    if (error != std::errc() || end != text.data() + text.size() || !(number >= lowest && number <= highest))
        return std::nullopt;
    return number;
}

std::string RealValueType::allowed() const { return fmt::format("a number from {} to {}", lowest, highest); }

std::optional<bool> SwitchValueType::parse(std::string_view text, const std::filesystem::path&) const
{
    if (text != "true" && text != "false")
        return std::nullopt;
    return text == "true";
}

std::string SwitchValueType::allowed() const { return "true or false"; }

std::optional<std::optional<double>> OptionalRealValueType::parse(
    std::string_view text, const std::filesystem::path& directory) const
{
    if (text.empty())
        return std::make_optional<Value>(std::nullopt);
    const std::optional<double> number = RealValueType{lowest, highest}.parse(text, directory);
    return number ? std::make_optional<Value>(number) : std::nullopt;
}

std::string OptionalRealValueType::allowed() const
{
    return fmt::format("a number from {} to {}, or empty", lowest, highest);
}

std::optional<Endpoint> EndpointValueType::parse(std::string_view text, const std::filesystem::path&) const
{
    return Endpoint::parse(text);
}

std::string EndpointValueType::allowed() const { return "a numeric address as IP:PORT"; }

std::optional<std::string> NameValueType::parse(std::string_view text, const std::filesystem::path&) const
{
    if (!isAnswerName(text))
        return std::nullopt;
    return std::string(text);
}

std::string NameValueType::allowed() const { return fmt::format("a name of [a-z0-9-], 1 to {} characters", nameLimit); }

std::optional<std::string> AddressValueType::parse(std::string_view text, const std::filesystem::path&) const
{
    boost::system::error_code error;
    boost::asio::ip::make_address(std::string(text), error);
    if (error)
        return std::nullopt;
    return std::string(text);
}

std::string AddressValueType::allowed() const { return "a numeric IP address"; }

std::optional<std::vector<Endpoint>> EndpointListValueType::parse(
    std::string_view text, const std::filesystem::path&) const
{
    std::vector<Endpoint> endpoints;
    if (text.empty())
        return endpoints;
    for (const std::string& part : splitList(text)) {
        const auto endpoint = Endpoint::parse(part);
        if (!endpoint || endpoint->port == 0)
            return std::nullopt;
        endpoints.push_back(*endpoint);
    }
    if (endpoints.size() > maxEndpoints)
        return std::nullopt;
    return endpoints;
}

std::string EndpointListValueType::allowed() const
{
    return fmt::format("up to {} numeric addresses as IP:PORT, separated by commas", maxEndpoints);
}

std::optional<Secret> SecretFileValueType::parse(std::string_view text, const std::filesystem::path& directory) const
{
    const std::filesystem::path path = directory / std::filesystem::path(text);
    std::error_code error;
    // Only regular files are read, because opening a named pipe would block.
    if (text.empty() || !std::filesystem::is_regular_file(path, error))
        return std::nullopt;
    std::ifstream file(path, std::ios::binary);
    // Reads one byte more than allowed to detect files that are too long.
    std::string content(maxSecretBytes + 1, '\0');
    file.read(content.data(), static_cast<std::streamsize>(content.size()));
    content.resize(static_cast<std::size_t>(file.gcount()));
    if (content.size() > maxSecretBytes)
        return std::nullopt;
    absl::StripAsciiWhitespace(&content);
    if (content.size() < minSecretBytes)
        return std::nullopt;
    return Secret(std::move(content));
}

std::string SecretFileValueType::allowed() const
{
    return fmt::format("a readable file of {} to {} bytes, relative to the settings", minSecretBytes, maxSecretBytes);
}

} // namespace lychee
