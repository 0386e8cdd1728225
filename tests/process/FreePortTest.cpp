#include "tests/support/FreePort.h"

#include <boost/asio/io_context.hpp>
#include <boost/asio/ip/udp.hpp>

#include <gtest/gtest.h>

#include <set>

namespace lychee::test {
namespace {

// Guards against two tests that run at the same time and draw the same port, of which one cannot start its processes.
TEST(FreePort, StaysReservedWhileTheTestRuns)
{
    using boost::asio::ip::udp;
    constexpr int count = 200;
    std::set<std::uint16_t> ports;
    for (int i = 0; i < count; ++i)
        ports.insert(freePort());
    EXPECT_EQ(ports.size(), static_cast<std::size_t>(count));
    boost::asio::io_context context;
    for (const std::uint16_t port : ports) {
        udp::socket socket(context, udp::v4());
        boost::system::error_code error;
        socket.bind({boost::asio::ip::address_v4::loopback(), port}, error);
        EXPECT_TRUE(error) << port;
    }
}

} // namespace
} // namespace lychee::test
