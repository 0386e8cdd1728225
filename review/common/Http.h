// A small blocking HTTP/1.1 server and client for the stand-ins and clients of the review.
#pragma once

// Boost.Asio 1.74 uses std::exchange without its header.
#include <utility>

#include <boost/asio.hpp>
#include <boost/beast/core.hpp>
#include <boost/beast/http.hpp>

#include <chrono>
#include <functional>
#include <map>
#include <memory>
#include <mutex>
#include <optional>
#include <set>
#include <string>
#include <thread>

namespace review {

namespace http = boost::beast::http;
using tcp = boost::asio::ip::tcp;
using Clock = std::chrono::steady_clock;
using std::chrono::milliseconds;

using Request = http::request<http::string_body>;

// The context of all sockets of the process. It is never run and never destroyed, because threads may use their sockets
// until the process ends.
boost::asio::io_context& socketContext();

// A header of a message, empty when it is absent.
std::string header(const Request& request, const char* name);

// The path of a request without its query.
std::string pathOf(const Request& request);

// A parameter of the query of a request, empty when it is absent.
std::string queryOf(const Request& request, const std::string& name);

using Headers = std::map<std::string, std::string>;

// One request at the server and its answer.
class Exchange {
public:
    explicit Exchange(tcp::socket& socket)
        : socket_(socket)
    {
    }

    void respond(int status, const Headers& headers, const std::string& body);

    // A streamed answer in chunks. Writing fails when the connection has ended.
    void beginStream(const Headers& headers);
    bool write(const std::string& piece);
    void endStream();

    bool isPeerGone();

    bool hasFailed() const { return failed_; }

private:
    tcp::socket& socket_;
    bool failed_ = false;
};

// Serves each connection on a thread of its own.
class HttpServer {
public:
    using Handler = std::function<void(const Request&, Exchange&)>;

    explicit HttpServer(Handler handler)
        : handler_(std::move(handler))
    {
    }
    ~HttpServer() { stop(); }

    // Listens on an address; port 0 takes any free port. Returns the port. Throws when the address cannot be bound.
    std::uint16_t start(const std::string& address, std::uint16_t port);

    // Closes the listening socket and all connections, as the end of the process does.
    void stop();

private:
    struct Connections {
        std::mutex mutex;
        std::set<tcp::socket*> open;
        bool stopped = false;
    };

    Handler handler_;
    std::unique_ptr<tcp::acceptor> acceptor_;
    std::shared_ptr<Connections> connections_;
    std::thread thread_;
};

struct Answer {
    // 0 when there was no answer.
    int status = 0;
    Headers headers;
    // The body up to its end or to the point where it broke off.
    std::string body;
    bool complete = false;
};

// Sends a request on a new connection and reads the answer within the limit.
Answer send(const std::string& address, std::uint16_t port, const std::string& method, const std::string& target,
    const Headers& headers, const std::string& body, milliseconds limit);

} // namespace review
