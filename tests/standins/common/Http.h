// Blocking HTTP for the stand-ins. Only its implementation uses Boost.Beast.
#pragma once

#include <nlohmann/json.hpp>

#include <chrono>
#include <cstdint>
#include <functional>
#include <memory>
#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lychee::standin {

struct HeaderField {
    std::string name;
    std::string value;
};

struct Request {
    std::string method;
    // Path and query, as received.
    std::string target;
    std::vector<HeaderField> headers;
    std::string body;

    // The target without its query, percent-decoded.
    std::string path() const;

    // The percent-decoded value of a query parameter.
    std::optional<std::string> query(std::string_view name) const;

    // The first value of a header; names compare without regard to case.
    std::optional<std::string> header(std::string_view name) const;
};

struct Response {
    int status = 200;
    std::vector<HeaderField> headers;
    std::string body;

    static Response json(int status, const nlohmann::json& body, std::vector<HeaderField> headers = {});
};

// The fault applied to the answer of one request, after the request took effect.
struct AnswerFault {
    std::chrono::milliseconds delay{0};
    // Events of a stream that are sent before `delay` applies.
    int delayAfterEvents = 0;
    bool drop = false;
    bool silence = false;
    // Events of a stream that are sent before `drop` or `silence` applies.
    int afterEvents = 0;
    // `drop` sends half of the next event of a stream first.
    bool insideEvent = false;
    // The answer has neither a length nor chunks and ends with its connection. `drop` then resets the connection,
    // unless it ends inside an event, because its end would make the answer complete.
    bool noLength = false;
    // Pause in the middle of a plain answer that has no length.
    std::chrono::milliseconds pauseInside{0};
    // `drop` ends the connection of an answer without length as the system does when a process is killed.
    bool regularEnd = false;
    // Headers that are added to the answer.
    std::vector<HeaderField> headers;
};

// One accepted connection. Only `silence` may be called by other threads.
class Connection {
public:
    virtual ~Connection() = default;

    // Reads the next request. Returns false when the connection ended or the message is malformed.
    virtual bool read(Request& request) = 0;

    // Sets the fault of the next answer.
    virtual void setAnswerFault(const AnswerFault& fault) = 0;

    // Whether the next answer has neither a length nor chunks.
    virtual bool answersWithoutLength() const = 0;

    // The writing functions return false when the connection is closed.
    virtual bool write(const Response& response) = 0;
    virtual bool beginStream(const std::vector<HeaderField>& headers) = 0;
    virtual bool writeEvent(const std::string& text) = 0;
    virtual bool endStream() = 0;

    // True when the peer has closed its end.
    virtual bool isPeerClosed() = 0;

    virtual void close() = 0;

    // From now on nothing is sent and requests are discarded.
    virtual void silence() = 0;
    virtual bool isSilent() const = 0;
};

// A bound port. Every accepted connection gets a thread of its own.
class Listener {
public:
    // A shared port may be bound by another process too. Throws std::system_error when the port cannot be bound.
    static std::shared_ptr<Listener> bind(const std::string& address, std::uint16_t port, bool sharesPort);

    virtual ~Listener() = default;

    virtual std::uint16_t port() const = 0;

    // Accepts connections on a background thread until the process ends.
    virtual void serve(std::function<void(const std::shared_ptr<Connection>&)> handler) = 0;
};

// The status of a GET, or nothing when the server cannot be reached or breaks the connection.
std::optional<int> httpGet(const std::string& address, std::uint16_t port, const std::string& target);

// The status of a POST, or nothing when the server cannot be reached or breaks the connection.
std::optional<int> httpPost(
    const std::string& address, std::uint16_t port, const std::string& target, const std::string& body);

} // namespace lychee::standin
