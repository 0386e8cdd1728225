#include "transport/HttpMessage.h"

#include <absl/strings/ascii.h>
#include <absl/strings/match.h>
#include <absl/strings/numbers.h>

#include <boost/asio/ip/address.hpp>

namespace lychee {

namespace {

bool sameName(std::string_view left, std::string_view right)
{
    return absl::EqualsIgnoreCase({left.data(), left.size()}, {right.data(), right.size()});
}

} // namespace

std::optional<std::string_view> HttpHeaders::find(std::string_view name) const
{
    for (const Field& field : fields_) {
        if (sameName(field.name, name))
            return field.value;
    }
    return std::nullopt;
}

void HttpHeaders::set(std::string_view name, std::string_view value)
{
    remove(name);
    fields_.push_back({std::string(name), std::string(value)});
}

void HttpHeaders::add(std::string_view name, std::string_view value)
{
    fields_.push_back({std::string(name), std::string(value)});
}

void HttpHeaders::remove(std::string_view name)
{
    std::erase_if(fields_, [&](const Field& field) { return sameName(field.name, name); });
}

std::string_view HttpRequest::path() const { return std::string_view(target).substr(0, target.find('?')); }

std::optional<std::string_view> HttpRequest::query(std::string_view name) const
{
    const std::size_t mark = target.find('?');
    if (mark == std::string::npos)
        return std::nullopt;
    std::string_view rest = std::string_view(target).substr(mark + 1);
    while (!rest.empty()) {
        const std::string_view pair = rest.substr(0, rest.find('&'));
        const std::size_t equals = pair.find('=');
        if (pair.substr(0, equals) == name)
            return equals == std::string_view::npos ? std::string_view() : pair.substr(equals + 1);
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    }
    return std::nullopt;
}

std::string Endpoint::toString() const { return fmt::format("{}:{}", address, port); }

std::optional<Endpoint> Endpoint::parse(std::string_view text)
{
    const std::size_t colon = text.rfind(':');
    if (colon == std::string_view::npos)
        return std::nullopt;
    std::string_view address = text.substr(0, colon);
    if (address.size() > 2 && address.front() == '[' && address.back() == ']')
        address = address.substr(1, address.size() - 2);
    const std::string_view portText = text.substr(colon + 1);
    std::uint32_t port = 0;
    if (!absl::SimpleAtoi(absl::string_view(portText.data(), portText.size()), &port) || port > UINT16_MAX)
        return std::nullopt;
    boost::system::error_code error;
    boost::asio::ip::make_address(std::string(address), error);
    if (error)
        return std::nullopt;
    return Endpoint{std::string(address), static_cast<std::uint16_t>(port)};
}

} // namespace lychee
