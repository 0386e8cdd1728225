#include "tests/support/TestHttpClient.h"

#include "transport/TransportError.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/core/tcp_stream.hpp>
#include <boost/beast/http.hpp>

#include <sys/socket.h>

#include <cerrno>

namespace lychee::test {

namespace {

namespace asio = boost::asio;
namespace beast = boost::beast;
namespace http = boost::beast::http;
using beast::error_code;
using Parser = http::response_parser<http::string_body>;

constexpr std::uint64_t maxBodyBytes = 256 << 20;
constexpr int http11 = 11;

absl::Status toStatus(const error_code& error, std::string_view step)
{
    const std::string detail = fmt::format("{}: {}", step, error.message());
    if (error == beast::error::timeout)
        return makeError(TransportError::TimedOut, detail);
    return makeError(TransportError::ConnectionClosed, detail);
}

HttpHeaders toHeaders(const http::fields& fields)
{
    HttpHeaders headers;
    for (const auto& field : fields) {
        const auto name = field.name_string();
        const auto value = field.value();
        headers.set({name.data(), name.size()}, {value.data(), value.size()});
    }
    return headers;
}

http::request<http::string_body> toMessage(const HttpRequest& request, const Endpoint& endpoint)
{
    http::request<http::string_body> message;
    message.version(http11);
    message.method_string(request.method);
    message.target(request.target);
    message.set(http::field::host, endpoint.toString());
    // Also a header that occurs several times is sent as it is.
    for (const HttpHeaders::Field& field : request.headers.fields())
        message.erase(field.name);
    for (const HttpHeaders::Field& field : request.headers.fields())
        message.insert(field.name, field.value);
    message.body() = request.body;
    message.prepare_payload();
    return message;
}

// Removes the first complete event from `text`, or returns nothing. Text without a known field gives no event.
std::optional<TestEvent> takeEvent(std::string& text)
{
    while (true) {
        const std::size_t end = text.find("\n\n");
        if (end == std::string::npos)
            return std::nullopt;
        TestEvent event;
        bool known = false;
        std::string_view rest = std::string_view(text).substr(0, end);
        while (!rest.empty()) {
            const std::string_view line = rest.substr(0, rest.find('\n'));
            rest.remove_prefix(std::min(rest.size(), line.size() + 1));
            if (line.starts_with("id: "))
                event.id = line.substr(4);
            if (line.starts_with("data: ")) {
                event.data += line.substr(6);
                known = true;
            }
        }
        text.erase(0, end + 2);
        if (known)
            return event;
    }
}

} // namespace

// A connected socket whose operations block up to the limit.
class TestHttpClient::Connection {
public:
    explicit Connection(std::chrono::milliseconds limit)
        : limit_(limit)
        , stream_(context_)
    {
    }

    error_code connect(const Endpoint& endpoint)
    {
        const asio::ip::tcp::endpoint address(asio::ip::make_address(endpoint.address), endpoint.port);
        return block([&](auto handler) { stream_.async_connect(address, handler); });
    }

    error_code write(const http::request<http::string_body>& message)
    {
        return block([&](auto handler) {
            http::async_write(stream_, message, [handler](error_code error, std::size_t) { handler(error); });
        });
    }

    error_code read(Parser& parser)
    {
        return block([&](auto handler) {
            http::async_read(stream_, buffer_, parser, [handler](error_code error, std::size_t) { handler(error); });
        });
    }

    error_code readHeader(Parser& parser)
    {
        return block([&](auto handler) {
            http::async_read_header(
                stream_, buffer_, parser, [handler](error_code error, std::size_t) { handler(error); });
        });
    }

    error_code readSome(Parser& parser)
    {
        return block([&](auto handler) {
            http::async_read_some(
                stream_, buffer_, parser, [handler](error_code error, std::size_t) { handler(error); });
        });
    }

    void setLimit(std::chrono::milliseconds limit) { limit_ = limit; }

    bool isClosedByPeer()
    {
        char byte = 0;
        const ssize_t size = ::recv(stream_.socket().native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
    }

private:
    // Beast applies time limits only to asynchronous operations, so each one is started and run to its end.
    template <typename Start> error_code block(const Start& start)
    {
        error_code result;
        stream_.expires_after(limit_);
        start([&result](error_code error) { result = error; });
        context_.restart();
        context_.run();
        return result;
    }

    std::chrono::milliseconds limit_;
    asio::io_context context_;
    beast::tcp_stream stream_;
    beast::flat_buffer buffer_;
};

class TestHttpClient::Stream final : public TestEventStream {
public:
    explicit Stream(std::unique_ptr<Connection> connection)
        : connection_(std::move(connection))
    {
        parser_.body_limit(maxBodyBytes);
    }

