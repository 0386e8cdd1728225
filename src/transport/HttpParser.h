// Parsers of HTTP messages, and the loop that feeds them from a socket.
#pragma once

#include "transport/HttpMessage.h"
#include "transport/SocketOperation.h"

#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http/basic_parser.hpp>

#include <algorithm>
#include <string>

namespace lychee {

// What both kinds of messages share. Fields behind the last chunk are checked and dropped: they must not act as fields
// of the head.
template <bool isRequest> class HttpParser : public boost::beast::http::basic_parser<isRequest> {
public:
    using ErrorCode = boost::system::error_code;
    using Text = boost::beast::string_view;

    // Whether it may be given this many bytes. The library asserts that it sees the last chunk with all five bytes that
    // an empty body has, also where no chunk came before.
    bool mayParse(std::size_t bytes) const
    {
        constexpr std::size_t emptyBodyBytes = 5;
        return bytes >= emptyBodyBytes || (bytes > 0 && !(headEnded_ && this->chunked() && !chunkBegan_));
    }

protected:
    HttpHeaders& fields() { return fields_; }

private:
    // The names are those of the library.
    // NOLINTBEGIN(readability-identifier-naming)
    void on_field_impl(boost::beast::http::field, Text name, Text value, ErrorCode&) final
    {
        if (!headEnded_)
            fields_.add({name.data(), name.size()}, {value.data(), value.size()});
    }

    void on_header_impl(ErrorCode&) final { headEnded_ = true; }

    void on_chunk_header_impl(std::uint64_t, Text, ErrorCode&) final { chunkBegan_ = true; }

    std::size_t on_chunk_body_impl(std::uint64_t, Text body, ErrorCode& error) final
    {
        return this->on_body_impl(body, error);
    }

    void on_finish_impl(ErrorCode&) final { }
    // NOLINTEND(readability-identifier-naming)

    HttpHeaders fields_;
    bool headEnded_ = false;
    bool chunkBegan_ = false;
};

// Holds the whole body.
class HttpRequestParser final : public HttpParser<true> {
public:
    // 10 for HTTP/1.0, and 11 for HTTP/1.1.
    int version() const { return version_; }

    const HttpHeaders& headers() { return fields(); }

    std::size_t bodySize() const { return body_.size(); }

    void dropBody() { std::string().swap(body_); }

    // Moves the request out; the parser is not used afterwards.
    HttpRequest take()
    {
        return HttpRequest{std::move(method_), std::move(target_), std::move(fields()), std::move(body_)};
    }

private:
    void on_request_impl(boost::beast::http::verb, Text method, Text target, int version, ErrorCode&) override
    {
        version_ = version;
        method_.assign(method.data(), method.size());
        target_.assign(target.data(), target.size());
    }

    void on_response_impl(int, Text, int, ErrorCode&) override { }

    // The length has been checked against the limit for bodies.
    void on_body_init_impl(const boost::optional<std::uint64_t>& length, ErrorCode&) override
    {
        if (length)
            body_.reserve(static_cast<std::size_t>(*length));
    }

    std::size_t on_body_impl(Text body, ErrorCode&) override
    {
        body_.append(body.data(), body.size());
        return body.size();
    }

    int version_ = 0;
    std::string method_;
    std::string target_;
    std::string body_;
};

// Gives the body out in pieces.
class HttpResponseParser final : public HttpParser<false> {
public:
    int status() const { return status_; }

    // Moves the fields of the head out.
    HttpHeaders takeHeaders() { return std::move(fields()); }

    bool hasPiece() const { return !piece_.empty(); }

    std::string takePiece() { return std::exchange(piece_, {}); }

private:
    static constexpr std::size_t maxPieceBytes = 16384;

    void on_request_impl(boost::beast::http::verb, Text, Text, int, ErrorCode&) override { }

    void on_response_impl(int status, Text, int, ErrorCode&) override { status_ = status; }

    void on_body_init_impl(const boost::optional<std::uint64_t>&, ErrorCode&) override { }

    std::size_t on_body_impl(Text body, ErrorCode&) override
    {
        const std::size_t count = std::min(body.size(), maxPieceBytes - piece_.size());
        piece_.append(body.data(), count);
        return count;
    }

    int status_ = 0;
    std::string piece_;
};

// Parses what is in `buffer`, and reads more by `read(space, error)` until the parser has taken something. A read that
// has failed or was cancelled can be repeated, because `buffer` keeps what has arrived. The buffer never holds more
// than `maxBuffered` bytes; what the parser needs at once beyond that fails with buffer_overflow. Parsing happens on
// the calling fiber, so that an exception of the library reaches the owner of the connection.
template <bool isRequest, typename Read>
void readSome(const Read& read, boost::beast::flat_buffer& buffer, HttpParser<isRequest>& parser,
    std::size_t maxBuffered, boost::system::error_code& error)
{
    namespace http = boost::beast::http;
    constexpr std::size_t minReadBytes = 512;
    constexpr std::size_t maxReadBytes = 65536;
    while (true) {
        if (parser.mayParse(buffer.size())) {
            buffer.consume(parser.put(buffer.data(), error));
            if (error != http::error::need_more)
                return;
        }
        if (buffer.size() >= maxBuffered) {
            error = http::error::buffer_overflow;
            return;
        }
        const std::size_t room = std::min(maxReadBytes, maxBuffered - buffer.size());
        const std::size_t wanted = std::max(minReadBytes, buffer.capacity() - buffer.size());
        error = {};
        buffer.commit(read(buffer.prepare(std::min(room, wanted)), error));
        if (error == boost::asio::error::eof) {
            error = http::error::end_of_stream;
            if (parser.got_some()) {
                error = {};
                parser.put_eof(error);
            }
            return;
        }
        if (error)
            return;
    }
}

// Reads from a socket.
template <bool isRequest>
void readSome(boost::asio::ip::tcp::socket& socket, boost::beast::flat_buffer& buffer, HttpParser<isRequest>& parser,
    std::size_t maxBuffered, boost::system::error_code& error)
{
    const auto read = [&](const boost::asio::mutable_buffer& space, boost::system::error_code& result) {
        return socket.async_read_some(space, FiberToken{result});
    };
    readSome(read, buffer, parser, maxBuffered, error);
}

// Parses until the end of the head.
template <bool isRequest, typename Source>
void readHead(Source& source, boost::beast::flat_buffer& buffer, HttpParser<isRequest>& parser, std::size_t maxBuffered,
    boost::system::error_code& error)
{
    do
        readSome(source, buffer, parser, maxBuffered, error);
    while (!error && !parser.is_header_done());
}

} // namespace lychee
