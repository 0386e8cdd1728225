#include "SilencingProxy.h"

#include <sys/socket.h>

#include <array>

namespace review {

namespace asio = boost::asio;
using boost::system::error_code;

SilencingProxy::SilencingProxy(std::uint16_t target)
    : acceptor_(socketContext(), tcp::endpoint(asio::ip::make_address("127.0.0.1"), 0))
    , port_(acceptor_.local_endpoint().port())
    , target_(target)
{
    thread_ = std::thread([this] {
        while (!ending_) {
            auto link = std::make_shared<Link>();
            error_code error;
            acceptor_.accept(link->near, error);
            if (error || ending_)
                continue;
            link->far.connect(tcp::endpoint(asio::ip::make_address("127.0.0.1"), target_), error);
            if (error)
                continue;
            link->near.set_option(tcp::no_delay(true), error);
            link->far.set_option(tcp::no_delay(true), error);
            {
                const std::lock_guard lock(mutex_);
                links_.push_back(link);
            }
            std::thread([link] { pump(link, link->near, link->far); }).detach();
            std::thread([link] { pump(link, link->far, link->near); }).detach();
        }
    });
}

SilencingProxy::~SilencingProxy()
{
    ending_ = true;
    ::shutdown(acceptor_.native_handle(), SHUT_RDWR);
    thread_.join();
    const std::lock_guard lock(mutex_);
    for (const auto& link : links_) {
        ::shutdown(link->near.native_handle(), SHUT_RDWR);
        ::shutdown(link->far.native_handle(), SHUT_RDWR);
    }
}

int SilencingProxy::silenceOpenConnections()
{
    const std::lock_guard lock(mutex_);
    int count = 0;
    for (const auto& link : links_) {
        if (link->ended == 0 && !link->silent.exchange(true))
            ++count;
    }
    return count;
}

void SilencingProxy::pump(const std::shared_ptr<Link>& link, tcp::socket& from, tcp::socket& to)
{
    std::array<char, 16384> bytes{};
    error_code error;
    while (true) {
        const std::size_t count = from.read_some(asio::buffer(bytes), error);
        if (error)
            break;
        if (link->silent)
            continue;
        asio::write(to, asio::buffer(bytes.data(), count), error);
        if (error)
            break;
    }
    ++link->ended;
    // The end of one side is passed on, unless the connection is silent.
    if (!link->silent)
        ::shutdown(to.native_handle(), SHUT_RDWR);
}

} // namespace review
