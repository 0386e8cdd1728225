#include "ctl/OperatorClient.h"

#include "transport/TransportError.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

namespace lychee {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using boost::system::error_code;

// Larger than the largest configuration document.
constexpr std::size_t maxResponseBytes = 64 << 20;

// A connection with blocking operations. Beast applies its timeout to asynchronous operations only, so each operation
// is started asynchronously and the context is run until it has completed.
class BlockingConnection {
public:
    BlockingConnection()
        : stream_(context_)
    {
        stream_.expires_after(OperatorClient::callTimeout);
    }

    error_code connect(const Endpoint& endpoint)
    {
        error_code error;
        const auto address = asio::ip::make_address(endpoint.address, error);
        if (error)
            return error;
        stream_.async_connect(
            asio::ip::tcp::endpoint(address, endpoint.port), [&](error_code result) { error = result; });
        run();
        return error;
    }

    error_code write(const http::request<http::string_body>& request)
    {
        error_code error;
        http::async_write(stream_, request, [&](error_code result, std::size_t) { error = result; });
        run();
        return error;
    }

    error_code read(http::response_parser<http::string_body>& parser)
    {
        error_code error;
        http::async_read(stream_, buffer_, parser, [&](error_code result, std::size_t) { error = result; });
        run();
        return error;
    }

private:
    void run()
    {
        context_.restart();
        context_.run();
    }

    asio::io_context context_{1};
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
};

absl::Status makeCallError(TransportError kind, const Endpoint& instance, const error_code& error)
{
    const TransportError reported = error == beast::error::timeout ? TransportError::TimedOut : kind;
    return makeError(reported, fmt::format("{}: {}", instance.toString(), error.message()));
}

bool isUnreserved(char c)
{
    return (c >= 'a' && c <= 'z') || (c >= 'A' && c <= 'Z') || (c >= '0' && c <= '9') || c == '-' || c == '.'
        || c == '_' || c == '~';
}

} // namespace

OperatorClient::OperatorClient(Endpoint instance, std::string token)
    : instance_(std::move(instance))
    , token_(std::move(token))
{
}

absl::StatusOr<HttpResponse> OperatorClient::call(
    const std::string& method, const std::string& target, const std::string& body)
{
    http::request<http::string_body> request(http::string_to_verb(method), target, 11, body);
    request.set(http::field::host, instance_.toString());
    request.set(http::field::authorization, "Bearer " + token_);
    request.set(http::field::connection, "close");
    request.prepare_payload();
    BlockingConnection connection;
    if (const error_code error = connection.connect(instance_))
        return makeCallError(TransportError::ConnectFailed, instance_, error);
    if (const error_code error = connection.write(request))
        return makeCallError(TransportError::ConnectionClosed, instance_, error);
    http::response_parser<http::string_body> parser;
    parser.body_limit(maxResponseBytes);
    if (const error_code error = connection.read(parser))
        return makeCallError(TransportError::ConnectionClosed, instance_, error);
    // Instances state a length. Without one, an answer that was cut looks like a whole one.
    if (parser.need_eof())
        return makeCallError(TransportError::ConnectionClosed, instance_, http::error::partial_message);
    HttpResponse response;
    response.status = static_cast<int>(parser.get().result_int());
    response.body = std::move(parser.get().body());
    return response;
}

std::string encodePathSegment(std::string_view text)
{
    std::string encoded;
    for (const char c : text) {
        if (isUnreserved(c))
            encoded += c;
        else
            encoded += fmt::format("%{:02X}", static_cast<unsigned char>(c));
    }
    return encoded;
}

} // namespace lychee
