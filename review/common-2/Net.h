// Blocking HTTP/1.1 over loopback sockets: what the stand-ins and the clients of the cases need of it.
#pragma once

#include <algorithm>
#include <arpa/inet.h>
#include <atomic>
#include <cerrno>
#include <chrono>
#include <cstdint>
#include <cstring>
#include <functional>
#include <memory>
#include <netinet/tcp.h>
#include <optional>
#include <poll.h>
#include <random>
#include <string>
#include <strings.h>
#include <sys/socket.h>
#include <thread>
#include <unistd.h>
#include <utility>
#include <vector>

namespace review {

using Clock = std::chrono::steady_clock;
using Milliseconds = std::chrono::milliseconds;

inline void sleepMs(std::int64_t milliseconds) { std::this_thread::sleep_for(Milliseconds(milliseconds)); }

struct Message {
    std::string method;
    std::string target;
    int status = 0;
    std::vector<std::pair<std::string, std::string>> headers;
    std::string body;

    std::string header(const std::string& name) const
    {
        for (const auto& [key, value] : headers) {
            if (strcasecmp(key.c_str(), name.c_str()) == 0)
                return value;
        }
        return {};
    }

    std::string path() const { return target.substr(0, target.find('?')); }

    std::string query(const std::string& name) const
    {
        std::size_t at = target.find('?');
        while (at != std::string::npos) {
            const std::size_t end = target.find('&', at + 1);
            const std::string pair = target.substr(at + 1, end == std::string::npos ? end : end - at - 1);
            if (pair.substr(0, pair.find('=')) == name && pair.find('=') != std::string::npos)
                return pair.substr(pair.find('=') + 1);
            at = end;
        }
        return {};
    }
};

// One TCP connection. Used by one thread, but for shutdownNow().
class Connection {
public:
    explicit Connection(int fd)
        : fd_(fd)
    {
        int one = 1;
        setsockopt(fd_, IPPROTO_TCP, TCP_NODELAY, &one, sizeof one);
    }
    Connection(const Connection&) = delete;
    ~Connection() { close(); }

    static std::unique_ptr<Connection> open(int port)
    {
        const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (::connect(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0) {
            ::close(fd);
            return nullptr;
        }
        return std::make_unique<Connection>(fd);
    }

    void close()
    {
        if (fd_ >= 0)
            ::close(std::exchange(fd_, -1));
    }

    // Closes with a reset.
    void reset()
    {
        linger abort{1, 0};
        setsockopt(fd_, SOL_SOCKET, SO_LINGER, &abort, sizeof abort);
        close();
    }

    bool isOpen() const { return fd_ >= 0; }

    // Whether the peer has closed the connection.
    bool isPeerGone() const
    {
        char byte = 0;
        const ssize_t count = ::recv(fd_, &byte, 1, MSG_PEEK | MSG_DONTWAIT);
        return count == 0 || (count < 0 && errno != EAGAIN && errno != EWOULDBLOCK);
    }

    bool write(const std::string& bytes)
    {
        std::size_t sent = 0;
        while (fd_ >= 0 && sent < bytes.size()) {
            const ssize_t count = ::send(fd_, bytes.data() + sent, bytes.size() - sent, MSG_NOSIGNAL);
            if (count <= 0)
                return false;
            sent += static_cast<std::size_t>(count);
        }
        return fd_ >= 0;
    }

    // Reads what is there into the buffer. Returns false at the end of the connection or the time limit.
    bool fill(Clock::time_point until = Clock::time_point::max())
    {
        if (fd_ < 0)
            return false;
        if (until != Clock::time_point::max()) {
            const auto left = std::chrono::duration_cast<Milliseconds>(until - Clock::now()).count();
            pollfd waited{fd_, POLLIN, 0};
            if (left <= 0 || ::poll(&waited, 1, static_cast<int>(left)) <= 0) {
                timedOut = true;
                return false;
            }
        }
        char piece[16384];
        const ssize_t count = ::recv(fd_, piece, sizeof piece, 0);
        if (count < 0)
            wasReset = true;
        if (count <= 0)
            return false;
        buffer.append(piece, static_cast<std::size_t>(count));
        return true;
    }

    // Reads the head of a request or an answer.
    bool readHead(Message& message, bool isAnswer, Clock::time_point until = Clock::time_point::max())
    {
        std::size_t end = 0;
        while ((end = buffer.find("\r\n\r\n")) == std::string::npos) {
            if (!fill(until))
                return false;
        }
        const std::string head = buffer.substr(0, end);
        buffer.erase(0, end + 4);
        message = {};
        std::size_t at = head.find("\r\n");
        const std::string first = head.substr(0, at);
        if (isAnswer) {
            message.status = std::atoi(first.c_str() + first.find(' ') + 1);
        } else {
            message.method = first.substr(0, first.find(' '));
            message.target = first.substr(first.find(' ') + 1, first.rfind(' ') - first.find(' ') - 1);
        }
        while (at != std::string::npos) {
            const std::size_t next = head.find("\r\n", at + 2);
            const std::string line = head.substr(at + 2, next == std::string::npos ? next : next - at - 2);
            const std::size_t colon = line.find(':');
            if (colon != std::string::npos) {
                const std::size_t value = line.find_first_not_of(' ', colon + 1);
                message.headers.emplace_back(
                    line.substr(0, colon), value == std::string::npos ? "" : line.substr(value));
            }
            at = next;
        }
        return true;
    }

    // Reads the body after a head. `isWhole` tells whether it ended as HTTP says it must. `piece` sees each part.
    bool readBody(Message& message, bool isAnswer, Clock::time_point until = Clock::time_point::max(),
        const std::function<void()>& piece = {})
    {
        const std::string length = message.header("Content-Length");
        const bool chunked = !message.header("Transfer-Encoding").empty();
        if (chunked) {
            while (true) {
                std::size_t end = 0;
                while ((end = buffer.find("\r\n")) == std::string::npos) {
                    if (!fill(until))
                        return false;
                }
                const std::size_t size = std::stoul(buffer.substr(0, end), nullptr, 16);
                while (buffer.size() < end + 2 + size + 2) {
                    if (!fill(until))
                        return false;
                }
                message.body += buffer.substr(end + 2, size);
                buffer.erase(0, end + 2 + size + 2);
                if (size == 0)
                    return true;
                if (piece)
                    piece();
            }
        }
        if (!length.empty() || !isAnswer) {
            const std::size_t size = length.empty() ? 0 : std::stoul(length);
            while (buffer.size() < size) {
                if (!fill(until))
                    return false;
            }
            message.body = buffer.substr(0, size);
            buffer.erase(0, size);
            return true;
        }
        while (fill(until)) { }
        message.body = std::exchange(buffer, {});
        return !wasReset && !timedOut;
    }

    bool readRequest(Message& message) { return readHead(message, false) && readBody(message, false); }

    std::string buffer;
    bool wasReset = false;
    bool timedOut = false;

private:
    int fd_;
};

inline std::string answerText(
    int status, const std::string& body, const std::vector<std::pair<std::string, std::string>>& headers = {})
{
    std::string text = "HTTP/1.1 " + std::to_string(status) + " X\r\n";
    for (const auto& [name, value] : headers)
        text += name + ": " + value + "\r\n";
    return text + "Content-Length: " + std::to_string(body.size()) + "\r\n\r\n" + body;
}

// Accepts connections on a loopback port, each on a thread of its own. The handler returns whether the connection is
// kept. Never destroyed.
class Server {
public:
    using Handler = std::function<bool(Connection&, const Message&)>;

