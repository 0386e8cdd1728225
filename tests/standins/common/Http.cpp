#include "tests/standins/common/Http.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/write.hpp>
#include <boost/beast/core/flat_buffer.hpp>
#include <boost/beast/http.hpp>

#include <sys/socket.h>

#include <atomic>
#include <cctype>
#include <thread>

namespace lychee::standin {

namespace {

namespace asio = boost::asio;
namespace http = boost::beast::http;
using boost::system::error_code;
using Tcp = asio::ip::tcp;

constexpr std::uint64_t maxBodyBytes = 64 << 20;
constexpr std::uint32_t maxHeaderBytes = 64 << 10;
constexpr int http11 = 11;
constexpr std::chrono::milliseconds timeToRead{20};

int hexDigit(char c)
{
    if (c >= '0' && c <= '9')
        return c - '0';
    const int lower = std::tolower(static_cast<unsigned char>(c));
    return lower >= 'a' && lower <= 'f' ? lower - 'a' + 10 : -1;
}

std::string percentDecode(std::string_view text)
{
    std::string decoded;
    for (std::size_t i = 0; i < text.size(); ++i) {
        if (text[i] == '%' && i + 2 < text.size() && hexDigit(text[i + 1]) >= 0 && hexDigit(text[i + 2]) >= 0) {
            decoded.push_back(static_cast<char>(hexDigit(text[i + 1]) * 16 + hexDigit(text[i + 2])));
            i += 2;
        } else {
            decoded.push_back(text[i]);
        }
    }
    return decoded;
}

bool sameName(std::string_view left, std::string_view right)
{
    return std::equal(left.begin(), left.end(), right.begin(), right.end(),
        [](unsigned char a, unsigned char b) { return std::tolower(a) == std::tolower(b); });
}

class BeastConnection final : public Connection {
public:
    BeastConnection(std::shared_ptr<asio::io_context> context, Tcp::socket socket)
        : context_(std::move(context))
        , socket_(std::move(socket))
    {
        error_code ignored;
        socket_.set_option(Tcp::no_delay(true), ignored);
    }

    bool read(Request& request) override
    {
        http::request_parser<http::string_body> parser;
        parser.body_limit(maxBodyBytes);
        parser.header_limit(maxHeaderBytes);
        error_code error;
        http::read(socket_, buffer_, parser, error);
        if (error)
            return false;
        auto message = parser.release();
        request = {};
        request.method = std::string(message.method_string());
        request.target = std::string(message.target());
        for (const auto& field : message)
            request.headers.push_back({std::string(field.name_string()), std::string(field.value())});
        request.body = std::move(message.body());
        keepAlive_ = message.keep_alive();
        fault_ = {};
        eventsSent_ = 0;
        return true;
    }

    void setAnswerFault(const AnswerFault& fault) override { fault_ = fault; }

    bool answersWithoutLength() const override { return fault_.noLength; }

    bool write(const Response& response) override
    {
        if (fault_.drop && fault_.noLength)
            return writeBeginning(response);
        if (const WriteAction action = applyAnswerFault(); action != WriteAction::Send)
            return action == WriteAction::Discard;
        http::response<http::string_body> message{static_cast<http::status>(response.status), http11};
        setHeaders(message, response.headers);
        message.body() = response.body;
        message.keep_alive(keepAlive_);
        if (!fault_.noLength)
            message.prepare_payload();
        error_code error;
        if (fault_.noLength && fault_.pauseInside.count() > 0) {
            const std::string rest = message.body().substr(message.body().size() / 2);
            message.body().resize(message.body().size() / 2);
            http::write(socket_, message, error);
            std::this_thread::sleep_for(fault_.pauseInside);
            if (!error)
                asio::write(socket_, asio::buffer(rest), error);
        } else {
            http::write(socket_, message, error);
        }
        return finish(error, !keepAlive_ || fault_.noLength);
    }

