#include "transport/HttpHead.h"

#include <absl/strings/match.h>

#include <boost/beast/http/status.hpp>

#include <array>

namespace lychee {

namespace {

namespace http = boost::beast::http;

constexpr std::array<std::string_view, 2> framingFields{"Content-Length", "Transfer-Encoding"};

bool isNamed(const HttpHeaders::Field& field, std::string_view name)
{
    return absl::EqualsIgnoreCase(field.name, {name.data(), name.size()});
}

bool setsFraming(const HttpHeaders::Field& field)
{
    return std::any_of(
        framingFields.begin(), framingFields.end(), [&](std::string_view name) { return isNamed(field, name); });
}

void append(std::string& head, std::string_view name, std::string_view value)
{
    head.append(name).append(": ").append(value).append("\r\n");
}

} // namespace

std::string requestHead(const HttpRequest& request, const Endpoint& endpoint)
{
    std::string head = fmt::format("{} {} HTTP/1.1\r\n", request.method, request.target);
    if (!request.headers.find("Host"))
        append(head, "Host", endpoint.toString());
    for (const HttpHeaders::Field& field : request.headers.fields()) {
        if (!setsFraming(field))
            append(head, field.name, field.value);
    }
    const bool usuallyHasBody = request.method == "POST" || request.method == "PUT" || request.method == "PATCH";
    if (usuallyHasBody || !request.body.empty())
        append(head, "Content-Length", std::to_string(request.body.size()));
    return head.append("\r\n");
}

std::string responseHead(
    int status, const HttpHeaders& headers, bool keepAlive, BodyFraming framing, std::size_t bodyBytes)
{
    const auto reason = http::obsolete_reason(static_cast<http::status>(status));
    std::string head = fmt::format("HTTP/1.1 {} {}\r\n", status, std::string_view(reason.data(), reason.size()));
    for (const HttpHeaders::Field& field : headers.fields()) {
        if (!setsFraming(field) && !isNamed(field, "Connection"))
            append(head, field.name, field.value);
    }
    if (!keepAlive)
        append(head, "Connection", "close");
    if (framing == BodyFraming::Chunks)
        append(head, "Transfer-Encoding", "chunked");
    else if (framing == BodyFraming::Length)
        append(head, "Content-Length", std::to_string(bodyBytes));
    return head.append("\r\n");
}

bool mayHaveBody(int status)
{
    const auto value = static_cast<http::status>(status);
    return http::to_status_class(value) != http::status_class::informational && value != http::status::no_content
        && value != http::status::not_modified;
}

} // namespace lychee
