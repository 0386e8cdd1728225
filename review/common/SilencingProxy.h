// A TCP relay that can make its open connections silent for good: their bytes are taken and dropped in both directions,
// and neither side sees an end. New connections work.
#pragma once

#include "Http.h"

#include <atomic>

namespace review {

class SilencingProxy {
public:
    // Listens on a free port of the loopback address.
    explicit SilencingProxy(std::uint16_t target);
    ~SilencingProxy();

    std::uint16_t port() const { return port_; }

    // Returns the number of connections that became silent.
    int silenceOpenConnections();

private:
    struct Link {
        tcp::socket near{socketContext()};
        tcp::socket far{socketContext()};
        std::atomic<bool> silent{false};
        std::atomic<int> ended{0};
    };

    static void pump(const std::shared_ptr<Link>& link, tcp::socket& from, tcp::socket& to);

    tcp::acceptor acceptor_;
    std::uint16_t port_ = 0;
    std::uint16_t target_;
    std::mutex mutex_;
    std::vector<std::shared_ptr<Link>> links_;
    std::atomic<bool> ending_{false};
    std::thread thread_;
};

} // namespace review
