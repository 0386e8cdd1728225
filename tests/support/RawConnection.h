// A plain connection on which a test sends any bytes.
#pragma once

#include "transport/HttpMessage.h"

#include <boost/asio/ip/tcp.hpp>

#include <chrono>
#include <optional>
#include <stdexcept>
#include <string>

namespace lychee::test {

// Longer than each time limit of the daemon after which it closes a connection.
constexpr std::chrono::seconds closeLimit{10};

// Throws std::runtime_error when the connection cannot be opened.
class RawConnection {
public:
    explicit RawConnection(const Endpoint& endpoint)
    {
        stream_.expires_after(closeLimit);
        stream_.connect(endpoint.address, std::to_string(endpoint.port));
        if (!stream_)
            throw std::runtime_error("cannot connect to " + endpoint.toString());
    }

    void write(std::string_view bytes)
    {
        stream_.write(bytes.data(), static_cast<std::streamsize>(bytes.size()));
        stream_.flush();
    }

    void finishSending()
    {
        boost::system::error_code ignored;
        stream_.socket().shutdown(boost::asio::ip::tcp::socket::shutdown_send, ignored);
    }

    std::string read(std::size_t size)
    {
        std::string bytes(size, '\0');
        stream_.read(bytes.data(), static_cast<std::streamsize>(size));
        bytes.resize(static_cast<std::size_t>(stream_.gcount()));
        return bytes;
    }

    // Everything until the other side closes the connection; nothing when it stays open.
    std::optional<std::string> readUntilClosed()
    {
        std::string bytes;
        char byte = 0;
        while (stream_.get(byte))
            bytes += byte;
        if (stream_.error() == boost::asio::error::timed_out
            || stream_.error() == boost::asio::error::operation_aborted)
            return std::nullopt;
        return bytes;
    }

private:
    boost::asio::ip::tcp::iostream stream_;
};

} // namespace lychee::test
