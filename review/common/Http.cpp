#include "Http.h"

#include <sys/socket.h>
#include <sys/time.h>

namespace review {

namespace {

namespace asio = boost::asio;
using boost::system::error_code;

void setReceiveLimit(tcp::socket& socket, milliseconds limit)
{
    const auto milliseconds = std::max<std::int64_t>(limit.count(), 1);
    timeval time{};
    time.tv_sec = milliseconds / 1000;
    time.tv_usec = (milliseconds % 1000) * 1000;
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_RCVTIMEO, &time, sizeof(time));
    ::setsockopt(socket.native_handle(), SOL_SOCKET, SO_SNDTIMEO, &time, sizeof(time));
}

} // namespace

boost::asio::io_context& socketContext()
{
    static auto* const context = new boost::asio::io_context;
    return *context;
}

std::string header(const Request& request, const char* name)
{
    const auto value = request[name];
    return {value.data(), value.size()};
}

std::string pathOf(const Request& request)
{
    const std::string target(request.target().data(), request.target().size());
    return target.substr(0, target.find('?'));
}

std::string queryOf(const Request& request, const std::string& name)
{
    std::string target(request.target().data(), request.target().size());
    std::size_t at = target.find('?');
    while (at != std::string::npos) {
        const std::size_t end = target.find('&', at + 1);
        const std::string item = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
        if (item.substr(0, name.size() + 1) == name + "=")
            return item.substr(name.size() + 1);
        at = end;
    }
    return {};
}

void Exchange::respond(int status, const Headers& headers, const std::string& body)
{
    http::response<http::string_body> message(static_cast<http::status>(status), 11);
    for (const auto& [name, value] : headers)
        message.set(name, value);
    message.body() = body;
    message.prepare_payload();
    error_code error;
    http::write(socket_, message, error);
    failed_ = failed_ || error;
}

void Exchange::beginStream(const Headers& headers)
{
    http::response<http::empty_body> message(http::status::ok, 11);
    for (const auto& [name, value] : headers)
        message.set(name, value);
    message.chunked(true);
    http::response_serializer<http::empty_body> serializer(message);
    error_code error;
    http::write_header(socket_, serializer, error);
    failed_ = failed_ || error;
}

bool Exchange::write(const std::string& piece)
{
    error_code error;
    asio::write(socket_, http::make_chunk(asio::buffer(piece)), error);
    failed_ = failed_ || error;
    return !failed_;
}

void Exchange::endStream()
{
    error_code error;
    asio::write(socket_, http::make_chunk_last(), error);
    failed_ = failed_ || error;
}

bool Exchange::isPeerGone()
{
    char byte = 0;
    const ssize_t count = ::recv(socket_.native_handle(), &byte, 1, MSG_PEEK | MSG_DONTWAIT);
    return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK && errno != EINTR);
}

std::uint16_t HttpServer::start(const std::string& address, std::uint16_t port)
{
    connections_ = std::make_shared<Connections>();
    acceptor_ = std::make_unique<tcp::acceptor>(socketContext());
    const tcp::endpoint endpoint(asio::ip::make_address(address), port);
    acceptor_->open(endpoint.protocol());
    acceptor_->set_option(tcp::acceptor::reuse_address(true));
    acceptor_->bind(endpoint);
    acceptor_->listen();
    const std::uint16_t bound = acceptor_->local_endpoint().port();
    thread_ = std::thread([this, connections = connections_, handler = handler_] {
        while (true) {
            auto socket = std::make_shared<tcp::socket>(socketContext());
            error_code error;
            acceptor_->accept(*socket, error);
            const std::lock_guard lock(connections->mutex);
            if (connections->stopped)
                return;
            if (error)
                continue;
            socket->set_option(tcp::no_delay(true), error);
            connections->open.insert(socket.get());
            std::thread([connections, handler, socket] {
                boost::beast::flat_buffer buffer;
                while (true) {
                    Request request;
                    error_code failure;
                    http::read(*socket, buffer, request, failure);
                    if (failure)
                        break;
                    Exchange exchange(*socket);
                    handler(request, exchange);
                    if (exchange.hasFailed() || !request.keep_alive())
                        break;
                }
                const std::lock_guard guard(connections->mutex);
                connections->open.erase(socket.get());
                error_code ignored;
                socket->close(ignored);
            }).detach();
        }
    });
    return bound;
}

void HttpServer::stop()
{
    if (!acceptor_)
        return;
    {
        const std::lock_guard lock(connections_->mutex);
        connections_->stopped = true;
        for (tcp::socket* socket : connections_->open)
            ::shutdown(socket->native_handle(), SHUT_RDWR);
    }
    ::shutdown(acceptor_->native_handle(), SHUT_RDWR);
    thread_.join();
    error_code ignored;
    acceptor_->close(ignored);
    acceptor_.reset();
}

Answer send(const std::string& address, std::uint16_t port, const std::string& method, const std::string& target,
    const Headers& headers, const std::string& body, milliseconds limit)
{
    Answer answer;
    asio::io_context context;
    tcp::socket socket(context);
    error_code error;
    socket.connect(tcp::endpoint(asio::ip::make_address(address), port), error);
    if (error)
        return answer;
    socket.set_option(tcp::no_delay(true), error);
    const Clock::time_point deadline = Clock::now() + limit;
    const auto left = [&] { return std::chrono::duration_cast<milliseconds>(deadline - Clock::now()); };
    setReceiveLimit(socket, left());
    Request request;
    request.version(11);
    request.method_string(method);
    request.target(target);
    for (const auto& [name, value] : headers)
        request.set(name, value);
    request.body() = body;
    request.prepare_payload();
    http::write(socket, request, error);
    if (error)
        return answer;
    boost::beast::flat_buffer buffer;
    http::response_parser<http::string_body> parser;
    http::read_header(socket, buffer, parser, error);
    if (error)
        return answer;
    answer.status = static_cast<int>(parser.get().result_int());
    for (const auto& field : parser.get())
        answer.headers[std::string(field.name_string())] = std::string(field.value());
    while (!parser.is_done() && left().count() > 0) {
        setReceiveLimit(socket, left());
        http::read_some(socket, buffer, parser, error);
        if (error)
            break;
    }
    answer.complete = parser.is_done() && !error;
    answer.body = parser.get().body();
    return answer;
}

} // namespace review