    Server(int port, Handler handler)
        : handler_(std::move(handler))
    {
        fd_ = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
        int one = 1;
        setsockopt(fd_, SOL_SOCKET, SO_REUSEADDR, &one, sizeof one);
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(static_cast<std::uint16_t>(port));
        address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
        if (::bind(fd_, reinterpret_cast<sockaddr*>(&address), sizeof address) != 0 || ::listen(fd_, 512) != 0)
            return;
        socklen_t size = sizeof address;
        getsockname(fd_, reinterpret_cast<sockaddr*>(&address), &size);
        port_ = ntohs(address.sin_port);
        std::thread([this] { accept(); }).detach();
    }

    // 0 when the port could not be bound.
    int port() const { return port_; }

private:
    void accept()
    {
        while (true) {
            const int fd = ::accept4(fd_, nullptr, nullptr, SOCK_CLOEXEC);
            if (fd < 0)
                continue;
            std::thread([this, fd] {
                Connection connection(fd);
                Message request;
                while (connection.readRequest(request) && handler_(connection, request)) { }
            }).detach();
        }
    }

    Handler handler_;
    int fd_ = -1;
    int port_ = 0;
};

// Whether a port can be bound now.
inline bool isFree(int port)
{
    const int fd = ::socket(AF_INET, SOCK_STREAM | SOCK_CLOEXEC, 0);
    sockaddr_in address{};
    address.sin_family = AF_INET;
    address.sin_port = htons(static_cast<std::uint16_t>(port));
    address.sin_addr.s_addr = htonl(INADDR_LOOPBACK);
    const bool isBound = ::bind(fd, reinterpret_cast<sockaddr*>(&address), sizeof address) == 0;
    ::close(fd);
    return isBound;
}

// The first of two ports that are free now, below the range from which the system takes those of outgoing connections.
inline int freePort()
{
    static std::mt19937 random(std::random_device{}());
    static int last = 0;
    while (true) {
        const int port = std::uniform_int_distribution<int>(10000, 15999)(random) * 2;
        if (port != last && isFree(port) && isFree(port + 1))
            return last = port;
    }
}

} // namespace review
