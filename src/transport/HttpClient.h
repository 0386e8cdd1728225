// HTTP client of a duty, with a pool of idle connections for each endpoint.
#pragma once

#include "transport/Duty.h"
#include "transport/HttpMessage.h"
#include "transport/SocketOperation.h"

#include <absl/status/statusor.h>

#include <functional>
#include <memory>

namespace lychee {

// Ends the wait of a call from outside its fiber, for example because the caller has left. Used on one duty.
class HttpCancellation {
public:
    // Closes the connection of the call, now or as soon as it has one. Must not suspend.
    void cancel()
    {
        requested_ = true;
        if (abort_)
            abort_();
    }

    bool isRequested() const { return requested_; }

    // Sets how the call in progress is ended; null when none is.
    void setAbort(std::function<void()> abort) { abort_ = std::move(abort); }

private:
    bool requested_ = false;
    std::function<void()> abort_;
};

// Whether a connection has carried requests before the current one.
enum class ConnectionUse { First, Reused };

struct HttpCallLimits {
    // When the whole answer must have arrived.
    TimePoint deadline = TimePoint::max();
    Duration connectTimeout = std::chrono::seconds(1);
    // Longest silence of the peer once the request has been sent.
    Duration interByteTimeout = std::chrono::seconds(30);
    // Longest wait for the header of the answer, when it is shorter than the other limits.
    Duration headerTimeout = std::chrono::hours(24);
    // Asked when the peer has been silent for one of the two limits above: whether the call is given up. If not, the
    // call goes on waiting until the deadline and asks again after each further limit. Empty gives up at once. Must not
    // suspend.
    std::function<bool()> mayGiveUp;
    // Opens a new connection. For calls that must not be repeated: an idle connection may have been forgotten by a
    // middlebox, and whether such a call ran could not be told.
    bool freshConnection = false;
    // Uses only a connection that has answered before, and fails without sending when there is none. For orders that
    // must not reach a restarted process.
    bool pooledOnly = false;
    // Sends the request once more on a new connection when a pooled one turns out to be closed.
    bool repeatable = false;
    // Pooled connections that were idle for longer are not used.
    Duration maxIdle = std::chrono::seconds(20);
    // Ends the call early; may be null.
    std::shared_ptr<HttpCancellation> cancellation;
    // Whether an answer belongs to this request. An answer that does not is skipped, because a faulty peer may send
    // a second answer to an earlier request first. Empty accepts every answer.
    std::function<bool(const HttpHeaders&, ConnectionUse)> belongs;
    std::size_t maxBodyBytes = std::size_t{16} * 1024 * 1024;
};

// An answer whose body is read in pieces. Destroying it before the end closes the connection.
class HttpStream {
public:
    virtual ~HttpStream() = default;

    virtual int status() const = 0;

    virtual const HttpHeaders& headers() const = 0;

    // The next piece of the body, or nothing at its end. Fails with TransportError.
    virtual absl::StatusOr<std::optional<std::string>> read() = 0;

    // Changes the longest silence of the peer for the pieces that follow.
    virtual void setInterByteTimeout(Duration limit) = 0;

    // Makes the read in progress fail, from another fiber. Does not suspend.
    virtual void cancelRead() = 0;

    // Whether the body has a length or chunks. Otherwise it ends with its connection, and may have been cut.
    virtual bool isDelimited() const = 0;

    // Whether no other process of this system lies between this one and the endpoint.
    virtual bool isDirect() const = 0;

    // Reads the rest of a body that is not needed, so that its connection can be reused. Gives up a body that is longer
    // or takes longer.
    virtual void drain(std::size_t maxBytes, Duration maxTime) = 0;
};

// The outcome of a call that may have failed on the way.
template <typename Answer> struct HttpOutcome {
    absl::Status status;
    // Whether a byte of the request may have reached the peer.
    bool sent = false;
    Answer answer;
    // Whether no other process of this system lies between this one and the endpoint that has answered.
    bool isDirect = true;
};

// A connection for an HttpClient.
struct OpenedConnection {
    boost::asio::ip::tcp::socket socket;
    // Once this is set, the connection carries no further request. May be null.
    std::shared_ptr<const bool> retired;
    // Finds out, after a regular end of the connection, whether the endpoint itself ended it and all its bytes have
    // arrived. Suspends the fiber. Null for a direct connection, whose end is that of the endpoint.
    std::function<bool()> confirmEnd = nullptr;
    // Counts the bytes that are read from the socket. May be null.
    std::shared_ptr<std::uint64_t> received = nullptr;
};

// Opens the connections of an HttpClient.
class ConnectionOpener {
public:
    virtual ~ConnectionOpener() = default;

    // Connects to an endpoint. `connectTime` is the limit for one way to it; another way may be tried until the
    // deadline. Fails with TransportError::ConnectFailed when the endpoint refuses connections, and with TimedOut when
    // it cannot be reached.
    virtual absl::StatusOr<OpenedConnection> open(Endpoint endpoint, Duration connectTime, TimePoint deadline) = 0;

    // A call to the endpoint was given up because nothing arrived. Does not suspend.
    virtual void wentSilent(const Endpoint& endpoint) = 0;
};

// Makes calls from fibers of one duty. Not thread-safe.
class HttpClient {
public:
    // `buffers` are those of the connections that are opened.
    explicit HttpClient(const SocketBuffers& buffers = {});
    // Has the connections opened by `opener`, which must outlive this object.
    explicit HttpClient(ConnectionOpener& opener);
    ~HttpClient();

    // Sends a request and reads the header of the answer.
    HttpOutcome<std::unique_ptr<HttpStream>> open(
        Endpoint endpoint, const HttpRequest& request, const HttpCallLimits& limits);

    // Sends a request and reads the whole answer.
    HttpOutcome<HttpResponse> call(Endpoint endpoint, const HttpRequest& request, const HttpCallLimits& limits);

    // Closes the idle connections to an endpoint.
    void forget(const Endpoint& endpoint);

    // Closes the idle connections that are retired.
    void closeRetired();

private:
    class Connection;
    class Stream;
    class Pool;

    HttpOutcome<std::unique_ptr<HttpStream>> openOn(std::unique_ptr<Connection> connection, Endpoint endpoint,
        const HttpRequest& request, const HttpCallLimits& limits);

    absl::StatusOr<std::unique_ptr<Connection>> connect(Endpoint endpoint, const HttpCallLimits& limits);

    std::shared_ptr<Pool> pool_;
    SocketBuffers buffers_;
    // Null when the client opens its connections itself.
    ConnectionOpener* opener_ = nullptr;
};

} // namespace lychee