    bool beginStream(const std::vector<HeaderField>& headers) override
    {
        if (const WriteAction action = applyAnswerFault(); action != WriteAction::Send)
            return action == WriteAction::Discard;
        http::response<http::empty_body> message{http::status::ok, http11};
        setHeaders(message, headers);
        message.chunked(!fault_.noLength);
        http::response_serializer<http::empty_body> serializer{message};
        error_code error;
        http::write_header(socket_, serializer, error);
        return finish(error, false);
    }

    bool writeEvent(const std::string& text) override
    {
        if (const WriteAction action = applyAnswerFault(); action != WriteAction::Send)
            return action == WriteAction::Discard;
        if (fault_.drop && fault_.insideEvent && eventsSent_ >= fault_.afterEvents) {
            writePiece(text.substr(0, text.size() / 2));
            close();
            return false;
        }
        ++eventsSent_;
        return finish(writePiece(text), false);
    }

    bool endStream() override
    {
        if (const WriteAction action = applyAnswerFault(); action != WriteAction::Send)
            return action == WriteAction::Discard;
        error_code error;
        if (!fault_.noLength)
            asio::write(socket_, http::make_chunk_last(), error);
        return finish(error, !keepAlive_ || fault_.noLength);
    }

    bool isPeerClosed() override
    {
        if (!socket_.is_open())
            return true;
        char byte = 0;
        const ssize_t size = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return size == 0 || (size < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
    }

    void close() override
    {
        error_code ignored;
        socket_.shutdown(Tcp::socket::shutdown_both, ignored);
        socket_.close(ignored);
    }

    void silence() override { silent_ = true; }

    bool isSilent() const override { return silent_; }

private:
    enum class WriteAction {
        Send,
        Discard,
        Closed,
    };

    WriteAction applyAnswerFault()
    {
        if (fault_.delay.count() > 0 && eventsSent_ >= fault_.delayAfterEvents)
            std::this_thread::sleep_for(std::exchange(fault_.delay, {}));
        const bool due = eventsSent_ >= fault_.afterEvents;
        if (fault_.silence && due)
            silent_ = true;
        if (silent_)
            return WriteAction::Discard;
        if (fault_.drop && due && !fault_.insideEvent)
            drop();
        return socket_.is_open() ? WriteAction::Send : WriteAction::Closed;
    }

    template <typename Message> void setHeaders(Message& message, const std::vector<HeaderField>& headers) const
    {
        for (const auto* fields : {&headers, &fault_.headers}) {
            for (const HeaderField& field : *fields)
                message.set(field.name, field.value);
        }
    }

    // Writes half of the body of an answer without length, and drops the connection after the peer could read it.
    bool writeBeginning(const Response& response)
    {
        http::response<http::string_body> message{static_cast<http::status>(response.status), http11};
        setHeaders(message, response.headers);
        message.body() = response.body.substr(0, response.body.size() / 2);
        error_code error;
        http::write(socket_, message, error);
        std::this_thread::sleep_for(timeToRead);
        drop();
        return false;
    }

    // Without an orderly end when that would make the answer complete, unless the fault asks for it.
    void drop()
    {
        if (!fault_.noLength || fault_.regularEnd)
            return close();
        error_code ignored;
        socket_.set_option(asio::socket_base::linger(true, 0), ignored);
        socket_.close(ignored);
    }

    error_code writePiece(const std::string& text)
    {
        error_code error;
        if (fault_.noLength)
            asio::write(socket_, asio::buffer(text), error);
        else
            asio::write(socket_, http::make_chunk(asio::buffer(text)), error);
        return error;
    }

    bool finish(const error_code& error, bool closeAfter)
    {
        if (error || closeAfter)
            close();
        return !error;
    }

    std::shared_ptr<asio::io_context> context_;
    Tcp::socket socket_;
    boost::beast::flat_buffer buffer_;
    AnswerFault fault_;
    int eventsSent_ = 0;
    bool keepAlive_ = true;
    std::atomic<bool> silent_{false};
};

class TcpListener final : public Listener {
public:
    TcpListener(const std::string& address, std::uint16_t port, bool sharesPort)
        : context_(std::make_shared<asio::io_context>())
        , acceptor_(*context_)
    {
        const Tcp::endpoint endpoint(asio::ip::make_address(address), port);
        acceptor_.open(endpoint.protocol());
        acceptor_.set_option(Tcp::acceptor::reuse_address(true));
        if (sharesPort)
            acceptor_.set_option(asio::detail::socket_option::boolean<SOL_SOCKET, SO_REUSEPORT>(true));
        acceptor_.bind(endpoint);
        acceptor_.listen();
    }

