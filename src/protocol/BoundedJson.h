// Checked reading of JSON from other processes: bounded size and depth, typed fields, no exceptions.
#pragma once

#include <absl/status/status.h>
#include <absl/status/statusor.h>
#include <nlohmann/json.hpp>

#include <cstdint>
#include <string>
#include <string_view>

namespace lychee {

// Longest name or id that a document of another process may hold, in bytes.
inline constexpr std::size_t maxNameBytes = 512;

// Largest amount of memory that a document may name, in bytes. Sums of thousands of such amounts do not overflow.
inline constexpr std::uint64_t maxDocumentAmount = std::uint64_t{1} << 50;

// Parses one JSON document of at most `maxBytes` and limited depth. Fails with ProtocolError::Malformed.
absl::StatusOr<nlohmann::json> parseBoundedJson(std::string_view text, std::size_t maxBytes);

// Reads typed fields of one object. The first wrong field is kept as the status; later reads return empty values.
class FieldReader {
public:
    // `json` must outlive the reader. A value that is not an object is an error.
    explicit FieldReader(const nlohmann::json& json);

    // A string of 1 to `maxNameBytes` bytes.
    std::string name(const char* field);

    // A string of at most `maxNameBytes` bytes; empty when the field is absent.
    std::string optionalName(const char* field);

    // A string of at most `maxNameBytes` bytes that must be present but may be empty.
    std::string text(const char* field);

    // An integer from 0 to `max`.
    std::uint64_t number(const char* field, std::uint64_t max);

    // An integer from 0 to `max`; 0 when the field is absent.
    std::uint64_t optionalNumber(const char* field, std::uint64_t max);

    // A finite number that is not negative.
    double real(const char* field);

    // An array of at most `maxItems` items; an empty array when it is wrong.
    const nlohmann::json& array(const char* field, std::size_t maxItems);

    // Records an error found by the caller, unless there is an earlier one.
    void fail(std::string_view detail);

    bool ok() const { return status_.ok(); }

    const absl::Status& status() const { return status_; }

private:
    const nlohmann::json* find(const char* field);

    const nlohmann::json& json_;
    absl::Status status_;
};

} // namespace lychee
