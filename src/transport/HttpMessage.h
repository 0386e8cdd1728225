// HTTP messages as the rest of the system sees them.
#pragma once

#include <optional>
#include <string>
#include <string_view>
#include <vector>

namespace lychee {

// Header fields in order of arrival; names compare without regard to case.
class HttpHeaders {
public:
    struct Field {
        std::string name;
        std::string value;
    };

    HttpHeaders() = default;

    HttpHeaders(std::initializer_list<Field> fields)
        : fields_(fields)
    {
    }

    // The first value of `name`, or nothing.
    std::optional<std::string_view> find(std::string_view name) const;

    // Replaces all values of `name`.
    void set(std::string_view name, std::string_view value);

    // Appends a value of `name` and keeps the earlier ones.
    void add(std::string_view name, std::string_view value);

    void remove(std::string_view name);

    const std::vector<Field>& fields() const { return fields_; }

private:
    std::vector<Field> fields_;
};

struct HttpRequest {
    std::string method = "GET";
    // Path and query, as sent.
    std::string target = "/";
    HttpHeaders headers;
    std::string body;

    // The target without its query.
    std::string_view path() const;

    // The value of a query parameter, without decoding, or nothing.
    std::optional<std::string_view> query(std::string_view name) const;
};

struct HttpResponse {
    int status = 200;
    HttpHeaders headers;
    std::string body;
};

// An address and port to connect to.
struct Endpoint {
    std::string address;
    std::uint16_t port = 0;

    auto operator<=>(const Endpoint&) const = default;

    // "address:port".
    std::string toString() const;

    // Parses "address:port" with a numeric IPv4 or bracketed IPv6 address.
    static std::optional<Endpoint> parse(std::string_view text);
};

} // namespace lychee