    std::uint16_t port() const override { return acceptor_.local_endpoint().port(); }

    void serve(std::function<void(const std::shared_ptr<Connection>&)> handler) override
    {
        std::thread([this, handler = std::move(handler)] { accept(handler); }).detach();
    }

private:
    void accept(const std::function<void(const std::shared_ptr<Connection>&)>& handler)
    {
        while (true) {
            Tcp::socket socket(*context_);
            error_code error;
            acceptor_.accept(socket, error);
            if (error) {
                // Typically out of file descriptors: waits for connections to end instead of retrying in a busy loop.
                std::this_thread::sleep_for(std::chrono::milliseconds(10));
                continue;
            }
            auto connection = std::make_shared<BeastConnection>(context_, std::move(socket));
            std::thread([connection, handler] { handler(connection); }).detach();
        }
    }

    std::shared_ptr<asio::io_context> context_;
    Tcp::acceptor acceptor_;
};

} // namespace

std::string Request::path() const { return percentDecode(std::string_view(target).substr(0, target.find('?'))); }

std::optional<std::string> Request::query(std::string_view name) const
{
    const std::size_t mark = target.find('?');
    if (mark == std::string::npos)
        return std::nullopt;
    std::string_view rest = std::string_view(target).substr(mark + 1);
    while (!rest.empty()) {
        const std::string_view pair = rest.substr(0, rest.find('&'));
        const std::size_t equals = pair.find('=');
        if (pair.substr(0, equals) == name)
            return equals == std::string_view::npos ? std::string() : percentDecode(pair.substr(equals + 1));
        rest.remove_prefix(std::min(rest.size(), pair.size() + 1));
    }
    return std::nullopt;
}

std::optional<std::string> Request::header(std::string_view name) const
{
    for (const HeaderField& field : headers) {
        if (sameName(field.name, name))
            return field.value;
    }
    return std::nullopt;
}

Response Response::json(int status, const nlohmann::json& body, std::vector<HeaderField> headers)
{
    Response response{status, std::move(headers), body.dump(-1, ' ', false, nlohmann::json::error_handler_t::replace)};
    response.headers.push_back({"Content-Type", "application/json"});
    return response;
}

std::shared_ptr<Listener> Listener::bind(const std::string& address, std::uint16_t port, bool sharesPort)
{
    return std::make_shared<TcpListener>(address, port, sharesPort);
}

namespace {

std::optional<int> exchange(const std::string& address, std::uint16_t port, http::request<http::string_body> request)
{
    asio::io_context context;
    Tcp::socket socket(context);
    error_code error;
    socket.connect(Tcp::endpoint(asio::ip::make_address(address, error), port), error);
    if (error)
        return std::nullopt;
    request.set(http::field::host, address);
    request.keep_alive(false);
    request.prepare_payload();
    http::write(socket, request, error);
    if (error)
        return std::nullopt;
    boost::beast::flat_buffer buffer;
    http::response<http::string_body> response;
    http::read(socket, buffer, response, error);
    if (error)
        return std::nullopt;
    return static_cast<int>(response.result_int());
}

} // namespace

std::optional<int> httpGet(const std::string& address, std::uint16_t port, const std::string& target)
{
    return exchange(address, port, {http::verb::get, target, http11});
}

std::optional<int> httpPost(
    const std::string& address, std::uint16_t port, const std::string& target, const std::string& body)
{
    return exchange(address, port, {http::verb::post, target, http11, body});
}

} // namespace lychee::standin
