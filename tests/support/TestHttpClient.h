// A blocking HTTP client with a time limit for every step.
#pragma once

#include "transport/HttpMessage.h"

#include <absl/status/statusor.h>

#include <chrono>
#include <memory>

namespace lychee::test {

// One server-sent event.
struct TestEvent {
    // The `id` field, or empty.
    std::string id;
    std::string data;
};

// A response whose body is read as it arrives. Destroying it closes the connection.
class TestEventStream {
public:
    virtual ~TestEventStream() = default;

    virtual int status() const = 0;

    virtual const HttpHeaders& headers() const = 0;

    // Changes the limit of later steps.
    virtual void setLimit(std::chrono::milliseconds limit) = 0;

    // The next event, or nothing at the regular end of the body. Errors: TransportError::TimedOut, ConnectionClosed.
    virtual absl::StatusOr<std::optional<TestEvent>> next() = 0;

    // The rest of the body, for answers that are no event stream. Errors as `next`.
    virtual absl::StatusOr<std::string> readBody() = 0;
};

// One connection, opened by the first request and opened anew after it broke. Used by one thread.
class TestHttpClient {
public:
    // `limit` applies to connecting, to each exchange and to each step of a stream.
    TestHttpClient(Endpoint endpoint, std::chrono::milliseconds limit);
    TestHttpClient(TestHttpClient&&) noexcept;
    TestHttpClient& operator=(TestHttpClient&&) noexcept;
    ~TestHttpClient();

    // Sends a request and reads the whole response. A request is never repeated. Errors: TransportError::ConnectFailed,
    // TimedOut, ConnectionClosed; after an error the connection is closed.
    absl::StatusOr<HttpResponse> send(const HttpRequest& request);

    // Sends a request on a connection of its own and reads the header of the response. Errors as `send`.
    absl::StatusOr<std::unique_ptr<TestEventStream>> open(const HttpRequest& request);

    // Sends a request on a new connection without reading the response; the connection stays open until `close`.
    absl::Status sendOnly(const HttpRequest& request);

    void close();

    // Whether a connection is open.
    bool isOpen() const { return connection_ != nullptr; }

    // Whether the other side has closed the open connection.
    bool isClosedByPeer();

    // Changes the limit of later steps, also of the open connection.
    void setLimit(std::chrono::milliseconds limit);

private:
    class Connection;
    class Stream;

    absl::Status connect();

    Endpoint endpoint_;
    std::chrono::milliseconds limit_;
    std::unique_ptr<Connection> connection_;
};

} // namespace lychee::test
