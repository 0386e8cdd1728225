// Many connections on which a test sends requests and reads nothing.
#pragma once

#include "transport/HttpMessage.h"

#include <arpa/inet.h>
#include <netinet/in.h>
#include <poll.h>
#include <sys/socket.h>
#include <unistd.h>

#include <algorithm>
#include <stdexcept>
#include <string>
#include <vector>

namespace lychee::test {

// Throws std::runtime_error when a connection cannot be opened or a request cannot be sent.
class SlowCallers {
public:
    // Sends `text` on each of `count` connections, which hold as little as the system allows of what they do not read.
    SlowCallers(const Endpoint& endpoint, std::size_t count, std::string_view text)
    {
        sockaddr_in address{};
        address.sin_family = AF_INET;
        address.sin_port = htons(endpoint.port);
        inet_pton(AF_INET, endpoint.address.c_str(), &address.sin_addr);
        for (std::size_t i = 0; i < count; ++i) {
            const int socket = ::socket(AF_INET, SOCK_STREAM, 0);
            sockets_.push_back(socket);
            const int bytes = 1;
            ::setsockopt(socket, SOL_SOCKET, SO_RCVBUF, &bytes, sizeof bytes);
            if (::connect(socket, reinterpret_cast<const sockaddr*>(&address), sizeof address) != 0)
                throw std::runtime_error("cannot connect");
            send(socket, text);
        }
    }

    SlowCallers(const SlowCallers&) = delete;
    SlowCallers& operator=(const SlowCallers&) = delete;

    ~SlowCallers()
    {
        for (const int socket : sockets_)
            ::close(socket);
    }

    // Connections that the other side has reset or closed.
    std::size_t closed() const
    {
        return static_cast<std::size_t>(std::count_if(sockets_.begin(), sockets_.end(), [](int socket) {
            pollfd entry{socket, POLLRDHUP, 0};
            return ::poll(&entry, 1, 0) == 1;
        }));
    }

    // What can be read on one connection without waiting.
    std::string received(std::size_t index) const
    {
        std::string text(65536, '\0');
        const ssize_t count = ::recv(sockets_[index], text.data(), text.size(), MSG_DONTWAIT);
        text.resize(static_cast<std::size_t>(std::max<ssize_t>(count, 0)));
        return text;
    }

private:
    static void send(int socket, std::string_view text)
    {
        while (!text.empty()) {
            const ssize_t count = ::send(socket, text.data(), text.size(), MSG_NOSIGNAL);
            // The other side may refuse a request before it is complete.
            if (count <= 0)
                return;
            text.remove_prefix(static_cast<std::size_t>(count));
        }
    }

    std::vector<int> sockets_;
};

} // namespace lychee::test
