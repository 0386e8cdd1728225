// HTTP server of a duty: a fiber for each connection.
#pragma once

#include "transport/Duty.h"
#include "transport/HttpMessage.h"
#include "transport/MemoryBudget.h"
#include "transport/SocketOperation.h"

#include <absl/status/statusor.h>

namespace lychee {

// Why a request was rejected before it reached the handler.
enum class HttpFault {
    Malformed,
    HeaderTooLarge,
    BodyTooLarge,
    TimedOut,
    // The requests in progress use up the memory for them.
    OutOfMemory,
};

struct HttpServerOptions {
    std::size_t maxHeaderBytes = std::size_t{16} * 1024;
    std::size_t maxBodyBytes = std::size_t{4} * 1024 * 1024;
    // Further connections wait until one of these ends.
    std::size_t maxConnections = 10000;
    // Longest wait for the next request on a connection.
    Duration idleTimeout = std::chrono::seconds(60);
    // Longest time from the first byte of a request to the end of its header.
    Duration headerTimeout = std::chrono::seconds(30);
    // Longest time from the end of the header of a request to its last byte.
    Duration readTimeout = std::chrono::seconds(30);
    // Longest time for a peer to read nothing of what is written to it. Its connection is then reset.
    Duration writeTimeout = std::chrono::seconds(30);
    SocketBuffers buffers;
    // Bounds the bodies of requests, from their first byte until they are answered; null for no bound. Used on the duty
    // of the server.
    std::shared_ptr<MemoryBudget> requestMemory;
    // Builds the answer to a rejected request.
    std::function<HttpResponse(HttpFault)> faultResponse;
};

// One request and its answer. Used by the handler's fiber only.
class HttpExchange {
public:
    virtual ~HttpExchange() = default;

    virtual const HttpRequest& request() const = 0;

    // Sends a whole answer. Fails when the peer is gone or does not read.
    virtual absl::Status respond(const HttpResponse& response) = 0;

    // Starts an answer whose body follows in pieces.
    virtual absl::Status beginStream(int status, const HttpHeaders& headers) = 0;

    // Sends a piece of the body at once.
    virtual absl::Status write(std::string_view piece) = 0;

    // Ends the body.
    virtual absl::Status endStream() = 0;

    // Ends the connection without ending the body, so that the peer sees that the answer is incomplete.
    virtual void abort() = 0;

    // Whether the peer has closed the connection.
    virtual bool isPeerGone() = 0;

    // Calls `callback` once when the peer closes or resets the connection before this request is answered. The
    // callback runs on the duty's thread and must not suspend.
    virtual void onPeerGone(std::function<void()> callback) = 0;

    // When the first byte of the request arrived.
    virtual TimePoint startedAt() const = 0;
};

// Listens on one address. The handler runs in the fiber of the connection and must answer or abort.
class HttpServer {
public:
    using Handler = std::function<void(HttpExchange&)>;

    // Starts to listen; port 0 takes any free port. Fails with TransportError::BindFailed or AddressInvalid.
    static absl::StatusOr<std::unique_ptr<HttpServer>> listen(
        Duty& duty, const Endpoint& endpoint, HttpServerOptions options, Handler handler);

    // Closes the listening socket and all connections.
    ~HttpServer();

    std::uint16_t port() const;

    // Number of requests that are being received or handled. Thread-safe.
    std::size_t activeExchanges() const;

    // Replaces the limits, also for idle connections; requests that are being read keep the earlier ones. Thread-safe.
    void setLimits(HttpServerOptions options);

    // Keeps accepting, but each connection is closed after its next answer, which says so. Thread-safe.
    void closeAfterAnswers();

    // Closes the listening socket; idle connections are closed, the others after the answer to their current request,
    // also if that is still arriving. Thread-safe.
    void stopAccepting();

    // Closes everything. Thread-safe.
    void close();

private:
    class State;

    explicit HttpServer(std::shared_ptr<State> state);

    std::shared_ptr<State> state_;
};

} // namespace lychee
