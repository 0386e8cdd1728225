#include "tests/support/FreePort.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/tcp.hpp>
#include <boost/asio/ip/udp.hpp>

#include <list>
#include <random>
#include <stdexcept>

namespace lychee::test {

namespace {

using boost::asio::ip::tcp;

// Below the usual begin of the range of outgoing connections (32768), above the ports of common services.
constexpr std::uint32_t firstPort = 10240;
constexpr std::uint32_t lastPort = 32000;
constexpr int maxTries = 1000;

bool isFree(std::uint16_t port)
{
    boost::asio::io_context context;
    tcp::acceptor acceptor(context);
    boost::system::error_code error;
    const tcp::endpoint endpoint(boost::asio::ip::address_v4::loopback(), port);
    acceptor.open(endpoint.protocol(), error);
    // Without address reuse, so that a port with connections of an earlier process is not free.
    if (!error)
        acceptor.bind(endpoint, error);
    return !error;
}

// Keeps other tests that run at the same time from drawing the port before a process has bound it. No process of the
// tests uses UDP, so a UDP socket of the same number can mark it until this process ends.
bool reserve(std::uint16_t port)
{
    using boost::asio::ip::udp;
    static boost::asio::io_context context;
    static std::list<udp::socket> reservations;
    udp::socket socket(context);
    boost::system::error_code error;
    const udp::endpoint endpoint(boost::asio::ip::address_v4::loopback(), port);
    socket.open(endpoint.protocol(), error);
    if (!error)
        socket.bind(endpoint, error);
    if (!error)
        reservations.push_back(std::move(socket));
    return !error;
}

} // namespace

std::uint16_t freePort()
{
    // Tests run side by side, so each process begins at another port.
    static std::mt19937 random{std::random_device()()};
    std::uniform_int_distribution<std::uint32_t> draw(firstPort, lastPort);
    for (int i = 0; i < maxTries; ++i) {
        const auto port = static_cast<std::uint16_t>(draw(random));
        if (reserve(port) && isFree(port))
            return port;
    }
    throw std::runtime_error("no port is free");
}

} // namespace lychee::test