    absl::Status readHeader()
    {
        if (const error_code error = connection_->readHeader(parser_))
            return toStatus(error, "cannot read the header");
        headers_ = toHeaders(parser_.get());
        return absl::OkStatus();
    }

    int status() const override { return static_cast<int>(parser_.get().result_int()); }

    const HttpHeaders& headers() const override { return headers_; }

    void setLimit(std::chrono::milliseconds limit) override { connection_->setLimit(limit); }

    absl::StatusOr<std::optional<TestEvent>> next() override
    {
        while (true) {
            if (auto event = takeEvent(parser_.get().body()))
                return event;
            if (parser_.is_done())
                return std::nullopt;
            if (const error_code error = connection_->readSome(parser_))
                return toStatus(error, "cannot read an event");
        }
    }

    absl::StatusOr<std::string> readBody() override
    {
        while (!parser_.is_done()) {
            if (const error_code error = connection_->readSome(parser_))
                return toStatus(error, "cannot read the body");
        }
        return std::exchange(parser_.get().body(), {});
    }

private:
    std::unique_ptr<Connection> connection_;
    Parser parser_;
    HttpHeaders headers_;
};

TestHttpClient::TestHttpClient(Endpoint endpoint, std::chrono::milliseconds limit)
    : endpoint_(std::move(endpoint))
    , limit_(limit)
{
}

TestHttpClient::TestHttpClient(TestHttpClient&&) noexcept = default;
TestHttpClient& TestHttpClient::operator=(TestHttpClient&&) noexcept = default;
TestHttpClient::~TestHttpClient() = default;

absl::StatusOr<HttpResponse> TestHttpClient::send(const HttpRequest& request)
{
    if (!connection_) {
        if (const absl::Status status = connect(); !status.ok())
            return status;
    }
    // Taken out, so that every error closes the connection.
    auto connection = std::move(connection_);
    if (const error_code error = connection->write(toMessage(request, endpoint_)))
        return toStatus(error, "cannot send");
    Parser parser;
    parser.body_limit(maxBodyBytes);
    parser.skip(request.method == "HEAD");
    if (const error_code error = connection->read(parser))
        return toStatus(error, "cannot read the response");
    HttpResponse response{static_cast<int>(parser.get().result_int()), toHeaders(parser.get()), {}};
    response.body = std::move(parser.get().body());
    if (parser.get().keep_alive())
        connection_ = std::move(connection);
    return response;
}

absl::StatusOr<std::unique_ptr<TestEventStream>> TestHttpClient::open(const HttpRequest& request)
{
    TestHttpClient own(endpoint_, limit_);
    if (const absl::Status status = own.sendOnly(request); !status.ok())
        return status;
    auto stream = std::make_unique<Stream>(std::move(own.connection_));
    if (const absl::Status status = stream->readHeader(); !status.ok())
        return status;
    return stream;
}

absl::Status TestHttpClient::sendOnly(const HttpRequest& request)
{
    if (const absl::Status status = connect(); !status.ok())
        return status;
    if (const error_code error = connection_->write(toMessage(request, endpoint_)))
        return toStatus(error, "cannot send");
    return absl::OkStatus();
}

void TestHttpClient::close() { connection_.reset(); }

bool TestHttpClient::isClosedByPeer() { return connection_ && connection_->isClosedByPeer(); }

void TestHttpClient::setLimit(std::chrono::milliseconds limit)
{
    limit_ = limit;
    if (connection_)
        connection_->setLimit(limit);
}

absl::Status TestHttpClient::connect()
{
    connection_ = std::make_unique<Connection>(limit_);
    const error_code error = connection_->connect(endpoint_);
    if (!error)
        return absl::OkStatus();
    connection_.reset();
    if (error == beast::error::timeout)
        return toStatus(error, "cannot connect");
    return makeError(TransportError::ConnectFailed, fmt::format("{}: {}", endpoint_.toString(), error.message()));
}

} // namespace lychee::test
